"""The control daemon: opens the group, its links and the administration API."""

from __future__ import annotations

import random
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from loguru import logger
from twisted.internet.defer import maybeDeferred
from twisted.internet.task import LoopingCall
from twisted.internet.task import deferLater

from ...messages import Command
from ...state.consensus.records import Timing
from ...state.group import Machine
from ...state.group import leader_of
from ...state.group import leads
from ...state.group import open_group
from ...state.group import transfer_leadership
from ...state.machine import apply_command
from ...state.machine import load_state
from ...state.machine import save_state
from ...state.storage import open_store
from ..clock import read_clock
from ..clock import read_wall_clock
from ..link_messages import Body
from ..links import LinkFactory
from ..links import LinkHandlers
from ..links import LinkNode
from ..links import LinkTiming
from ..links import cast_link
from ..links import open_link
from ..shutdown import POLL_SECONDS
from ..shutdown import close_links
from ..shutdown import close_site
from ..telemetry import open_metrics
from ..tls import get_factory
from ..tls import listen
from ..tls import make_connector
from ..tls import read_peer_names
from ..tls_files import open_tls
from .admin import make_admin_site
from .context import ControlContext
from .context import StateHolder
from .duties import TICK
from .duties import run_tick
from .service import handle_call
from .service import handle_cast
from .service import run_flush


if TYPE_CHECKING:
    from twisted.internet.defer import Deferred

    from ...messages import Message
    from ...state.consensus.messages import ConsensusMessage
    from ..settings import ControlSettings


GROUP_ID = "control"
HANDOVER_LIMIT = 2.0
"""Seconds that a planned stop waits for another member to become leader."""
RESPONSE_LIMIT = 5.0
"""Seconds that a planned stop then waits for pending responses and replies."""
_COMMANDS = msgspec.msgpack.Decoder(Command)


@dataclass(slots=True)
class ControlDaemon:
    """A running control process."""

    context: ControlContext
    node: LinkNode
    link_port: Any
    admin_port: Any
    loop: LoopingCall


def make_machine(holder: StateHolder) -> Machine:
    """Return the callbacks by which the log applies, saves and restores the state."""

    def apply(index: int, command: bytes) -> bytes:
        outcome = apply_command(holder.state, _COMMANDS.decode(command))
        return msgspec.msgpack.encode(outcome)

    def restore(data: bytes) -> None:
        holder.state = load_state(data)

    return Machine(apply=apply, save=lambda: save_state(holder.state), restore=restore)


def start_control(settings: ControlSettings, reactor: Any) -> ControlDaemon:
    """Open the data folder and start serving.

    Errors: those of the store (a folder of another member, a corrupt file),
    ``SettingsError`` for TLS files, and ``CannotListenError``.
    """
    tls = open_tls(settings.node, {"links": settings.links, "admin": settings.admin})
    holder = StateHolder()
    settings.data_folder.mkdir(parents=True, exist_ok=True)
    links: dict[str, Any] = {}

    def send(member: str, message: ConsensusMessage) -> None:
        link = links.get(member)
        if link is not None:
            cast_link(link, message)

    group = open_group(
        group_id=GROUP_ID,
        member=settings.node,
        members=tuple(member.node for member in settings.members),
        store=open_store(settings.data_folder, GROUP_ID),
        machine=make_machine(holder),
        send=send,
        timing=Timing(),
        random=random.SystemRandom(),
        now=read_clock(),
        bootstrap=not settings.join,
    )
    context = ControlContext(
        settings=settings,
        reactor=reactor,
        clock=read_clock,
        wall_clock=read_wall_clock,
        holder=holder,
        group=group,
        metrics=open_metrics(settings.telemetry, settings.node),
        links=links,
    )
    node = make_node(context)
    link_port = listen(reactor, settings.links, LinkFactory(node), tls["links"])
    for member in settings.members:
        if member.node != settings.node:
            links[member.node] = open_link(
                node, member.node, make_connector(reactor, member, tls["links"])
            )

    admin_port = listen(reactor, settings.admin, make_admin_site(context), tls["admin"])
    loop = LoopingCall(run_tick, context)
    loop.start(TICK).addErrback(partial(_stop_on_fault, reactor))
    logger.info(
        "control: {} serves links on {} and administration on {}.",
        settings.node,
        link_port.getHost().port,
        admin_port.getHost().port,
    )
    return ControlDaemon(
        context=context,
        node=node,
        link_port=link_port,
        admin_port=admin_port,
        loop=loop,
    )


def make_node(context: ControlContext) -> LinkNode:
    """Return the handlers and settings that this process's links share."""
    return LinkNode(
        name=context.settings.node,
        reactor=context.reactor,
        handlers=LinkHandlers(
            handle_call=partial(_handle_call, context),
            handle_cast=partial(handle_cast, context),
            body_type=Body,
        ),
        timing=LinkTiming(),
        accepted=context.accepted,
        read_names=read_peer_names if context.settings.links.tls else None,
    )


async def stop_control(daemon: ControlDaemon) -> None:
    """Transfer leadership, respond to requests already read, then close everything.

    Closing earlier would hide outcomes: an operator's command is carried out by this
    leader or the next one although its connection was closed, and an entry can't know
    that its settlement was accepted.
    """
    context = daemon.context
    await _hand_over(context)
    run_flush(context)
    await _wait_until_answered(daemon)
    pending = count_unanswered(daemon)
    for port in (daemon.admin_port, daemon.link_port):
        await maybeDeferred(port.stopListening)

    cut = await close_links(daemon.node, context.links.values(), context.clock)
    site = get_factory(daemon.admin_port)
    cut += await close_site(site, context.reactor, context.clock)
    if daemon.loop.running:
        daemon.loop.stop()

    context.group.store.close()
    logger.info(
        "control: {} stopped with {} replies pending, {} connections cut.",
        context.settings.node,
        pending,
        cut,
    )


def count_unanswered(daemon: ControlDaemon) -> int:
    """Return how many requests and calls that were read have no response yet."""
    calls = sum(protocol.unanswered for protocol in daemon.node.accepted)
    return daemon.context.unanswered + calls


async def _wait_until_answered(daemon: ControlDaemon) -> None:
    context = daemon.context
    deadline = context.clock() + RESPONSE_LIMIT
    while count_unanswered(daemon) and context.clock() < deadline:
        await deferLater(context.reactor, POLL_SECONDS, lambda: None)


async def _hand_over(context: ControlContext) -> None:
    others = [name for name in context.links if name != context.settings.node]
    if not leads(context.group, context.clock()) or not others:
        return

    deadline = context.clock() + HANDOVER_LIMIT
    transfer_leadership(context.group, others[0], context.clock())
    run_flush(context)
    while context.clock() < deadline:
        if leader_of(context.group) not in ("", context.settings.node):
            return

        await deferLater(context.reactor, TICK, lambda: None)


def _handle_call(context: ControlContext, sender: str, body: Any) -> Deferred[Message]:
    return handle_call(context, sender, body)


def _stop_on_fault(reactor: Any, failure: Any) -> None:
    """Log a fault and stop: no process may serve with a broken invariant."""
    logger.critical("control: Stopped by a fault: {}.", failure.getTraceback())
    reactor.stop()
