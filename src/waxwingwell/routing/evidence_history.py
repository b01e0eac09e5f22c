"""History of the evidence on both versions of a roll-out."""

from __future__ import annotations

import math
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field

from .outcomes import Outcomes


MAX_SNAPSHOTS = 120
"""Number of snapshots that a history keeps."""
RECENT_SNAPSHOTS = 16
"""Number of the latest snapshots that are never thinned out."""
MIN_WINDOWS = 12
"""Least number of equal windows of a roll-out in which the versions are compared."""
MAX_WINDOW_SECONDS = 5.0
"""Longest window, so that a regression in a long roll-out is found as soon."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Outcomes by kind of request, as known at some time.

    ``elapsed`` and all counts start with the order of the roll-out.
    """

    elapsed: float
    target: Mapping[str, Outcomes]
    former: Mapping[str, Outcomes]


@dataclass(slots=True)
class Clumps:
    """Intervals between snapshots in which a version's requests ended."""

    intervals: int = 0
    broken: int = 0
    """Intervals in which some of these requests broke off. One crash breaks many
    requests at once, in few intervals."""


@dataclass(slots=True)
class EvidenceHistory:
    """Snapshots of a roll-out in the order of their times; older ones are sparse."""

    snapshots: list[Snapshot] = field(default_factory=list)
    target_clumps: Clumps = field(default_factory=Clumps)
    former_clumps: Clumps = field(default_factory=Clumps)
    share: float = 0.0
    """Latest share of the roll-out."""
    share_since: float = 0.0
    """Time since the order at which that share was first seen."""


def record_snapshot(history: EvidenceHistory, snapshot: Snapshot) -> None:
    """Add the latest snapshot, and thin out old ones."""
    before = history.snapshots[-1] if history.snapshots else Snapshot(0.0, {}, {})
    if snapshot.elapsed < before.elapsed:
        return

    _record_clump(history.target_clumps, before.target, snapshot.target)
    _record_clump(history.former_clumps, before.former, snapshot.former)
    history.snapshots.append(snapshot)
    if len(history.snapshots) > MAX_SNAPSHOTS:
        old = history.snapshots[:-RECENT_SNAPSHOTS]
        history.snapshots[:-RECENT_SNAPSHOTS] = old[::2]


def _record_clump(
    clumps: Clumps, before: Mapping[str, Outcomes], after: Mapping[str, Outcomes]
) -> None:
    """Count an interval between two snapshots, unless no request has ended in it."""
    answers = sum(one.answers for one in after.values())
    answers -= sum(one.answers for one in before.values())
    breaks = sum(one.breaks - one.crashes for one in after.values())
    breaks -= sum(one.breaks - one.crashes for one in before.values())
    if answers > 0:
        clumps.intervals += 1
        clumps.broken += breaks > 0


def count_windows(duration: float) -> int:
    """Return the number of windows of a roll-out."""
    return max(MIN_WINDOWS, math.ceil(duration / MAX_WINDOW_SECONDS))


def split_windows(
    snapshots: Sequence[Snapshot], duration: float, count: int
) -> list[Snapshot]:
    """Return the snapshots at the ends of the windows, the latest one last."""
    seconds = max(duration, 0.001) / count
    ends = {math.ceil(one.elapsed / seconds): one for one in snapshots}
    return list(ends.values())
