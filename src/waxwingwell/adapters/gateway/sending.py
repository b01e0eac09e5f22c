"""Sending a request to the upstream that was chosen."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...routing.load import begin_use
from ...routing.load import note_work
from ...routing.pools import Pool
from ...routing.records import RouteKind
from ...routing.sessions import begin_session
from ..events import log_event
from ..http.client import CallHandlers
from ..http.client import UpstreamCall
from ..http.records import strip_hop_headers
from .dialect import Dispatch


if TYPE_CHECKING:
    from ...routing.records import Route
    from ...routing.records import Workspace
    from .attempts import Attempt
    from .exchange import Exchange


CONNECT_SECONDS = 0.4
"""To reach an upstream: two lost packets between data centres, at a few ms each way."""
CONNECT_PART = 0.25
"""Of the time left, whichever is shorter."""
LAST_URGENCY = 9


def log_placed(exchange: Exchange, attempt: Attempt, now: float) -> None:
    """Log where a request goes, and what spoke for it."""
    placement = attempt.choice.placement
    log_event(
        "gateway: Placed",
        request=exchange.facts.request_id,
        route=exchange.route.name,
        document=exchange.index and exchange.index.document.version,
        upstream=attempt.upstream,
        version=placement.upstream.version,
        model=attempt.choice.model,
        attempt=exchange.tries,
        running=placement.running,
        uncached=placement.uncached,
        wait_ms=round(placement.wait),
        pressure=round(attempt.choice.pressure, 2),
        load_age=round(now - exchange.context.load.others_at, 3),
    )


def open_call(exchange: Exchange, attempt: Attempt, now: float) -> UpstreamCall:
    """Send a request, and count it as our load on the upstream."""
    placement = attempt.choice.placement
    attempt.work = placement.work
    begin_use(exchange.context.load, attempt.upstream, attempt.work)
    choice = attempt.choice
    if choice.pool is not Pool.SMALL:
        note_work(exchange.context.load, attempt.work, now)

    version = placement.upstream.version
    sessions = exchange.context.sessions
    begin_session(sessions, choice.service, choice.session, version, now)
    remaining = exchange.deadline - now
    dispatch = Dispatch(
        upstream=attempt.upstream,
        remaining=remaining if exchange.facts.budget is not None else None,
        workspace=exchange.workspace.name if exchange.workspace else None,
        model=attempt.choice.model,
        urgency=find_urgency(exchange.route, exchange.workspace),
        resume_after=exchange.splitter.last_id,
    )
    headers = strip_hop_headers(exchange.request.headers)
    headers = exchange.context.dialect.write_request(headers, dispatch)
    if exchange.request.body or exchange.request.method not in (b"GET", b"HEAD"):
        length = str(len(exchange.request.body)).encode()
        headers.append((b"Content-Length", length))

    upstream = placement.upstream
    return UpstreamCall(
        reactor=exchange.context.reactor,
        address=(upstream.host, upstream.port),
        request=(
            exchange.request.method,
            exchange.request.target,
            headers,
            exchange.request.body,
        ),
        handlers=CallHandlers(
            on_head=partial(exchange.take_head, attempt),
            on_data=partial(exchange.take_data, attempt),
            on_end=partial(exchange.take_end, attempt),
        ),
        connect_timeout=min(CONNECT_SECONDS, remaining * CONNECT_PART),
    )


def find_urgency(route: Route, workspace: Workspace | None) -> int | None:
    """Return the rank of the request; the workspace's goes before the route's."""
    if route.kind is not RouteKind.STREAM:
        return None

    rank = route.priority
    if workspace is not None and workspace.priority is not None:
        rank = 3 * workspace.priority + route.priority

    return min(rank, LAST_URGENCY)
