"""Permits for requests to upstreams whose limit holds for all gateways together.

Controls grant permits, each at a part of the rate: its attached gateways' part of all
gateways. So the parts of all controls never add up to more than the rate, whichever of
them are cut off from each other. A permit allows one request, is valid for a fraction
of a second, and is returned if it was not used.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .messages import PermitRequest


if TYPE_CHECKING:
    from collections.abc import Iterable


CREDIT_SECONDS = 0.25
"""Seconds of its rate that a control accumulates for one upstream, at least a permit:
gateways report after this time."""


@dataclass(slots=True)
class Bucket:
    """Permits that a control may grant for one upstream."""

    credit: float
    credited_at: float


@dataclass(slots=True)
class GrantTable:
    """A control's permits by upstream."""

    buckets: dict[str, Bucket] = field(default_factory=dict)


@dataclass(slots=True)
class Need:
    """A gateway's need of permits for one upstream."""

    rate: float
    """Permits per second that all controls together may grant."""
    valid_seconds: float
    """Seconds from a report for which the permits granted on it are valid."""
    requests: int = 0
    """Requests since the last report, with a permit or without."""


@dataclass(slots=True)
class PermitTable:
    """A gateway's permits."""

    valid_until: dict[str, list[float]] = field(default_factory=dict)
    """Ends of the unused permits, by upstream."""
    needs: dict[str, Need] = field(default_factory=dict)
    """Needs of permits, by upstream."""
    returned: dict[str, int] = field(default_factory=dict)
    """Permits that were not used in time, since the last report."""


def compute_permit_rate(
    limit: float, window: float, valid_seconds: float, controls: int
) -> float:
    """Return the permits per second that all controls together may grant.

    No more than ``limit`` requests arrive within ``window`` seconds then, even if
    permits are used late and each control has accumulated one.
    """
    spread = window + valid_seconds + CREDIT_SECONDS
    return max(limit - controls, 0.0) / spread


def grant_permits(
    table: GrantTable, requests: Iterable[PermitRequest], part: float, now: float
) -> tuple[str, ...]:
    """Return the upstreams of the permits that a gateway gets, one entry for each.

    ``part`` is the part of all gateways that are attached to this control, 0 to 1.
    """
    granted: list[str] = []
    for request in requests:
        granted += [request.upstream] * settle_request(table, request, part, now)

    return tuple(granted)


def settle_request(
    table: GrantTable, request: PermitRequest, part: float, now: float
) -> int:
    """Take back a gateway's unused permits; return how many new ones it gets."""
    bucket = table.buckets.get(request.upstream)
    if bucket is None:
        bucket = table.buckets[request.upstream] = Bucket(0.0, now)

    earned = request.rate * part * (now - bucket.credited_at)
    most = max(request.rate * part * CREDIT_SECONDS, 1.0)
    bucket.credit = min(bucket.credit + earned + request.returned, most)
    bucket.credited_at = now
    granted = min(request.wanted, int(bucket.credit))
    bucket.credit -= granted
    return granted


def drop_buckets(table: GrantTable, unused_since: float) -> None:
    """Remove the buckets of upstreams for which no gateway has asked lately."""
    table.buckets = {
        upstream: bucket
        for upstream, bucket in table.buckets.items()
        if bucket.credited_at >= unused_since
    }


def has_permit(table: PermitTable, upstream: str, now: float) -> bool:
    """Return whether a request may be sent to a limited upstream now."""
    return any(now < until for until in table.valid_until.get(upstream, ()))


def want_permit(
    table: PermitTable, upstream: str, rate: float, valid_seconds: float
) -> None:
    """Record that a request lacked a permit; ``rate`` is granted to all gateways."""
    need = table.needs.get(upstream)
    if need is None:
        need = table.needs[upstream] = Need(rate, valid_seconds)

    need.rate = rate
    need.valid_seconds = valid_seconds
    need.requests += 1


def use_permit(table: PermitTable, upstream: str, now: float) -> float:
    """Use up one permit if there is a valid one; the next request will need another.

    Returns the end of the permit, infinite if there is none.
    """
    for until in table.valid_until.get(upstream, ()):
        if now < until:
            table.valid_until[upstream].remove(until)
            table.needs[upstream].requests += 1
            return until

    return math.inf


def apply_grants(
    table: PermitTable, upstreams: Iterable[str], reported_at: float, now: float
) -> None:
    """Store permits; those that arrive too late are returned."""
    for upstream in upstreams:
        need = table.needs.get(upstream)
        if need is not None and now < reported_at + need.valid_seconds:
            until = reported_at + need.valid_seconds
            table.valid_until.setdefault(upstream, []).append(until)
        else:
            table.returned[upstream] = table.returned.get(upstream, 0) + 1


def take_requests(table: PermitTable, now: float) -> tuple[PermitRequest, ...]:
    """Return the requests of the next report, with the permits to be returned."""
    for upstream, ends in table.valid_until.items():
        expired = sum(1 for until in ends if until <= now)
        if expired:
            table.returned[upstream] = table.returned.get(upstream, 0) + expired

    table.valid_until = {
        upstream: valid
        for upstream, ends in table.valid_until.items()
        if (valid := [until for until in ends if now < until])
    }
    requests = []
    for upstream, need in table.needs.items():
        returned = table.returned.get(upstream, 0)
        held = len(table.valid_until.get(upstream, ()))
        wanted = max(need.requests - held, 0)
        need.requests = 0
        if wanted or returned:
            requests.append(PermitRequest(upstream, need.rate, wanted, returned))

    table.returned.clear()
    return tuple(requests)
