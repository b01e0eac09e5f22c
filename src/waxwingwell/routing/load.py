"""Load of the upstreams, as one gateway knows it.

A gateway knows its own requests exactly. Those of the other gateways come as totals
that are a fraction of a second old, the same for all gateways.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .messages import UpstreamUse


if TYPE_CHECKING:
    from collections.abc import Iterable


MAX_TOTAL_AGE_SECONDS = 1.5
"""Age up to which the other gateways' totals are used; they come four times a
second."""
ASSUMED_GATEWAYS = 64
"""Gateways assumed before the first totals; about the largest number deployed."""
PEAK_SECONDS = 60.0
"""Seconds for which the largest reported number of gateways counts; longer than
partitions between controls last."""
USAGE_WINDOW_SECONDS = 3.0
"""Window over which the usage of engines is measured; bursts last a few seconds."""
TYPICAL_OUTPUT_PART = 0.3
"""Part of the allowed output tokens that a response usually has."""


@dataclass(slots=True)
class UpstreamLoad:
    """Requests in flight at one upstream."""

    running: int = 0
    backlog: float = 0.0
    """Milliseconds of prefill for requests that have no first event yet."""
    tokens: int = 0
    """Tokens of engine memory that the requests need: prompts and expected output."""


@dataclass(slots=True)
class LoadTable:
    """Load of upstreams by id: this gateway's own, and that of the others."""

    own: dict[str, UpstreamLoad] = field(default_factory=dict)
    others: dict[str, UpstreamLoad] = field(default_factory=dict)
    others_prefill_ms: float = 0.0
    """Milliseconds of prefill that the other gateways requested recently."""
    others_at: float = -math.inf
    """Time by which the totals of the other gateways were counted: when they were
    received, less what they may be late."""
    recent_prefills: deque[tuple[float, float]] = field(default_factory=deque)
    """Times of this gateway's recent requests, each with its prefill milliseconds."""
    gateways: int = 1
    """Gateways that share the upstreams, including this one."""
    peak_gateways: int = 1
    """Largest number of gateways reported recently."""
    peak_at: float = -math.inf
    """Time at which that number was last reported."""


def record_prefill(table: LoadTable, work: float, now: float) -> None:
    """Record the prefill work of a request that is sent, in milliseconds."""
    table.recent_prefills.append((now, work))
    while (
        table.recent_prefills
        and table.recent_prefills[0][0] < now - USAGE_WINDOW_SECONDS
    ):
        table.recent_prefills.popleft()


def count_gateways(table: LoadTable) -> int:
    """Return how many gateways share a budget; a large number before the first totals.

    After a restart without reachable controls, or while a partition between controls
    hides some gateways, a low count would give each gateway too large a share of the
    budget, and together they would send many times what is allowed.
    """
    if table.others_at == -math.inf:
        return ASSUMED_GATEWAYS

    return max(table.peak_gateways, table.gateways)


def count_reported_gateways(table: LoadTable) -> float:
    """Return the largest recent number of gateways, or infinity before any report."""
    return math.inf if table.others_at == -math.inf else count_gateways(table)


def count_known_gateways(table: LoadTable) -> int:
    """Return the largest recent number of gateways, or 0 before any report."""
    return 0 if table.others_at == -math.inf else count_gateways(table)


def estimate_usage(table: LoadTable, capacity: float, now: float) -> float:
    """Return the share of the engines' time that prefill takes.

    ``capacity`` is that of the engines together, in median engines.
    Without recent totals, each other gateway is assumed to send as much as this one.
    """
    work = sum_recent_prefill(table, now)
    if now - table.others_at <= MAX_TOTAL_AGE_SECONDS:
        work += table.others_prefill_ms
    else:
        work *= table.gateways

    return work / (1000.0 * USAGE_WINDOW_SECONDS * (capacity or 1.0))


def sum_recent_prefill(table: LoadTable, now: float) -> float:
    """Return the milliseconds of prefill that this gateway requested recently."""
    since = now - USAGE_WINDOW_SECONDS
    return sum(amount for at, amount in table.recent_prefills if at >= since)


def estimate_output_tokens(expected: int, most: int) -> int:
    """Return the output tokens that a request probably gets.

    ``expected`` is its caller's estimate, 0 if there is none; ``most`` is the limit.
    """
    tokens = expected or round(TYPICAL_OUTPUT_PART * most)
    return min(tokens, most) if most > 0 else tokens


def add_running(table: LoadTable, upstream: str, work: float, tokens: int = 0) -> None:
    """Count a request that is sent to an upstream."""
    use = table.own.setdefault(upstream, UpstreamLoad())
    use.running += 1
    use.backlog += work
    use.tokens += tokens


def remove_backlog(table: LoadTable, upstream: str, work: float) -> None:
    """Remove the prefill of a request from the backlog."""
    use = table.own.get(upstream)
    if use is not None:
        use.backlog = max(use.backlog - work, 0.0)


def remove_running(table: LoadTable, upstream: str, tokens: int = 0) -> None:
    """Stop counting a request that has ended; ``tokens`` as given when it was sent."""
    use = table.own.get(upstream)
    if use is None:
        return

    use.running -= 1
    use.tokens = max(use.tokens - tokens, 0)
    if use.running <= 0:
        del table.own[upstream]


def list_own_load(table: LoadTable) -> tuple[UpstreamUse, ...]:
    """Return this gateway's own load, to be reported to the others."""
    return tuple(
        UpstreamUse(
            upstream=name,
            running=use.running,
            backlog=round(use.backlog),
            tokens=use.tokens,
        )
        for name, use in table.own.items()
    )


def apply_totals(
    table: LoadTable,
    total: Iterable[UpstreamUse],
    reported: Iterable[UpstreamUse],
    *,
    work: float,
    gateways: int,
    now: float,
    late: float = 0.0,
) -> None:
    """Store the totals over all gateways, less what they include of this gateway.

    ``late`` is the number of seconds by which a part of the totals may be late.
    """
    reported_uses = {use.upstream: use for use in reported}
    table.others = {}
    for use in total:
        reported_use = reported_uses.get(use.upstream)
        running = use.running - (reported_use.running if reported_use else 0)
        backlog = use.backlog - (reported_use.backlog if reported_use else 0.0)
        if running > 0:
            tokens = use.tokens - (reported_use.tokens if reported_use else 0)
            table.others[use.upstream] = UpstreamLoad(
                running, max(backlog, 0.0), max(tokens, 0)
            )

    table.others_prefill_ms = max(work, 0.0)
    table.others_at = now - late
    table.gateways = max(gateways, 1)
    if gateways >= table.peak_gateways or now - table.peak_at > PEAK_SECONDS:
        table.peak_gateways = table.gateways
        table.peak_at = now


def count_running(table: LoadTable, upstream: str) -> int:
    """Return the requests of all gateways that an upstream runs."""
    own = table.own.get(upstream)
    other = table.others.get(upstream)
    return (own.running if own else 0) + (other.running if other else 0)


def get_total_load(table: LoadTable, upstream: str) -> UpstreamLoad:
    """Return the load that all gateways together have at an upstream."""
    own = table.own.get(upstream)
    other = table.others.get(upstream)
    return UpstreamLoad(
        count_running(table, upstream),
        (own.backlog if own else 0.0) + (other.backlog if other else 0.0),
        (own.tokens if own else 0) + (other.tokens if other else 0),
    )
