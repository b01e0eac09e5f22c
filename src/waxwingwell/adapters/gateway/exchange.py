"""The life of one caller's request: placed, sent, sent again, answered or given up."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from loguru import logger

from ...routing.admission import can_be_served
from ...routing.admission import choose_pause
from ...routing.load import count_gateways
from ...routing.records import RouteKind
from ...routing.retries import FAILURE_PART
from ...routing.retries import may_repeat
from ...routing.retries import note_repeat
from ..events import log_event
from ..http.records import HeaderList
from ..http.records import strip_hop_headers
from .attempts import Attempt
from .attempts import Fate
from .attempts import count_fate
from .attempts import end_reading
from .attempts import is_sound
from .attempts import note_first
from .attempts import note_read
from .attempts import release
from .choice import Choice
from .choice import choose_upstream
from .endings import deliver
from .endings import end_now
from .endings import expire
from .endings import give_up
from .endings import settle
from .escalation import find_larger
from .events import EventSplitter
from .events import Pauses
from .sending import log_placed
from .sending import open_call
from .watch import check_silence
from .watch import limit_silence


if TYPE_CHECKING:
    from ...routing.records import Route
    from ...routing.records import Workspace
    from ..http.records import HttpRequest
    from ..http.server import Responder
    from .context import GatewayContext
    from .dialect import RequestFacts


MAX_TRIES = 6
"""Sends of one request, those included that an upstream refused to run."""
RETURN_SECONDS = 0.2
"""After which upstreams that a begun answer has met are asked again: time for a full
one to end a call, and a tenth of what callers wait for the next event."""
IDLE_MS = 40.0
"""Expected wait, beside its own work, below which an upstream counts as idle."""


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
        self.index = context.index
        """The document in force at arrival. Failure: a later one drops a service, and
        requests that were let in to it can't go on at its upstreams."""
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
        self.pauses = Pauses()
        self.dropped = False
        """An unsure answer was dropped for a larger model's."""
        self.last_answer: tuple[int, HeaderList, bytes] | None = None
        self.model = ""
        self.over = False
        self.overdue = False
        """The caller should have left its stream by now."""
        self.deadline_timer: Any = None

    # --- beginning ------------------------------------------------------------

    def start(self) -> None:
        """Begin; the final answer comes through the responder."""
        self.context.exchanges.add(self)
        self.responder.on_lost = self._leave
        delay = max(self.deadline - self.context.clock(), 0.0)
        self.deadline_timer = self.context.reactor.callLater(delay, expire, self)
        self._send_next()

    @property
    def repeatable(self) -> bool:
        """Whether the request may run again after it may have run."""
        if self.route.kind is RouteKind.IDEMPOTENT:
            return True

        return self.route.kind is RouteKind.STREAM and self.route.resumable

    def _choose(self, now: float) -> Choice | None:
        """Return the best upstream that is left."""
        if self.over or self.index is None:
            return None

        return choose_upstream(
            self.context,
            self.index,
            self.route,
            self.facts,
            model=self.model,
            avoided=self.met,
            begun=self.responder.started,
            limit=self.first_limit(now),
            now=now,
        )

    def _is_in_time(self, choice: Choice, now: float) -> bool:
        """Tell whether an upstream is expected to answer before the caller leaves."""
        return can_be_served(choice.placement.wait / 1000, self.deadline - now)

    def can_move(self, now: float) -> bool:
        """Tell whether another upstream would take the request over now."""
        if self.tries >= MAX_TRIES or not self.may_run_again():
            return False

        if not self.is_in_budget(now, FAILURE_PART):
            return False

        choice = self._choose(now)
        return choice is not None and self._is_in_time(choice, now)

    def _send_next(self) -> None:
        """Send the request to the best upstream that is left."""
        now = self.context.clock()
        if self.over:
            return

        choice = self._choose(now)
        if choice is None:
            self._come_back()
            return

        if not self._is_in_time(choice, now):
            wait = choice.placement.wait / 1000
            pause = choose_pause(wait, self.deadline - now)
            give_up(self, f"a wait of {wait:.1f} s is expected", pause)
            return

        self._send_to(choice, now)

    def _come_back(self) -> None:
        """Ask upstreams again that were met, if it is late to refuse the caller.

        Failure: the connection of a stream is reset, and the only other upstream is
        full for a moment. The stream would be cut off, though either can finish it. It
        is the same where we dropped an answer for a larger model's.
        """
        if not self.met or not (self.responder.started or self.dropped):
            give_up(self, "no upstream left")
            return

        self.met.clear()
        self.context.reactor.callLater(RETURN_SECONDS, self._send_next)

    def first_limit(self, now: float) -> float:
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
        log_placed(self, attempt, now)
        attempt.call = open_call(self, attempt, now)
        limit_silence(self, attempt, self.deadline - now)

    def check_silence(self, now: float) -> None:
        """Ask another upstream if this one seems to have gone dark."""
        check_silence(self, now)

    def end_now(self, reason: str, now: float) -> None:
        """Give the final answer at once."""
        end_now(self, reason, now)

    # --- the upstream's answer ------------------------------------------------

    def take_head(self, attempt: Attempt, status: int, headers: HeaderList) -> None:
        """Take the head of an answer in."""
        attempt.status = status
        attempt.headers = headers
        attempt.facts = self.context.dialect.read_answer(status, headers)
        attempt.body = []
        now = self.context.clock()
        note_first(self.context, self.route, attempt, now)
        note_read(self.context, self.facts, attempt, now)
        larger = find_larger(self, attempt, now)
        if larger is not None:
            self._ask_larger(attempt, larger)
            return

        if self._is_stream(attempt):
            attempt.streaming = True
            if not self.responder.started:
                self.responder.start(status, strip_hop_headers(headers))

    def _ask_larger(self, attempt: Attempt, larger: Choice) -> None:
        """Drop an unsure answer, of which the caller has nothing yet."""
        now = self.context.clock()
        attempt.cancel()
        release(self.context, attempt)
        count_fate(self.context, self.route, attempt, Fate.DONE, now)
        self.runs += 1
        self.dropped = True
        self._note_repeat(attempt, now)
        self._send_to(larger, now)

    def _is_stream(self, attempt: Attempt) -> bool:
        """Tell whether the answer is passed on as it arrives."""
        success = 200 <= attempt.status < 300
        return (
            success
            and self.route.kind is RouteKind.STREAM
            and is_sound(attempt, self.facts.request_id)
        )

    def take_data(self, attempt: Attempt, data: bytes) -> None:
        """Take a part of an answer in."""
        attempt.last_at = self.context.clock()
        self.context.signs[attempt.upstream] = attempt.last_at
        if not attempt.streaming:
            if attempt.body is not None:
                attempt.body.append(data)

            return

        end_reading(self.context, attempt)
        whole = self.splitter.feed(data)
        if whole:
            self.pauses.note(attempt.last_at)
            self.responder.write(whole)

    def take_end(self, attempt: Attempt, whole: bool, sent: bool) -> None:
        """Take in how a call ended.

        Failure: an error of our own here. The call is over and nothing else follows it,
        so the caller would wait for its answer until the deadline.
        """
        try:
            self._judge_end(attempt, whole, sent)
        except Exception as error:  # any fault of ours
            logger.opt(exception=error).error("gateway: Answer failed")
            if not self.over:
                self.stop_attempt()
                self.runs += sent
                give_up(self, "internal error")

    def _judge_end(self, attempt: Attempt, whole: bool, sent: bool) -> None:
        if attempt.over:
            return

        if attempt.facts is None:
            fate = Fate.BROKEN if sent else Fate.UNREACHED
            self.finish_attempt(attempt, fate, "no answer")
        elif attempt.facts.not_run:
            self.finish_attempt(attempt, Fate.NOT_RUN, f"refused {attempt.status}")
        elif not whole or not is_sound(attempt, self.facts.request_id):
            self.finish_attempt(attempt, Fate.BROKEN, "answer not whole")
        elif attempt.status >= 500 or not self._is_passable(attempt):
            self.finish_attempt(attempt, Fate.FAILED, f"status {attempt.status}")
        else:
            self.finish_attempt(attempt, Fate.DONE, "")

    def _is_passable(self, attempt: Attempt) -> bool:
        """Tell whether the caller can still get this answer.

        Failure: an upstream that was to go on with a stream refused. Its refusal can't
        follow the events that the caller has, and another upstream may go on.
        """
        return attempt.streaming or not self.responder.started

    # --- what follows ---------------------------------------------------------

    def finish_attempt(self, attempt: Attempt, fate: Fate, reason: str) -> None:
        """Count how a send ended, then answer, send again or give up."""
        release(self.context, attempt)
        now = self.context.clock()
        count_fate(self.context, self.route, attempt, fate, now)
        if fate in (Fate.BROKEN, Fate.FAILED, Fate.DONE):
            self.runs += 1

        if fate is Fate.DONE:
            deliver(self, attempt, now)
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

        give_up(self, reason)

    def _note_repeat(self, attempt: Attempt, now: float) -> None:
        limits = self.context.settings.retries
        note_repeat(self.context.retries, attempt.choice.service, now, limits)

    def may_run_again(self) -> bool:
        """Tell whether another upstream may run what may have run already."""
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

        return fate is Fate.UNREACHED or self.is_in_budget(now, FAILURE_PART)

    def is_in_budget(self, now: float, part: float) -> bool:
        """Tell whether all gateways' budget of repeats allows one more."""
        service = self.attempt.choice.service if self.attempt else ""
        return may_repeat(
            self.context.retries,
            service,
            self.context.settings.retries,
            part=part,
            gateways=count_gateways(self.context.load),
            now=now,
        )

    def _keep_answer(self, attempt: Attempt) -> None:
        """Keep an upstream's own failure: it is passed on if nothing better comes."""
        headers = strip_hop_headers(attempt.headers or [])
        self.last_answer = (attempt.status, headers, b"".join(attempt.body or []))

    def _leave(self) -> None:
        """Stop all work for a caller who has gone."""
        self.stop_attempt()
        settle(self, "caller_left", 0, self.context.clock())

    def stop_attempt(self) -> Attempt | None:
        """Cancel the send under way, and return it."""
        attempt = self.attempt
        if attempt is None or attempt.over:
            return None

        attempt.cancel()
        release(self.context, attempt)
        return attempt
