"""Outlier ejection: keep work off upstreams that fail or fall silent.

An upstream is ejected after several failures in a row, for a time that doubles with
each ejection, and comes back on trial with one request at a time. Failures guarded
against: an upstream that accepts and never answers looks idle, draws all traffic and
loses it; and a fault common to all (a bad prompt, a cut link of this entry) would
empty the table. So one holder of each version and half of the peers always stay.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..records import UpstreamKind


if TYPE_CHECKING:
    from ..records import UpstreamId
    from .tables import Tables
    from .tables import UpstreamRow


FAILURES_TO_EJECT = 3
UNRESPONSIVE_WEIGHT = 2
"""A silence counts as this many failures: it costs a whole deadline to see one."""
FIRST_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
MAX_EJECTED_SHARE = 0.5


def record_success(row: UpstreamRow) -> None:
    """Clear the failures of an upstream that served a request."""
    row.failures = 0
    row.ejections = 0
    row.probing = False


def record_failure(
    tables: Tables, upstream: UpstreamId, *, weight: int, now: float
) -> bool:
    """Count a failure; return whether the upstream was ejected for it."""
    row = tables.upstreams.get(upstream)
    if row is None:
        return False

    row.failures += weight
    threshold_reached = row.failures >= FAILURES_TO_EJECT or row.probing
    if (
        not threshold_reached
        or row.ejected_until > now
        or not may_eject(tables, row, now)
    ):
        return False

    row.ejected_until = now + min(
        FIRST_EJECTION_SECONDS * 2**row.ejections, MAX_EJECTION_SECONDS
    )
    row.ejections = min(row.ejections + 1, 10)
    row.probing = True
    return True


def may_eject(tables: Tables, row: UpstreamRow, now: float) -> bool:
    """Return whether enough peers would stay for each version the row holds."""
    for group in list_groups(row):
        peers = [
            peer
            for peer in tables.upstreams.values()
            if not peer.left and peer.expires_at > now and group in list_groups(peer)
        ]
        remaining = sum(1 for peer in peers if peer.ejected_until <= now) - 1
        if remaining < max(1.0, len(peers) * (1.0 - MAX_EJECTED_SHARE)):
            return False

    return True


def list_groups(row: UpstreamRow) -> tuple[str, ...]:
    """Return the names of what the upstream serves: versions, or its service."""
    announcement = row.announcement
    if announcement.kind is UpstreamKind.SERVICE:
        return (announcement.service,)

    return announcement.versions


def end_ejection(row: UpstreamRow, now: float) -> None:
    """Take an upstream back on trial before its time, when no other is left."""
    row.ejected_until = min(row.ejected_until, now)
    row.probing = True
