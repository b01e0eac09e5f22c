"""Roll-outs: when a candidate advances, completes or is rolled back.

The evaluation depends only on the durable roll-out record and the total evidence, so
a new leader continues where the old one stopped. Design: docs/design/rollouts.md.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import StrEnum
from typing import TYPE_CHECKING

from ..records import RolloutStatus
from .comparisons import Comparison
from .comparisons import compare
from .comparisons import compute_log_evidence
from .comparisons import index_rows
from .comparisons import subtract_base


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from ..records import Evidence
    from ..records import Rollout
    from ..records import VersionId
    from .bets import RatingSums
    from .comparisons import Cell

MIN_RATINGS = 20
"""Minimum number of ratings of a candidate before its first advance."""
MIN_STAGE_RATINGS = 10
"""Minimum number of ratings of a candidate in each stage."""
ADVANCE_DEVIATIONS = 1.64
"""Standard errors added to the loss before it is compared with the tolerance."""


class RolloutAction(StrEnum):
    """Action to take on a roll-out."""

    STAY = "stay"
    ADVANCE = "advance"
    COMPLETE = "complete"
    ROLL_BACK = "roll_back"


@dataclass(frozen=True, slots=True)
class RolloutEvaluation:
    """The action for a roll-out, and the figures behind it."""

    action: RolloutAction
    reason: str
    rated: int = 0
    loss: float = 0.0
    """Incumbent's mean rating minus the candidate's, compared cell by cell."""
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


def evaluate_rollout(
    rollout: Rollout,
    candidate: Iterable[Evidence],
    incumbent: Iterable[Evidence],
    now: float,
) -> RolloutEvaluation:
    """Evaluate a roll-out from both versions' evidence, totalled over all entries."""
    if rollout.status not in (RolloutStatus.RUNNING, RolloutStatus.PAUSED):
        return RolloutEvaluation(RolloutAction.STAY, "the roll-out has ended")

    candidate_sums = index_rows(candidate)
    incumbent_sums = index_rows(incumbent)
    stage_sums = subtract_base(candidate_sums, rollout, rollout.candidate)
    comparison = compare(candidate_sums, incumbent_sums)
    wealth = compute_log_evidence(rollout, candidate_sums, stage_sums, incumbent_sums)
    if wealth >= math.log(2.0 / rollout.pace.false_alarm):
        reason = f"rated worse than {rollout.incumbent} by {comparison.loss:.3f}"
        return _make_evaluation(RolloutAction.ROLL_BACK, reason, comparison, wealth)

    if rollout.status is RolloutStatus.PAUSED:
        return _make_evaluation(RolloutAction.STAY, "paused", comparison, wealth)

    missing = _describe_missing_evidence(rollout, comparison, stage_sums)
    if missing:
        waited = max(0.0, now - rollout.stage_at)
        reason = f"{missing}, {waited:.0f} s into the stage"
        return _make_evaluation(RolloutAction.STAY, reason, comparison, wealth)

    last = rollout.stage + 1 >= len(rollout.pace.stages)
    action = RolloutAction.COMPLETE if last else RolloutAction.ADVANCE
    reason = f"a loss above {_get_tolerance(rollout):.3f} is ruled out"
    return _make_evaluation(action, reason, comparison, wealth)


def step_rollouts(
    rollouts: Mapping[str, Rollout],
    evidence: Iterable[Evidence],
    now: float,
) -> tuple[RolloutStep, ...]:
    """Evaluate every roll-out and return the changes for the leader to propose.

    ``now`` is the leader's wall clock, as ``Rollout.stage_at`` is.
    """
    rows: dict[VersionId, list[Evidence]] = {}
    for row in evidence:
        rows.setdefault(row.version, []).append(row)

    steps: list[RolloutStep] = []
    for rollout in rollouts.values():
        evaluation = evaluate_rollout(
            rollout,
            rows.get(rollout.candidate, ()),
            rows.get(rollout.incumbent, ()),
            now,
        )
        step = _make_step(rollout, evaluation)
        if step is not None:
            steps.append(step)

    return tuple(steps)


def select_base(rollout: Rollout, evidence: Iterable[Evidence]) -> tuple[Evidence, ...]:
    """Return the rows to store as ``Rollout.base`` at the start of a stage.

    If a version regresses at a late stage, its earlier good ratings hide that in the
    totals. So the test also runs on the ratings since the base alone.
    """
    versions = (rollout.candidate, rollout.incumbent)
    return tuple(row for row in evidence if row.version in versions)


def _make_step(rollout: Rollout, evaluation: RolloutEvaluation) -> RolloutStep | None:
    stage = rollout.stage
    status = RolloutStatus.RUNNING
    match evaluation.action:
        case RolloutAction.STAY:
            return None
        case RolloutAction.ADVANCE:
            stage += 1
        case RolloutAction.COMPLETE:
            status = RolloutStatus.COMPLETED
        case RolloutAction.ROLL_BACK:
            status = RolloutStatus.ROLLED_BACK

    return RolloutStep(rollout.model, stage, status, evaluation.reason)


def _describe_missing_evidence(
    rollout: Rollout, comparison: Comparison, stage_sums: dict[Cell, RatingSums]
) -> str:
    """Return which evidence is missing for an advance, or an empty string."""
    if comparison.rated < MIN_RATINGS:
        return f"waits for {MIN_RATINGS - comparison.rated} more ratings"

    recent = int(sum(sums.rated for sums in stage_sums.values()))
    if recent < MIN_STAGE_RATINGS:
        return f"waits for {MIN_STAGE_RATINGS - recent} more ratings of this stage"

    tolerance = _get_tolerance(rollout)
    worst = comparison.loss + ADVANCE_DEVIATIONS * comparison.error
    if worst > tolerance:
        return f"a loss up to {worst:.3f} is possible, above {tolerance:.3f}"

    return ""


def _get_tolerance(rollout: Rollout) -> float:
    """Return the loss that must be ruled out before the next stage.

    It decreases with the share of the next stage: a small share needs less certainty.
    """
    stages = rollout.pace.stages
    share = stages[min(rollout.stage + 1, len(stages) - 1)]
    return rollout.pace.margin / math.sqrt(max(share, 0.01))


def _make_evaluation(
    action: RolloutAction, reason: str, comparison: Comparison, wealth: float
) -> RolloutEvaluation:
    return RolloutEvaluation(
        action, reason, comparison.rated, comparison.loss, comparison.error, wealth
    )
