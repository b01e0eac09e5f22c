"""How fast engines read prompts, by model, as learned from first events.

Announcements say nothing of it, and it differs by a factor of ten between models.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Sequence


SMALLEST_MS = 0.006
"""First guess: milliseconds a prompt token takes a route's smallest model."""
LARGEST_MS = 0.055
"""First guess for the largest model; what is learned replaces both."""
FIRST_EVENT_MS = 25.0
"""To connect, begin and make the first event of an empty prompt."""
LEARNING = 0.05
"""Weight of a new sample: about the last twenty count."""
LEAST_TOKENS = 1_500
"""Prompts below tell little, as other delays outweigh the reading."""
BOUND = 3.0
"""Factor by which one sample may differ from what is known: a stalled upstream says
nothing of a model's speed."""


@dataclass(slots=True)
class SpeedTable:
    """Milliseconds a prompt token, by model."""

    known: dict[str, float] = field(default_factory=dict)
    samples: dict[str, int] = field(default_factory=dict)


def guess_speed(table: SpeedTable, models: Sequence[str], model: str) -> float:
    """Return the milliseconds that a prompt token takes a model."""
    speed = table.known.get(model)
    if speed is not None:
        return speed

    place = models.index(model) if model in models else len(models) - 1
    part = place / max(len(models) - 1, 1)
    return SMALLEST_MS * math.pow(LARGEST_MS / SMALLEST_MS, part)


def learn_speed(
    table: SpeedTable, models: Sequence[str], model: str, tokens: int, took_ms: float
) -> None:
    """Take in how long a prompt took that found its upstream idle."""
    if tokens < LEAST_TOKENS:
        return

    guess = guess_speed(table, models, model)
    sample = max(took_ms - FIRST_EVENT_MS, 0.1) / tokens
    sample = min(max(sample, guess / BOUND), guess * BOUND)
    table.samples[model] = table.samples.get(model, 0) + 1
    weight = max(1.0 / (table.samples[model] + 1), LEARNING)
    mean = (1 - weight) * math.log(guess) + weight * math.log(sample)
    table.known[model] = math.exp(mean)
