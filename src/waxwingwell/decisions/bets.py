"""Evidence against a mean, valid however often one looks.

A bet against "the mean of ratings is at least m" multiplies its wealth by
``1 + stake * (m - x)`` at each rating x. Under that claim the wealth is a
supermartingale, so by Ville's inequality it ever reaches 1 / alpha with chance at
most alpha. Source: Waudby-Smith and Ramdas, "Estimating means of bounded random
variables by betting", JRSS B 86 (2024); Ville, 1939.

Only sums are kept, so the wealth is bounded from below by
``log(1 + z) >= z - z * z * (-log(1 - c) - c) / (c * c)`` for z >= -c, which is the
lemma behind Fan, Grama and Liu, "Exponential inequalities for martingales with
applications", EJP 20 (2015). A bound from below keeps the guarantee.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


BET_STAKES = (0.3, 0.6, 1.25)
"""Stakes against a candidate; fixed in advance, as the guarantee needs."""
MIN_BASELINE = 0.3
"""Baseline below which ``BET_STAKES`` could lose more than the wealth there is."""


@dataclass(frozen=True, slots=True)
class RatingSums:
    """Number of ratings, their sum and the sum of their squares."""

    rated: float
    total: float
    squares: float


def bound_log_wealth(sums: RatingSums, mean: float, stake: float) -> float:
    """Return a lower bound on the log wealth of betting that ratings fall short.

    ``stake * (1 - mean)`` must be under 1.
    """
    max_loss = stake * (1.0 - mean)
    gain = sums.rated * mean - sums.total
    return stake * gain - _get_quadratic_factor(
        max_loss
    ) * stake * stake * _sum_squared_deviations(sums, mean)


def log_mean_exp(logs: tuple[float, ...]) -> float:
    """Return the log of the mean of the wealths whose logs are given."""
    largest = max(logs)
    return largest + math.log(
        sum(math.exp(item - largest) for item in logs) / len(logs)
    )


def _sum_squared_deviations(sums: RatingSums, mean: float) -> float:
    spread = sums.squares - 2.0 * mean * sums.total + sums.rated * mean * mean
    return max(0.0, spread)


def _get_quadratic_factor(max_loss: float) -> float:
    """Return the factor of the quadratic term when a bet loses at most ``max_loss``."""
    if max_loss < 1e-4:
        return 0.5

    return (-math.log1p(-max_loss) - max_loss) / (max_loss * max_loss)
