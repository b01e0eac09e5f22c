"""Upstream membership at one entry, over ``Tables.upstreams``.

Announcements of one upstream are ordered by (incarnation, leaving, sequence): one
that left stays away until it starts anew, whatever is late, doubled or reordered. A
lease counts from the upstream's own announcement, and relaying never extends it.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..decisions.load import trim_times
from ..decisions.tables import UpstreamRow
from ..invariants import Promise
from ..invariants import check
from ..messages import SpreadAnnouncements


if TYPE_CHECKING:
    from ..decisions.tables import Tables
    from ..records import Announcement
    from ..records import UpstreamId


MAX_LEASE = 30.0
"""Longest lease in seconds that an upstream may ask for."""

TOMBSTONE_RETENTION = 600.0
"""Seconds for which an upstream that left is remembered after its lease ran out."""

MAX_TOMBSTONES = 4096
"""Tombstones kept; beyond it those whose lease ran out first are dropped."""


def get_lease(announcement: Announcement) -> float:
    """Return the lease in seconds that an announcement is given here."""
    return max(0.0, min(announcement.lease, MAX_LEASE))


def rank_announcement(announcement: Announcement) -> tuple[int, bool, int]:
    """Return the order of an upstream's announcements; only a higher one counts."""
    return announcement.incarnation, announcement.leaving, announcement.sequence


def take_announcement(
    tables: Tables, announcement: Announcement, age: float, now: float
) -> bool:
    """Take in an announcement heard ``age`` seconds ago; false if it changes nothing.

    Failure guarded against: an announcement that was held up on the way arrives after
    its upstream left or started anew, and would bring it back, so that new work goes
    to a process that is gone. Only a higher rank is taken in, a tombstone keeps the
    rank of one that left, and an announcement whose lease ran out on the way never
    brings in an upstream.
    """
    announced_at = now - max(0.0, age)
    expires_at = announced_at + get_lease(announcement)
    row = tables.upstreams.get(announcement.upstream)
    if row is not None and not _is_newer(announcement, row.announcement):
        return False

    if expires_at <= now and not announcement.leaving:
        return False

    if row is None:
        row = UpstreamRow(announcement, expires_at, announced_at)
        tables.upstreams[announcement.upstream] = row
    elif row.announcement.incarnation != announcement.incarnation:
        _reset_incarnation(row)

    _replace_announcement(row, announcement, expires_at, announced_at)
    row.taken_at = now
    return True


def _is_newer(announcement: Announcement, current: Announcement) -> bool:
    """Tell whether an announcement outranks the present one."""
    return rank_announcement(announcement) > rank_announcement(current)


def _reset_incarnation(row: UpstreamRow) -> None:
    """Forget what held for the process that an upstream was before its restart."""
    row.dispatched.clear()
    row.finished.clear()
    row.prefixes.clear()
    row.prefill_until = 0.0
    row.failures = 0
    row.ejections = 0
    row.ejected_until = 0.0
    row.probing = False


def _replace_announcement(
    row: UpstreamRow, announcement: Announcement, expires_at: float, announced_at: float
) -> None:
    """Put the newer announcement and its load report in place."""
    returned = row.left and not announcement.leaving
    same = row.announcement.incarnation == announcement.incarnation
    check(
        Promise.NO_NEW_WORK_WHEN_LEAVING,
        not (returned and same and row.announcement.leaving),
        lambda: f"{announcement.upstream} came back after it left",
    )
    report_age = announcement.load.age if announcement.load is not None else 0.0
    row.announcement = announcement
    row.expires_at = expires_at
    row.heard_at = announced_at - max(0.0, report_age)
    row.left = announcement.leaving
    trim_times(row.dispatched, row.heard_at)
    trim_times(row.finished, row.heard_at)


def mark_left(tables: Tables, upstream: UpstreamId, now: float) -> bool:
    """Mark an upstream as gone for good until it starts anew; false if unknown."""
    row = tables.upstreams.get(upstream)
    if row is None or row.announcement.leaving:
        return False

    row.announcement = replace(row.announcement, leaving=True)
    row.left = True
    row.taken_at = now
    return True


def expire_upstreams(tables: Tables, now: float) -> tuple[UpstreamId, ...]:
    """Mark upstreams whose lease ran out; return them. Drop old tombstones."""
    expired = tuple(
        upstream
        for upstream, row in tables.upstreams.items()
        if not row.left and row.expires_at <= now
    )
    for upstream in expired:
        tables.upstreams[upstream].left = True

    _drop_tombstones(tables, now)
    return expired


def _drop_tombstones(tables: Tables, now: float) -> None:
    """Drop tombstones that are old, or too many; rows with running work stay."""
    tombstones = [
        (row.expires_at, upstream)
        for upstream, row in tables.upstreams.items()
        if row.left and not row.in_flight
    ]
    tombstones.sort()
    surplus = len(tombstones) - MAX_TOMBSTONES
    for index, (expires_at, upstream) in enumerate(tombstones):
        if index < surplus or expires_at + TOMBSTONE_RETENTION <= now:
            del tables.upstreams[upstream]


def list_spread(tables: Tables, since: float, now: float) -> SpreadAnnouncements:
    """Return what was taken in after ``since``, with ages, for the other entries.

    Those that left are spread as well; those whose lease ran out are not, as every
    entry sees that for itself. The receiver adds the time on the way, as far as it
    knows it, to each age.
    """
    rows = [
        row
        for row in tables.upstreams.values()
        if row.taken_at > since and (row.announcement.leaving or not row.left)
    ]
    return SpreadAnnouncements(
        announcements=tuple(row.announcement for row in rows),
        ages=tuple(max(0.0, now - _get_announced_at(row)) for row in rows),
    )


def _get_announced_at(row: UpstreamRow) -> float:
    """Return when the upstream made its announcement, on this entry's clock."""
    return row.expires_at - get_lease(row.announcement)


def take_spread(
    tables: Tables, message: SpreadAnnouncements, delay: float, now: float
) -> int:
    """Take in relayed announcements, ``delay`` seconds on the way; count the new."""
    pairs = zip(message.announcements, message.ages, strict=True)
    return sum(
        take_announcement(tables, announcement, age + delay, now)
        for announcement, age in pairs
    )
