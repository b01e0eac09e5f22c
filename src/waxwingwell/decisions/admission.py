"""Admit or refuse a request: the workspace's limits and the wait that is implied.

A refusal is final and immediate and names the time to come back; nothing is taken
for it, and nothing is held back. Limits are shared between entries by the demand
that they tell one another, so an entry without news keeps to the share it knows.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from zlib import crc32

from .claims import release_claim
from .rates import count_event
from .rates import decay_rate
from .tables import Refusal
from .tables import WorkspaceDemand
from .waits import estimate_queue_wait


if TYPE_CHECKING:
    from ..records import Limits
    from .tables import Tables
    from .tables import Work


BURST_SECONDS = 1.0
"""Length of a burst at full rate that the token bucket lets through."""
RATE_WINDOW = 3.0
"""Seconds over which the offered rate is smoothed."""
MIN_RATE = 0.001
"""Requests a second below which a workspace counts as idle."""
MIN_SHARE = 0.02
"""Share of a limit that an entry may use although it has had no demand of late."""
MIN_RETRY_AFTER = 0.5
MAX_RETRY_AFTER = 30.0


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request may go on; ``release`` must follow, whatever becomes of it."""

    wait: float
    """Seconds of waiting that the queue implies for it."""


def admit(tables: Tables, work: Work, now: float) -> Admitted | Refusal:
    """Admit the work and count it, or refuse it and take nothing."""
    config = tables.workspaces.get(work.workspace)
    if config is None:
        return Refusal("unknown_workspace", "the workspace is not configured", 403)

    limits = config.limits
    demand = tables.demand.setdefault(work.workspace, WorkspaceDemand())
    refill_tokens(demand, limits, now)
    demand.rate = count_event(demand.rate, demand.rate_updated_at, RATE_WINDOW, now)
    demand.rate_updated_at = now
    refusal = check_limits(demand, limits, work)
    if refusal is not None:
        return refusal

    wait = estimate_queue_wait(tables, work, now)
    if wait > limits.max_wait:
        return refuse_long_wait(work, wait - limits.max_wait)

    demand.tokens -= 1.0
    demand.in_flight += 1
    demand.held[work.priority] = demand.held.get(work.priority, 0) + 1
    return Admitted(wait)


def smooth_demand(tables: Tables, now: float) -> None:
    """Let the offered rates decay; run it each tick, before demand is told to others.

    Failure guarded against: a rate is counted up by requests only, so an entry whose
    callers have gone would keep its old share of a limit from the others for good.
    """
    for demand in tables.demand.values():
        rate = decay_rate(demand.rate, demand.rate_updated_at, RATE_WINDOW, now)
        demand.rate = rate if rate >= MIN_RATE else 0.0
        demand.rate_updated_at = max(now, demand.rate_updated_at)


def check_limits(demand: WorkspaceDemand, limits: Limits, work: Work) -> Refusal | None:
    """Return why the workspace's own limits stand against one more request."""
    if demand.in_flight >= get_in_flight_limit(demand, limits):
        return Refusal(
            "too_many_in_flight",
            f"the workspace has {limits.max_in_flight} requests in flight at most",
            429,
            jitter_retry_after(work, MIN_RETRY_AFTER),
        )

    if demand.tokens < 1.0:
        refill_rate = max(limits.requests_per_second * get_limit_share(demand), 0.001)
        return Refusal(
            "rate_limited",
            f"the workspace has {limits.requests_per_second:g} requests a second",
            429,
            jitter_retry_after(work, (1.0 - demand.tokens) / refill_rate),
        )

    return None


def refuse_long_wait(work: Work, excess: float) -> Refusal:
    """Return the refusal of work that would wait ``excess`` seconds too long."""
    return Refusal(
        "overloaded",
        "the wait would be longer than the workspace allows",
        503,
        jitter_retry_after(work, excess),
    )


def refill_tokens(demand: WorkspaceDemand, limits: Limits, now: float) -> None:
    """Let the bucket fill at this entry's share of the rate; it never overflows."""
    share = get_limit_share(demand)
    depth = max(limits.requests_per_second * BURST_SECONDS * share, 1.0)
    if demand.refilled_at == 0.0 and demand.rate_updated_at == 0.0:
        demand.tokens = depth
    else:
        refilled = max(now - demand.refilled_at, 0.0) * limits.requests_per_second
        demand.tokens = min(demand.tokens + refilled * share, depth)

    demand.refilled_at = max(now, demand.refilled_at)


def get_limit_share(demand: WorkspaceDemand) -> float:
    """Return this entry's share of the workspace's limits, by offered demand."""
    if demand.elsewhere_rate <= 0.0:
        return 1.0

    return max(demand.rate / (demand.rate + demand.elsewhere_rate), MIN_SHARE)


def get_in_flight_limit(demand: WorkspaceDemand, limits: Limits) -> int:
    """Return how many requests this entry may hold for the workspace.

    What the others do not hold is free. Failure guarded against: with late news all
    entries would take the same free places at once; each takes at most its share of
    the limit and half of what is free beyond that.
    """
    free = max(limits.max_in_flight - demand.elsewhere_in_flight, 0)
    if demand.elsewhere_rate <= 0.0:
        return free

    fair_share = limits.max_in_flight * get_limit_share(demand)
    return max(int(min(free, fair_share + (free - fair_share) / 2)), 1)


def jitter_retry_after(work: Work, seconds: float) -> float:
    """Return a time to come back, spread so that not all callers return together."""
    jitter = 0.75 + 0.5 * (crc32(work.request.encode()) & 0xFF) / 255
    bounded = min(max(seconds, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
    return round(bounded * jitter, 3)


def release(tables: Tables, work: Work, now: float) -> None:
    """Give back what ``admit`` counted; once for each admitted request."""
    release_claim(tables, work.request)
    demand = tables.demand.get(work.workspace)
    if demand is None:
        return

    demand.in_flight = max(demand.in_flight - 1, 0)
    held = demand.held.get(work.priority, 0)
    demand.held[work.priority] = max(held - 1, 0)
