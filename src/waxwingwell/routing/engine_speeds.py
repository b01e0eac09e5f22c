"""Speeds of the engines of a service, relative to its median engine."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class EngineSpeedTable:
    """Duration factors of engines, by upstream and incarnation."""

    factors: dict[tuple[str, int], float] = field(default_factory=dict)


def find_duration_factor(
    table: EngineSpeedTable, upstream: str, incarnation: int, now: float
) -> float:
    """Return how many times as long as the median engine one takes; 1.0 if unknown."""
    return table.factors.get((upstream, incarnation), 1.0)
