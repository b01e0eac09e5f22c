"""Time that a model takes for an output token, estimated from streams that ended.

A gateway does not know how many tokens an event has. It divides the duration of a
stream by the output that was expected of it, which is right at the median.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field


SMOOTHING = 0.05
"""Weight of a new sample in the moving average: about the last twenty count."""
MAX_SAMPLE_FACTOR = 3.0
"""Factor by which one sample may differ from the estimate, as the output that a caller
expects is often far off."""


@dataclass(slots=True)
class OutputPaceTable:
    """Milliseconds per output token on the median engine, by model."""

    token_ms: dict[str, float] = field(default_factory=dict)
    samples: dict[str, int] = field(default_factory=dict)


def estimate_output_token_ms(table: OutputPaceTable, model: str) -> float:
    """Return the milliseconds per output token of a model; 0 before the first sample.

    Without an estimate no request is expected to end late.
    """
    return table.token_ms.get(model, 0.0)


def record_output_time(
    table: OutputPaceTable, model: str, tokens: int, took_ms: float, factor: float
) -> None:
    """Update the estimate with the duration of a stream on an engine of a factor."""
    if tokens <= 0 or took_ms <= 0:
        return

    sample = took_ms / tokens / factor
    guess = table.token_ms.get(model, sample)
    sample = min(max(sample, guess / MAX_SAMPLE_FACTOR), guess * MAX_SAMPLE_FACTOR)
    table.samples[model] = table.samples.get(model, 0) + 1
    weight = max(1.0 / (table.samples[model] + 1), SMOOTHING)
    mean = (1 - weight) * math.log(guess) + weight * math.log(sample)
    table.token_ms[model] = math.exp(mean)
