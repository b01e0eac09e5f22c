"""Sending of a request to the selected upstream."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.capacity import find_slowness
from ...routing.capacity import list_factors
from ...routing.delays import is_strained
from ...routing.delays import record_connected
from ...routing.engine_room import LEAST_URGENT
from ...routing.engine_speeds import is_measured
from ...routing.fleet import UpstreamState
from ...routing.records import RouteKind
from ...routing.tallies import record_sent
from ..events import log_event
from ..http.records import strip_hop_headers
from ..metrics import CONNECT_DURATION
from ..traffic import TrafficKind
from ..traffic import compare_places
from ..traffic import find_traffic
from .dialect import Dispatch


if TYPE_CHECKING:
    from ...routing.fleet import Announcement
    from ...routing.records import Route
    from ...routing.records import Workspace
    from ..http.records import HeaderList
    from ..traffic import Traffic
    from .attempts import Attempt
    from .choice import Choice
    from .context import GatewayContext
    from .exchange import Exchange


CONNECT_SECONDS = 0.4
"""Connect timeout in seconds: it covers two lost packets between data centres, at a few
milliseconds each way."""
MAX_CONNECT_SECONDS = 1.0
"""Longest connect timeout, as the link may also be cut."""
DELAY_FACTOR = 2.0
"""Multiple of the gateway's own delay by which the timeout is longer."""
CONNECT_SHARE = 0.25
"""Share of the remaining time that bounds the connect timeout, to leave time for
another upstream."""
LOWEST_URGENCY = LEAST_URGENT
"""Greatest rank that an upstream accepts; 0 is the most urgent."""


def log_placement(exchange: Exchange, attempt: Attempt, now: float) -> None:
    """Log the placement of a request and the estimates behind it."""
    placement = attempt.choice.placement
    log_event(
        "gateway: Placed",
        request=exchange.facts.request_id,
        route=exchange.route.name,
        document=exchange.index and exchange.index.document.version,
        upstream=attempt.upstream,
        version=placement.upstream.version,
        model=attempt.choice.model,
        attempt=exchange.attempt_count,
        relayed=attempt.relayed or None,
        relay_reason=attempt.choice.relay_reason or None,
        running=placement.running,
        uncached=placement.uncached,
        wait_ms=round(placement.wait),
        pressure=round(attempt.choice.pressure, 2),
        load_age=round(now - exchange.context.load.others_at, 3),
    )


def find_call_traffic(
    context: GatewayContext, upstream: Announcement, *, relayed: bool
) -> Traffic:
    """Return the count of the bytes of a call to an upstream or relay."""
    kind = TrafficKind.RELAYS if relayed else TrafficKind.UPSTREAMS
    place = compare_places(context.settings.data_centre, upstream.data_centre)
    return find_traffic(context.traffic, kind, place)


def choose_connect_timeout(context: GatewayContext, remaining: float) -> float:
    """Return the seconds in which a connection has to be set up.

    Through a full link it takes longer, also at any other upstream, so that a late
    gateway leaves no time for another attempt.
    """
    longest = CONNECT_SECONDS + DELAY_FACTOR * context.delays.delay
    share = 1.0 if is_strained(context.delays, context.clock()) else CONNECT_SHARE
    return min(longest, MAX_CONNECT_SECONDS, remaining * share)


def handle_sent(exchange: Exchange, attempt: Attempt) -> None:
    """Record that the connection was set up, and count the request."""
    now = exchange.context.clock()
    attempt.connected_at = now
    if attempt.connect is not None:
        record_connected(exchange.context.delays, attempt.connect, now)

    CONNECT_DURATION.observe(now - attempt.started_at)
    count_sent(exchange, attempt, now)


def count_sent(exchange: Exchange, attempt: Attempt, now: float) -> None:
    """Count a request that has been sent in the outcomes of a roll-out.

    A relay counts the requests that it sends for other gateways.
    """
    if attempt.relayed:
        return

    context = exchange.context
    choice = attempt.choice
    attempt.counted = record_sent(
        context.tallies,
        choice.service,
        choice.placement.upstream.version,
        name_kind(exchange.route, choice.model),
        now,
        slowness=find_version_slowness(context, choice, now),
    )


def find_version_slowness(context: GatewayContext, choice: Choice, now: float) -> float:
    """Return an engine's duration factor over the median of those of its version."""
    chosen = choice.placement.upstream
    if choice.service not in context.tallies:
        return 1.0

    peers = list_compared(context, choice.service, chosen.version)
    names = [one.upstream for one in peers]
    if chosen.upstream not in names:
        return 1.0

    factors = list_factors(context.engine_speeds, peers, now)
    return find_slowness(factors, chosen.upstream, names)


def list_compared(
    context: GatewayContext, service: str, version: str
) -> list[Announcement]:
    """Return the serving engines of a version that have a known duration factor.

    Only a few engines of a version on trial get requests. If the others counted as
    equally fast, a slow version would look like a few slow engines.
    """
    announced = (held.announcement for held in context.fleet.upstreams.values())
    serving = [
        one
        for one in announced
        if one.service == service
        and one.version == version
        and one.state is UpstreamState.SERVING
    ]
    rollout = context.rollouts.get(service)
    if rollout is None or version != rollout.target:
        return serving

    speeds = context.engine_speeds
    return [
        one for one in serving if is_measured(speeds, one.upstream, one.incarnation)
    ]


def name_kind(route: Route, model: str) -> str:
    """Return the kind of requests that are compared between versions.

    Models differ in their times, and versions may differ in their choice of models.
    """
    return f"{route.name} {model}" if model else route.name


def write_headers(exchange: Exchange, attempt: Attempt, now: float) -> HeaderList:
    """Return the headers of a request to an upstream."""
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
    return exchange.context.dialect.write_request(headers, dispatch)


def find_urgency(route: Route, workspace: Workspace | None) -> int | None:
    """Return the rank of a stream request, or None for other kinds.

    The workspace's priority takes precedence over the route's.
    """
    if route.kind is not RouteKind.STREAM:
        return None

    return find_rank(route, workspace)


def find_rank(route: Route, workspace: Workspace | None) -> int:
    """Return the rank of urgency of a request; 0 is the most urgent."""
    rank = route.priority
    if workspace is not None and workspace.priority is not None:
        rank = 3 * workspace.priority + route.priority

    return min(rank, LOWEST_URGENCY)
