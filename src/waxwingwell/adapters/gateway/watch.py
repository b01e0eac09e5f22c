"""Detection of upstreams that accept a request and then send no data.

The connections of an unresponsive upstream stay open, so its requests would wait until
their callers disconnect. A request fails over only if another upstream can take it,
as the unresponsive one's response may still be on its way.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from ...routing.call_times import begin_call
from ...routing.call_times import is_usual
from ...routing.call_times import list_faster
from ...routing.call_times import list_too_slow
from ...routing.delays import explains_timeout
from ...routing.delays import is_link_alive
from ...routing.health import record_unreachable
from ...routing.idle_timeout import find_idle_timeout
from ...routing.reachability import has_lost_path
from ...routing.records import RouteKind
from ...routing.silence import list_silent
from .attempts import AttemptOutcome
from .choice import NO_UPSTREAMS
from .choice import list_staying
from .crashes import record_silence
from .retrying import can_fail_over
from .retrying import may_run_again


if TYPE_CHECKING:
    from .attempts import Attempt
    from .exchange import Exchange


UNRESPONSIVE_OBJECTIVES = 1.5
"""Multiple of the route's objective after which an idempotent call without a response
may fail over: it is late by then, and 95 % of calls take a third of that."""
RELAY_FACTOR = 2.0
"""Multiple of the same wait for a relay, which fails over itself meanwhile."""
RECHECK_PART = 0.25
"""Part of the same wait after which it is checked again whether a call fails over."""
MIN_RECHECK_SECONDS = 0.02
RELAY_SECONDS = 2.0
"""Seconds that a relay may take longer than an upstream, to fail over to another."""
UNRESPONSIVE_SHARE = 0.4
"""Share of the request's whole time that bounds the same wait, so that the second
attempt has the longer part."""


def start_response_timer(
    exchange: Exchange, attempt: Attempt, remaining: float
) -> None:
    """Time an idempotent call, and start the timer for its first byte.

    There is no timer if the call may not run again.
    """
    route = exchange.route
    if route.kind is not RouteKind.IDEMPOTENT:
        return

    context = exchange.context
    attempt.timing = begin_call(
        context.call_times,
        route.name,
        attempt.upstream,
        attempt.started_at,
        is_moved=exchange.has_moved,
    )
    if not may_run_again(exchange):
        return

    limit = find_response_limit(exchange, attempt)
    if limit < remaining:
        attempt.timer = context.reactor.callLater(limit, abandon, exchange, attempt)


def find_response_limit(exchange: Exchange, attempt: Attempt) -> float:
    """Return the seconds after which a call without a response may fail over."""
    total = exchange.deadline - exchange.started_at
    limit = min(
        UNRESPONSIVE_OBJECTIVES * exchange.route.objective, UNRESPONSIVE_SHARE * total
    )
    return limit * RELAY_FACTOR if attempt.relayed else limit


def abandon(exchange: Exchange, attempt: Attempt) -> None:
    """Fail over a call whose first byte did not arrive in time, or check again later.

    Where no other upstream is known to answer sooner, the response is waited for.
    """
    if attempt.finished or attempt.first_byte_at is not None:
        return

    now = exchange.context.clock()
    if not may_leave(exchange, attempt, now):
        pause = RECHECK_PART * find_response_limit(exchange, attempt)
        delay = max(pause, MIN_RECHECK_SECONDS)
        reactor = exchange.context.reactor
        attempt.timer = reactor.callLater(delay, abandon, exchange, attempt)
        return

    exchange.has_moved = True
    attempt.cancel()
    exchange.finish_attempt(attempt, AttemptOutcome.BROKEN, "no response in time")


def may_leave(exchange: Exchange, attempt: Attempt, now: float) -> bool:
    """Return whether a call may leave its upstream for one that answers sooner."""
    context = exchange.context
    if attempt.timing is None:
        return False

    if explains_timeout(context.delays, now - attempt.started_at, now):
        return False

    if not is_usual(context.call_times, attempt.timing, now):
        record_silence(exchange, attempt, now)

    candidates = list_others(exchange, now)
    faster = list_faster(
        context.call_times,
        attempt.timing,
        candidates,
        now,
        exchange.deadline - now,
        may_try=not exchange.has_moved,
    )
    if not faster:
        return False

    exchange.slow_upstreams = candidates.difference(faster)
    if can_fail_over(exchange, now):
        record_silence(exchange, attempt, now)
        return True

    exchange.slow_upstreams = NO_UPSTREAMS
    return False


def list_others(exchange: Exchange, now: float) -> frozenset[str]:
    """Return the upstreams, or the relays, that a call may fail over to."""
    context = exchange.context
    if has_lost_path(context.path) and not exchange.relayed:
        names = frozenset(one.name for one in context.relays)
    else:
        service = exchange.find_service()
        staying = list_staying(context, service, -math.inf, now)
        names = frozenset(one.upstream for one in staying)

    return names - exchange.tried_upstreams


def list_late(exchange: Exchange, now: float) -> frozenset[str]:
    """Return the upstreams at which a retry would probably be late."""
    if not exchange.arrivals:
        return NO_UPSTREAMS

    context = exchange.context
    late = NO_UPSTREAMS
    if not exchange.follows_good and is_link_alive(context.delays, now):
        late = list_silent(context.silences, now)

    route = exchange.route
    if route.kind is not RouteKind.IDEMPOTENT:
        return late

    remaining = exchange.deadline - now
    return late | list_too_slow(context.call_times, route.name, now, remaining)


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
