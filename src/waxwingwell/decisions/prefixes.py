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


HIT_START = 0.95
"""Chance that a prefix just sent is found again."""
HIT_DECAY = 240.0
"""Seconds in which that chance falls to 1/e."""
HOME_HIT = 0.6
"""Chance that another entry has sent the prefix to the session's home."""
SURE = 0.06
"""Chance of a miss below which shorter prefixes are not looked at."""
KEPT_PREFIXES = 4096
"""Prefixes remembered for one upstream; the oldest are dropped."""
KEPT_HOMES = 20_000
"""Prefixes whose upstreams are remembered."""


def estimate_cached(
    row: UpstreamRow, work: Work, *, is_home: bool, now: float
) -> float:
    """Return the prompt tokens that the upstream is expected not to read again."""
    known = row.prefixes
    if not is_home and known.keys().isdisjoint(work.prefixes):
        return 0.0

    expected = 0.0
    missing = 1.0
    for digest, tokens in zip(work.prefixes, work.prefix_tokens, strict=False):
        sent_at = known.get(digest)
        if sent_at is not None:
            chance = HIT_START * exp(min(sent_at - now, 0.0) / HIT_DECAY)
        elif is_home:
            chance = HOME_HIT
        else:
            continue

        expected += missing * chance * tokens
        missing *= 1.0 - chance
        if missing < SURE:
            break

    return min(expected, float(work.prompt_tokens))


def find_home(work: Work, upstreams: Iterable[UpstreamId]) -> UpstreamId | None:
    """Return the upstream on which all entries agree for the work's session.

    Work without a session has none: its longest prefix is another on each turn.
    """
    if not work.session or not work.prefixes:
        return None

    best = None
    top = -1
    start = crc32(work.session.encode())
    for upstream in upstreams:
        weight = crc32(upstream.encode(), start) * 2654435761 & 0xFFFFFFFF
        if weight > top:
            best, top = upstream, weight

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

    drop_oldest(row.prefixes, KEPT_PREFIXES)
    drop_oldest(tables.homes, KEPT_HOMES)


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
