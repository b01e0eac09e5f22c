"""Evidence: counts of requests and ratings, kept in tables and flushed to the leader.

``record_sent`` and ``record_rating`` update this entry's tables at once and accumulate
increments. The leader adds up the increments of all entries and sends the totals back.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..records import Evidence
from .accounts import add_credit
from .accounts import get_account
from .accounts import update_rating_stats
from .quality import estimate_escalated
from .quality import estimate_quality
from .quality import get_escalated_kind


if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..records import VersionId
    from ..records import WorkKind
    from ..records import WorkspaceId
    from .tables import Tables
    from .tables import Work

    Key = tuple[WorkspaceId, str, VersionId]

SELECTION_BIAS_ERRORS = 2.0
"""Standard errors by which the credit of an unrated response is reduced."""
OUTSTANDING_TIMEOUT = 600.0
"""Seconds after which a missing rating no longer counts as outstanding."""


def add_evidence(left: Evidence, right: Evidence) -> Evidence:
    """Return the sum of two rows with the same key."""
    return replace(
        left,
        rated=left.rated + right.rated,
        total=left.total + right.total,
        squares=left.squares + right.squares,
        sent=left.sent + right.sent,
        to_rate=left.to_rate + right.to_rate,
    )


def record_sent(
    tables: Tables,
    work: Work,
    version: VersionId,
    *,
    rate: bool,
    now: float,
    explored: bool = False,
    served: bool = True,
    escalated: bool = False,
) -> None:
    """Record that ``work`` was dispatched to ``version``, once per version tried.

    ``rate`` says whether the response goes to the rating service. ``served`` is False
    for the steps of a cascade before its last, ``escalated`` is True for the steps
    after its first.
    """
    kind = get_escalated_kind(work.kind.name) if escalated else work.kind.name
    key = (work.workspace, kind, version)
    row = Evidence(version, work.workspace, kind, sent=1, to_rate=int(rate))
    _add_row(tables, key, row)
    account = get_account(tables, work.workspace, work.kind.name)
    account.explored += int(explored)
    if served:
        account.sent += 1

    if rate:
        tables.outstanding.setdefault(version, []).append(now)
        tables.cell_outstanding.setdefault(key, []).append(now)
        return

    if served:
        name = work.kind.name
        estimate = estimate_quality(tables, work.workspace, name, version)
        if escalated:
            estimate = estimate_escalated(
                tables, work.workspace, name, version, estimate
            )

        # Choosing the cheapest version above the target favours overestimated means.
        surplus = (
            estimate.mean
            - SELECTION_BIAS_ERRORS * estimate.error
            - work.kind.quality_target
        )
        add_credit(account, surplus)


def record_rating(
    tables: Tables,
    workspace: WorkspaceId,
    kind: WorkKind,
    version: VersionId,
    rating: float,
    now: float,
    *,
    served: bool = True,
    escalated: bool = False,
) -> None:
    """Record a rating; ``served`` is False for a response that a cascade discarded.

    A rating outside 0 to 1 is clipped: the statistical tests rely on the bounds.
    """
    value = min(1.0, max(0.0, rating))
    name = get_escalated_kind(kind.name) if escalated else kind.name
    key = (workspace, name, version)
    row = Evidence(version, workspace, name, 1, value, value * value)
    _add_row(tables, key, row)
    update_rating_stats(tables, key, row)
    _drop_outstanding(tables, key)
    tables.last_rating_at = max(tables.last_rating_at, now)
    if served:
        account = get_account(tables, workspace, kind.name)
        add_credit(account, value - kind.quality_target)


def record_unrated(
    tables: Tables,
    workspace: WorkspaceId,
    kind: WorkKind,
    version: VersionId,
    *,
    escalated: bool = False,
) -> None:
    """Record that a response sent to the rating service will get no rating."""
    name = get_escalated_kind(kind.name) if escalated else kind.name
    key = (workspace, name, version)
    _add_row(tables, key, Evidence(version, workspace, name, to_rate=-1))
    _drop_outstanding(tables, key)


def count_outstanding(tables: Tables, version: VersionId, now: float) -> int:
    """Return the number of this entry's responses whose rating is outstanding."""
    return _count_unexpired(tables.outstanding.get(version), now)


def count_cell_outstanding(tables: Tables, key: Key, now: float) -> int:
    """Return the number of outstanding ratings for one workspace, kind and version."""
    return _count_unexpired(tables.cell_outstanding.get(key), now)


def start_flush(tables: Tables) -> tuple[Evidence, ...]:
    """Start a flush; return the rows for ``RecordEvidence`` under the next sequence.

    Until ``confirm_increments`` is called, the same rows are returned, so that a retry
    with the same sequence has the same content.
    """
    if not tables.flushing:
        tables.flushing = tables.increments
        tables.increments = {}

    return tuple(tables.flushing.values())


def confirm_increments(tables: Tables) -> None:
    """Drop the rows being flushed: the leader has recorded them."""
    tables.flushing = {}


def merge_totals(tables: Tables, rows: Iterable[Evidence], now: float) -> None:
    """Apply the leader's totals over all entries, plus the increments it lacks.

    Call ``confirm_increments`` first if the totals may include the rows being flushed.
    """
    for row in rows:
        key = (row.workspace, row.kind, row.version)
        merged = row
        for own in (tables.flushing.get(key), tables.increments.get(key)):
            merged = merged if own is None else add_evidence(merged, own)

        before = tables.evidence.get(key)
        tables.evidence[key] = merged
        change = _subtract(merged, before)
        update_rating_stats(tables, key, change)
        if change.rated > 0:
            tables.last_rating_at = max(tables.last_rating_at, now)


def _count_unexpired(times: list[float] | None, now: float) -> int:
    if not times:
        return 0

    if times[0] > now - OUTSTANDING_TIMEOUT:
        return len(times)

    return sum(at > now - OUTSTANDING_TIMEOUT for at in times)


def _add_row(tables: Tables, key: Key, row: Evidence) -> None:
    for table in (tables.evidence, tables.increments):
        known = table.get(key)
        table[key] = row if known is None else add_evidence(known, row)


def _subtract(row: Evidence, before: Evidence | None) -> Evidence:
    if before is None:
        return row

    return replace(
        row,
        rated=row.rated - before.rated,
        total=row.total - before.total,
        squares=row.squares - before.squares,
    )


def _drop_outstanding(tables: Tables, key: Key) -> None:
    for times in (tables.outstanding.get(key[2]), tables.cell_outstanding.get(key)):
        if times:
            times.pop(0)
