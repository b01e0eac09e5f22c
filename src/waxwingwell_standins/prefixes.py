"""Cache of prompt prefixes with limited memory, the least recently used go first."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .text import CHARACTERS_PER_TOKEN


if TYPE_CHECKING:
    from collections.abc import Iterator


BLOCK = 256
"""Characters in a block; a prefix is a whole number of blocks."""


@dataclass(slots=True)
class PrefixCache:
    """Prefixes by version, in the order of their last use."""

    limit: int
    used: OrderedDict[tuple[str, str], None] = field(default_factory=OrderedDict)


def cut_prefixes(prompt: str) -> Iterator[str]:
    """Yield the prefixes of a prompt, shortest first."""
    for end in range(BLOCK, len(prompt) + 1, BLOCK):
        yield prompt[:end]


def count_cached(cache: PrefixCache, version: str, prompt: str) -> int:
    """Return the prompt tokens that a cached prefix covers."""
    covered = 0
    for prefix in cut_prefixes(prompt):
        if (version, prefix) not in cache.used:
            break

        covered = len(prefix)

    return covered // CHARACTERS_PER_TOKEN


def keep_prefixes(cache: PrefixCache, version: str, prompt: str) -> None:
    """Remember the prefixes of a prompt, within the limit."""
    for prefix in cut_prefixes(prompt):
        cache.used[version, prefix] = None
        cache.used.move_to_end((version, prefix))

    while len(cache.used) > cache.limit:
        cache.used.popitem(last=False)
