"""What a gateway hears from the controls, and tells them."""

from __future__ import annotations

import math
import zlib
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from ...routing.fleet import drop_tombstones
from ...routing.fleet import refresh
from ...routing.fleet import take_news
from ...routing.load import list_use
from ...routing.load import read_work
from ...routing.load import take_sum
from ...routing.lookup import index_document
from ...routing.messages import FleetReport
from ...routing.messages import GatewayReport
from ...routing.messages import NotAccepted
from ...routing.messages import ShareHeartbeats
from ...routing.messages import ShareMembers
from ...routing.messages import ShareNews
from ...routing.messages import ShareRouting
from ...routing.messages import VersionEvidence
from ...routing.prefixes import drop_news
from ...routing.prefixes import list_news
from ...routing.prefixes import take_told
from ...routing.records import Document
from ...routing.retries import list_repeats
from ...routing.retries import take_repeats
from ...routing.sessions import list_kept
from ...routing.sessions import note_moves
from ...routing.sessions import take_kept
from ..connections import make_tcp_connector
from ..events import log_event
from ..links import cast_link
from ..links import close_link
from ..links import is_link_up
from ..links import open_link
from .waiting import admit_all


if TYPE_CHECKING:
    from ...messages import Message
    from .context import GatewayContext


def take_call(sender: str, body: Any) -> Deferred[Message]:
    """Answer a call: nobody has a reason to call a gateway."""
    reason = f"{type(body).__name__} from {sender} is not understood"
    return succeed(NotAccepted(reason=reason))


def take_cast(context: GatewayContext, sender: str, body: Any) -> None:
    """Take in what a control tells."""
    now = context.clock()
    context.heard_at = now
    if isinstance(body, ShareRouting):
        take_routing(context, body)
    elif isinstance(body, ShareNews):
        for news in body.news:
            take_news(context.fleet, news, now)
    elif isinstance(body, ShareHeartbeats):
        refresh(context.fleet, body.heard, now)
        context.fleet_at = now
        drop_tombstones(context.fleet, now)
    elif isinstance(body, ShareMembers):
        know_controls(context, body)
        note_place(context, sender, body.data_centre)
    elif isinstance(body, FleetReport):
        take_sum(
            context.load,
            body.use,
            context.reported,
            work=body.work - context.reported_work,
            gateways=body.gateways,
            now=now,
        )
        take_repeats(context.retries, body.repeats, context.reported_repeats, now)
        take_told(context.prefixes, body.read, now)
        take_kept(context.sessions, body.kept, body.held)


def take_routing(context: GatewayContext, body: ShareRouting) -> None:
    """Take state into force unless a newer one is held.

    Failure: a control that lags behind shares an older state; were it taken, keys and
    routes that were removed would work again.
    """
    if body.index <= context.routing_index:
        return

    held = -1 if context.index is None else context.index.document.version
    if body.document and body.version > held:
        data = zlib.decompress(body.document)
        document = msgspec.msgpack.decode(data, type=Document)
        context.index = index_document(document)
        log_event(
            "gateway: Document in force",
            version=document.version,
            index=body.index,
            routes=len(document.routes),
        )
        held = document.version

    if held < body.version:
        return

    context.routing_index = body.index
    context.rollouts = {rollout.service: rollout for rollout in body.rollouts}
    note_moves(context.sessions, body.rollouts, body.index)
    if context.index is not None:
        admit_all(context.room)


def know_controls(context: GatewayContext, body: ShareMembers) -> None:
    """Connect to the controls there are, and let go of those that are gone."""
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
    """Open a link to a control unless there is one."""
    if name in context.controls or context.node is None or context.stopping:
        return

    connect = make_tcp_connector(context.reactor, name, context.settings.link_port)
    context.controls[name] = open_link(context.node, name, connect)


def note_place(context: GatewayContext, control: str, data_centre: str) -> None:
    """Note whether a control is near; report to one that is, once there is one."""
    if data_centre != context.settings.data_centre:
        context.near.discard(control)
        return

    context.near.add(control)
    if context.home not in context.near:
        choose_home(context)


def report_use(context: GatewayContext) -> None:
    """Tell one control what we have running and what answers we saw."""
    link = context.controls.get(context.home)
    if link is None or not is_link_up(link):
        choose_home(context)
        link = context.controls.get(context.home)

    if link is None:
        return

    report = make_report(context)
    if cast_link(link, report):
        context.reported = report.use
        context.reported_work = report.work
        context.reported_repeats = report.repeats
        drop_news(context.prefixes, report.read)


def make_report(context: GatewayContext) -> GatewayReport:
    """Return what we tell a control."""
    evidence = tuple(
        VersionEvidence(
            service=service,
            version=version,
            answers=tally.answers,
            failures=tally.failures,
            seconds=tally.seconds,
        )
        for (service, version), tally in context.tallies.items()
    )
    now = context.clock()
    life = context.settings.session_life
    return GatewayReport(
        gateway=context.settings.node,
        run=run_of(context),
        use=list_use(context.load),
        evidence=evidence,
        work=read_work(context.load, now),
        held=context.routing_index,
        kept=list_kept(context.sessions, context.rollouts.values(), life, now),
        repeats=list_repeats(context.retries, context.settings.retries, now),
        read=list_news(context.prefixes),
    )


def run_of(context: GatewayContext) -> int:
    """Return what tells this process from others of the same gateway."""
    began_at = context.retries.began_at
    return round(began_at * 1000) if math.isfinite(began_at) else 0


def choose_home(context: GatewayContext) -> None:
    """Report to a control that can be reached, to one in our data centre if any can.

    Reports and sums are most of what gateways and controls tell each other, and bytes
    between data centres are dear. A lot spreads gateways over the controls.
    """
    up = [name for name, link in context.controls.items() if is_link_up(link)]
    near = [name for name in up if name in context.near]
    former, context.home = context.home, context.random.choice(near or up or [""])
    if context.home != former:
        leave_home(context, former)
        log_event("gateway: Reports go to", control=context.home, before=former)


def leave_home(context: GatewayContext, control: str) -> None:
    """Tell the former home that another control counts our requests and repeats."""
    link = context.controls.get(control)
    if link is None or not is_link_up(link):
        return

    report = make_report(context)
    cast_link(
        link, msgspec.structs.replace(report, use=(), work=0.0, repeats=(), read=())
    )
