"""Routes of an engine for callers: chat completions, resume, cancel."""

from __future__ import annotations

import uuid
from typing import TYPE_CHECKING

import msgspec
from twisted.internet.defer import Deferred

from .faults import take_faults
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
from .text import read_prompt
from .watchers import watch_stream
from .watchers import watch_whole


if TYPE_CHECKING:
    from collections.abc import Callable

    from klein import Klein

    from .engine import Engine
    from .jobs import Job


Body = bytes | Deferred[None]
PRIORITY_HEADER = "X-Priority"
REFUSAL_DELAY = 1.0
"""Seconds of a refusal's Retry-After."""


class ChatRequest(msgspec.Struct, frozen=True):
    """The fields of a chat completion request that the engine reads."""

    model: str
    messages: tuple[ChatMessage, ...]
    stream: bool = False
    max_tokens: int | None = None
    max_completion_tokens: int | None = None
    min_tokens: int = 0


def add_chat_routes(app: Klein, engine: Engine, step: Callable[[], None]) -> None:
    """Add chat completions, resume and cancel; ``step`` runs the engine."""

    @app.route("/v1/chat/completions", methods=["POST"])
    def complete(request: Request) -> Body:
        faults = take_faults(engine.faults)
        if faults.refuse:
            return refuse_work(request)

        try:
            chat = msgspec.json.decode(read_body(request), type=ChatRequest)
        except msgspec.DecodeError as error:
            return reply_error(
                request, status=400, code="bad_request", message=str(error)
            )

        if chat.model not in engine.orders.loaded:
            return refuse_version(request, chat.model)

        job = take_chat(engine, request, chat)
        watch = watch_stream if chat.stream else watch_whole
        done = watch(request, job, faults, on_lost=lambda: abandon_job(engine, job))
        step()
        return done

    @app.route("/v1/streams/<name>", methods=["GET"])
    def resume(request: Request, name: str) -> Body:
        job = engine.tables.jobs.get(name)
        if job is None or not engine.settings.resume:
            return refuse_stream(request, name)

        args: dict[bytes, list[bytes]] = request.args or {}
        after = args.get(b"after", [b"0"])[0]
        if not after.isdigit():
            return reply_error(
                request, status=400, code="bad_after", message="after: not a number"
            )

        return watch_stream(
            request,
            job,
            take_faults(engine.faults),
            after=int(after),
            on_lost=lambda: abandon_job(engine, job),
        )

    @app.route("/v1/streams/<name>", methods=["DELETE"])
    def cancel(request: Request, name: str) -> Body:
        job = engine.tables.jobs.get(name)
        if job is None or not engine.settings.cancel:
            return refuse_stream(request, name)

        cancel_job(engine.tables, job, get_reactor().seconds())
        body = {"request": name, "status": job.status.value, "usage": job.usage}
        return reply_json(request, body)


def take_chat(engine: Engine, request: Request, chat: ChatRequest) -> Job:
    """Queue the job of a chat request."""
    name = get_header(request, REQUEST_ID_HEADER) or uuid.uuid4().hex
    job = make_job(
        name,
        chat.model,
        read_prompt(chat.messages),
        max_tokens=chat.max_completion_tokens or chat.max_tokens or 0,
        min_tokens=chat.min_tokens,
        priority=get_header(request, PRIORITY_HEADER),
    )
    queue_job(engine.tables, job)
    return job


def abandon_job(engine: Engine, job: Job) -> None:
    """Give up a job whose caller has gone, unless the caller can resume it."""
    if engine.settings.resume or job.watchers:
        return

    cancel_job(engine.tables, job, get_reactor().seconds())


def refuse_work(request: Request) -> bytes:
    """Refuse before anything ran."""
    return reply_error(
        request,
        status=503,
        code="overloaded",
        message="the engine takes no work now; nothing was run",
        retry_after=REFUSAL_DELAY,
        not_run=True,
    )


def refuse_version(request: Request, model: str) -> bytes:
    """Refuse a version that is not loaded."""
    message = f"model: {model!r} is not loaded"
    return reply_error(
        request, status=404, code="model_not_found", message=message, not_run=True
    )


def refuse_stream(request: Request, name: str) -> bytes:
    """Refuse a stream that is not known (any more)."""
    message = f"stream {name!r} is not known"
    return reply_error(request, status=404, code="stream_not_found", message=message)
