"""Changes of a roll-out: it advances by one stage or goes back, and ends once.

Allowed transitions by current status:

========  ==================================================================
running   running at the next stage, running at a lower stage, paused at the same
          stage, completed at the last stage, rolled back
paused    running at the same or a lower stage, rolled back
ended     none; another roll-out of the model can be started
========  ==================================================================
"""

from __future__ import annotations

from dataclasses import replace
from itertools import pairwise
from typing import TYPE_CHECKING

from ..decisions.rollouts import select_base
from ..records import Finding
from ..records import Rollout
from ..records import RolloutPace
from ..records import RolloutStatus
from ..records import VersionStatus
from .catalogue import WITHDRAWN_STATUSES
from .catalogue import set_status
from .versions import ONGOING_STATUSES


if TYPE_CHECKING:
    from ..messages import StartRollout
    from ..messages import StepRollout
    from ..records import Evidence
    from ..records import VersionId
    from .catalogue import ConfigTable


def check_start(table: ConfigTable, change: StartRollout) -> list[Finding]:
    """Return all validation findings for starting a roll-out."""
    findings = _check_pace(change.pace)
    if change.candidate == change.incumbent:
        findings.append(Finding("candidate", "candidate and incumbent are the same"))

    findings += _check_version(table, change, "candidate", change.candidate)
    findings += _check_version(table, change, "incumbent", change.incumbent)
    incumbent = table.versions.get(change.incumbent)
    if incumbent is not None and incumbent.status is VersionStatus.CANDIDATE:
        text = f"{change.incumbent} is itself a candidate"
        findings.append(Finding("incumbent", text))

    existing = table.rollouts.get(change.model)
    if existing is not None and existing.status in ONGOING_STATUSES:
        text = f"a roll-out of {existing.candidate} is {existing.status.value}"
        findings.append(Finding("model", text))

    return findings


def _check_version(
    table: ConfigTable, change: StartRollout, place: str, version: VersionId
) -> list[Finding]:
    """Return findings for one of the two versions of a roll-out."""
    spec = table.versions.get(version)
    if spec is None:
        return [Finding(place, f"{version} is not in the catalogue")]

    findings = []
    if spec.model != change.model:
        text = f"{version} belongs to {spec.model}, not to {change.model}"
        findings.append(Finding(place, text))

    if spec.status in WITHDRAWN_STATUSES:
        findings.append(Finding(place, f"{version} is {spec.status.value}"))

    return findings


def _check_pace(pace: RolloutPace) -> list[Finding]:
    """Return findings for the stages, which must be increasing shares up to 1."""
    stages = pace.stages
    if not stages or stages[-1] != 1:
        return [Finding("pace.stages", "the last stage must be 1")]

    rising = all(low < high for low, high in pairwise(stages))
    if not rising or not stages[0] > 0:
        return [Finding("pace.stages", "stages must rise from above 0 to 1")]

    return []


def start_rollout(
    table: ConfigTable, change: StartRollout, evidence: tuple[Evidence, ...]
) -> None:
    """Store the roll-out and set the candidate's status."""
    rollout = Rollout(
        model=change.model,
        candidate=change.candidate,
        incumbent=change.incumbent,
        pace=change.pace,
        started_at=change.at,
        stage_at=change.at,
    )
    base = select_base(rollout, evidence)
    table.rollouts[change.model] = replace(rollout, base=base)
    set_status(table, change.candidate, VersionStatus.CANDIDATE, change)


def check_step(table: ConfigTable, change: StepRollout) -> list[Finding]:
    """Return all validation findings for a step of a roll-out."""
    rollout = table.rollouts.get(change.model)
    if rollout is None:
        return [Finding("model", f"no roll-out of {change.model}")]

    if change.status not in {status.value for status in RolloutStatus}:
        return [Finding("status", f"{change.status!r} is no status of a roll-out")]

    if rollout.status not in ONGOING_STATUSES:
        text = f"the roll-out is {rollout.status.value}, which is final"
        return [Finding("status", text)]

    return _check_transition(rollout, change)


def _check_transition(rollout: Rollout, change: StepRollout) -> list[Finding]:
    """Return findings for the transition; see the table in the module docstring."""
    status = RolloutStatus(change.status)
    last = len(rollout.pace.stages) - 1
    if not 0 <= change.stage <= last:
        return [Finding("stage", f"stages go from 0 to {last}")]

    if status is RolloutStatus.ROLLED_BACK:
        return []

    if status is RolloutStatus.COMPLETED:
        return _check_completion(rollout, change, last)

    if status is RolloutStatus.PAUSED:
        return _check_pause(rollout, change)

    return _check_running(rollout, change)


def _check_completion(
    rollout: Rollout, change: StepRollout, last: int
) -> list[Finding]:
    """Return findings for a completion: only a running last stage can complete."""
    if rollout.status is RolloutStatus.PAUSED:
        return [Finding("status", "a paused roll-out must be resumed first")]

    if rollout.stage != last or change.stage != last:
        text = f"only stage {last} can be completed; it stands at {rollout.stage}"
        return [Finding("stage", text)]

    return []


def _check_pause(rollout: Rollout, change: StepRollout) -> list[Finding]:
    """Return findings for a pause, which must keep the stage."""
    if rollout.status is RolloutStatus.PAUSED:
        return [Finding("status", "the roll-out is paused already")]

    if change.stage != rollout.stage:
        return [Finding("stage", f"a pause keeps stage {rollout.stage}")]

    return []


def _check_running(rollout: Rollout, change: StepRollout) -> list[Finding]:
    """Return findings for a step to running: the next, a lower or the paused stage."""
    if change.stage < rollout.stage:
        return []

    resumed = rollout.status is RolloutStatus.PAUSED
    expected_stage = rollout.stage if resumed else rollout.stage + 1
    if change.stage == expected_stage:
        return []

    text = (
        f"stage {rollout.stage} is followed by {expected_stage}, not by {change.stage}"
    )
    return [Finding("stage", text)]


def step_rollout(
    table: ConfigTable, change: StepRollout, evidence: tuple[Evidence, ...]
) -> None:
    """Apply a step that passed ``check_step``.

    A new stage starts with the current evidence as its baseline. Pausing and resuming
    keep the baseline, so that no rating is excluded from the evaluation of the stage.
    """
    rollout = table.rollouts[change.model]
    status = RolloutStatus(change.status)
    rolled_back = status is RolloutStatus.ROLLED_BACK
    stage_changed = not rolled_back and change.stage != rollout.stage
    table.rollouts[change.model] = replace(
        rollout,
        stage=rollout.stage if rolled_back else change.stage,
        status=status,
        stage_at=change.at if stage_changed else rollout.stage_at,
        reason=change.reason,
        base=select_base(rollout, evidence) if stage_changed else rollout.base,
    )
    if rolled_back:
        set_status(table, rollout.candidate, VersionStatus.WITHDRAWN, change)
        return

    if status is not RolloutStatus.COMPLETED:
        return

    set_status(table, rollout.candidate, VersionStatus.ACTIVE, change)
    # An incumbent that was withdrawn in the meantime must not be set back to ENDING.
    if table.versions[rollout.incumbent].status not in WITHDRAWN_STATUSES:
        set_status(table, rollout.incumbent, VersionStatus.ENDING, change)


def describe_rollout(table: ConfigTable, model: str) -> str:
    """Return a textual description of a model's roll-out."""
    rollout = table.rollouts.get(model)
    if rollout is None:
        return "no roll-out"

    text = (
        f"{rollout.candidate} against {rollout.incumbent}, {rollout.status.value} "
        f"at stage {rollout.stage}"
    )
    return f"{text} ({rollout.reason})" if rollout.reason else text
