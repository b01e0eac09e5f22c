"""Waits of requests for upstreams that lack only a permit, or room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.admission import MAX_RETRY_AFTER_PART
from ...routing.admission import choose_retry_after
from ...routing.room import INTERVAL_SECONDS
from ...routing.room import is_brittle
from .choice import find_session_key
from .choice import has_restricted_upstream
from .endings import give_up
from .restrictions import estimate_permit_seconds


if TYPE_CHECKING:
    from collections.abc import Callable

    from .exchange import Exchange


POLL_SECONDS = 0.25
"""Seconds between checks for a permit; permits arrive in response to reports."""
MAX_WAITING = 50
"""Requests that wait at one gateway; more of them would wait in vain."""


def wait_for_permit(
    exchange: Exchange, send_next: Callable[[], None], now: float
) -> bool:
    """Wait or refuse a request whose upstreams lack only a permit, or room.

    Returns False if there is no such upstream, or if it is too late to refuse the
    caller. The wait calls ``send_next`` when a permit may have arrived; a request that
    has no chance of one in time is refused at once.
    """
    if exchange.responder.started or exchange.response_dropped:
        return False

    service = exchange.find_service()
    session = find_session_key(exchange.facts)
    if not has_restricted_upstream(
        exchange.context, service, session, exchange.tried_upstreams, now
    ):
        return False

    context = exchange.context
    expected = estimate_permit_seconds(context)
    if is_brittle(context.brittle, service, now):
        # The load of a full upstream is known again with the next totals.
        expected = min(expected, INTERVAL_SECONDS)

    total = exchange.deadline - exchange.started_at
    # Its caller can still try another gateway in the larger part.
    latest = exchange.started_at + MAX_RETRY_AFTER_PART * total
    in_vain = now >= latest or now + expected > exchange.deadline
    if in_vain or context.waiting >= MAX_WAITING:
        pause = choose_retry_after(expected, exchange.deadline - now)
        give_up(exchange, "all upstreams are at their limits", pause)
        return True

    def end_wait() -> None:
        context.waiting -= 1
        send_next()

    context.waiting += 1
    context.reactor.callLater(min(POLL_SECONDS, latest - now), end_wait)
    return True
