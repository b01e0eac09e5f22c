"""Choice of a route's model for a request, and escalation to a larger one.

A request goes to the smallest model first. If that model has little confidence in its
response, the request is escalated to the largest model, provided that the expected gain
exceeds the cost: the price of the model, and the time for which the prefill delays
other requests on its engine. The smallest model's confidence separates good responses
from poor ones sharply.

While retries run short, an escalation is not possible. A request then goes to the
largest model at once, if the gain that is usual on its route exceeds the same cost.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from .load import TYPICAL_OUTPUT_PART
from .pools import Pool


if TYPE_CHECKING:
    from .records import Route


ANY_MODEL = "*"
"""Model name by which a caller leaves the choice to the gateway."""
DOUBT_MIDPOINT = 0.5
"""Confidence at which a response is as likely poor as good."""
DOUBT_SCALE = 0.05
"""Scale of the logistic curve: one scale above the midpoint, about a quarter of the
responses are poor."""
TOKEN_VALUE = 0.006
"""Value of a response per output token that the caller allows, in the currency of the
models' prices, which are per thousand tokens; callers allow more where they expect
more."""
MIN_PRICE = 0.03
"""Least price of an escalation, as a part of the response's value, as the request is
sent once more."""
PREFILL_PRICE_PART = 0.25
"""Price of a prompt token, as a part of that of a generated token."""
MIN_WEIGHT = 0.3
"""Weight of a request of size zero; one of typical size has a weight of 1."""
OUTPUT_TOKEN_FACTOR = 10.0
"""Size of a generated token in prompt tokens."""
DOUBT_SMOOTHING = 0.05
"""Weight of a new response in the moving average of its route's poor responses."""
SIZE_SMOOTHING = 0.02
"""Weight of a new request in the moving average of its route's request size."""
LATE_VALUE = 0.3
"""Value of a late response, as a part of the value of one in time."""
ON_TIME_PRESSURE = 0.7
"""Expected wait, as a share of the time in which the first event is due, up to which a
response is assumed to be in time."""
LATE_PRESSURE = 1.3
"""Share from which a response is assumed to be late."""
UNCONTENDED_USAGE = 0.5
"""Share of the larger model's engines' time spent on prefill, up to which one more
prompt delays no other request."""
CONTENTION_PRICE = 0.0026
"""Price of an uncached prompt token at a usage of 1 above the uncontended one; it grows
with the square of the excess."""


@dataclass(frozen=True, slots=True)
class EscalationInputs:
    """Inputs of the decision on an escalation: its expected cost and gain."""

    output_tokens: int
    """Output tokens that the caller allows at most."""
    prompt_tokens: int
    uncached: int
    """Prompt tokens that need prefill."""
    weight: float
    """Value of the request relative to its route's typical request."""
    cost: float
    """Price of a thousand generated tokens."""
    pressure: float
    """Expected wait, as a share of the time in which the first event is due."""
    usage: float
    """Share of the larger model's engines' time spent on prefill."""


def has_model_choice(route: Route, wanted: str) -> bool:
    """Return whether the gateway chooses the model."""
    return len(route.models) > 0 and wanted == ANY_MODEL


def first_model(route: Route) -> str:
    """Return the model that a request is sent to first."""
    return route.models[0]


def find_pool(route: Route, wanted: str, model: str) -> Pool:
    """Return the pool of engines for a model; any, unless the gateway chose it."""
    if not has_model_choice(route, wanted) or len(route.models) < 2:
        return Pool.ANY

    return Pool.SMALL if model == first_model(route) else Pool.LARGE


def should_escalate(confidence: float, inputs: EscalationInputs) -> bool:
    """Return whether to escalate to a larger model after the smallest one's response.

    The gain must exceed the price, both as parts of a good response's value. The price
    rises with the usage of the engines, most for long prompts with short responses, as
    a prefill stalls all streams of its engine.
    """
    return is_larger_worthwhile(estimate_poor_probability(confidence), inputs)


def should_start_larger(
    poor_share: float | None, inputs: EscalationInputs, *, may_escalate: bool
) -> bool:
    """Return whether to send a request to the largest model first.

    ``poor_share`` is the share of the smallest model's responses on the route that are
    probably poor, or None if it is unknown. A request that may be escalated starts with
    the smallest model, which most often is enough and takes a tenth of the time.
    """
    if may_escalate or poor_share is None:
        return False

    return is_larger_worthwhile(poor_share, inputs)


def is_larger_worthwhile(poor_probability: float, inputs: EscalationInputs) -> bool:
    """Return whether the larger model's gain exceeds its price.

    The smallest model's response is poor with the given probability.
    """
    on_time = estimate_on_time_probability(inputs.pressure)
    larger = LATE_VALUE + (1.0 - LATE_VALUE) * on_time
    return larger - (1.0 - poor_probability) > estimate_price(inputs)


def record_confidence(
    poor_shares: dict[str, float], route: str, confidence: float
) -> None:
    """Update the share of a route's probably poor responses of the smallest model."""
    poor = estimate_poor_probability(confidence)
    mean = poor_shares.setdefault(route, poor)
    poor_shares[route] = mean + DOUBT_SMOOTHING * (poor - mean)


def update_request_weight(
    typical_sizes: dict[str, float], route: str, prompt_tokens: int, output_tokens: int
) -> float:
    """Return a request's value relative to its route's typical request.

    Also updates ``typical_sizes``, the moving average of request sizes by route.
    """
    size = prompt_tokens + OUTPUT_TOKEN_FACTOR * output_tokens
    mean = typical_sizes.setdefault(route, size)
    typical_sizes[route] = mean + SIZE_SMOOTHING * (size - mean)
    return MIN_WEIGHT + (1.0 - MIN_WEIGHT) * size / max(mean, 1.0)


def estimate_poor_probability(confidence: float) -> float:
    """Return the probability that a response of this confidence is poor."""
    return 1.0 / (1.0 + math.exp((confidence - DOUBT_MIDPOINT) / DOUBT_SCALE))


def estimate_on_time_probability(pressure: float) -> float:
    """Return the probability that a response starts in time."""
    range_width = LATE_PRESSURE - ON_TIME_PRESSURE
    return min(max((LATE_PRESSURE - pressure) / range_width, 0.0), 1.0)


def estimate_price(inputs: EscalationInputs) -> float:
    """Return the price of an escalation, as a part of a good response's value."""
    value = TOKEN_VALUE * max(inputs.output_tokens, 1) * inputs.weight
    billed_tokens = (
        TYPICAL_OUTPUT_PART * inputs.output_tokens
        + PREFILL_PRICE_PART * inputs.prompt_tokens
    )
    excess = max(inputs.usage - UNCONTENDED_USAGE, 0.0)
    contention = CONTENTION_PRICE * excess * excess * inputs.uncached
    return max((inputs.cost * billed_tokens / 1000.0 + contention) / value, MIN_PRICE)
