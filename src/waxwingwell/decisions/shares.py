"""Fair sharing of capacity between workspaces."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..records import PRIORITY_ORDER


if TYPE_CHECKING:
    from ..records import Priority
    from ..records import WorkspaceId
    from .tables import Tables


MAX_RUNNING_SHARE = 0.5
"""Share of the running work above which a workspace yields to others."""


def find_over_share(tables: Tables) -> set[tuple[WorkspaceId, Priority]]:
    """Return the workspaces and priorities that exceed their fair share.

    By priority alone, a workspace that floods the highest priority would starve all
    others. So when its running work of a priority and above exceeds
    ``MAX_RUNNING_SHARE`` of all running work and another workspace waits, its further
    work of that priority goes last and is limited as the lowest priority is.
    """
    names = {waiting.work.workspace for waiting in tables.waiting.values()}
    if len(names) < 2:
        return set()

    running = count_running(tables)
    total = sum(running.values())
    over_share = set()
    for name in names:
        held = 0
        for priority in PRIORITY_ORDER:
            held += running.get((name, priority), 0)
            if held > total * MAX_RUNNING_SHARE:
                over_share.add((name, priority))

    return over_share


def count_running(tables: Tables) -> dict[tuple[WorkspaceId, Priority], int]:
    """Return the number of running requests by workspace and priority."""
    running = {
        (name, priority): count
        for name, demand in tables.demand.items()
        for priority, count in demand.in_flight_by_priority.items()
    }
    for waiting in tables.waiting.values():
        key = (waiting.work.workspace, waiting.work.priority)
        running[key] = max(running.get(key, 0) - 1, 0)

    return running
