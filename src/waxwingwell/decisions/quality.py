"""Estimates of a version's quality by workspace and kind of work."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from ..records import VersionId
    from ..records import WorkspaceId
    from .tables import Tables


PRIOR_WEIGHT = 1.0
"""Weight of ``VersionSpec.quality_prior``, in ratings."""
POOL_WEIGHT = 2.0
"""Maximum weight of the workspace's other kinds together, in ratings."""
PRIOR_VARIANCE = 0.04
"""Prior variance of a single rating."""
VARIANCE_WEIGHT = 8.0
"""Weight of ``PRIOR_VARIANCE``, in ratings."""
ESCALATED_LOSS = 0.05
"""Prior loss of quality on escalated requests, which are the hard ones."""
ESCALATED_WEIGHT = 4.0
"""Weight of the prior for escalated requests, in ratings."""
ESCALATED_SUFFIX = "+escalated"


@dataclass(frozen=True, slots=True)
class Estimate:
    """Mean rating of a version, its standard error and the ratings' deviation."""

    mean: float
    error: float
    deviation: float
    rated: float


def estimate_quality(
    tables: Tables, workspace: WorkspaceId, kind: str, version: VersionId
) -> Estimate:
    """Estimate quality from own ratings, other kinds' ratings and the prior.

    The other kinds and the prior have the weight of a few ratings, so that they matter
    where ratings are sparse and are negligible where there are many.
    """
    spec = tables.versions[version]
    weight = PRIOR_WEIGHT
    total = PRIOR_WEIGHT * spec.quality_prior
    own = tables.rating_stats.get((workspace, kind, version))
    rated = own.rated if own else 0.0
    if rated < PRIOR_VARIANCE / 0.0001:
        pooled, pooled_total = _pool_other_kinds(tables, workspace, kind, version)
        if pooled:
            share = min(POOL_WEIGHT, pooled)
            weight += share
            total += share * pooled_total / pooled

    if own is None:
        deviation = PRIOR_VARIANCE**0.5
        return Estimate(total / weight, deviation / weight**0.5, deviation, 0.0)

    weight += own.rated
    total += own.total
    mean = total / weight
    own_mean = own.total / own.rated
    spread = max(0.0, own.squares - own.rated * own_mean * own_mean)
    variance = (spread + VARIANCE_WEIGHT * PRIOR_VARIANCE) / (
        own.rated + VARIANCE_WEIGHT
    )
    deviation = variance**0.5
    return Estimate(mean, deviation / weight**0.5, deviation, own.rated)


def get_escalated_kind(kind: str) -> str:
    """Return the name of the kind under which escalated responses are rated.

    Escalated requests are the hard ones. Counted with the others, their ratings would
    underestimate a strong version's quality over all requests.
    """
    return kind + ESCALATED_SUFFIX


def estimate_escalated(
    tables: Tables,
    workspace: WorkspaceId,
    kind: str,
    version: VersionId,
    overall: Estimate,
) -> Estimate:
    """Estimate the quality of ``version`` on escalated requests only."""
    own = tables.rating_stats.get((workspace, get_escalated_kind(kind), version))
    rated = own.rated if own else 0.0
    total = own.total if own else 0.0
    weight = ESCALATED_WEIGHT + rated
    mean = (ESCALATED_WEIGHT * (overall.mean - ESCALATED_LOSS) + total) / weight
    return Estimate(mean, overall.deviation / weight**0.5, overall.deviation, rated)


def _pool_other_kinds(
    tables: Tables, workspace: WorkspaceId, kind: str, version: VersionId
) -> tuple[float, float]:
    """Return the number and the total of the ratings of the workspace's other kinds."""
    config = tables.workspaces.get(workspace)
    if config is None:
        return 0.0, 0.0

    rated = 0.0
    total = 0.0
    for other in config.kinds:
        if other.name == kind:
            continue

        stats = tables.rating_stats.get((workspace, other.name, version))
        if stats is not None:
            rated += stats.rated
            total += stats.total

    return rated, total
