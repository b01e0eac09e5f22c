"""Engine routes for callers: chat completions, resume and cancel."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import msgspec
from twisted.internet.defer import Deferred

from .faults import next_faults
from .jobs import cancel_job
from .jobs import make_job
from .jobs import queue_job
from .listener import REQUEST_ID_HEADER
from .listener import Request
from .listener import get_header
from .listener import get_reactor
from .listener import read_body
from .listener import reply_error
from .listener import reply_json
from .text import ChatMessage
from .text import join_messages
from .watchers import watch_complete_response
from .watchers import watch_stream


if TYPE_CHECKING:
    from collections.abc import Callable

    from klein import Klein

    from .engine import Engine
    from .jobs import Job


Body = bytes | Deferred[None]
PRIORITY_HEADER = "X-Priority"
REFUSAL_RETRY_AFTER = 1.0
"""Retry-After of a refused request, in seconds."""


class ChatRequest(msgspec.Struct, frozen=True):
    """The fields of a chat completion request that the engine uses."""

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    min_tokens: int = 0


def add_chat_routes(app: Klein, engine: Engine, step: Callable[[], None]) -> None:
    """Add the routes for chats, resume and cancel; ``step`` advances the engine."""

    @app.route("/v1/chat/completions", methods=["POST"])
    def complete(request: Request) -> Body:
        faults = next_faults(engine.faults)
        if faults.refuse:
            return reply_overloaded(request)

        try:
            chat = msgspec.json.decode(read_body(request), type=ChatRequest)
        except msgspec.DecodeError as error:
            return reply_error(
                request, status=400, code="bad_request", message=str(error)
            )

        if chat.model not in engine.orders.loaded:
            return reply_unknown_version(request, chat.model)

        job = queue_chat(engine, request, chat)
        watch = watch_stream if chat.stream else watch_complete_response
        done = watch(request, job, faults, on_lost=lambda: abandon_job(engine, job))
        step()
        return done

    @app.route("/v1/streams/<name>", methods=["GET"])
    def resume(request: Request, name: str) -> Body:
        job = engine.tables.jobs.get(name)
        if job is None or not engine.settings.resume:
            return reply_unknown_stream(request, name)

        args: dict[bytes, list[bytes]] = request.args or {}
        after = args.get(b"after", [b"0"])[0]
        if not after.isdigit():
            return reply_error(
                request, status=400, code="bad_after", message="after: not a number"
            )

        return watch_stream(
            request,
            job,
            next_faults(engine.faults),
            after=int(after),
            on_lost=lambda: abandon_job(engine, job),
        )

    @app.route("/v1/streams/<name>", methods=["DELETE"])
    def cancel(request: Request, name: str) -> Body:
        job = engine.tables.jobs.get(name)
        if job is None or not engine.settings.cancel:
            return reply_unknown_stream(request, name)

        cancel_job(engine.tables, job, get_reactor().seconds())
        body = {"request": name, "status": job.status.value, "usage": job.usage}
        return reply_json(request, body)


def queue_chat(engine: Engine, request: Request, chat: ChatRequest) -> Job:
    """Create and queue the job of a chat request."""
    name = get_header(request, REQUEST_ID_HEADER) or uuid.uuid4().hex
    job = make_job(
        name,
        chat.model,
        join_messages(chat.messages),
        max_tokens=chat.max_completion_tokens or chat.max_tokens or 0,
        min_tokens=chat.min_tokens,
        priority=get_header(request, PRIORITY_HEADER),
    )
    queue_job(engine.tables, job)
    return job


def abandon_job(engine: Engine, job: Job) -> None:
    """Cancel a job whose caller disconnected, unless it can be resumed."""
    if engine.settings.resume or job.watchers:
        return

    cancel_job(engine.tables, job, get_reactor().seconds())


def reply_overloaded(request: Request) -> bytes:
    """Return the error of an engine that accepts no work; nothing was run."""
    return reply_error(
        request,
        status=503,
        code="overloaded",
        message="the engine takes no work now; nothing was run",
        retry_after=REFUSAL_RETRY_AFTER,
        not_run=True,
    )


def reply_unknown_version(request: Request, model: str) -> bytes:
    """Return the error for a version that is not loaded."""
    message = f"model: {model!r} is not loaded"
    return reply_error(
        request, status=404, code="model_not_found", message=message, not_run=True
    )


def reply_unknown_stream(request: Request, name: str) -> bytes:
    """Return the error for a stream that is unknown or has expired."""
    message = f"stream {name!r} is not known"
    return reply_error(request, status=404, code="stream_not_found", message=message)
