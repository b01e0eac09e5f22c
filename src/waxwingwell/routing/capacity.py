"""Capacity of engines, by which requests are shared out where speeds differ.

The capacity of an engine is the reciprocal of its duration factor: 1 is that of the
median engine of its service.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from statistics import median
from typing import TYPE_CHECKING

from .engine_speeds import STEPS_PER_DOUBLING
from .engine_speeds import find_duration_factor


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Sequence

    from .engine_speeds import EngineSpeedTable
    from .fleet import Announcement


EVEN_TOLERANCE = 0.05
"""Largest difference of a factor from 1 that counts as none. Factors that are no longer
reported approach 1 without reaching it."""


@dataclass(frozen=True, slots=True)
class EngineFactors:
    """Duration factors that differ from 1, by upstream; none if all are alike."""

    factors: Mapping[str, float] = field(default_factory=dict)
    fastest: float = 1.0
    """Least factor of the engines that were compared."""
    steps: Mapping[str, int] = field(default_factory=dict)
    """Coarse steps of capacity of those engines whose step was held, by upstream."""

    def find(self, upstream: str) -> float:
        """Return the duration factor of an engine."""
        return self.factors.get(upstream, 1.0)

    def find_capacity(self, upstream: str) -> float:
        """Return the capacity of an engine."""
        return 1.0 / self.find(upstream)

    def find_coarse_capacity(self, upstream: str) -> float:
        """Return the capacity of an engine in coarse steps."""
        step = self.steps.get(upstream)
        if step is None:
            step = round(math.log2(self.find_capacity(upstream)) * STEPS_PER_DOUBLING)

        return float(2.0 ** (step / STEPS_PER_DOUBLING))


EVEN = EngineFactors()
"""Factors of engines that are all alike."""


def list_factors(
    table: EngineSpeedTable, upstreams: Collection[Announcement], now: float
) -> EngineFactors:
    """Return the duration factors of some engines."""
    found = {
        one.upstream: find_duration_factor(table, one.upstream, one.incarnation, now)
        for one in upstreams
    }
    uneven = {
        name: factor
        for name, factor in found.items()
        if abs(factor - 1.0) > EVEN_TOLERANCE
    }
    if not uneven:
        return EVEN

    steps = {
        one.upstream: table.steps[one.upstream, one.incarnation]
        for one in upstreams
        if one.upstream in uneven and (one.upstream, one.incarnation) in table.steps
    }
    return EngineFactors(uneven, min(uneven.get(name, 1.0) for name in found), steps)


def find_slowness(factors: EngineFactors, upstream: str, peers: Sequence[str]) -> float:
    """Return an engine's duration factor over the median of its peers, itself included.

    Peers that are all slow, as of a version that makes them so, have a slowness of 1.
    """
    if not factors.factors or not peers:
        return 1.0

    return factors.find(upstream) / median(factors.find(name) for name in peers)


def sum_capacity(factors: EngineFactors, upstreams: Collection[str]) -> float:
    """Return the capacity of some engines, in median engines."""
    if not factors.factors:
        return float(len(upstreams))

    return sum(factors.find_capacity(name) for name in upstreams)


def limit_slots(slots: int, factor: float) -> float:
    """Return the number of requests that an engine runs at the median's pace.

    A fast engine has no more slots than it announces.
    """
    return slots / max(factor, 1.0)


def draw_by_capacity(
    group: Sequence[Announcement], factors: EngineFactors, draw: Callable[[], float]
) -> Announcement:
    """Return a random engine, each with a probability in proportion to its capacity."""
    point = draw()
    if not any(one.upstream in factors.factors for one in group):
        return group[min(int(point * len(group)), len(group) - 1)]

    point *= sum(factors.find_capacity(one.upstream) for one in group)
    for one in group:
        point -= factors.find_capacity(one.upstream)
        if point < 0:
            return one

    return group[-1]
