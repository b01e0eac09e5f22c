"""Anytime-valid evidence against a mean, from test martingales (betting).

A bet against the hypothesis "the mean rating is at least m" multiplies its wealth by
``1 + stake * (m - x)`` at each rating x. Under the hypothesis the wealth is a
supermartingale, so by Ville's inequality it ever reaches 1 / alpha with probability
at most alpha, however often it is tested. Source: Waudby-Smith and Ramdas,
"Estimating means of bounded random variables by betting", JRSS B 86 (2024); Ville,
1939.

Only sums of the ratings are stored, so the wealth is bounded from below by
``log(1 + z) >= z - z * z * (-log(1 - c) - c) / (c * c)`` for z >= -c, the lemma used
in Fan, Grama and Liu, "Exponential inequalities for martingales with applications",
EJP 20 (2015). A lower bound keeps the guarantee.
"""

from __future__ import annotations

import math
from dataclasses import dataclass


BET_STAKES = (0.3, 0.6, 1.25)
"""Stakes of the bets against a candidate; the guarantee needs them fixed in advance."""
MIN_BASELINE = 0.3
"""Baseline mean below which a bet could lose more than its wealth."""


@dataclass(frozen=True, slots=True)
class RatingSums:
    """Number of ratings, their sum and the sum of their squares."""

    rated: float
    total: float
    squares: float


def bound_log_wealth(sums: RatingSums, mean: float, stake: float) -> float:
    """Return a lower bound on the log wealth of bets that ratings are below ``mean``.

    ``stake * (1 - mean)`` must be under 1.
    """
    max_loss = stake * (1.0 - mean)
    gain = sums.rated * mean - sums.total
    return stake * gain - _quad_factor(max_loss) * stake * stake * _spread(sums, mean)


def log_mean_exp(logs: tuple[float, ...]) -> float:
    """Return the log of the mean wealth, given the logs of the wealths."""
    largest = max(logs)
    return largest + math.log(
        sum(math.exp(item - largest) for item in logs) / len(logs)
    )


def _spread(sums: RatingSums, mean: float) -> float:
    """Return the sum of squared deviations from ``mean``."""
    spread = sums.squares - 2.0 * mean * sums.total + sums.rated * mean * mean
    return max(0.0, spread)


def _quad_factor(max_loss: float) -> float:
    """Return the quadratic term's factor for a bet that loses at most ``max_loss``."""
    if max_loss < 1e-4:
        return 0.5

    return (-math.log1p(-max_loss) - max_loss) / (max_loss * max_loss)
