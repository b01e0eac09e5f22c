"""Outlier ejection: send no work to upstreams that fail or stop responding.

An upstream is ejected after several consecutive failures, for a time that doubles
with each ejection, and is then probed with one request at a time. Without ejection,
an upstream that accepts requests and never responds looks idle, attracts all traffic
and loses it. A common fault (a bad prompt, a broken link of this entry) must not
eject every upstream, so one holder of each version and half of the peers always stay.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..records import UpstreamKind


if TYPE_CHECKING:
    from ..records import UpstreamId
    from .tables import Tables
    from .tables import UpstreamRow


FAILURES_TO_EJECT = 3
"""Consecutive failures after which an upstream is ejected."""
UNRESPONSIVE_WEIGHT = 2
"""Failures that a missed progress deadline counts as, since it is slow to detect."""
FIRST_EJECTION_SECONDS = 5.0
MAX_EJECTION_SECONDS = 60.0
MAX_EJECTED_SHARE = 0.5
"""Maximum share of the holders of a version that may be ejected at once."""


def record_success(row: UpstreamRow) -> None:
    """Reset the failure counts of an upstream that completed a request."""
    row.failures = 0
    row.ejections = 0
    row.probing = False


def record_failure(
    tables: Tables, upstream: UpstreamId, *, weight: int, now: float
) -> bool:
    """Count a failure; return whether it caused the upstream's ejection."""
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
    """Return whether enough peers would remain for each version the row holds."""
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
    """Return the versions that the upstream holds, or the service that it runs."""
    announcement = row.announcement
    if announcement.kind is UpstreamKind.SERVICE:
        return (announcement.service,)

    return announcement.versions


def end_ejection(row: UpstreamRow, now: float) -> None:
    """End an ejection early and probe the upstream, when no other is available."""
    row.ejected_until = min(row.ejected_until, now)
    row.probing = True
