"""Responses that are bad: those that failed, and those that are slow.

A response is slow if it takes several times as long as most of the former version's of
its kind.
"""

from __future__ import annotations

from collections.abc import Callable
from collections.abc import Mapping
from typing import TYPE_CHECKING

from .outcomes import Outcomes


if TYPE_CHECKING:
    from .outcomes import Histogram

Count = Callable[[Outcomes], tuple[int, int]]
"""Returns the number of responses, and of bad ones."""
Counts = dict[str, tuple[Count, Count]]
"""Counts of the target and of the former version, by kind of request."""


SLOW_QUANTILE = 0.75
"""Quantile of the former version's times that a slow response exceeds several times."""
SLOW_BUCKETS = 6
"""Number of buckets above that quantile's up to which a response is not slow; more than
twice as long."""
TOLERATED_BUCKETS = 3
"""Number of buckets by which the target may be slower, as with cold caches; about half
as long again."""
PACE_QUANTILE = 0.5
"""The same quantile for the pace of streams. An upstream that takes several times as
long for some requests slows all that it runs down, by less than that."""
PACE_BUCKETS = 1
"""Number of buckets above that quantile's up to which a stream is not slow."""
PACE_TOLERANCE = 1
"""The same tolerance for the pace of streams."""
SLOWEST_QUANTILE = 0.9
"""A higher quantile for the pace. As few of the former version's streams exceed it, few
streams tell of a version that slows down most of them."""
SLOWEST_BUCKETS = 3
"""The same number of buckets for that quantile."""
MIN_TIMES = 8
"""Number of the former version's times needed to tell which responses are slow."""


def find_limits(
    former: Mapping[str, Outcomes],
    choose: Callable[[Outcomes], Histogram],
    quantile: float = SLOW_QUANTILE,
    above: int = SLOW_BUCKETS,
) -> dict[str, int]:
    """Return the last bucket of times that are not slow, by kind of request."""
    limits = {}
    for kind, outcomes in former.items():
        times = choose(outcomes)
        total = sum(times)
        if total >= MIN_TIMES:
            position = find_quantile(times, quantile * total)
            limits[kind] = round(position + above)

    return limits


def find_pace_limits(
    former: Mapping[str, Outcomes], quantile: float, above: int
) -> dict[str, int]:
    """Return the last bucket of times per event that are not slow, by kind."""
    return find_limits(former, lambda one: one.paces, quantile, above)


def find_quantile(times: Histogram, rank: float) -> float:
    """Return the position of the time of a rank, in buckets."""
    seen = 0
    for bucket, count in enumerate(times):
        if count and seen + count >= rank:
            return bucket - 1 + (rank - seen) / count

        seen += count

    return len(times) - 1.0


def count_failures(outcomes: Outcomes) -> tuple[int, int]:
    """Return the number of complete responses, and of failed ones."""
    return outcomes.answers - outcomes.breaks, outcomes.failures


def count_late_starts(limit: int) -> Count:
    """Return a function that counts responses, and those that started late.

    Requests that are waiting, or that ended as they waited, count if they are late.
    """

    def count(outcomes: Outcomes) -> tuple[int, int]:
        late = sum(outcomes.waiting[limit + 1 :])
        late += sum(outcomes.abandoned[limit + 1 :])
        times = outcomes.first_bytes
        return sum(times) + late, sum(times[limit + 1 :]) + late

    return count


def count_long_responses(limit: int) -> Count:
    """Return a function that counts responses, and those that took long."""

    def count(outcomes: Outcomes) -> tuple[int, int]:
        times = outcomes.durations
        return sum(times), sum(times[limit + 1 :])

    return count


def count_slow_streams(limit: int) -> Count:
    """Return a function that counts streams, and those whose events come slowly.

    Running streams count while they are slow.
    """

    def count(outcomes: Outcomes) -> tuple[int, int]:
        slow = sum(outcomes.pacing[limit + 1 :])
        times = outcomes.paces
        return sum(times) + slow, sum(times[limit + 1 :]) + slow

    return count


def pair_counts(
    make: Callable[[int], Count],
    limits: Mapping[str, int],
    tolerance: int = TOLERATED_BUCKETS,
) -> Counts:
    """Return the counts of slow responses by kind of request.

    The former version's limit is lower, so that the target may be somewhat slower.
    """
    return {
        kind: (make(limit), make(limit - tolerance)) for kind, limit in limits.items()
    }
