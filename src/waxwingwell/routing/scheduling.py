"""Order and bounds of a gateway's queue for a service that is short of room."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..decisions.waits import SHED_MARGIN
from .admission import MAX_RETRY_AFTER_PART
from .admission import MIN_RETRY_AFTER_SECONDS
from .engine_room import MOST_URGENT


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Hashable
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence


FLOOR_PART = 0.1
"""Part of the starts that go to the request that has waited longest of another rank or
workspace than the first in order, so that none starves."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """What the order of the queue depends on, of one request."""

    number: int
    """Counts the gateway's queued requests, in order of arrival."""
    rank: int
    """Rank of urgency; 0 is the most urgent."""
    workspace: str
    arrived_at: float
    due_at: float
    """Time at which the first event is due to have its full value."""
    latest: float
    """End of its longest wait."""
    tokens: int = 0
    """Tokens of engine memory that it needs."""


def find_latest(arrived_at: float, deadline: float) -> float:
    """Return the end of a request's longest wait.

    Another gateway may serve its caller in the larger part of the time.
    """
    return arrived_at + MAX_RETRY_AFTER_PART * (deadline - arrived_at)


def find_over_share(running: Mapping[str, int]) -> set[str]:
    """Return the workspaces that run more than an equal share.

    ``running`` holds the running requests of each workspace that runs or wants any.
    """
    share = sum(running.values()) / max(len(running), 1)
    return {name for name, count in running.items() if count > share}


def sort_waiting(
    waiting: Iterable[Waiting], over_share: Collection[str], now: float
) -> list[Waiting]:
    """Return waiting requests in the order of service."""

    def order(one: Waiting) -> tuple[int, bool, bool, float, int]:
        return (
            one.rank,
            one.workspace in over_share,
            one.due_at < now,
            one.arrived_at,
            one.number,
        )

    return sorted(waiting, key=order)


def find_floor(order: Sequence[Waiting]) -> Waiting | None:
    """Return the request to which a start goes by the floor, or None.

    It is the one that has waited longest of another rank or workspace than the first.
    """
    others = [
        one
        for one in order[1:]
        if (one.rank, one.workspace) != (order[0].rank, order[0].workspace)
    ]
    return min(others, key=lambda one: (one.arrived_at, one.number), default=None)


def choose_start(
    order: Sequence[Waiting],
    find_pool: Callable[[Waiting], Hashable],
    has_room: Callable[[Waiting, int], bool],
    *,
    floor_due: bool,
) -> tuple[Waiting | None, bool]:
    """Return the request that starts next, or None, and whether it is by the floor.

    ``find_pool`` tells which upstreams a request may use, ``has_room`` whether it may
    start now as one of a given rank. A request that does not fit blocks the later ones
    of its pool; otherwise small requests would take the room a large one waits for.
    """
    floor = find_floor(order) if floor_due and order else None
    if floor is not None and has_room(floor, MOST_URGENT):
        return floor, True

    blocked = set()
    for one in order:
        pool = find_pool(one)
        if pool in blocked:
            continue

        if has_room(one, one.rank):
            return one, False

        blocked.add(pool)

    return None, False


def estimate_wait(place: int, rate: float) -> float:
    """Return the expected seconds until a request starts.

    ``place`` is the number of requests before it, ``rate`` that of starts per second.
    """
    return (place + 1) / rate if rate > 0.0 else math.inf


def list_hopeless(
    order: Iterable[Waiting], rate: float | None, now: float
) -> list[tuple[Waiting, float]]:
    """Return the requests that can't begin in time, each with its expected wait.

    ``rate`` is the rate of starts, None if it is not known yet. It is an estimate from
    few starts, so a request is given up only if twice the rate is too low for it.
    """
    hopeless = []
    place = 0
    for one in order:
        wait = 0.0 if rate is None else estimate_wait(place, rate)
        if now < one.latest and now + wait / SHED_MARGIN <= one.latest:
            place += 1
            continue

        hopeless.append((one, max(wait, 0.0)))

    return hopeless


def spread_retry_after(wait: float, remaining: float, draw: float) -> float:
    """Return the seconds after which a refused caller may retry.

    Callers that are refused together would otherwise come back together.
    """
    longest = min(wait, remaining * MAX_RETRY_AFTER_PART)
    return max(round(longest * (0.5 + 0.5 * draw), 3), MIN_RETRY_AFTER_SECONDS)
