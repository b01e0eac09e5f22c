"""Chat responses to web requests, streaming or complete."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from opentelemetry.trace import SpanKind

from ...records import OutcomeKind
from ...records import StoredResponse
from ..telemetry import start_span
from .choice import choose_work
from .ledger import Reservation
from .ledger import Settlement
from .ledger import make_row
from .ledger import reserve_row
from .ledger import settle_row
from .non_streaming import fetch_complete_response
from .relay import Sink
from .replies import JSON
from .replies import Problem
from .services import find_stored_response
from .stream_runs import StreamRun
from .streaming import stream_response
from .streams import EventStream


if TYPE_CHECKING:
    from opentelemetry.trace import Span

    from ...decisions.tables import Work
    from .chats import Chat
    from .choice import ChosenWork
    from .context import EntryContext
    from .placement import Placements


Request = Any
"""A ``twisted.web`` request, whose methods are untyped."""

MAX_STORED_CHAT_BYTES = 262_144
"""Largest complete chat response stored for a retry with the caller's key."""


async def run_chat(
    context: EntryContext, placements: Placements, request: Request, chat: Chat
) -> bytes | None:
    """Choose a version, then send a stream (returns None) or a complete response."""
    span = start_request_span(context, request, chat.work)
    try:
        chosen = await choose_work(context, chat.work)
        span.set_attribute("reason", chosen.choice.reason)
        request.setHeader("x-version", chosen.choice.plan[0])
        if chat.work.stream:
            await _stream_chat(context, placements, request, chat, chosen, span)
            return None

        return await _complete_chat(context, placements, request, chat, chosen, span)
    finally:
        span.end()


async def _stream_chat(
    context: EntryContext,
    placements: Placements,
    request: Request,
    chat: Chat,
    chosen: ChosenWork,
    span: Span,
) -> None:
    sink = Sink(write=request.write, recording=chosen.choice.rate)
    run = StreamRun(
        chat=chat,
        chosen=chosen,
        stream=EventStream(request=chat.work.request),
        sink=sink,
        span=span,
        version=chosen.choice.plan[0],
        set_request_id=lambda name: request.setHeader("x-request-id", name),
    )
    request.setHeader("content-type", "text/event-stream")
    request.setHeader("cache-control", "no-store")
    request.registerProducer(sink, True)

    def handle_disconnect(_: object) -> None:
        sink.stopProducing()
        if not chat.has_caller_key and sink.source is not None:
            sink.source.loseConnection()

    request.notifyFinish().addErrback(handle_disconnect)
    try:
        await stream_response(context, placements, run)
    finally:
        if not sink.gone:
            request.unregisterProducer()


async def _complete_chat(
    context: EntryContext,
    placements: Placements,
    request: Request,
    chat: Chat,
    chosen: ChosenWork,
    span: Span,
) -> bytes:
    """Return a complete response after its row is settled.

    A key that the caller may send twice is reserved before the dispatch. Without one
    a single command opens and settles the row, since no part of the response has been
    sent yet.
    """
    work = chosen.work
    reservation = Reservation(
        work=work,
        key=chat.key,
        digest=chat.digest,
        repeatable=True,
        version=chosen.choice.plan[0],
    )
    if chat.has_caller_key:
        stored = find_stored_response(await reserve_row(context, reservation))
        if stored is not None:
            return write_stored_response(request, stored)

    try:
        answer = await fetch_complete_response(context, placements, chat, chosen, span)
    except Problem as problem:
        if chat.has_caller_key:
            settlement = Settlement(outcome=problem.outcome)
            await settle_row(
                context, work.workspace, chat.key, work.request, settlement
            )

        raise

    stored_answer = None
    if chat.has_caller_key and len(answer.body) <= MAX_STORED_CHAT_BYTES:
        stored_answer = StoredResponse(status=200, content_type=JSON, body=answer.body)

    settlement = Settlement(
        outcome=OutcomeKind.COMPLETED,
        version=answer.version,
        upstream=answer.upstream,
        usage=answer.usage,
        answer=stored_answer,
    )
    row = None if chat.has_caller_key else make_row(context, reservation)
    await settle_row(
        context, work.workspace, chat.key, work.request, settlement, row=row
    )
    request.setHeader("x-version", answer.version)
    request.setHeader("content-type", JSON)
    return answer.body


def start_request_span(context: EntryContext, request: Request, work: Work) -> Span:
    """Start the entry's span, as a child of the caller's span if it sent one."""
    span = start_span(
        context.traces,
        "entry.request",
        kind=SpanKind.SERVER,
        parent=request.getHeader("traceparent"),
    )
    span.set_attribute("request", work.request)
    span.set_attribute("workspace", work.workspace)
    return span


def write_stored_response(request: Request, response: StoredResponse) -> bytes:
    """Write a stored response as it was sent the first time."""
    request.setResponseCode(response.status)
    request.setHeader("content-type", response.content_type)
    request.setHeader("x-outcome", OutcomeKind.COMPLETED.value)
    return response.body
