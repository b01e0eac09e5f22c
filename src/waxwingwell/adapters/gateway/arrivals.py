"""What happens to a caller's request before it is placed."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...routing.lookup import find_route
from ...routing.lookup import find_workspace
from ...routing.records import RouteKind
from ...routing.retries import note_request
from ..events import log_event
from ..http.records import find_header
from ..measures import REQUESTS
from .choice import choose_service
from .choice import session_of
from .endings import RETRY_AFTER
from .endings import retry_after
from .exchange import Exchange
from .waiting import Waiting
from .waiting import find_wait
from .waiting import keep_waiting


if TYPE_CHECKING:
    from ...routing.lookup import DocumentIndex
    from ...routing.records import Route
    from ...routing.records import Workspace
    from ..http.records import HttpRequest
    from ..http.server import Responder
    from .context import GatewayContext
    from .dialect import RequestFacts


NO_CONFIGURATION = "no configuration in force"
STREAM_SECONDS = 4.5
"""How long a stream may take that a stopping gateway still begins: nineteen of twenty
end sooner."""
STOPPING_RETRY_AFTER = 0.05
"""Seconds; other gateways can take the request at once."""


def take_request(
    context: GatewayContext, request: HttpRequest, responder: Responder
) -> None:
    """Begin to serve a request, as soon as there is a configuration."""
    now = context.clock()
    facts = context.dialect.read_request(request.headers)
    responder.request_id = facts.request_id
    if context.index is not None or context.stopping:
        serve_request(context, request, facts, responder, now)
        return

    limit = find_wait(context.room, facts.budget)
    if limit <= 0.0:
        refuse(facts, responder, 503, NO_CONFIGURATION)
        return

    waiting = Waiting(
        serve=partial(serve_request, context, request, facts, responder, now),
        refuse=partial(refuse, facts, responder, 503, NO_CONFIGURATION),
    )
    log_event("gateway: Waits", request=facts.request_id, limit_ms=round(limit * 1000))
    keep_waiting(context.room, context.reactor, responder, waiting, limit)


def serve_request(
    context: GatewayContext,
    request: HttpRequest,
    facts: RequestFacts,
    responder: Responder,
    arrived_at: float,
) -> None:
    """Find out what is asked by whom, and begin to serve it."""
    now = context.clock()
    index = context.index
    if index is None or is_shut(context, now):
        pause = STOPPING_RETRY_AFTER if context.stopping else RETRY_AFTER
        refuse(facts, responder, 503, NO_CONFIGURATION, pause)
        return

    host = read_host(request)
    target = request.target.decode("latin-1")
    route = find_route(index, host, target)
    if route is None:
        refuse(facts, responder, 404, f"no route, document {index.document.version}")
        return

    if not may_finish(context, route, facts, now):
        refuse(facts, responder, 503, "stopping", STOPPING_RETRY_AFTER)
        return

    workspace = identify(index, route, facts)
    if workspace is None and index.document.workspaces and not route.anonymous:
        refuse(facts, responder, 401, f"unknown key, document {index.document.version}")
        return

    service = choose_service(route, session_of(facts))
    note_request(context.retries, service, now, context.settings.retries)
    Exchange(context, request, facts, route, workspace, responder, arrived_at).start()


def is_shut(context: GatewayContext, now: float) -> bool:
    """Tell whether the gateway must not trust its configuration any more.

    Failure: a gateway that is cut off from the controls would go on to let in keys
    that were taken away. Operators say whether that or refusing is worse.
    """
    settings = context.settings
    return settings.fail_closed and now - context.heard_at > settings.revoke_after


def identify(
    index: DocumentIndex, route: Route, facts: RequestFacts
) -> Workspace | None:
    """Return the workspace of a request's key."""
    if facts.key is None:
        return None

    return find_workspace(index, facts.key)


def read_host(request: HttpRequest) -> str:
    """Return the host that is asked for, without a port."""
    value = find_header(request.headers, b"host") or b""
    host = value.decode("latin-1").lower()
    return host.partition(":")[0]


def may_finish(
    context: GatewayContext, route: Route, facts: RequestFacts, now: float
) -> bool:
    """Tell whether a stopping gateway will still be there when the answer ends.

    Failure: in a data centre where most gateways are stopping the balancer sends
    callers here to the end, and their answers would be cut off.
    """
    if not context.stopping:
        return True

    needed = STREAM_SECONDS
    if route.kind is not RouteKind.STREAM:
        needed = min(route.timeout, facts.budget or route.timeout)

    return now + needed <= context.exit_at


def refuse(
    facts: RequestFacts,
    responder: Responder,
    status: int,
    reason: str,
    pause: float = RETRY_AFTER,
) -> None:
    """Refuse a request that was not placed."""
    REQUESTS.labels("unplaced", f"refused_{status}").inc()
    log_event(
        "gateway: Request ended",
        request=facts.request_id,
        outcome="refused",
        status=status,
        reason=reason,
    )
    headers = [retry_after(pause)] if status == 503 else []
    responder.send(status, headers)
