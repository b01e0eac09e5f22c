"""Cascades: answer with a cheap version, rate, and escalate below a threshold.

A rating is modelled as normal with the estimated mean and deviation; only the sums
of ratings and of their squares are kept, which give no finer shape.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .quality import Estimate


BISECTIONS = 7
"""Halvings of the threshold's range; the last step is under 0.01."""


@dataclass(frozen=True, slots=True)
class CascadeOption:
    """A cascade's best threshold, its expected cost and the quality it serves."""

    threshold: float
    cost: float
    quality: float


def find_threshold(
    cheap: Estimate,
    strong: float,
    *,
    cheap_cost: float,
    strong_cost: float,
    rating_price: float,
    target: float,
) -> CascadeOption | None:
    """Return the cheapest threshold that meets ``target``, or None if none does.

    ``strong`` is the mean quality of escalated answers. Cost rises with the
    threshold, and quality does up to ``strong``: the least threshold that meets the
    target is the cheapest. Costs are in the same unit; the cheap answer and its
    rating are always paid for.
    """
    high = strong
    if _serve(cheap, strong, high)[1] < target:
        return None

    low = 0.0
    for _ in range(BISECTIONS):
        middle = 0.5 * (low + high)
        if _serve(cheap, strong, middle)[1] < target:
            low = middle
        else:
            high = middle

    stop, quality = _serve(cheap, strong, high)
    cost = cheap_cost + rating_price + (1.0 - stop) * strong_cost
    return CascadeOption(high, cost, quality)


def _serve(cheap: Estimate, strong: float, threshold: float) -> tuple[float, float]:
    """Return the chance that the cheap answer is served, and the mean quality."""
    stop = _exceed(cheap, threshold)
    quality = _served_above(cheap, threshold, stop) + (1.0 - stop) * strong
    return stop, quality


def _exceed(estimate: Estimate, threshold: float) -> float:
    """Return the chance that a rating is at or above ``threshold``."""
    deviations = (threshold - estimate.mean) / estimate.deviation
    return 0.5 * math.erfc(deviations / math.sqrt(2.0))


def _served_above(estimate: Estimate, threshold: float, stop: float) -> float:
    """Return the expected rating on the event that it is above ``threshold``."""
    deviations = (threshold - estimate.mean) / estimate.deviation
    density = math.exp(-0.5 * deviations * deviations) / math.sqrt(2.0 * math.pi)
    return min(stop, estimate.mean * stop + estimate.deviation * density)
