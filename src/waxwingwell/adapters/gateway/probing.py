"""Evidence on the path to the upstreams, and probes of a lost one."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.delays import explains_timeout
from ...routing.fleet import UpstreamState
from ...routing.health import forget_unreachable
from ...routing.limits import find_rate
from ...routing.reachability import has_lost_path
from ...routing.reachability import is_suspect
from ...routing.reachability import record_failed_probe
from ...routing.reachability import record_failure
from ...routing.reachability import record_response
from ...routing.reachability import should_probe
from ..events import log_event
from ..http.client import CallHandlers
from ..http.client import UpstreamCall
from .reporting import send_report
from .restrictions import is_resting
from .sending import find_call_traffic
from .statements import record_pauses


if TYPE_CHECKING:
    from ...routing.fleet import Announcement
    from ...routing.fleet import Upstream
    from ..http.client import ResponseEnd
    from ..http.records import HeaderList
    from .context import GatewayContext


PROBE_SECONDS = 1.0
"""Longest time for the response to a probe."""
PROBE_CONNECT_SECONDS = 0.4
SUSPECT_PROBES = 3
"""Upstreams that are probed at once while the path is suspect."""


def record_reached(context: GatewayContext, now: float) -> None:
    """Record that an upstream has responded on a new connection."""
    lost_at = context.path.lost_at
    if record_response(context.path):
        forget_unreachable(context.health, now)
        log_event("gateway: Path restored", lost_ms=round((now - lost_at) * 1000))
        send_report(context)


def record_unanswered(context: GatewayContext, upstream: str, now: float) -> None:
    """Record that an upstream was not reached, or did not respond at all."""
    known = len(list_serving(context))
    if record_failure(context.path, upstream, known, now):
        log_event(
            "gateway: Path lost",
            upstreams=sorted(context.path.failed),
            relays=len(context.relays),
        )
        send_report(context)

    probe_path(context)


def probe_path(context: GatewayContext) -> None:
    """Ask upstreams for their health if a probe is due.

    A path that is suspect is probed at several upstreams that have not failed yet, so
    that a loss is soon certain. One is enough to find a lost path back, which is probed
    also while this gateway is late.
    """
    now = context.clock()
    is_own = explains_timeout(context.delays, PROBE_CONNECT_SECONDS, now)
    if is_own and not has_lost_path(context.path):
        return

    if not should_probe(context.path, now):
        return

    candidates = list_probed(context, now)
    count = 1
    if is_suspect(context.path):
        failed = context.path.failed
        candidates = [one for one in candidates if one.upstream not in failed]
        count = SUSPECT_PROBES

    for upstream in context.random.sample(candidates, min(count, len(candidates))):
        send_probe(context, upstream)


def list_serving(context: GatewayContext) -> list[Upstream]:
    """Return the upstreams that serve, but for evacuated ones."""
    return [
        held
        for held in context.fleet.upstreams.values()
        if held.announcement.state is UpstreamState.SERVING
        and held.announcement.data_centre not in context.evacuated
    ]


def list_probed(context: GatewayContext, now: float) -> list[Announcement]:
    """Return the upstreams that may be probed.

    Cold ones, and those that name a limit, are probed only if there are no others; one
    that rests is not, as a probe is a request.
    """
    serving = [
        held
        for held in list_serving(context)
        if not is_resting(context, held.announcement, now)
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
        now = context.clock()
        facts = context.dialect.read_response(status, headers)
        record_pauses(context, upstream, facts, now)
        record_reached(context, now)

    def handle_end(end: ResponseEnd, sent: bool) -> None:
        if timer.active():
            timer.cancel()

        handle_failure()

    def expire() -> None:
        call.cancel()
        handle_failure()

    def handle_failure() -> None:
        if explains_timeout(context.delays, PROBE_SECONDS, context.clock()):
            return

        record_failed_probe(context.path)
        record_unanswered(context, upstream.upstream, context.clock())

    services = context.index.services if context.index is not None else {}
    service = services.get(upstream.service)
    path = service.health_path if service is not None else ""
    host = f"{upstream.host}:{upstream.port}".encode()
    timer = context.reactor.callLater(PROBE_SECONDS, expire)
    call = UpstreamCall(
        reactor=context.reactor,
        address=(upstream.host, upstream.port),
        make_request=lambda: (
            b"GET",
            (path or "/").encode(),
            [(b"Host", host)],
            (),
        ),
        handlers=CallHandlers(
            on_head=handle_head, on_data=lambda _: None, on_end=handle_end
        ),
        connect_timeout=PROBE_CONNECT_SECONDS,
        traffic=find_call_traffic(context, upstream, relayed=False),
    )
