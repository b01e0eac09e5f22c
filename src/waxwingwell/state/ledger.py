"""The ledger: one billing row for each (workspace, key), settled once.

A key is never opened again while its row is kept, unless its request provably did not
run. ``retention`` tells how long that is; beyond ``MAX_ROWS`` reservations are refused.
"""

from __future__ import annotations

from dataclasses import dataclass
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
from ..records import VersionId
from ..records import WorkspaceId
from .attempts import has_ended
from .attempts import note_ended
from .retention import advance_clock
from .retention import bill_row
from .retention import close_row
from .rows import NO_USAGE


if TYPE_CHECKING:
    from ..messages import Settle
    from ..messages import SettleAbandoned
    from .rows import Ledger


MAX_ROWS = 500_000
"""Rows held, open and settled; see docs/CAPACITY.md for the memory they take."""

MAX_KEY = 256
"""Characters in a request key."""

ReserveOutcome = Reserved | AlreadyOpen | AlreadySettled | Rejected


@dataclass(frozen=True, slots=True)
class OpenIncarnations:
    """The oldest and the newest incarnation of an entry that has open rows."""

    oldest: int
    newest: int


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

    note_ended(ledger, present.request)
    return _open_row(ledger, row)


def may_reopen(ledger: Ledger, present: LedgerRow, row: LedgerRow) -> bool:
    """Tell whether a closed key may be opened for a new attempt.

    Only after one that did not run, and never for an attempt that ended: a reservation
    that was delayed or sent twice would open a row that nobody settles.
    """
    if present.status is not RowStatus.SETTLED:
        return False

    if present.outcome is not OutcomeKind.NOT_RUN or present.request == row.request:
        return False

    return not has_ended(ledger, row.request)


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

        if has_ended(ledger, row.request):
            findings.append(Finding("request", "this attempt has ended already"))

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
    if command.outcome is OutcomeKind.NOT_RUN and command.usage != NO_USAGE:
        text = "a request that did not run has no usage"
        return Rejected(findings=(Finding("usage", text),))

    place = (command.workspace, command.key)
    if command.row is not None and place not in ledger.rows:
        if has_ended(ledger, command.request):
            ended = _fill_row(ledger, command.row, command)
            return Settled(row=ended, changed=False)

        refused = _open_for(ledger, command, command.row)
        if refused is not None:
            return refused

    row = ledger.rows.get(place)
    if row is None:
        note_ended(ledger, command.request)
        text = "no row under this key; it was never reserved or is past its retention"
        return Rejected(findings=(Finding("key", text),))

    if row.request != command.request:
        note_ended(ledger, command.request)
        return Settled(row=row, changed=False)

    if row.status is not RowStatus.OPEN and ledger.swept.get(place) != row.request:
        return Settled(row=row, changed=False)

    unbilled = row.status is RowStatus.OPEN or place in ledger.swept
    check(Promise.BILLED_ONCE, unbilled, lambda: f"{place} settled twice")
    settled = close_row(ledger, place, _fill_row(ledger, row, command))
    bill_row(ledger, place, settled)
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
        answer=None if outcome is OutcomeKind.NOT_RUN else command.answer,
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
        close_row(ledger, place, closed)
        ledger.swept[place] = row.request

    return Swept(rows=len(places))


def list_open_entries(ledger: Ledger) -> dict[EntryId, OpenIncarnations]:
    """Return the entries with open rows, and the incarnations that opened them."""
    return {
        entry: OpenIncarnations(min(rows.values()), max(rows.values()))
        for entry, rows in ledger.open_rows.items()
    }
