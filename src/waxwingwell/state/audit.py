"""The audit trail: decided changes, and earlier revisions of workspace answers.

Both are bounded: the trail by ``MAX_AUDIT_ROWS`` changes, the answers by
``MAX_PAST_ANSWERS`` revisions per workspace. Longer retention requires exporting them
regularly; ``dropped`` counts the audit rows that were discarded.
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


MAX_AUDIT_ROWS = 20_000
"""Rows of the audit trail; up to a tenth more are kept between two cleanups."""

MAX_PAST_ANSWERS = 100
"""Revisions of the answers kept for each workspace."""


@dataclass(frozen=True, slots=True)
class AuditRow:
    """One change and its outcome."""

    at: float
    """Seconds since the epoch, stamped by the leader."""
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
    """Audit rows, oldest first, and past answers by workspace."""

    rows: list[AuditRow] = field(default_factory=list)
    dropped: int = 0
    answers: dict[WorkspaceId, list[PastAnswers]] = field(default_factory=dict)


def record_change(table: AuditTable, change: Change, outcome: Outcome) -> None:
    """Append a newly decided change; resends of earlier changes are not recorded."""
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
    # Rows are dropped in batches: dropping one per change would shift the whole list.
    surplus = len(table.rows) - MAX_AUDIT_ROWS
    if surplus > MAX_AUDIT_ROWS // 10:
        del table.rows[:surplus]
        table.dropped += surplus

    if isinstance(change, ApplyAnswers) and isinstance(outcome, Accepted):
        _store_past_answers(table, change, outcome)


def _store_past_answers(
    table: AuditTable, change: ApplyAnswers, outcome: Accepted
) -> None:
    """Store an accepted revision and drop the oldest ones beyond the bound."""
    revisions = table.answers.setdefault(change.config.workspace, [])
    revisions.append(
        PastAnswers(
            revision=outcome.revision,
            operator=change.operator,
            at=change.at,
            change_id=change.change_id,
            answers=change.answers,
        )
    )
    del revisions[:-MAX_PAST_ANSWERS]
