"""Limits that upstreams state in their responses.

An upstream in need names the requests per second that it takes from all gateways
together. The limit applies until a response no longer names it.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field


@dataclass(slots=True)
class UpstreamLimit:
    """The limit that one incarnation of an upstream names."""

    incarnation: int
    rate: float
    """Requests per second that all gateways together may send."""
    named_at: float
    """Time at which the last response that names the limit arrived."""
    cleared_at: float = -math.inf
    """Time at which the last request was sent whose response names no limit."""


@dataclass(slots=True)
class LimitTable:
    """Limits by upstream."""

    upstreams: dict[str, UpstreamLimit] = field(default_factory=dict)


def record_statement(
    table: LimitTable,
    upstream: str,
    incarnation: int,
    rate: float | None,
    *,
    sent_at: float,
    now: float,
) -> bool:
    """Record what a response states; return whether the known limit has changed.

    ``rate`` is the limit that it names, if any. ``sent_at`` is the time at which its
    request was sent: responses may overtake each other, so a limit ends or rises only
    by a response to a request that was sent after the limit was last named.
    """
    held = table.upstreams.get(upstream)
    if held is not None and incarnation < held.incarnation:
        return False

    if held is None or incarnation > held.incarnation:
        if rate is not None:
            table.upstreams[upstream] = UpstreamLimit(incarnation, rate, now)
        elif held is not None:
            del table.upstreams[upstream]

        return rate is not None or held is not None

    newer = sent_at > held.named_at
    was_cleared = held.cleared_at > held.named_at
    if rate is None:
        if newer:
            held.cleared_at = max(held.cleared_at, sent_at)

        return newer and not was_cleared

    changed = was_cleared or (rate != held.rate and (newer or rate < held.rate))
    if newer or rate < held.rate:
        held.rate = rate

    held.named_at = now
    return changed
