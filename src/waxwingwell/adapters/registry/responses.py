"""What a control sends to the gateways that report to it, and to operators."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

import msgspec

from ...routing.messages import ShareNews
from ...routing.messages import ShareRelays
from ...routing.quarantine import list_outdated
from ...routing.reports import list_relays
from ...routing.reports import must_log_room
from ...routing.reports import name_without_room
from ...routing.reports import respond_to_report
from ...routing.reports import take_ample_relays
from ..events import log_event


if TYPE_CHECKING:
    from ...messages import Message
    from ...routing.messages import GatewayReport
    from ..http.responder import Responder
    from ..links import LinkProtocol
    from .context import RegistryContext


JSON = (b"Content-Type", b"application/json")


def respond_to_gateway(
    context: RegistryContext, gateway: str, report: GatewayReport
) -> None:
    """Send a gateway the permits, limits, relays and evidence that it needs now."""
    now = context.clock()
    responses: list[Message | None] = [respond_to_report(context.reports, report, now)]
    if report.lost_path:
        responses.append(make_relay_list(context, now))
    else:
        if must_log_room(context.reports, report, now):
            log_event("registry: Invalid room dropped", gateway=gateway)

        ample = take_ample_relays(context.reports, report, now)
        responses.append(ShareRelays(relays=ample, ample=True) if ample else None)

    outdated = list_outdated(context.quarantine, report.crashes, now)
    if outdated:
        responses.append(ShareNews(news=(), crashes=outdated))

    needed = [one for one in responses if one is not None]
    if not needed:
        return

    for protocol in context.gateway_links:
        if protocol.remote == gateway:
            for response in needed:
                protocol.cast(response)


def make_relay_list(context: RegistryContext, now: float) -> ShareRelays:
    """Return a list of relays for a gateway."""
    relays = list_relays(context.reports, now)
    without_room = name_without_room(context.reports, relays, now)
    return ShareRelays(relays=relays, without_room=without_room)


def share_relays(context: RegistryContext, now: float) -> None:
    """Send the attached gateways others through which they may reach upstreams.

    Older releases, which do not report how to reach them, get none.
    """
    attached = context.reports.attached
    for protocol in list_attached(context):
        if attached[protocol.remote].report.reported_at is not None:
            protocol.cast(make_relay_list(context, now))


def send_view(
    responder: Responder, status: int, view: Any, *headers: tuple[bytes, bytes]
) -> None:
    """Send an operator a response with a JSON body."""
    responder.send(status, [JSON, *headers], msgspec.json.encode(view))


def list_attached(context: RegistryContext) -> list[LinkProtocol]:
    """Return the connections of the gateways attached to this control."""
    attached = context.reports.attached
    return [
        protocol for protocol in context.gateway_links if protocol.remote in attached
    ]
