"""Flow control from the connection of a caller to the upstream of its request.

While a caller has too much left to read, its upstream is not read either. The upstream
then seems silent, and may close a response that nobody reads; neither says anything
about it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...routing.tallies import drop_pace
from ..events import log_event


if TYPE_CHECKING:
    from .attempts import Attempt
    from .exchange import Exchange


UNREAD_SECONDS = 2.0
"""Seconds after a pause in which the end of a response may have been caused by it: a
close during the pause is noticed only after the bytes in front of it are read."""


@dataclass(slots=True)
class Flow:
    """Whether and since when the caller of a request does not read its response."""

    paused_at: float | None = None
    """Start of the pause that lasts; None without one."""
    resumed_at: float = -math.inf
    """End of the last pause."""
    pauses: int = 0
    seconds: float = 0.0
    """Length of all pauses that have ended."""
    awaits_reader: bool = False
    """Whether the response is resumed elsewhere once its caller reads again."""

    @property
    def paused(self) -> bool:
        """Whether the upstream is not read at present."""
        return self.paused_at is not None


def pause_exchange(exchange: Exchange) -> None:
    """Stop reading the upstream of a request."""
    attempt = exchange.running_attempt
    if attempt is None or exchange.flow.paused:
        return

    exchange.flow.paused_at = exchange.context.clock()
    exchange.flow.pauses += 1
    attempt.was_paused = True
    if attempt.counted is not None:
        drop_pace(attempt.counted)

    if attempt.call is not None:
        attempt.call.pause()

    if exchange.flow.pauses == 1:
        log_event(
            "gateway: Caller reads slowly",
            request=exchange.facts.request_id,
            upstream=attempt.upstream,
            events=exchange.splitter.events,
        )


def resume_exchange(exchange: Exchange) -> None:
    """Read the upstream of a request again, or resume its response at another one."""
    flow = exchange.flow
    if flow.paused_at is None or exchange.finished:
        return

    now = exchange.context.clock()
    flow.seconds += now - flow.paused_at
    flow.paused_at = None
    flow.resumed_at = now
    attempt = exchange.running_attempt
    if attempt is not None and attempt.pace is not None:
        attempt.pace.last_event_at = None

    if flow.awaits_reader:
        flow.awaits_reader = False
        exchange.send_next()
    elif attempt is not None and attempt.call is not None:
        attempt.call.resume()


def is_unread(exchange: Exchange, attempt: Attempt, now: float) -> bool:
    """Return whether an upstream may have closed a response as nobody read it."""
    if not attempt.was_paused:
        return False

    return exchange.flow.paused or now - exchange.flow.resumed_at < UNREAD_SECONDS
