"""One attempt of a request at one upstream, and the tables updated from its outcome."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any

from ...routing.call_times import Call
from ...routing.call_times import drop_call
from ...routing.call_times import end_call
from ...routing.delays import Connect
from ...routing.delays import drop_connect
from ...routing.delays import explains_timeout
from ...routing.engine_paces import StreamPace
from ...routing.health import record_response
from ...routing.health import record_unreachable
from ...routing.load import remove_backlog
from ...routing.load import remove_running
from ...routing.messages import RolloutState
from ...routing.output_pace import record_output_time
from ...routing.prefill_speed import record_prefill_time
from ...routing.prefixes import record_blocks
from ...routing.records import RouteKind
from ...routing.retries import release_retry
from ...routing.sessions import finish_session
from ...routing.silence import record_byte
from ...routing.tallies import CountedRequest
from ...routing.tallies import Ending
from ...routing.tallies import record_ending
from ...routing.tallies import record_first_byte as count_first_byte
from ...routing.tallies import stop_waiting
from ..http.client import UpstreamCall
from ..http.connection_check import ConnectionCheck
from ..http.pieces import BodyPieces
from ..http.records import HeaderList
from ..http.records import find_framing
from ..metrics import ATTEMPTS
from ..metrics import FIRST_BYTE_SECONDS
from .choice import Choice
from .dialect import ResponseFacts
from .scheduling import wake_queue


if TYPE_CHECKING:
    from ...routing.records import Route
    from .context import GatewayContext
    from .dialect import RequestFacts


class AttemptOutcome(StrEnum):
    """How an attempt at an upstream ended."""

    UNREACHED = "unreached"
    DELAYED = "delayed"
    """It was not connected in time, which this gateway's own delay explains."""
    WITHHELD = "withheld"
    """It was not written: its upstream must not get the request any more."""
    NOT_RUN = "not_run"
    BROKEN = "broken"
    FAILED = "failed"
    UNREAD = "unread"
    """It ended while its caller did not read, which may be why."""
    DONE = "done"


ENDINGS = {
    AttemptOutcome.BROKEN: Ending.BREAK,
    AttemptOutcome.FAILED: Ending.FAILURE,
    AttemptOutcome.DONE: Ending.SUCCESS,
}
"""Endings for which a version is accountable, by the attempt's outcome."""


PART_SECONDS = 2.0
"""Seconds after the last whole event in which parts of the next one are signs of life.
A slow upstream may send a long event in pieces; without a bound, a byte from time to
time would keep a stream at an upstream that makes no progress."""


@dataclass(slots=True)
class Attempt:
    """One attempt to run a request at one upstream."""

    choice: Choice
    started_at: float
    events_before: int = 0
    """Events of the stream that earlier attempts have forwarded."""
    call: UpstreamCall | None = None
    connect: Connect | None = None
    connected_at: float | None = None
    check: ConnectionCheck | None = None
    """Check of the upstream after a response whose end is not stated."""
    status: int = 0
    headers: HeaderList | None = None
    facts: ResponseFacts | None = None
    body: BodyPieces = field(default_factory=BodyPieces)
    """What has arrived of a response that is sent as a whole."""
    body_bytes: int = 0
    """Bytes of the body received so far."""
    has_length: bool = False
    """Whether the response states its length."""
    forwarding: bool = False
    """Whether a response that was too long to collect is sent on as it arrives."""
    was_paused: bool = False
    """Whether its upstream was not read for a time, as its caller did not read."""
    relayed_upstream: str = ""
    """Id of the upstream behind a relay, if the relay names it."""
    first_byte_at: float | None = None
    last_byte_at: float = 0.0
    """Time of the last sign of life: the head, a whole event, bytes of a body within
    its stated length, or for ``PART_SECONDS`` after one of these any other bytes."""
    progress_at: float = 0.0
    """Time of the last sign of life other than a part of unknown length."""
    ended_at: float = 0.0
    """Time at which its call ended."""
    work: float = 0.0
    """Milliseconds of prefill counted as this gateway's load on the upstream."""
    tokens: int = 0
    """Tokens of engine memory counted as this gateway's load on the upstream."""
    output_tokens: int = 0
    """Output tokens that were expected of it."""
    samples_prefill_speed: bool = False
    """Whether the time to the first byte is a sample of the model's prefill speed."""
    streaming: bool = False
    pace: StreamPace | None = None
    """Arrival of its events; None if it gives no samples of the engine's pace."""
    finished: bool = False
    withheld: str = ""
    """Why it was not written once its connection stood; empty if it was."""
    rollout: RolloutState | None = None
    """Roll-out of its service as its upstream was chosen."""
    is_restricted: bool = False
    """Whether its upstream was restricted as it was chosen."""
    write_until: float = math.inf
    """Latest time of its write to a restricted upstream."""
    holds_retry: bool = False
    """Whether a retry is reserved for it in the retry budget."""
    granted_runs: int = 1
    """Attempts that it may run: more than one at a relay."""
    told_runs: int | None = None
    """Runs of the request as a relay has told them, those before it included; None if
    it has not."""
    told_arrivals: int = 0
    """Attempts that reached upstreams, told in the same way."""
    survived: bool = False
    """Whether its response has run for long enough to clear its prompt blocks."""
    silent: bool = False
    """Whether it was found that its upstream has sent no data for too long."""
    timer: Any = None
    timing: Call | None = None
    """Its place in the times of calls; None if it is not timed."""
    counted: CountedRequest | None = None
    """Its place in the outcomes of a roll-out; None before it is sent, and without a
    roll-out."""

    @property
    def upstream(self) -> str:
        """Id of the chosen upstream."""
        return self.choice.placement.upstream.upstream

    @property
    def relayed(self) -> bool:
        """Whether another gateway runs the request at an upstream of its choice."""
        return self.choice.relayed

    @property
    def framing(self) -> str | None:
        """What ends the response: its length, chunks or the close; None before it."""
        return None if self.headers is None else find_framing(self.headers)

    def cancel(self) -> None:
        """Cancel the call to the upstream, and the check of one that has ended."""
        if self.call is not None:
            self.call.cancel()

        if self.check is not None:
            self.check.cancel()

    def stop_timer(self) -> None:
        """Cancel the timer that limits the wait for the first byte."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


def is_delayed_here(context: GatewayContext, attempt: Attempt, now: float) -> bool:
    """Return whether this gateway's own delay may be why an attempt timed out."""
    if attempt.call is None or not attempt.call.timed_out:
        return False

    return explains_timeout(context.delays, now - attempt.started_at, now)


def is_valid_response(attempt: Attempt, request_id: str) -> bool:
    """Return whether a response is the upstream's own response to this request.

    Rejects late responses to other requests, and responses that an intermediary made
    or changed. They are recognised by the echoed request id, the missing mark of a real
    upstream, or a content encoding that the gateway never requests.
    """
    facts = attempt.facts
    if facts is None or facts.encoded or not is_for_request(attempt, request_id):
        return False

    return facts.signed or attempt.status >= 300


def is_for_request(attempt: Attempt, request_id: str) -> bool:
    """Return whether a response doesn't bear the id of another request."""
    return attempt.facts is not None and attempt.facts.request_id in (None, request_id)


def is_asked_for_rest(attempt: Attempt | None) -> bool:
    """Return whether an attempt's upstream asks for rest.

    Others of its service are probably at capacity, too; a round over all of them must
    leave retries for requests that fail.
    """
    return (
        attempt is not None and attempt.facts is not None and bool(attempt.facts.rest)
    )


def is_forwarded_stream(attempt: Attempt, route: Route, request_id: str) -> bool:
    """Return whether a response is forwarded as it arrives."""
    success = 200 <= attempt.status < 300
    return (
        success
        and route.kind is RouteKind.STREAM
        and is_valid_response(attempt, request_id)
    )


def record_progress(context: GatewayContext, attempt: Attempt, now: float) -> None:
    """Record that an upstream has sent a whole event, or bytes that it has stated."""
    record_byte(context.silences, attempt.upstream)
    attempt.progress_at = attempt.last_byte_at = now
    context.upstream_active_at[attempt.upstream] = now


def record_part(context: GatewayContext, attempt: Attempt, now: float) -> None:
    """Record that an upstream has sent a part of an event or of a chunked body."""
    record_byte(context.silences, attempt.upstream)
    if now - attempt.progress_at <= PART_SECONDS:
        attempt.last_byte_at = now
        context.upstream_active_at[attempt.upstream] = now


def record_first_byte(
    context: GatewayContext, route: Route, attempt: Attempt, now: float
) -> None:
    """Record the arrival of a response's head, and update the model's prefill speed."""
    if attempt.first_byte_at is not None:
        return

    attempt.first_byte_at = now
    record_progress(context, attempt, now)
    context.delays.received_at = now
    if attempt.counted is not None:
        count_first_byte(attempt.counted, now, success=starts_successfully(attempt))

    FIRST_BYTE_SECONDS.labels(route.kind.value).observe(now - attempt.started_at)
    if attempt.samples_prefill_speed and attempt.choice.model:
        placement = attempt.choice.placement
        took_ms = (now - attempt.started_at) * 1000 / placement.factor
        record_prefill_time(
            context.speeds,
            route.models,
            attempt.choice.model,
            placement.uncached,
            took_ms,
        )

    attempt.stop_timer()
    if attempt.timing is None:
        return

    if starts_successfully(attempt):
        end_call(attempt.timing, now, is_answered=True)
    else:
        drop_call(attempt.timing)


def starts_successfully(attempt: Attempt) -> bool:
    """Return whether a response's head is that of a success or of a rejection."""
    facts = attempt.facts
    return facts is not None and not facts.not_run and attempt.status < 500


def record_cached_blocks(
    context: GatewayContext, facts: RequestFacts, attempt: Attempt, now: float
) -> None:
    """Record the prompt blocks as cached at the upstream once its response starts."""
    if facts.prompt_blocks and attempt.status < 300 and not attempt.relayed:
        model = attempt.choice.model or facts.model
        record_blocks(
            context.prefixes, attempt.upstream, model, facts.prompt_blocks, now
        )


def finish_prefill(context: GatewayContext, attempt: Attempt) -> None:
    """Record that the upstream has finished the prefill."""
    if attempt.work:
        remove_backlog(context.load, attempt.upstream, attempt.work)
        attempt.work = 0.0


def record_pace(context: GatewayContext, facts: RequestFacts, attempt: Attempt) -> None:
    """Update the pace of the model with a whole stream that has ended."""
    if not attempt.streaming or attempt.relayed or attempt.first_byte_at is None:
        return

    if attempt.events_before or facts.resume_after:
        return

    choice = attempt.choice
    record_output_time(
        context.output_paces,
        choice.model or facts.model,
        attempt.output_tokens,
        (attempt.last_byte_at - attempt.first_byte_at) * 1000,
        choice.placement.factor,
    )


def release_reserved_retry(context: GatewayContext, attempt: Attempt) -> None:
    """Release the retry that is reserved for an attempt which was not written."""
    if not attempt.holds_retry:
        return

    attempt.holds_retry = False
    limits = context.settings.retries
    release_retry(context.retries, attempt.choice.service, context.clock(), limits)


def release_attempt(context: GatewayContext, attempt: Attempt) -> None:
    """Mark the attempt as finished and release the load and session it holds."""
    attempt.finished = True
    attempt.stop_timer()
    if attempt.connect is not None:
        drop_connect(context.delays, attempt.connect)

    release_reserved_retry(context, attempt)
    now = context.clock()
    if attempt.timing is not None:
        end_call(attempt.timing, now, is_answered=False)

    if attempt.relayed:
        return

    if attempt.counted is not None:
        stop_waiting(attempt.counted, now)

    finish_prefill(context, attempt)
    remove_running(context.load, attempt.upstream, attempt.tokens)
    choice = attempt.choice
    version = choice.placement.upstream.version
    finish_session(context.sessions, choice.service, choice.session, version, now)
    wake_queue(context, choice.service)


def record_outcome(
    context: GatewayContext,
    route: Route,
    attempt: Attempt,
    outcome: AttemptOutcome,
    now: float,
    *,
    dropped: bool = False,
) -> None:
    """Record an attempt's outcome in the metrics and the health and version tables.

    ``dropped`` says that the gateway has cancelled a successful response.
    """
    ATTEMPTS.labels(route.kind.value, outcome.value).inc()
    if outcome in (AttemptOutcome.DELAYED, AttemptOutcome.WITHHELD):
        return

    if outcome is AttemptOutcome.UNREAD:
        if attempt.counted is not None:
            record_ending(attempt.counted, Ending.DROPPED, now)

        return

    if outcome is AttemptOutcome.UNREACHED and attempt.facts is None:
        record_unreachable(context.health, attempt.upstream, now)
        return

    if attempt.relayed:
        # A relay that refuses one request may serve the next one.
        record_response(context.health, attempt.upstream, now, failed=False)
        return

    failed = outcome in (
        AttemptOutcome.BROKEN,
        AttemptOutcome.FAILED,
        AttemptOutcome.NOT_RUN,
    )
    record_response(context.health, attempt.upstream, now, failed=failed)
    if attempt.counted is None or outcome not in ENDINGS:
        return

    is_timed = outcome is not AttemptOutcome.DONE or not attempt.was_paused
    ending = ENDINGS[outcome] if is_timed and not dropped else Ending.DROPPED
    record_ending(attempt.counted, ending, now)
