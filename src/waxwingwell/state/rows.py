"""The tables of the ledger: rows by (workspace, key), and what is kept beside them."""

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
    """A settled row's place in the order in which rows are dropped."""

    workspace: WorkspaceId
    key: str
    request: str
    drop_at: float


@dataclass(slots=True)
class Ledger:
    """Rows by (workspace, key), with what retention and sweeping need."""

    rows: dict[RowKey, LedgerRow] = field(default_factory=dict)
    open_rows: dict[EntryId, dict[RowKey, int]] = field(default_factory=dict)
    """Open rows of each entry with the entry's incarnation."""
    swept: dict[RowKey, str] = field(default_factory=dict)
    """Rows closed for a dead entry, with the request id: not yet on a bill."""
    ended: dict[str, None] = field(default_factory=dict)
    """Request ids of attempts that ended and have no row of their own any more."""
    ended_before: dict[str, None] = field(default_factory=dict)
    """Those of the period before; see ``attempts``."""
    ended_since: float = 0.0
    """When the present period began, by ``clock``."""
    clock: float = 0.0
    repeatable_kept: deque[Retained] = field(default_factory=deque)
    others_kept: deque[Retained] = field(default_factory=deque)
    answers_kept: deque[Retained] = field(default_factory=deque)
    answer_bytes: int = 0
    bills: BillTable = field(default_factory=BillTable)
