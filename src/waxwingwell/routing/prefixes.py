"""Which parts of prompts upstreams have probably cached.

A gateway knows what it sent itself and, through the controls, what the others sent.
While no control tells, it assumes of the rest that every gateway prefers the same
upstream for the same part, chosen by hash.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from functools import lru_cache
from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest

from .load import FRESH_SECONDS


if TYPE_CHECKING:
    from collections.abc import Iterable


MAX_PARTS = 10_000
"""Parts remembered by one gateway, about 1.2 MB."""
MAX_NEWS = 400
"""Parts told at a time, 2 KB."""
LIFE_SECONDS = 30.0
"""After which a part is taken for evicted."""
RENEW_SECONDS = 5.0
"""After which a part that is read once more is told again."""
HASH_TRUST = 0.7
"""Probability that the upstream chosen by hash has a part that we did not send."""
TOLD_TRUST = 0.2
"""The same while others tell what they send: it may be on its way."""
LEARNING_SECONDS = 10.0
"""Time for which others must have told before their silence says anything."""

Part = tuple[str, int]
"""Id of a part of a prompt, and its tokens."""


@dataclass(slots=True)
class PrefixTable:
    """When parts were read last, by the hash of upstream, model and part."""

    read: OrderedDict[int, float] = field(default_factory=OrderedDict)
    news: dict[int, None] = field(default_factory=dict)
    """What others should be told."""
    told_since: float = math.inf
    """Since when others have told without a gap."""
    told_at: float = -math.inf


@lru_cache(maxsize=16_384)
def hash_text(text: str) -> int:
    """Return a hash on which all gateways agree."""
    return xxh32_intdigest(text.encode())


def hash_part(upstream: str, model: str, part: str) -> int:
    """Return the key of a part that an upstream has read for a model."""
    return hash_text(upstream) ^ hash_text(f"{model}/{part}")


def note_parts(
    table: PrefixTable, upstream: str, model: str, parts: tuple[Part, ...], now: float
) -> None:
    """Remember that an upstream has read the parts of a prompt.

    Others are told of the shared ones; the last belongs to the request or its session.
    """
    keys = [hash_part(upstream, model, part) for part, _ in parts]
    for key in keys[:-1]:
        if now - table.read.get(key, -math.inf) > RENEW_SECONDS:
            table.news[key] = None

    remember(table, keys, now)


def remember(table: PrefixTable, keys: Iterable[int], now: float) -> None:
    """Note that parts were read, and forget the oldest beyond the bound."""
    for key in keys:
        table.read[key] = now
        table.read.move_to_end(key)

    while len(table.read) > MAX_PARTS:
        table.read.popitem(last=False)


def list_news(table: PrefixTable) -> tuple[int, ...]:
    """Return what others should be told now."""
    return tuple(table.news)[:MAX_NEWS]


def drop_news(table: PrefixTable, told: Iterable[int]) -> None:
    """Note that others were told."""
    for key in told:
        table.news.pop(key, None)


def take_told(table: PrefixTable, told: Iterable[int], now: float) -> None:
    """Take what others have sent lately."""
    if now - table.told_at > FRESH_SECONDS:
        table.told_since = now

    table.told_at = now
    remember(table, told, now)


def expect_cached(
    table: PrefixTable,
    upstream: str,
    model: str,
    parts: tuple[Part, ...],
    now: float,
    *,
    preferred: bool,
) -> float:
    """Return the tokens of a prompt that an upstream probably need not read again.

    A part is of use only where all parts before it are cached too.
    """
    trust = find_trust(table, now) if preferred else 0.0
    expected = 0.0
    chance = 1.0
    for part, tokens in parts[:-1]:
        if not is_known(table, hash_part(upstream, model, part), now):
            chance *= trust

        if chance <= 0.0:
            break

        expected += chance * tokens

    if not parts or chance < 1.0:
        return expected

    last, tokens = parts[-1]
    if is_known(table, hash_part(upstream, model, last), now):
        expected += tokens

    return expected


def find_trust(table: PrefixTable, now: float) -> float:
    """Return the probability that the upstream chosen by hash has an unknown part."""
    fresh = now - table.told_at <= FRESH_SECONDS
    if fresh and now - table.told_since >= LEARNING_SECONDS:
        return TOLD_TRUST

    return HASH_TRUST


def is_known(table: PrefixTable, key: int, now: float) -> bool:
    """Tell whether a part was read lately."""
    at = table.read.get(key)
    return at is not None and now - at <= LIFE_SECONDS


def prefer_upstream(upstreams: Iterable[str], key: str) -> str:
    """Return the upstream that all gateways prefer for a key (rendezvous hashing)."""
    return max(
        upstreams,
        key=lambda name: xxh32_intdigest(f"{name}/{key}".encode()),
        default="",
    )
