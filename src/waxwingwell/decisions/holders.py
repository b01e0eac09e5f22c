"""How many upstreams should hold each version, planned one roll-out stage ahead."""

from __future__ import annotations

from dataclasses import dataclass
from math import ceil
from typing import TYPE_CHECKING

from ..records import RolloutStatus
from ..records import UpstreamId
from ..records import UpstreamKind
from ..records import VersionId
from ..records import VersionStatus


if TYPE_CHECKING:
    from collections.abc import Collection

    from ..records import Rollout
    from .tables import Tables
    from .tables import UpstreamRow


MIN_HOLDERS = 2
"""Minimum number of holders of a version that receives work, so that one may fail."""


@dataclass(frozen=True, slots=True)
class HolderTarget:
    """Wanted number of holders of a version, and the present and ordered ones."""

    version: VersionId
    wanted: int
    held: int


def list_live_engines(tables: Tables, now: float) -> list[UpstreamRow]:
    """Return the live model engines, which may receive load orders."""
    return [
        row
        for row in tables.upstreams.values()
        if not row.left
        and row.expires_at > now
        and not row.announcement.leaving
        and row.announcement.kind is UpstreamKind.MODEL
    ]


def list_holder_targets(
    tables: Tables,
    pending: Collection[tuple[UpstreamId, VersionId]],
    rows: list[UpstreamRow],
) -> list[HolderTarget]:
    """Return the holder targets of the catalogue's versions that receive new work."""
    targets = []
    for version, spec in tables.versions.items():
        if spec.status in (VersionStatus.ENDING, VersionStatus.WITHDRAWN):
            continue

        rollout = find_rollout(tables, version)
        wanted = min(count_wanted(rollout, rows), len(rows))
        pending_count = sum(1 for _, ordered in pending if ordered == version)
        targets.append(
            HolderTarget(version, wanted, count_holders(rows, version) + pending_count)
        )

    return targets


def find_rollout(tables: Tables, version: VersionId) -> Rollout | None:
    """Return the roll-out whose candidate is the version, or None."""
    for rollout in tables.rollouts.values():
        if rollout.candidate == version:
            return rollout

    return None


def count_wanted(rollout: Rollout | None, rows: list[UpstreamRow]) -> int:
    """Return the wanted number of holders, one stage of the roll-out ahead."""
    if rollout is None:
        return MIN_HOLDERS

    if rollout.status is RolloutStatus.ROLLED_BACK:
        return 0

    stages = rollout.pace.stages
    if rollout.status is RolloutStatus.COMPLETED:
        share = 1.0
    elif rollout.status is RolloutStatus.PAUSED:
        share = stages[min(rollout.stage, len(stages) - 1)]
    else:
        share = stages[min(rollout.stage + 1, len(stages) - 1)]

    return count_holders_for_share(rollout, rows, share)


def count_holders_for_share(
    rollout: Rollout, rows: list[UpstreamRow], share: float
) -> int:
    """Return the number of holders needed for a share of the incumbent's sessions."""
    serving = {rollout.incumbent, rollout.candidate}
    pool = sum(1 for row in rows if serving & set(row.announcement.versions))
    return max(ceil(share * pool), MIN_HOLDERS)


def is_stage_loaded(tables: Tables, rollout: Rollout, stage: int, now: float) -> bool:
    """Return whether enough upstreams report the candidate to start a stage."""
    rows = list_live_engines(tables, now)
    stages = rollout.pace.stages
    wanted = count_holders_for_share(rollout, rows, stages[min(stage, len(stages) - 1)])
    return count_holders(rows, rollout.candidate) >= min(wanted, len(rows))


def count_holders(rows: list[UpstreamRow], version: VersionId) -> int:
    """Return the number of upstreams that report the version."""
    return sum(1 for row in rows if version in row.announcement.versions)
