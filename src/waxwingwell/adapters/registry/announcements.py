"""Announcements of upstreams and evidence on crashes, passed on to all peers."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.fleet import apply_announcement
from ...routing.fleet import describe_upstream
from ...routing.messages import ShareNews
from ...routing.quarantine import list_repeated
from ...routing.quarantine import merge_evidence
from ...routing.trials import grant_trial
from ...routing.trials import list_trials
from ...routing.trials import may_grant
from ...routing.trials import merge_trials
from ..announcement_checks import take_valid
from ..events import log_event
from ..links import cast_link
from ..links import is_link_up


if TYPE_CHECKING:
    from collections.abc import Collection

    from ...routing.fleet import Announcement
    from ...routing.messages import CrashEvidence
    from ...routing.messages import GatewayReport
    from ...routing.messages import TrialState
    from .context import RegistryContext


def receive_news(context: RegistryContext, sender: str, body: ShareNews) -> None:
    """Apply what another control passes on, and pass on what is new.

    A gateway sends its evidence to all controls itself.
    """
    for announcement in take_valid(body.news):
        broadcast_announcement(context, announcement)

    now = context.clock()
    if sender in context.controls:
        broadcast_evidence(context, body.crashes)
    else:
        changed = merge_evidence(context.quarantine, body.crashes, now)
        share_repeated(context, changed, now)

    broadcast_trials(context, merge_trials(context.trials, body.trials, now))


def list_announcements(context: RegistryContext) -> tuple[Announcement, ...]:
    """Return the latest announcement of every known upstream."""
    now = context.clock()
    return tuple(
        describe_upstream(held, now) for held in context.fleet.upstreams.values()
    )


def list_news(context: RegistryContext) -> ShareNews:
    """Return the message with all announcements and evidence on crashes."""
    now = context.clock()
    return ShareNews(
        news=list_announcements(context),
        crashes=list_repeated(context.quarantine, now, context.quarantine.blocks),
        trials=list_trials(context.trials, now),
    )


def broadcast_announcement(
    context: RegistryContext, announcement: Announcement
) -> None:
    """Apply an announcement, and broadcast it if it affects routing."""
    if not apply_announcement(context.fleet, announcement, context.clock()):
        return

    log_event(
        "registry: Upstream changed",
        upstream=announcement.upstream,
        state=announcement.state.value,
        incarnation=announcement.incarnation,
        sequence=announcement.sequence,
    )
    send_announcements(context, ShareNews(news=(announcement,)))


def broadcast_evidence(
    context: RegistryContext, evidence: Collection[CrashEvidence]
) -> None:
    """Apply evidence on crashes, and broadcast what has changed."""
    if not evidence:
        return

    now = context.clock()
    changed = merge_evidence(context.quarantine, evidence, now)
    if not changed:
        return

    for name, link in context.controls.items():
        if not cast_link(link, ShareNews(news=(), crashes=changed)):
            context.unannounced.add(name)

    share_repeated(context, changed, now)


def share_repeated(
    context: RegistryContext, changed: Collection[CrashEvidence], now: float
) -> None:
    """Send all gateways what is known of changed keys that were in several crashes."""
    shared = list_repeated(context.quarantine, now, (one.block for one in changed))
    if not shared:
        return

    for protocol, sent in context.gateway_links.items():
        delivered = protocol.cast(ShareNews(news=(), crashes=shared))
        sent.announced = delivered and sent.announced


def grant_trials(context: RegistryContext, report: GatewayReport) -> None:
    """Grant the trials that are due to a gateway that gets such requests.

    Only the first of the connected controls grants any, so that there is one at a time;
    each half of a split group may grant one.
    """
    names = [name for name, link in context.controls.items() if is_link_up(link)]
    if not report.refused or any(name < context.settings.address for name in names):
        return

    now = context.clock()
    due = [
        block
        for block in report.refused
        if may_grant(context.trials, context.quarantine, block, now)
    ]
    granted = [grant_trial(context.trials, one, report.gateway, now) for one in due]
    broadcast_trials(context, granted)


def broadcast_trials(context: RegistryContext, trials: Collection[TrialState]) -> None:
    """Pass trials on to all gateways and controls."""
    if not trials:
        return

    log_event("registry: Trials granted", gateways=[one.gateway for one in trials])
    send_announcements(context, ShareNews(news=(), trials=tuple(trials)))


def send_announcements(context: RegistryContext, body: ShareNews) -> None:
    """Send announcements to all gateways and controls; record where that failed."""
    for protocol, sent in context.gateway_links.items():
        sent.announced = protocol.cast(body) and sent.announced

    for name, link in context.controls.items():
        if not cast_link(link, body):
            context.unannounced.add(name)


def resend_announcements(context: RegistryContext) -> None:
    """Send all announcements to the peers that missed one.

    An announcement is dropped if the link to a gateway is full. Without the resend, a
    gateway that missed an acknowledged deregistration would keep sending requests to
    that upstream.
    """
    gateways = [
        protocol
        for protocol, sent in context.gateway_links.items()
        if not sent.announced
    ]
    context.unannounced &= context.controls.keys()
    controls = [one for one in context.unannounced if is_link_up(context.controls[one])]
    if not gateways and not controls:
        return

    body = list_news(context)
    for protocol in gateways:
        context.gateway_links[protocol].announced = protocol.cast(body)

    for name in controls:
        if cast_link(context.controls[name], body):
            context.unannounced.discard(name)
