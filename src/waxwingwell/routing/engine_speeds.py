"""Speeds of the engines of a service, relative to its median engine."""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable

    from .messages import EngineSpeed


MAX_FACTOR = 8.0
"""Largest duration factor; the smallest one is its inverse."""
FRESH_SECONDS = 1.5
"""Age up to which a factor counts in full; controls send it once a second."""
AGEING_SECONDS = 10.0
"""Time constant with which an older factor returns to 1."""
RETENTION_SECONDS = 60.0
"""Age at which a factor is dropped; by then it differs from 1 by less than 1 %."""
STEPS_PER_DOUBLING = 2
"""Coarse steps of capacity in a factor of two, by which homes of prompts and pools are
assigned. Each move of these costs a prefill."""


@dataclass(slots=True)
class EngineSpeedTable:
    """Duration factors of engines, by upstream and incarnation."""

    factors: dict[tuple[str, int], float] = field(default_factory=dict)
    heard_at: dict[tuple[str, int], float] = field(default_factory=dict)
    """Time at which a control has last sent each factor."""
    steps: dict[tuple[str, int], int] = field(default_factory=dict)
    """Coarse steps of capacity. They don't age with the factors."""


def find_duration_factor(
    table: EngineSpeedTable, upstream: str, incarnation: int, now: float
) -> float:
    """Return how many times as long as the median engine one takes; 1.0 if unknown."""
    engine = (upstream, incarnation)
    factor = table.factors.get(engine)
    if factor is None:
        return 1.0

    age = now - table.heard_at.get(engine, now) - FRESH_SECONDS
    if age <= 0:
        return factor

    return math.pow(factor, math.exp(-age / AGEING_SECONDS))


def is_measured(table: EngineSpeedTable, upstream: str, incarnation: int) -> bool:
    """Return whether a control has told the duration factor of an engine."""
    return (upstream, incarnation) in table.factors


def apply_speeds(
    table: EngineSpeedTable, speeds: Iterable[EngineSpeed], now: float
) -> int:
    """Store the factors that a control sent; return the number of invalid ones.

    An engine that is not listed keeps its factor, which ages: the control may have too
    few samples of it, or may have started a moment ago.
    """
    invalid = 0
    for one in speeds:
        if not is_valid_factor(one.factor):
            invalid += 1
            continue

        engine = (one.upstream, one.incarnation)
        table.factors[engine] = one.factor
        table.heard_at[engine] = now
        table.steps[engine] = move_step(table.steps.get(engine, 0), one.factor)

    outdated = [
        engine for engine, at in table.heard_at.items() if now - at > RETENTION_SECONDS
    ]
    for engine in outdated:
        del table.heard_at[engine]
        table.factors.pop(engine, None)
        table.steps.pop(engine, None)

    return invalid


def move_step(held: int, factor: float) -> int:
    """Return the step of capacity of an engine that had one before.

    It moves if the factor is a whole step away, as a factor that varies around the
    limit between two steps would else move homes and pools each time.
    """
    position = -math.log2(factor) * STEPS_PER_DOUBLING
    return round(position) if abs(position - held) >= 1 else held


def is_valid_factor(factor: float) -> bool:
    """Return whether a factor is a number within the bounds."""
    return 1 / MAX_FACTOR <= factor <= MAX_FACTOR


def bound_factor(factor: float) -> float:
    """Return a factor within the bounds."""
    return min(max(factor, 1 / MAX_FACTOR), MAX_FACTOR)
