"""Evidence on the path to the upstreams, and probes of a lost one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.fleet import UpstreamState
from ...routing.health import forget_unreachable
from ...routing.limits import find_rate
from ...routing.reachability import record_failed_probe
from ...routing.reachability import record_failure
from ...routing.reachability import record_response
from ...routing.reachability import should_probe
from ..events import log_event
from ..http.client import CallHandlers
from ..http.client import UpstreamCall
from .steering import send_report


if TYPE_CHECKING:
    from ...routing.fleet import Announcement
    from ..http.records import HeaderList
    from .context import GatewayContext


PROBE_SECONDS = 1.0
"""Longest time for the response to a probe."""


def record_reached(context: GatewayContext, now: float) -> None:
    """Record that an upstream has responded on a new connection."""
    lost_at = context.path.lost_at
    if record_response(context.path):
        forget_unreachable(context.health, now)
        log_event("gateway: Path restored", lost_ms=round((now - lost_at) * 1000))
        send_report(context)


def record_unanswered(context: GatewayContext, upstream: str, now: float) -> None:
    """Record that an upstream was not reached, or did not respond at all."""
    if record_failure(context.path, upstream, now):
        log_event(
            "gateway: Path lost",
            upstreams=sorted(context.path.failed),
            relays=len(context.relays),
        )
        send_report(context)


def probe_path(context: GatewayContext) -> None:
    """Ask a random upstream for its health if a probe of a lost path is due."""
    now = context.clock()
    if not should_probe(context.path, now):
        return

    candidates = list_probed(context, now)
    if candidates:
        send_probe(context, context.random.choice(candidates))


def list_probed(context: GatewayContext, now: float) -> list[Announcement]:
    """Return the upstreams that may be probed.

    Cold ones, and those that name a limit, are probed only if there are no others.
    """
    serving = [
        held
        for held in context.fleet.upstreams.values()
        if held.announcement.state is UpstreamState.SERVING
        and held.announcement.data_centre not in context.evacuated
    ]
    unlimited = [
        held
        for held in serving
        if held.cold_until <= now
        and find_rate(
            context.limits,
            held.announcement.upstream,
            held.announcement.incarnation,
            now,
        )
        is None
    ]
    return [held.announcement for held in unlimited or serving]


def send_probe(context: GatewayContext, upstream: Announcement) -> None:
    """Ask an upstream for its health; any response shows that there is a path."""

    def handle_head(status: int, headers: HeaderList) -> None:
        timer.cancel()
        call.cancel()
        record_reached(context, context.clock())

    def handle_end(complete: bool, sent: bool) -> None:
        if timer.active():
            timer.cancel()

        record_failed_probe(context.path)

    def expire() -> None:
        call.cancel()
        record_failed_probe(context.path)

    services = context.index.services if context.index is not None else {}
    service = services.get(upstream.service)
    path = service.health_path if service is not None else ""
    host = f"{upstream.host}:{upstream.port}".encode()
    timer = context.reactor.callLater(PROBE_SECONDS, expire)
    call = UpstreamCall(
        reactor=context.reactor,
        address=(upstream.host, upstream.port),
        request=(b"GET", (path or "/").encode(), [(b"Host", host)], b""),
        handlers=CallHandlers(
            on_head=handle_head, on_data=lambda _: None, on_end=handle_end
        ),
        connect_timeout=PROBE_SECONDS,
    )
