"""One attempt at an upstream, counted in the tables and traced as a span."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
from opentelemetry.trace import SpanKind
from opentelemetry.trace import StatusCode
from twisted.web.client import readBody

from ...decisions.upstreams import record_dispatch
from ...decisions.upstreams import record_finish
from ...invariants import Invariant
from ...invariants import check
from ..telemetry import make_traceparent
from ..telemetry import start_span
from .relay import RelayProtocol
from .relay import StreamEnd
from .upstream_client import AttemptError
from .upstream_client import UpstreamCall
from .upstream_client import discard_response
from .upstream_client import read_header
from .upstream_client import send_call


if TYPE_CHECKING:
    from collections.abc import Callable

    from opentelemetry.trace import Span

    from ...decisions.tables import UpstreamRow
    from ...decisions.tables import Work
    from ...records import UpstreamId
    from .context import EntryContext
    from .relay import Sink
    from .streams import EventStream


HEADERS_TIMEOUT_FACTOR = 4.0
"""Limit for response headers as a multiple of the progress timeout.

The upstream may queue the request before it sends them.
"""


def find_row(context: EntryContext, upstream: UpstreamId, now: float) -> UpstreamRow:
    """Return a live upstream's row; ``AttemptError`` if it has left or expired."""
    row = context.tables.upstreams.get(upstream)
    if row is None or row.left or row.expires_at <= now:
        raise AttemptError(f"{upstream} has left", may_have_run=False)

    check(
        Invariant.NO_NEW_WORK_WHEN_LEAVING,
        not row.announcement.leaving,
        lambda: f"work was dispatched to leaving upstream {upstream}",
    )
    return row


async def run_attempt(
    context: EntryContext,
    work: Work,
    upstream: UpstreamId,
    make_call: Callable[[str | None], UpstreamCall],
    span: Span,
) -> Any:
    """Dispatch to an upstream and return its response.

    The calling code reports the end with ``finish_attempt``; a failure before the
    response is counted here. Errors: ``AttemptError``.
    """
    row = find_row(context, upstream, context.clock())
    attempt_span = start_span(
        context.traces, "upstream.attempt", kind=SpanKind.CLIENT, parent=span
    )
    attempt_span.set_attribute("upstream", upstream)
    call = make_call(make_traceparent(attempt_span))
    record_dispatch(context.tables, upstream, work, now=context.clock())
    limit = context.settings.progress_timeout * HEADERS_TIMEOUT_FACTOR
    try:
        response = await send_call(context, row, call, limit=limit)
        context.attempted.add(work.request)
        check_response_id(response, call)
    except AttemptError as error:
        if error.may_have_run:
            context.attempted.add(work.request)

        attempt_span.set_status(StatusCode.ERROR, str(error))
        finish_attempt(context, upstream, failed=True)
        raise
    finally:
        attempt_span.end()

    return response


def check_response_id(response: Any, call: UpstreamCall) -> None:
    """Refuse a response that carries the id of another request."""
    response_id = read_header(response, "x-request-id")
    if response_id and response_id != call.request:
        discard_response(response)
        # The reason reaches the caller, so it must not contain another request's id.
        logger.warning(
            "entry: Response to {} carries request id {}.", call.request, response_id
        )
        raise AttemptError("the answer was another request's", may_have_run=True)


def finish_attempt(
    context: EntryContext, upstream: UpstreamId, *, failed: bool
) -> None:
    """Count a finished attempt; ``failed`` if the upstream was at fault."""
    record_finish(context.tables, upstream, failed=failed, now=context.clock())


async def read_response_body(
    context: EntryContext, response: Any, upstream: UpstreamId, *, limit: float
) -> bytes:
    """Return the complete body, received within ``limit`` seconds.

    On success the attempt stays open. Errors: ``AttemptError``, after the attempt was
    counted as failed.
    """
    pending = readBody(response)
    pending.addTimeout(limit, context.reactor)
    try:
        data: bytes = await pending
    except Exception as error:
        finish_attempt(context, upstream, failed=True)
        raise AttemptError(repr(error), may_have_run=True) from error

    return data


async def relay_body(
    context: EntryContext, response: Any, stream: EventStream, sink: Sink
) -> StreamEnd:
    """Relay a response's events; return the reason why the relay ended."""
    relay = RelayProtocol(
        stream,
        sink,
        reactor=context.reactor,
        progress_timeout=context.settings.progress_timeout,
    )
    response.deliverBody(relay)
    return await relay.ended
