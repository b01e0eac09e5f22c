"""Find the upstreams that are eligible for a request.

Small fleets are scanned in full. In large fleets only a sample of the holders and the
upstreams that recently received the prompt's prefixes are examined, so that the time
of a decision does not grow with the fleet. The index is only a hint: each candidate
is checked against its own row, and if the sample yields none, the whole table is
scanned.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..records import UpstreamKind
from .ejection import list_groups
from .tables import UpstreamRow


if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..records import UpstreamId
    from ..records import VersionId
    from .tables import Tables
    from .tables import Work


SAMPLE_SIZE = 16
"""Holders examined in a large fleet, besides recent upstreams of the prefixes."""
FULL_SCAN_LIMIT = 32
"""Largest number of upstreams that is scanned in full."""
SAMPLE_STRIDE = 7919
"""Step between sampled holders; a prime, so that they differ."""


@dataclass(slots=True)
class Candidates:
    """Eligible upstreams, and an ejected one to fall back on."""

    rows: list[UpstreamRow] = field(default_factory=list)
    ejected: UpstreamRow | None = None
    """Of the upstreams that only an ejection excludes, the one whose ends first."""


def find_candidates(
    tables: Tables,
    work: Work,
    version: VersionId,
    exclude: frozenset[UpstreamId],
    *,
    now: float,
    draw: float,
) -> Candidates:
    """Return the upstreams that are eligible for the work."""
    if len(tables.upstreams) > FULL_SCAN_LIMIT:
        sample = sample_holders(tables, work, version, draw)
        found = filter_rows(tables, work, version, exclude, sample, now=now)
        if found.rows:
            return found

    return filter_rows(tables, work, version, exclude, tables.upstreams, now=now)


def filter_rows(
    tables: Tables,
    work: Work,
    version: VersionId,
    exclude: frozenset[UpstreamId],
    upstreams: Iterable[UpstreamId],
    *,
    now: float,
) -> Candidates:
    """Return those of ``upstreams`` that are eligible for the work."""
    config = tables.workspaces.get(work.workspace)
    allowed = config.data_centres if config else ()
    found = Candidates()
    for upstream in upstreams:
        row = tables.upstreams.get(upstream)
        if row is None or row.left or row.expires_at <= now or upstream in exclude:
            continue

        if allowed and row.announcement.data_centre not in allowed:
            continue

        if not can_serve(row, work, version):
            continue

        if row.ejected_until <= now:
            found.rows.append(row)
        elif found.ejected is None or row.ejected_until < found.ejected.ejected_until:
            found.ejected = row

    return found


def can_serve(row: UpstreamRow, work: Work, version: VersionId) -> bool:
    """Return whether the upstream announces the version or service of the work."""
    announcement = row.announcement
    if announcement.leaving:
        return False

    if work.service:
        is_service = announcement.kind is UpstreamKind.SERVICE
        return is_service and announcement.service == work.service

    return announcement.kind is UpstreamKind.MODEL and version in announcement.versions


def sample_holders(
    tables: Tables, work: Work, version: VersionId, draw: float
) -> dict[UpstreamId, None]:
    """Return a sample of holders from the index, without duplicates."""
    sampled: dict[UpstreamId, None] = {}
    for digest in work.prefixes[:2]:
        for upstream in list(tables.recent_upstreams.get(digest, ()))[-4:]:
            sampled[upstream] = None

    holders = tables.holders.get(work.service or version, [])
    if not holders:
        return sampled

    start = int(draw * 1_000_003)
    for step in range(min(SAMPLE_SIZE, len(holders))):
        sampled[holders[(start + step * SAMPLE_STRIDE) % len(holders)]] = None

    return sampled


def index_upstreams(tables: Tables, now: float) -> None:
    """Rebuild the index of holders; call it on each tick and each announcement."""
    holders: dict[str, list[UpstreamId]] = {}
    for upstream, row in tables.upstreams.items():
        if row.left or row.expires_at <= now:
            continue

        for group in list_groups(row):
            holders.setdefault(group, []).append(upstream)

    tables.holders = holders
