"""Fair turns of the event loop for connections with much left to parse."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any


EVENTS_PER_SLICE = 64
"""Pieces of a body that a connection parses before it waits for its turn."""
SLICES_PER_TURN = 2
"""Slices in a turn of the event loop, for all connections together."""


@dataclass(slots=True)
class TurnQueue:
    """Connections of a process that wait for their turn."""

    waiting: deque[Callable[[], None]] = field(default_factory=deque)
    scheduled: bool = False
    """Whether the next turn is scheduled."""


def wait_for_turn(queue: TurnQueue, reactor: Any, run: Callable[[], None]) -> None:
    """Call ``run`` once those before it have had their turn."""
    queue.waiting.append(run)
    schedule_turn(queue, reactor)


def schedule_turn(queue: TurnQueue, reactor: Any) -> None:
    """Schedule the next turn, once."""
    if queue.waiting and not queue.scheduled:
        queue.scheduled = True
        reactor.callLater(0, run_turn, queue, reactor)


def run_turn(queue: TurnQueue, reactor: Any) -> None:
    """Run the slices of one turn, and schedule the next."""
    queue.scheduled = False
    due = min(SLICES_PER_TURN, len(queue.waiting))
    for run in [queue.waiting.popleft() for _ in range(due)]:
        run()

    schedule_turn(queue, reactor)
