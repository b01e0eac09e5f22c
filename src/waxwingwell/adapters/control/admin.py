"""The administration API's site: authentication and JSON responses."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred

from ...keys import BEARER
from ...keys import hash_key
from ..admin_views import ErrorView
from ..connection_tracking import ConnectionTrackingSite


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..settings import OperatorKey
    from .context import ControlContext


Request = Any
"""A ``twisted.web`` request, whose methods are untyped."""

IDLE_TIMEOUT = 60
"""Seconds without data after which a connection is closed."""
RETRY_AFTER = b"1"
"""Seconds, as the value of a header."""


def make_admin_site(context: ControlContext) -> ConnectionTrackingSite:
    """Return the site that serves the administration API."""
    from .changes import add_changes
    from .members import add_members
    from .views import add_views

    app = Klein()
    for add in (add_changes, add_members, add_views):
        add(app, context)

    site = ConnectionTrackingSite(app.resource(), timeout=IDLE_TIMEOUT)
    site.noisy = False
    site.displayTracebacks = False
    return site


def require_operator(context: ControlContext) -> Callable[[Any], Any]:
    """Return a decorator that runs a route only for authenticated operators."""

    def decorate(handler: Any) -> Any:
        def run(request: Request, **names: str) -> Any:
            operator = find_operator(context, request)
            if operator is None:
                request.setHeader("www-authenticate", "Bearer")
                return write_json(request, ErrorView(error="unknown key"), status=401)

            def finish(result: Any) -> Any:
                context.unanswered -= 1
                return result

            context.unanswered += 1
            response = Deferred.fromCoroutine(handler(request, operator, **names))
            return response.addBoth(finish)

        run.__name__ = handler.__name__
        return run

    return decorate


def find_operator(context: ControlContext, request: Request) -> OperatorKey | None:
    """Return the operator of the request's key; digests compare in constant time."""
    header = request.getHeader("authorization") or ""
    key = header.removeprefix(BEARER).strip()
    if not key:
        return None

    digest = hash_key(key)
    found = None
    for operator in context.settings.operators:
        if hmac.compare_digest(operator.digest, digest):
            found = operator

    return found


def may_see(operator: OperatorKey, workspace: str) -> bool:
    """Return whether an operator's key gives access to a workspace."""
    return operator.workspace in ("", workspace)


def write_json(request: Request, body: Any, *, status: int = 200) -> bytes:
    """Set a response's status and content type and return its JSON body."""
    request.setResponseCode(status)
    request.setHeader("content-type", "application/json")
    if status == 503:
        request.setHeader("retry-after", RETRY_AFTER)

    return msgspec.json.encode(body)


def write_error(request: Request, status: int, text: str) -> bytes:
    """Return an error response's body after setting its status."""
    return write_json(request, ErrorView(error=text), status=status)
