"""Bills: totals over settled ledger rows, each of which is added exactly once."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..records import OutcomeKind
from ..records import VersionId
from ..records import WorkspaceId


if TYPE_CHECKING:
    from ..records import LedgerRow


@dataclass(slots=True)
class Bill:
    """Usage and cost of one workspace for one version, which is empty for services."""

    workspace: WorkspaceId
    version: VersionId
    requests: int = 0
    """Rows added, regardless of their outcome."""
    completed: int = 0
    failed: int = 0
    unknown: int = 0
    """Requests that may have run; they are not charged."""
    prompt_tokens: int = 0
    answer_tokens: int = 0
    cost: int = 0
    """Micro-units of the workspace's currency."""


@dataclass(slots=True)
class BillTable:
    """Bills by workspace and version since the state was created."""

    bills: dict[tuple[WorkspaceId, VersionId], Bill] = field(default_factory=dict)


def add_row(table: BillTable, row: LedgerRow) -> None:
    """Add a final row to its bill; requests that did not run are not billed."""
    if row.outcome is OutcomeKind.NOT_RUN:
        return

    key = (row.workspace, row.version)
    bill = table.bills.get(key)
    if bill is None:
        bill = Bill(row.workspace, row.version)
        table.bills[key] = bill

    bill.requests += 1
    bill.completed += row.outcome is OutcomeKind.COMPLETED
    bill.failed += row.outcome is OutcomeKind.FAILED
    bill.unknown += row.outcome is OutcomeKind.MAY_HAVE_RUN
    bill.prompt_tokens += row.usage.prompt_tokens
    bill.answer_tokens += row.usage.answer_tokens
    bill.cost += row.usage.cost


def list_bills(table: BillTable, workspace: WorkspaceId | None = None) -> list[Bill]:
    """Return the bills of one workspace, or of all, sorted by key."""
    return [
        table.bills[key]
        for key in sorted(table.bills)
        if workspace is None or key[0] == workspace
    ]
