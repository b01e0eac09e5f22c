"""The planned stop of a gateway: answers end and leave, then all is closed."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from twisted.internet.defer import DeferredList

from ..events import log_event
from ..events import run_logged
from ..http.server import close_idle
from ..http.server import count_unsettled
from ..http.server import is_settled
from ..links import close_link
from ..ports import close_port
from .waiting import refuse_all


if TYPE_CHECKING:
    from collections.abc import Callable

    from .context import GatewayContext
    from .daemon import GatewayDaemon


LOOK_SECONDS = 0.1
"""Between two looks at what is still under way."""
BALANCER_SECONDS = 2.5
"""How long a stopping gateway goes on taking connections: the balancer needs two looks,
a second apart, to notice."""
STOP_MARGIN = 0.6
"""Seconds before the process is killed at which nothing new is begun, and whoever still
waits is told."""
LAST_SECONDS = 0.3
"""Of the margin, for the last answers to leave: some ways between data centres."""
CLOSE_SECONDS = 1.0
"""How long callers may take to close after their answers, within that."""


def stop_gateway(
    daemon: GatewayDaemon, done: Callable[[], None], told_at: float | None = None
) -> None:
    """Let running requests end and their answers leave, then close everything.

    New connections are served until the balancer has noticed; connections that are
    kept open are closed as their answers end. ``done`` is called last. ``told_at`` is
    when the process was told to stop, if that was earlier: its time counts from there.
    """
    context = daemon.context
    context.stopping = True
    daemon.service.stopping = True
    began_at = context.clock() if told_at is None else told_at
    deadline = began_at + context.settings.grace - STOP_MARGIN
    context.exit_at = deadline
    log_event("gateway: Stopping", requests=len(context.exchanges))

    def look() -> None:
        now = context.clock()
        noticed = now >= began_at + BALANCER_SECONDS
        if (noticed and is_settled(daemon.service)) or now >= deadline:
            limit = min(now + CLOSE_SECONDS, deadline + LAST_SECONDS)
            close_gateway(daemon, limit, done)
            return

        if noticed:
            close_idle(daemon.service)

        context.reactor.callLater(min(LOOK_SECONDS, deadline - now), look)

    look()


def close_gateway(
    daemon: GatewayDaemon, limit: float, done: Callable[[], None]
) -> None:
    """Begin nothing more, and wait up to ``limit`` until callers have read and closed.

    Failure: the process ended while the kernel still held the end of an answer, and a
    request that its caller had sent ahead made the kernel reset the connection.

    Failure: it ended in the turn in which its ports were to close. The kernel took
    connections until the process was gone and reset them, so that their callers could
    not tell whether an order had been read. A closed port refuses them.
    """
    context = daemon.context
    context.exit_at = context.clock()
    closing = [close_port(port) for port in daemon.ports]
    end_requests(context, context.clock())

    def look(_: object = None) -> None:
        close_idle(daemon.service)
        close_idle(daemon.health)
        now = context.clock()
        waiting = daemon.service.connections or daemon.health.connections
        if waiting and now < limit:
            context.reactor.callLater(min(LOOK_SECONDS, limit - now), look)
            return

        try:
            finish_stop(daemon)
        finally:
            done()

    DeferredList(closing).addCallback(look)


def end_requests(context: GatewayContext, now: float) -> None:
    """Tell callers what is known of their requests, as the process has to end.

    Failure: their connections closed without a word, and the log took it for their
    leave.
    """
    for exchange in list(context.exchanges):
        end = partial(exchange.end_now, "the process ends", now)
        run_logged(end, "gateway: Request not ended")

    refuse_all(context.room)


def finish_stop(daemon: GatewayDaemon) -> None:
    """End the duties and close the links."""
    context = daemon.context
    log_event("gateway: Stopped", unsettled=count_unsettled(daemon.service))
    daemon.loop.stop()
    for link in context.controls.values():
        close_link(link)
