"""Detection of upstreams that accept a request and then send no data.

The connections of an unresponsive upstream stay open, so its requests would wait until
their callers disconnect. A request fails over only if another upstream can take it,
as the unresponsive one's response may still be on its way.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.delays import explains_timeout
from ...routing.health import record_unreachable
from ...routing.idle_timeout import find_idle_timeout
from ...routing.records import RouteKind
from .attempts import AttemptOutcome
from .crashes import record_silence
from .retrying import can_fail_over
from .retrying import may_run_again


if TYPE_CHECKING:
    from .attempts import Attempt
    from .exchange import Exchange


UNRESPONSIVE_OBJECTIVES = 1.5
"""Multiple of the route's objective after which an idempotent call without a response
fails over: it is late by then, and 95 % of calls take a third of that."""
RELAY_SECONDS = 2.0
"""Seconds that a relay may take longer than an upstream, to fail over to another."""
UNRESPONSIVE_SHARE = 0.4
"""Share of the request's whole time that bounds the same wait, so that the second
attempt has the longer part."""


def start_response_timer(
    exchange: Exchange, attempt: Attempt, remaining: float
) -> None:
    """Start the timer for the first byte of an idempotent call that may run again."""
    route = exchange.route
    if route.kind is not RouteKind.IDEMPOTENT or not may_run_again(exchange):
        return

    total = exchange.deadline - exchange.started_at
    limit = min(UNRESPONSIVE_OBJECTIVES * route.objective, UNRESPONSIVE_SHARE * total)
    if limit < remaining:
        reactor = exchange.context.reactor
        attempt.timer = reactor.callLater(limit, abandon, exchange, attempt)


def abandon(exchange: Exchange, attempt: Attempt) -> None:
    """Fail over a call whose first byte did not arrive in time."""
    if attempt.finished or attempt.first_byte_at is not None:
        return

    now = exchange.context.clock()
    if explains_timeout(exchange.context.delays, now - attempt.started_at, now):
        return

    record_silence(exchange, attempt, now)
    if not can_fail_over(exchange, now):
        return

    attempt.cancel()
    exchange.finish_attempt(attempt, AttemptOutcome.BROKEN, "no response in time")


def find_limit(exchange: Exchange, attempt: Attempt) -> float:
    """Return the seconds without data after which an attempt at a stream fails over.

    A relay needs the time in which it fails over itself. How long its upstream's queue
    is, is not known here.
    """
    started = attempt.first_byte_at is not None
    if not attempt.relayed:
        expected = attempt.choice.placement.wait / 1000
        return find_idle_timeout(started=started, expected=expected)

    objective = exchange.route.objective
    return RELAY_SECONDS + find_idle_timeout(started=started, expected=objective)


def check_responsiveness(exchange: Exchange, now: float) -> None:
    """Fail over a stream if its upstream seems to be unresponsive."""
    attempt = exchange.attempt
    if (
        attempt is None
        or attempt.finished
        or exchange.route.kind is not RouteKind.STREAM
        or exchange.flow.paused
    ):
        return

    active_at = exchange.context.upstream_active_at.get(attempt.upstream, 0.0)
    read_at = exchange.flow.resumed_at
    idle = now - max(attempt.started_at, attempt.last_byte_at, active_at, read_at)
    if idle <= find_limit(exchange, attempt):
        return

    if explains_timeout(exchange.context.delays, idle, now):
        return

    record_silence(exchange, attempt, now)
    if not can_fail_over(exchange, now):
        return

    record_unreachable(exchange.context.health, attempt.upstream, now)
    attempt.cancel()
    exchange.finish_attempt(attempt, AttemptOutcome.BROKEN, f"no data for {idle:.1f} s")
