"""Prefill speed of engines by model, estimated from the time to the first event.

Announcements don't include it, and it differs by a factor of ten between models.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence


SMALLEST_MODEL_TOKEN_MS = 0.006
"""Initial estimate of the prefill time of a prompt token on a route's smallest
model."""
LARGEST_MODEL_TOKEN_MS = 0.055
"""Initial estimate for the largest model; measurements replace both."""
FIRST_EVENT_OVERHEAD_MS = 25.0
"""Time to connect, start and produce the first event of an empty prompt."""
SMOOTHING = 0.05
"""Weight of a new sample in the moving average: about the last twenty count."""
MIN_SAMPLE_TOKENS = 1_500
"""Shortest prompt that is measured: below it other delays outweigh the prefill."""
MAX_SAMPLE_FACTOR = 3.0
"""Factor by which one sample may differ from the estimate, as a stalled upstream says
nothing about a model's speed."""


@dataclass(slots=True)
class SpeedTable:
    """Milliseconds of prefill per prompt token, by model."""

    token_ms: dict[str, float] = field(default_factory=dict)
    samples: dict[str, int] = field(default_factory=dict)


def estimate_token_ms(table: SpeedTable, models: Sequence[str], model: str) -> float:
    """Return the estimated milliseconds of prefill per prompt token of a model."""
    speed = table.token_ms.get(model)
    if speed is not None:
        return speed

    position = models.index(model) if model in models else len(models) - 1
    fraction = position / max(len(models) - 1, 1)
    return SMALLEST_MODEL_TOKEN_MS * math.pow(
        LARGEST_MODEL_TOKEN_MS / SMALLEST_MODEL_TOKEN_MS, fraction
    )


def record_prefill_time(
    table: SpeedTable, models: Sequence[str], model: str, tokens: int, took_ms: float
) -> None:
    """Update the estimate with the time that a prompt took on an idle upstream."""
    if tokens < MIN_SAMPLE_TOKENS:
        return

    guess = estimate_token_ms(table, models, model)
    sample = max(took_ms - FIRST_EVENT_OVERHEAD_MS, 0.1) / tokens
    sample = min(max(sample, guess / MAX_SAMPLE_FACTOR), guess * MAX_SAMPLE_FACTOR)
    table.samples[model] = table.samples.get(model, 0) + 1
    weight = max(1.0 / (table.samples[model] + 1), SMOOTHING)
    mean = (1 - weight) * math.log(guess) + weight * math.log(sample)
    table.token_ms[model] = math.exp(mean)
