"""Retention of the ledger: how long closed rows stay, and when they are billed.

Times are seconds of the ledger's own clock, the largest time that commands carried.
Rows of repeatable requests are kept for ``REPEATABLE_KEPT`` after they were closed,
all others with their stored answer for ``REPLAY_WINDOW``. Beyond ``ANSWER_BUDGET`` the
oldest stored answers are let go while their rows stay.
"""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..invariants import Promise
from ..invariants import check
from ..records import RowStatus
from .attempts import forget_ended
from .attempts import note_ended
from .bills import add_row
from .rows import Retained


if TYPE_CHECKING:
    from collections import deque

    from ..records import EntryId
    from ..records import LedgerRow
    from .rows import Ledger
    from .rows import RowKey


REPEATABLE_KEPT = 120.0
"""Seconds for which the settled row of a repeatable request is kept."""

REPLAY_WINDOW = 86_400.0
"""Seconds for which a settled non-idempotent request is replayed, never repeated."""

MAX_CLOCK_STEP = 60.0
"""Most seconds by which one command moves the ledger's clock.

A proposer whose clock is wrong by a year would otherwise end the replay window of
every row with one command.
"""

ANSWER_BUDGET = 64 * 1024 * 1024
"""Bytes of stored answers held."""

DROPPED_AT_ONCE = 8
"""Rows past their retention that one command drops, so that none takes long."""


def close_row(ledger: Ledger, place: RowKey, row: LedgerRow) -> LedgerRow:
    """Put a closed row in place of its open or swept one; return it."""
    swept = place in ledger.swept
    _forget_open(ledger, place, row.entry)
    ledger.rows[place] = row
    kept = REPEATABLE_KEPT if row.repeatable else REPLAY_WINDOW
    retained = Retained(row.workspace, row.key, row.request, ledger.clock + kept)
    if not swept:
        queue = ledger.repeatable_kept if row.repeatable else ledger.others_kept
        queue.append(retained)

    if row.answer is not None:
        ledger.answers_kept.append(retained)
        ledger.answer_bytes += len(row.answer.body)
        _limit_answers(ledger)

    return ledger.rows[place]


def _forget_open(ledger: Ledger, place: RowKey, entry: EntryId) -> None:
    """Take a row off its entry's open ones."""
    rows = ledger.open_rows.get(entry)
    if rows is None:
        return

    rows.pop(place, None)
    if not rows:
        del ledger.open_rows[entry]


def bill_row(ledger: Ledger, place: RowKey, row: LedgerRow) -> None:
    """Put a row on its bill, once: by its entry's settle or when it is dropped."""
    ledger.swept.pop(place, None)
    check(
        Promise.BILLED_ONCE,
        row.status is not RowStatus.OPEN,
        lambda: f"{place} put on a bill while open",
    )
    add_row(ledger.bills, row)


def _limit_answers(ledger: Ledger) -> None:
    """Let the oldest stored answers go while they take more than their budget."""
    while ledger.answer_bytes > ANSWER_BUDGET:
        oldest = ledger.answers_kept.popleft()
        place = (oldest.workspace, oldest.key)
        row = ledger.rows.get(place)
        if row is None or row.request != oldest.request or row.answer is None:
            continue

        ledger.answer_bytes -= len(row.answer.body)
        ledger.rows[place] = replace(row, answer=None)


def advance_clock(ledger: Ledger, at: float) -> None:
    """Move the ledger's clock on and drop a few rows past their retention."""
    if at > ledger.clock:
        first = ledger.clock == 0.0
        ledger.clock = at if first else min(at, ledger.clock + MAX_CLOCK_STEP)

    forget_ended(ledger)
    for queue in (ledger.repeatable_kept, ledger.others_kept):
        _drop_rows(ledger, queue)

    answers = ledger.answers_kept
    for _ in range(DROPPED_AT_ONCE):
        if not answers or answers[0].drop_at > ledger.clock:
            return

        answers.popleft()


def _drop_rows(ledger: Ledger, queue: deque[Retained]) -> None:
    """Drop up to ``DROPPED_AT_ONCE`` rows that are past their retention."""
    for _ in range(DROPPED_AT_ONCE):
        if not queue or queue[0].drop_at > ledger.clock:
            return

        retained = queue.popleft()
        place = (retained.workspace, retained.key)
        row = ledger.rows.get(place)
        if row is None or row.request != retained.request:
            continue

        if place in ledger.swept:
            bill_row(ledger, place, row)

        if row.answer is not None:
            ledger.answer_bytes -= len(row.answer.body)

        note_ended(ledger, row.request)
        del ledger.rows[place]
