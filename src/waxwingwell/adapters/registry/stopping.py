"""The planned stop of a registry: leadership goes, answers leave, then all closes."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ...state.group import leader_of
from ...state.group import leads
from ...state.group import transfer_leadership
from ..events import log_event
from ..events import run_logged
from ..http.server import close_idle
from ..http.server import count_unsettled
from ..http.server import is_settled
from ..links import finish_links
from ..links import list_protocols
from ..ports import close_port
from .members import run_flush


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..links import LinkProtocol
    from .context import RegistryContext
    from .daemon import RegistryDaemon


LOOK_SECONDS = 0.05
"""Between two looks at what is still under way."""
HANDOVER_SECONDS = 1.5
"""A planned stop waits so long for another member to lead."""
CLOSE_SECONDS = 1.0
"""Kept for closing connections at the end of the time to stop."""
STOP_MARGIN = 0.6
"""Seconds before the process is killed at which it ends by itself."""
STEP_FAILED = "registry: Step of the stop failed"


def stop_registry(
    daemon: RegistryDaemon, done: Callable[[], None], told_at: float | None = None
) -> None:
    """Hand leadership over, answer what was read, close all, and call ``done``.

    ``told_at`` is when the process was told to stop, if that was earlier: its time
    counts from there.

    Requests and calls that come meanwhile are answered, too. Failure: an order is
    carried out, or a leave is made known, and the process ends before the answer is
    there or while it waits in a buffer; operators can't tell what is in force.
    """
    context = daemon.context
    context.stopping = True
    daemon.service.stopping = True
    began_at = context.clock() if told_at is None else told_at
    deadline = began_at + context.settings.grace - STOP_MARGIN
    log_event("registry: Stopping", leading=context.led == context.settings.address)

    def wait() -> None:
        now = context.clock()
        handed = not list_successors(context) or now >= began_at + HANDOVER_SECONDS
        settled = is_settled(daemon.service) and not count_calls(context)
        if (handed and settled) or now >= deadline - CLOSE_SECONDS:
            close_connections(daemon, deadline, done)
            return

        # The first one asked may have stopped answering at this very moment.
        run_logged(partial(begin_handover, context), STEP_FAILED)
        context.reactor.callLater(LOOK_SECONDS, wait)

    wait()


def list_successors(context: RegistryContext) -> list[str]:
    """Return the other voters, as far as this process leads them."""
    group = context.group
    if group is None or leader_of(group) != context.settings.address:
        return []

    progress = group.replica.progress
    return [one for one in group.replica.membership.voters if one in progress]


def begin_handover(context: RegistryContext) -> None:
    """Ask the voter that is furthest along to lead, unless one was asked just now."""
    group = context.group
    voters = list_successors(context)
    if group is None or not voters or not leads(group, context.clock()):
        return

    progress = group.replica.progress
    best = max(voters, key=lambda one: progress[one].acknowledged_at)
    if transfer_leadership(group, best.partition("~")[0], context.clock()):
        run_flush(context)


def list_connections(context: RegistryContext) -> list[LinkProtocol]:
    """Return the connections of all links, in either direction."""
    if context.node is None:
        return []

    return list_protocols(context.node, context.controls.values())


def count_calls(context: RegistryContext) -> int:
    """Return how many calls of other processes have no answer yet."""
    return sum(protocol.answering for protocol in list_connections(context))


def close_connections(
    daemon: RegistryDaemon, deadline: float, done: Callable[[], None]
) -> None:
    """Close each connection when what was sent on it has left; cut at ``deadline``.

    Callers that have their answers and don't close hold it up for a moment only.

    Duties go on: a leader that nobody follows any more must learn it and refuse the
    orders that wait.
    """
    context = daemon.context
    # A vote for our successor must leave before its link takes no more.
    run_logged(partial(run_flush, context), STEP_FAILED)
    for port in daemon.ports:
        # Else gateways whose links we close would come back at once.
        close_port(port)

    if context.node is not None:
        finish_links(context.node, context.controls.values())

    limit = min(context.clock() + CLOSE_SECONDS, deadline)

    def wait() -> None:
        now = context.clock()
        links = list_connections(context)
        closed = not daemon.service.connections and not links
        settled = is_settled(daemon.service) and not links
        if closed or (settled and now >= limit) or now >= deadline:
            try:
                finish_stop(daemon)
            finally:
                done()

            return

        close_idle(daemon.service)
        context.reactor.callLater(LOOK_SECONDS, wait)

    # A caller that connected just before the ports closed sends its request now: for a
    # moment it is read and answered, where a close would leave it without an answer.
    context.reactor.callLater(LOOK_SECONDS, wait)


def finish_stop(daemon: RegistryDaemon) -> None:
    """Cut what is left, end the duties and close the disk."""
    context = daemon.context
    if daemon.loop.running:
        daemon.loop.stop()

    answers = count_unsettled(daemon.service)
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
        reason="no time was left" if answers or links else "",
    )
