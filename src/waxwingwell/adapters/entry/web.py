"""HTTP API for callers: OpenAI-compatible chats, models and plain services."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from klein import Klein

from ...decisions.admission import admit
from ...decisions.admission import release
from ...decisions.retries import record_request
from ...decisions.tables import Refusal
from ...decisions.tables import Work
from ...records import VersionStatus
from .chat_responses import run_chat
from .chat_responses import start_request_span
from .chat_responses import write_stored_response
from .chats import parse_chat
from .checks import assert_outcome
from .checks import check_lease
from .guards import respond_to_problems
from .placement import remove_from_queue
from .replies import JSON
from .replies import Problem
from .replies import make_problem
from .replies import write_problem
from .request_parsing import find_config
from .request_parsing import parse_service_call
from .request_parsing import read_body
from .request_parsing import read_headers
from .services import run_service_call


if TYPE_CHECKING:
    from .context import EntryContext
    from .placement import Placements


Request = Any
"""A ``twisted.web`` request, whose methods are untyped."""

Handler = Callable[..., Any]
METHODS = ("GET", "POST", "PUT", "DELETE", "PATCH")
REQUEST_TIMEOUT = 300.0
"""Seconds that a request may take in total."""


class Model(msgspec.Struct, frozen=True):
    """A version as listed by ``GET /v1/models``."""

    id: str
    created: int = 0
    object: str = "model"
    owned_by: str = "waxwingwell"


class ModelList(msgspec.Struct, frozen=True):
    """The versions that a workspace allows, as listed by ``GET /v1/models``."""

    data: tuple[Model, ...]
    object: str = "list"


def make_caller_app(context: EntryContext, placements: Placements) -> Klein:
    """Return the web application that callers use."""
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
    @respond_to_problems(context)
    async def list_models(request: Request) -> bytes:
        config = find_config(context, request)
        models = tuple(
            Model(id=version)
            for version in config.allowed
            if _is_listed(context, version)
        )
        request.setHeader("content-type", JSON)
        return msgspec.json.encode(ModelList(data=models))

    @app.route("/v1/chat/completions", methods=["POST"])
    @respond_to_problems(context)
    async def complete_chat(request: Request) -> bytes | None:
        check_lease(context)
        config = find_config(context, request)
        body = read_body(request, context, config)
        chat = parse_chat(
            body,
            read_headers(request),
            config,
            data_centre=context.settings.data_centre,
            deadline=context.clock() + REQUEST_TIMEOUT,
        )
        request.setHeader("x-request-id", chat.work.request)

        async def run() -> bytes | None:
            return await run_chat(context, placements, request, chat)

        response: bytes | None = await _run_admitted(
            context, placements, request, chat.work, run
        )
        return response


def _add_services(app: Klein, context: EntryContext, placements: Placements) -> None:
    @app.route(
        "/v1/services/<service>/<path:path>",
        methods=["GET", "POST", "PUT", "DELETE", "PATCH"],
    )
    @respond_to_problems(context)
    async def call_service(request: Request, service: str, path: str) -> bytes:
        check_lease(context)
        config = find_config(context, request)
        call = parse_service_call(context, request, config, service, path)
        request.setHeader("x-request-id", call.work.request)

        async def run() -> bytes:
            span = start_request_span(context, request, call.work)
            try:
                response = await run_service_call(context, placements, call, span)
            finally:
                span.end()

            return write_stored_response(request, response)

        response: bytes = await _run_admitted(
            context, placements, request, call.work, run
        )
        return response


async def _run_admitted(
    context: EntryContext,
    placements: Placements,
    request: Request,
    work: Work,
    run: Callable[[], Any],
) -> Any:
    """Admit, run and release one request; a planned stop waits for it."""
    now = context.clock()
    admitted = admit(context.tables, work, now)
    if isinstance(admitted, Refusal):
        context.metrics.count(f"refused.{admitted.code}", 1)
        raise make_problem(admitted)

    record_request(context.budget, now)
    context.running += 1
    request.notifyFinish().addErrback(
        lambda _: remove_from_queue(context, placements, work.request)
    )
    try:
        return await run()
    except Problem as problem:
        assert_outcome(context, work.request, problem)
        raise
    finally:
        context.running -= 1
        context.attempted.discard(work.request)
        release(context.tables, work, context.clock())
        context.metrics.time("request", context.clock() - now)


def _is_listed(context: EntryContext, version: Any) -> bool:
    spec = context.tables.versions.get(version)
    return spec is not None and spec.status in (
        VersionStatus.ACTIVE,
        VersionStatus.CANDIDATE,
    )
