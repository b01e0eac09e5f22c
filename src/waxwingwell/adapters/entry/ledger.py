"""The entry's commands to the ledger: reserve, settle, pin."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from loguru import logger
from twisted.internet.defer import Deferred

from ...decisions.tables import Work
from ...messages import AlreadyOpen
from ...messages import AlreadySettled
from ...messages import Pinned
from ...messages import PinSession
from ...messages import Rejected
from ...messages import Reserve
from ...messages import Reserved
from ...messages import Settle
from ...records import EntryId
from ...records import LedgerRow
from ...records import OutcomeKind
from ...records import StoredResponse
from ...records import UpstreamId
from ...records import Usage
from ...records import VersionId
from ..exceptions import ControlUnavailableError
from .context import EntryContext
from .context import remember_pin
from .control_client import submit_command
from .replies import Problem


if TYPE_CHECKING:
    from ...records import WorkspaceId


RESERVE_LIMIT = 3.0
"""Seconds within which a row must be durable; long enough for a fail-over."""
SETTLE_LIMIT = 3.0
"""Seconds for which the end of a response waits for its billing row."""
SETTLE_ATTEMPTS = 200
"""Further attempts in the background, of ``SETTLE_LIMIT`` seconds each."""
CONTROL_UNAVAILABLE = "control_unavailable"
RETRY_AFTER_NO_LEADER = 2.0
"""Seconds after which a caller may retry when no leader replied."""


ReserveOutcome = Reserved | AlreadyOpen | AlreadySettled
"""Result of a reservation: its own new row, or the existing row of its key."""


@dataclass(frozen=True, slots=True)
class Settlement:
    """How a request ended, as settled in its row."""

    outcome: OutcomeKind
    version: VersionId = VersionId("")
    upstream: UpstreamId = UpstreamId("")
    usage: Usage = Usage()
    answer: StoredResponse | None = None


@dataclass(frozen=True, slots=True)
class Reservation:
    """The request for which a row is reserved."""

    work: Work
    key: str
    digest: str
    repeatable: bool
    version: VersionId = VersionId("")
    upstream: UpstreamId = UpstreamId("")
    unconfirmed_outcome: OutcomeKind = OutcomeKind.NOT_RUN
    """Outcome to settle if the row may exist but the leader's reply was lost."""


async def reserve_row(
    context: EntryContext, reservation: Reservation
) -> ReserveOutcome:
    """Make the row durable; ``Problem`` if the key is misused or control unavailable.

    A row that may exist is closed when the leader's reply arrives too late. The caller
    is refused then, and each retry of its key would otherwise find the row open, and so
    "running", for the lifetime of this entry.
    """
    work = reservation.work
    row = make_row(context, reservation)
    try:
        outcome = await submit_command(
            context.control, Reserve(row=row), limit=RESERVE_LIMIT
        )
    except ControlUnavailableError as error:
        if error.may_have_run:
            _close_unconfirmed_row(context, row, reservation.unconfirmed_outcome)

        raise Problem(
            status=503,
            code=CONTROL_UNAVAILABLE,
            message="the request could not be recorded and was not run",
            retry_after=RETRY_AFTER_NO_LEADER,
        ) from error

    # A retry of this reservation, after a lost reply, finds its own row.
    if isinstance(outcome, AlreadyOpen) and outcome.row.request == work.request:
        return Reserved()

    if isinstance(outcome, Rejected):
        raise Problem(
            status=422,
            code="key_reused",
            message="; ".join(
                f"{item.place}: {item.message}" for item in outcome.findings
            ),
            findings=outcome.findings,
            param="Idempotency-Key",
        )

    return outcome  # type: ignore[no-any-return]


def make_row(context: EntryContext, reservation: Reservation) -> LedgerRow:
    """Return an open row for a request at this entry."""
    work = reservation.work
    return LedgerRow(
        workspace=work.workspace,
        key=reservation.key,
        request=work.request,
        entry=EntryId(context.settings.node),
        entry_incarnation=context.incarnation,
        repeatable=reservation.repeatable,
        digest=reservation.digest,
        reserved_at=context.wall_clock(),
        version=reservation.version,
        upstream=reservation.upstream,
        session=work.session,
    )


async def settle_row(
    context: EntryContext,
    workspace: WorkspaceId,
    key: str,
    request: str,
    settlement: Settlement,
    *,
    row: LedgerRow | None = None,
) -> bool:
    """Settle a row; true once durable, false if settling continues in the background.

    ``row`` is passed if none was reserved; the same command opens it.

    Settling is idempotent. It is retried until control replies, so that a response
    sent while no leader was reachable is still billed once.
    """
    command = Settle(
        workspace=workspace,
        key=key,
        request=request,
        outcome=settlement.outcome,
        at=context.wall_clock(),
        version=settlement.version,
        upstream=settlement.upstream,
        usage=settlement.usage,
        answer=settlement.answer,
        row=row,
    )
    try:
        outcome = await submit_command(context.control, command, limit=SETTLE_LIMIT)
    except ControlUnavailableError:
        logger.warning("ledger: Settling {} continues in the background.", request)
        Deferred.fromCoroutine(_settle_in_background(context, command))
        return False

    if isinstance(outcome, Rejected):
        _handle_rejected_settle(command, outcome)

    return True


def _handle_rejected_settle(command: Settle, refused: Rejected) -> None:
    """Log a rejected settle; ``Problem`` if the response would have no row."""
    text = "; ".join(f"{item.place}: {item.message}" for item in refused.findings)
    logger.error("ledger: {} was not settled: {}.", command.request, text)
    if command.row is not None:
        raise Problem(
            status=503,
            code="not_recorded",
            message=f"the answer could not be recorded: {text}",
            outcome=OutcomeKind.FAILED,
            retry_after=RETRY_AFTER_NO_LEADER,
        )


def _close_unconfirmed_row(
    context: EntryContext, row: LedgerRow, outcome: OutcomeKind
) -> None:
    """Close a row that may exist, without delaying the response to its caller."""
    command = Settle(
        workspace=row.workspace,
        key=row.key,
        request=row.request,
        outcome=outcome,
        at=context.wall_clock(),
    )
    Deferred.fromCoroutine(_settle_in_background(context, command))


async def _settle_in_background(context: EntryContext, command: Settle) -> None:
    context.pending_settlements += 1
    try:
        for _ in range(SETTLE_ATTEMPTS):
            try:
                await submit_command(context.control, command, limit=SETTLE_LIMIT)
            except ControlUnavailableError:
                continue

            return

        logger.error(
            "ledger: Gave up settling {}; control settles it once this entry ends.",
            command.request,
        )
    finally:
        context.pending_settlements -= 1


def find_pin(context: EntryContext, work: Work) -> VersionId:
    """Return the cached pin of a session, or an empty id."""
    if not work.session:
        return VersionId("")

    return context.pins.get((work.workspace, work.session), VersionId(""))


async def pin_session(
    context: EntryContext, work: Work, version: VersionId
) -> VersionId:
    """Pin the session unless it is pinned; return its pinned version."""
    command = PinSession(
        workspace=work.workspace,
        session=work.session,
        version=version,
        at=context.wall_clock(),
    )
    try:
        outcome = await submit_command(context.control, command, limit=RESERVE_LIMIT)
    except ControlUnavailableError as error:
        raise Problem(
            status=503,
            code=CONTROL_UNAVAILABLE,
            message="the session's version could not be recorded; nothing was run",
            retry_after=RETRY_AFTER_NO_LEADER,
        ) from error

    if not isinstance(outcome, Pinned):
        raise Problem(status=503, code="pin_refused", message=str(outcome))

    remember_pin(context, work.workspace, work.session, outcome.version)
    return outcome.version
