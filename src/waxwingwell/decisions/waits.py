"""The wait that an entry's queue implies for new work."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..records import PRIORITY_ORDER
from .rates import decay_rate


if TYPE_CHECKING:
    from ..records import WorkspaceId
    from .tables import Tables
    from .tables import Work


FINISH_WINDOW = 2.0
"""Seconds over which finishes are smoothed into a rate."""
MIN_FINISH_RATE = 0.2
"""Finishes a second assumed where none was seen of late."""
RANK = {priority: rank for rank, priority in enumerate(PRIORITY_ORDER)}
"""Place of each priority in the order of service, from 0."""


def estimate_queue_wait(tables: Tables, work: Work, now: float) -> float:
    """Return the seconds that new work would wait in this entry's queue."""
    ahead: dict[WorkspaceId, int] = {}
    rank = RANK[work.priority]
    for waiting in tables.waiting.values():
        if RANK[waiting.work.priority] <= rank:
            name = waiting.work.workspace
            ahead[name] = ahead.get(name, 0) + 1

    if not ahead:
        return 0.0

    return count_ahead(ahead, work.workspace) / estimate_finish_rate(tables, now)


def count_ahead(ahead: dict[WorkspaceId, int], workspace: WorkspaceId) -> int:
    """Return how much of the waiting work in ``ahead`` is served before new work.

    It is the workspace's own, and at most one more than that of each other, for the
    shares are fair: a workspace that floods the queue lengthens its own wait and not
    another's.
    """
    own = ahead.get(workspace, 0) + 1
    return sum(min(others, own) for others in ahead.values())


def estimate_finish_rate(tables: Tables, now: float) -> float:
    """Return the finishes a second to reckon with at this entry."""
    rate = decay_rate(
        tables.finish_rate, tables.finish_rate_updated_at, FINISH_WINDOW, now
    )
    return max(rate, MIN_FINISH_RATE)
