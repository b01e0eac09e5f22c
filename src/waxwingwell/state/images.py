"""Images: the whole control state serialised for snapshots of the log.

Tables keyed by a tuple are saved as lists in table order. The order is part of the
state: it determines what retention drops first.
"""

from __future__ import annotations

from collections import OrderedDict
from collections import deque
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from ..records import EntryId
from ..records import Evidence
from ..records import LedgerRow
from ..records import RowStatus
from ..records import WorkspaceId
from .audit import AuditTable
from .bills import Bill
from .bills import BillTable
from .catalogue import ConfigTable
from .control import ControlState
from .evidence import EvidenceTable
from .evidence import Sender
from .exceptions import ImageError
from .pins import Pin
from .pins import PinTable
from .rows import Ledger
from .rows import Retained


if TYPE_CHECKING:
    from .rows import RowKey


IMAGE_FORMAT = 2
"""Incremented with each change of the format; other formats are rejected."""


class SavedPin(msgspec.Struct, frozen=True):
    """One session pin."""

    workspace: WorkspaceId
    session: str
    pin: Pin


class SavedLedger(msgspec.Struct, frozen=True, kw_only=True):
    """The ledger without the indexes that are rebuilt from its rows."""

    rows: list[LedgerRow]
    swept: list[tuple[WorkspaceId, str, str]]
    """Workspace, key and request id of swept rows."""
    ended: list[str]
    ended_before: list[str]
    ended_since: float
    clock: float
    repeatable_kept: list[Retained]
    others_kept: list[Retained]
    answers_kept: list[Retained]
    bills: list[Bill]


class SavedState(msgspec.Struct, frozen=True, kw_only=True):
    """The whole control state."""

    image_format: int
    config: ConfigTable
    ledger: SavedLedger
    pins: list[SavedPin]
    pins_clock: float
    evidence: list[Evidence]
    senders: dict[EntryId, Sender]
    audit: AuditTable


def save_state(state: ControlState) -> bytes:
    """Return the state as bytes that ``load_state`` can read."""
    saved = SavedState(
        image_format=IMAGE_FORMAT,
        config=replace(state.config, snapshot=None),
        ledger=_save_ledger(state.ledger),
        pins=[SavedPin(*row_key, pin) for row_key, pin in state.pins.pins.items()],
        pins_clock=state.pins.clock,
        evidence=list(state.evidence.totals.values()),
        senders=state.evidence.senders,
        audit=state.audit,
    )
    return msgspec.msgpack.encode(saved)


def _save_ledger(ledger: Ledger) -> SavedLedger:
    """Return the ledger in the format of an image."""
    return SavedLedger(
        rows=list(ledger.rows.values()),
        swept=[(*row_key, request) for row_key, request in ledger.swept.items()],
        ended=list(ledger.ended),
        ended_before=list(ledger.ended_before),
        ended_since=ledger.ended_since,
        clock=ledger.clock,
        repeatable_kept=list(ledger.repeatable_kept),
        others_kept=list(ledger.others_kept),
        answers_kept=list(ledger.answers_kept),
        bills=list(ledger.bills.bills.values()),
    )


def load_state(data: bytes) -> ControlState:
    """Return the state saved by ``save_state``; raise ``ImageError`` if invalid."""
    try:
        saved = msgspec.msgpack.decode(data, type=SavedState)
    except (msgspec.DecodeError, UnicodeDecodeError) as error:
        raise ImageError(f"not an image of the control state: {error}") from error

    if saved.image_format != IMAGE_FORMAT:
        text = f"unsupported image format {saved.image_format}, expected {IMAGE_FORMAT}"
        raise ImageError(text)

    return ControlState(
        config=saved.config,
        ledger=_load_ledger(saved.ledger),
        pins=PinTable(
            pins=OrderedDict(
                ((row.workspace, row.session), row.pin) for row in saved.pins
            ),
            clock=saved.pins_clock,
        ),
        evidence=EvidenceTable(
            totals={
                (row.workspace, row.kind, row.version): row for row in saved.evidence
            },
            senders=saved.senders,
        ),
        audit=saved.audit,
    )


def _load_ledger(saved: SavedLedger) -> Ledger:
    """Return the ledger with its indexes rebuilt."""
    rows: dict[RowKey, LedgerRow] = {}
    open_rows: dict[EntryId, dict[RowKey, int]] = {}
    for row in saved.rows:
        row_key = (row.workspace, row.key)
        rows[row_key] = row
        if row.status is RowStatus.OPEN:
            open_rows.setdefault(row.entry, {})[row_key] = row.entry_incarnation

    return Ledger(
        rows=rows,
        open_rows=open_rows,
        swept={(workspace, key): request for workspace, key, request in saved.swept},
        ended=dict.fromkeys(saved.ended),
        ended_before=dict.fromkeys(saved.ended_before),
        ended_since=saved.ended_since,
        clock=saved.clock,
        repeatable_kept=deque(saved.repeatable_kept),
        others_kept=deque(saved.others_kept),
        answers_kept=deque(saved.answers_kept),
        response_bytes=_count_response_bytes(saved.rows),
        bills=BillTable({(row.workspace, row.version): row for row in saved.bills}),
    )


def _count_response_bytes(rows: list[LedgerRow]) -> int:
    """Return the total bytes of all stored responses."""
    return sum(len(row.answer.body) for row in rows if row.answer is not None)
