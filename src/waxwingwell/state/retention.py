"""Retention of the ledger: how long closed rows are kept, and when they are billed.

Times are in seconds of the ledger's own clock, the latest time stamp of any command.
Rows of repeatable requests are kept for ``REPEATABLE_RETENTION`` after they were
closed, all others with their stored response for ``REPLAY_WINDOW``. When stored
responses exceed ``RESPONSE_BUDGET``, the oldest are dropped while their rows are kept.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..invariants import Invariant
from ..invariants import check
from ..records import RowStatus
from .attempts import record_ended
from .attempts import rotate_ended
from .bills import add_row
from .rows import Retained


if TYPE_CHECKING:
    from collections import deque

    from ..records import EntryId
    from ..records import LedgerRow
    from .rows import Ledger
    from .rows import RowKey


REPEATABLE_RETENTION = 120.0
"""Seconds for which the settled row of a repeatable request is kept."""

REPLAY_WINDOW = 86_400.0
"""Seconds in which a settled non-idempotent request is replayed, never run again."""

MAX_CLOCK_STEP = 60.0
"""Maximum seconds by which one command advances the ledger's clock.

A proposer whose clock is a year ahead would otherwise end the replay window of every
row with a single command.
"""

RESPONSE_BUDGET = 64 * 1024 * 1024
"""Maximum total bytes of stored responses."""

MAX_DROPS_PER_COMMAND = 8
"""Maximum expired rows that one command drops, so that no command takes long."""


def close_row(ledger: Ledger, row_key: RowKey, row: LedgerRow) -> LedgerRow:
    """Replace an open or swept row by its closed row; return the stored row."""
    swept = row_key in ledger.swept
    _remove_open(ledger, row_key, row.entry)
    ledger.rows[row_key] = row
    retention_time = REPEATABLE_RETENTION if row.repeatable else REPLAY_WINDOW
    retained = Retained(
        row.workspace, row.key, row.request, ledger.clock + retention_time
    )
    if not swept:
        queue = ledger.repeatable_kept if row.repeatable else ledger.others_kept
        queue.append(retained)

    if row.answer is not None:
        ledger.answers_kept.append(retained)
        ledger.response_bytes += len(row.answer.body)
        _evict_responses(ledger)

    return ledger.rows[row_key]


def _remove_open(ledger: Ledger, row_key: RowKey, entry: EntryId) -> None:
    """Remove a row from the open rows of its entry."""
    rows = ledger.open_rows.get(entry)
    if rows is None:
        return

    rows.pop(row_key, None)
    if not rows:
        del ledger.open_rows[entry]


def bill_row(ledger: Ledger, row_key: RowKey, row: LedgerRow) -> None:
    """Add a row to its bill, once: when its entry settles it, or when it is dropped."""
    ledger.swept.pop(row_key, None)
    check(
        Invariant.BILLED_ONCE,
        row.status is not RowStatus.OPEN,
        lambda: f"{row_key} billed while open",
    )
    add_row(ledger.bills, row)


def _evict_responses(ledger: Ledger) -> None:
    """Drop the oldest stored responses until they fit the budget."""
    while ledger.response_bytes > RESPONSE_BUDGET:
        oldest = ledger.answers_kept.popleft()
        row_key = (oldest.workspace, oldest.key)
        row = ledger.rows.get(row_key)
        if row is None or row.request != oldest.request or row.answer is None:
            continue

        ledger.response_bytes -= len(row.answer.body)
        ledger.rows[row_key] = replace(row, answer=None)


def advance_clock(ledger: Ledger, at: float) -> None:
    """Advance the ledger's clock and drop a few expired rows."""
    if at > ledger.clock:
        first = ledger.clock == 0.0
        ledger.clock = at if first else min(at, ledger.clock + MAX_CLOCK_STEP)

    rotate_ended(ledger)
    for queue in (ledger.repeatable_kept, ledger.others_kept):
        _drop_rows(ledger, queue)

    responses = ledger.answers_kept
    for _ in range(MAX_DROPS_PER_COMMAND):
        if not responses or responses[0].drop_at > ledger.clock:
            return

        responses.popleft()


def _drop_rows(ledger: Ledger, queue: deque[Retained]) -> None:
    """Drop up to ``MAX_DROPS_PER_COMMAND`` expired rows of a queue."""
    for _ in range(MAX_DROPS_PER_COMMAND):
        if not queue or queue[0].drop_at > ledger.clock:
            return

        retained = queue.popleft()
        row_key = (retained.workspace, retained.key)
        row = ledger.rows.get(row_key)
        if row is None or row.request != retained.request:
            continue

        if row_key in ledger.swept:
            bill_row(ledger, row_key, row)

        if row.answer is not None:
            ledger.response_bytes -= len(row.answer.body)

        record_ended(ledger, row.request)
        del ledger.rows[row_key]
