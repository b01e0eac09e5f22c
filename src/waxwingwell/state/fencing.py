"""Fencing at an entry, for upstreams that don't check fencing numbers themselves."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ..records import UpstreamId


MAX_UPSTREAMS = 4096
"""Upstreams whose highest fencing number is tracked individually."""


@dataclass(slots=True)
class FencingTable:
    """Highest fencing number seen for each upstream."""

    highest: dict[UpstreamId, int] = field(default_factory=dict)
    """Highest number by upstream, least recently ordered first."""
    floor: int = 0
    """Lowest number accepted for any upstream: the highest one of the upstreams that
    are no longer tracked, or the term of the leader that granted this entry's lease."""


def accept_order(table: FencingTable, upstream: UpstreamId, fencing: int) -> bool:
    """Return whether an order may be sent to an upstream, and record its number.

    A partitioned or frozen leader that resumes could order an engine that ignores
    fencing numbers to load a withdrawn version. All orders pass through entries, and
    each entry refuses numbers lower than the highest one it has forwarded.
    """
    highest = max(table.highest.pop(upstream, 0), table.floor)
    accepted = fencing >= highest
    table.highest[upstream] = max(highest, fencing)
    while len(table.highest) > MAX_UPSTREAMS:
        oldest = next(iter(table.highest))
        table.floor = max(table.floor, table.highest.pop(oldest))

    return accepted


def raise_floor(table: FencingTable, term: int) -> None:
    """Refuse orders below a leader's term from now on.

    An entry that has not yet seen an order of the new leader would otherwise still
    forward orders of the old one. By the time the new leader sends orders, the entry's
    lease was either granted by that leader, with its term, or has expired.
    """
    table.floor = max(table.floor, term)
