"""The end of a response: whether it is whole, and what it means for its attempt.

A response with neither a length nor chunks ends with its connection, which a process
that dies in the middle of it closes as cleanly as one that has finished. Its end is
accepted only if the upstream still accepts connections.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from loguru import logger

from ...routing.delays import explains_timeout
from ...routing.health import record_unreachable
from ..events import log_event
from ..http.client import ResponseEnd
from ..http.connection_check import CheckResult
from ..http.connection_check import ConnectionCheck
from .attempts import AttemptOutcome
from .attempts import is_delayed_here
from .attempts import is_for_request
from .attempts import is_valid_response
from .bounds import explain_break
from .bounds import find_passed
from .bounds import record_passed_bound
from .counted_breaks import check_counted
from .crashes import record_break
from .endings import give_up
from .flow import is_unread
from .probing import record_unanswered
from .relaying import is_refused_by_relay
from .relaying import record_relay_refusal
from .retrying import is_resumed
from .sending import CONNECT_SECONDS


if TYPE_CHECKING:
    from collections.abc import Callable

    from .attempts import Attempt
    from .exchange import Exchange


def end_attempt(exchange: Exchange, sent: bool, classify: Callable[[], None]) -> None:
    """Classify the end of an attempt.

    An internal error here must end the request: no further event follows the call's
    end, so the caller would otherwise wait until the deadline.
    """
    try:
        classify()
    except Exception as error:  # any internal error
        logger.opt(exception=error).error("gateway: Answer failed")
        if not exchange.finished:
            exchange.stop_attempt()
            exchange.runs += sent
            give_up(exchange, "internal error")


def classify_end(
    exchange: Exchange, attempt: Attempt, end: ResponseEnd, sent: bool
) -> None:
    """Finish an attempt by how its call has ended, or check its upstream first."""
    if attempt.finished:
        return

    now = exchange.context.clock()
    record_passed_bound(exchange, attempt)
    if attempt.withheld:
        exchange.finish_attempt(attempt, AttemptOutcome.WITHHELD, attempt.withheld)
    elif attempt.facts is None and is_delayed_here(exchange.context, attempt, now):
        exchange.finish_attempt(attempt, AttemptOutcome.DELAYED, "own delay")
    elif attempt.facts is None:
        outcome = AttemptOutcome.BROKEN if sent else AttemptOutcome.UNREACHED
        if not attempt.relayed:
            record_unanswered(exchange.context, attempt.upstream, now)

        if sent:
            record_break(exchange, attempt, now)
            check_counted(exchange.context, attempt)

        reason = explain_break(attempt, "no answer")
        exchange.finish_attempt(attempt, outcome, reason)
    elif is_refused_by_relay(attempt):
        record_relay_refusal(exchange, attempt)
        reason = f"relay refused {attempt.status}"
        exchange.finish_attempt(attempt, AttemptOutcome.UNREACHED, reason)
    elif attempt.facts.not_run and is_for_request(attempt, exchange.facts.request_id):
        reason = f"refused {attempt.status}"
        exchange.finish_attempt(attempt, AttemptOutcome.NOT_RUN, reason)
    else:
        classify_response(exchange, attempt, end)


def classify_response(exchange: Exchange, attempt: Attempt, end: ResponseEnd) -> None:
    """Finish an attempt to which an upstream has responded, by the response's end."""
    request_id = exchange.facts.request_id
    if end is ResponseEnd.CUT or not is_valid_response(attempt, request_id):
        break_attempt(exchange, attempt, "answer not whole")
    elif is_empty_resumption(exchange, attempt, end):
        classify_empty(exchange, attempt)
    elif is_cut_in_event(exchange, attempt, end):
        break_attempt(exchange, attempt, "ended inside an event")
    elif end is ResponseEnd.UNSTATED and may_be_cut(exchange, attempt):
        break_attempt(exchange, attempt, "ended unread")
    elif end is ResponseEnd.UNSTATED:
        classify = partial(classify_checked, exchange, attempt)
        attempt.check = check_upstream(exchange, attempt, classify)
    else:
        classify_whole(exchange, attempt)


def classify_checked(exchange: Exchange, attempt: Attempt, accepted: bool) -> None:
    """Finish an attempt by whether its upstream has accepted another connection."""
    if attempt.finished:
        return

    if accepted:
        classify_whole(exchange, attempt)
    else:
        break_attempt(exchange, attempt, "upstream gone")


def is_empty_resumption(exchange: Exchange, attempt: Attempt, end: ResponseEnd) -> bool:
    """Return whether a resumed stream has ended with its connection before an event."""
    if not attempt.streaming or end is not ResponseEnd.UNSTATED:
        return False

    splitter = exchange.splitter
    is_empty = splitter.events == attempt.events_before and not splitter.partial_event
    return is_empty and attempt.events_before > 0


def classify_empty(exchange: Exchange, attempt: Attempt) -> None:
    """Finish an attempt that has sent no event of a resumed stream.

    Nothing may be left of it, if it broke off after its last event. That is certain
    enough if two upstreams that still accept connections agree.
    """
    agreeing = exchange.empty_upstreams

    def record_check(accepted: bool) -> None:
        if accepted:
            agreeing.add(attempt.upstream)

    def classify(accepted: bool) -> None:
        record_check(accepted)
        classify_checked(exchange, attempt, accepted and len(agreeing) > 1)

    if agreeing - {attempt.upstream}:
        attempt.check = check_upstream(exchange, attempt, classify)
    else:
        check_upstream(exchange, attempt, record_check)
        break_attempt(exchange, attempt, "ended before an event")


def may_be_cut(exchange: Exchange, attempt: Attempt) -> bool:
    """Return whether a stream may have been closed early as its caller did not read.

    Another upstream tells whether anything is left of it.
    """
    now = exchange.context.clock()
    return is_resumed(exchange, attempt) and is_unread(exchange, attempt, now)


def break_attempt(exchange: Exchange, attempt: Attempt, reason: str) -> None:
    """Finish an attempt whose response has broken off."""
    now = exchange.context.clock()
    if find_passed(attempt) is None and is_unread(exchange, attempt, now):
        reason = f"{reason}, its caller did not read"
        exchange.finish_attempt(attempt, AttemptOutcome.UNREAD, reason)
        return

    record_break(exchange, attempt, now)
    check_counted(exchange.context, attempt)
    reason = explain_break(attempt, reason)
    exchange.finish_attempt(attempt, AttemptOutcome.BROKEN, reason)


def classify_whole(exchange: Exchange, attempt: Attempt) -> None:
    """Finish an attempt whose response is whole, by its status.

    If an upstream refuses to resume a stream, its refusal can't follow the events that
    the caller has received, and another upstream may resume the stream.
    """
    is_forwarded = attempt.streaming or attempt.forwarding
    can_forward = is_forwarded or not exchange.responder.started
    if attempt.status >= 500 or not can_forward:
        reason = f"status {attempt.status}"
        exchange.finish_attempt(attempt, AttemptOutcome.FAILED, reason)
    else:
        exchange.finish_attempt(attempt, AttemptOutcome.DONE, "")


def is_cut_in_event(exchange: Exchange, attempt: Attempt, end: ResponseEnd) -> bool:
    """Return whether a stream has ended inside an event, or before any.

    A stated end before the first event is accepted: nothing is left after the last
    event that the caller has, or the body is no event stream.
    """
    if not attempt.streaming:
        return False

    splitter = exchange.splitter
    if end is ResponseEnd.UNSTATED and splitter.events == attempt.events_before:
        return True

    return splitter.events > 0 and bool(splitter.partial_event.strip())


def check_upstream(
    exchange: Exchange, attempt: Attempt, on_checked: Callable[[bool], None]
) -> ConnectionCheck:
    """Check whether an upstream that has closed a connection still accepts others."""
    context = exchange.context
    upstream = attempt.choice.placement.upstream

    def handle_result(result: CheckResult) -> None:
        now = context.clock()
        accepted = result is CheckResult.ACCEPTED
        log_event(
            "gateway: Unstated end checked",
            request=exchange.facts.request_id,
            upstream=attempt.upstream,
            attempt=exchange.attempt_count,
            accepted=accepted,
            events=exchange.splitter.events,
        )
        timed_out = result is CheckResult.UNANSWERED
        excused = timed_out and explains_timeout(context.delays, CONNECT_SECONDS, now)
        if not (accepted or excused or attempt.relayed):
            record_unreachable(context.health, attempt.upstream, now)
            record_unanswered(context, attempt.upstream, now)

        end_attempt(exchange, True, partial(on_checked, accepted))

    return ConnectionCheck(
        reactor=context.reactor,
        address=(upstream.host, upstream.port),
        timeout=CONNECT_SECONDS,
        on_result=handle_result,
    )
