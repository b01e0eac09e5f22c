"""Assignment of new sessions to a roll-out's candidate."""

from __future__ import annotations

import functools
from typing import TYPE_CHECKING

import xxhash

from ..records import RolloutStatus
from ..records import VersionStatus
from .eligibility import get_effective_status
from .eligibility import get_exposure_weight
from .eligibility import is_loaded
from .evidence import count_outstanding


if TYPE_CHECKING:
    from ..records import Rollout
    from ..records import WorkspaceConfig
    from .tables import Tables
    from .tables import Work


HASH_RANGE = float(1 << 64)
"""Number of values of the 64-bit hash."""


def is_candidate_offered(
    tables: Tables,
    config: WorkspaceConfig,
    work: Work,
    rollout: Rollout,
    now: float,
) -> bool:
    """Return whether new work goes to the candidate instead of the incumbent.

    Ratings lag, so a bad candidate would serve hundreds of responses before its first
    rating. The cap on unrated responses prevents that; each entry enforces its own
    part of the cap, so that the entries need no coordination.
    """
    candidate = tables.versions.get(rollout.candidate)
    if candidate is None or rollout.candidate not in config.allowed:
        return False

    if get_effective_status(tables, candidate) is not VersionStatus.CANDIDATE:
        return False

    # Otherwise sessions would be pinned to a version that no engine has loaded.
    if not is_loaded(tables, rollout.candidate):
        return False

    if get_session_position(rollout, work) >= get_candidate_share(rollout, config):
        return False

    cap = min(rollout.pace.max_unrated, config.pace.max_unrated)
    entry_cap = max(1, cap // max(1, tables.entries))
    return count_outstanding(tables, rollout.candidate, now) < entry_cap


def get_candidate_share(rollout: Rollout, config: WorkspaceConfig) -> float:
    """Return the share of a workspace's new sessions that the candidate gets.

    It is limited by the pace of both the roll-out and the workspace; a workspace that
    weights exposure above the other criteria advances more slowly.
    """
    if rollout.status is not RolloutStatus.RUNNING:
        return 0.0

    shares = [
        _stage_share(pace.stages, rollout.stage) for pace in (rollout.pace, config.pace)
    ]
    return float(min(shares) ** max(1.0, 0.5 + 1.5 * get_exposure_weight(config)))


def get_session_position(rollout: Rollout, work: Work) -> float:
    """Return the stable position of a session in a roll-out, in [0, 1).

    The position is the same at every entry and every stage, so that each stage's
    sessions include those of the stage before. Work without a session is hashed by
    its request.
    """
    key = work.session or work.request
    return _hash_to_fraction(f"{rollout.candidate}|{work.workspace}|{key}")


@functools.lru_cache(maxsize=4096)
def _hash_to_fraction(text: str) -> float:
    return float(xxhash.xxh64_intdigest(text.encode())) / HASH_RANGE


def _stage_share(stages: tuple[float, ...], stage: int) -> float:
    """Return the share of sessions at a stage; past the last stage, the last share."""
    if not stages or stage < 0:
        return 0.0

    return stages[min(stage, len(stages) - 1)]
