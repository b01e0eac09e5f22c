"""Cold upstreams, and limits that all gateways keep without messages.

A cold upstream crashes if it gets many requests within a second. Controls grant permits
for such requests, but the limit also holds for gateways that have no contact with any
control. Of these, a gateway that has a whole request of the limit to itself sends that
many; of more gateways, each draws whether it may send one, so that few of them do at
the same time.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest


if TYPE_CHECKING:
    from .fleet import Upstream
    from .health import HealthTable
    from .records import Service


WINDOW_SECONDS = 1.0
"""Seconds in which a cold upstream may get the requests of its limit."""
CONNECT_SECONDS = 0.4
"""Seconds by which opening a connection may delay a request; a later one may arrive
together with it."""
MAX_WINDOW_SECONDS = 4.0
"""Longest window of any limit on the requests to an upstream."""
DEVIATIONS = 6.0
"""Standard deviations between the expected number of requests and the limit."""
SILENT_SECONDS = 3.0
"""Seconds without a heartbeat after which an upstream may have restarted: twice the
interval of heartbeats, and the time that they take through the controls."""
DRAW_RANGE = 1 << 32


@dataclass(frozen=True, slots=True)
class WarmUpLimits:
    """Limits on the requests that a cold upstream gets within one second.

    The limit is the tolerated rate times ``overshoot``, plus ``slack`` requests.
    """

    overshoot: float = 1.0
    slack: float = 0.0

    def __post_init__(self) -> None:
        """Check the limits; raise ``ValueError`` with the field's name."""
        for name in ("overshoot", "slack"):
            value = getattr(self, name)
            if not value >= 0.0:
                raise ValueError(f"warm_up.{name} is {value} and must not be negative")


@dataclass(slots=True)
class WarmUpTable:
    """This gateway's latest requests, and the evacuations that were withdrawn."""

    sent: deque[tuple[float, str]] = field(default_factory=deque)
    """Times and upstreams of the requests within the longest window."""
    returned_at: dict[str, float] = field(default_factory=dict)
    """Time at which a data centre's evacuation was withdrawn, as known here."""
    began_at: float = -math.inf
    """Start time of this gateway, which does not know its requests before."""


def record_request(table: WarmUpTable, upstream: str, now: float) -> None:
    """Record a request that is sent to an upstream."""
    kept_seconds = MAX_WINDOW_SECONDS + CONNECT_SECONDS
    while table.sent and table.sent[0][0] < now - kept_seconds:
        table.sent.popleft()

    table.sent.append((now, upstream))


def record_return(table: WarmUpTable, data_centre: str, now: float) -> None:
    """Record that a data centre's evacuation was withdrawn."""
    table.returned_at[data_centre] = now


def is_cold(
    table: WarmUpTable,
    held: Upstream,
    service: Service,
    health: HealthTable,
    *,
    heartbeats_at: float,
    now: float,
) -> bool:
    """Return whether an upstream is cold, or may have become cold unnoticed.

    Its heartbeats say so, but late. It may be cold after its data centre was evacuated,
    after it could not be reached, and after heartbeats failed to arrive.
    ``heartbeats_at`` is the time of the last heartbeats of any upstream.
    """
    if service.warm_up_rate <= 0:
        return False

    if held.cold_until > now:
        return True

    data_centre = held.announcement.data_centre
    returned_at = table.returned_at.get(data_centre, -math.inf)
    if now - returned_at < service.warm_up_seconds:
        return True

    if heartbeats_at - held.heard_at > SILENT_SECONDS:
        return True

    known = health.upstreams.get(held.announcement.upstream)
    if known is None or known.backoff <= 0:
        return False

    return now < known.backoff_until + service.warm_up_seconds


def compute_limit(service: Service, limits: WarmUpLimits) -> float:
    """Return how many requests a cold upstream may get within ``WINDOW_SECONDS``."""
    return service.warm_up_rate * limits.overshoot * WINDOW_SECONDS + limits.slack


def may_send_alone(
    table: WarmUpTable,
    upstream: str,
    limit: float,
    window: float,
    *,
    gateway: str,
    gateways: float,
    now: float,
) -> bool:
    """Return whether a gateway without a control may send a request to an upstream.

    ``limit`` is the number of requests that ``gateways`` may send together within
    ``window`` seconds.
    """
    since = now - window - CONNECT_SECONDS
    if table.began_at > since:
        return False

    recent = sum(1 for at, name in table.sent if name == upstream and at > since)
    own_share = math.floor(limit / gateways)
    if own_share >= 1:
        return recent < own_share

    if recent:
        return False

    slot = math.floor(now / window)
    key = f"{gateway}/{upstream}/{slot}".encode()
    drawn = xxh32_intdigest(key) / DRAW_RANGE
    return drawn < count_expected(limit) / gateways


def count_expected(limit: float) -> float:
    """Return how many requests per slot may be expected so that the limit is kept.

    A second overlaps two slots. The number of gateways that draw a request in them
    varies by the square root of its mean; the limit is ``DEVIATIONS`` of that above the
    mean.
    """
    half = DEVIATIONS / 2
    root = math.sqrt(half * half + limit) - half
    return root * root / 2
