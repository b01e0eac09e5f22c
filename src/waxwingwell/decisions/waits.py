"""Estimate the queueing time of new work at an entry."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..records import PRIORITY_ORDER
from .rates import decay_rate


if TYPE_CHECKING:
    from ..records import WorkspaceId
    from .tables import Tables
    from .tables import Work


FINISH_WINDOW = 2.0
"""Seconds over which the completion rate is smoothed."""
MIN_FINISH_RATE = 0.2
"""Completions per second assumed if there were no recent ones."""
SHED_MARGIN = 2.0
"""Factor on the recent rate, so that work is not shed too early."""
PRIORITY_RANK = {priority: rank for rank, priority in enumerate(PRIORITY_ORDER)}
"""Rank of each priority in the order of service, starting at 0."""


def estimate_queue_wait(tables: Tables, work: Work, now: float) -> float:
    """Return the expected seconds that new work would wait in this entry's queue."""
    ahead: dict[WorkspaceId, int] = {}
    rank = PRIORITY_RANK[work.priority]
    for waiting in tables.waiting.values():
        if PRIORITY_RANK[waiting.work.priority] <= rank:
            name = waiting.work.workspace
            ahead[name] = ahead.get(name, 0) + 1

    if not ahead:
        return 0.0

    return count_ahead(ahead, work.workspace) / estimate_finish_rate(tables, now)


def count_ahead(ahead: dict[WorkspaceId, int], workspace: WorkspaceId) -> int:
    """Return how many of the requests in ``ahead`` are served before new work.

    These are the workspace's own, and of each other workspace at most one more than
    that, since the shares are fair: a workspace that floods the queue prolongs its own
    wait and not that of others.
    """
    own = ahead.get(workspace, 0) + 1
    return sum(min(others, own) for others in ahead.values())


def estimate_finish_rate(tables: Tables, now: float) -> float:
    """Return the expected completions per second at this entry."""
    rate = decay_rate(
        tables.finish_rate, tables.finish_rate_updated_at, FINISH_WINDOW, now
    )
    return max(rate, MIN_FINISH_RATE)
