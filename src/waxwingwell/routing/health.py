"""Which upstreams a gateway avoids, from what its own requests met.

Health checks are not asked: they cost upstreams' time, and may be wrong both ways.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field


FIRST_PAUSE = 1.0
"""Seconds that an upstream gets no work after it could not be reached."""
LONGEST_PAUSE = 8.0
"""Bound of the pause, which doubles with each failure in a row; upstreams that crash
are back within a few seconds, or gone for good."""
MEMORY_SECONDS = 6.0
"""Time constant in which failures are forgotten."""
PRIOR_ANSWERS = 4.0
"""Good answers assumed of an upstream of which little is known."""


@dataclass(slots=True)
class Health:
    """What was met at one upstream, with the weight of the past falling."""

    answers: float = 0.0
    failures: float = 0.0
    at: float = 0.0
    pause: float = 0.0
    paused_until: float = -math.inf


@dataclass(slots=True)
class HealthTable:
    """Health by upstream id."""

    known: dict[str, Health] = field(default_factory=dict)


def note_answer(table: HealthTable, upstream: str, now: float, *, failed: bool) -> None:
    """Count an answer, or the lack of one."""
    health = table.known.setdefault(upstream, Health(at=now))
    fade(health, now)
    health.answers += 1.0
    if failed:
        health.failures += 1.0
    else:
        health.pause = 0.0


def note_unreachable(table: HealthTable, upstream: str, now: float) -> None:
    """Give an upstream no work for a while."""
    health = table.known.setdefault(upstream, Health(at=now))
    if now < health.paused_until:
        return

    health.pause = min(max(health.pause * 2, FIRST_PAUSE), LONGEST_PAUSE)
    health.paused_until = now + health.pause


def fade(health: Health, now: float) -> None:
    """Let the past count less."""
    factor = math.exp(-(now - health.at) / MEMORY_SECONDS)
    health.answers *= factor
    health.failures *= factor
    health.at = now


def is_paused(table: HealthTable, upstream: str, now: float) -> bool:
    """Tell whether an upstream gets no work at present."""
    health = table.known.get(upstream)
    return health is not None and now < health.paused_until


def failure_share(table: HealthTable, upstream: str, now: float) -> float:
    """Return the share of lately failed answers, 0 to 1."""
    health = table.known.get(upstream)
    if health is None:
        return 0.0

    fade(health, now)
    return health.failures / (health.answers + PRIOR_ANSWERS)
