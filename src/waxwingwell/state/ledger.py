"""The ledger: one billing row for each (workspace, key), settled once.

A key can't be reserved again while its row is kept, unless its request provably did
not run. ``retention`` defines how long rows are kept; once there are ``MAX_ROWS``,
new reservations are rejected.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import replace
from sys import intern
from typing import TYPE_CHECKING

from ..invariants import Invariant
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
from .attempts import record_ended
from .retention import advance_clock
from .retention import bill_row
from .retention import close_row
from .rows import NO_USAGE


if TYPE_CHECKING:
    from ..messages import Settle
    from ..messages import SettleAbandoned
    from .rows import Ledger


MAX_ROWS = 500_000
"""Maximum open and settled rows; see docs/CAPACITY.md for their memory use."""

MAX_KEY_LENGTH = 256
"""Maximum characters in a request key."""

ReserveOutcome = Reserved | AlreadyOpen | AlreadySettled | Rejected


@dataclass(frozen=True, slots=True)
class OpenIncarnations:
    """The oldest and the newest incarnation of an entry with open rows."""

    oldest: int
    newest: int


def reserve(ledger: Ledger, command: Reserve) -> ReserveOutcome:
    """Open a row, or return the state of the existing row of its key."""
    row = command.row
    advance_clock(ledger, row.reserved_at)
    row_key = (row.workspace, row.key)
    existing = ledger.rows.get(row_key)
    findings = _check_reservation(ledger, row, existing)
    if findings:
        return Rejected(findings=tuple(findings))

    if existing is None:
        return _open_row(ledger, row)

    if existing.status is RowStatus.OPEN:
        return _resolve_open(existing, row)

    if not may_reopen(ledger, existing, row):
        return AlreadySettled(row=existing)

    record_ended(ledger, existing.request)
    return _open_row(ledger, row)


def may_reopen(ledger: Ledger, existing: LedgerRow, row: LedgerRow) -> bool:
    """Return whether the row of a closed key may be reopened for a new attempt.

    This requires that the previous attempt did not run and that the new one has not
    ended: a delayed or duplicate reservation would open a row that is never settled.
    """
    if existing.status is not RowStatus.SETTLED:
        return False

    if existing.outcome is not OutcomeKind.NOT_RUN or existing.request == row.request:
        return False

    return not has_ended(ledger, row.request)


def _check_reservation(
    ledger: Ledger, row: LedgerRow, existing: LedgerRow | None
) -> list[Finding]:
    """Return all validation findings for a reservation."""
    findings = []
    if not 0 < len(row.key) <= MAX_KEY_LENGTH:
        findings.append(Finding("key", f"a key has 1 to {MAX_KEY_LENGTH} characters"))

    if not row.request:
        findings.append(Finding("request", "a reservation needs a request id"))

    if existing is None:
        if len(ledger.rows) >= MAX_ROWS:
            findings.append(Finding("ledger", f"{MAX_ROWS} rows are held; none free"))

        if has_ended(ledger, row.request):
            findings.append(Finding("request", "this attempt has ended already"))

        return findings

    if existing.digest != row.digest or existing.repeatable != row.repeatable:
        text = "this key was used for a request with another body"
        findings.append(Finding("key", text))

    return findings


def _resolve_open(existing: LedgerRow, row: LedgerRow) -> Reserved | AlreadyOpen:
    """Accept a resent reservation; report the open row to any other attempt."""
    is_resend = (existing.request, existing.entry, existing.entry_incarnation) == (
        row.request,
        row.entry,
        row.entry_incarnation,
    )
    return Reserved() if is_resend else AlreadyOpen(row=existing)


def _open_row(ledger: Ledger, row: LedgerRow) -> Reserved:
    """Store an open row, with the sender's values of outcome fields reset."""
    row_key = (row.workspace, row.key)
    before = ledger.rows.get(row_key)
    check(
        Invariant.AT_MOST_ONCE,
        before is None or before.outcome is OutcomeKind.NOT_RUN,
        lambda: f"{row_key} reopened after {before and before.outcome}",
    )
    ledger.rows[row_key] = row if _is_blank(row) else _make_blank(row)
    ledger.open_rows.setdefault(row.entry, {})[row_key] = row.entry_incarnation
    return Reserved()


def _is_blank(row: LedgerRow) -> bool:
    """Return whether a row is open without outcome fields, so it needs no copy."""
    return (
        row.status is RowStatus.OPEN
        and row.outcome is OutcomeKind.FAILED
        and row.answer is None
        and row.usage == NO_USAGE
        and row.settled_at == 0.0
    )


def _make_blank(row: LedgerRow) -> LedgerRow:
    """Return a copy of the row that is open and has no outcome fields."""
    return replace(
        row,
        status=RowStatus.OPEN,
        outcome=OutcomeKind.FAILED,
        usage=NO_USAGE,
        answer=None,
        settled_at=0.0,
    )


def settle(ledger: Ledger, command: Settle) -> Settled | Rejected:
    """Close the row of this request id; settling it again has no effect."""
    advance_clock(ledger, command.at)
    if command.outcome is OutcomeKind.NOT_RUN and command.usage != NO_USAGE:
        text = "a request that did not run has no usage"
        return Rejected(findings=(Finding("usage", text),))

    row_key = (command.workspace, command.key)
    if command.row is not None and row_key not in ledger.rows:
        if has_ended(ledger, command.request):
            ended = _make_settled_row(ledger, command.row, command)
            return Settled(row=ended, changed=False)

        rejection = _open_carried_row(ledger, command, command.row)
        if rejection is not None:
            return rejection

    row = ledger.rows.get(row_key)
    if row is None:
        record_ended(ledger, command.request)
        text = "no row under this key; it was never reserved or is past its retention"
        return Rejected(findings=(Finding("key", text),))

    if row.request != command.request:
        record_ended(ledger, command.request)
        return Settled(row=row, changed=False)

    if row.status is not RowStatus.OPEN and ledger.swept.get(row_key) != row.request:
        return Settled(row=row, changed=False)

    not_billed = row.status is RowStatus.OPEN or row_key in ledger.swept
    check(Invariant.BILLED_ONCE, not_billed, lambda: f"{row_key} settled twice")
    settled = close_row(ledger, row_key, _make_settled_row(ledger, row, command))
    bill_row(ledger, row_key, settled)
    return Settled(row=settled, changed=True)


def _open_carried_row(
    ledger: Ledger, command: Settle, row: LedgerRow
) -> Rejected | None:
    """Open the row included in a settle; return a rejection if that is not possible."""
    if (row.workspace, row.key) != (command.workspace, command.key):
        text = "the row brought along has another workspace or key"
        return Rejected(findings=(Finding("row", text),))

    outcome = reserve(ledger, Reserve(row=replace(row, reserved_at=command.at)))
    return outcome if isinstance(outcome, Rejected) else None


def _make_settled_row(ledger: Ledger, row: LedgerRow, command: Settle) -> LedgerRow:
    """Return the settled row with the values reported by its entry.

    This also applies to a row that was swept while its entry was only partitioned off:
    only the entry knows the outcome of the request, and swept rows are not billed yet.
    Strings that many rows have in common are interned to make settled rows smaller.
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

    A reservation doesn't show whether its request was dispatched, so no request can be
    proved not to have run: repeatable requests are closed as failed and unbilled, all
    others as possibly run.
    """
    advance_clock(ledger, command.at)
    row_keys = [
        row_key
        for row_key, incarnation in ledger.open_rows.get(command.entry, {}).items()
        if incarnation < command.below_incarnation
    ]
    for row_key in row_keys:
        row = ledger.rows[row_key]
        outcome = OutcomeKind.FAILED if row.repeatable else OutcomeKind.MAY_HAVE_RUN
        status = RowStatus.SETTLED if row.repeatable else RowStatus.UNKNOWN
        closed = replace(row, status=status, outcome=outcome, settled_at=ledger.clock)
        close_row(ledger, row_key, closed)
        ledger.swept[row_key] = row.request

    return Swept(rows=len(row_keys))


def list_open_entries(ledger: Ledger) -> dict[EntryId, OpenIncarnations]:
    """Return the entries with open rows and the incarnations that opened them."""
    return {
        entry: OpenIncarnations(min(rows.values()), max(rows.values()))
        for entry, rows in ledger.open_rows.items()
    }
