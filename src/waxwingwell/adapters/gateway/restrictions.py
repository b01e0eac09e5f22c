"""Restrictions on the requests that all gateways together send to an upstream."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...routing.limits import OVERSHOOT
from ...routing.limits import SLACK
from ...routing.limits import WINDOW_SECONDS
from ...routing.limits import find_rate
from ...routing.load import MAX_TOTAL_AGE_SECONDS
from ...routing.load import count_reported_gateways
from ...routing.permits import compute_permit_rate
from ...routing.permits import has_permit
from ...routing.permits import use_permit
from ...routing.permits import want_permit
from ...routing.warmup import WINDOW_SECONDS as WARM_UP_WINDOW_SECONDS
from ...routing.warmup import compute_limit
from ...routing.warmup import is_cold
from ...routing.warmup import may_send_alone
from ...routing.warmup import record_request


if TYPE_CHECKING:
    from ...routing.fleet import Announcement
    from ...routing.records import Service
    from .context import GatewayContext


PERMIT_SECONDS = 1.25
"""Seconds for which a permit for an upstream that names a limit is valid."""
ALONE_PART = 0.5
"""Part of a named limit that gateways without a control may use. Permits that others
have used until then count in the same window."""


@dataclass(frozen=True, slots=True)
class Restriction:
    """A limit on the requests that an upstream may get within a window."""

    limit: float
    """Requests that gateways without a control may send within ``window``."""
    window: float
    """Length of the window in seconds."""
    permit_rate: float
    """Permits per second that all controls together may grant; 0 for none."""


def may_use(
    context: GatewayContext, service: Service, upstream: Announcement, now: float
) -> bool:
    """Return whether this gateway may send a request to an upstream now.

    If it lacks a permit, one is requested with the next report.
    """
    return all(
        is_permitted(context, upstream.upstream, restriction, now)
        for restriction in find_restrictions(context, service, upstream, now)
    )


def find_restrictions(
    context: GatewayContext, service: Service, upstream: Announcement, now: float
) -> list[Restriction]:
    """Return the restrictions on an upstream; few have any."""
    restrictions = []
    rate = find_rate(context.limits, upstream.upstream, upstream.incarnation, now)
    if rate is not None:
        restrictions.append(restrict_rate(context, rate))

    held = context.fleet.upstreams[upstream.upstream]
    if is_cold(
        context.warm_up,
        held,
        service,
        context.health,
        heartbeats_at=context.heartbeats_at,
        now=now,
    ):
        limit = compute_limit(service, context.settings.warm_up)
        restrictions.append(Restriction(limit, WARM_UP_WINDOW_SECONDS, 0.0))

    return restrictions


def restrict_rate(context: GatewayContext, rate: float) -> Restriction:
    """Return the restriction to a rate that an upstream names."""
    tolerated = OVERSHOOT * rate * WINDOW_SECONDS
    highest = compute_permit_rate(
        tolerated + SLACK, WINDOW_SECONDS, PERMIT_SECONDS, len(context.controls)
    )
    return Restriction(ALONE_PART * tolerated, WINDOW_SECONDS, min(rate, highest))


def is_permitted(
    context: GatewayContext, upstream: str, restriction: Restriction, now: float
) -> bool:
    """Return whether a restriction allows this gateway a request to an upstream."""
    if restriction.permit_rate > 0.0 and has_granting_control(context, now):
        if has_permit(context.permits, upstream, now):
            return True

        want_permit(context.permits, upstream, restriction.permit_rate, PERMIT_SECONDS)
        return False

    return may_send_alone(
        context.warm_up,
        upstream,
        restriction.limit,
        restriction.window,
        gateway=context.settings.node,
        gateways=count_reported_gateways(context.load),
        now=now,
    )


def has_granting_control(context: GatewayContext, now: float) -> bool:
    """Return whether a control that grants permits has been in contact recently."""
    return now - context.granting_at <= MAX_TOTAL_AGE_SECONDS


def record_send(context: GatewayContext, upstream: str, now: float) -> None:
    """Record a request that is sent to an upstream, and use up its permit."""
    record_request(context.warm_up, upstream, now)
    use_permit(context.permits, upstream, now)


def estimate_permit_seconds(context: GatewayContext, now: float) -> float:
    """Return the expected seconds until this gateway gets a permit."""
    rates = [need.rate for need in context.permits.needs.values() if need.requests]
    gateways = count_reported_gateways(context.load)
    return gateways / sum(rates) if sum(rates) > 0 else math.inf
