"""The entry daemon: listeners, links, periodic tasks and the planned stop."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.defer import maybeDeferred
from twisted.internet.task import LoopingCall
from twisted.internet.task import deferLater

from ...invariants import Invariant
from ...invariants import check
from ...records import EntryId
from ...state.leases import ConfigLease
from ..clock import read_clock
from ..clock import read_wall_clock
from ..connection_tracking import close_connections
from ..link_messages import Body
from ..links import LinkFactory
from ..links import LinkHandlers
from ..links import LinkNode
from ..links import LinkTiming
from ..links import open_link
from ..shutdown import close_links
from ..shutdown import close_site
from ..telemetry import open_metrics
from ..telemetry import open_traces
from ..tls import get_factory
from ..tls import listen
from ..tls import make_connector
from ..tls import read_peer_names
from ..tls_files import open_tls
from .announcements import make_upstream_app
from .context import EntryContext
from .control_calls import handle_control_call
from .control_client import ControlClient
from .periodic import EVIDENCE_INTERVAL
from .periodic import QUEUE_INTERVAL
from .periodic import SPREAD_INTERVAL
from .periodic import TABLES_INTERVAL
from .periodic import PeriodicTasks
from .periodic import flush_evidence
from .periodic import receive_spread
from .periodic import renew_periodically
from .periodic import reset_announced
from .periodic import run_queue_tick
from .periodic import run_tables_tick
from .periodic import spread_state
from .periodic import stop_periodic_tasks
from .placement import Placements
from .sites import make_site
from .upstream_client import open_upstream_client
from .web import make_caller_app


if TYPE_CHECKING:
    from collections.abc import Callable

    from ...messages import Message
    from ..settings import EntrySettings
    from ..settings import Listener
    from ..tls_files import TlsSource


DRAIN_POLL_INTERVAL = 0.05
"""Seconds between two checks for running requests and open connections."""


@dataclass(slots=True)
class EntryDaemon:
    """A running entry."""

    context: EntryContext
    node: LinkNode
    periodic_tasks: PeriodicTasks
    placements: Placements
    caller_port: Any
    upstream_port: Any
    link_port: Any
    loops: list[LoopingCall]


def start_entry(
    settings: EntrySettings,
    reactor: Any,
    *,
    stop: Callable[[], None] = lambda: None,
) -> EntryDaemon:
    """Open listeners and links; work is admitted once a lease is granted.

    ``stop`` is called when control requests a planned stop. Errors:
    ``SettingsError`` for TLS files, and ``CannotListenError``.
    """
    tls = open_tls(
        settings.node,
        {
            "callers": settings.callers,
            "upstreams": settings.upstreams,
            "links": settings.links,
        },
    )
    incarnation = time.time_ns() // 1000
    context = EntryContext(
        settings=settings,
        reactor=reactor,
        clock=read_clock,
        wall_clock=read_wall_clock,
        random=random.SystemRandom(),
        incarnation=incarnation,
        control=ControlClient(reactor=reactor, clock=read_clock),
        client=open_upstream_client(reactor),
        lease=ConfigLease(entry=EntryId(settings.node), incarnation=incarnation),
        metrics=open_metrics(settings.telemetry, settings.node),
        traces=open_traces(settings.telemetry, settings.node),
    )
    context.tables.one_way_seconds = {
        name: value / 1000 for name, value in settings.distances_ms.items()
    }
    context.tables.rating_price = settings.rating_price
    context.tables.entries = 1 + len(settings.entries)
    periodic_tasks = PeriodicTasks()
    placements = Placements()
    node = _make_node(context, periodic_tasks, stop)
    daemon = EntryDaemon(
        context=context,
        node=node,
        periodic_tasks=periodic_tasks,
        placements=placements,
        caller_port=_listen(
            context,
            settings.callers,
            make_caller_app(context, placements),
            tls["callers"],
        ),
        upstream_port=_listen(
            context, settings.upstreams, make_upstream_app(context), tls["upstreams"]
        ),
        link_port=listen(reactor, settings.links, LinkFactory(node), tls["links"]),
        loops=[],
    )
    _open_links(daemon, tls["links"])
    _start_loops(daemon)
    logger.info(
        "entry: {} serves callers on {} and upstreams on {}.",
        settings.node,
        daemon.caller_port.getHost().port,
        daemon.upstream_port.getHost().port,
    )
    return daemon


async def stop_entry(daemon: EntryDaemon) -> None:
    """Stop without cutting a request.

    The readiness check fails first, and new connections are served until the load
    balancer has noticed. Running requests end, and connections close after a complete
    response.
    """
    context = daemon.context
    settings = context.settings
    context.draining = True
    logger.info("entry: {} is draining {} requests.", settings.node, context.running)
    await deferLater(context.reactor, settings.drain_notice, lambda: None)
    await maybeDeferred(daemon.caller_port.stopListening)
    deadline = context.clock() + settings.drain_limit
    while is_busy(context) and context.clock() < deadline:
        await deferLater(context.reactor, DRAIN_POLL_INTERVAL, lambda: None)

    await _close_connections(daemon, deadline)
    left = len(get_factory(daemon.caller_port).transports)
    check(
        Invariant.STOP_CUTS_NOTHING,
        context.running + left == 0,
        lambda: f"{context.running} requests, {left} responses cut by the drain limit",
    )
    await flush_evidence(context, daemon.periodic_tasks)
    await close_entry(daemon)


def is_busy(context: EntryContext) -> bool:
    """Return whether requests, settlements or ratings are pending."""
    return context.running + context.pending_settlements + context.pending_ratings > 0


async def _close_connections(daemon: EntryDaemon, deadline: float) -> None:
    """Close each caller's connection once the caller has read its response."""
    context = daemon.context
    site = get_factory(daemon.caller_port)
    close_connections(site)
    while site.transports and context.clock() < deadline:
        await deferLater(context.reactor, DRAIN_POLL_INTERVAL, lambda: None)


async def close_entry(daemon: EntryDaemon) -> None:
    """Close everything, after replies to pending calls of other processes."""
    context = daemon.context
    stop_periodic_tasks(daemon.periodic_tasks)
    for loop in daemon.loops:
        if loop.running:
            loop.stop()

    for port in (daemon.caller_port, daemon.upstream_port, daemon.link_port):
        await maybeDeferred(port.stopListening)

    links = (*context.control.links.values(), *daemon.periodic_tasks.entries.values())
    cut = await close_links(daemon.node, links, context.clock)
    upstreams = get_factory(daemon.upstream_port)
    cut += await close_site(upstreams, context.reactor, context.clock)
    await context.client.close()
    context.traces.close()
    logger.info("entry: {} stopped, {} connections cut.", context.settings.node, cut)


def _listen(
    context: EntryContext, listener: Listener, app: Any, tls: TlsSource | None
) -> Any:
    site = make_site(
        app, max_body=context.settings.max_body, timeout=context.settings.idle_timeout
    )
    return listen(context.reactor, listener, site, tls)


def _make_node(
    context: EntryContext, periodic_tasks: PeriodicTasks, stop: Callable[[], None]
) -> LinkNode:
    def handle_call(sender: str, body: Any) -> Deferred[Message]:
        return handle_control_call(context, sender, body, stop)

    def handle_cast(sender: str, body: Any) -> None:
        receive_spread(context, periodic_tasks, body)

    return LinkNode(
        name=context.settings.node,
        reactor=context.reactor,
        handlers=LinkHandlers(
            handle_call=handle_call, handle_cast=handle_cast, body_type=Body
        ),
        timing=LinkTiming(),
        read_names=read_peer_names if context.settings.links.tls else None,
    )


def _open_links(daemon: EntryDaemon, tls: TlsSource | None) -> None:
    context = daemon.context
    for peer in context.settings.control:
        context.control.links[peer.node] = open_link(
            daemon.node, peer.node, make_connector(context.reactor, peer, tls)
        )

    for peer in context.settings.entries:
        link = open_link(
            daemon.node, peer.node, make_connector(context.reactor, peer, tls)
        )
        link.on_up = partial(reset_announced, daemon.periodic_tasks, peer.node)
        daemon.periodic_tasks.entries[peer.node] = link


def _start_loops(daemon: EntryDaemon) -> None:
    context, periodic_tasks = daemon.context, daemon.periodic_tasks
    renew_periodically(context, periodic_tasks)
    _start_loop(
        daemon, QUEUE_INTERVAL, partial(run_queue_tick, context, daemon.placements)
    )
    _start_loop(
        daemon, TABLES_INTERVAL, partial(run_tables_tick, context, periodic_tasks)
    )
    _start_loop(daemon, SPREAD_INTERVAL, partial(spread_state, context, periodic_tasks))

    def flush() -> Deferred[None]:
        return Deferred.fromCoroutine(flush_evidence(context, periodic_tasks))

    _start_loop(daemon, EVIDENCE_INTERVAL, flush)


def _start_loop(daemon: EntryDaemon, interval: float, task: Any) -> None:
    loop = LoopingCall(task)
    loop.start(interval).addErrback(partial(_stop_on_failure, daemon))
    daemon.loops.append(loop)


def _stop_on_failure(daemon: EntryDaemon, failure: Any) -> None:
    """Stop the process: an entry must not serve without its periodic tasks."""
    logger.critical("entry: Stopped by a fault: {}.", failure.getTraceback())
    daemon.context.reactor.stop()
