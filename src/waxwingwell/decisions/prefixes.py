"""Estimate how much of a prompt is in an upstream's prefix cache.

Cache events arrive late and with gaps, so a hit is a probability: it starts below one
and decays with the time since the prefix was last sent to or reported by the upstream.
The requests of other entries are unknown here; all entries agree on a session's home
upstream by rendezvous hashing, without messages, so the home has its own probability.
"""

from __future__ import annotations

from math import exp
from typing import TYPE_CHECKING
from zlib import crc32


if TYPE_CHECKING:
    from collections.abc import Iterable

    from ..records import UpstreamId
    from .tables import Tables
    from .tables import UpstreamRow
    from .tables import Work


INITIAL_HIT_PROBABILITY = 0.95
"""Probability that a prefix sent just now is still cached."""
HIT_DECAY_SECONDS = 240.0
"""Seconds in which the hit probability falls to 1/e."""
HOME_HIT_PROBABILITY = 0.6
"""Probability that another entry has sent the prefix to the session's home."""
NEGLIGIBLE_MISS = 0.06
"""Probability of a miss below which shorter prefixes are ignored."""
MAX_KEPT_PREFIXES = 4096
"""Maximum number of prefixes kept per upstream; the oldest are dropped."""
MAX_INDEXED_PREFIXES = 20_000
"""Maximum number of prefixes in the index of recent upstreams."""


def estimate_cached(
    row: UpstreamRow, work: Work, *, is_home: bool, now: float
) -> float:
    """Return the expected number of prompt tokens that need no prefill."""
    known = row.prefixes
    if not is_home and known.keys().isdisjoint(work.prefixes):
        return 0.0

    expected = 0.0
    miss_probability = 1.0
    for digest, tokens in zip(work.prefixes, work.prefix_tokens, strict=False):
        sent_at = known.get(digest)
        if sent_at is not None:
            hit_probability = INITIAL_HIT_PROBABILITY * exp(
                min(sent_at - now, 0.0) / HIT_DECAY_SECONDS
            )
        elif is_home:
            hit_probability = HOME_HIT_PROBABILITY
        else:
            continue

        expected += miss_probability * hit_probability * tokens
        miss_probability *= 1.0 - hit_probability
        if miss_probability < NEGLIGIBLE_MISS:
            break

    return min(expected, float(work.prompt_tokens))


def find_home(work: Work, upstreams: Iterable[UpstreamId]) -> UpstreamId | None:
    """Return the home upstream of the work's session, the same at every entry.

    Work without a session has none: its longest prefix changes with each turn.
    """
    if not work.session or not work.prefixes:
        return None

    best = None
    highest = -1
    seed = crc32(work.session.encode())
    for upstream in upstreams:
        weight = crc32(upstream.encode(), seed) * 2654435761 & 0xFFFFFFFF
        if weight > highest:
            best, highest = upstream, weight

    return best


def record_prefixes(
    tables: Tables, upstream: UpstreamId, digests: Iterable[str], now: float
) -> None:
    """Record that prompts with these prefixes are at the upstream as of ``now``."""
    row = tables.upstreams.get(upstream)
    if row is None:
        return

    for digest in digests:
        row.prefixes.pop(digest, None)
        row.prefixes[digest] = now
        recent_upstreams = tables.recent_upstreams.pop(digest, {})
        recent_upstreams[upstream] = now
        tables.recent_upstreams[digest] = recent_upstreams

    drop_oldest(row.prefixes, MAX_KEPT_PREFIXES)
    drop_oldest(tables.recent_upstreams, MAX_INDEXED_PREFIXES)


def record_evicted(
    tables: Tables, upstream: UpstreamId, digests: Iterable[str]
) -> None:
    """Apply a cache event: the upstream has evicted these prefixes."""
    row = tables.upstreams.get(upstream)
    if row is None:
        return

    for digest in digests:
        row.prefixes.pop(digest, None)
        tables.recent_upstreams.get(digest, {}).pop(upstream, None)


def drop_oldest(
    table: dict[str, float] | dict[str, dict[UpstreamId, float]], cap: int
) -> None:
    """Drop the least recently written entries until at most ``cap`` remain."""
    while len(table) > cap:
        del table[next(iter(table))]
