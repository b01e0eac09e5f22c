"""What a registry process tells gateways and other controls, and hears from them."""

from __future__ import annotations

import zlib
from ipaddress import ip_address
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from ...routing.fleet import drop_tombstones
from ...routing.fleet import refresh
from ...routing.fleet import take_news
from ...routing.messages import ControlReport
from ...routing.messages import GatewayReport
from ...routing.messages import NotAccepted
from ...routing.messages import ReadRouting
from ...routing.messages import ShareHeartbeats
from ...routing.messages import ShareMembers
from ...routing.messages import ShareNews
from ...routing.messages import ShareRouting
from ...routing.messages import SubmitRouting
from ...routing.reports import drop_old
from ...routing.reports import make_control_report
from ...routing.reports import sum_fleet
from ...routing.reports import take_control_report
from ...routing.reports import take_report
from ...state.consensus.messages import ConsensusMessage
from ...state.consensus.records import name_of
from ...state.group import allow_name
from ...state.group import receive_message
from ...state.routing import version_of
from ..connections import make_tcp_connector
from ..events import log_event
from ..links import cast_link
from ..links import close_link
from ..links import is_link_up
from ..links import open_link
from ..measures import LINKS
from .context import Sent
from .members import is_current
from .members import read_here
from .members import request_flush
from .members import submit_here


if TYPE_CHECKING:
    from ...messages import Message
    from ...routing.fleet import Announcement
    from ..links import LinkProtocol
    from .context import RegistryContext


HEARTBEAT_SECONDS = 1.0
"""Between two rounds of upstreams' heartbeats to gateways."""
REPORT_SECONDS = 0.25
"""Between two sums of what gateways have running."""
EXCHANGE_SECONDS = 0.125
"""Between two reports of a control to the others; their age adds to the sums'."""
MEMBER_SECONDS = 2.0
COMPRESSION = 6


def is_control(name: str) -> bool:
    """Tell whether a process is a control: these are named by their address."""
    try:
        ip_address(name)
    except ValueError:
        return False

    return True


def take_greeting(context: RegistryContext, protocol: LinkProtocol) -> None:
    """Learn of another control, and give whoever connected all that it may lack.

    Failure: a control restarts without its memory. It would hear of an upstream only
    when that one changes, and its gateways would take the others for dead.
    """
    if protocol in context.peers or protocol not in context_accepted(context):
        return

    if is_control(protocol.remote):
        know_control(context, protocol.remote)
        protocol.cast(ShareNews(news=list_news(context)))
        return

    context.peers[protocol] = Sent()
    LINKS.set(len(context.peers))
    protocol.closed.addCallback(lambda _: forget_gateway(context, protocol))
    log_event("registry: Gateway connected", gateway=protocol.remote)
    protocol.cast(list_members(context))
    protocol.cast(ShareNews(news=list_news(context)))
    share_routing(context, context.clock())


def context_accepted(context: RegistryContext) -> set[LinkProtocol]:
    """Return the connections that others opened to us."""
    return set() if context.node is None else context.node.accepted


def forget_gateway(context: RegistryContext, protocol: LinkProtocol) -> None:
    """Note that a gateway's connection ended."""
    context.peers.pop(protocol, None)
    LINKS.set(len(context.peers))
    log_event("registry: Gateway disconnected", gateway=protocol.remote)


def know_control(context: RegistryContext, name: str) -> None:
    """Open a link to a control that we did not know."""
    if name in context.controls or name == context.settings.address:
        return

    if context.node is None or context.stopping:
        return

    connect = make_tcp_connector(context.reactor, name, context.settings.link_port)
    context.controls[name] = open_link(context.node, name, connect)
    allow_member(context, name)


def allow_member(context: RegistryContext, name: str) -> None:
    """Let a control be asked to take us in.

    Failure: a control whose seeds are all gone would have nobody to join. Not while the
    whole system starts for the first time: the first of the names founds the group, and
    a name that is no seed's would take that turn and never use it.
    """
    if context.group is not None and not context.settings.found:
        allow_name(context.group, name)


def follow_members(context: RegistryContext) -> None:
    """Connect to the members of the group, and leave those whose place is taken.

    Failure: all controls restart with settings whose seeds are gone. Each holds the
    members on its disk, and none would ever call another.
    """
    group = context.group
    if group is None:
        return

    membership = group.replica.membership
    present = {name_of(one) for one in membership.voters + membership.learners}
    removed = {name_of(one) for one in membership.removed} - present
    for name in present:
        know_control(context, name)

    for name in removed & context.controls.keys():
        close_link(context.controls.pop(name))


def list_members(context: RegistryContext) -> ShareMembers:
    """Return the controls that others may connect to."""
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


def list_news(context: RegistryContext) -> tuple[Announcement, ...]:
    """Return the latest news of every upstream known."""
    return tuple(held.news for held in context.fleet.upstreams.values())


def share_routing(context: RegistryContext, now: float) -> None:
    """Send gateways the state in force, if it is newer than what they have."""
    group = context.group
    behind = [
        (protocol, sent)
        for protocol, sent in context.peers.items()
        if group is not None and sent.index < group.replica.applied
    ]
    if group is None or not behind or not is_current(context, now):
        return

    index = group.replica.applied
    version = version_of(context.state)
    document = b""
    if any(sent.version < version for _, sent in behind):
        encoded = msgspec.msgpack.encode(context.state.document)
        document = zlib.compress(encoded, COMPRESSION)

    rollouts = tuple(context.state.rollouts.values())
    for protocol, sent in behind:
        body = ShareRouting(
            index=index,
            version=version,
            document=document if sent.version < version else b"",
            rollouts=rollouts,
        )
        if protocol.cast(body):
            sent.index = index
            sent.version = version


def spread_news(context: RegistryContext, news: Announcement) -> None:
    """Take news in, and pass it on if it changes what requests may use."""
    if not take_news(context.fleet, news, context.clock()):
        return

    log_event(
        "registry: Upstream changed",
        upstream=news.upstream,
        state=news.state.value,
        incarnation=news.incarnation,
        sequence=news.sequence,
    )
    send_news(context, ShareNews(news=(news,)))


def send_news(context: RegistryContext, body: ShareNews) -> None:
    """Send news to everyone, and note whom it did not reach."""
    for protocol, sent in context.peers.items():
        sent.news = protocol.cast(body) and sent.news

    for name, link in context.controls.items():
        if not cast_link(link, body):
            context.behind.add(name)


def repeat_news(context: RegistryContext) -> None:
    """Send all news to those whom some did not reach.

    Failure: an upstream's leave was acknowledged while the link to a gateway was full,
    and was dropped. The gateway went on sending requests to it.
    """
    gateways = [protocol for protocol, sent in context.peers.items() if not sent.news]
    context.behind &= context.controls.keys()
    controls = [one for one in context.behind if is_link_up(context.controls[one])]
    if not gateways and not controls:
        return

    body = ShareNews(news=list_news(context))
    for protocol in gateways:
        context.peers[protocol].news = protocol.cast(body)

    for name in controls:
        if cast_link(context.controls[name], body):
            context.behind.discard(name)


def take_call(context: RegistryContext, sender: str, body: Any) -> Deferred[Message]:
    """Answer a call of another control."""
    if isinstance(body, SubmitRouting):
        encoded = msgspec.msgpack.encode(body.command)
        return submit_here(context, body.command, encoded)

    if isinstance(body, ReadRouting):
        return succeed(read_here(context))

    reason = f"{type(body).__name__} from {sender} is not understood"
    return succeed(NotAccepted(reason=reason))


def take_cast(context: RegistryContext, sender: str, body: Any) -> None:
    """Take in a message that expects no answer."""
    if isinstance(body, ConsensusMessage):
        know_control(context, sender)
        if context.group is not None:
            receive_message(context.group, sender, body, context.clock())
            request_flush(context)
    elif isinstance(body, ShareNews):
        for news in body.news:
            spread_news(context, news)
    elif isinstance(body, ShareHeartbeats):
        refresh(context.fleet, body.heard, context.clock())
    elif isinstance(body, GatewayReport):
        take_report(context.reports, body, context.clock())
    elif isinstance(body, ControlReport):
        take_control_report(context.reports, sender, body, context.clock())
    elif isinstance(body, ShareMembers):
        for name in body.controls:
            know_control(context, name)


def run_sharing(context: RegistryContext, now: float) -> None:
    """Do what is due of the periodic sharing."""
    share_routing(context, now)
    repeat_news(context)
    if is_due(context, "exchange", EXCHANGE_SECONDS, now):
        exchange_reports(context, now)

    if is_due(context, "reports", REPORT_SECONDS, now):
        share_reports(context, now)

    if is_due(context, "heartbeats", HEARTBEAT_SECONDS, now):
        share_heartbeats(context)
        drop_tombstones(context.fleet, now)

    if is_due(context, "members", MEMBER_SECONDS, now):
        follow_members(context)
        share_members(context)


def is_due(context: RegistryContext, duty: str, period: float, now: float) -> bool:
    """Tell whether a periodic duty must run now, and note that it does."""
    if now - context.due.get(duty, 0.0) < period:
        return False

    context.due[duty] = now
    return True


def share_heartbeats(context: RegistryContext) -> None:
    """Tell which upstreams still send heartbeats.

    Other controls get what was heard here; gateways that report to us get all.
    """
    heard = tuple((name, *counts) for name, counts in context.heard.items())
    context.heard.clear()
    if heard:
        for link in context.controls.values():
            cast_link(link, ShareHeartbeats(heard=heard))

    everything = tuple(
        (name, held.news.incarnation, held.news.sequence)
        for name, held in context.fleet.upstreams.items()
    )
    body = ShareHeartbeats(heard=everything)
    for protocol in list_homed(context):
        protocol.cast(body)


def share_members(context: RegistryContext) -> None:
    """Tell everyone which controls there are."""
    body = list_members(context)
    for protocol in list(context.peers):
        protocol.cast(body)

    for link in context.controls.values():
        cast_link(link, body)


def list_homed(context: RegistryContext) -> list[LinkProtocol]:
    """Return the connections of gateways that report to this control."""
    homed = context.reports.homed
    return [protocol for protocol in context.peers if protocol.remote in homed]


def exchange_reports(context: RegistryContext, now: float) -> None:
    """Tell the other controls the sum over the gateways that report here."""
    moves = context.state.rollouts.values()
    urgent = any(move.state == "in_progress" for move in moves)
    report = make_control_report(context.reports, now, urgent=urgent)
    for link in context.controls.values():
        cast_link(link, report)


def share_reports(context: RegistryContext, now: float) -> None:
    """Tell the gateways that report here the sum over all."""
    drop_old(context.reports, now)
    body = sum_fleet(context.reports, now)
    for protocol in list_homed(context):
        protocol.cast(body)
