"""Upstreams on which the target of a roll-out is tried while its share is small.

Spread over all of the target's upstreams, a small share loads none of them as much as
the version has to bear later. On a subset of little more than that share, each bears
nearly its usual load. Gateways agree without communication, as each ranks the same
upstreams by hash.
"""

from __future__ import annotations

import math
from functools import lru_cache
from itertools import islice
from operator import itemgetter
from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from .fleet import Announcement


MIN_CANARIES = 2
"""Least size of the subset: a single upstream that crashes must not look like a bad
version."""
CANARY_LOAD = 0.75
"""Load of a canary as a part of the usual load of an upstream. Requests are spread less
evenly over few upstreams, and their waits must not look like a slow version."""
SHARE_DIGITS = 6
"""Decimal places to which a number of upstreams is exact, despite binary fractions."""


def list_canaries(ranked: Sequence[Announcement], share: float) -> list[Announcement]:
    """Return the subset of the target's ranked upstreams for a share."""
    return list(ranked[: count_canaries(len(ranked), share)])


def prefer_canaries(
    ranked: Sequence[Announcement],
    usable: Sequence[Announcement],
    share: float,
    is_ready: Callable[[Announcement], bool],
) -> list[Announcement]:
    """Return those of the target's ranked upstreams among which a request is placed.

    Canaries that are not usable or not ready are replaced by the next in rank. If no
    upstream is ready, all that are usable are returned.
    """
    names = {one.upstream for one in usable}
    ready = (one for one in ranked if one.upstream in names and is_ready(one))
    found = list(islice(ready, count_canaries(len(ranked), share)))
    return found or list(usable)


def count_canaries(upstreams: int, share: float) -> int:
    """Return the size of the subset of a number of upstreams."""
    count = math.ceil(round(share * upstreams / CANARY_LOAD, SHARE_DIGITS))
    return min(max(count, MIN_CANARIES), upstreams)


def rank_upstreams(
    upstreams: Sequence[Announcement], ordered_at: float
) -> list[Announcement]:
    """Return upstreams in the order in which a roll-out uses them.

    Each data centre is represented in proportion to its upstreams, as far as possible:
    responses from another one take longer, which must not look like a slow version.
    """
    members: dict[str, list[Announcement]] = {}
    for one in upstreams:
        members.setdefault(one.data_centre, []).append(one)

    placed = []
    for local in members.values():
        hashed = sorted(
            ((hash_upstream(ordered_at, one.upstream), one) for one in local),
            key=itemgetter(0),
        )
        placed += [
            ((place + 0.5) / len(local), rank, one)
            for place, (rank, one) in enumerate(hashed)
        ]

    placed.sort(key=lambda entry: entry[:2])
    return [one for _, _, one in placed]


@lru_cache(maxsize=4_096)
def hash_upstream(ordered_at: float, upstream: str) -> tuple[int, str]:
    """Return an upstream's rank in a roll-out; its id breaks ties."""
    return xxh32_intdigest(f"{ordered_at}/{upstream}".encode()), upstream
