"""The audit trail: every change that was decided, and past answers of workspaces.

Both are bounded: the trail by ``TRAIL_KEPT`` changes, the answers by
``ANSWERS_KEPT`` revisions of each workspace. Whoever must keep more reads them out
in time; ``dropped`` tells how many are gone.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ..messages import Accepted
from ..messages import ApplyAnswers
from ..messages import Change
from ..messages import Conflict
from ..messages import Outcome
from ..records import WorkspaceId


TRAIL_KEPT = 20_000
ANSWERS_KEPT = 100


@dataclass(frozen=True, slots=True)
class AuditRow:
    """One change and what became of it."""

    at: float
    """Seconds since the epoch, as the leader stamped it."""
    operator: str
    kind: str
    subject: str
    outcome: str
    """``accepted``, ``conflict`` or ``rejected``."""
    change_id: str
    revision: int


@dataclass(frozen=True, slots=True)
class PastAnswers:
    """One accepted revision of a workspace's answers."""

    revision: int
    operator: str
    at: float
    change_id: str
    answers: bytes


@dataclass(slots=True)
class AuditTable:
    """The trail, oldest first, and past answers by workspace."""

    rows: list[AuditRow] = field(default_factory=list)
    dropped: int = 0
    answers: dict[WorkspaceId, list[PastAnswers]] = field(default_factory=dict)


def record_change(table: AuditTable, change: Change, outcome: Outcome) -> None:
    """Note a change that was decided now; not for a resend of an earlier one."""
    subject, revision = "", 0
    if isinstance(outcome, Accepted | Conflict):
        subject, revision = outcome.subject, outcome.revision

    table.rows.append(
        AuditRow(
            at=change.at,
            operator=change.operator,
            kind=type(change).__name__,
            subject=subject,
            outcome=type(outcome).__name__.lower(),
            change_id=change.change_id,
            revision=revision,
        )
    )
    # A slice at a time: dropping one row with each change would move the whole list.
    surplus = len(table.rows) - TRAIL_KEPT
    if surplus > TRAIL_KEPT // 10:
        del table.rows[:surplus]
        table.dropped += surplus

    if isinstance(change, ApplyAnswers) and isinstance(outcome, Accepted):
        _keep_answers(table, change, outcome)


def _keep_answers(table: AuditTable, change: ApplyAnswers, outcome: Accepted) -> None:
    kept = table.answers.setdefault(change.config.workspace, [])
    kept.append(
        PastAnswers(
            revision=outcome.revision,
            operator=change.operator,
            at=change.at,
            change_id=change.change_id,
            answers=change.answers,
        )
    )
    del kept[:-ANSWERS_KEPT]
