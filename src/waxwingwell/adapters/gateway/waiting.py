"""Requests that reach a gateway before its first configuration.

Failure: all processes were killed and start again. A gateway takes connections some
tenths of a second before the controls have elected a leader, and callers that are
refused twice in that time are lost, though the next moment each could be served.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from ...routing.admission import LONGEST_PART
from ..events import run_logged


if TYPE_CHECKING:
    from ..http.server import Responder


MAX_WAITING = 200
"""Requests kept at a time; one holds its body, some tens of kilobytes."""
WAIT_SECONDS = 2.0
"""Longest wait: an election that fails once, and the next one."""


@dataclass(slots=True, eq=False)
class Waiting:
    """One request that waits."""

    serve: Callable[[], None]
    refuse: Callable[[], None]
    timer: Any = None


@dataclass(slots=True)
class WaitingRoom:
    """All requests that wait, in the order of their arrival."""

    waiting: dict[Waiting, None] = field(default_factory=dict)


def find_wait(room: WaitingRoom, budget: float | None) -> float:
    """Return the seconds that one more request may wait; 0 if it may not.

    ``budget`` is the time that its caller allows, in seconds. The caller has the larger
    part of it left for another try.
    """
    if len(room.waiting) >= MAX_WAITING or budget is None:
        return 0.0

    return min(budget * LONGEST_PART, WAIT_SECONDS)


def keep_waiting(
    room: WaitingRoom,
    reactor: Any,
    responder: Responder,
    waiting: Waiting,
    limit: float,
) -> None:
    """Keep a request until ``admit_all``, or refuse it after ``limit`` seconds."""

    def leave() -> None:
        room.waiting.pop(waiting, None)
        if waiting.timer.active():
            waiting.timer.cancel()

    def expire() -> None:
        leave()
        waiting.refuse()

    room.waiting[waiting] = None
    waiting.timer = reactor.callLater(limit, expire)
    responder.on_lost = leave


def admit_all(room: WaitingRoom) -> None:
    """Serve the requests that wait, the first one first."""
    for waiting in empty_room(room):
        run_logged(waiting.serve, "gateway: Waiting request failed")


def refuse_all(room: WaitingRoom) -> None:
    """Refuse the requests that wait: the process ends, and other gateways may serve.

    Failure: a gateway with a short grace ended while requests waited for their first
    configuration, and their connections closed without a word.
    """
    for waiting in empty_room(room):
        run_logged(waiting.refuse, "gateway: Waiting request not refused")


def empty_room(room: WaitingRoom) -> list[Waiting]:
    """Take all requests out; their waits are over."""
    taken = list(room.waiting)
    room.waiting.clear()
    for waiting in taken:
        waiting.timer.cancel()

    return taken
