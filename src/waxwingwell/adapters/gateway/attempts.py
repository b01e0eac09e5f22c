"""One send of a request to one upstream: its record, and what tables learn of it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING
from typing import Any

from ...routing.health import note_answer
from ...routing.health import note_unreachable
from ...routing.load import end_prefill
from ...routing.load import end_use
from ...routing.prefixes import note_parts
from ...routing.sessions import end_session
from ...routing.speeds import learn_speed
from ..http.client import UpstreamCall
from ..http.records import HeaderList
from ..measures import ATTEMPTS
from ..measures import FIRST_BYTE
from .choice import Choice
from .context import VersionTally
from .dialect import AnswerFacts


if TYPE_CHECKING:
    from ...routing.records import Route
    from .context import GatewayContext
    from .dialect import RequestFacts


class Fate(StrEnum):
    """How a send to an upstream ended."""

    UNREACHED = "unreached"
    NOT_RUN = "not_run"
    BROKEN = "broken"
    FAILED = "failed"
    DONE = "done"


@dataclass(slots=True)
class Attempt:
    """One send of a request to one upstream."""

    choice: Choice
    began_at: float
    call: UpstreamCall | None = None
    status: int = 0
    headers: HeaderList | None = None
    facts: AnswerFacts | None = None
    body: list[bytes] | None = None
    first_at: float | None = None
    last_at: float = 0.0
    """When the last byte came."""
    work: float = 0.0
    """Milliseconds of reading that count as our load on the upstream."""
    learns: bool = False
    """The time to the first event tells how fast the model reads."""
    streaming: bool = False
    over: bool = False
    timer: Any = None

    @property
    def upstream(self) -> str:
        """Id of the upstream."""
        return self.choice.placement.upstream.upstream

    def cancel(self) -> None:
        """Give the call up, if it was begun."""
        if self.call is not None:
            self.call.cancel()

    def stop_timer(self) -> None:
        """Stop waiting for a sign of the upstream."""
        if self.timer is not None and self.timer.active():
            self.timer.cancel()


def is_sound(attempt: Attempt, request_id: str) -> bool:
    """Tell whether an answer is an upstream's own answer to this request.

    Failures: late answers of other requests, answers that something on the way made
    or changed. They show in the id echoed, a missing mark, or an encoding we never
    asked for.
    """
    facts = attempt.facts
    if facts is None or facts.encoded:
        return False

    if facts.request_id not in (None, request_id):
        return False

    return facts.signed or attempt.status >= 300


def note_first(
    context: GatewayContext, route: Route, attempt: Attempt, now: float
) -> None:
    """Note the head of an answer, and learn from when it came."""
    if attempt.first_at is not None:
        return

    attempt.first_at = now
    attempt.last_at = now
    context.signs[attempt.upstream] = now
    FIRST_BYTE.labels(route.kind.value).observe(now - attempt.began_at)
    if attempt.learns and attempt.choice.model:
        took_ms = (now - attempt.began_at) * 1000
        learn_speed(
            context.speeds,
            route.models,
            attempt.choice.model,
            attempt.choice.placement.uncached,
            took_ms,
        )

    attempt.stop_timer()


def note_read(
    context: GatewayContext, facts: RequestFacts, attempt: Attempt, now: float
) -> None:
    """Note that the upstream holds the parts of the prompt: its answer has begun."""
    if facts.parts and attempt.status < 300:
        model = attempt.choice.model or facts.model
        note_parts(context.prefixes, attempt.upstream, model, facts.parts, now)


def end_reading(context: GatewayContext, attempt: Attempt) -> None:
    """Note that the upstream has read the prompt."""
    if attempt.work:
        end_prefill(context.load, attempt.upstream, attempt.work)
        attempt.work = 0.0


def release(context: GatewayContext, attempt: Attempt) -> None:
    """Stop counting the attempt as running."""
    attempt.over = True
    attempt.stop_timer()

    end_reading(context, attempt)
    end_use(context.load, attempt.upstream)
    choice = attempt.choice
    version = choice.placement.upstream.version
    now = context.clock()
    end_session(context.sessions, choice.service, choice.session, version, now)


def count_fate(
    context: GatewayContext,
    route: Route,
    attempt: Attempt,
    fate: Fate,
    now: float,
) -> None:
    """Tell the tables of health and versions how the send went."""
    ATTEMPTS.labels(route.kind.value, fate.value).inc()
    if fate is Fate.UNREACHED:
        note_unreachable(context.health, attempt.upstream, now)
        return

    failed = fate in (Fate.BROKEN, Fate.FAILED, Fate.NOT_RUN)
    note_answer(context.health, attempt.upstream, now, failed=failed)
    if fate is Fate.NOT_RUN:
        return

    upstream = attempt.choice.placement.upstream
    key = (attempt.choice.service, upstream.version)
    tally = context.tallies.setdefault(key, VersionTally())
    tally.answers += 1
    tally.failures += failed
    if not failed and attempt.first_at is not None:
        tally.seconds += attempt.first_at - attempt.began_at
