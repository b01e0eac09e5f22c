"""Outcomes of requests to one version of a service, as counters that add up.

Times are counted in buckets of a geometric histogram, so that gateways can be added up
and quantiles compared. Times are seconds.
"""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping


SHORTEST_SECONDS = 0.001
"""Upper bound of the first bucket."""
BUCKET_RATIO = 1.15
"""Ratio of the upper bounds of neighbouring buckets."""
BUCKETS = 89
"""Number of buckets; the last one has no upper bound and starts after some 200 s."""

Histogram = tuple[int, ...]
"""Counts by bucket, ``BUCKETS`` of them."""
SparseHistogram = tuple[tuple[int, int], ...]
"""Buckets that are not empty, in order, each with its count."""

EMPTY: Histogram = (0,) * BUCKETS


@dataclass(frozen=True, slots=True)
class Outcomes:
    """Outcomes of the requests of one kind that were sent to one version."""

    sent: int = 0
    """Requests sent, including retries and those still running."""
    answers: int = 0
    """Requests that have ended and that the version is accountable for: successes,
    failures and breaks."""
    failures: int = 0
    """Failures that upstreams responded with."""
    breaks: int = 0
    """Requests whose connection or response broke off."""
    first_bytes: Histogram = EMPTY
    """Times to the first byte of successful responses."""
    durations: Histogram = EMPTY
    """Times to the end of successful responses that were not cancelled."""
    waiting: Histogram = EMPTY
    """Times for which running requests have waited for their first byte so far."""
    crashes: int = 0
    """Breaks after which the upstream took no connection, as it had ended or was not
    reached; a part of ``breaks``."""
    abandoned: Histogram = EMPTY
    """Times for which requests waited that ended without a first byte, as their caller
    left, their time was over, another upstream was asked or the connection broke."""
    paces: Histogram = EMPTY
    """Times per event of streams that have ended, whole or not."""
    pacing: Histogram = EMPTY
    """Times per event of running streams so far."""
    loaded_paces: SparseHistogram = ()
    """Streams of ``paces`` by the load of their engine, too; see ``pace_loads``."""
    loaded_pacing: SparseHistogram = ()
    """Streams of ``pacing`` by the load of their engine, too."""


def find_bucket(seconds: float) -> int:
    """Return the index of the bucket that counts a time."""
    if seconds <= SHORTEST_SECONDS:
        return 0

    steps = math.log(seconds / SHORTEST_SECONDS) / math.log(BUCKET_RATIO)
    return min(math.ceil(steps), BUCKETS - 1)


def add_histograms(first: Histogram, second: Histogram) -> Histogram:
    """Return the sum of two histograms."""
    return tuple(map(sum, zip(first, second, strict=True)))


def add_sparse(first: SparseHistogram, second: SparseHistogram) -> SparseHistogram:
    """Return the sum of two sparse histograms."""
    counts = Counter(dict(first))
    counts.update(dict(second))
    return tuple(sorted(counts.items()))


def add_outcomes(parts: Iterable[Outcomes]) -> Outcomes:
    """Return the sum of outcomes."""
    total = Outcomes()
    for part in parts:
        total = Outcomes(
            sent=total.sent + part.sent,
            answers=total.answers + part.answers,
            failures=total.failures + part.failures,
            breaks=total.breaks + part.breaks,
            crashes=total.crashes + part.crashes,
            abandoned=add_histograms(total.abandoned, part.abandoned),
            first_bytes=add_histograms(total.first_bytes, part.first_bytes),
            durations=add_histograms(total.durations, part.durations),
            waiting=add_histograms(total.waiting, part.waiting),
            paces=add_histograms(total.paces, part.paces),
            pacing=add_histograms(total.pacing, part.pacing),
            loaded_paces=add_sparse(total.loaded_paces, part.loaded_paces),
            loaded_pacing=add_sparse(total.loaded_pacing, part.loaded_pacing),
        )

    return total


def unpack_histogram(packed: Mapping[int, int] | SparseHistogram) -> Histogram:
    """Return a histogram from its non-empty buckets; unknown buckets are ignored."""
    counts = dict(packed)
    return tuple(counts.get(index, 0) for index in range(BUCKETS))
