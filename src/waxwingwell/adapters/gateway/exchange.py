"""The life cycle of a request: placement, attempts, retries and final response."""

from __future__ import annotations

from functools import cached_property
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from ...routing.admission import can_be_served
from ...routing.admission import choose_retry_after
from ...routing.engine_paces import record_events
from ...routing.load import count_running
from ...routing.reachability import has_lost_path
from ...routing.reachability import is_cut_off
from ...routing.records import RouteKind
from ...routing.retries import FAILURE_PART
from ...routing.silence import record_byte
from ...routing.tallies import record_piece
from ...routing.tallies import start_stream
from ..events import log_event
from ..http.client import ResponseEnd
from .attempts import Attempt
from .attempts import AttemptOutcome
from .attempts import finish_prefill
from .attempts import is_forwarded_stream
from .attempts import record_cached_blocks
from .attempts import record_first_byte
from .attempts import record_outcome
from .attempts import record_pace
from .attempts import record_part
from .attempts import record_progress
from .attempts import release_attempt
from .bounds import collect_body
from .bounds import find_passed_bound
from .calls import open_call
from .causes import RetryCause
from .causes import record_cause
from .choice import NO_UPSTREAMS
from .choice import Choice
from .choice import choose_service
from .choice import choose_upstream
from .choice import explain_missing_upstream
from .choice import find_session_key
from .crashes import cancel_quarantined
from .crashes import check_progress
from .crashes import check_silence
from .crashes import hash_request_content
from .crashes import list_shared_blocks
from .crashes import must_refuse
from .crashes import record_alive
from .crashes import record_success
from .crashes import try_quarantined
from .endings import expire
from .endings import finish_now
from .endings import forward_response
from .endings import give_up
from .endings import record_end
from .endings import refuse_quarantined
from .endings import to_ms
from .escalation import find_first_model
from .escalation import find_larger
from .events import EventPauses
from .events import EventSplitter
from .flow import Flow
from .flow import pause_exchange
from .flow import resume_exchange
from .held import count_held
from .pacing import record_call
from .pacing import start_pace
from .probing import record_reached
from .relaying import NO_ATTEMPTS
from .relaying import EarlierAttempts
from .relaying import choose_relay
from .relaying import make_response_headers
from .relaying import read_relay_response
from .response_ends import classify_end
from .response_ends import end_attempt
from .retrying import count_runs
from .retrying import may_retry_after
from .retrying import reserve_attempt
from .sending import find_urgency
from .sending import log_placement
from .statements import record_statements
from .upstream_waits import choose_pause
from .upstream_waits import may_serve_later
from .upstream_waits import wait_for_upstream
from .watch import check_responsiveness
from .watch import list_late
from .watch import start_response_timer


if TYPE_CHECKING:
    from ...routing.records import Route
    from ...routing.records import Workspace
    from ..http.records import HeaderList
    from ..http.records import HttpRequest
    from ..http.responder import Responder
    from .context import GatewayContext
    from .dialect import RequestFacts


RETRY_DELAY_SECONDS = 0.2
"""Seconds after which a started response retries upstreams that it has already tried:
time for one at capacity to finish a call, and a tenth of what callers wait for the next
event."""
IDLE_WAIT_MS = 40.0
"""Expected wait in milliseconds, without the request's own prefill, below which an
upstream counts as idle."""


class Exchange:
    """One request of a caller, from its arrival to its final response."""

    def __init__(
        self,
        context: GatewayContext,
        request: HttpRequest,
        facts: RequestFacts,
        route: Route,
        workspace: Workspace | None,
        responder: Responder,
        now: float,
        *,
        relayed: bool = False,
        earlier: EarlierAttempts = NO_ATTEMPTS,
    ) -> None:
        self.context = context
        self.index = context.index
        """Document in force at arrival: a later one may drop the service, and requests
        admitted to it still have to be retried at its upstreams."""
        self.request = request
        self.facts = facts
        self.route = route
        self.workspace = workspace
        self.responder = responder
        self.started_at = now
        budget = route.timeout
        if facts.budget is not None:
            budget = min(budget, facts.budget)

        self.deadline = now + budget
        self.blocks = list_shared_blocks(self.find_service(), facts.prompt_blocks)
        """Keys of the prompt blocks that other requests may hold."""
        self.is_trial = False
        """Whether it is sent although it is quarantined."""
        self.crashes = 0
        """Upstreams that have crashed when this request's response had just started."""
        self.ended = set(earlier.crashes)
        """Keys of the crashes that may have ended its attempts, also before another
        gateway relayed this."""
        self.attempt: Attempt | None = None
        self.attempt_count = 0
        self.runs = earlier.runs
        """Attempts that may have run, also before another gateway relayed this."""
        self.arrivals = earlier.arrivals
        """Attempts that have reached upstreams, counted in the same way."""
        self.max_runs = min(route.max_attempts, earlier.max_runs or route.max_attempts)
        """Attempts that may run in all."""
        self.retry_part = FAILURE_PART
        """Part of the retry budget that the next attempt may use."""
        self.retry_cause = RetryCause.RELAYED
        """Why the next arrival is a retry, if it is one."""
        self.retries: list[RetryCause] = []
        """Causes of the retries that were sent."""
        self.follows_good = False
        """Whether the last attempt ended only as its caller did not read."""
        self.retried_at = now
        """Time at which the last attempt ended or was dropped."""
        self.relayed = relayed
        """Whether another gateway sent the request, so that it is not relayed again."""
        self.tried_upstreams: set[str] = set()
        self.slow_upstreams = NO_UPSTREAMS
        """Upstreams that the next attempt leaves out, as they are not known to answer
        sooner than the last one."""
        self.has_moved = False
        """Whether it has left an upstream that had not answered in time."""
        self.empty_upstreams: set[str] = set()
        """Upstreams that live, and sent no event when they resumed the stream."""
        self.splitter = EventSplitter(facts.resume_after)
        self.pauses = EventPauses()
        self.flow = Flow()
        self.held = 0
        """Bytes of upstreams that are held, as counted in the context."""
        self.response_dropped = False
        """Whether a low-confidence response was dropped for a larger model's."""
        self.last_response: tuple[int, HeaderList, bytes] | None = None
        self.model = ""
        self.finished = False
        self.overdue = False
        """Whether the stream has outlasted the caller's own deadline."""
        self.deadline_timer: Any = None

    # --- placement ------------------------------------------------------------

    def start(self) -> None:
        """Start the request; the final response goes through the responder."""
        self.open()
        self.send()

    def open(self) -> None:
        """Handle the end of the caller and of its time from now on."""
        self.context.exchanges.add(self)
        self.responder.on_lost = self._handle_caller_gone
        self.responder.on_pause = partial(pause_exchange, self)
        self.responder.on_resume = partial(resume_exchange, self)
        delay = max(self.deadline - self.context.clock(), 0.0)
        self.deadline_timer = self.context.reactor.callLater(
            delay, self._handle_deadline
        )

    def send(self) -> None:
        """Send the request to its first upstream."""
        self.send_next()

    def choose_upstream(self, now: float) -> Choice | None:
        """Return the best upstream that has not been tried, or a relay to one."""
        if self.finished or must_refuse(self):
            return None

        relay = choose_relay(self, now)
        if relay is not None or is_cut_off(self.context.path):
            return relay

        excluded = self.tried_upstreams | self.slow_upstreams
        late = list_late(self, now)
        if late:
            choice = self._choose_direct(excluded | late, now)
            if choice is not None:
                return choice

        return self._choose_direct(excluded, now)

    def _choose_direct(self, excluded: set[str], now: float) -> Choice | None:
        """Return the best upstream but those that are excluded."""
        if self.index is None:
            return None

        return choose_upstream(
            self.context,
            self.index,
            self.route,
            self.facts,
            model=self.model,
            excluded=excluded,
            response_started=self.responder.started,
            limit=self.first_event_limit(now),
            now=now,
            remaining=self.deadline - now,
            urgency=find_urgency(self.route, self.workspace),
        )

    def is_in_time(self, choice: Choice, now: float) -> bool:
        """Return whether the first event is expected before the deadline."""
        return can_be_served(choice.placement.wait / 1000, self.deadline - now)

    @property
    def is_bound(self) -> bool:
        """Whether it is too late to refuse the caller: a response has arrived.

        The caller is then served best by whichever upstream may be in time, as expected
        waits are estimates.
        """
        return self.responder.started or self.response_dropped

    def send_next(self) -> None:
        """Send the request to the best upstream that has not been tried."""
        now = self.context.clock()
        if self.finished:
            return

        if must_refuse(self) and not try_quarantined(self, now):
            refuse_quarantined(self)
            return

        if self.attempt_count == 0 and not has_lost_path(self.context.path):
            self.model = find_first_model(self, now)

        choice = self.choose_upstream(now)
        if choice is None:
            if is_cut_off(self.context.path) or not wait_for_upstream(
                self, self.send_next, now
            ):
                self._retry_tried_upstreams()

            return

        if not (self.is_bound or self.is_in_time(choice, now)):
            wait = choice.placement.wait / 1000
            pause = choose_retry_after(wait, self.deadline - now)
            give_up(self, f"expected wait of {wait:.1f} s exceeds the time left", pause)
            return

        self._send_to(choice, now)

    def _retry_tried_upstreams(self) -> None:
        """Retry upstreams already tried, if it is too late to refuse the caller.

        If a stream's connection is reset and the only other upstream is at capacity for
        a moment, the stream would be cut although either could finish it. The same
        applies after a response was dropped in favour of a larger model's.
        """
        now = self.context.clock()
        if not self.is_bound or not (
            self.tried_upstreams or may_serve_later(self, now)
        ):
            reason = explain_missing_upstream(self.context, self.find_service(), now)
            give_up(self, reason, choose_pause(self, now))
            return

        self.tried_upstreams.clear()
        self.context.reactor.callLater(RETRY_DELAY_SECONDS, self.send_next)

    def first_event_limit(self, now: float) -> float:
        """Return the seconds left to meet the objective for the first event."""
        return min(self.started_at + self.route.objective, self.deadline) - now

    def _send_to(self, choice: Choice, now: float, *, is_choice: bool = False) -> None:
        attempt = Attempt(choice, now, self.splitter.events)
        if not reserve_attempt(self, attempt, now, is_choice=is_choice):
            give_up(self, "retry budget is used up")
            return

        self.attempt_count += 1
        self.model = choice.model
        self.attempt = attempt
        self.tried_upstreams.add(attempt.upstream)
        self.slow_upstreams = NO_UPSTREAMS
        placement = choice.placement
        idle = placement.wait - placement.work * placement.factor < IDLE_WAIT_MS
        attempt.samples_prefill_speed = idle and self.route.kind is RouteKind.STREAM
        log_placement(self, attempt, now)
        attempt.call = open_call(self, attempt, now)
        start_response_timer(self, attempt, self.deadline - now)

    def check_responsiveness(self, now: float) -> None:
        """Fail over to another upstream if this one seems to be unresponsive."""
        check_responsiveness(self, now)

    def check_progress(self, now: float) -> None:
        """Clear the prompt blocks if the response has run for long enough."""
        check_progress(self, now)

    def cancel_if_quarantined(self) -> None:
        """End the request if it is quarantined and its response has not started."""
        cancel_quarantined(self)

    def finish_now(self, reason: str, now: float) -> None:
        """Send the final response at once."""
        finish_now(self, reason, now)

    # --- upstream response ----------------------------------------------------

    def handle_head(self, attempt: Attempt, status: int, headers: HeaderList) -> None:
        """Handle the head of an upstream's response."""
        if attempt.relayed:
            headers = read_relay_response(attempt, headers)

        attempt.status = status
        attempt.headers = headers
        attempt.facts = self.context.dialect.read_response(status, headers)
        attempt.has_length = attempt.framing == "length"
        now = self.context.clock()
        record_first_byte(self.context, self.route, attempt, now)
        record_statements(self.context, attempt, now)
        record_alive(self.context, attempt)
        if not attempt.relayed:
            record_reached(self.context, now)

        record_cached_blocks(self.context, self.facts, attempt, now)
        larger = find_larger(self, attempt, now)
        if larger is not None:
            self._switch_to_larger_model(attempt, larger)
            return

        if is_forwarded_stream(attempt, self.route, self.facts.request_id):
            attempt.streaming = True
            start_pace(self, attempt)
            if attempt.counted is not None:
                start_stream(attempt.counted, now)

            if not self.responder.started:
                self.responder.start(status, make_response_headers(self, attempt))

    def _switch_to_larger_model(self, attempt: Attempt, larger: Choice) -> None:
        """Drop a low-confidence response before the caller has received any of it."""
        now = self.context.clock()
        attempt.cancel()
        release_attempt(self.context, attempt)
        record_outcome(
            self.context, self.route, attempt, AttemptOutcome.DONE, now, dropped=True
        )
        self.runs += 1
        record_cause(self, attempt, AttemptOutcome.DONE)
        self.response_dropped = True
        self.follows_good = True
        self.retried_at = now
        self._send_to(larger, now, is_choice=True)

    def handle_data(self, attempt: Attempt, data: bytes) -> None:
        """Handle a chunk of a response's body."""
        now = self.context.clock()
        self.context.delays.received_at = now
        attempt.body_bytes += len(data)
        if attempt.has_length:
            record_progress(self.context, attempt, now)

        if attempt.streaming:
            self._forward_events(attempt, data, now)
        else:
            collect_body(self, attempt, data)
            if not attempt.has_length:
                record_part(self.context, attempt, now)

        is_held = self.splitter.partial_event or attempt.body.size
        if is_held or self.held:
            count_held(self)

        if is_held or attempt.body_bytes > self.context.settings.unstated_body_bytes:
            self._check_bounds(attempt)

    def _check_bounds(self, attempt: Attempt) -> None:
        """End a call whose response has passed a bound."""
        passed = find_passed_bound(self, attempt)
        if passed is not None and attempt.call is not None:
            attempt.call.passed = passed
            attempt.cancel()
            self.handle_end(attempt, ResponseEnd.CUT, True)

    def _forward_events(self, attempt: Attempt, data: bytes, now: float) -> None:
        """Forward the events that are complete with a piece of a stream."""
        if attempt.work:
            finish_prefill(self.context, attempt)

        events_before = self.splitter.events
        complete_events = self.splitter.feed(data)
        if attempt.counted is not None:
            record_piece(
                attempt.counted,
                self.splitter.events - attempt.events_before,
                count_running(self.context.load, attempt.upstream),
            )

        if not complete_events:
            record_part(self.context, attempt, now)
            return

        record_progress(self.context, attempt, now)
        if attempt.pace is not None:
            events = self.splitter.events - events_before
            record_events(self.context.paces, attempt.pace, events, now)

        self.pauses.record(now)
        self.responder.write(complete_events)

    def handle_end(self, attempt: Attempt, end: ResponseEnd, sent: bool) -> None:
        """Handle the end of a call."""
        attempt.ended_at = self.context.clock()
        if sent:
            record_byte(self.context.silences, attempt.upstream)

        end_attempt(self, sent, partial(classify_end, self, attempt, end, sent))

    # --- end of an attempt ----------------------------------------------------

    def finish_attempt(
        self, attempt: Attempt, outcome: AttemptOutcome, reason: str
    ) -> None:
        """Record an attempt's outcome, then respond, retry or give up."""
        release_attempt(self.context, attempt)
        now = self.context.clock()
        record_outcome(self.context, self.route, attempt, outcome, now)
        count_runs(self, attempt, outcome)
        record_cause(self, attempt, outcome)
        self.retried_at = now
        if outcome is AttemptOutcome.DONE:
            record_success(self, now)
            record_call(self, attempt, now)
            record_pace(self.context, self.facts, attempt)
            forward_response(self, attempt, now)
            return

        log_event(
            "gateway: Attempt ended",
            request=self.facts.request_id,
            upstream=attempt.upstream,
            incarnation=attempt.choice.placement.upstream.incarnation,
            blocks=[block for block, _ in self.facts.prompt_blocks[:-1]],
            content=f"{self.content:x}",
            attempt=self.attempt_count,
            fate=outcome.value,
            reason=reason,
            status=attempt.status,
            framing=attempt.framing,
            connect_ms=to_ms(attempt.connected_at, attempt.started_at),
            timed_out=attempt.call is not None and attempt.call.timed_out,
            own_delay_ms=round(self.context.delays.delay * 1000),
            rest=attempt.facts and attempt.facts.rest,
            ms=round((now - attempt.started_at) * 1000),
            events=self.splitter.events,
            events_before=attempt.events_before,
        )
        if outcome is AttemptOutcome.FAILED:
            self._keep_response(attempt)
        elif outcome in (AttemptOutcome.DELAYED, AttemptOutcome.WITHHELD):
            self.tried_upstreams.discard(attempt.upstream)

        self.splitter.discard_partial_event()
        attempt.body.clear()
        count_held(self)
        # A relay has retried the request itself before it passes a failure on.
        final = attempt.relayed and outcome is AttemptOutcome.FAILED
        if not final and may_retry_after(self, outcome, now):
            if self.flow.paused:
                self.flow.awaits_reader = True
            else:
                self.send_next()

            return

        give_up(self, reason)

    @cached_property
    def content(self) -> int:
        """Key of what all attempts of the request share."""
        return hash_request_content(
            self.route.name, self.request, self.context.dialect.varying
        )

    def drop_body(self) -> None:
        """Drop the request's body; the key of its content stays known."""
        _ = self.content  # is computed while there is a body
        self.request.body.clear()

    def find_service(self) -> str:
        """Return the service that the request is sent to."""
        return choose_service(self.route, find_session_key(self.facts))

    def _keep_response(self, attempt: Attempt) -> None:
        """Keep an upstream's own error response, sent if no attempt succeeds."""
        headers = make_response_headers(self, attempt)
        self.last_response = (attempt.status, headers, attempt.body.join())

    def _handle_deadline(self) -> None:
        """End the request at its deadline, or soon after."""
        check_silence(self, self.context.clock())
        expire(self)

    def _handle_caller_gone(self) -> None:
        """Cancel the request after its caller has disconnected."""
        check_silence(self, self.context.clock())
        self.stop_attempt()
        reason = self.responder.lost_reason
        record_end(self, "caller_left", 0, self.context.clock(), reason)

    @property
    def holds_slot(self) -> bool:
        """Whether an upstream runs it for this gateway."""
        attempt = self.running_attempt
        return attempt is not None and not attempt.relayed

    @property
    def running_attempt(self) -> Attempt | None:
        """The current attempt, or None if none is running."""
        attempt = self.attempt
        return None if attempt is None or attempt.finished else attempt

    def stop_attempt(self) -> Attempt | None:
        """Cancel the current attempt and return it, or None if none is running."""
        attempt = self.running_attempt
        if attempt is None:
            return None

        attempt.cancel()
        release_attempt(self.context, attempt)
        return attempt
