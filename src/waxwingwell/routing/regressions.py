"""Evidence that the target of a roll-out is worse than the former version.

Responses of the target are compared with the former version's of the same kind and the
same time, so that neither trouble of both versions nor another mix of requests counts
against the target. A response is bad if it failed, or if it took several times as long
as most of the former version's responses of its kind.

The evidence is a mixture of likelihood ratios over the excess of the target's rate of
bad responses and over the time at which the target turned bad. At the former version's
rate it is a supermartingale, so by Ville's inequality it ever reaches 1 / alpha with
probability at most alpha, however often it is tested. The rate itself is an estimate,
raised by its standard error. Sources: Robbins, "Statistical methods related to the law
of the iterated logarithm", Annals of Mathematical Statistics 41 (1970); Shin, Ramdas
and Rinaldo, "E-detectors", New England Journal of Statistics in Data Science 2 (2024).
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..decisions.bets import log_mean_exp
from .outcomes import Outcomes


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence

    from .outcomes import Histogram

    Count = Callable[[Outcomes], tuple[int, int]]
    """Returns the number of responses, and of bad ones."""
    Counts = dict[str, tuple[Count, Count]]
    """Counts of the target and of the former version, by kind of request."""


MAX_SNAPSHOTS = 120
"""Number of snapshots that a history keeps."""
RECENT_SNAPSHOTS = 16
"""Number of the latest snapshots that are never thinned out."""
MIN_WINDOWS = 12
"""Least number of equal windows of a roll-out in which the versions are compared."""
MAX_WINDOW_SECONDS = 5.0
"""Longest window, so that a regression in a long roll-out is found as soon."""
FALSE_ALARM = 0.01
"""Probability that a version as good as the former one is found to be worse."""
TEST_ALPHA = FALSE_ALARM / 5.0
"""Part of that probability for each test: of failures, of times to the first byte, of
durations, of paces and of breaks."""
EXCESSES = (0.15, 0.3, 0.5, 0.8)
"""Excesses of the rate of bad responses, as parts of the responses that are good at
the former version. Smaller ones are tolerated."""
SLOW_EXCESSES = (0.07, 0.15, 0.3, 0.5, 0.8)
"""The same for slow responses, of which only the slowest exceed the limit; it already
tolerates some difference."""
CLUMP_EXCESSES = (0.4, 0.7)
"""Excesses of the rate of intervals with breaks; larger, as one crash spreads over
several intervals."""
MIN_RATE = 0.01
"""Lowest rate of bad responses that is assumed of the former version."""
MAX_RATE = 0.95
"""Highest rate of bad responses that is assumed of the former version."""
PRIOR_TRIALS = 5.0
"""Weight of the prior rate of the former version, in responses."""
PRIOR_RATE = 0.1
"""Prior rate of bad responses of the former version."""
WINDOW_TRIALS = 8.0
"""Weight of the former version's rate over all windows in that of one window, in
responses."""
MIN_BAD = 3
"""Number of bad responses from which the target may be worse."""
MIN_BROKEN = 6
"""Number of intervals with breaks from which the target may be worse."""
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
PACE_EXCESSES = (0.5, 0.8)
"""Excesses of the rate of slow streams; larger, as a version may be somewhat slower."""
MIN_TIMES = 8
"""Number of the former version's times needed to tell which responses are slow."""
SUSPICION = 0.03
"""Part of the evidence needed from which the target is suspected."""


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Outcomes by kind of request, as known at some time.

    ``elapsed`` and all counts start with the order of the roll-out.
    """

    elapsed: float
    target: Mapping[str, Outcomes]
    former: Mapping[str, Outcomes]


@dataclass(slots=True)
class Clumps:
    """Intervals between snapshots in which a version's requests ended."""

    intervals: int = 0
    broken: int = 0
    """Intervals in which some of these requests broke off. One crash breaks many
    requests at once, in few intervals."""


@dataclass(slots=True)
class EvidenceHistory:
    """Snapshots of a roll-out in the order of their times; older ones are sparse."""

    snapshots: list[Snapshot] = field(default_factory=list)
    target_clumps: Clumps = field(default_factory=Clumps)
    former_clumps: Clumps = field(default_factory=Clumps)
    share: float = 0.0
    """Latest share of the roll-out."""
    share_since: float = 0.0
    """Time since the order at which that share was first seen."""


@dataclass(frozen=True, slots=True)
class Finding:
    """Result of a comparison of the target with the former version."""

    log_evidence: float = -math.inf
    """Log of the evidence as a part of that needed to find a regression."""
    reason: str = ""

    @property
    def is_regression(self) -> bool:
        """Return whether the target is worse."""
        return self.log_evidence >= 0.0

    @property
    def is_suspicion(self) -> bool:
        """Return whether the target may well be worse."""
        return self.log_evidence >= math.log(SUSPICION)


@dataclass(frozen=True, slots=True)
class Stratum:
    """Responses of both versions that can be compared with each other."""

    trials: int
    bad: int
    former_trials: int
    former_bad: int


@dataclass(frozen=True, slots=True)
class Expectation:
    """Bad responses of the target in a stratum, and at the former version's rate."""

    trials: int
    bad: int
    rate: float
    variance: float
    """Variance of the estimated rate."""


Strata = dict[str, list[Stratum]]
"""Strata by kind of request, one for each window."""


def record_snapshot(history: EvidenceHistory, snapshot: Snapshot) -> None:
    """Add the latest snapshot, and thin out old ones."""
    before = history.snapshots[-1] if history.snapshots else Snapshot(0.0, {}, {})
    if snapshot.elapsed < before.elapsed:
        return

    _record_clump(history.target_clumps, before.target, snapshot.target)
    _record_clump(history.former_clumps, before.former, snapshot.former)
    history.snapshots.append(snapshot)
    if len(history.snapshots) > MAX_SNAPSHOTS:
        old = history.snapshots[:-RECENT_SNAPSHOTS]
        history.snapshots[:-RECENT_SNAPSHOTS] = old[::2]


def _record_clump(
    clumps: Clumps, before: Mapping[str, Outcomes], after: Mapping[str, Outcomes]
) -> None:
    """Count an interval between two snapshots, unless no request has ended in it."""
    answers = sum(one.answers for one in after.values())
    answers -= sum(one.answers for one in before.values())
    breaks = sum(one.breaks - one.crashes for one in after.values())
    breaks -= sum(one.breaks - one.crashes for one in before.values())
    if answers > 0:
        clumps.intervals += 1
        clumps.broken += breaks > 0


def find_regression(history: EvidenceHistory, duration: float) -> Finding:
    """Return the strongest evidence that the target is worse."""
    if not history.snapshots:
        return Finding()

    count = count_windows(duration)
    windows = split_windows(history.snapshots, duration, count)
    latest = windows[-1]
    first_bytes = find_limits(latest.former, lambda one: one.first_bytes)
    durations = find_limits(latest.former, lambda one: one.durations)
    paces = find_limits(
        latest.former, lambda one: one.paces, PACE_QUANTILE, PACE_BUCKETS
    )
    failures: Counts = dict.fromkeys(latest.target, (count_failures, count_failures))
    tests = (
        ("failed", EXCESSES, failures),
        ("started late", SLOW_EXCESSES, pair_counts(count_late_starts, first_bytes)),
        ("took long", SLOW_EXCESSES, pair_counts(count_long_responses, durations)),
        (
            "came slowly",
            PACE_EXCESSES,
            pair_counts(count_slow_streams, paces, PACE_TOLERANCE),
        ),
    )
    findings = [_compare_clumps(history)]
    for verb, excesses, counts in tests:
        strata = build_strata(windows, counts)
        findings += _compare_strata(strata, count, excesses, verb)

    return max(findings, key=lambda one: one.log_evidence)


def count_windows(duration: float) -> int:
    """Return the number of windows of a roll-out."""
    return max(MIN_WINDOWS, math.ceil(duration / MAX_WINDOW_SECONDS))


def split_windows(
    snapshots: Sequence[Snapshot], duration: float, count: int
) -> list[Snapshot]:
    """Return the snapshots at the ends of the windows, the latest one last."""
    seconds = max(duration, 0.001) / count
    ends = {math.ceil(one.elapsed / seconds): one for one in snapshots}
    return list(ends.values())


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


def build_strata(windows: Sequence[Snapshot], counts: Counts) -> Strata:
    """Return the responses of each window, by kind of request."""
    nothing = Outcomes()
    strata: Strata = {}
    for kind, (count_target, count_former) in counts.items():
        before = (0, 0, 0, 0)
        strata[kind] = []
        for window in windows:
            after = (
                *count_target(window.target.get(kind, nothing)),
                *count_former(window.former.get(kind, nothing)),
            )
            trials, bad, former_trials, former_bad = (
                max(new - old, 0) for new, old in zip(after, before, strict=True)
            )
            strata[kind].append(
                Stratum(
                    max(trials, bad),
                    bad,
                    max(former_trials, former_bad),
                    former_bad,
                )
            )
            before = after

    return strata


def _compare_strata(
    strata: Strata, count: int, excesses: tuple[float, ...], verb: str
) -> list[Finding]:
    """Return the evidence of a difference in each kind of request, and over all."""
    by_kind = {kind: expect_bad(parts) for kind, parts in strata.items()}
    if not by_kind:
        return []

    together = [list(parts) for parts in zip(*by_kind.values(), strict=True)]
    findings = [
        _compare(together, count, excesses, TEST_ALPHA / 2.0, f"responses {verb}")
    ]
    if len(by_kind) == 1:
        return findings

    for kind, parts in by_kind.items():
        single = [[part] for part in parts]
        level = TEST_ALPHA / 2.0 / len(by_kind)
        findings.append(
            _compare(single, count, excesses, level, f"responses of {kind} {verb}")
        )

    return findings


def expect_bad(strata: Sequence[Stratum]) -> list[Expectation]:
    """Estimate the former version's rate in each window.

    A window's rate is drawn to the rate over all windows, as it rests on few responses.
    """
    trials = sum(one.former_trials for one in strata)
    bad = sum(one.former_bad for one in strata)
    overall = (bad + PRIOR_RATE * PRIOR_TRIALS) / (trials + PRIOR_TRIALS)
    expected = []
    for one in strata:
        weight = one.former_trials + WINDOW_TRIALS
        rate = (one.former_bad + overall * WINDOW_TRIALS) / weight
        variance = rate * (1.0 - rate) / weight
        expected.append(Expectation(one.trials, one.bad, rate, variance))

    return expected


def _compare(
    windows: Sequence[Sequence[Expectation]],
    count: int,
    excesses: tuple[float, ...],
    alpha: float,
    what: str,
    min_bad: int = MIN_BAD,
) -> Finding:
    """Return the evidence that the target's rate of bad responses is higher.

    Half of the weight is on a target that is bad from the start, the other half on
    those that turn bad at the start of one of the later ``count`` windows.
    """
    trials = bad = 0
    total = variance = 0.0
    logs = []
    for index in reversed(range(len(windows))):
        for part in windows[index]:
            trials += part.trials
            bad += part.bad
            total += part.trials * part.rate
            variance += part.trials**2 * part.variance

        if bad >= min_bad:
            weight = 0.5 if index == 0 else 0.5 / count
            rate = (total + math.sqrt(variance)) / trials
            log_ratio = compute_log_ratio(trials, bad, rate, excesses)
            logs.append(math.log(weight) + log_ratio)

    if not logs:
        return Finding()

    log_evidence = log_mean_exp(tuple(logs)) + math.log(len(logs))
    return Finding(log_evidence + math.log(alpha), f"{bad} of {trials} {what}")


def compute_log_ratio(
    trials: int, bad: int, rate: float, excesses: tuple[float, ...]
) -> float:
    """Return the log of the likelihood ratio to a rate, mixed over the excesses."""
    rate = min(max(rate, MIN_RATE), MAX_RATE)
    logs = []
    for excess in excesses:
        higher = rate + excess * (1.0 - rate)
        gain = bad * math.log(higher / rate)
        loss = (trials - bad) * math.log((1.0 - higher) / (1.0 - rate))
        logs.append(gain + loss)

    return log_mean_exp(tuple(logs))


def _compare_clumps(history: EvidenceHistory) -> Finding:
    """Return the evidence that the target's requests break off more often."""
    target = history.target_clumps
    former = history.former_clumps
    stratum = Stratum(target.intervals, target.broken, former.intervals, former.broken)
    return _compare(
        [expect_bad([stratum])],
        1,
        CLUMP_EXCESSES,
        TEST_ALPHA,
        "intervals had responses that broke off",
        MIN_BROKEN,
    )
