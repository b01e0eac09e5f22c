"""Estimate an upstream's load now from a report that lags.

A report tells what stood at ``heard_at``. Own dispatches and finishes since then are
exact; those of the other entries are inferred from this entry's share of the demand.
Failure guarded against: with the same stale report at every entry, all would send to
the upstream that looked idle, until the next report shows it flooded. Counting the
own dispatches since the report, scaled, makes each entry turn away by itself.
"""

from __future__ import annotations

from bisect import bisect_right
from typing import TYPE_CHECKING

from ..records import Priority


if TYPE_CHECKING:
    from .tables import Tables
    from .tables import UpstreamRow
    from .tables import Work


DEFAULT_TOKENS_PER_SECOND = 50.0
DEFAULT_PREFILL_PER_SECOND = 8000.0
DEFAULT_SERVICE_SECONDS = 0.05
"""Time of one call of a plain service where nothing was reported."""
OTHER_ENTRIES_WEIGHT = 0.25
"""Trust in others doing as this entry did since the report; see the design note."""
MAX_SCALE = 16.0
MAX_KEPT_TIMES = 512
"""Dispatch and finish times kept for one upstream."""

BOUNDS = {
    Priority.ORDER: 1.25,
    Priority.QUESTION: 1.0,
    Priority.TAG: 0.95,
    Priority.REPORT: 0.85,
}
"""Load an upstream may carry, as a share of its capacity, once work of a priority is
added. The steps keep room for the next higher priority at any time."""


def estimate_scale(tables: Tables) -> float:
    """Return the demand of all entries over the demand at this one, at least 1."""
    own_rate = 0.0
    other_rate = 0.0
    for demand in tables.demand.values():
        own_rate += demand.rate
        other_rate += demand.elsewhere_rate

    if other_rate <= 0.0:
        return 1.0

    return min(1.0 + other_rate / max(own_rate, 0.001), MAX_SCALE)


def estimate_outstanding(row: UpstreamRow, scale: float) -> float:
    """Return the requests that the upstream holds now, running and queued."""
    report = row.announcement.load
    if report is None:
        return (row.in_flight + row.claimed) * scale

    since = row.heard_at
    change = count_since(row.dispatched, since) - count_since(row.finished, since)
    scaled = change * (1.0 + (scale - 1.0) * OTHER_ENTRIES_WEIGHT)
    held = max(report.running + report.queued + scaled, float(row.in_flight))
    return held + row.claimed


def count_since(times: list[float], since: float) -> int:
    """Return how many of the times, oldest first, are later than ``since``."""
    if not times or times[0] > since:
        return len(times)

    return len(times) - bisect_right(times, since)


def get_outstanding_limit(row: UpstreamRow, share: float) -> float:
    """Return how many requests may be there, for a bound out of ``BOUNDS``."""
    return max(row.announcement.capacity * share, 1.0)


def estimate_wait(
    row: UpstreamRow, work: Work, outstanding: float, now: float
) -> float:
    """Return the seconds before the upstream begins with the work's own prompt."""
    capacity = row.announcement.capacity
    wait = 0.0
    excess = outstanding + 1.0 - capacity
    if excess > 0.0:
        wait = excess * estimate_service_time(row, work) / capacity

    if work.service or work.priority is Priority.ORDER:
        return wait

    return wait + estimate_prefill_backlog(row, now)


def estimate_service_time(row: UpstreamRow, work: Work) -> float:
    """Return the seconds for which the work holds its place at the upstream."""
    if work.service:
        return DEFAULT_SERVICE_SECONDS

    report = row.announcement.load
    rate = report.tokens_per_second if report else 0.0
    return work.answer_tokens / (rate or DEFAULT_TOKENS_PER_SECOND)


def estimate_prefill_backlog(row: UpstreamRow, now: float) -> float:
    """Return the seconds of prompt reading that stand before a new prompt."""
    own = max(row.prefill_until - now, 0.0)
    report = row.announcement.load
    if report is None:
        return own

    rate = report.prefill_per_second or DEFAULT_PREFILL_PER_SECOND
    reported = report.backlog_tokens / rate - (now - row.heard_at)
    return max(reported, own)


def get_prefill_rate(row: UpstreamRow) -> float:
    """Return the prompt tokens a second that the upstream reads."""
    report = row.announcement.load
    rate = report.prefill_per_second if report else 0.0
    return rate or DEFAULT_PREFILL_PER_SECOND


def trim_times(times: list[float], since: float) -> None:
    """Drop the times up to ``since`` in place, and the oldest beyond the cap."""
    cut = max(bisect_right(times, since), len(times) - MAX_KEPT_TIMES)
    if cut > 0:
        del times[:cut]
