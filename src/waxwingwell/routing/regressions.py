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
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from ..decisions.bets import log_mean_exp
from .bad_responses import PACE_BUCKETS
from .bad_responses import PACE_QUANTILE
from .bad_responses import PACE_TOLERANCE
from .bad_responses import SLOWEST_BUCKETS
from .bad_responses import SLOWEST_QUANTILE
from .bad_responses import count_failures
from .bad_responses import count_late_starts
from .bad_responses import count_long_responses
from .bad_responses import count_slow_streams
from .bad_responses import find_limits
from .bad_responses import find_pace_limits
from .bad_responses import pair_counts
from .evidence_history import Snapshot
from .evidence_history import count_windows
from .evidence_history import split_windows
from .outcomes import Outcomes
from .pace_loads import adjust_snapshots
from .rank_tests import compare_paces


if TYPE_CHECKING:
    from collections.abc import Sequence

    from .bad_responses import Counts
    from .evidence_history import EvidenceHistory
    from .rank_tests import RankEvidence


FALSE_ALARM = 0.01
"""Probability that a version as good as the former one is found to be worse."""
TEST_ALPHA = FALSE_ALARM / 5.0
"""Part of that probability for each test: of failures, of times to the first byte, of
durations, of paces and of breaks."""
PACE_ALPHA = TEST_ALPHA / 3.0
"""Part for each of the tests of paces: by two limits, and by ranks."""
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
PACE_EXCESSES = (0.5, 0.8)
"""Excesses of the rate of slow streams; larger, as a version may be somewhat slower."""
SUSPICION = 0.03
"""Part of the evidence needed from which the target is suspected."""

MIN_STREAMS = 16
"""Number of streams from which they have to show that the target is not slower."""
MAX_DOUBT = 0.05
"""Likelihood ratio of slower streams to equal ones up to which that is shown."""


@dataclass(frozen=True, slots=True)
class Finding:
    """Result of a comparison of the target with the former version."""

    log_evidence: float = -math.inf
    """Log of the evidence as a part of that needed to find a regression."""
    reason: str = ""
    streams: int = 0
    """Streams of the target whose pace was compared."""
    log_ratio: float = 0.0
    """Log of the likelihood ratio of slower streams to equal ones."""

    @property
    def is_regression(self) -> bool:
        """Return whether the target is worse."""
        return self.log_evidence >= 0.0

    @property
    def is_suspicion(self) -> bool:
        """Return whether the target may well be worse."""
        return self.log_evidence >= math.log(SUSPICION)

    @property
    def is_unproven(self) -> bool:
        """Return whether nothing shows yet that the target's streams are not slower.

        Few streams can't show it, and are no large part of the responses.
        """
        return self.streams >= MIN_STREAMS and self.log_ratio > math.log(MAX_DOUBT)


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


def find_regression(history: EvidenceHistory, duration: float) -> Finding:
    """Return the strongest evidence that the target is worse."""
    if not history.snapshots:
        return Finding()

    count = count_windows(duration)
    windows = adjust_snapshots(split_windows(history.snapshots, duration, count))
    latest = windows[-1]
    first_bytes = find_limits(latest.former, lambda one: one.first_bytes)
    durations = find_limits(latest.former, lambda one: one.durations)
    paces = find_pace_limits(latest.former, PACE_QUANTILE, PACE_BUCKETS)
    slowest = find_pace_limits(latest.former, SLOWEST_QUANTILE, SLOWEST_BUCKETS)
    failures: Counts = dict.fromkeys(latest.target, (count_failures, count_failures))
    late_starts = pair_counts(count_late_starts, first_bytes)
    long_responses = pair_counts(count_long_responses, durations)
    slow_streams = pair_counts(count_slow_streams, paces, PACE_TOLERANCE)
    slowest_streams = pair_counts(count_slow_streams, slowest, PACE_TOLERANCE)
    tests = (
        ("failed", EXCESSES, failures, TEST_ALPHA),
        ("started late", SLOW_EXCESSES, late_starts, TEST_ALPHA),
        ("took long", SLOW_EXCESSES, long_responses, TEST_ALPHA),
        ("came slowly", PACE_EXCESSES, slow_streams, PACE_ALPHA),
        ("came very slowly", PACE_EXCESSES, slowest_streams, PACE_ALPHA),
    )
    ranks = compare_paces(windows, count)
    findings = [_compare_clumps(history), _describe_ranks(ranks)]
    for verb, excesses, counts, alpha in tests:
        strata = build_strata(windows, counts)
        findings += _compare_strata(strata, count, excesses, verb, alpha)

    strongest = max(findings, key=lambda one: one.log_evidence)
    return replace(strongest, streams=ranks.streams, log_ratio=ranks.ratio)


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
    strata: Strata, count: int, excesses: tuple[float, ...], verb: str, alpha: float
) -> list[Finding]:
    """Return the evidence of a difference in each kind of request, and over all."""
    by_kind = {kind: expect_bad(parts) for kind, parts in strata.items()}
    if not by_kind:
        return []

    together = [list(parts) for parts in zip(*by_kind.values(), strict=True)]
    findings = [_compare(together, count, excesses, alpha / 2.0, f"responses {verb}")]
    if len(by_kind) == 1:
        return findings

    for kind, parts in by_kind.items():
        single = [[part] for part in parts]
        level = alpha / 2.0 / len(by_kind)
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


def _describe_ranks(ranks: RankEvidence) -> Finding:
    """Return the evidence that the target's streams rank high by their pace."""
    reason = f"{ranks.streams} streams came more slowly than most"
    return Finding(ranks.slower + math.log(PACE_ALPHA), reason)


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
