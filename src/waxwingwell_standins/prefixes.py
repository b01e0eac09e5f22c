"""Bounded LRU cache of prompt prefixes."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .text import CHARACTERS_PER_TOKEN


if TYPE_CHECKING:
    from collections.abc import Iterator


BLOCK_CHARACTERS = 256
"""Characters in a prompt block; a prefix is a whole number of blocks."""


@dataclass(slots=True)
class PrefixCache:
    """Cached prefixes per version, least recently used first."""

    max_prefixes: int
    prefixes: OrderedDict[tuple[str, str], None] = field(default_factory=OrderedDict)


def split_prefixes(prompt: str) -> Iterator[str]:
    """Yield the block-aligned prefixes of a prompt, shortest first."""
    for end in range(BLOCK_CHARACTERS, len(prompt) + 1, BLOCK_CHARACTERS):
        yield prompt[:end]


def count_cached_tokens(cache: PrefixCache, version: str, prompt: str) -> int:
    """Return the number of prompt tokens covered by the longest cached prefix."""
    covered = 0
    for prefix in split_prefixes(prompt):
        if (version, prefix) not in cache.prefixes:
            break

        covered = len(prefix)

    return covered // CHARACTERS_PER_TOKEN


def store_prefixes(cache: PrefixCache, version: str, prompt: str) -> None:
    """Add the prefixes of a prompt and evict those beyond the limit."""
    for prefix in split_prefixes(prompt):
        cache.prefixes[version, prefix] = None
        cache.prefixes.move_to_end((version, prefix))

    while len(cache.prefixes) > cache.max_prefixes:
        cache.prefixes.popitem(last=False)
