"""The callers' HTTP API: OpenAI-compatible chats, models, plain services."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Coroutine
from functools import wraps
from typing import TYPE_CHECKING
from typing import Any

import msgspec
import xxhash
from klein import Klein
from loguru import logger
from opentelemetry.trace import SpanKind
from twisted.internet.defer import Deferred

from ...decisions.admission import admit
from ...decisions.admission import release
from ...decisions.retries import note_request
from ...decisions.tables import Refusal
from ...decisions.tables import Work
from ...messages import AlreadyOpen
from ...messages import AlreadySettled
from ...records import OutcomeKind
from ...records import StoredAnswer
from ...records import VersionStatus
from ..telemetry import start_span
from .callers import find_workspace
from .chats import Chat
from .chats import ChatHeaders
from .chats import make_request_id
from .chats import read_chat
from .checks import assert_outcome
from .checks import check_lease
from .checks import get_config
from .choice import choose_work
from .ledger import Ending
from .ledger import Reservation
from .ledger import make_row
from .ledger import reserve_row
from .ledger import settle_row
from .placement import leave_queue
from .relay import Sink
from .replies import JSON
from .replies import Problem
from .replies import make_problem
from .replies import write_problem
from .services import ServiceCall
from .services import answer_service
from .services import find_rule
from .services import make_open_problem
from .services import make_service_work
from .services import replay_row
from .stream_runs import StreamRun
from .streaming import answer_stream
from .streams import EventStream
from .whole import answer_whole


if TYPE_CHECKING:
    from opentelemetry.trace import Span

    from ...records import WorkspaceConfig
    from .choice import ChosenWork
    from .context import EntryContext
    from .placement import Placements


Request = Any
"""A request of twisted.web, whose methods carry no types."""

Handler = Callable[..., Any]
METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH")
REQUEST_LIMIT = 300.0
"""Seconds that a request may take in all."""
MAX_KEPT_ANSWER = 262_144
"""Bytes of a whole chat answer kept for the resend of a caller's key."""


class Model(msgspec.Struct, frozen=True):
    """One version as ``GET /v1/models`` lists it."""

    id: str
    created: int = 0
    object: str = "model"
    owned_by: str = "waxwingwell"


class ModelList(msgspec.Struct, frozen=True):
    """The versions that a workspace allows."""

    data: tuple[Model, ...]
    object: str = "list"


def make_caller_app(context: EntryContext, placements: Placements) -> Klein:
    """Return the application that callers use."""
    app = Klein()
    _add_health(app, context)
    _add_chats(app, context, placements)
    _add_services(app, context, placements)

    @app.route("/", branch=True)
    def answer_unknown(request: Request) -> bytes:
        problem = Problem(
            status=404,
            code="unknown_path",
            message=f"{request.path.decode(errors='replace')}: no such path",
        )
        return write_problem(request, problem)

    return app


def _add_health(app: Klein, context: EntryContext) -> None:
    @app.route("/healthz", methods=["GET"])
    def show_health(request: Request) -> bytes:
        return b"ok\n"

    @app.route("/readyz", methods=["GET"])
    def show_readiness(request: Request) -> bytes:
        try:
            if context.draining:
                raise Problem(status=503, code="draining", message="stopping")

            check_lease(context)
        except Problem as problem:
            return write_problem(request, problem)

        return b"ready\n"


def _add_chats(app: Klein, context: EntryContext, placements: Placements) -> None:
    @app.route("/v1/models", methods=["GET"])
    @_answer_problems(context)
    async def list_models(request: Request) -> bytes:
        config = _find_config(context, request)
        models = tuple(
            Model(id=version)
            for version in config.allowed
            if _is_listed(context, version)
        )
        request.setHeader("content-type", JSON)
        return msgspec.json.encode(ModelList(data=models))

    @app.route("/v1/chat/completions", methods=["POST"])
    @_answer_problems(context)
    async def complete_chat(request: Request) -> bytes | None:
        check_lease(context)
        config = _find_config(context, request)
        body = _read_body(request, context, config)
        chat = read_chat(
            body,
            _read_headers(request),
            config,
            data_centre=context.settings.data_centre,
            deadline=context.clock() + REQUEST_LIMIT,
        )
        request.setHeader("x-request-id", chat.work.request)

        async def run() -> bytes | None:
            return await _run_chat(context, placements, request, chat)

        answer: bytes | None = await _run_admitted(
            context, placements, request, chat.work, run
        )
        return answer


def _add_services(app: Klein, context: EntryContext, placements: Placements) -> None:
    @app.route(
        "/v1/services/<service>/<path:path>",
        methods=["GET", "POST", "PUT", "DELETE", "PATCH"],
    )
    @_answer_problems(context)
    async def call_service(request: Request, service: str, path: str) -> bytes:
        check_lease(context)
        config = _find_config(context, request)
        call = _read_call(context, request, config, service, path)
        request.setHeader("x-request-id", call.work.request)

        async def run() -> bytes:
            span = _start_span(context, request, call.work)
            try:
                answer = await answer_service(context, placements, call, span)
            finally:
                span.end()

            return _write_stored(request, answer)

        answer: bytes = await _run_admitted(
            context, placements, request, call.work, run
        )
        return answer


async def _run_admitted(
    context: EntryContext,
    placements: Placements,
    request: Request,
    work: Work,
    run: Callable[[], Any],
) -> Any:
    """Admit, run and release one request; the planned stop waits for it."""
    now = context.clock()
    admitted = admit(context.tables, work, now)
    if isinstance(admitted, Refusal):
        context.metrics.count(f"refused.{admitted.code}", 1)
        raise make_problem(admitted)

    note_request(context.budget, now)
    context.running += 1
    request.notifyFinish().addErrback(
        lambda _: leave_queue(context, placements, work.request)
    )
    try:
        return await run()
    except Problem as problem:
        assert_outcome(context, work.request, problem)
        raise
    finally:
        context.running -= 1
        context.ran.discard(work.request)
        release(context.tables, work, context.clock())
        context.metrics.time("request", context.clock() - now)


async def _run_chat(
    context: EntryContext, placements: Placements, request: Request, chat: Chat
) -> bytes | None:
    span = _start_span(context, request, chat.work)
    try:
        chosen = await choose_work(context, chat.work)
        span.set_attribute("reason", chosen.choice.reason)
        request.setHeader("x-version", chosen.choice.plan[0])
        if chat.work.stream:
            await _stream_chat(context, placements, request, chat, chosen, span)
            return None

        return await _answer_chat(context, placements, request, chat, chosen, span)
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
        name_request=lambda name: request.setHeader("x-request-id", name),
    )
    request.setHeader("content-type", "text/event-stream")
    request.setHeader("cache-control", "no-store")
    request.registerProducer(sink, True)

    def lose(_: object) -> None:
        sink.stopProducing()
        if not chat.keyed and sink.source is not None:
            sink.source.loseConnection()

    request.notifyFinish().addErrback(lose)
    try:
        await answer_stream(context, placements, run)
    finally:
        if not sink.gone:
            request.unregisterProducer()


async def _answer_chat(
    context: EntryContext,
    placements: Placements,
    request: Request,
    chat: Chat,
    chosen: ChosenWork,
    span: Span,
) -> bytes:
    """Answer whole and settle before the answer goes.

    A key that the caller may send twice is reserved before the dispatch. Without one
    the row is opened and settled by one command: nothing of the answer is out yet.
    """
    work = chosen.work
    reservation = Reservation(
        work=work,
        key=chat.key,
        digest=chat.digest,
        repeatable=True,
        version=chosen.choice.plan[0],
    )
    if chat.keyed:
        stored = _find_stored(await reserve_row(context, reservation))
        if stored is not None:
            return _write_stored(request, stored)

    try:
        answer = await answer_whole(context, placements, chat, chosen, span)
    except Problem as problem:
        if chat.keyed:
            await _settle_chat(context, chat, work, Ending(outcome=problem.outcome))

        raise

    kept = None
    if chat.keyed and len(answer.body) <= MAX_KEPT_ANSWER:
        kept = StoredAnswer(status=200, content_type=JSON, body=answer.body)

    ending = Ending(
        outcome=OutcomeKind.COMPLETED,
        version=answer.version,
        upstream=answer.upstream,
        usage=answer.usage,
        answer=kept,
    )
    row = None if chat.keyed else make_row(context, reservation)
    await settle_row(context, work.workspace, chat.key, work.request, ending, row=row)
    request.setHeader("x-version", answer.version)
    request.setHeader("content-type", JSON)
    return answer.body


async def _settle_chat(
    context: EntryContext, chat: Chat, work: Work, ending: Ending
) -> None:
    await settle_row(context, work.workspace, chat.key, work.request, ending)


def _find_stored(outcome: Any) -> StoredAnswer | None:
    if isinstance(outcome, AlreadyOpen):
        raise make_open_problem(outcome.row)

    if isinstance(outcome, AlreadySettled):
        return replay_row(outcome.row)

    return None


def _answer_problems(context: EntryContext) -> Callable[[Handler], Handler]:
    """Return a decorator that turns problems into answers, and faults into one."""

    def decorate(handler: Handler) -> Handler:
        @wraps(handler)
        def run(request: Request, **names: str) -> Deferred[bytes | None]:
            if context.draining:
                # The balancer has been told; the caller opens a new connection.
                request.setHeader("connection", "close")

            return _shield(_guard(context, handler, request, names))

        return run

    return decorate


def _shield(work: Coroutine[Any, Any, bytes | None]) -> Deferred[bytes | None]:
    """Run work that goes on when the web library cancels its result.

    Klein cancels a handler once its caller is gone. That would stop an order between
    its dispatch and its row: the row would stay open and the order be lost to view.
    The work ends by itself; only its answer has no reader any more.
    """
    result: Deferred[bytes | None] = Deferred()
    Deferred.fromCoroutine(work).addCallbacks(result.callback, result.errback)
    return result


async def _guard(
    context: EntryContext, handler: Handler, request: Request, names: dict[str, str]
) -> bytes | None:
    try:
        answer: bytes | None = await handler(request, **names)
        return _measure(request, answer)
    except Problem as problem:
        context.metrics.count(f"problems.{problem.code}", 1)
        return _tell(request, problem)
    except Exception as error:
        logger.opt(exception=error).error("entry: A request failed by our fault.")
        fault = Problem(
            status=500,
            code="internal",
            message="an error of the router; it has been logged",
            outcome=OutcomeKind.MAY_HAVE_RUN,
        )
        return _tell(request, fault)


def _tell(request: Request, problem: Problem) -> bytes | None:
    if request.startedWriting:
        return b""

    return _measure(request, write_problem(request, problem))


def _measure(request: Request, body: bytes | None) -> bytes | None:
    """State the length of a whole body; streams have none."""
    if body is not None and not request.startedWriting:
        request.setHeader("content-length", str(len(body)))

    return body


def _start_span(context: EntryContext, request: Request, work: Work) -> Span:
    span = start_span(
        context.traces,
        "entry.request",
        kind=SpanKind.SERVER,
        parent=request.getHeader("traceparent"),
    )
    span.set_attribute("request", work.request)
    span.set_attribute("workspace", work.workspace)
    return span


def _find_config(context: EntryContext, request: Request) -> WorkspaceConfig:
    authorization = request.getHeader("authorization") or ""
    return get_config(context, find_workspace(context.keys, authorization))


def _read_body(
    request: Request, context: EntryContext, config: WorkspaceConfig
) -> bytes:
    limit = min(config.limits.max_body, context.settings.max_body)
    body: bytes = request.content.read(limit + 1)
    if len(body) > limit:
        raise Problem(
            status=413,
            code="body_too_large",
            message=f"body: more than {limit} bytes",
            param="body",
        )

    return body


def _read_headers(request: Request) -> ChatHeaders:
    return ChatHeaders(
        key=_read_key(request),
        session=(request.getHeader("x-session-id") or "")[:200],
        kind=request.getHeader("x-work-kind") or "",
        last_event=request.getHeader("last-event-id") or "",
    )


def _read_key(request: Request) -> str:
    key: str = request.getHeader("idempotency-key") or ""
    if len(key) > 200:
        raise Problem(
            status=400,
            code="key_too_long",
            message="Idempotency-Key: more than 200 characters",
            param="Idempotency-Key",
        )

    return key


def _read_call(
    context: EntryContext,
    request: Request,
    config: WorkspaceConfig,
    service: str,
    path: str,
) -> ServiceCall:
    method = request.method.decode()
    rule = find_rule(config, service, method, path)
    body = _read_body(request, context, config)
    query = request.uri.partition(b"?")[2].decode(errors="replace")
    name = make_request_id()
    digest = xxhash.xxh3_128()
    for part in (method, service, path, query):
        digest.update(part.encode() + b"\0")

    digest.update(body)
    return ServiceCall(
        work=make_service_work(
            name, config, rule, data_centre=context.settings.data_centre
        ),
        rule=rule,
        method=method,
        path=path,
        query=query,
        body=body,
        content_type=request.getHeader("content-type") or JSON,
        key=_read_key(request) or name,
        digest=digest.hexdigest(),
    )


def _write_stored(request: Request, answer: StoredAnswer) -> bytes:
    request.setResponseCode(answer.status)
    request.setHeader("content-type", answer.content_type)
    request.setHeader("x-outcome", OutcomeKind.COMPLETED.value)
    return answer.body


def _is_listed(context: EntryContext, version: Any) -> bool:
    spec = context.tables.versions.get(version)
    return spec is not None and spec.status in (
        VersionStatus.ACTIVE,
        VersionStatus.CANDIDATE,
    )
