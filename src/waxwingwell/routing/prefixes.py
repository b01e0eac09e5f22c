"""Estimate of which prompt blocks upstreams have in their prefix caches.

A gateway knows the blocks that it sent itself and, through the controls, those that the
other gateways sent. Without reports from a control, it assumes that the others send the
same block to the same preferred upstream, which is chosen by hash.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from functools import lru_cache
from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest

from .load import MAX_TOTAL_AGE_SECONDS


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


MAX_BLOCKS = 10_000
"""Blocks that one gateway remembers, about 1.2 MB."""
MAX_REPORTED_BLOCKS = 400
"""Blocks in one report, 2 KB."""
BLOCK_TTL_SECONDS = 30.0
"""Seconds after which a block is assumed to be evicted."""
REPORT_AGAIN_SECONDS = 5.0
"""Seconds after which a block that is sent again is reported again."""
HIT_PROBABILITY_WITHOUT_REPORTS = 0.7
"""Probability that the preferred upstream has cached a block that this gateway did not
send, while the other gateways' blocks are not reported."""
HIT_PROBABILITY_WITH_REPORTS = 0.2
"""The same while they are reported; the block's report may be on its way."""
MIN_REPORTING_SECONDS = 10.0
"""Time for which reports must have come without a gap before a block's absence from
them is taken into account."""

HASH_RANGE = 2**32
"""Number of different hashes."""

PromptBlock = tuple[str, int]
"""Id of a prompt block, and its number of tokens."""


@dataclass(slots=True)
class PrefixTable:
    """Times of the last prefill of blocks, by the hash of upstream, model and block."""

    prefilled_at: OrderedDict[int, float] = field(default_factory=OrderedDict)
    unreported: dict[int, None] = field(default_factory=dict)
    """Blocks to be reported to the other gateways."""
    reporting_since: float = math.inf
    """Time since which reports have come without a gap."""
    reported_at: float = -math.inf


@lru_cache(maxsize=16_384)
def hash_text(text: str) -> int:
    """Return a hash on which all gateways agree."""
    return xxh32_intdigest(text.encode())


def hash_block(upstream: str, model: str, block: str) -> int:
    """Return the key of a block that an upstream has processed for a model."""
    return hash_text(upstream) ^ hash_text(f"{model}/{block}")


def record_blocks(
    table: PrefixTable,
    upstream: str,
    model: str,
    blocks: tuple[PromptBlock, ...],
    now: float,
) -> None:
    """Record that an upstream has processed the blocks of a prompt.

    All but the last are to be reported; the last belongs to one request or session.
    """
    keys = [hash_block(upstream, model, block) for block, _ in blocks]
    for key in keys[:-1]:
        if now - table.prefilled_at.get(key, -math.inf) > REPORT_AGAIN_SECONDS:
            table.unreported[key] = None

    store_blocks(table, keys, now)


def store_blocks(table: PrefixTable, keys: Iterable[int], now: float) -> None:
    """Store blocks, and evict the oldest ones above the limit."""
    for key in keys:
        table.prefilled_at[key] = now
        table.prefilled_at.move_to_end(key)

    while len(table.prefilled_at) > MAX_BLOCKS:
        table.prefilled_at.popitem(last=False)


def list_unreported_blocks(table: PrefixTable) -> tuple[int, ...]:
    """Return the blocks for the next report."""
    return tuple(table.unreported)[:MAX_REPORTED_BLOCKS]


def mark_reported(table: PrefixTable, reported: Iterable[int]) -> None:
    """Remove blocks that have been reported."""
    for key in reported:
        table.unreported.pop(key, None)


def apply_reported_blocks(
    table: PrefixTable, reported: Iterable[int], now: float
) -> None:
    """Store blocks that the other gateways have reported."""
    if now - table.reported_at > MAX_TOTAL_AGE_SECONDS:
        table.reporting_since = now

    table.reported_at = now
    store_blocks(table, reported, now)


def estimate_cached_tokens(
    table: PrefixTable,
    upstream: str,
    model: str,
    blocks: tuple[PromptBlock, ...],
    now: float,
    *,
    preferred: bool,
) -> float:
    """Return the expected number of a prompt's tokens that an upstream has cached.

    A block can be reused only if all blocks before it are cached too.
    """
    hit_probability = estimate_hit_probability(table, now) if preferred else 0.0
    tokens_cached = 0.0
    probability = 1.0
    for block, tokens in blocks[:-1]:
        if not is_recent(table, hash_block(upstream, model, block), now):
            probability *= hit_probability

        if probability <= 0.0:
            break

        tokens_cached += probability * tokens

    if not blocks or probability < 1.0:
        return tokens_cached

    last, tokens = blocks[-1]
    if is_recent(table, hash_block(upstream, model, last), now):
        tokens_cached += tokens

    return tokens_cached


def estimate_hit_probability(table: PrefixTable, now: float) -> float:
    """Return the probability that the preferred upstream has an unknown block."""
    fresh = now - table.reported_at <= MAX_TOTAL_AGE_SECONDS
    if fresh and now - table.reporting_since >= MIN_REPORTING_SECONDS:
        return HIT_PROBABILITY_WITH_REPORTS

    return HIT_PROBABILITY_WITHOUT_REPORTS


def is_recent(table: PrefixTable, key: int, now: float) -> bool:
    """Return whether a block was processed recently enough to be cached."""
    last_at = table.prefilled_at.get(key)
    return last_at is not None and now - last_at <= BLOCK_TTL_SECONDS


def prefer_upstream(
    upstreams: Iterable[str], key: str, weights: Mapping[str, float] | None = None
) -> str:
    """Return the upstream that all gateways prefer for a key (rendezvous hashing).

    An upstream is preferred for a share of the keys in proportion to its weight, which
    is 1 if none is given.
    """
    if not weights:
        return max(upstreams, key=lambda name: hash_preference(name, key), default="")

    def weigh(name: str) -> float:
        position = (hash_preference(name, key) + 0.5) / HASH_RANGE
        return -weights.get(name, 1.0) / math.log(position)

    return max(upstreams, key=weigh, default="")


def hash_preference(upstream: str, key: str) -> int:
    """Return the hash by which upstreams are compared for a key."""
    return xxh32_intdigest(f"{upstream}/{key}".encode())
