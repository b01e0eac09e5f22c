"""Choose the upstream for a request, and maintain the table that the choice reads.

The choice minimises the expected time to the first token: queueing, prefill of the
prompt tokens that are probably not cached, and the network round trip. Load is
bounded: an upstream at its limit for the work's priority receives no more of it.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..records import UpstreamId
from .candidates import find_candidates
from .claims import release_claim
from .ejection import UNRESPONSIVE_WEIGHT
from .ejection import end_ejection
from .ejection import record_failure
from .ejection import record_success
from .load import PRIORITY_LOAD_LIMITS
from .load import estimate_outstanding
from .load import estimate_scale
from .load import estimate_wait
from .load import get_outstanding_limit
from .load import get_prefill_rate
from .load import trim_times
from .prefixes import estimate_cached
from .prefixes import find_home
from .prefixes import record_prefixes
from .rates import count_event
from .tables import Refusal
from .waits import FINISH_WINDOW


if TYPE_CHECKING:
    from ..records import VersionId
    from .tables import Tables
    from .tables import UpstreamRow
    from .tables import Work


TIE_SECONDS = 0.004
"""Difference in seconds up to which estimates count as tied."""
TIE_SHARE = 0.1
"""Difference, as a share of the best estimate, up to which estimates count as tied."""
BUSY = "busy"
"""Refusal code for work that may wait in the queue instead."""
UNAVAILABLE = "no_upstream"
BUSY_RETRY_AFTER = 1.0
"""Seconds to retry after when every upstream is at capacity."""
UNAVAILABLE_RETRY_AFTER = 5.0
"""Seconds to retry after when no upstream serves the work."""


@dataclass(frozen=True, slots=True)
class UpstreamChoice:
    """The chosen upstream and its estimated latency."""

    upstream: UpstreamId
    wait: float
    """Expected seconds before it starts the work."""
    first_token: float
    """Expected seconds to the first token at this entry."""
    reason: str
    """``home``, ``prefix``, ``load`` or ``only``; for traces and metrics."""


@dataclass(slots=True)
class UpstreamEstimate:
    """Estimated latency, in seconds, and cached tokens of one upstream."""

    upstream: UpstreamId
    wait: float
    first_token: float
    cached: float
    round_trip: float
    """Seconds of the network round trip."""


def choose_upstream(
    tables: Tables,
    work: Work,
    version: VersionId,
    *,
    exclude: frozenset[UpstreamId] = frozenset(),
    now: float,
    draw: float,
) -> UpstreamChoice | Refusal:
    """Return the best upstream for the work, or why there is none.

    ``draw`` is uniform in [0, 1). ``version`` is ignored for plain services. Work
    refused with code ``busy`` may wait in the queue; any other refusal is final.
    """
    found = find_candidates(tables, work, version, exclude, now=now, draw=draw)
    if not found.rows and found.ejected is not None:
        end_ejection(found.ejected, now)
        found.rows.append(found.ejected)

    if not found.rows:
        return Refusal(
            UNAVAILABLE,
            f"no upstream serves {work.service or version}",
            503,
            UNAVAILABLE_RETRY_AFTER,
        )

    available = filter_by_capacity(tables, work, found.rows)
    if not available:
        return Refusal(BUSY, "every upstream is at its bound", 503, BUSY_RETRY_AFTER)

    home = find_home(work, (row.announcement.upstream for row in found.rows))
    estimates = [
        estimate_row(tables, work, row, outstanding, home=home, now=now)
        for row, outstanding in available
    ]
    return pick_estimate(estimates, home, draw)


def filter_by_capacity(
    tables: Tables, work: Work, rows: list[UpstreamRow]
) -> list[tuple[UpstreamRow, float]]:
    """Return the upstreams with capacity for the work, with their estimated load."""
    scale = estimate_scale(tables)
    share = PRIORITY_LOAD_LIMITS[work.priority]
    found = []
    for row in rows:
        outstanding = estimate_outstanding(row, scale)
        if outstanding + 1.0 > get_outstanding_limit(row, share):
            continue

        if row.probing and row.in_flight + row.claimed > 0:
            continue

        found.append((row, outstanding))

    return found if work.repeatable else prefer_healthy(found)


def prefer_healthy(
    found: list[tuple[UpstreamRow, float]],
) -> list[tuple[UpstreamRow, float]]:
    """Return the upstreams without a recent failure, or all if each has one.

    An order sent to an upstream that has just failed or is being probed may be lost,
    and it may not be retried. Idempotent work tests whether the upstream has
    recovered.
    """
    healthy = [pair for pair in found if not pair[0].probing and not pair[0].failures]
    return healthy or found


def estimate_row(
    tables: Tables,
    work: Work,
    row: UpstreamRow,
    outstanding: float,
    *,
    home: UpstreamId | None,
    now: float,
) -> UpstreamEstimate:
    """Return the estimate of one upstream for the work."""
    announcement = row.announcement
    upstream = announcement.upstream
    wait = estimate_wait(row, work, outstanding, now)
    round_trip = 2.0 * tables.one_way_seconds.get(announcement.data_centre, 0.0)
    if not work.prompt_tokens:
        return UpstreamEstimate(upstream, wait, wait + round_trip, 0.0, round_trip)

    cached = estimate_cached(row, work, is_home=upstream == home, now=now)
    prefill = (work.prompt_tokens - cached) / get_prefill_rate(row)
    return UpstreamEstimate(
        upstream, wait, wait + prefill + round_trip, cached, round_trip
    )


def pick_estimate(
    estimates: list[UpstreamEstimate], home: UpstreamId | None, draw: float
) -> UpstreamChoice:
    """Return the choice with the best estimate.

    Ties go to the session's home upstream, else to the shortest round trip and then
    by ``draw``.
    """
    best = min(estimate.first_token for estimate in estimates)
    cutoff = best + max(TIE_SECONDS, best * TIE_SHARE)
    tied = [estimate for estimate in estimates if estimate.first_token <= cutoff]
    home_estimates = [estimate for estimate in tied if estimate.upstream == home]
    if home_estimates:
        return make_choice(home_estimates[0], "home")

    shortest = min(estimate.round_trip for estimate in tied)
    tied = [estimate for estimate in tied if estimate.round_trip <= shortest]
    chosen = tied[int(draw * len(tied))]
    if len(estimates) == 1:
        return make_choice(chosen, "only")

    return make_choice(chosen, "prefix" if chosen.cached > 0.0 else "load")


def make_choice(estimate: UpstreamEstimate, reason: str) -> UpstreamChoice:
    """Return the choice for an estimate."""
    return UpstreamChoice(
        estimate.upstream, estimate.wait, estimate.first_token, reason
    )


def record_dispatch(
    tables: Tables, upstream: UpstreamId, work: Work, *, now: float
) -> None:
    """Record that this entry dispatches a request to the upstream now."""
    release_claim(tables, work.request)
    row = tables.upstreams.get(upstream)
    if row is None:
        return

    cached = estimate_cached(row, work, is_home=False, now=now)
    prefill = (work.prompt_tokens - cached) / get_prefill_rate(row)
    row.prefill_until = max(row.prefill_until, now) + prefill
    row.in_flight += 1
    trim_times(row.dispatched, row.heard_at)
    row.dispatched.append(now)
    record_prefixes(tables, upstream, work.prefixes, now)


def record_finish(
    tables: Tables, upstream: UpstreamId, *, failed: bool, now: float
) -> None:
    """Record the end of a request; ``failed`` means a fault of the upstream."""
    tables.finish_rate = count_event(
        tables.finish_rate, tables.finish_rate_updated_at, FINISH_WINDOW, now
    )
    tables.finish_rate_updated_at = now
    row = tables.upstreams.get(upstream)
    if row is None:
        return

    row.in_flight = max(row.in_flight - 1, 0)
    trim_times(row.finished, row.heard_at)
    row.finished.append(now)
    if failed:
        record_failure(tables, upstream, weight=1, now=now)
    else:
        record_success(row)


def record_missed_deadline(tables: Tables, upstream: UpstreamId, *, now: float) -> None:
    """Record a missed progress deadline; the request itself has not ended yet."""
    record_failure(tables, upstream, weight=UNRESPONSIVE_WEIGHT, now=now)
