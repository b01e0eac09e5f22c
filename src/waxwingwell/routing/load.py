"""What is running where, as one gateway knows it.

Its own requests it knows exactly; those of the others come in sums that are a fraction
of a second old, and all gateways read the same ones.
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


FRESH_SECONDS = 1.5
"""Age up to which the others' sum is used; it comes four times a second."""
MANY_GATEWAYS = 64
"""Assumed by a gateway that has heard of no other yet; about the largest in use."""
MOST_SECONDS = 60.0
"""For which the largest number of gateways counts after it was heard last: longer than
controls are cut off from each other."""
USAGE_SECONDS = 3.0
"""Time over which the usage of engines is taken; bursts last a few seconds."""


@dataclass(slots=True)
class Use:
    """Requests under way at one upstream."""

    running: int = 0
    backlog: float = 0.0
    """Milliseconds of work for prompts whose first event has not come back."""


@dataclass(slots=True)
class LoadTable:
    """Use of upstreams by id."""

    own: dict[str, Use] = field(default_factory=dict)
    others: dict[str, Use] = field(default_factory=dict)
    others_work: float = 0.0
    """Milliseconds of reading that the others asked for lately."""
    others_at: float = -math.inf
    """When the sum of the others came."""
    sent: deque[tuple[float, float]] = field(default_factory=deque)
    """When we sent prompts lately, and the milliseconds of reading each asks for."""
    gateways: int = 1
    """Gateways that share the upstreams, this one among them."""
    most_gateways: int = 1
    """The most that were heard of lately."""
    most_at: float = -math.inf
    """When they were heard of last."""


def note_work(table: LoadTable, work: float, now: float) -> None:
    """Remember the reading that a request asks for."""
    table.sent.append((now, work))
    while table.sent and table.sent[0][0] < now - USAGE_SECONDS:
        table.sent.popleft()


def count_gateways(table: LoadTable) -> int:
    """Return how many gateways share a budget; many until a control has told.

    Failure: all gateways restart while controls are away, or controls are cut off from
    each other and sum a part of the gateways. Each gateway would take too large a part
    of the budget, and together they would send many times what is allowed.
    """
    if table.others_at == -math.inf:
        return MANY_GATEWAYS

    return max(table.most_gateways, table.gateways)


def estimate_usage(table: LoadTable, engines: int, now: float) -> float:
    """Return the share of engines' time that reading takes.

    While controls are away, the others are taken to send as much as we do.
    """
    work = read_work(table, now)
    if now - table.others_at <= FRESH_SECONDS:
        work += table.others_work
    else:
        work *= table.gateways

    return work / (1000.0 * USAGE_SECONDS * max(engines, 1))


def read_work(table: LoadTable, now: float) -> float:
    """Return the milliseconds of reading that we asked for lately."""
    since = now - USAGE_SECONDS
    return sum(amount for at, amount in table.sent if at >= since)


def begin_use(table: LoadTable, upstream: str, work: float) -> None:
    """Count a request that is sent."""
    use = table.own.setdefault(upstream, Use())
    use.running += 1
    use.backlog += work


def end_prefill(table: LoadTable, upstream: str, work: float) -> None:
    """Count a request whose prompt has been read."""
    use = table.own.get(upstream)
    if use is not None:
        use.backlog = max(use.backlog - work, 0.0)


def end_use(table: LoadTable, upstream: str) -> None:
    """Count a request that is over."""
    use = table.own.get(upstream)
    if use is None:
        return

    use.running -= 1
    if use.running <= 0:
        del table.own[upstream]


def list_use(table: LoadTable) -> tuple[UpstreamUse, ...]:
    """Return our own use, to be told to others."""
    return tuple(
        UpstreamUse(upstream=name, running=use.running, backlog=round(use.backlog))
        for name, use in table.own.items()
    )


def take_sum(
    table: LoadTable,
    total: Iterable[UpstreamUse],
    reported: Iterable[UpstreamUse],
    *,
    work: float,
    gateways: int,
    now: float,
) -> None:
    """Take the sum over all gateways, less the share that we reported ourselves."""
    ours = {use.upstream: use for use in reported}
    table.others = {}
    for use in total:
        mine = ours.get(use.upstream)
        running = use.running - (mine.running if mine else 0)
        backlog = use.backlog - (mine.backlog if mine else 0.0)
        if running > 0:
            table.others[use.upstream] = Use(running, max(backlog, 0.0))

    table.others_work = max(work, 0.0)
    table.others_at = now
    table.gateways = max(gateways, 1)
    if gateways >= table.most_gateways or now - table.most_at > MOST_SECONDS:
        table.most_gateways = table.gateways
        table.most_at = now


def read_use(table: LoadTable, upstream: str) -> Use:
    """Return what all gateways have running at an upstream."""
    own = table.own.get(upstream)
    other = table.others.get(upstream)
    return Use(
        (own.running if own else 0) + (other.running if other else 0),
        (own.backlog if own else 0.0) + (other.backlog if other else 0.0),
    )
