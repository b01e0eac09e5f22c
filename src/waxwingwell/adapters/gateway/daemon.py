"""Start-up and periodic tasks of a gateway process."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.task import LoopingCall

from ...routing.acceptance import find_queue
from ...routing.acceptance import is_paused
from ...routing.acceptance import take_connection
from ...routing.acceptance import update_rate
from ...routing.call_times import drop_expired_times
from ...routing.delays import TURN_SECONDS
from ...routing.delays import is_late
from ...routing.delays import measure_queue
from ...routing.delays import record_turn
from ...routing.messages import RoutingBody
from ...routing.silence import drop_known_silences
from ..bounded_ports import count_now
from ..bounded_ports import listen_bounded
from ..caller_port import CallerPort
from ..clock import read_clock
from ..events import log_event
from ..events import run_logged
from ..http.budget import make_budget
from ..http.records import WITHOUT_BODIES
from ..http.records import HttpLimits
from ..http.server import HttpFactory
from ..http.server import HttpService
from ..links import ROUTING_TIMING
from ..links import LinkHandlers
from ..links import LinkNode
from ..metrics import HELD_BYTES
from ..metrics import REFUSED_CONNECTIONS
from ..metrics_listener import serve_metrics
from ..ports import open_port
from ..traffic import Place
from ..traffic import TrafficKind
from ..traffic import find_traffic
from .arrivals import handle_relayed
from .arrivals import handle_request
from .context import GatewayContext
from .crashes import review_breaks
from .probing import probe_path
from .reporting import send_report
from .room_checks import check_room
from .room_checks import count_link_bytes
from .steering import connect_control
from .steering import handle_call
from .steering import handle_cast


if TYPE_CHECKING:
    import socket

    from ..http.records import HttpRequest
    from ..http.responder import Responder
    from .dialect import Dialect
    from .settings import GatewaySettings


RELAY_HEADER_BYTES = 1_024
"""Bytes that another gateway may add to the head of a request."""
REPORT_SECONDS = 0.25
"""Interval of the periodic tasks, among them the report to a control."""


@dataclass(slots=True)
class GatewayDaemon:
    """A running gateway process."""

    context: GatewayContext
    service: HttpService
    health: HttpService
    relays: HttpService
    """Serves the requests of other gateways."""
    callers: CallerPort
    ports: list[Any]
    """The other ports."""
    loop: LoopingCall
    turns: LoopingCall
    """Times the event loop."""


def start_gateway(
    settings: GatewaySettings,
    reactor: Any,
    dialect: Dialect,
    callers: socket.socket | None = None,
) -> GatewayDaemon:
    """Start to serve; raises ``CannotListenError`` or ``OSError``.

    ``callers`` is the listening socket for callers if it is already open.
    """
    context = GatewayContext(
        settings=settings,
        reactor=reactor,
        clock=read_clock,
        random=random.Random(settings.node),
        dialect=dialect,
        held=make_budget(settings.memory_bytes),
    )
    context.control_seen_at = read_clock()
    context.retries.began_at = read_clock()
    context.warm_up.began_at = read_clock()
    context.retries.initial_credit = context.random.random()
    context.node = LinkNode(
        name=settings.node,
        reactor=reactor,
        handlers=LinkHandlers(
            handle_call=handle_call,
            handle_cast=partial(handle_cast, context),
            body_type=RoutingBody,
        ),
        timing=ROUTING_TIMING,
        count_bytes=partial(count_link_bytes, context),
        held=context.held,
    )
    service = HttpService(
        reactor=reactor,
        handle=partial(handle_request, context),
        limits=partial(read_limits, context),
        traffic=find_traffic(context.traffic, TrafficKind.CALLERS, Place.UNKNOWN),
        held=context.held,
        turns=context.turns,
    )
    health = HttpService(
        reactor=reactor,
        handle=partial(respond_readiness, context),
        limits=lambda: WITHOUT_BODIES,
        held=context.held,
        turns=context.turns,
    )
    relays = HttpService(
        reactor=reactor,
        handle=partial(handle_relayed, context),
        limits=partial(read_relay_limits, context),
        traffic=find_traffic(context.traffic, TrafficKind.RELAYS, Place.UNKNOWN),
        held=context.held,
        turns=context.turns,
    )
    count = partial(count_now, reactor, context.held)
    port = CallerPort(reactor, callers or open_port(settings.callers), count)
    port.serve(HttpFactory(service, partial(admit_connection, context, port)))
    served = [(settings.readiness, health), (settings.relay, relays)]
    ports = [
        listen_bounded(reactor, address, HttpFactory(one), context.held)
        for address, one in served
        if address is not None
    ]

    if settings.metrics is not None:
        ports.append(
            serve_metrics(reactor, settings.metrics, context.held, context.turns)
        )

    for name in settings.controls:
        connect_control(context, name)

    loop = LoopingCall(run_tick, context)
    loop.start(REPORT_SECONDS, now=False)
    turns = LoopingCall(regulate_connections, context, port)
    turns.start(TURN_SECONDS, now=False)
    log_event("gateway: Started", address=settings.address)
    return GatewayDaemon(context, service, health, relays, port, ports, loop, turns)


def connect_controls(daemon: GatewayDaemon, settings: GatewaySettings) -> None:
    """Connect to controls that reloaded settings name and that have no link yet."""
    for name in settings.controls:
        connect_control(daemon.context, name)


def admit_connection(context: GatewayContext, port: CallerPort) -> bool:
    """Return whether a caller's connection is accepted or closed unread."""
    is_admitted = take_connection(context.accepts, context.clock())
    if not is_admitted:
        REFUSED_CONNECTIONS.inc()

    port.limit_queue(find_queue(context.accepts))
    if is_paused(context.accepts):
        port.pause()

    return is_admitted


def regulate_connections(context: GatewayContext, port: CallerPort) -> None:
    """Adapt the rate of connections to this gateway's own delay."""
    time_turn(context)
    now = context.clock()
    queue = measure_queue(context.delays, now)
    update_rate(context.accepts, context.delays.delay, queue, now)
    port.limit_queue(find_queue(context.accepts))
    if is_paused(context.accepts):
        port.pause()
    else:
        port.resume()


def time_turn(context: GatewayContext) -> None:
    """Time a turn of the event loop; log when the gateway starts or ends to be late."""
    was_late = is_late(context.delays)
    record_turn(context.delays, context.clock())
    if is_late(context.delays) != was_late:
        log_event(
            "gateway: Own delay changed",
            late=not was_late,
            delay_ms=round(context.delays.delay * 1000),
            rate=round(context.accepts.rate, 1),
            connecting=len(context.delays.pending),
            requests=len(context.exchanges),
        )


def run_tick(context: GatewayContext) -> None:
    """Run the periodic tasks; a task that fails is logged and the others continue."""
    now = context.clock()
    HELD_BYTES.set(context.held.total)
    checks = [
        partial(check, now)
        for request in context.exchanges
        for check in (request.check_progress, request.check_responsiveness)
    ]
    tasks = (
        *checks,
        partial(review_breaks, context),
        partial(probe_path, context),
        partial(drop_expired_times, context.call_times, now),
        partial(drop_known_silences, context.silences, now),
        partial(check_room, context),
        partial(send_report, context),
    )
    for task in tasks:
        run_logged(task, "gateway: Periodic task failed")


def read_limits(context: GatewayContext) -> HttpLimits:
    """Return the limits on requests from the document in force, or the defaults."""
    if context.index is None:
        return HttpLimits()

    limits = context.index.document.limits
    return HttpLimits(
        header_bytes=limits.header_bytes,
        body_bytes=limits.body_bytes,
        header_timeout=limits.header_timeout,
        idle_timeout=limits.idle_timeout,
    )


def read_relay_limits(context: GatewayContext) -> HttpLimits:
    """Return the limits on requests of other gateways, which add headers to them."""
    limits = read_limits(context)
    return replace(limits, header_bytes=limits.header_bytes + RELAY_HEADER_BYTES)


def respond_readiness(
    context: GatewayContext, request: HttpRequest, responder: Responder
) -> None:
    """Respond to the balancer's readiness check."""
    ready = context.index is not None and not context.stopping
    responder.send(200 if ready else 503, [])
