"""Roll-outs: when a candidate advances, completes or is rolled back.

The judgement needs the durable roll-out record and the summed evidence alone, so a
new leader goes on where the old one stopped. Design: docs/design/rollouts.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from ..records import RolloutStatus
from .bets import LEAST_BASELINE
from .bets import LOW_STAKES
from .bets import Sums
from .bets import bound_log_wealth
from .bets import mix_log


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from ..records import Evidence
    from ..records import Rollout
    from ..records import VersionId
    from ..records import WorkspaceId

    Cell = tuple[WorkspaceId, str]

MIXTURE = 8.0
LEAST_RATED = 20
"""Ratings of a candidate before its first advance."""
LEAST_RATED_STAGE = 10
"""Ratings of a candidate at each later stage."""
LEAST_BASE = 20
"""Ratings of the incumbent that make a workspace and kind comparable."""
ADVANCE_DEVIATIONS = 1.64
"""Standard errors by which a loss must be ruled out before an advance."""


class RolloutAction(StrEnum):
    """What to do with a roll-out."""

    STAY = "stay"
    ADVANCE = "advance"
    COMPLETE = "complete"
    ROLL_BACK = "roll_back"


@dataclass(frozen=True, slots=True)
class RolloutVerdict:
    """A judgement, with the figures that it rests on."""

    action: RolloutAction
    reason: str
    rated: int = 0
    loss: float = 0.0
    """Incumbent's mean rating minus the candidate's, like work against like."""
    error: float = 0.0
    log_wealth: float = 0.0
    """Log evidence that the candidate is worse."""


@dataclass(frozen=True, slots=True)
class RolloutStep:
    """A change for the leader to propose as ``StepRollout``."""

    model: str
    stage: int
    status: RolloutStatus
    reason: str


@dataclass(frozen=True, slots=True)
class _Comparison:
    """Candidate against incumbent over the cells where both were rated."""

    rated: int
    loss: float
    error: float


def judge_rollout(
    rollout: Rollout,
    candidate: Iterable[Evidence],
    incumbent: Iterable[Evidence],
    now: float,
) -> RolloutVerdict:
    """Judge a roll-out from the evidence of both versions, summed over entries."""
    if rollout.status not in (RolloutStatus.RUNNING, RolloutStatus.PAUSED):
        return RolloutVerdict(RolloutAction.STAY, "the roll-out has ended")

    mine = _index(candidate)
    theirs = _index(incumbent)
    fresh = _since(mine, rollout, rollout.candidate)
    compared = _compare(mine, theirs)
    wealth = _weigh_evidence(rollout, mine, fresh, theirs)
    if wealth >= math.log(2.0 / rollout.pace.false_alarm):
        reason = f"rated worse than {rollout.incumbent} by {compared.loss:.3f}"
        return _verdict(RolloutAction.ROLL_BACK, reason, compared, wealth)

    if rollout.status is RolloutStatus.PAUSED:
        return _verdict(RolloutAction.STAY, "paused", compared, wealth)

    missing = _find_missing(rollout, compared, fresh)
    if missing:
        waited = max(0.0, now - rollout.stage_at)
        reason = f"{missing}, {waited:.0f} s into the stage"
        return _verdict(RolloutAction.STAY, reason, compared, wealth)

    last = rollout.stage + 1 >= len(rollout.pace.stages)
    action = RolloutAction.COMPLETE if last else RolloutAction.ADVANCE
    reason = f"a loss above {_get_tolerance(rollout):.3f} is ruled out"
    return _verdict(action, reason, compared, wealth)


def step_rollouts(
    rollouts: Mapping[str, Rollout],
    evidence: Iterable[Evidence],
    now: float,
) -> tuple[RolloutStep, ...]:
    """Judge every roll-out and return the changes that the leader should propose.

    ``now`` is the leader's wall clock, as ``Rollout.stage_at`` is.
    """
    rows: dict[VersionId, list[Evidence]] = {}
    for row in evidence:
        rows.setdefault(row.version, []).append(row)

    steps: list[RolloutStep] = []
    for rollout in rollouts.values():
        verdict = judge_rollout(
            rollout,
            rows.get(rollout.candidate, ()),
            rows.get(rollout.incumbent, ()),
            now,
        )
        step = _make_step(rollout, verdict)
        if step is not None:
            steps.append(step)

    return tuple(steps)


def take_base(rollout: Rollout, evidence: Iterable[Evidence]) -> tuple[Evidence, ...]:
    """Return the rows to keep as ``Rollout.base`` when a stage begins.

    Failure: a version turns bad at a late stage and its earlier good ratings hide
    it. The test also runs on what came since the base, where nothing hides it.
    """
    versions = (rollout.candidate, rollout.incumbent)
    return tuple(row for row in evidence if row.version in versions)


def _make_step(rollout: Rollout, verdict: RolloutVerdict) -> RolloutStep | None:
    stage = rollout.stage
    status = RolloutStatus.RUNNING
    match verdict.action:
        case RolloutAction.STAY:
            return None
        case RolloutAction.ADVANCE:
            stage += 1
        case RolloutAction.COMPLETE:
            status = RolloutStatus.COMPLETED
        case RolloutAction.ROLL_BACK:
            status = RolloutStatus.ROLLED_BACK

    return RolloutStep(rollout.model, stage, status, verdict.reason)


def _weigh_evidence(
    rollout: Rollout,
    mine: dict[Cell, Sums],
    fresh: dict[Cell, Sums],
    theirs: dict[Cell, Sums],
) -> float:
    """Return the log evidence that the candidate is worse in any cell.

    Half of the false alarms allowed goes to the baselines, half to the bets. The
    wealth is shared between a bet from the beginning and one from each stage's
    beginning; a weighted sum of wealths is a wealth.
    """
    since = _since(theirs, rollout, rollout.incumbent)
    usable = {
        cell: sums
        for cell, sums in theirs.items()
        if cell in mine and sums.rated >= LEAST_BASE
    }
    means = {
        cell: _find_baseline(sums, since.get(cell)) for cell, sums in usable.items()
    }
    deviations = get_baseline_deviations(rollout.pace.false_alarm / 2.0)
    whole = _bet(mine, usable, means, deviations)
    if rollout.stage == 0 or not rollout.base:
        return whole

    late = _bet(fresh, usable, means, deviations)
    stages = max(1, len(rollout.pace.stages) - 1)
    top = max(whole, late)
    share = 0.5 * math.exp(whole - top) + 0.5 / stages * math.exp(late - top)
    return top + math.log(share)


def get_baseline_deviations(alpha: float) -> float:
    """Return how many standard errors cover the incumbent's mean at all times.

    Over all cells together, weighed as the candidate's ratings are, and but for
    chance ``alpha``. Source: Waudby-Smith, Arbour, Sinha, Kennedy and Ramdas,
    "Time-uniform central limit theory and asymptotic confidence sequences", Annals
    of Statistics 52 (2024), with the mixture at ``MIXTURE`` times its scale.
    """
    spread = math.log(math.sqrt(MIXTURE + 1.0) / alpha)
    return math.sqrt(2.0 * (1.0 + 1.0 / MIXTURE) * spread)


def _find_baseline(sums: Sums, since: Sums | None) -> float:
    """Return the incumbent's mean in a cell.

    Failure: the work itself becomes harder, both versions fall, and the candidate
    is blamed against old ratings. The incumbent's recent mean bounds it too.
    """
    mean = sums.total / sums.rated
    if since is None or since.rated < LEAST_BASE:
        return mean

    recent = since.total / since.rated
    spread = max(0.0, since.squares / since.rated - recent * recent)
    return min(mean, recent + math.sqrt(spread / since.rated))


def _bet(
    cells: dict[Cell, Sums],
    theirs: dict[Cell, Sums],
    means: dict[Cell, float],
    deviations: float,
) -> float:
    """Return the log wealth of betting against the candidate in ``cells``.

    All baselines are lowered alike, so that their weighed sum lies below the truth.
    A bet's expected gain is linear in its baseline: errors that cancel in the sum
    cancel in the wealth.
    """
    rated = 0.0
    variance = 0.0
    for cell in means:
        sums = cells.get(cell)
        if sums is not None:
            base = theirs[cell]
            rated += sums.rated
            variance += sums.rated**2 * _sum_variance(base) / base.rated**2

    if not rated:
        return 0.0

    shift = deviations * math.sqrt(variance) / rated
    logs = [0.0] * len(LOW_STAKES)
    for cell, mean in means.items():
        sums = cells.get(cell)
        if sums is None or mean - shift < LEAST_BASELINE:
            continue

        for place, stake in enumerate(LOW_STAKES):
            logs[place] += bound_log_wealth(sums, mean - shift, stake)

    return mix_log(tuple(logs))


def _compare(mine: dict[Cell, Sums], theirs: dict[Cell, Sums]) -> _Comparison:
    """Compare like with like: each cell weighs as the candidate's ratings there."""
    rated = 0.0
    loss = 0.0
    variance = 0.0
    for cell, sums in mine.items():
        base = theirs.get(cell)
        if base is None or base.rated < LEAST_BASE or sums.rated <= 0:
            continue

        mean = base.total / base.rated
        rated += sums.rated
        loss += sums.rated * mean - sums.total
        variance += _sum_variance(sums)
        variance += sums.rated**2 * _sum_variance(base) / base.rated**2

    if not rated:
        return _Comparison(0, 0.0, 1.0)

    return _Comparison(int(rated), loss / rated, variance**0.5 / rated)


def _sum_variance(sums: Sums) -> float:
    """Return the variance of a sum of ratings; a few assumed ones guard small cells."""
    mean = sums.total / sums.rated
    spread = max(0.0, sums.squares - sums.rated * mean * mean)
    return sums.rated * (spread + 0.04 * 4.0) / (sums.rated + 4.0)


def _find_missing(
    rollout: Rollout, compared: _Comparison, fresh: dict[Cell, Sums]
) -> str:
    """Return what an advance still waits for, or nothing."""
    if compared.rated < LEAST_RATED:
        return f"waits for {LEAST_RATED - compared.rated} more ratings"

    recent = int(sum(sums.rated for sums in fresh.values()))
    if recent < LEAST_RATED_STAGE:
        return f"waits for {LEAST_RATED_STAGE - recent} more ratings of this stage"

    tolerance = _get_tolerance(rollout)
    worst = compared.loss + ADVANCE_DEVIATIONS * compared.error
    if worst > tolerance:
        return f"a loss up to {worst:.3f} is possible, above {tolerance:.3f}"

    return ""


def _get_tolerance(rollout: Rollout) -> float:
    """Return the loss that must be ruled out before the next stage.

    It shrinks with the share at stake: little traffic may go on less knowledge.
    """
    stages = rollout.pace.stages
    share = stages[min(rollout.stage + 1, len(stages) - 1)]
    return rollout.pace.margin / math.sqrt(max(share, 0.01))


def _since(
    cells: dict[Cell, Sums], rollout: Rollout, version: VersionId
) -> dict[Cell, Sums]:
    base = _index(row for row in rollout.base if row.version == version)
    found: dict[Cell, Sums] = {}
    for cell, sums in cells.items():
        before = base.get(cell, Sums(0.0, 0.0, 0.0))
        if sums.rated > before.rated:
            found[cell] = Sums(
                sums.rated - before.rated,
                sums.total - before.total,
                sums.squares - before.squares,
            )

    return found


def _index(rows: Iterable[Evidence]) -> dict[Cell, Sums]:
    return {
        (row.workspace, row.kind): Sums(row.rated, row.total, row.squares)
        for row in rows
        if row.rated > 0
    }


def _verdict(
    action: RolloutAction, reason: str, compared: _Comparison, wealth: float
) -> RolloutVerdict:
    return RolloutVerdict(
        action, reason, compared.rated, compared.loss, compared.error, wealth
    )
