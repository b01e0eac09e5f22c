"""Graceful shutdown: responses are completed and flushed, then everything is closed."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from twisted.internet.defer import DeferredList

from ..events import log_event
from ..events import run_logged
from ..http.server import close_idle
from ..http.server import count_undrained
from ..http.server import is_drained
from ..links import close_link
from ..ports import close_port
from .waiting import refuse_waiting


if TYPE_CHECKING:
    from collections.abc import Callable

    from .context import GatewayContext
    from .daemon import GatewayDaemon


POLL_SECONDS = 0.1
"""Interval in seconds between checks of the requests and connections left."""
BALANCER_SECONDS = 2.5
"""Seconds for which a stopping gateway still accepts connections: the balancer needs
two checks, a second apart, to notice the stop."""
STOP_MARGIN = 0.6
"""Seconds before the process is killed at which the gateway accepts no more requests
and responds to those still open."""
FLUSH_SECONDS = 0.3
"""Seconds of the margin in which the last responses are flushed: several one-way
delays between data centres."""
HELD_SECONDS = 0.1
"""Seconds by which a check is late if the process has stood still: requests that have
arrived meanwhile are read before any connection is closed."""
CATCH_UP_SECONDS = 0.01
CLOSE_SECONDS = 1.0
"""Seconds that callers have to close their connections after their responses, within
the same limit."""


def stop_gateway(
    daemon: GatewayDaemon, done: Callable[[], None], requested_at: float | None = None
) -> None:
    """Complete running requests, flush their responses, then close everything.

    New connections are served until the balancer has noticed the stop; persistent
    connections are closed as their responses end. ``done`` is called last.
    ``requested_at`` is the time of the signal to stop if that came earlier: the grace
    counts from it.
    """
    context = daemon.context
    context.stopping = True
    daemon.service.stopping = True
    daemon.relays.stopping = True
    started_at = context.clock() if requested_at is None else requested_at
    deadline = started_at + context.settings.grace - STOP_MARGIN
    context.exit_at = deadline
    log_event("gateway: Stopping", requests=len(context.exchanges))

    def poll(due_at: float) -> None:
        now = context.clock()
        if now < deadline and was_held(due_at, now):
            repeat(context, poll, CATCH_UP_SECONDS, now)
            return

        balancer_noticed = now >= started_at + BALANCER_SECONDS
        drained = is_drained(daemon.service) and is_drained(daemon.relays)
        if (balancer_noticed and drained) or now >= deadline:
            limit = min(now + CLOSE_SECONDS, deadline + FLUSH_SECONDS)
            close_gateway(daemon, limit, done)
            return

        if balancer_noticed:
            close_idle(daemon.service)
            close_idle(daemon.relays)

        repeat(context, poll, min(POLL_SECONDS, deadline - now), now)

    poll(context.clock())


def was_held(due_at: float, now: float) -> bool:
    """Return whether the process has stood still since a check was due."""
    return now - due_at > HELD_SECONDS


def repeat(
    context: GatewayContext, poll: Callable[[float], None], delay: float, now: float
) -> None:
    """Call a check again after a delay, with the time at which it is due."""
    context.reactor.callLater(delay, poll, now + delay)


def close_gateway(
    daemon: GatewayDaemon, limit: float, done: Callable[[], None]
) -> None:
    """Accept no more requests, and wait up to ``limit`` until callers have closed.

    Exiting while the kernel still holds the end of a response would lose it: a
    pipelined request that nobody reads makes the kernel reset the connection.

    The ports are closed before the process exits. Otherwise the kernel accepts
    connections until then and resets them, and their callers can't determine whether a
    request was read. A closed port refuses them.
    """
    context = daemon.context
    context.exit_at = context.clock()
    closing = [daemon.callers.close(), *map(close_port, daemon.ports)]
    finish_requests(context, context.clock())

    def poll(due_at: float) -> None:
        now = context.clock()
        if now < limit and was_held(due_at, now):
            repeat(context, poll, CATCH_UP_SECONDS, now)
            return

        services = (daemon.service, daemon.relays, daemon.health)
        for service in services:
            close_idle(service)

        waiting = any(service.connections for service in services)
        if waiting and now < limit:
            repeat(context, poll, min(POLL_SECONDS, limit - now), now)
            return

        try:
            finish_stop(daemon)
        finally:
            done()

    DeferredList(closing).addCallback(lambda _: poll(context.clock()))


def finish_requests(context: GatewayContext, now: float) -> None:
    """Send callers a final response to their open requests before the process exits.

    Otherwise their connections close without a response, and the log records that the
    callers disconnected.
    """
    for exchange in list(context.exchanges):
        end = partial(exchange.finish_now, "gateway process is exiting", now)
        run_logged(end, "gateway: Could not send the final response")

    refuse_waiting(context.startup_queue)


def finish_stop(daemon: GatewayDaemon) -> None:
    """Stop the periodic tasks and close the links."""
    context = daemon.context
    log_event("gateway: Stopped", unsettled=count_undrained(daemon.service))
    daemon.loop.stop()
    daemon.turns.stop()
    for link in context.controls.values():
        close_link(link)
