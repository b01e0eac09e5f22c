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
COLD_PERMIT_SECONDS = 0.5
"""The same for a cold upstream, whose limit holds for a shorter window."""
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
    permit_seconds: float
    """Seconds for which a permit is valid."""
    shared_equally: bool = False
    """Whether no permit is needed while each gateway has a whole request of the limit
    to itself."""


def may_use(
    context: GatewayContext, service: Service, upstream: Announcement, now: float
) -> bool:
    """Return whether this gateway may send a request to an upstream now.

    If it lacks a permit, one is requested with the next report.
    """
    restrictions = find_restrictions(context, service, upstream, now)
    if not restrictions:
        return True

    granting = has_granting_control(context, now)
    gateways = count_reported_gateways(context.load)
    permits = [one for one in restrictions if granting and needs_permit(one, gateways)]
    if permits and not may_use_permit(context, upstream.upstream, permits, now):
        return False

    return all(
        may_use_alone(context, upstream.upstream, one, now)
        for one in restrictions
        if one not in permits
    )


def needs_permit(restriction: Restriction, gateways: float) -> bool:
    """Return whether a gateway in contact with a control needs a permit."""
    if restriction.permit_rate <= 0.0:
        return False

    return not (restriction.shared_equally and restriction.limit >= gateways)


def may_use_permit(
    context: GatewayContext, upstream: str, restrictions: list[Restriction], now: float
) -> bool:
    """Return whether there is a permit for an upstream; if not, want one."""
    if has_permit(context.permits, upstream, now):
        return True

    rate = min(one.permit_rate for one in restrictions)
    valid_seconds = min(one.permit_seconds for one in restrictions)
    want_permit(context.permits, upstream, rate, valid_seconds)
    return False


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
        restrictions.append(restrict_cold(context, service))

    return restrictions


def restrict_rate(context: GatewayContext, rate: float) -> Restriction:
    """Return the restriction to a rate that an upstream names."""
    tolerated = OVERSHOOT * rate * WINDOW_SECONDS
    highest = compute_permit_rate(
        tolerated + SLACK, WINDOW_SECONDS, PERMIT_SECONDS, len(context.controls)
    )
    return Restriction(
        ALONE_PART * tolerated, WINDOW_SECONDS, min(rate, highest), PERMIT_SECONDS
    )


def restrict_cold(context: GatewayContext, service: Service) -> Restriction:
    """Return the restriction on a cold upstream of a service."""
    limit = compute_limit(service, context.settings.warm_up)
    highest = compute_permit_rate(
        limit, WARM_UP_WINDOW_SECONDS, COLD_PERMIT_SECONDS, len(context.controls)
    )
    return Restriction(
        limit,
        WARM_UP_WINDOW_SECONDS,
        min(service.warm_up_rate, highest),
        COLD_PERMIT_SECONDS,
        shared_equally=True,
    )


def may_use_alone(
    context: GatewayContext, upstream: str, restriction: Restriction, now: float
) -> bool:
    """Return whether this gateway may send a request without a control's permit."""
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
