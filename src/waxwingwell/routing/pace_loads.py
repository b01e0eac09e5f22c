"""Times per event of streams at the load of their engines.

An engine takes longer for each event the more requests it runs. The few engines on
which a version is tried run fewer requests than those of the former version, which
hides that it is slower. Streams are counted by the number of requests that their engine
ran. Their times are then converted to the usual load of the former version, by the
dependence found among its own streams.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from .evidence_history import Snapshot
from .outcomes import BUCKET_RATIO
from .outcomes import BUCKETS
from .outcomes import find_bucket


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping
    from collections.abc import Sequence

    from .outcomes import Histogram
    from .outcomes import Outcomes
    from .outcomes import SparseHistogram


Shifts = tuple[int, ...]
"""Buckets by which times are converted to the usual load, by level."""

LEVEL_LOAD = 4.0
"""Requests by which the load differs between the first doublings of the levels."""
LEVELS_PER_DOUBLING = 4.0
"""Levels of load in a factor of two, if that number of requests is added."""
MAX_LEVEL = 40
"""Highest level, of some 4,000 requests."""
CELLS = (MAX_LEVEL + 1) * BUCKETS
"""Number of pairs of a level and a bucket."""
BASES = (1.0, 1.4, 2.0, 2.8, 4.0, 5.7, 8.0, 11.3, 16.0, 22.6, 32.0, 64.0, math.inf)
"""Requests that cost as much as a step of the engine without any; one is fitted."""
MAX_LOSS = 4.0
"""Loss of fit, as twice the logarithm of a likelihood, up to which a weaker dependence
is assumed: the times of a version on trial are extrapolated to a higher load."""
OUTLIER_BUCKETS = 10
"""Buckets from the median beyond which a time counts as if it were at that distance."""
COMMON_STREAMS = 20.0
"""Weight of all kinds in the fit of one kind, in streams."""


@dataclass(frozen=True, slots=True)
class LoadDependence:
    """Dependence of the times of one kind on the load of the engine.

    A time is proportional to the sum of the base and of the running requests.
    """

    base: float
    """Requests that cost as much as a step without any."""
    running: float
    """Usual number of running requests, of the former version."""


@dataclass(frozen=True, slots=True)
class Sample:
    """Streams of one kind at one load, with the same time per event."""

    running: float
    bucket: int
    count: int


def find_level(running: float) -> int:
    """Return the level of a number of running requests."""
    doublings = math.log2((running + LEVEL_LOAD) / LEVEL_LOAD)
    return min(round(LEVELS_PER_DOUBLING * doublings), MAX_LEVEL)


def find_running(level: int) -> float:
    """Return the number of running requests of a level."""
    return LEVEL_LOAD * (math.exp2(level / LEVELS_PER_DOUBLING) - 1.0)


def find_cell(running: float, seconds: float) -> int:
    """Return the index that counts a time per event at a load."""
    return find_level(running) * BUCKETS + find_bucket(seconds)


def adjust_snapshots(snapshots: Sequence[Snapshot]) -> list[Snapshot]:
    """Return snapshots with all times per event converted to the usual load."""
    found = find_dependence(snapshots[-1].former)
    shifts = {kind: list_shifts(one) for kind, one in found.items()}
    return [
        Snapshot(
            one.elapsed,
            adjust_kinds(one.target, shifts),
            adjust_kinds(one.former, shifts),
        )
        for one in snapshots
    ]


def find_dependence(former: Mapping[str, Outcomes]) -> dict[str, LoadDependence]:
    """Return how times depend on the load, by kind of request.

    The dependence of a kind is drawn to that of all kinds, as its streams are few.
    """
    samples = {
        kind: list_samples(one.loaded_paces)
        for kind, one in former.items()
        if one.loaded_paces
    }
    errors = {
        kind: [sum_errors(parts, base) for base in BASES]
        for kind, parts in samples.items()
    }
    streams = sum(one.count for parts in samples.values() for one in parts)
    common = [
        COMMON_STREAMS * sum(column) / streams
        for column in zip(*errors.values(), strict=True)
    ]
    found = {}
    for kind, parts in samples.items():
        totals = [own + both for own, both in zip(errors[kind], common, strict=True)]
        weight = sum(one.count for one in parts) + COMMON_STREAMS
        limit = min(totals) * (1.0 + MAX_LOSS / weight)
        base = max(
            one for one, total in zip(BASES, totals, strict=True) if total <= limit
        )
        found[kind] = LoadDependence(base, find_mean_load(parts))

    return found


def list_samples(loaded: SparseHistogram) -> list[Sample]:
    """Return the streams of one kind; outliers are drawn to the others."""
    points = [(*divmod(cell, BUCKETS), count) for cell, count in loaded]
    middle = find_median((bucket, count) for _, bucket, count in points)
    lowest, highest = middle - OUTLIER_BUCKETS, middle + OUTLIER_BUCKETS
    return [
        Sample(find_running(level), min(max(bucket, lowest), highest), count)
        for level, bucket, count in points
    ]


def find_median(counts: Iterable[tuple[int, int]]) -> int:
    """Return the median of buckets with their counts."""
    ordered = sorted(counts)
    left = sum(count for _, count in ordered) / 2.0
    for bucket, count in ordered:
        left -= count
        if left <= 0.0:
            return bucket

    return 0


def find_mean_load(samples: Sequence[Sample]) -> float:
    """Return the mean number of running requests."""
    total = sum(one.count for one in samples)
    return sum(one.count * one.running for one in samples) / total


def sum_errors(samples: Sequence[Sample], base: float) -> float:
    """Return the sum of the squared errors of times that depend on the load."""
    usual = LoadDependence(base, find_mean_load(samples))
    loads = {one.running for one in samples}
    shifts = {running: find_shift(usual, running) for running in loads}
    total = weighted = squares = 0.0
    for one in samples:
        time = one.bucket + shifts[one.running]
        total += one.count
        weighted += one.count * time
        squares += one.count * time * time

    return max(squares - weighted * weighted / total, 0.0)


def find_shift(dependence: LoadDependence, running: float) -> float:
    """Return the buckets by which times differ between the usual load and another."""
    if math.isinf(dependence.base):
        return 0.0

    usual = dependence.running + dependence.base
    return math.log(usual / (running + dependence.base)) / math.log(BUCKET_RATIO)


def list_shifts(dependence: LoadDependence) -> Shifts:
    """Return the buckets by which times at each level are converted."""
    return tuple(
        round(find_shift(dependence, find_running(level)))
        for level in range(MAX_LEVEL + 1)
    )


def adjust_kinds(
    kinds: Mapping[str, Outcomes], shifts: Mapping[str, Shifts]
) -> dict[str, Outcomes]:
    """Return outcomes with their times per event converted to the usual load."""
    return {
        kind: replace(
            one,
            paces=adjust_times(one.paces, one.loaded_paces, shifts[kind]),
            pacing=adjust_times(one.pacing, one.loaded_pacing, shifts[kind]),
        )
        if kind in shifts
        else one
        for kind, one in kinds.items()
    }


def adjust_times(
    times: Histogram, loaded: SparseHistogram, shifts: Shifts
) -> Histogram:
    """Return times at the usual load; those of an unknown load stay as they are.

    Gateways of an older release don't report the load.
    """
    if not loaded:
        return times

    adjusted = list(times)
    for cell, count in loaded:
        level, bucket = divmod(cell, BUCKETS)
        adjusted[bucket] -= count
        adjusted[min(max(bucket + shifts[level], 0), BUCKETS - 1)] += count

    return tuple(max(count, 0) for count in adjusted)
