"""Upstream membership at one entry, stored in ``Tables.upstreams``.

Announcements of an upstream are ordered by (incarnation, leaving, sequence): an
upstream that left is not used again until it restarts, even if announcements are
delayed, duplicated or reordered. A lease counts from the upstream's own announcement;
relaying an announcement never extends it.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..decisions.load import trim_times
from ..decisions.tables import UpstreamRow
from ..invariants import Invariant
from ..invariants import check
from ..messages import SpreadAnnouncements


if TYPE_CHECKING:
    from ..decisions.tables import Tables
    from ..records import Announcement
    from ..records import UpstreamId


MAX_LEASE = 30.0
"""Upper bound in seconds of the lease that an upstream requests."""

TOMBSTONE_RETENTION = 600.0
"""Seconds for which an upstream that left is kept after its lease expired."""

MAX_TOMBSTONES = 4096
"""Maximum tombstones; those whose lease expired first are dropped beyond it."""


def get_lease_seconds(announcement: Announcement) -> float:
    """Return the lease in seconds that an announcement is granted."""
    return max(0.0, min(announcement.lease, MAX_LEASE))


def rank_announcement(announcement: Announcement) -> tuple[int, bool, int]:
    """Return the sort key of an upstream's announcements; the highest one applies."""
    return announcement.incarnation, announcement.leaving, announcement.sequence


def apply_announcement(
    tables: Tables, announcement: Announcement, age: float, now: float
) -> bool:
    """Apply an announcement; return whether it changed anything.

    ``age`` is the number of seconds since an entry received it from its upstream. A
    delayed announcement that arrives after its upstream left or restarted would
    otherwise make the upstream available again, so that new work goes to a process that
    no longer runs. Therefore only a higher rank is applied, a tombstone keeps the rank
    of an upstream that left, and an announcement whose lease expired in transit never
    adds an upstream.
    """
    announced_at = now - max(0.0, age)
    expires_at = announced_at + get_lease_seconds(announcement)
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
    row.received_at = now
    return True


def _is_newer(announcement: Announcement, current: Announcement) -> bool:
    """Return whether an announcement ranks higher than the current one."""
    return rank_announcement(announcement) > rank_announcement(current)


def _reset_incarnation(row: UpstreamRow) -> None:
    """Reset the state that belonged to the upstream's process before its restart."""
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
    """Store a newer announcement and its load report."""
    returned = row.left and not announcement.leaving
    same = row.announcement.incarnation == announcement.incarnation
    check(
        Invariant.NO_NEW_WORK_WHEN_LEAVING,
        not (returned and same and row.announcement.leaving),
        lambda: f"{announcement.upstream} became available again after it left",
    )
    report_age = announcement.load.age if announcement.load is not None else 0.0
    row.announcement = announcement
    row.expires_at = expires_at
    row.heard_at = announced_at - max(0.0, report_age)
    row.left = announcement.leaving
    trim_times(row.dispatched, row.heard_at)
    trim_times(row.finished, row.heard_at)


def mark_left(tables: Tables, upstream: UpstreamId, now: float) -> bool:
    """Mark an upstream as left until it restarts; return whether that is a change."""
    row = tables.upstreams.get(upstream)
    if row is None or row.announcement.leaving:
        return False

    row.announcement = replace(row.announcement, leaving=True)
    row.left = True
    row.received_at = now
    return True


def expire_upstreams(tables: Tables, now: float) -> tuple[UpstreamId, ...]:
    """Mark and return upstreams whose lease expired; drop old tombstones."""
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
    """Drop old or surplus tombstones; rows with requests in flight are kept."""
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


def make_relay_message(tables: Tables, since: float, now: float) -> SpreadAnnouncements:
    """Return the announcements applied after ``since``, to relay to other entries.

    Upstreams that left are included; those whose lease expired are not, because every
    entry detects that itself. The receiver adds the transit time, as far as it is
    known, to each age.
    """
    rows = [
        row
        for row in tables.upstreams.values()
        if row.received_at > since and (row.announcement.leaving or not row.left)
    ]
    return SpreadAnnouncements(
        announcements=tuple(row.announcement for row in rows),
        ages=tuple(max(0.0, now - _get_announced_at(row)) for row in rows),
    )


def _get_announced_at(row: UpstreamRow) -> float:
    """Return when the upstream made its announcement, by this entry's clock."""
    return row.expires_at - get_lease_seconds(row.announcement)


def apply_relayed_announcements(
    tables: Tables, message: SpreadAnnouncements, delay: float, now: float
) -> int:
    """Apply announcements relayed in ``delay`` seconds; return how many were new."""
    pairs = zip(message.announcements, message.ages, strict=True)
    return sum(
        apply_announcement(tables, announcement, age + delay, now)
        for announcement, age in pairs
    )
