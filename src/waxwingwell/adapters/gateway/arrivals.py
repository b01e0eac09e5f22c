"""Handling of callers' requests up to their placement."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from ...routing.gateway_room import can_begin
from ...routing.gateway_room import takes_request
from ...routing.lookup import find_route
from ...routing.lookup import find_workspace
from ...routing.lookup import must_have_key
from ...routing.reachability import has_lost_path
from ...routing.retries import record_request
from ..events import log_event
from ..http.records import find_header
from ..metrics import BOUNDS_PASSED
from ..metrics import REQUESTS
from .choice import choose_service
from .choice import find_session_key
from .endings import RETRY_AFTER
from .endings import STOPPING_RETRY_AFTER
from .endings import can_finish
from .endings import retry_after
from .exchange import Exchange
from .relaying import NO_ATTEMPTS
from .relaying import EarlierAttempts
from .relaying import needs_room
from .relaying import read_earlier
from .relaying import read_reason
from .scheduling import schedule_exchange
from .waiting import QueuedRequest
from .waiting import compute_wait_limit
from .waiting import enqueue_request


if TYPE_CHECKING:
    from ...routing.lookup import DocumentIndex
    from ...routing.records import Route
    from ...routing.records import Workspace
    from ..http.records import HttpRequest
    from ..http.responder import Responder
    from .context import GatewayContext
    from .dialect import RequestFacts


NO_CONFIGURATION = "no configuration in force"
NO_ROOM = "gateway is full"
ELSEWHERE_RETRY_AFTER = 0.1
"""Seconds after which a caller may retry if another gateway probably has room."""


def handle_request(
    context: GatewayContext, request: HttpRequest, responder: Responder
) -> None:
    """Serve a request now, or as soon as the gateway receives a configuration."""
    now = context.clock()
    facts = context.dialect.read_request(request.headers)
    responder.request_id = facts.request_id
    if context.index is not None or context.stopping:
        serve_request(context, request, facts, responder, now)
        return

    limit = compute_wait_limit(context.startup_queue, facts.budget)
    if limit <= 0.0:
        refuse(facts, responder, 503, NO_CONFIGURATION)
        return

    waiting = QueuedRequest(
        serve=partial(serve_request, context, request, facts, responder, now),
        refuse=partial(refuse, facts, responder, 503, NO_CONFIGURATION),
    )
    log_event("gateway: Waits", request=facts.request_id, limit_ms=round(limit * 1000))
    enqueue_request(context.startup_queue, context.reactor, responder, waiting, limit)


def handle_relayed(
    context: GatewayContext, request: HttpRequest, responder: Responder
) -> None:
    """Serve a request of another gateway, unless this one can't reach upstreams."""
    headers, earlier = read_earlier(request.headers)
    headers, reason = read_reason(headers)
    own = replace(request, headers=headers)
    facts = context.dialect.read_request(headers)
    responder.request_id = facts.request_id
    if has_lost_path(context.path):
        refuse(facts, responder, 503, "no path to any upstream")
        return

    if needs_room(reason) and not takes_request(context.room, context.random.random()):
        refuse(facts, responder, 503, NO_ROOM, ELSEWHERE_RETRY_AFTER)
        return

    now = context.clock()
    serve_request(context, own, facts, responder, now, relayed=True, earlier=earlier)


def serve_request(
    context: GatewayContext,
    request: HttpRequest,
    facts: RequestFacts,
    responder: Responder,
    arrived_at: float,
    *,
    relayed: bool = False,
    earlier: EarlierAttempts = NO_ATTEMPTS,
) -> None:
    """Find a request's route and workspace, and start its exchange or refuse it.

    A relayed request was counted by the gateway that its caller is connected to.
    """
    now = context.clock()
    index = context.index
    if index is None or must_fail_closed(context, now):
        pause = STOPPING_RETRY_AFTER if context.stopping else RETRY_AFTER
        refuse(facts, responder, 503, NO_CONFIGURATION, pause)
        return

    if not responder.has_room():
        BOUNDS_PASSED.labels("memory").inc()
        refuse(facts, responder, 503, "no memory for another request")
        return

    host = read_host(request)
    target = request.target.decode("latin-1")
    route = find_route(index, host, target)
    if route is None:
        refuse(
            facts,
            responder,
            404,
            f"no matching route in document {index.document.version}",
        )
        return

    if not can_finish(context, route, facts, now):
        refuse(facts, responder, 503, "gateway is stopping", STOPPING_RETRY_AFTER)
        return

    if not relayed and not can_begin_here(context, route, facts, now):
        refuse(facts, responder, 503, NO_ROOM, ELSEWHERE_RETRY_AFTER)
        return

    workspace = identify_workspace(index, route, facts)
    if workspace is None and must_have_key(index, route):
        refuse(
            facts, responder, 401, f"unknown key in document {index.document.version}"
        )
        return

    if not relayed:
        service = choose_service(route, find_session_key(facts))
        record_request(context.retries, service, now, context.settings.retries)

    exchange = Exchange(
        context,
        request,
        facts,
        route,
        workspace,
        responder,
        arrived_at,
        relayed=relayed,
        earlier=earlier,
    )
    schedule_exchange(context, exchange)


def must_fail_closed(context: GatewayContext, now: float) -> bool:
    """Return whether the gateway must refuse requests as its configuration is stale.

    A gateway that is cut off from the controls would continue to accept revoked keys.
    Operators configure whether that or refusing all requests is worse.
    """
    settings = context.settings
    return (
        settings.fail_closed and now - context.control_seen_at > settings.revoke_after
    )


def identify_workspace(
    index: DocumentIndex, route: Route, facts: RequestFacts
) -> Workspace | None:
    """Return the workspace of a request's key, or None without a known key."""
    if facts.key is None:
        return None

    return find_workspace(index, facts.key)


def read_host(request: HttpRequest) -> str:
    """Return the request's host in lower case, without the port."""
    value = find_header(request.headers, b"host") or b""
    host = value.decode("latin-1").lower()
    return host.partition(":")[0]


def can_begin_here(
    context: GatewayContext, route: Route, facts: RequestFacts, now: float
) -> bool:
    """Return whether a response can begin in time in spite of this gateway's delay.

    A gateway that has lost its path sends its requests through others, and its own
    delay is not known.
    """
    if has_lost_path(context.path):
        return True

    remaining = min(route.timeout, facts.budget or route.timeout)
    return can_begin(context.room, context.delays, remaining, now)


def refuse(
    facts: RequestFacts,
    responder: Responder,
    status: int,
    reason: str,
    pause: float = RETRY_AFTER,
) -> None:
    """Refuse a request before it is placed."""
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
