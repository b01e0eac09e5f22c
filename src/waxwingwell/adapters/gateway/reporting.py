"""Reports of a gateway to the control that it is attached to."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from ...routing.engine_paces import forget_reported
from ...routing.gateway_room import is_ample
from ...routing.gateway_room import report_room
from ...routing.lateness import estimate_lateness
from ...routing.limits import list_states
from ...routing.load import count_known_gateways
from ...routing.load import list_own_load
from ...routing.load import sum_recent_prefill
from ...routing.lost_counts import FormerTable
from ...routing.lost_counts import find_former
from ...routing.messages import FormerCounts
from ...routing.messages import GatewayReport
from ...routing.messages import RelayGateway
from ...routing.messages import ShareNews
from ...routing.names import number_process
from ...routing.permits import take_requests
from ...routing.prefixes import list_unreported_blocks
from ...routing.prefixes import mark_reported
from ...routing.quarantine import list_evidence
from ...routing.quarantine import list_unreported
from ...routing.reachability import has_lost_path
from ...routing.rests import list_own_rests
from ...routing.retries import list_retries
from ...routing.room import list_statements
from ...routing.sessions import list_kept_sessions
from ...routing.tallies import list_evidence as list_version_evidence
from ..events import log_event
from ..links import cast_link
from ..links import is_link_up
from .pacing import list_reported_paces
from .request_queue import list_demand
from .request_queue import list_workspaces


if TYPE_CHECKING:
    from typing import Any

    from ...routing.messages import CrashEvidence
    from .context import GatewayContext


EVIDENCE_SECONDS = 1.0
"""Seconds between reports of all evidence on crashes."""


def send_report(context: GatewayContext) -> None:
    """Send the attached control this gateway's load, retries and version evidence."""
    link = context.controls.get(context.attached_control)
    if link is None or not is_link_up(link):
        attach_to_control(context)
        link = context.controls.get(context.attached_control)

    if link is None:
        return

    record_control_change(context, link.protocol)
    report = make_report(context)
    if cast_link(link, report):
        record_reported_evidence(context, report)
        forget_reported(context.paces, report.paces or (), context.clock())
        context.lateness.sent.append(report)
        context.reported_use = report.use
        context.reported_work = report.work
        context.reported_retries = report.repeats
        context.reported_to = context.attached_control
        context.reported_demand = report.demand or ()
        context.reported_workspaces = report.workspaces or ()
        mark_reported(context.prefixes, report.read)


def record_control_change(context: GatewayContext, protocol: Any) -> None:
    """Record what was reported over the connection before, if that was lost.

    Its control may have ended, and the others then count what it had.
    """
    before = context.reported_over
    if protocol is before:
        return

    context.reported_over = protocol
    context.former = FormerTable()
    if before is not None and before.closed.called:
        counts = FormerCounts(context.reported_to, context.reported_retries)
        context.former = FormerTable(counts, context.clock())


def report_crashes(context: GatewayContext) -> None:
    """Send all controls the evidence on crashes that was not reported yet.

    The attached one may stand still, and this process may end before another is chosen.
    """
    crashes = list_unreported(context.quarantine, context.clock())
    for name, link in context.controls.items():
        if name != context.attached_control:
            cast_link(link, ShareNews(news=(), crashes=crashes))

    send_report(context)


def make_report(context: GatewayContext) -> GatewayReport:
    """Return the report for a control."""
    now = context.clock()
    session_lifetime = context.settings.session_life
    return GatewayReport(
        gateway=context.settings.node,
        run=number_process(context.retries.began_at),
        use=list_own_load(context.load),
        evidence=list_version_evidence(context.tallies, now),
        work=sum_recent_prefill(context.load, now),
        held=context.routing_index,
        kept=list_kept_sessions(
            context.sessions, context.rollouts.values(), session_lifetime, now
        ),
        repeats=list_retries(context.retries, context.settings.retries, now),
        read=list_unreported_blocks(context.prefixes),
        reported_at=now,
        gateways=count_known_gateways(context.load),
        late=estimate_lateness(context.lateness, now) or msgspec.UNSET,
        permits=take_requests(context.permits, now),
        limits=list_states(context.limits, now),
        brittle=list_statements(context.brittle, now),
        relay=make_relay_offer(context),
        lost_path=has_lost_path(context.path),
        crashes=list_reported_evidence(context, now),
        refused=tuple(context.refused_blocks),
        demand=list_demand(context.queues, context.load, now) or msgspec.UNSET,
        workspaces=list_workspaces(context.queues, context.exchanges) or msgspec.UNSET,
        room=make_room_field(context),
        paces=list_reported_paces(context, now) or msgspec.UNSET,
        former=find_former(context.former, context.settings.retries.window, now),
        rests=list_own_rests(context.limits, context.settings.node, now)
        or msgspec.UNSET,
    )


def make_room_field(context: GatewayContext) -> float | msgspec.UnsetType:
    """Return the room for a report; unset while it is ample, to save its bytes."""
    room = report_room(context.room)
    return msgspec.UNSET if is_ample(room) else round(room, 2)


def list_reported_evidence(
    context: GatewayContext, now: float
) -> tuple[CrashEvidence, ...]:
    """Return the evidence on crashes for a report: all of it once in a while.

    Controls that have restarted know only what gateways tell them.
    """
    if now - context.evidence_reported_at >= EVIDENCE_SECONDS:
        full = list_evidence(context.quarantine, now)
        return tuple({*full, *list_unreported(context.quarantine, now)})

    return list_unreported(context.quarantine, now)


def record_reported_evidence(context: GatewayContext, report: GatewayReport) -> None:
    """Record that the evidence and the refusals of a report were sent."""
    context.quarantine.unreported.clear()
    context.refused_blocks.clear()
    now = context.clock()
    if now - context.evidence_reported_at >= EVIDENCE_SECONDS:
        context.evidence_reported_at = now


def make_relay_offer(context: GatewayContext) -> RelayGateway | None:
    """Return how others reach this gateway as a relay, or None if it can't be one."""
    settings = context.settings
    if settings.relay is None or context.stopping or context.index is None:
        return None

    if has_lost_path(context.path):
        return None

    return RelayGateway(settings.node, *settings.relay, settings.data_centre)


def attach_to_control(context: GatewayContext) -> None:
    """Attach to a random reachable control, preferably in this data centre.

    Reports and totals are most of the traffic between gateways and controls, and
    traffic between data centres is expensive. The random choice spreads the gateways
    over the controls.
    """
    up = [name for name, link in context.controls.items() if is_link_up(link)]
    local_controls = [name for name in up if name in context.local_controls]
    former, context.attached_control = (
        context.attached_control,
        context.random.choice(local_controls or up or [""]),
    )
    if context.attached_control != former:
        detach_from_control(context, former)
        log_event(
            "gateway: Reports go to", control=context.attached_control, before=former
        )


def detach_from_control(context: GatewayContext, control: str) -> None:
    """Send a former control a report without load and retries.

    Another control counts the gateway's requests and retries now.
    """
    link = context.controls.get(control)
    if link is None or not is_link_up(link):
        return

    report = make_report(context)
    cast_link(
        link,
        msgspec.structs.replace(
            report,
            use=(),
            work=0.0,
            repeats=(),
            read=(),
            permits=(),
            demand=msgspec.UNSET,
            workspaces=msgspec.UNSET,
            paces=msgspec.UNSET,
        ),
    )
