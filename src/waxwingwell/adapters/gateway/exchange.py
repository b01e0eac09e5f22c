"""The life of one caller's request: placed, sent, sent again, answered or given up."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from ...routing.admission import can_be_served
from ...routing.admission import choose_pause
from ...routing.health import note_answer
from ...routing.health import note_unreachable
from ...routing.load import begin_use
from ...routing.load import end_prefill
from ...routing.load import end_use
from ...routing.load import estimate_usage
from ...routing.load import note_work
from ...routing.models import is_sized
from ...routing.models import wants_larger
from ...routing.prefixes import note_parts
from ...routing.records import RouteKind
from ...routing.retries import CHOICE_PART
from ...routing.retries import FAILURE_PART
from ...routing.retries import may_repeat
from ...routing.retries import note_repeat
from ...routing.silence import silence_limit
from ...routing.speeds import learn_speed
from ...routing.versions import note_session
from ..events import log_event
from ..http.client import CallHandlers
from ..http.client import UpstreamCall
from ..http.records import HeaderList
from ..http.records import strip_hop_headers
from ..measures import ANSWER
from ..measures import ATTEMPTS
from ..measures import FIRST_BYTE
from ..measures import REQUESTS
from .choice import Choice
from .choice import choose_upstream
from .choice import session_of
from .context import VersionTally
from .dialect import AnswerFacts
from .dialect import Dispatch
from .events import EventSplitter


if TYPE_CHECKING:
    from ...routing.records import Route
    from ...routing.records import Workspace
    from ..http.records import HttpRequest
    from ..http.server import Responder
    from .context import GatewayContext
    from .dialect import RequestFacts


MAX_TRIES = 6
"""Sends of one request, those included that an upstream refused to run."""
CONNECT_SECONDS = 0.4
"""To reach an upstream: two lost packets between data centres, at a few ms each way."""
CONNECT_PART = 0.25
"""Of the time left, whichever is shorter."""
RETRY_AFTER = 0.5
"""Seconds after which a caller may come back if nothing could take its request."""
SILENT_OBJECTIVES = 1.5
"""Objectives after which an answer that may be asked for again is asked of another
upstream: it is late by then, and nineteen of twenty calls take a third of that."""
SILENT_PART = 0.4
"""Of the whole time, whichever is shorter: the second try has the longer part."""
LAST_URGENCY = 9
IDLE_MS = 40.0
"""Expected wait, beside its own work, below which an upstream counts as idle."""


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


class Exchange:
    """One request of a caller, from its arrival to its final answer."""

    def __init__(
        self,
        context: GatewayContext,
        request: HttpRequest,
        facts: RequestFacts,
        route: Route,
        workspace: Workspace | None,
        responder: Responder,
        now: float,
    ) -> None:
        self.context = context
        self.request = request
        self.facts = facts
        self.route = route
        self.workspace = workspace
        self.responder = responder
        self.began_at = now
        budget = route.timeout
        if facts.budget is not None:
            budget = min(budget, facts.budget)

        self.deadline = now + budget
        self.attempt: Attempt | None = None
        self.tries = 0
        self.runs = 0
        """Sends that may have run."""
        self.met: set[str] = set()
        self.splitter = EventSplitter(facts.resume_after)
        self.forwarded = 0
        self.last_answer: tuple[int, HeaderList, bytes] | None = None
        self.model = ""
        self.over = False
        self._timer: Any = None

    # --- beginning ------------------------------------------------------------

    def start(self) -> None:
        """Begin; the final answer comes through the responder."""
        self.context.exchanges.add(self)
        self.responder.on_lost = self._leave
        delay = max(self.deadline - self.context.clock(), 0.0)
        self._timer = self.context.reactor.callLater(delay, self._expire)
        self._send_next()

    @property
    def repeatable(self) -> bool:
        """Whether the request may run again after it may have run."""
        if self.route.kind is RouteKind.IDEMPOTENT:
            return True

        return self.route.kind is RouteKind.STREAM and self.route.resumable

    def _send_next(self) -> None:
        """Send the request to the best upstream that is left."""
        now = self.context.clock()
        index = self.context.index
        if self.over or index is None:
            return

        choice = choose_upstream(
            self.context,
            index,
            self.route,
            self.facts,
            model=self.model,
            avoided=self.met,
            limit=self._first_limit(now),
            now=now,
        )
        if choice is None:
            self._give_up("no upstream left")
            return

        wait = choice.placement.wait / 1000
        if not can_be_served(wait, self.deadline - now):
            pause = choose_pause(wait, self.deadline - now)
            self._give_up(f"a wait of {wait:.1f} s is expected", pause)
            return

        self._send_to(choice, now)

    def _first_limit(self, now: float) -> float:
        """Return the seconds in which the first event is due for full worth."""
        return min(self.began_at + self.route.objective, self.deadline) - now

    def _send_to(self, choice: Choice, now: float) -> None:
        self.tries += 1
        self.model = choice.model
        attempt = Attempt(choice, now)
        self.attempt = attempt
        self.met.add(attempt.upstream)
        idle = choice.placement.wait - choice.placement.work < IDLE_MS
        attempt.learns = idle and self.route.kind is RouteKind.STREAM
        self._log_placed(attempt, now)
        self._open_call(attempt, now)

    def _log_placed(self, attempt: Attempt, now: float) -> None:
        placement = attempt.choice.placement
        log_event(
            "gateway: Placed",
            request=self.facts.request_id,
            route=self.route.name,
            document=self.context.index and self.context.index.document.version,
            upstream=attempt.upstream,
            version=placement.upstream.version,
            model=attempt.choice.model,
            attempt=self.tries,
            running=placement.running,
            uncached=placement.uncached,
            wait_ms=round(placement.wait),
            pressure=round(attempt.choice.pressure, 2),
            load_age=round(now - self.context.load.others_at, 3),
        )

    def _open_call(self, attempt: Attempt, now: float) -> None:
        placement = attempt.choice.placement
        attempt.work = placement.work
        begin_use(self.context.load, attempt.upstream, attempt.work)
        note_work(self.context.load, attempt.work, now)
        remaining = self.deadline - now
        dispatch = Dispatch(
            upstream=attempt.upstream,
            remaining=remaining if self.facts.budget is not None else None,
            workspace=self.workspace.name if self.workspace else None,
            model=attempt.choice.model,
            urgency=self._urgency(),
            resume_after=self.splitter.last_id,
        )
        headers = strip_hop_headers(self.request.headers)
        headers = self.context.dialect.write_request(headers, dispatch)
        if self.request.body or self.request.method not in (b"GET", b"HEAD"):
            length = str(len(self.request.body)).encode()
            headers.append((b"Content-Length", length))

        upstream = placement.upstream
        attempt.call = UpstreamCall(
            reactor=self.context.reactor,
            address=(upstream.host, upstream.port),
            request=(
                self.request.method,
                self.request.target,
                headers,
                self.request.body,
            ),
            handlers=CallHandlers(
                on_head=partial(self._take_head, attempt),
                on_data=partial(self._take_data, attempt),
                on_end=partial(self._take_end, attempt),
            ),
            connect_timeout=min(CONNECT_SECONDS, remaining * CONNECT_PART),
        )
        self._limit_silence(attempt, remaining)

    def _urgency(self) -> int | None:
        """Return the rank of the request; the workspace's goes before the route's."""
        if self.route.kind is not RouteKind.STREAM:
            return None

        rank = self.route.priority
        if self.workspace is not None and self.workspace.priority is not None:
            rank = 3 * self.workspace.priority + self.route.priority

        return min(rank, LAST_URGENCY)

    def _limit_silence(self, attempt: Attempt, remaining: float) -> None:
        """Ask another upstream if this one stays silent and a second may be asked.

        Failure: an upstream went dark; it takes requests and answers nothing.
        """
        if self.route.kind is not RouteKind.IDEMPOTENT or not self._may_run_again():
            return

        total = self.deadline - self.began_at
        limit = min(SILENT_OBJECTIVES * self.route.objective, SILENT_PART * total)
        if limit < remaining:
            attempt.timer = self.context.reactor.callLater(
                limit, self._abandon, attempt
            )

    def _abandon(self, attempt: Attempt) -> None:
        if attempt.over or attempt.first_at is not None:
            return

        if attempt.call is not None:
            attempt.call.cancel()

        self._finish_attempt(attempt, Fate.BROKEN, "silent")

    def check_silence(self, now: float) -> None:
        """Ask another upstream if this one seems to have gone dark."""
        attempt = self.attempt
        if attempt is None or attempt.over or self.route.kind is not RouteKind.STREAM:
            return

        if not self._may_run_again() or not self._is_in_budget(now, FAILURE_PART):
            return

        sign = self.context.signs.get(attempt.upstream, 0.0)
        silent = now - max(attempt.began_at, attempt.last_at, sign)
        expected = attempt.choice.placement.wait / 1000
        started = attempt.first_at is not None
        if silent <= silence_limit(started=started, expected=expected):
            return

        note_unreachable(self.context.health, attempt.upstream, now)
        if attempt.call is not None:
            attempt.call.cancel()

        self._finish_attempt(attempt, Fate.BROKEN, f"silent for {silent:.1f} s")

    # --- the upstream's answer ------------------------------------------------

    def _take_head(self, attempt: Attempt, status: int, headers: HeaderList) -> None:
        attempt.status = status
        attempt.headers = headers
        attempt.facts = self.context.dialect.read_answer(status, headers)
        attempt.body = []
        self._note_first(attempt)
        if self._asks_larger(attempt):
            return

        if self._is_stream(attempt):
            attempt.streaming = True
            if not self.responder.started:
                self.responder.start(status, strip_hop_headers(headers))

    def _asks_larger(self, attempt: Attempt) -> bool:
        """Drop an unsure answer of a small model, if a larger one can do better."""
        index = self.context.index
        facts = attempt.facts
        if index is None or facts is None or facts.confidence is None:
            return False

        sized = is_sized(self.route, self.facts.model) and attempt.status < 300
        if not sized or self.model == self.route.models[-1] or self.responder.started:
            return False

        now = self.context.clock()
        if not self._may_run_again() or not self._is_in_budget(now, CHOICE_PART):
            return False

        larger = choose_upstream(
            self.context,
            index,
            self.route,
            self.facts,
            model=self.route.models[-1],
            avoided=self.met,
            limit=self._first_limit(now),
            now=now,
        )
        if larger is None:
            return False

        usage = estimate_usage(self.context.load, larger.engines, now)
        if not wants_larger(facts.confidence, larger.pressure, usage):
            return False

        log_event(
            "gateway: Larger model",
            request=self.facts.request_id,
            model=larger.model,
            confidence=facts.confidence,
            pressure=round(larger.pressure, 2),
            usage=round(usage, 2),
        )
        if attempt.call is not None:
            attempt.call.cancel()

        self._release(attempt)
        self._count(attempt, Fate.DONE, now)
        self.runs += 1
        self._note_repeat(attempt, now)
        self._send_to(larger, now)
        return True

    def _is_stream(self, attempt: Attempt) -> bool:
        """Tell whether the answer is passed on as it arrives."""
        success = 200 <= attempt.status < 300
        return (
            success and self.route.kind is RouteKind.STREAM and is_sound(self, attempt)
        )

    def _take_data(self, attempt: Attempt, data: bytes) -> None:
        attempt.last_at = self.context.clock()
        self.context.signs[attempt.upstream] = attempt.last_at
        if not attempt.streaming:
            if attempt.body is not None:
                attempt.body.append(data)

            return

        self._end_prefill(attempt)
        whole = self.splitter.feed(data)
        if whole:
            self.forwarded += 1
            self.responder.write(whole)

    def _note_first(self, attempt: Attempt) -> None:
        if attempt.first_at is not None:
            return

        now = self.context.clock()
        attempt.first_at = now
        attempt.last_at = now
        self.context.signs[attempt.upstream] = now
        FIRST_BYTE.labels(self.route.kind.value).observe(now - attempt.began_at)
        if attempt.learns and attempt.choice.model:
            took_ms = (now - attempt.began_at) * 1000
            learn_speed(
                self.context.speeds,
                self.route.models,
                attempt.choice.model,
                attempt.choice.placement.uncached,
                took_ms,
            )

        if attempt.timer is not None and attempt.timer.active():
            attempt.timer.cancel()

    def _end_prefill(self, attempt: Attempt) -> None:
        if attempt.work:
            end_prefill(self.context.load, attempt.upstream, attempt.work)
            attempt.work = 0.0

    def _take_end(self, attempt: Attempt, whole: bool, sent: bool) -> None:
        if attempt.over:
            return

        if attempt.facts is None:
            fate = Fate.BROKEN if sent else Fate.UNREACHED
            self._finish_attempt(attempt, fate, "no answer")
        elif attempt.facts.not_run:
            self._finish_attempt(attempt, Fate.NOT_RUN, f"refused {attempt.status}")
        elif not whole or not is_sound(self, attempt):
            self._finish_attempt(attempt, Fate.BROKEN, "answer not whole")
        elif attempt.status >= 500:
            self._finish_attempt(attempt, Fate.FAILED, f"status {attempt.status}")
        else:
            self._finish_attempt(attempt, Fate.DONE, "")

    # --- what follows ---------------------------------------------------------

    def _finish_attempt(self, attempt: Attempt, fate: Fate, reason: str) -> None:
        """Count how a send ended, then answer, send again or give up."""
        self._release(attempt)
        now = self.context.clock()
        self._count(attempt, fate, now)
        if fate in (Fate.BROKEN, Fate.FAILED, Fate.DONE):
            self.runs += 1

        if fate is Fate.DONE:
            self._deliver(attempt, now)
            return

        log_event(
            "gateway: Attempt ended",
            request=self.facts.request_id,
            upstream=attempt.upstream,
            attempt=self.tries,
            fate=fate.value,
            reason=reason,
            status=attempt.status,
            ms=round((now - attempt.began_at) * 1000),
            events=self.splitter.events,
        )
        if fate is Fate.FAILED:
            self._keep_answer(attempt)

        self.splitter.drop_rest()
        if self._may_send_again(fate, now):
            if fate is not Fate.UNREACHED:
                self._note_repeat(attempt, now)

            self._send_next()
            return

        self._give_up(reason)

    def _release(self, attempt: Attempt) -> None:
        """Stop counting the attempt as running."""
        attempt.over = True
        if attempt.timer is not None and attempt.timer.active():
            attempt.timer.cancel()

        self._end_prefill(attempt)
        end_use(self.context.load, attempt.upstream)

    def _count(self, attempt: Attempt, fate: Fate, now: float) -> None:
        """Tell the tables of health, versions and prefixes how the send went."""
        context = self.context
        ATTEMPTS.labels(self.route.kind.value, fate.value).inc()
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

        session = session_of(self.facts)
        service = attempt.choice.service
        note_session(context.sessions, service, session, upstream.version, now)
        if not failed and self.facts.parts:
            model = attempt.choice.model or self.facts.model
            note_parts(context.prefixes, attempt.upstream, model, self.facts.parts, now)

    def _note_repeat(self, attempt: Attempt, now: float) -> None:
        limits = self.context.settings.retries
        note_repeat(self.context.retries, attempt.choice.service, now, limits)

    def _may_run_again(self) -> bool:
        return self.repeatable and self.runs + 1 < self.route.max_attempts

    def _may_send_again(self, fate: Fate, now: float) -> bool:
        """Tell whether the request may go to another upstream after ``fate``.

        What may run once only is sent again only where the last send provably did not
        run: its connection was never made, or the upstream said so.
        """
        if self.tries >= MAX_TRIES or now >= self.deadline or self.over:
            return False

        if fate in (Fate.BROKEN, Fate.FAILED):
            if not self.repeatable or self.runs >= self.route.max_attempts:
                return False
        elif self.runs and not self.repeatable:
            return False

        return fate is Fate.UNREACHED or self._is_in_budget(now, FAILURE_PART)

    def _is_in_budget(self, now: float, part: float) -> bool:
        """Tell whether all gateways' budget of repeats allows one more."""
        service = self.attempt.choice.service if self.attempt else ""
        return may_repeat(
            self.context.retries,
            service,
            self.context.settings.retries,
            part=part,
            gateways=self.context.load.gateways,
            now=now,
        )

    def _keep_answer(self, attempt: Attempt) -> None:
        """Keep an upstream's own failure: it is passed on if nothing better comes."""
        headers = strip_hop_headers(attempt.headers or [])
        self.last_answer = (attempt.status, headers, b"".join(attempt.body or []))

    def _deliver(self, attempt: Attempt, now: float) -> None:
        """Pass a whole answer on."""
        if attempt.streaming:
            self.responder.write(self.splitter.rest)
            self.responder.finish()
        elif self.responder.started:
            # A resumed stream that was answered with something else.
            self.responder.abort()
        else:
            headers = strip_hop_headers(attempt.headers or [])
            self.responder.send(attempt.status, headers, b"".join(attempt.body or []))

        self._settle("answered", attempt.status, now)

    def _give_up(self, reason: str, pause: float = RETRY_AFTER) -> None:
        """Give the final answer at once: nothing more can be done."""
        now = self.context.clock()
        if self.responder.started:
            self.responder.abort()
            self._settle("cut", 0, now, reason)
        elif self.last_answer is not None:
            status, headers, body = self.last_answer
            self.responder.send(status, headers, body)
            self._settle("passed_on_failure", status, now, reason)
        elif self.runs:
            self.responder.send(502, [])
            self._settle("may_have_run", 502, now, reason)
        else:
            self.responder.send(503, [retry_after(pause)])
            self._settle("refused", 503, now, reason)

    def _expire(self) -> None:
        """End the request at its deadline."""
        attempt = self._stop_attempt()
        now = self.context.clock()
        sent = attempt is not None and attempt.call is not None and attempt.call.sent
        if self.responder.started:
            self.responder.abort()
            self._settle("cut", 0, now, "deadline")
        elif sent or self.runs:
            self.responder.send(504, [])
            self._settle("may_have_run", 504, now, "deadline")
        else:
            self.responder.send(503, [retry_after(RETRY_AFTER)])
            self._settle("refused", 503, now, "deadline")

    def _leave(self) -> None:
        """Stop all work for a caller who has gone."""
        self._stop_attempt()
        self._settle("caller_left", 0, self.context.clock())

    def _stop_attempt(self) -> Attempt | None:
        """Cancel the send under way, and return it."""
        attempt = self.attempt
        if attempt is None or attempt.over:
            return None

        if attempt.call is not None:
            attempt.call.cancel()

        self._release(attempt)
        return attempt

    def _settle(self, outcome: str, status: int, now: float, reason: str = "") -> None:
        """Note the end of the request."""
        if self.over:
            return

        self.over = True
        self.context.exchanges.discard(self)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

        REQUESTS.labels(self.route.kind.value, outcome).inc()
        ANSWER.labels(self.route.kind.value).observe(now - self.began_at)
        attempt = self.attempt
        answer = attempt.facts if attempt is not None else None
        log_event(
            "gateway: Request ended",
            request=self.facts.request_id,
            route=self.route.name,
            outcome=outcome,
            model=self.model,
            confidence=answer.confidence if answer is not None else None,
            status=status,
            reason=reason,
            attempts=self.tries,
            runs=self.runs,
            events=self.splitter.events,
            ms=round((now - self.began_at) * 1000),
        )


def is_sound(exchange: Exchange, attempt: Attempt) -> bool:
    """Tell whether an answer is an upstream's own answer to this request.

    Failures: late answers of other requests, answers that something on the way made
    or changed. They show in the id echoed, a missing mark, or an encoding we never
    asked for.
    """
    facts = attempt.facts
    if facts is None or facts.encoded:
        return False

    if facts.request_id not in (None, exchange.facts.request_id):
        return False

    return facts.signed or attempt.status >= 300


def retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Return the header that tells a caller when to come back."""
    return (b"Retry-After", f"{seconds:g}".encode())
