"""Waits of requests for upstreams that lack only a permit or room, or that rest."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.admission import MAX_RETRY_AFTER_PART
from ...routing.admission import choose_retry_after
from ...routing.reachability import is_cut_off
from ...routing.room import INTERVAL_SECONDS
from ...routing.room import is_brittle
from .choice import find_session_key
from .choice import find_shortest_rest
from .choice import list_candidates
from .endings import RETRY_AFTER
from .endings import give_up
from .restrictions import estimate_permit_seconds


if TYPE_CHECKING:
    from collections.abc import Callable

    from ...routing.fleet import Announcement
    from .context import GatewayContext
    from .exchange import Exchange


POLL_SECONDS = 0.25
"""Seconds between checks for a permit; permits arrive in response to reports."""
MAX_WAITING = 50
"""Requests that wait at one gateway; more of them would wait in vain."""


def wait_for_upstream(
    exchange: Exchange, send_next: Callable[[], None], now: float
) -> bool:
    """Wait or refuse a request whose upstreams lack only a permit or room, or rest.

    Returns False if there is no such upstream, or if it is too late to refuse the
    caller. The wait calls ``send_next`` when a permit may have arrived or a rest is
    over; a request that has no chance of either in time is refused at once.
    """
    if exchange.is_bound:
        return False

    context = exchange.context
    tried = exchange.tried_upstreams
    upstreams = [one for one in list_all(exchange, now) if one.upstream not in tried]
    if not upstreams:
        return False

    total = exchange.deadline - exchange.started_at
    # Its caller can still try another gateway in the larger part.
    latest = exchange.started_at + MAX_RETRY_AFTER_PART * total
    rest = find_shortest_rest(context, upstreams, now)
    expected = rest or estimate_wait(context, exchange.find_service(), now)
    limit = latest if rest else exchange.deadline
    in_vain = now >= latest or now + expected > limit
    if in_vain or context.waiting >= MAX_WAITING:
        pause = choose_retry_after(expected, exchange.deadline - now)
        give_up(exchange, "all upstreams are at their limits or rest", pause)
        return True

    def end_wait() -> None:
        context.waiting -= 1
        send_next()

    context.waiting += 1
    delay = min(choose_delay(context, rest), latest - now)
    context.reactor.callLater(delay, end_wait)
    return True


def choose_delay(context: GatewayContext, rest: float) -> float:
    """Return the seconds until a waiting request is placed again.

    Requests that wait for the same rest would otherwise all arrive at its end.
    """
    if 0.0 < rest <= POLL_SECONDS:
        return rest + POLL_SECONDS * context.random.random()

    return POLL_SECONDS


def estimate_wait(context: GatewayContext, service: str, now: float) -> float:
    """Return the expected seconds until a permit arrives, or room is known."""
    expected = estimate_permit_seconds(context)
    if is_brittle(context.brittle, service, now):
        # The load of a full upstream is known again with the next totals.
        return min(expected, INTERVAL_SECONDS)

    return expected


def choose_pause(exchange: Exchange, now: float) -> float:
    """Return the seconds after which a refused caller may retry."""
    rest = find_shortest_rest(exchange.context, list_all(exchange, now), now)
    return choose_retry_after(rest, exchange.deadline - now) if rest else RETRY_AFTER


def may_serve_later(exchange: Exchange, now: float) -> bool:
    """Return whether an upstream may serve a request for which none is usable now."""
    context = exchange.context
    upstreams = list_all(exchange, now)
    if is_cut_off(context.path) or not upstreams:
        return False

    return now + find_shortest_rest(context, upstreams, now) < exchange.deadline


def list_all(exchange: Exchange, now: float) -> list[Announcement]:
    """Return the upstreams that may run a request, also those tried or restricted."""
    service, session = exchange.find_service(), find_session_key(exchange.facts)
    return list_candidates(exchange.context, service, session, now)
