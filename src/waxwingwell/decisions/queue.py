"""The waiting queue of an entry, and the functions that operate on it.

Higher priorities go first, and within a priority the workspace with the fewest
requests in flight. The queue is bounded by the expected wait, not by its length,
since a caller notices only the time.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from ..records import Priority
from .claims import claim_slot
from .shares import find_over_share
from .tables import Refusal
from .tables import Waiting
from .upstreams import BUSY
from .upstreams import UpstreamChoice
from .upstreams import choose_upstream
from .waits import PRIORITY_RANK
from .waits import SHED_MARGIN
from .waits import count_ahead
from .waits import estimate_finish_rate


if TYPE_CHECKING:
    from ..records import VersionId
    from ..records import WorkspaceId
    from .tables import Tables
    from .tables import Work


@dataclass(frozen=True, slots=True)
class Dequeued:
    """A request that has left the waiting queue, and its outcome."""

    waiting: Waiting
    result: UpstreamChoice | Refusal
    """The upstream to dispatch it to now, or its final refusal."""


def place_work(
    tables: Tables, work: Work, version: VersionId, *, now: float, draw: float
) -> UpstreamChoice | Refusal | Waiting:
    """Choose an upstream for admitted work, or enqueue or refuse it.

    New work never overtakes requests that already wait; call ``dequeue_next``
    afterwards. The slot at a chosen upstream stays reserved until ``record_dispatch``
    or ``release``.
    """
    if tables.waiting:
        return enqueue(tables, work, version, now)

    result = choose_upstream(tables, work, version, now=now, draw=draw)
    if isinstance(result, Refusal) and result.code == BUSY:
        return enqueue(tables, work, version, now)

    if isinstance(result, UpstreamChoice):
        claim_slot(tables, work.request, result.upstream)

    return result


def enqueue(tables: Tables, work: Work, version: VersionId, now: float) -> Waiting:
    """Enqueue an admitted request; ``dequeue_next`` or ``shed_expired`` removes it."""
    config = tables.workspaces.get(work.workspace)
    expires_at = now + (config.limits.max_wait if config else 0.0)
    if work.deadline:
        expires_at = min(expires_at, work.deadline)

    tables.enqueued += 1
    waiting = Waiting(work, version, now, expires_at, tables.enqueued)
    tables.waiting[work.request] = waiting
    return waiting


def remove_waiting(tables: Tables, request: str) -> Waiting | None:
    """Remove and return a cancelled request; None if it is no longer queued."""
    return tables.waiting.pop(request, None)


def dequeue_next(tables: Tables, now: float, draw: float) -> Dequeued | None:
    """Dequeue the next request for which an upstream has capacity; None if none.

    Call it on each tick and after each completion until it returns None. The caller
    must check what may have changed during the wait, such as a withdrawal.
    """
    over_share = find_over_share(tables)
    saturated: dict[tuple[str, tuple[str, ...]], int] = {}
    for waiting in sort_waiting(tables, over_share):
        work = waiting.work
        if (work.workspace, work.priority) in over_share:
            work = replace(work, priority=Priority.REPORT)

        pool = (work.service or waiting.version, list_allowed(tables, work))
        if saturated.get(pool, len(PRIORITY_RANK)) <= PRIORITY_RANK[work.priority]:
            continue

        result = choose_upstream(tables, work, waiting.version, now=now, draw=draw)
        if isinstance(result, Refusal) and result.code == BUSY:
            saturated[pool] = PRIORITY_RANK[work.priority]
            continue

        del tables.waiting[work.request]
        if isinstance(result, UpstreamChoice):
            claim_slot(tables, work.request, result.upstream)

        return Dequeued(waiting, result)

    return None


def list_allowed(tables: Tables, work: Work) -> tuple[str, ...]:
    """Return the data centres where the work may run; if empty, all are allowed."""
    config = tables.workspaces.get(work.workspace)
    return config.data_centres if config else ()


def sort_waiting(
    tables: Tables, over_share: set[tuple[WorkspaceId, Priority]]
) -> list[Waiting]:
    """Return the waiting requests in the order of service."""
    held = {name: demand.in_flight for name, demand in tables.demand.items()}

    def order(waiting: Waiting) -> tuple[bool, int, int, int]:
        work = waiting.work
        return (
            (work.workspace, work.priority) in over_share,
            PRIORITY_RANK[work.priority],
            held.get(work.workspace, 0),
            waiting.number,
        )

    return sorted(tables.waiting.values(), key=order)


def shed_expired(tables: Tables, now: float) -> list[Dequeued]:
    """Dequeue the requests that have expired or can't be served in time.

    Later arrivals of higher priority delay waiting work. Work that can no longer be
    served in time is refused at once rather than at the end of its wait.
    """
    rate = estimate_finish_rate(tables, now) * SHED_MARGIN
    shed = []
    ahead: dict[WorkspaceId, int] = {}
    for waiting in sort_waiting(tables, find_over_share(tables)):
        name = waiting.work.workspace
        turn_at = now + count_ahead(ahead, name) / rate
        if now < waiting.expires_at and turn_at <= waiting.expires_at:
            ahead[name] = ahead.get(name, 0) + 1
            continue

        del tables.waiting[waiting.work.request]
        shed.append(Dequeued(waiting, refuse_expired(waiting, now)))

    return shed


def refuse_expired(waiting: Waiting, now: float) -> Refusal:
    """Return the refusal of a request that was not served in time."""
    waited = max(now - waiting.arrived_at, 0.0)
    return Refusal(
        "overloaded", "no upstream had room in time", 503, min(max(waited, 1.0), 30.0)
    )
