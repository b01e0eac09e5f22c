"""Guess how much of a prompt an upstream still has in its prefix cache.

Cache events come late and with gaps, so a hit is a probability: it starts below one
and decays with the time since the prefix was last sent or reported there. What the
other entries sent is unknown here; they agree without messages on a session's home
by rendezvous hashing, so the home has a probability of its own.
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
"""Chance that a prefix just sent is found again."""
HIT_DECAY_SECONDS = 240.0
"""Seconds in which that chance falls to 1/e."""
HOME_HIT_PROBABILITY = 0.6
"""Chance that another entry has sent the prefix to the session's home."""
NEGLIGIBLE_MISS = 0.06
"""Chance of a miss below which shorter prefixes are not looked at."""
MAX_KEPT_PREFIXES = 4096
"""Prefixes remembered for one upstream; the oldest are dropped."""
MAX_INDEXED_PREFIXES = 20_000
"""Prefixes whose upstreams are remembered."""


def estimate_cached(
    row: UpstreamRow, work: Work, *, is_home: bool, now: float
) -> float:
    """Return the prompt tokens that the upstream is expected not to read again."""
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
    """Return the upstream on which all entries agree for the work's session.

    Work without a session has none: its longest prefix is another on each turn.
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


def remember_prefixes(
    tables: Tables, upstream: UpstreamId, digests: Iterable[str], now: float
) -> None:
    """Note that prompts with these prefixes are at the upstream from ``now`` on."""
    row = tables.upstreams.get(upstream)
    if row is None:
        return

    for digest in digests:
        row.prefixes.pop(digest, None)
        row.prefixes[digest] = now
        homes = tables.homes.pop(digest, {})
        homes[upstream] = now
        tables.homes[digest] = homes

    drop_oldest(row.prefixes, MAX_KEPT_PREFIXES)
    drop_oldest(tables.homes, MAX_INDEXED_PREFIXES)


def note_evicted(tables: Tables, upstream: UpstreamId, digests: Iterable[str]) -> None:
    """Take a cache event: the upstream no longer holds these prefixes."""
    row = tables.upstreams.get(upstream)
    if row is None:
        return

    for digest in digests:
        row.prefixes.pop(digest, None)
        tables.homes.get(digest, {}).pop(upstream, None)


def drop_oldest(
    table: dict[str, float] | dict[str, dict[UpstreamId, float]], cap: int
) -> None:
    """Drop the entries written longest ago until at most ``cap`` are left."""
    while len(table) > cap:
        del table[next(iter(table))]
