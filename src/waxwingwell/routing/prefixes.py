"""Which parts of prompts upstreams have probably cached.

A gateway knows what it sent itself. Of the rest it assumes that every gateway prefers
the same upstream for the same part, chosen by hash.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest


if TYPE_CHECKING:
    from collections.abc import Iterable


MAX_PARTS = 4_000
"""Parts remembered by one gateway, about 0.6 MB."""
LIFE_SECONDS = 30.0
"""After which a part is taken for evicted."""
HASH_TRUST = 0.7
"""Probability that the upstream chosen by hash has a part that we did not send."""

Part = tuple[str, int]
"""Id of a part of a prompt, and its tokens."""


@dataclass(slots=True)
class PrefixTable:
    """When a part was last sent to an upstream, by upstream, model and part."""

    sent: OrderedDict[tuple[str, str, str], float] = field(default_factory=OrderedDict)


def note_parts(
    table: PrefixTable, upstream: str, model: str, parts: Iterable[Part], now: float
) -> None:
    """Remember that an upstream has read the parts of a prompt."""
    for part, _ in parts:
        key = (upstream, model, part)
        table.sent[key] = now
        table.sent.move_to_end(key)

    while len(table.sent) > MAX_PARTS:
        table.sent.popitem(last=False)


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
    expected = 0.0
    chance = 1.0
    for part, tokens in parts[:-1]:
        at = table.sent.get((upstream, model, part))
        if at is None or now - at > LIFE_SECONDS:
            chance *= HASH_TRUST if preferred else 0.0

        if chance <= 0.0:
            break

        expected += chance * tokens

    last = parts[-1] if parts else None
    if last is not None and chance >= 1.0:
        at = table.sent.get((upstream, model, last[0]))
        if at is not None and now - at <= LIFE_SECONDS:
            expected += last[1]

    return expected


def prefer_upstream(upstreams: Iterable[str], key: str) -> str:
    """Return the upstream that all gateways prefer for a key (rendezvous hashing)."""
    return max(
        upstreams,
        key=lambda name: xxh32_intdigest(f"{name}/{key}".encode()),
        default="",
    )
