"""Which upstreams a gateway avoids, from what its own requests and the others' met.

Health checks are not asked: they cost upstreams' time, and may be wrong both ways.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .messages import UpstreamMet


if TYPE_CHECKING:
    from collections.abc import Iterable


FIRST_PAUSE = 1.0
"""Seconds that an upstream gets no work after it could not be reached."""
LONGEST_PAUSE = 8.0
"""Bound of the pause, which doubles with each failure in a row; upstreams that crash
are back within a few seconds, or gone for good."""
MEMORY_SECONDS = 6.0
"""Time constant in which failures are forgotten."""
PRIOR_ANSWERS = 4.0
"""Good answers assumed of an upstream of which little is known."""
DOUBT_SECONDS = 1.0
"""Time constant in which doubts, and answers that speak against them, are forgotten."""
LEAST_SHARE = 0.25
"""Share of failures over all gateways from which an upstream counts as failing. Some
requests fail wherever they are sent; were the differences of chance between upstreams
weighed, all gateways would crowd on the luckiest."""
DOUBT_QUORUM = 1.5
"""Doubting gateways from which all pause an upstream: two within half a second. One may
be cut off itself."""


@dataclass(slots=True)
class Health:
    """What was met at one upstream, with the weight of the past falling."""

    answers: float = 0.0
    failures: float = 0.0
    at: float = 0.0
    pause: float = 0.0
    paused_until: float = -math.inf


@dataclass(slots=True)
class SharedHealth:
    """What all gateways met at one upstream, with the weight of the past falling."""

    answers: float = 0.0
    failures: float = 0.0
    good: float = 0.0
    """Good answers of the last moments."""
    doubters: float = 0.0
    """Gateways that found it unreachable in the last moments."""
    at: float = 0.0
    paused_until: float = -math.inf


@dataclass(slots=True)
class HealthTable:
    """Health by upstream id."""

    known: dict[str, Health] = field(default_factory=dict)
    shared: dict[str, SharedHealth] = field(default_factory=dict)
    news: dict[str, UpstreamMet] = field(default_factory=dict)
    """What was met here since the last report."""


def note_answer(table: HealthTable, upstream: str, now: float, *, failed: bool) -> None:
    """Count an answer, or the lack of one."""
    health = table.known.setdefault(upstream, Health(at=now))
    fade(health, now)
    health.answers += 1.0
    if failed:
        health.failures += 1.0
    else:
        health.pause = 0.0

    add_news(table, UpstreamMet(upstream, 1, int(failed), 0))


def note_unreachable(table: HealthTable, upstream: str, now: float) -> None:
    """Give an upstream no work for a while."""
    add_news(table, UpstreamMet(upstream, 0, 0, 1))
    health = table.known.setdefault(upstream, Health(at=now))
    if now < health.paused_until:
        return

    health.pause = min(max(health.pause * 2, FIRST_PAUSE), LONGEST_PAUSE)
    health.paused_until = now + health.pause


def add_news(table: HealthTable, met: UpstreamMet) -> None:
    """Keep what was met for the next report; a gateway is one doubter at most."""
    held = table.news.get(met.upstream, UpstreamMet(met.upstream, 0, 0, 0))
    [total] = add_met([held, met])
    table.news[met.upstream] = UpstreamMet(
        total.upstream, total.answers, total.failures, min(total.doubters, 1)
    )


def list_met(table: HealthTable) -> tuple[UpstreamMet, ...]:
    """Return what others should be told."""
    return tuple(table.news.values())


def add_met(parts: Iterable[UpstreamMet]) -> tuple[UpstreamMet, ...]:
    """Sum what gateways met by upstream."""
    totals: dict[str, UpstreamMet] = {}
    for part in parts:
        held = totals.get(part.upstream, UpstreamMet(part.upstream, 0, 0, 0))
        totals[part.upstream] = UpstreamMet(
            part.upstream,
            held.answers + part.answers,
            held.failures + part.failures,
            held.doubters + part.doubters,
        )

    return tuple(totals.values())


def take_met(table: HealthTable, met: Iterable[UpstreamMet], now: float) -> None:
    """Take what all gateways met since the last sum.

    Failure: an upstream goes dark. Each of hundreds of gateways would lose a stream
    there before it avoids it. Good answers of some speak against the doubts of others,
    who may be cut off themselves.
    """
    for one in met:
        health = table.shared.setdefault(one.upstream, SharedHealth(at=now))
        fade_shared(health, now)
        health.answers += one.answers
        health.failures += one.failures
        health.good += one.answers - one.failures
        health.doubters += one.doubters
        if health.doubters >= DOUBT_QUORUM and health.doubters > health.good:
            health.paused_until = now + FIRST_PAUSE


def fade(health: Health, now: float) -> None:
    """Let the past count less."""
    factor = math.exp(-(now - health.at) / MEMORY_SECONDS)
    health.answers *= factor
    health.failures *= factor
    health.at = now


def fade_shared(health: SharedHealth, now: float) -> None:
    """Let the past count less."""
    factor = math.exp(-(now - health.at) / MEMORY_SECONDS)
    health.answers *= factor
    health.failures *= factor
    factor = math.exp(-(now - health.at) / DOUBT_SECONDS)
    health.good *= factor
    health.doubters *= factor
    health.at = now


def is_paused(table: HealthTable, upstream: str, now: float) -> bool:
    """Tell whether an upstream gets no work at present."""
    own = table.known.get(upstream)
    if own is not None and now < own.paused_until:
        return True

    shared = table.shared.get(upstream)
    return shared is not None and now < shared.paused_until


def failure_share(table: HealthTable, upstream: str, now: float) -> float:
    """Return the share of lately failed answers, 0 to 1.

    What we met ourselves may be peculiar to us, so the worse of both counts.
    """
    worst = 0.0
    own = table.known.get(upstream)
    if own is not None:
        fade(own, now)
        worst = own.failures / (own.answers + PRIOR_ANSWERS)

    shared = table.shared.get(upstream)
    if shared is None:
        return worst

    fade_shared(shared, now)
    share = shared.failures / (shared.answers + PRIOR_ANSWERS)
    return max(worst, share) if share >= LEAST_SHARE else worst
