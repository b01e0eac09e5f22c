"""Tables of the ledger: rows by (workspace, key), with indexes and queues."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field

from ..records import EntryId
from ..records import LedgerRow
from ..records import Usage
from ..records import WorkspaceId
from .bills import BillTable


NO_USAGE = Usage()

RowKey = tuple[WorkspaceId, str]


@dataclass(frozen=True, slots=True)
class Retained:
    """A closed row in a retention queue, with the time when it can be dropped."""

    workspace: WorkspaceId
    key: str
    request: str
    drop_at: float


@dataclass(slots=True)
class Ledger:
    """Rows by (workspace, key), with the state for retention and sweeping."""

    rows: dict[RowKey, LedgerRow] = field(default_factory=dict)
    open_rows: dict[EntryId, dict[RowKey, int]] = field(default_factory=dict)
    """Keys of open rows by entry, with the incarnation that opened them."""
    swept: dict[RowKey, str] = field(default_factory=dict)
    """Request ids of rows closed by a sweep and not billed yet, by row key."""
    ended: dict[str, None] = field(default_factory=dict)
    """Request ids of ended attempts that no longer have a row of their own."""
    ended_before: dict[str, None] = field(default_factory=dict)
    """Request ids of the previous generation; see ``attempts``."""
    ended_since: float = 0.0
    """When the current generation started, by ``clock``."""
    clock: float = 0.0
    repeatable_kept: deque[Retained] = field(default_factory=deque)
    others_kept: deque[Retained] = field(default_factory=deque)
    answers_kept: deque[Retained] = field(default_factory=deque)
    response_bytes: int = 0
    bills: BillTable = field(default_factory=BillTable)
