"""Estimate an upstream's current load from a stale report.

A report describes the load at ``heard_at``. This entry's own dispatches and
completions since then are known exactly; those of the other entries are inferred from
this entry's share of the demand. With the same stale report at every entry, all would
send to the upstream that looked idle until the next report shows it overloaded.
Adding the own dispatches since the report, scaled, makes each entry shift its traffic
without coordination.
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
"""Seconds that a call of a plain service takes if nothing was reported."""
OTHER_ENTRIES_WEIGHT = 0.25
"""Weight of the assumption that the other entries dispatched like this one.

See the design note.
"""
MAX_SCALE = 16.0
MAX_KEPT_TIMES = 512
"""Maximum number of dispatch or completion times kept for one upstream."""

PRIORITY_LOAD_LIMITS = {
    Priority.ORDER: 1.25,
    Priority.QUESTION: 1.0,
    Priority.TAG: 0.95,
    Priority.REPORT: 0.85,
}
"""Maximum load of an upstream, as a share of its capacity, including new work.

The steps between the priorities reserve capacity for the next higher one.
"""


def estimate_scale(tables: Tables) -> float:
    """Return the ratio of all entries' demand to this entry's demand, at least 1."""
    own_rate = 0.0
    other_rate = 0.0
    for demand in tables.demand.values():
        own_rate += demand.rate
        other_rate += demand.other_entries_rate

    if other_rate <= 0.0:
        return 1.0

    return min(1.0 + other_rate / max(own_rate, 0.001), MAX_SCALE)


def estimate_outstanding(row: UpstreamRow, scale: float) -> float:
    """Return the estimated number of requests running or queued at the upstream."""
    report = row.announcement.load
    if report is None:
        return (row.in_flight + row.claimed) * scale

    since = row.heard_at
    change = count_since(row.dispatched, since) - count_since(row.finished, since)
    scaled = change * (1.0 + (scale - 1.0) * OTHER_ENTRIES_WEIGHT)
    held = max(report.running + report.queued + scaled, float(row.in_flight))
    return held + row.claimed


def count_since(times: list[float], since: float) -> int:
    """Return how many of the ascending ``times`` are later than ``since``."""
    if not times or times[0] > since:
        return len(times)

    return len(times) - bisect_right(times, since)


def get_outstanding_limit(row: UpstreamRow, share: float) -> float:
    """Return the maximum number of outstanding requests.

    ``share`` is one of ``PRIORITY_LOAD_LIMITS``.
    """
    return max(row.announcement.capacity * share, 1.0)


def estimate_wait(
    row: UpstreamRow, work: Work, outstanding: float, now: float
) -> float:
    """Return the expected seconds before the upstream starts the work's prefill."""
    capacity = row.announcement.capacity
    wait = 0.0
    excess = outstanding + 1.0 - capacity
    if excess > 0.0:
        wait = excess * estimate_service_time(row, work) / capacity

    if work.service or work.priority is Priority.ORDER:
        return wait

    return wait + estimate_prefill_backlog(row, now)


def estimate_service_time(row: UpstreamRow, work: Work) -> float:
    """Return the expected seconds for which the work occupies a slot."""
    if work.service:
        return DEFAULT_SERVICE_SECONDS

    report = row.announcement.load
    rate = report.tokens_per_second if report else 0.0
    return work.answer_tokens / (rate or DEFAULT_TOKENS_PER_SECOND)


def estimate_prefill_backlog(row: UpstreamRow, now: float) -> float:
    """Return the expected seconds of prefill queued ahead of a new prompt."""
    own = max(row.prefill_until - now, 0.0)
    report = row.announcement.load
    if report is None:
        return own

    rate = report.prefill_per_second or DEFAULT_PREFILL_PER_SECOND
    reported = report.backlog_tokens / rate - (now - row.heard_at)
    return max(reported, own)


def get_prefill_rate(row: UpstreamRow) -> float:
    """Return the upstream's prefill rate in tokens per second."""
    report = row.announcement.load
    rate = report.prefill_per_second if report else 0.0
    return rate or DEFAULT_PREFILL_PER_SECOND


def trim_times(times: list[float], since: float) -> None:
    """Remove in place the times up to ``since`` and the oldest beyond the maximum."""
    cut = max(bisect_right(times, since), len(times) - MAX_KEPT_TIMES)
    if cut > 0:
        del times[:cut]
