"""Messages between a control, its gateways and the other controls."""

from __future__ import annotations

import zlib
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from ...routing.fleet import apply_heartbeats
from ...routing.fleet import drop_tombstones
from ...routing.limits import drop_limits
from ...routing.messages import ControlReport
from ...routing.messages import GatewayReport
from ...routing.messages import NotAccepted
from ...routing.messages import ReadRouting
from ...routing.messages import ShareHeartbeats
from ...routing.messages import ShareMembers
from ...routing.messages import ShareNews
from ...routing.messages import ShareRouting
from ...routing.messages import SubmitRouting
from ...routing.names import is_ip_address
from ...routing.quarantine import drop_expired as drop_expired_evidence
from ...routing.reports import address_totals
from ...routing.reports import drop_expired
from ...routing.reports import make_control_report
from ...routing.reports import make_full_report
from ...routing.reports import receive_control_report
from ...routing.reports import receive_report
from ...routing.reports import stamp_report
from ...routing.reports import sum_fleet
from ...routing.totals import has_invalid_demand
from ...routing.trials import drop_trials
from ...state.consensus.messages import ConsensusMessage
from ...state.consensus.records import name_of
from ...state.group import receive_message
from ...state.routing import list_evacuated
from ...state.routing import version_of
from ..connections import make_tcp_connector
from ..events import log_event
from ..links import cast_link
from ..links import close_link
from ..links import open_link
from ..metrics import CONNECTED_GATEWAYS
from .announcements import broadcast_evidence
from .announcements import grant_trials
from .announcements import list_news
from .announcements import receive_news
from .announcements import resend_announcements
from .checkpoints import store_checkpoint
from .context import SentState
from .members import is_current
from .members import read_local_state
from .members import request_flush
from .members import submit_locally
from .responses import list_attached
from .responses import respond_to_gateway
from .responses import share_relays
from .speeds import list_speeds


if TYPE_CHECKING:
    from ...messages import Message
    from ..links import LinkProtocol
    from .context import RegistryContext


HEARTBEAT_SECONDS = 1.0
"""Seconds between messages that forward upstreams' heartbeats."""
REPORT_SECONDS = 0.25
"""Seconds between aggregate reports to gateways."""
EXCHANGE_SECONDS = 0.125
"""Seconds between a control's reports to the others; their age adds to that of the
aggregates."""
RELAY_SECONDS = 2.0
"""Seconds between lists of gateways that reach upstreams; those that need them get
one in response to each report."""
MEMBER_SECONDS = 2.0
"""Seconds between announcements of the members."""
COMPRESSION_LEVEL = 6
"""Level of zlib for documents."""


def is_control(name: str) -> bool:
    """Tell whether a process is a control: controls are named by their IP address."""
    return is_ip_address(name)


def handle_connection(context: RegistryContext, protocol: LinkProtocol) -> None:
    """Handle an incoming connection: send the peer the state that it may lack.

    If the peer is a control, a link to it is opened as well.

    A restarted control has lost its table of upstreams. Without a full copy it would
    learn of an upstream only when that one changes, and its gateways would take all
    others for dead. If it came to lead, it would judge a roll-out by the evidence of
    its own gateways alone.
    """
    if protocol in context.gateway_links or protocol not in accepted_connections(
        context
    ):
        return

    if is_control(protocol.remote):
        connect_control(context, protocol.remote)
        protocol.cast(list_members(context))
        protocol.cast(list_news(context))
        protocol.cast(make_full_report(context.reports, context.clock()))
        return

    context.gateway_links[protocol] = SentState()
    CONNECTED_GATEWAYS.set(len(context.gateway_links))
    protocol.closed.addCallback(lambda _: remove_gateway(context, protocol))
    log_event("registry: Gateway connected", gateway=protocol.remote)
    protocol.cast(list_members(context))
    protocol.cast(list_news(context))
    share_routing(context, context.clock())


def accepted_connections(context: RegistryContext) -> set[LinkProtocol]:
    """Return the incoming connections of links."""
    return set() if context.node is None else context.node.accepted


def remove_gateway(context: RegistryContext, protocol: LinkProtocol) -> None:
    """Remove a gateway whose connection was closed."""
    context.gateway_links.pop(protocol, None)
    CONNECTED_GATEWAYS.set(len(context.gateway_links))
    log_event("registry: Gateway disconnected", gateway=protocol.remote)


def connect_control(context: RegistryContext, name: str) -> None:
    """Open a link to a control that is not connected yet."""
    if name in context.controls or name == context.settings.address:
        return

    if context.node is None or context.stopping:
        return

    connect = make_tcp_connector(context.reactor, name, context.settings.link_port)
    context.controls[name] = open_link(context.node, name, connect)


def follow_members(context: RegistryContext) -> None:
    """Connect to the members of the group and close links to removed ones.

    If all controls restart with settings whose seeds are gone, each knows the members
    only from its disk. Without this none would connect to another.

    A removed control that is connected waits to join again. It learns of new members
    only through its links.
    """
    group = context.group
    if group is None:
        return

    membership = group.replica.membership
    present = {name_of(one) for one in membership.voters + membership.learners}
    removed = {name_of(one) for one in membership.removed} - present
    for name in present:
        connect_control(context, name)

    connected = {protocol.remote for protocol in accepted_connections(context)}
    for name in (removed & context.controls.keys()) - connected:
        close_link(context.controls.pop(name))


def list_members(context: RegistryContext) -> ShareMembers:
    """Return the message that lists the controls to connect to."""
    group = context.group
    names = {context.settings.address}
    if group is not None:
        membership = group.replica.membership
        names |= {name_of(one) for one in membership.voters + membership.learners}

    if len(names) < 2:
        names |= context.controls.keys()

    return ShareMembers(
        controls=tuple(sorted(names)), data_centre=context.settings.data_centre
    )


def share_routing(context: RegistryContext, now: float) -> None:
    """Send the applied state to the gateways that have an older one."""
    group = context.group
    outdated = [
        (protocol, sent)
        for protocol, sent in context.gateway_links.items()
        if group is not None and sent.index < group.replica.applied
    ]
    if group is None or not outdated or not is_current(context, now):
        return

    index = group.replica.applied
    version = version_of(context.state)
    document = b""
    if any(sent.version < version for _, sent in outdated):
        encoded = msgspec.msgpack.encode(context.state.document)
        document = zlib.compress(encoded, COMPRESSION_LEVEL)

    rollouts = tuple(context.state.rollouts.values())
    evacuated = list_evacuated(context.state)
    for protocol, sent in outdated:
        body = ShareRouting(
            index=index,
            version=version,
            document=document if sent.version < version else b"",
            rollouts=rollouts,
            evacuated=evacuated,
        )
        if protocol.cast(body):
            sent.index = index
            sent.version = version


def handle_call(context: RegistryContext, sender: str, body: Any) -> Deferred[Message]:
    """Handle a call from another control and return the reply."""
    if isinstance(body, SubmitRouting):
        encoded = msgspec.msgpack.encode(body.command)
        return submit_locally(context, body.command, encoded)

    if isinstance(body, ReadRouting):
        return succeed(read_local_state(context))

    reason = f"{type(body).__name__} from {sender} is not understood"
    return succeed(NotAccepted(reason=reason))


def handle_cast(context: RegistryContext, sender: str, body: Any) -> None:
    """Handle a one-way message."""
    if isinstance(body, ConsensusMessage):
        connect_control(context, sender)
        if context.group is not None:
            receive_message(context.group, sender, body, context.clock())
            request_flush(context)
    elif isinstance(body, ShareNews):
        receive_news(context, sender, body)
    elif isinstance(body, ShareHeartbeats):
        apply_heartbeats(context.fleet, body.heard, context.clock())
    elif isinstance(body, GatewayReport):
        if has_invalid_demand(body):
            log_event("registry: Invalid demand dropped", gateway=sender)

        receive_report(context.reports, body, context.clock())
        broadcast_evidence(context, body.crashes)
        grant_trials(context, body)
        respond_to_gateway(context, sender, body)
    elif isinstance(body, ControlReport):
        receive_control_report(context.reports, sender, body, context.clock())
    elif isinstance(body, ShareMembers):
        for name in body.controls:
            connect_control(context, name)


def run_sharing(context: RegistryContext, now: float) -> None:
    """Send the periodic messages that are due."""
    share_routing(context, now)
    resend_announcements(context)
    store_checkpoint(context, now)
    if is_due(context, "exchange", EXCHANGE_SECONDS, now):
        exchange_reports(context, now)

    if is_due(context, "reports", REPORT_SECONDS, now):
        share_reports(context, now)

    if is_due(context, "relays", RELAY_SECONDS, now):
        share_relays(context, now)

    if is_due(context, "heartbeats", HEARTBEAT_SECONDS, now):
        share_heartbeats(context)
        drop_tombstones(context.fleet, now)
        drop_limits(context.reports.limits, context.fleet.upstreams, now)
        drop_expired_evidence(context.quarantine, now)
        drop_trials(context.trials, context.quarantine.blocks)

    if is_due(context, "members", MEMBER_SECONDS, now):
        follow_members(context)
        share_members(context)


def is_due(context: RegistryContext, task: str, period: float, now: float) -> bool:
    """Tell whether a periodic task must run now; if so, record the run."""
    if now - context.last_runs.get(task, 0.0) < period:
        return False

    context.last_runs[task] = now
    return True


def share_heartbeats(context: RegistryContext) -> None:
    """Forward the heartbeats of upstreams.

    Other controls get those received directly; attached gateways get all.
    """
    heard = tuple((name, *counts) for name, counts in context.heard.items())
    context.heard.clear()
    if heard:
        for link in context.controls.values():
            cast_link(link, ShareHeartbeats(heard=heard))

    everything = tuple(
        (name, held.announcement.incarnation, held.announcement.sequence)
        for name, held in context.fleet.upstreams.items()
    )
    body = ShareHeartbeats(heard=everything)
    for protocol in list_attached(context):
        protocol.cast(body)


def share_members(context: RegistryContext) -> None:
    """Send the list of controls to all gateways and controls."""
    body = list_members(context)
    for protocol in list(context.gateway_links):
        protocol.cast(body)

    for link in context.controls.values():
        cast_link(link, body)


def exchange_reports(context: RegistryContext, now: float) -> None:
    """Send the other controls the aggregate over the attached gateways."""
    known_rollouts = context.state.rollouts.values()
    urgent = any(rollout.state == "in_progress" for rollout in known_rollouts)
    report = make_control_report(context.reports, now, urgent=urgent)
    report = stamp_report(context.reports, report, now)
    for link in context.controls.values():
        cast_link(link, report)


def share_reports(context: RegistryContext, now: float) -> None:
    """Send the attached gateways the aggregate over all gateways."""
    drop_expired(context.reports, now)
    body = sum_fleet(context.reports, now)
    speeds = list_speeds(context, now)
    if speeds:
        body = msgspec.structs.replace(body, speeds=speeds)

    for protocol in list_attached(context):
        protocol.cast(address_totals(context.reports, protocol.remote, body, now))
