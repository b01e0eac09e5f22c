"""Costs of an engine that depend on its speed and its memory, in milliseconds.

The costs of speed are relative to the fastest engine, and zero where all are alike.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .capacity import limit_slots


if TYPE_CHECKING:
    from .placement import Demand


QUEUED_BATCH_MS = 2_000.0
"""Wait per full batch of requests beyond the slots, which queue for a slot."""
CALL_MS = 25.0
"""Approximate duration of a call of a service that is no model engine. In the
comparison of upstreams each call beyond the slots counts in full, as a service at
capacity soon refuses calls, which costs another attempt."""
STAY_WEIGHT = 0.1
"""Weight of the time that a stream takes longer on a slow engine, against the wait for
its first event."""
MAX_STAY_MS = 1_000.0
"""Largest cost of that time, so that slow engines are used before streams queue for
long at the others."""
SHARE_EXPONENT = 1.75
"""Power of a slow engine's factor by which its room is less than that of the median
engine. It is above 1, as many gateways fill the same slots until the next totals."""
LATE_MS = 1_500.0
"""Cost of a response whose end is expected beyond its deadline, as of a failure."""
LATE_SPREAD = 0.25
"""Part of the time left by which an expected end may be off: the callers' estimates of
the output are right at the median only."""
SLOW_MS = 1_000.0
"""Cost of a much slower engine for the shortest request of the most urgent rank."""
LONG_OUTPUT_TOKENS = 500
"""Output of a request for which a slow engine costs half as much as for a short one. A
long request on a slow engine leaves more room on the others for urgent ones."""


def estimate_speed_cost(
    demand: Demand, wait: float, factor: float, fastest: float
) -> float:
    """Return the cost of the time that a request takes longer on a slow engine."""
    if not demand.service.memory_tokens:
        # A slow upstream with a free slot is used before others exceed their slots.
        return CALL_MS * min(factor - fastest, 1.0)

    stay = demand.output_tokens * demand.output_token_ms
    cost = estimate_late_cost(wait + stay * factor, demand.time_left_ms)
    if demand.urgency is None:
        return cost + min(STAY_WEIGHT * stay * (factor - fastest), MAX_STAY_MS)

    return cost + estimate_rank_cost(
        demand.urgency, demand.output_tokens, factor / fastest
    )


def estimate_late_cost(end: float, time_left: float) -> float:
    """Return the cost of an expected end that is near or beyond the deadline.

    Both arguments are in milliseconds; the time left is 0 if it is unknown.
    """
    if time_left <= 0:
        return 0.0

    excess = end / time_left - 1.0 + LATE_SPREAD
    return LATE_MS * min(max(excess / (2 * LATE_SPREAD), 0.0), 1.0)


def estimate_rank_cost(urgency: int, output_tokens: int, slowness: float) -> float:
    """Return the cost of a slow engine for a request of a rank.

    The cost falls with the rank and with the length, so that the least urgent and
    longest requests use the slow engines.
    """
    shortness = LONG_OUTPUT_TOKENS / (LONG_OUTPUT_TOKENS + output_tokens)
    return SLOW_MS * shortness / (1 + urgency) * (1.0 - 1.0 / slowness)


def estimate_share_cost(running: int, slots: int, factor: float) -> float:
    """Return the cost of requests beyond the share of a slow engine's speed.

    They have a slot, so that they are not part of the expected wait.
    """
    share = limit_slots(slots, factor**SHARE_EXPONENT)
    excess = max(running + 1 - share, 0.0) / share
    queued = max(running + 1 - slots, 0) / slots
    return QUEUED_BATCH_MS * factor * (excess - queued)


def estimate_memory_cost(demand: Demand, tokens: int, factor: float) -> float:
    """Return the cost of a full queue if an engine's memory does not suffice.

    ``tokens`` is what the running requests need. The engine would have to preempt one
    of them.
    """
    if not demand.service.memory_tokens or not demand.prompt_tokens:
        return 0.0

    needed = tokens + demand.prompt_tokens + demand.output_tokens
    if needed <= demand.service.memory_tokens:
        return 0.0

    return QUEUED_BATCH_MS * factor
