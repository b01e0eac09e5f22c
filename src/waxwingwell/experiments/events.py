"""A discrete-event scheduler: callbacks in order of time on one heap."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class Clock:
    """The simulated time in seconds and the pending callbacks."""

    now: float = 0.0
    count: int = 0
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)


def call_at(clock: Clock, at: float, callback: Callable[[], None]) -> None:
    """Schedule ``callback``; callbacks due at the same time run in FIFO order."""
    clock.count += 1
    heapq.heappush(clock.events, (at, clock.count, callback))


def run_until(clock: Clock, end: float) -> None:
    """Run every callback that is due up to ``end``."""
    while clock.events and clock.events[0][0] <= end:
        at, _, callback = heapq.heappop(clock.events)
        clock.now = at
        callback()

    clock.now = end
