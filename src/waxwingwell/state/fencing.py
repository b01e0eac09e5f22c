"""Fencing at an entry, for upstreams that don't check who gives them an order."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ..records import UpstreamId


MAX_UPSTREAMS = 4096
"""Upstreams whose highest number is remembered one by one."""


@dataclass(slots=True)
class FencingMemory:
    """Highest fencing number seen for each upstream."""

    highest: dict[UpstreamId, int] = field(default_factory=dict)
    """By upstream, the one ordered longest ago first."""
    floor: int = 0
    """Lowest number accepted for any upstream: the highest among those forgotten, or
    the term of the leader that granted this entry's lease."""


def accept_order(memory: FencingMemory, upstream: UpstreamId, fencing: int) -> bool:
    """Tell whether an order may go to an upstream, and remember its number.

    Failure guarded against: a leader that was cut off wakes up and orders a withdrawn
    version loaded at an engine that ignores fencing numbers. All orders go through
    entries, and each entry refuses a number lower than one it has passed on.
    """
    highest = max(memory.highest.pop(upstream, 0), memory.floor)
    accepted = fencing >= highest
    memory.highest[upstream] = max(highest, fencing)
    while len(memory.highest) > MAX_UPSTREAMS:
        oldest = next(iter(memory.highest))
        memory.floor = max(memory.floor, memory.highest.pop(oldest))

    return accepted


def raise_floor(memory: FencingMemory, term: int) -> None:
    """Refuse orders below a leader's term from now on.

    Failure guarded against: two entries pass orders on, and one of them has not seen
    the new leader's first order. Its lease came from the new leader, or has run out.
    """
    memory.floor = max(memory.floor, term)
