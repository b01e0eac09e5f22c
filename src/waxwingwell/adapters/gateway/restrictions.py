"""Restrictions on the requests that all gateways together send to an upstream."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...routing.limits import OVERSHOOT
from ...routing.limits import SLACK
from ...routing.limits import WINDOW_SECONDS
from ...routing.limits import find_rate
from ...routing.limits import find_rest_seconds
from ...routing.load import MAX_TOTAL_AGE_SECONDS
from ...routing.load import count_gateways
from ...routing.load import count_reported_gateways
from ...routing.load import get_total_load
from ...routing.permits import compute_permit_rate
from ...routing.permits import has_permit
from ...routing.permits import use_permit
from ...routing.permits import want_permit
from ...routing.placement_cost import CALL_MS
from ...routing.retries import count_requests
from ...routing.room import INTERVAL_SECONDS
from ...routing.room import LAG_SECONDS
from ...routing.room import Room
from ...routing.room import compute_fill_rate
from ...routing.room import count_reserved_slots
from ...routing.room import is_ample
from ...routing.room import is_brittle
from ...routing.room import may_fill
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
ROOM_PERMIT_SECONDS = 0.5
"""The same for a brittle upstream that is nearly full, as its room changes quickly."""
ROOM_WINDOW_SECONDS = 1.0
"""Window in which a brittle upstream counts its rejections."""
STREAM_SECONDS = 1.0
"""Least time for which a stream holds a slot."""
ALONE_PART = 0.5
"""Part of a limit that gateways without a control may use. Permits that others
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


def has_restrictions(context: GatewayContext, service: Service) -> bool:
    """Return whether any upstream of a service may be restricted at present."""
    limits = context.limits
    stated = limits.upstreams or limits.rests or context.brittle.services
    return bool(stated) or service.warm_up_rate > 0.0


def may_use(
    context: GatewayContext, service: Service, upstream: Announcement, now: float
) -> bool:
    """Return whether this gateway may send a request to an upstream now.

    If it lacks a permit, one is requested with the next report.
    """
    if is_resting(context, upstream, now):
        return False

    room = find_room(context, service, upstream, now)
    if room is not None and not may_enter(context, service, room, now):
        return False

    restrictions = find_restrictions(context, service, upstream, room, now)
    if not restrictions:
        return True

    granting = has_granting_control(context, now)
    permits = [one for one in restrictions if granting and one.permit_rate > 0.0]
    if permits and not may_use_permit(context, upstream.upstream, permits, now):
        return False

    return all(
        may_use_alone(context, upstream.upstream, one, now)
        for one in restrictions
        if one not in permits
    )


def is_resting(context: GatewayContext, upstream: Announcement, now: float) -> bool:
    """Return whether an upstream has asked this gateway for rest."""
    return get_rest_seconds(context, upstream, now) > 0.0


def get_rest_seconds(
    context: GatewayContext, upstream: Announcement, now: float
) -> float:
    """Return the seconds for which an upstream wants no request of this gateway."""
    limits = context.limits
    return find_rest_seconds(limits, upstream.upstream, upstream.incarnation, now)


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
    context: GatewayContext,
    service: Service,
    upstream: Announcement,
    room: Room | None,
    now: float,
) -> list[Restriction]:
    """Return the restrictions on an upstream; few have any."""
    restrictions = []
    rate = find_rate(context.limits, upstream.upstream, upstream.incarnation, now)
    if rate is not None:
        restrictions.append(restrict_rate(context, rate))

    if room is not None and not has_fresh_totals(context, now):
        restrictions.append(restrict_unknown(room))
    elif room is not None and not is_ample(room):
        restrictions.append(restrict_entries(room))

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
    """Return the restriction on a cold upstream, which needs no permits.

    It is slow as well, so that little is gained by using more of its limit.
    """
    limit = compute_limit(service, context.settings.warm_up)
    return Restriction(limit, WARM_UP_WINDOW_SECONDS, 0.0, 0.0)


def restrict_entries(room: Room) -> Restriction:
    """Return the restriction on a brittle upstream that is nearly full."""
    return Restriction(
        ALONE_PART * room.free,
        ROOM_WINDOW_SECONDS,
        compute_fill_rate(room),
        ROOM_PERMIT_SECONDS,
    )


def restrict_unknown(room: Room) -> Restriction:
    """Return the restriction on a brittle upstream whose load is not known."""
    return Restriction(room.slots, ROOM_WINDOW_SECONDS, 0.0, 0.0)


def has_fresh_totals(context: GatewayContext, now: float) -> bool:
    """Return whether what the other gateways run is known as well as it can be."""
    return now - context.load.others_at <= LAG_SECONDS


def find_room(
    context: GatewayContext, service: Service, upstream: Announcement, now: float
) -> Room | None:
    """Return the room of a brittle upstream, or None of any other."""
    if not is_brittle(context.brittle, service.name, now):
        return None

    slots = upstream.slots or service.slots or 1
    running = get_total_load(context.load, upstream.upstream).running
    reserved = count_reserved_slots(slots, len(context.controls))
    work = STREAM_SECONDS if service.memory_tokens else CALL_MS / 1000
    return Room(max(slots - running - reserved, 0), slots, work)


def may_enter(
    context: GatewayContext, service: Service, room: Room, now: float
) -> bool:
    """Return whether a brittle upstream has room for a request, as far as is known."""
    if room.free <= 0 or not is_ample(room) or not has_fresh_totals(context, now):
        return room.free > 0

    rate = estimate_request_rate(context, service.name, now)
    return may_fill(room, rate, context.random.random)


def estimate_request_rate(context: GatewayContext, service: str, now: float) -> float:
    """Return the rate at which all gateways try to place requests of a service.

    Waiting requests try again with each totals; the others are assumed to have as many
    of them as this gateway.
    """
    gateways = count_gateways(context.load)
    limits = context.settings.retries
    requests = count_requests(context.retries, service, limits, gateways, now)
    return requests / limits.window + context.waiting * gateways / INTERVAL_SECONDS


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


def record_send(context: GatewayContext, upstream: str, now: float) -> float:
    """Record a request for an upstream, and use up its permit; return the end of it."""
    record_request(context.warm_up, upstream, now)
    return use_permit(context.permits, upstream, now)


def is_restricted(
    context: GatewayContext, service: Service, upstream: Announcement, now: float
) -> bool:
    """Return whether an upstream takes a limited number of requests at present."""
    if not has_restrictions(context, service):
        return False

    room = find_room(context, service, upstream, now)
    return bool(find_restrictions(context, service, upstream, room, now))


def estimate_permit_seconds(context: GatewayContext) -> float:
    """Return the expected seconds until this gateway gets a permit."""
    rates = [need.rate for need in context.permits.needs.values() if need.requests]
    gateways = count_reported_gateways(context.load)
    return gateways / sum(rates) if sum(rates) > 0 else math.inf
