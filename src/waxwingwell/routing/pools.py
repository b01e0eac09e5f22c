"""Which engines are kept for a route's smallest model, and which for larger ones.

An engine makes the tokens of all its streams in common steps, and a step takes the mean
pace of the models in it. A small model's stream beside large ones is as slow as they
are, and a large model's prompt stops it for 0.2 s at a time. Apart, the small model's
streams take a fraction of that, and fewer of them are under way when something fails.
"""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest


if TYPE_CHECKING:
    from collections.abc import Collection


SMALL_SHARE = 0.3
"""Share of engines kept for the smallest model: it reads every prompt once, a tenth of
the work that the larger models have with the half of the prompts that they read."""


class Pool(StrEnum):
    """What an engine is kept for."""

    ANY = "any"
    SMALL = "small"
    LARGE = "large"


def list_pool(upstreams: Collection[str], pool: Pool) -> frozenset[str]:
    """Return the engines of a pool.

    Gateways agree without asking, as each ranks the same engines by hash; one that
    leaves moves at most one other to the other pool.
    """
    if pool is Pool.ANY or len(upstreams) < 2:
        return frozenset(upstreams)

    ranked = sorted(upstreams, key=lambda name: xxh32_intdigest(name.encode()))
    count = max(round(len(ranked) * SMALL_SHARE), 1)
    return frozenset(ranked[:count] if pool is Pool.SMALL else ranked[count:])
