"""Event rates with exponential smoothing."""

from __future__ import annotations

from math import exp


def decay_rate(rate: float, rate_updated_at: float, window: float, now: float) -> float:
    """Return the rate, in events per second, decayed to ``now``."""
    return rate * exp(-max(now - rate_updated_at, 0.0) / window)


def count_event(
    rate: float, rate_updated_at: float, window: float, now: float
) -> float:
    """Return the rate after counting one more event at ``now``."""
    return decay_rate(rate, rate_updated_at, window, now) + 1.0 / window
