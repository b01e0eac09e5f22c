"""Error responses of the entry, in the OpenAI format, and their headers."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from ...records import Finding
from ...records import OutcomeKind


if TYPE_CHECKING:
    from ...decisions.tables import Refusal


JSON = "application/json"
ERROR_TYPES = {
    400: "invalid_request_error",
    401: "authentication_error",
    403: "permission_error",
    404: "invalid_request_error",
    409: "conflict_error",
    413: "invalid_request_error",
    422: "invalid_request_error",
    429: "rate_limit_error",
}


class ErrorBody(msgspec.Struct, frozen=True, omit_defaults=True):
    """The ``error`` object of the OpenAI API, with additional fields of the router."""

    message: str
    type: str
    code: str
    outcome: str
    param: str | None = None
    findings: tuple[Finding, ...] = ()


class ErrorReply(msgspec.Struct, frozen=True):
    """The body of an error response."""

    error: ErrorBody


@dataclass(frozen=True, slots=True)
class Problem(Exception):  # noqa: N818
    """A final error response to a caller."""

    status: int
    code: str
    message: str
    outcome: OutcomeKind = OutcomeKind.NOT_RUN
    retry_after: float | None = None
    param: str | None = None
    findings: tuple[Finding, ...] = ()


def make_problem(refusal: Refusal) -> Problem:
    """Return the error response for a refusal."""
    return Problem(
        status=refusal.status,
        code=refusal.code,
        message=refusal.message,
        retry_after=refusal.retry_after,
    )


def render_problem(problem: Problem) -> bytes:
    """Return the JSON body of an error."""
    body = ErrorBody(
        message=problem.message,
        type=ERROR_TYPES.get(problem.status, "server_error"),
        code=problem.code,
        outcome=problem.outcome.value,
        param=problem.param,
        findings=problem.findings,
    )
    return msgspec.json.encode(ErrorReply(error=body))


def write_problem(request: Any, problem: Problem) -> bytes:
    """Set an error's status and headers on a web request; return the body."""
    request.setResponseCode(problem.status)
    request.setHeader("content-type", JSON)
    request.setHeader("x-outcome", problem.outcome.value)
    # The official OpenAI client retries by itself. This header prevents it for
    # requests that must not be sent again.
    if problem.retry_after is None or problem.outcome != OutcomeKind.NOT_RUN:
        request.setHeader("x-should-retry", "false")

    if problem.retry_after is not None:
        request.setHeader("retry-after", str(max(1, math.ceil(problem.retry_after))))

    if problem.status == 401:
        request.setHeader("www-authenticate", "Bearer")

    return render_problem(problem)
