"""Resumption of streams over a new connection, or at another entry.

An engine keeps the events of a response for a while. After a cut, a stall or an
invalid event this entry requests the remaining events. When a caller reconnects with
its key after losing its entry, any entry fetches the same response and never runs
the request again.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
from twisted.internet.task import deferLater

from ...decisions.retries import may_retry
from ...decisions.upstreams import record_dispatch
from ...records import OutcomeKind
from ...records import RowStatus
from .attempts import find_row
from .attempts import finish_attempt
from .replies import Problem
from .stream_runs import can_resume
from .stream_runs import exclude_upstream
from .streams import EventStream
from .upstream_client import AttemptError
from .upstream_client import UpstreamCall
from .upstream_client import discard_response
from .upstream_client import send_call


if TYPE_CHECKING:
    from ...records import LedgerRow
    from .context import EntryContext
    from .stream_runs import StreamRun


MAX_RESUMES = 8
"""Limit of connections over which one response may be resumed."""
RESUME_DELAY = 0.05
"""Seconds before an engine is called again, multiplied by the attempts so far."""


def attach_run(context: EntryContext, run: StreamRun, row: LedgerRow) -> None:
    """Attach a run to the existing response of its key, at this entry or another.

    Events that the caller reported as received are parsed for the usage and not sent
    again. ``Problem`` if the row has no response to fetch.
    """
    if row.status is RowStatus.UNKNOWN or row.outcome is OutcomeKind.MAY_HAVE_RUN:
        raise make_unavailable_problem(row)

    skip = parse_last_event_id(run.chat.last_event_id, row.request)
    run.attached = row
    run.stream = EventStream(request=row.request, skip=skip)
    run.version = row.version
    run.upstream = row.upstream
    run.ran = True
    run.set_request_id(row.request)


def find_next_engine(context: EntryContext, run: StreamRun) -> None:
    """Select the next engine that may hold the response of an attached run."""
    for upstream, row in context.tables.upstreams.items():
        if upstream in run.excluded or row.left:
            continue

        if run.version in row.announcement.versions and can_resume(context, upstream):
            run.upstream = upstream
            return

    assert run.attached is not None
    raise make_unavailable_problem(run.attached)


def make_unavailable_problem(row: LedgerRow) -> Problem:
    """Return the problem for a key whose response can't be fetched."""
    running = row.status is RowStatus.OPEN
    return Problem(
        status=409,
        code="key_in_use" if running else "already_answered",
        message="a request with this key is running or has ended; "
        "its answer can't be fetched from an engine",
        outcome=OutcomeKind.FAILED,
        retry_after=1.0 if running else None,
    )


def parse_last_event_id(header: str, request: str) -> int:
    """Return the number of the last event of this request that the caller received."""
    name, _, number = header.rpartition(":")
    if name != request or not number.isdigit():
        return 0

    return int(number)


def may_resume(context: EntryContext, run: StreamRun) -> bool:
    """Return whether to attempt a resume at the same engine, and count the attempt."""
    if not can_resume(context, run.upstream):
        return False

    run.resumes += 1
    if run.resumes > MAX_RESUMES:
        return False

    return run.stream.last > 0 or may_retry(context.budget, context.clock())


async def resume_stream(context: EntryContext, run: StreamRun) -> Any:
    """Request the remaining events from the same engine; None if this failed.

    This is no new work for the engine, which continues what it has started. So
    withdrawn versions and leaving engines still finish their responses.
    """
    upstream = run.upstream
    row = context.tables.upstreams[upstream]
    call = UpstreamCall(
        method="GET",
        path=f"/v1/streams/{run.stream.request}?after={run.stream.last}",
        request=run.stream.request,
        priority=run.chosen.work.priority.value,
    )
    record_dispatch(context.tables, upstream, run.chosen.work, now=context.clock())
    limit = context.settings.progress_timeout
    try:
        response = await send_call(context, row, call, limit=limit)
    except AttemptError as error:
        finish_attempt(context, upstream, failed=True)
        logger.info("stream: {} not resumed: {}.", run.stream.request, error)
        if run.stream.last == 0:
            exclude_upstream(run)
        else:
            delay = RESUME_DELAY * run.resumes
            await deferLater(context.reactor, delay, lambda: None)

        return None

    if response.code == 200:
        return response

    discard_response(response)
    finish_attempt(context, upstream, failed=response.code >= 500)
    exclude_upstream(run)
    return None


async def cancel_stream(context: EntryContext, run: StreamRun) -> None:
    """Cancel the stream at the engine; best effort, as it also ends by itself."""
    try:
        row = find_row(context, run.upstream, context.clock())
        if not row.announcement.capabilities.cancel:
            return

        call = UpstreamCall(
            method="DELETE",
            path=f"/v1/streams/{run.stream.request}",
            request=run.stream.request,
            priority=run.chosen.work.priority.value,
        )
        response = await send_call(
            context, row, call, limit=context.settings.progress_timeout
        )
        discard_response(response)
    except AttemptError as error:
        logger.debug("stream: {} not cancelled: {}.", run.stream.request, error)
