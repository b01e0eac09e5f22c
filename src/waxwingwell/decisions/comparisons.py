"""Stratified comparison of a candidate's ratings with its incumbent's.

The strata are cells: a cell is a workspace and a kind of work.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .bets import BET_STAKES
from .bets import MIN_BASELINE
from .bets import RatingSums
from .bets import bound_log_wealth
from .bets import log_mean_exp


if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..records import Evidence
    from ..records import Rollout
    from ..records import VersionId
    from ..records import WorkspaceId

    Cell = tuple[WorkspaceId, str]

MIXTURE_SCALE = 8.0
"""Scale of the mixture in the confidence sequence of the incumbent's mean."""
MIN_INCUMBENT_RATINGS = 20
"""Minimum number of the incumbent's ratings for a cell to be compared."""


@dataclass(frozen=True, slots=True)
class Comparison:
    """Comparison with the incumbent over the cells where both versions were rated."""

    rated: int
    loss: float
    error: float


def compute_log_evidence(
    rollout: Rollout,
    candidate_sums: dict[Cell, RatingSums],
    stage_sums: dict[Cell, RatingSums],
    incumbent_sums: dict[Cell, RatingSums],
) -> float:
    """Return the log evidence that the candidate is worse in any cell.

    Half of the false-alarm probability is spent on the baselines, half on the bets.
    The wealth is divided between a bet since the start of the roll-out and one since
    the start of each stage; a weighted sum of wealths is itself a valid wealth.
    """
    incumbent_recent = subtract_base(incumbent_sums, rollout, rollout.incumbent)
    usable = {
        cell: sums
        for cell, sums in incumbent_sums.items()
        if cell in candidate_sums and sums.rated >= MIN_INCUMBENT_RATINGS
    }
    means = {
        cell: _find_baseline(sums, incumbent_recent.get(cell))
        for cell, sums in usable.items()
    }
    deviations = get_baseline_deviations(rollout.pace.false_alarm / 2.0)
    log_since_start = _compute_log_wealth(candidate_sums, usable, means, deviations)
    if rollout.stage == 0 or not rollout.base:
        return log_since_start

    log_since_stage = _compute_log_wealth(stage_sums, usable, means, deviations)
    stages = max(1, len(rollout.pace.stages) - 1)
    largest = max(log_since_start, log_since_stage)
    share = 0.5 * math.exp(log_since_start - largest) + 0.5 / stages * math.exp(
        log_since_stage - largest
    )
    return largest + math.log(share)


def get_baseline_deviations(alpha: float) -> float:
    """Return how many standard errors cover the incumbent's mean at all times.

    The coverage holds for all cells together, weighted by the candidate's ratings,
    except with probability ``alpha``. Source: Waudby-Smith, Arbour, Sinha, Kennedy and
    Ramdas, "Time-uniform central limit theory and asymptotic confidence sequences",
    Annals of Statistics 52 (2024), with the mixture at ``MIXTURE_SCALE`` times its
    scale.
    """
    spread = math.log(math.sqrt(MIXTURE_SCALE + 1.0) / alpha)
    return math.sqrt(2.0 * (1.0 + 1.0 / MIXTURE_SCALE) * spread)


def _find_baseline(sums: RatingSums, incumbent_recent: RatingSums | None) -> float:
    """Return the incumbent's mean in a cell, or its recent upper bound if lower.

    If the work becomes harder, both versions' ratings fall, and a candidate compared
    with old ratings would be rolled back without being worse. So the mean is limited to
    one standard error above the recent mean.
    """
    mean = sums.total / sums.rated
    if incumbent_recent is None or incumbent_recent.rated < MIN_INCUMBENT_RATINGS:
        return mean

    recent = incumbent_recent.total / incumbent_recent.rated
    spread = max(
        0.0, incumbent_recent.squares / incumbent_recent.rated - recent * recent
    )
    return min(mean, recent + math.sqrt(spread / incumbent_recent.rated))


def _compute_log_wealth(
    cells: dict[Cell, RatingSums],
    incumbent_sums: dict[Cell, RatingSums],
    means: dict[Cell, float],
    deviations: float,
) -> float:
    """Return the log wealth of the bets against the candidate in ``cells``.

    All baselines are lowered by the same margin, so that their weighted sum is below
    the true value. The expected gain of a bet is linear in its baseline: errors that
    cancel in the sum cancel in the wealth.
    """
    rated = 0.0
    variance = 0.0
    for cell in means:
        sums = cells.get(cell)
        if sums is not None:
            base = incumbent_sums[cell]
            rated += sums.rated
            variance += sums.rated**2 * _sum_variance(base) / base.rated**2

    if not rated:
        return 0.0

    margin = deviations * math.sqrt(variance) / rated
    logs = [0.0] * len(BET_STAKES)
    for cell, mean in means.items():
        sums = cells.get(cell)
        if sums is None or mean - margin < MIN_BASELINE:
            continue

        for index, stake in enumerate(BET_STAKES):
            logs[index] += bound_log_wealth(sums, mean - margin, stake)

    return log_mean_exp(tuple(logs))


def compare(
    candidate_sums: dict[Cell, RatingSums], incumbent_sums: dict[Cell, RatingSums]
) -> Comparison:
    """Compare cell by cell, weighted by the number of the candidate's ratings."""
    rated = 0.0
    loss = 0.0
    variance = 0.0
    for cell, sums in candidate_sums.items():
        base = incumbent_sums.get(cell)
        if base is None or base.rated < MIN_INCUMBENT_RATINGS or sums.rated <= 0:
            continue

        mean = base.total / base.rated
        rated += sums.rated
        loss += sums.rated * mean - sums.total
        variance += _sum_variance(sums)
        variance += sums.rated**2 * _sum_variance(base) / base.rated**2

    if not rated:
        return Comparison(0, 0.0, 1.0)

    return Comparison(int(rated), loss / rated, variance**0.5 / rated)


def _sum_variance(sums: RatingSums) -> float:
    """Return the variance of a sum of ratings.

    Four pseudo-ratings with a variance of 0.04 regularise small cells.
    """
    mean = sums.total / sums.rated
    spread = max(0.0, sums.squares - sums.rated * mean * mean)
    return sums.rated * (spread + 0.04 * 4.0) / (sums.rated + 4.0)


def subtract_base(
    cells: dict[Cell, RatingSums], rollout: Rollout, version: VersionId
) -> dict[Cell, RatingSums]:
    """Return the rating sums since the start of the current stage."""
    base = index_rows(row for row in rollout.base if row.version == version)
    found: dict[Cell, RatingSums] = {}
    for cell, sums in cells.items():
        before = base.get(cell, RatingSums(0.0, 0.0, 0.0))
        if sums.rated > before.rated:
            found[cell] = RatingSums(
                sums.rated - before.rated,
                sums.total - before.total,
                sums.squares - before.squares,
            )

    return found


def index_rows(rows: Iterable[Evidence]) -> dict[Cell, RatingSums]:
    """Return the rating sums by cell, without unrated cells."""
    return {
        (row.workspace, row.kind): RatingSums(row.rated, row.total, row.squares)
        for row in rows
        if row.rated > 0
    }
