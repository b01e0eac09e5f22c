"""Assignment of engines to pools for a route's smallest model and its larger ones.

An engine generates the tokens of all its streams in common steps, and the duration of
a step is the mean over the models in it. A small model's stream that shares an engine
with large models is as slow as they are, and the prefill of a large model's prompt
stalls it for 0.2 s at a time. In a pool of their own the small model's streams take a
fraction of that, so that fewer of them are in flight when something fails.
"""

from __future__ import annotations

from enum import StrEnum
from itertools import accumulate
from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest

from .capacity import EVEN


if TYPE_CHECKING:
    from collections.abc import Collection

    from .capacity import EngineFactors


SMALL_SHARE = 0.3
"""Share of the engines' capacity reserved for the smallest model. It processes every
prompt once, which is a tenth of the work of the larger models, which get half of the
prompts."""


class Pool(StrEnum):
    """Models that an engine is reserved for."""

    ANY = "any"
    SMALL = "small"
    LARGE = "large"


def list_pool(
    upstreams: Collection[str], pool: Pool, factors: EngineFactors = EVEN
) -> frozenset[str]:
    """Return the engines of a pool.

    Gateways agree without communication, as each ranks the same engines by hash. An
    engine that leaves moves at most one other engine to the other pool, if all have the
    same speed.
    """
    if pool is Pool.ANY or len(upstreams) < 2:
        return frozenset(upstreams)

    ranked = sorted(upstreams, key=lambda name: xxh32_intdigest(name.encode()))
    count = count_small_pool(ranked, factors)
    return frozenset(ranked[:count] if pool is Pool.SMALL else ranked[count:])


def count_small_pool(ranked: list[str], factors: EngineFactors) -> int:
    """Return how many of the ranked engines have the capacity of the small pool.

    Capacities are coarse, so that the pools seldom change. Each pool has an engine.
    """
    uneven = ranked if factors.factors else []
    capacities = [factors.find_coarse_capacity(name) for name in uneven]
    if all(capacity == 1.0 for capacity in capacities):
        return max(round(len(ranked) * SMALL_SHARE), 1)

    wanted = SMALL_SHARE * sum(capacities)
    # An engine belongs to the pool if that brings its capacity nearer to the share.
    count = sum(
        before + capacity / 2 < wanted
        for before, capacity in zip(
            accumulate(capacities, initial=0.0), capacities, strict=False
        )
    )
    return min(max(count, 1), len(ranked) - 1)
