"""The planned stop of a registry.

Leadership is handed over, responses in progress are sent, then connections are closed.
"""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...state.group import leader_of
from ...state.group import leads
from ...state.group import transfer_leadership
from ..events import log_event
from ..events import run_logged
from ..http.server import close_idle
from ..http.server import count_undrained
from ..http.server import is_drained
from ..links import finish_links
from ..links import list_protocols
from ..ports import close_port
from .members import run_flush


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..links import LinkProtocol
    from .context import RegistryContext
    from .daemon import RegistryDaemon


POLL_SECONDS = 0.05
"""Seconds between checks for work in progress."""
HANDOVER_SECONDS = 1.5
"""Seconds for which a planned stop waits for another member to lead."""
CLOSE_SECONDS = 1.0
"""Seconds reserved at the end of the stop for closing connections."""
STOP_MARGIN = 0.6
"""Seconds before the kill of the process at which it ends by itself."""
STEP_FAILED = "registry: Stop step failed"


def stop_registry(
    daemon: RegistryDaemon, done: Callable[[], None], requested_at: float | None = None
) -> None:
    """Hand over leadership, complete responses, close connections, call ``done``.

    ``requested_at`` is when the stop was requested, if that was earlier; the deadline
    is counted from it.

    Requests and calls that arrive meanwhile are handled, too. If the process ended
    after it committed a command or announced a deregistration, but before the response
    had left its buffers, operators could not tell which state is in force.
    """
    context = daemon.context
    context.stopping = True
    daemon.service.stopping = True
    started_at = context.clock() if requested_at is None else requested_at
    deadline = started_at + context.settings.grace - STOP_MARGIN
    log_event(
        "registry: Stopping",
        leading=context.logged_leader == context.settings.address,
    )

    def poll() -> None:
        now = context.clock()
        handed_over = (
            not list_successors(context) or now >= started_at + HANDOVER_SECONDS
        )
        drained = is_drained(daemon.service) and not count_calls(context)
        if (handed_over and drained) or now >= deadline - CLOSE_SECONDS:
            close_connections(daemon, deadline, done)
            return

        # Repeated because the first voter asked may have become unresponsive.
        run_logged(partial(start_handover, context), STEP_FAILED)
        context.reactor.callLater(POLL_SECONDS, poll)

    poll()


def list_successors(context: RegistryContext) -> list[str]:
    """Return the voters that can take over, or none if this process does not lead."""
    group = context.group
    if group is None or leader_of(group) != context.settings.address:
        return []

    progress = group.replica.progress
    return [one for one in group.replica.membership.voters if one in progress]


def start_handover(context: RegistryContext) -> None:
    """Ask the voter that acknowledged last to lead, unless a transfer is under way."""
    group = context.group
    voters = list_successors(context)
    if group is None or not voters or not leads(group, context.clock()):
        return

    progress = group.replica.progress
    successor = max(voters, key=lambda one: progress[one].acknowledged_at)
    if transfer_leadership(group, successor.partition("~")[0], context.clock()):
        run_flush(context)


def list_connections(context: RegistryContext) -> list[LinkProtocol]:
    """Return the connections of all links, incoming and outgoing."""
    if context.node is None:
        return []

    return list_protocols(context.node, context.controls.values())


def count_calls(context: RegistryContext) -> int:
    """Return how many calls of other processes have no reply yet."""
    return sum(protocol.unanswered for protocol in list_connections(context))


def close_connections(
    daemon: RegistryDaemon, deadline: float, done: Callable[[], None]
) -> None:
    """Close each connection once its data was sent; abort the rest at ``deadline``.

    Callers that have their response but keep the connection open delay the stop by
    ``CLOSE_SECONDS`` at most.

    Periodic tasks keep running: a leader that has lost its followers must detect it and
    reject the pending commands.
    """
    context = daemon.context
    # The vote for the successor must be sent before its link stops accepting messages.
    run_logged(partial(run_flush, context), STEP_FAILED)
    for port in daemon.ports:
        # Otherwise gateways whose links are closed would reconnect at once.
        close_port(port)

    if context.node is not None:
        finish_links(context.node, context.controls.values())

    limit = min(context.clock() + CLOSE_SECONDS, deadline)

    def poll() -> None:
        now = context.clock()
        links = list_connections(context)
        closed = not daemon.service.connections and not links
        drained = is_drained(daemon.service) and not links
        if closed or (drained and now >= limit) or now >= deadline:
            try:
                finish_stop(daemon)
            finally:
                done()

            return

        close_idle(daemon.service)
        context.reactor.callLater(POLL_SECONDS, poll)

    # A caller that connected just before the ports were closed may be sending its
    # request. The delay lets it get a response instead of a closed connection.
    context.reactor.callLater(POLL_SECONDS, poll)


def finish_stop(daemon: RegistryDaemon) -> None:
    """Abort remaining connections, stop the periodic tasks and close the store."""
    context = daemon.context
    if daemon.loop.running:
        daemon.loop.stop()

    answers = count_undrained(daemon.service)
    calls = count_calls(context)
    links = list_connections(context)
    for protocol in links:
        protocol.abort()

    if context.group is not None:
        context.group.store.close()

    log_event(
        "registry: Stopped",
        answers=answers,
        calls=calls,
        links=len(links),
        reason="deadline reached with work in progress" if answers or links else "",
    )
