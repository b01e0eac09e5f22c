"""The ledger: one billing row for each (workspace, key), settled once.

Retention, in seconds of the ledger's own clock (the largest time that commands
carried): rows of repeatable requests are kept for ``REPEATABLE_KEPT`` after they
were settled, all others with their stored answer for ``REPLAY_WINDOW``. Within it a
key is never opened again, unless its request provably did not run. Memory is bounded
by ``MAX_ROWS``, beyond which reservations are refused, and ``ANSWER_BUDGET``, beyond
which the oldest stored answers are let go while their rows stay.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from sys import intern
from typing import TYPE_CHECKING

from ..invariants import Promise
from ..invariants import check
from ..messages import AlreadyOpen
from ..messages import AlreadySettled
from ..messages import Rejected
from ..messages import Reserve
from ..messages import Reserved
from ..messages import Settled
from ..messages import Swept
from ..records import EntryId
from ..records import Finding
from ..records import LedgerRow
from ..records import OutcomeKind
from ..records import RowStatus
from ..records import UpstreamId
from ..records import Usage
from ..records import VersionId
from ..records import WorkspaceId
from .bills import BillTable
from .bills import add_row


if TYPE_CHECKING:
    from ..messages import Settle
    from ..messages import SettleAbandoned


REPEATABLE_KEPT = 120.0
"""Seconds for which the settled row of a repeatable request is kept."""

REPLAY_WINDOW = 86_400.0
"""Seconds for which a settled non-idempotent request is replayed, never repeated."""

MAX_CLOCK_STEP = 60.0
"""Most seconds by which one command moves the ledger's clock.

A proposer whose clock is wrong by a year would otherwise end the replay window of
every row with one command.
"""

MAX_ROWS = 500_000
"""Rows held, open and settled; see docs/CAPACITY.md for the memory they take."""

ANSWER_BUDGET = 64 * 1024 * 1024
"""Bytes of stored answers held."""

MAX_KEY = 256
"""Characters in a request key."""

ATTEMPTS_KEPT = 8
"""Earlier attempts under one key whose late reservations are told apart."""

DROPPED_AT_ONCE = 8
"""Rows past their retention that one command drops, so that none takes long."""

NO_USAGE = Usage()

RowKey = tuple[WorkspaceId, str]

ReserveOutcome = Reserved | AlreadyOpen | AlreadySettled | Rejected


@dataclass(frozen=True, slots=True)
class Retained:
    """A settled row's place in the order in which rows are dropped."""

    workspace: WorkspaceId
    key: str
    request: str
    drop_at: float


@dataclass(frozen=True, slots=True)
class OpenIncarnations:
    """The oldest and the newest incarnation of an entry that has open rows."""

    oldest: int
    newest: int


@dataclass(slots=True)
class Ledger:
    """Rows by (workspace, key), with what retention and sweeping need."""

    rows: dict[RowKey, LedgerRow] = field(default_factory=dict)
    open_rows: dict[EntryId, dict[RowKey, int]] = field(default_factory=dict)
    """Open rows of each entry with the entry's incarnation."""
    swept: dict[RowKey, str] = field(default_factory=dict)
    """Rows closed for a dead entry, with the request id: not yet on a bill."""
    attempts: dict[RowKey, tuple[str, ...]] = field(default_factory=dict)
    """Request ids of earlier attempts that did not run."""
    clock: float = 0.0
    repeatable_kept: deque[Retained] = field(default_factory=deque)
    others_kept: deque[Retained] = field(default_factory=deque)
    answers_kept: deque[Retained] = field(default_factory=deque)
    answer_bytes: int = 0
    bills: BillTable = field(default_factory=BillTable)


def reserve(ledger: Ledger, command: Reserve) -> ReserveOutcome:
    """Open a row, or tell what became of its key."""
    row = command.row
    advance_clock(ledger, row.reserved_at)
    place = (row.workspace, row.key)
    present = ledger.rows.get(place)
    findings = _check_reservation(ledger, row, present)
    if findings:
        return Rejected(findings=tuple(findings))

    if present is None:
        return _open_row(ledger, row)

    if present.status is RowStatus.OPEN:
        return _answer_open(present, row)

    if not may_reopen(ledger, present, row):
        return AlreadySettled(row=present)

    earlier = (*ledger.attempts.get(place, ()), present.request)
    ledger.attempts[place] = earlier[-ATTEMPTS_KEPT:]
    return _open_row(ledger, row)


def may_reopen(ledger: Ledger, present: LedgerRow, row: LedgerRow) -> bool:
    """Tell whether a closed key may be opened for a new attempt.

    Failure guarded against: a reservation that was delayed or sent twice is applied
    after its own attempt was settled as not run; it would open a row that nobody
    settles. Attempts are told apart by request id.
    """
    if present.status is not RowStatus.SETTLED:
        return False

    if present.outcome is not OutcomeKind.NOT_RUN or present.request == row.request:
        return False

    earlier = ledger.attempts.get((row.workspace, row.key), ())
    return row.request not in earlier


def _check_reservation(
    ledger: Ledger, row: LedgerRow, present: LedgerRow | None
) -> list[Finding]:
    """Return every reason against a reservation."""
    findings = []
    if not 0 < len(row.key) <= MAX_KEY:
        findings.append(Finding("key", f"a key has 1 to {MAX_KEY} characters"))

    if not row.request:
        findings.append(Finding("request", "a reservation needs a request id"))

    if present is None:
        if len(ledger.rows) >= MAX_ROWS:
            findings.append(Finding("ledger", f"{MAX_ROWS} rows are held; none free"))

        return findings

    if present.digest != row.digest or present.repeatable != row.repeatable:
        text = "this key was used for a request with another body"
        findings.append(Finding("key", text))

    return findings


def _answer_open(present: LedgerRow, row: LedgerRow) -> Reserved | AlreadyOpen:
    """Answer a reservation sent twice with success, another attempt with a wait."""
    same = (present.request, present.entry, present.entry_incarnation) == (
        row.request,
        row.entry,
        row.entry_incarnation,
    )
    return Reserved() if same else AlreadyOpen(row=present)


def _open_row(ledger: Ledger, row: LedgerRow) -> Reserved:
    """Put an open row in place, whatever the sender filled in beyond its request."""
    place = (row.workspace, row.key)
    before = ledger.rows.get(place)
    check(
        Promise.AT_MOST_ONCE,
        before is None or before.outcome is OutcomeKind.NOT_RUN,
        lambda: f"{place} opened again after {before and before.outcome}",
    )
    ledger.rows[place] = row if _is_blank(row) else _make_blank(row)
    ledger.open_rows.setdefault(row.entry, {})[place] = row.entry_incarnation
    return Reserved()


def _is_blank(row: LedgerRow) -> bool:
    """Tell whether a row is open and says nothing of an end; saves a copy of it."""
    return (
        row.status is RowStatus.OPEN
        and row.outcome is OutcomeKind.FAILED
        and row.answer is None
        and row.usage == NO_USAGE
        and row.settled_at == 0.0
    )


def _make_blank(row: LedgerRow) -> LedgerRow:
    """Return the row as an open one."""
    return replace(
        row,
        status=RowStatus.OPEN,
        outcome=OutcomeKind.FAILED,
        usage=NO_USAGE,
        answer=None,
        settled_at=0.0,
    )


def settle(ledger: Ledger, command: Settle) -> Settled | Rejected:
    """Close the row of this request id; a second settle changes nothing."""
    advance_clock(ledger, command.at)
    place = (command.workspace, command.key)
    if command.row is not None and place not in ledger.rows:
        refused = _open_for(ledger, command, command.row)
        if refused is not None:
            return refused

    row = ledger.rows.get(place)
    if row is None:
        text = "no row under this key; it was never reserved or is past its retention"
        return Rejected(findings=(Finding("key", text),))

    if row.request != command.request:
        return Settled(row=row, changed=False)

    if row.status is not RowStatus.OPEN and ledger.swept.get(place) != row.request:
        return Settled(row=row, changed=False)

    if command.outcome is OutcomeKind.NOT_RUN and command.usage != NO_USAGE:
        text = "a request that did not run has no usage"
        return Rejected(findings=(Finding("usage", text),))

    unbilled = row.status is RowStatus.OPEN or place in ledger.swept
    check(Promise.BILLED_ONCE, unbilled, lambda: f"{place} settled twice")
    settled = _close_row(ledger, place, _fill_row(ledger, row, command))
    _bill_row(ledger, place, settled)
    return Settled(row=settled, changed=True)


def _open_for(ledger: Ledger, command: Settle, row: LedgerRow) -> Rejected | None:
    """Open the row that a settle brings along, if it is the row of that settle."""
    if (row.workspace, row.key) != (command.workspace, command.key):
        text = "the row brought along has another workspace or key"
        return Rejected(findings=(Finding("row", text),))

    outcome = reserve(ledger, Reserve(row=replace(row, reserved_at=command.at)))
    return outcome if isinstance(outcome, Rejected) else None


def _fill_row(ledger: Ledger, row: LedgerRow, command: Settle) -> LedgerRow:
    """Return the row as its entry settles it.

    A row that was swept while its entry was merely cut off is settled here too: the
    entry alone knows how the request ended, and it is on no bill yet. Names that few
    rows differ in are shared, which makes a settled row smaller.
    """
    outcome = command.outcome
    unknown = outcome is OutcomeKind.MAY_HAVE_RUN and not row.repeatable
    return replace(
        row,
        workspace=WorkspaceId(intern(row.workspace)),
        entry=EntryId(intern(row.entry)),
        status=RowStatus.UNKNOWN if unknown else RowStatus.SETTLED,
        outcome=outcome,
        usage=command.usage,
        version=VersionId(intern(command.version or row.version)),
        upstream=UpstreamId(intern(command.upstream or row.upstream)),
        answer=command.answer,
        settled_at=ledger.clock,
    )


def sweep(ledger: Ledger, command: SettleAbandoned) -> Swept:
    """Close the rows that older incarnations of an entry left open.

    A reservation doesn't tell whether its request was dispatched, so nothing here can
    be proved not to have run: repeatable ones failed, unbilled; others may have run.
    """
    advance_clock(ledger, command.at)
    places = [
        place
        for place, incarnation in ledger.open_rows.get(command.entry, {}).items()
        if incarnation < command.below_incarnation
    ]
    for place in places:
        row = ledger.rows[place]
        outcome = OutcomeKind.FAILED if row.repeatable else OutcomeKind.MAY_HAVE_RUN
        status = RowStatus.SETTLED if row.repeatable else RowStatus.UNKNOWN
        closed = replace(row, status=status, outcome=outcome, settled_at=ledger.clock)
        _close_row(ledger, place, closed)
        ledger.swept[place] = row.request

    return Swept(rows=len(places))


def _close_row(ledger: Ledger, place: RowKey, row: LedgerRow) -> LedgerRow:
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


def _bill_row(ledger: Ledger, place: RowKey, row: LedgerRow) -> None:
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
            _bill_row(ledger, place, row)

        if row.answer is not None:
            ledger.answer_bytes -= len(row.answer.body)

        ledger.attempts.pop(place, None)
        del ledger.rows[place]


def list_open_entries(ledger: Ledger) -> dict[EntryId, OpenIncarnations]:
    """Return the entries with open rows, and the incarnations that opened them."""
    return {
        entry: OpenIncarnations(min(rows.values()), max(rows.values()))
        for entry, rows in ledger.open_rows.items()
    }
