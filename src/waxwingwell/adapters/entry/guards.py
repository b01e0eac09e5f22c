"""Error handling around every route: problems and exceptions become responses."""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Coroutine
from functools import wraps
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred

from ...records import OutcomeKind
from .replies import Problem
from .replies import write_problem


if TYPE_CHECKING:
    from .context import EntryContext


Request = Any
"""A ``twisted.web`` request, whose methods are untyped."""

Handler = Callable[..., Any]


def respond_to_problems(context: EntryContext) -> Callable[[Handler], Handler]:
    """Return a decorator that turns ``Problem`` and other exceptions into responses."""

    def decorate(handler: Handler) -> Handler:
        @wraps(handler)
        def run(request: Request, **names: str) -> Deferred[bytes | None]:
            if context.draining:
                # The load balancer was notified, so the caller can reconnect elsewhere.
                request.setHeader("connection", "close")

            return _shield(_run_handler(context, handler, request, names))

        return run

    return decorate


def _shield(work: Coroutine[Any, Any, bytes | None]) -> Deferred[bytes | None]:
    """Run work that continues when the web library cancels its result.

    Klein cancels a handler once its caller has disconnected. That could stop an order
    between its dispatch and the settling of its row: the row would stay open, and the
    outcome of the order would be lost. So the work runs to its end, and only its
    response is dropped.
    """
    result: Deferred[bytes | None] = Deferred()
    Deferred.fromCoroutine(work).addCallbacks(result.callback, result.errback)
    return result


async def _run_handler(
    context: EntryContext, handler: Handler, request: Request, names: dict[str, str]
) -> bytes | None:
    try:
        body: bytes | None = await handler(request, **names)
        return _set_content_length(request, body)
    except Problem as problem:
        context.metrics.count(f"problems.{problem.code}", 1)
        return _respond_with_problem(request, problem)
    except Exception as error:
        logger.opt(exception=error).error(
            "entry: A request failed with an internal error."
        )
        fault = Problem(
            status=500,
            code="internal",
            message="an error of the router; it has been logged",
            outcome=OutcomeKind.MAY_HAVE_RUN,
        )
        return _respond_with_problem(request, fault)


def _respond_with_problem(request: Request, problem: Problem) -> bytes | None:
    if request.startedWriting:
        return b""

    return _set_content_length(request, write_problem(request, problem))


def _set_content_length(request: Request, body: bytes | None) -> bytes | None:
    """Set the length of a complete body; streams have none."""
    if body is not None and not request.startedWriting:
        request.setHeader("content-length", str(len(body)))

    return body
