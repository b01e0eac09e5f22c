"""Admit or refuse a request by its workspace's limits and its expected wait.

A refusal is final and immediate, names the time to retry, and uses up neither tokens
nor capacity. The entries divide the limits by the demand that they report to one
another; an entry without recent reports keeps the share it last knew.
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
"""Depth of the token bucket, in seconds at the full rate."""
RATE_WINDOW = 3.0
"""Seconds over which the offered request rate is smoothed."""
MIN_RATE = 0.001
"""Requests per second below which a workspace counts as idle."""
MIN_SHARE = 0.02
"""Minimum share of a limit for an entry without recent demand."""
MIN_RETRY_AFTER = 0.5
"""Minimum seconds to retry after, before jitter."""
MAX_RETRY_AFTER = 30.0
"""Maximum seconds to retry after, before jitter."""


@dataclass(frozen=True, slots=True)
class Admitted:
    """The request is admitted; ``release`` must be called whatever its outcome."""

    wait: float
    """Expected seconds in the waiting queue."""


def admit(tables: Tables, work: Work, now: float) -> Admitted | Refusal:
    """Admit the work and count it, or refuse it.

    A refusal uses up no token; it counts only in the workspace's offered rate.
    """
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
    demand.in_flight_by_priority[work.priority] = (
        demand.in_flight_by_priority.get(work.priority, 0) + 1
    )
    return Admitted(wait)


def smooth_demand(tables: Tables, now: float) -> None:
    """Decay the offered rates; call it on each tick, before demand is reported.

    Only requests update a rate, so without this an entry whose callers have left
    would withhold its former share of a limit from the other entries indefinitely.
    """
    for demand in tables.demand.values():
        rate = decay_rate(demand.rate, demand.rate_updated_at, RATE_WINDOW, now)
        demand.rate = rate if rate >= MIN_RATE else 0.0
        demand.rate_updated_at = max(now, demand.rate_updated_at)


def check_limits(demand: WorkspaceDemand, limits: Limits, work: Work) -> Refusal | None:
    """Return the refusal if one more request exceeds the workspace's limits."""
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
    """Return the refusal of work whose wait exceeds the limit by ``excess`` seconds."""
    return Refusal(
        "overloaded",
        "the wait would be longer than the workspace allows",
        503,
        jitter_retry_after(work, excess),
    )


def refill_tokens(demand: WorkspaceDemand, limits: Limits, now: float) -> None:
    """Refill the token bucket at this entry's share of the rate, up to its depth."""
    share = get_limit_share(demand)
    depth = max(limits.requests_per_second * BURST_SECONDS * share, 1.0)
    if demand.refilled_at == 0.0 and demand.rate_updated_at == 0.0:
        demand.tokens = depth
    else:
        refilled = max(now - demand.refilled_at, 0.0) * limits.requests_per_second
        demand.tokens = min(demand.tokens + refilled * share, depth)

    demand.refilled_at = max(now, demand.refilled_at)


def get_limit_share(demand: WorkspaceDemand) -> float:
    """Return this entry's share of the workspace's limits, by offered rate."""
    if demand.other_entries_rate <= 0.0:
        return 1.0

    return max(demand.rate / (demand.rate + demand.other_entries_rate), MIN_SHARE)


def get_in_flight_limit(demand: WorkspaceDemand, limits: Limits) -> int:
    """Return how many requests this entry may have in flight for the workspace.

    Capacity that the other entries do not use is free. With late reports all entries
    could take the same free capacity at once, so each takes at most its fair share of
    the limit and half of the free capacity beyond that.
    """
    free = max(limits.max_in_flight - demand.other_entries_in_flight, 0)
    if demand.other_entries_rate <= 0.0:
        return free

    fair_share = limits.max_in_flight * get_limit_share(demand)
    return max(int(min(free, fair_share + (free - fair_share) / 2)), 1)


def jitter_retry_after(work: Work, seconds: float) -> float:
    """Return the seconds to retry after, with jitter to desynchronise the callers."""
    jitter = 0.75 + 0.5 * (crc32(work.request.encode()) & 0xFF) / 255
    bounded = min(max(seconds, MIN_RETRY_AFTER), MAX_RETRY_AFTER)
    return round(bounded * jitter, 3)


def release(tables: Tables, work: Work, now: float) -> None:
    """Undo the in-flight counts of ``admit``, and release the request's claim.

    Call it once for each admitted request. The token is not returned.
    """
    release_claim(tables, work.request)
    demand = tables.demand.get(work.workspace)
    if demand is None:
        return

    demand.in_flight = max(demand.in_flight - 1, 0)
    held = demand.in_flight_by_priority.get(work.priority, 0)
    demand.in_flight_by_priority[work.priority] = max(held - 1, 0)
