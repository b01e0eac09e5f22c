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
from .comparisons import Comparison
from .comparisons import compare
from .comparisons import index_rows
from .comparisons import subtract_base
from .comparisons import weigh_evidence


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from ..records import Evidence
    from ..records import Rollout
    from ..records import VersionId
    from .bets import Sums
    from .comparisons import Cell

LEAST_RATED = 20
"""Ratings of a candidate before its first advance."""
LEAST_RATED_STAGE = 10
"""Ratings of a candidate at each later stage."""
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


def judge_rollout(
    rollout: Rollout,
    candidate: Iterable[Evidence],
    incumbent: Iterable[Evidence],
    now: float,
) -> RolloutVerdict:
    """Judge a roll-out from the evidence of both versions, summed over entries."""
    if rollout.status not in (RolloutStatus.RUNNING, RolloutStatus.PAUSED):
        return RolloutVerdict(RolloutAction.STAY, "the roll-out has ended")

    mine = index_rows(candidate)
    theirs = index_rows(incumbent)
    fresh = subtract_base(mine, rollout, rollout.candidate)
    compared = compare(mine, theirs)
    wealth = weigh_evidence(rollout, mine, fresh, theirs)
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


def _find_missing(
    rollout: Rollout, compared: Comparison, fresh: dict[Cell, Sums]
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


def _verdict(
    action: RolloutAction, reason: str, compared: Comparison, wealth: float
) -> RolloutVerdict:
    return RolloutVerdict(
        action, reason, compared.rated, compared.loss, compared.error, wealth
    )
