"""Passive health tracking of upstreams, from the outcome of a gateway's own requests.

There are no active health checks: they cost upstreams' time, and may report a failing
upstream as healthy or a healthy one as failing.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field


MIN_BACKOFF_SECONDS = 1.0
"""Seconds for which an upstream gets no work after it could not be reached."""
MAX_BACKOFF_SECONDS = 8.0
"""Upper bound of the back-off, which doubles with each consecutive failure. Upstreams
that crash are back within a few seconds, or gone for good."""
DECAY_SECONDS = 6.0
"""Time constant of the exponential decay of response and failure counts."""
PRIOR_SUCCESSES = 4.0
"""Successful responses assumed in advance, so that a first failure weighs little."""


@dataclass(slots=True)
class Health:
    """Decayed counts of responses and failures of one upstream, and its back-off."""

    responses: float = 0.0
    failures: float = 0.0
    updated_at: float = 0.0
    backoff: float = 0.0
    backoff_until: float = -math.inf


@dataclass(slots=True)
class HealthTable:
    """Health of upstreams, by id."""

    upstreams: dict[str, Health] = field(default_factory=dict)


def record_response(
    table: HealthTable, upstream: str, now: float, *, failed: bool
) -> None:
    """Count a response, or the lack of one as a failure."""
    health = table.upstreams.setdefault(upstream, Health(updated_at=now))
    decay(health, now)
    health.responses += 1.0
    if failed:
        health.failures += 1.0
    else:
        health.backoff = 0.0


def record_unreachable(table: HealthTable, upstream: str, now: float) -> None:
    """Start a back-off, unless one is in progress.

    It is twice as long as the last one, unless a response has succeeded since.
    """
    health = table.upstreams.setdefault(upstream, Health(updated_at=now))
    if now < health.backoff_until:
        return

    health.backoff = min(
        max(health.backoff * 2, MIN_BACKOFF_SECONDS), MAX_BACKOFF_SECONDS
    )
    health.backoff_until = now + health.backoff


def forget_unreachable(table: HealthTable, since: float) -> None:
    """End the back-offs that last beyond ``since``.

    After this gateway's own path to all upstreams was lost, they say nothing about the
    upstreams.
    """
    for health in table.upstreams.values():
        if health.backoff_until > since:
            health.backoff = 0.0
            health.backoff_until = since


def decay(health: Health, now: float) -> None:
    """Decay the counts to the present time."""
    factor = math.exp(-(now - health.updated_at) / DECAY_SECONDS)
    health.responses *= factor
    health.failures *= factor
    health.updated_at = now


def is_backing_off(table: HealthTable, upstream: str, now: float) -> bool:
    """Return whether an upstream gets no work at present."""
    health = table.upstreams.get(upstream)
    return health is not None and now < health.backoff_until


def failure_rate(table: HealthTable, upstream: str, now: float) -> float:
    """Return the share of recent requests that failed, from 0 to 1."""
    health = table.upstreams.get(upstream)
    if health is None:
        return 0.0

    decay(health, now)
    return health.failures / (health.responses + PRIOR_SUCCESSES)
