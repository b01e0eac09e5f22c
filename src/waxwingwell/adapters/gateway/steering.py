"""Messages that a gateway receives from controls, and its links to them."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from ...routing.engine_room import apply_demand
from ...routing.engine_room import apply_workspaces
from ...routing.engine_speeds import apply_speeds
from ...routing.fleet import apply_announcement
from ...routing.fleet import apply_heartbeats
from ...routing.fleet import drop_tombstones
from ...routing.gateway_room import apply_relays
from ...routing.lateness import find_included
from ...routing.lateness import record_totals
from ...routing.limits import apply_states
from ...routing.limits import drop_limits
from ...routing.load import apply_totals
from ...routing.lookup import index_document
from ...routing.messages import FleetReport
from ...routing.messages import GrantPermits
from ...routing.messages import NotAccepted
from ...routing.messages import RelayGateway
from ...routing.messages import ShareHeartbeats
from ...routing.messages import ShareMembers
from ...routing.messages import ShareNews
from ...routing.messages import ShareRelays
from ...routing.messages import ShareRouting
from ...routing.permits import apply_grants
from ...routing.prefixes import apply_reported_blocks
from ...routing.records import Document
from ...routing.rests import apply_rests
from ...routing.retries import apply_retry_totals
from ...routing.room import apply_statements
from ...routing.sessions import apply_kept_sessions
from ...routing.sessions import record_rollouts
from ...routing.tallies import follow_rollouts
from ...routing.warmup import record_return
from ..announcement_checks import take_valid
from ..connections import make_tcp_connector
from ..events import log_event
from ..links import close_link
from ..links import is_link_up
from ..links import open_link
from ..metrics import TOTALS_LATE_SECONDS
from .crashes import confirm_replaced
from .crashes import receive_evidence
from .reporting import attach_to_control
from .scheduling import renew_parts
from .scheduling import serve_queues
from .waiting import serve_waiting
from .withdrawals import refuse_withdrawn


if TYPE_CHECKING:
    from ...messages import Message
    from ...routing.lookup import DocumentIndex
    from ...routing.messages import EngineSpeed
    from .context import GatewayContext


INVALID_LOG_SECONDS = 10.0
"""Shortest time between two lines on factors that were dropped."""
RELAY_RETENTION_SECONDS = 5.0
"""Seconds for which relays are known after the last list that named one. A gateway
leaves a control that stands still after two seconds or so."""


def handle_call(sender: str, body: Any) -> Deferred[Message]:
    """Reject a call: a gateway serves no calls, only casts."""
    reason = f"{type(body).__name__} from {sender} is not understood"
    return succeed(NotAccepted(reason=reason))


def handle_cast(context: GatewayContext, sender: str, body: Any) -> None:
    """Handle a cast from a control."""
    now = context.clock()
    context.control_seen_at = now
    if isinstance(body, ShareRouting):
        apply_routing(context, body)
    elif isinstance(body, ShareNews):
        news = take_valid(body.news)
        for announcement in news:
            apply_announcement(context.fleet, announcement, now)

        confirm_replaced(context, news, now)
        receive_evidence(context, body.crashes, body.trials, now)
    elif isinstance(body, ShareHeartbeats):
        apply_heartbeats(context.fleet, body.heard, now)
        context.heartbeats_at = now
        drop_tombstones(context.fleet, now)
        drop_limits(context.limits, context.fleet.upstreams, now)
    elif isinstance(body, ShareMembers):
        update_controls(context, body)
        record_data_centre(context, sender, body.data_centre)
    elif isinstance(body, FleetReport):
        receive_totals(context, body, now)
        apply_service_demand(context, body)
        if body.grants:
            context.granting_at = now

        apply_reported_blocks(context.prefixes, body.read, now)
        apply_kept_sessions(context.sessions, body.kept, body.held)
        serve_queues(context)
        receive_speeds(context, sender, body.speeds or (), now)
    elif isinstance(body, GrantPermits):
        apply_grants(context.permits, body.permits, body.reported_at, now)
        apply_states(context.limits, body.limits, now)
        apply_statements(context.brittle, body.brittle, now)
        apply_rests(context.limits, body.rests or (), now)
    elif isinstance(body, ShareRelays):
        receive_relays(context, body, now)


def receive_totals(context: GatewayContext, body: FleetReport, now: float) -> None:
    """Apply the totals of load and retries, less what they include of this gateway."""
    late = record_totals(context.lateness, body, now)
    TOTALS_LATE_SECONDS.set(late)
    included = find_included(context.lateness, body)
    use, work = context.reported_use, context.reported_work
    retries = context.reported_retries
    if included is not None:
        use, work, retries = included.use, included.work, included.repeats

    apply_totals(
        context.load,
        body.use,
        use,
        work=body.work - work,
        gateways=body.gateways,
        now=now,
        late=late,
    )
    apply_retry_totals(
        context.retries,
        body.repeats,
        retries,
        now,
        late=late,
        is_partial=body.counted is not msgspec.UNSET,
    )


def receive_relays(context: GatewayContext, body: ShareRelays, now: float) -> None:
    """Keep the gateways that a control lists as relays.

    A list of those with ample room lacks the others, which a gateway needs once it has
    lost its path.
    """
    own = context.settings.node
    if not body.ample:
        replace_relays(context, body.relays, now)

    without_room = body.without_room or ()
    others = [
        one for one in body.relays if one.name != own and one.name not in without_room
    ]
    apply_relays(context.room, others, context.settings.data_centre, now)


def receive_speeds(
    context: GatewayContext, sender: str, speeds: tuple[EngineSpeed, ...], now: float
) -> None:
    """Apply the engines' duration factors, and log invalid ones once in a while."""
    invalid = apply_speeds(context.engine_speeds, speeds, now)
    last = context.invalid_speeds_at
    if invalid and now - last >= INVALID_LOG_SECONDS:
        context.invalid_speeds_at = now
        log_event("gateway: Invalid speeds dropped", control=sender, count=invalid)


def apply_service_demand(context: GatewayContext, body: FleetReport) -> None:
    """Apply the demand of all gateways for services that are short of room."""
    table = context.queues.demand
    draw = context.random.random() if context.queues.is_short else 0.0
    apply_demand(table, context.load, body.demand or (), context.reported_demand, draw)
    apply_workspaces(table, body.workspaces or (), context.reported_workspaces)
    renew_parts(context)


def replace_relays(
    context: GatewayContext, listed: tuple[RelayGateway, ...], now: float
) -> None:
    """Replace the known relays by those that a control lists.

    If it lists none, the control that knows of them may only stand still: the known
    ones are kept for a while, as one that is no relay any more refuses at once.
    """
    own = context.settings.node
    relays = tuple(one for one in listed if one.name != own)
    if relays:
        context.relays_at = now
    elif now - context.relays_at <= RELAY_RETENTION_SECONDS:
        return

    context.relays = relays


def apply_routing(context: GatewayContext, body: ShareRouting) -> None:
    """Apply the routing state unless the state held is equal or newer.

    A control that lags behind shares an older state. Applying it would make keys and
    routes valid again that have been removed.
    """
    completes = completes_document(context.index, body)
    if body.index < context.routing_index:
        return

    if body.index == context.routing_index and not completes:
        return

    held_version = -1 if context.index is None else context.index.document.version
    if body.document and (completes or body.version > held_version):
        data = zlib.decompress(body.document)
        document = msgspec.msgpack.decode(data, type=Document)
        context.index = index_document(document)
        log_event(
            "gateway: Document in force",
            version=document.version,
            index=body.index,
            routes=len(document.routes),
            needs_key=document.needs_key,
        )
        held_version = document.version

    if held_version < body.version:
        return

    context.queues.pools.clear()
    refuse_withdrawn(context)
    context.routing_index = body.index
    context.rollouts = {rollout.service: rollout for rollout in body.rollouts}
    record_rollouts(context.sessions, body.rollouts, body.index)
    follow_rollouts(context.tallies, body.rollouts, context.clock())
    apply_evacuations(context, body)
    if context.index is not None:
        serve_waiting(context.startup_queue)


def completes_document(index: DocumentIndex | None, body: ShareRouting) -> bool:
    """Return whether a control shares the version in force, and may know more of it.

    Whether a document without workspaces requires keys is in doubt if it came from a
    control of an earlier release. Others share it at the same index in the log.
    """
    if index is None or index.document.workspaces or not body.document:
        return False

    return body.version == index.document.version


def apply_evacuations(context: GatewayContext, body: ShareRouting) -> None:
    """Apply which data centres are evacuated."""
    evacuated = frozenset(body.evacuated)
    if evacuated == context.evacuated:
        return

    now = context.clock()
    for data_centre in context.evacuated - evacuated:
        record_return(context.warm_up, data_centre, now)

    context.evacuated = evacuated
    log_event(
        "gateway: Evacuations in force", index=body.index, evacuated=sorted(evacuated)
    )


def update_controls(context: GatewayContext, body: ShareMembers) -> None:
    """Connect to new controls, and close broken links to removed ones."""
    for name in body.controls:
        connect_control(context, name)

    if len(body.controls) < 2:
        return

    gone = [
        name
        for name, link in context.controls.items()
        if name not in body.controls and not is_link_up(link)
    ]
    for name in gone:
        close_link(context.controls.pop(name))


def connect_control(context: GatewayContext, name: str) -> None:
    """Open a link to a control unless one exists or the gateway is stopping."""
    if name in context.controls or context.node is None or context.stopping:
        return

    connect = make_tcp_connector(context.reactor, name, context.settings.link_port)
    context.controls[name] = open_link(context.node, name, connect)


def record_data_centre(context: GatewayContext, control: str, data_centre: str) -> None:
    """Record whether a control is local, and leave a remote one for a local one."""
    if data_centre != context.settings.data_centre:
        context.local_controls.discard(control)
        return

    context.local_controls.add(control)
    if context.attached_control not in context.local_controls:
        attach_to_control(context)
