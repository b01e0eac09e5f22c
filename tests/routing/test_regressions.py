"""Tests of the comparison of a roll-out's target with the former version."""

from __future__ import annotations

import random
import unittest
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

from waxwingwell.routing.evidence_history import MAX_SNAPSHOTS
from waxwingwell.routing.evidence_history import EvidenceHistory
from waxwingwell.routing.evidence_history import Snapshot
from waxwingwell.routing.evidence_history import record_snapshot
from waxwingwell.routing.outcomes import BUCKETS
from waxwingwell.routing.outcomes import EMPTY
from waxwingwell.routing.outcomes import Histogram
from waxwingwell.routing.outcomes import Outcomes
from waxwingwell.routing.outcomes import add_histograms
from waxwingwell.routing.outcomes import add_outcomes
from waxwingwell.routing.outcomes import find_bucket
from waxwingwell.routing.regressions import find_regression


DURATION = 20.0
STEP_SECONDS = 0.5
USUAL_SPREAD = (1.0, 0.8, 1.2, 1.1, 0.7, 1.6, 0.9, 1.4, 1.0, 2.0)
"""Usual times, as parts of their median."""


def count_times(seconds: tuple[float, ...], repeats: int = 1) -> Histogram:
    """Return the histogram of some times, each as often."""
    counts = [0] * BUCKETS
    for one in seconds:
        counts[find_bucket(one)] += repeats

    return tuple(counts)


def make_outcomes(
    successes: int = 0,
    failures: int = 0,
    *,
    breaks: int = 0,
    median: float = 0.1,
    slow: int = 0,
    factor: float = 4.0,
    waiting: int = 0,
) -> Outcomes:
    """Return outcomes whose times have the usual spread.

    ``slow`` of the successes take ``factor`` times as long, and ``waiting`` requests
    have waited as long as these without a response.
    """
    usual = tuple(
        median * USUAL_SPREAD[number % len(USUAL_SPREAD)]
        for number in range(successes - slow)
    )
    late = tuple(
        factor * median * USUAL_SPREAD[number % len(USUAL_SPREAD)]
        for number in range(slow)
    )
    times = add_histograms(count_times(usual), count_times(late))
    return Outcomes(
        sent=successes + failures + breaks + waiting,
        answers=successes + failures + breaks,
        failures=failures,
        breaks=breaks,
        first_bytes=times,
        durations=times,
        waiting=count_times((factor * median,), waiting) if waiting else EMPTY,
    )


@dataclass(slots=True)
class Phase:
    """Outcomes that both versions gain each second, up to a time."""

    until: float
    target: Mapping[str, Outcomes] = field(default_factory=dict)
    former: Mapping[str, Outcomes] = field(default_factory=dict)


def make_history(*phases: Phase) -> EvidenceHistory:
    """Return the history of some phases, with a snapshot each second."""
    history = EvidenceHistory()
    target: Mapping[str, Outcomes] = {}
    former: Mapping[str, Outcomes] = {}
    elapsed = 0.0
    for phase in phases:
        while elapsed < phase.until:
            elapsed += 1.0
            target = add_kinds(target, phase.target)
            former = add_kinds(former, phase.former)
            record_snapshot(history, Snapshot(elapsed, target, former))

    return history


def add_kinds(
    first: Mapping[str, Outcomes], second: Mapping[str, Outcomes]
) -> dict[str, Outcomes]:
    """Return the sum of outcomes by kind of request."""
    return {
        kind: add_outcomes(side[kind] for side in (first, second) if kind in side)
        for kind in [*first, *(one for one in second if one not in first)]
    }


def compare_totals(
    target: Outcomes, former: Outcomes, elapsed: float = 5.0
) -> EvidenceHistory:
    """Return a history with the latest totals only, as a new leader has."""
    history = EvidenceHistory()
    record_snapshot(history, Snapshot(elapsed, {"chat": target}, {"chat": former}))
    return history


class RegressionTest(unittest.TestCase):
    """Regressions that are to be found, and differences that aren't one."""

    def test_requests_that_nobody_waits_for(self) -> None:
        """Guards against slow versions whose requests end before their responses."""
        usual = make_outcomes(100)
        usual = replace(usual, paces=usual.first_bytes)
        few = make_outcomes(10)
        few = replace(few, paces=few.first_bytes)
        late = count_times((0.5,), 20)
        for name, target, expected in (
            ("none", few, False),
            ("ended without a first byte", replace(few, abandoned=late), True),
            ("ended at a slow pace", replace(few, paces=late), True),
            ("running at a slow pace", replace(few, paces=EMPTY, pacing=late), True),
            ("waiting", replace(few, waiting=late), True),
        ):
            with self.subTest(name):
                found = find_regression(compare_totals(target, usual), DURATION)
                self.assertIs(found.is_regression, expected)

    def test_totals(self) -> None:
        """Guards against regressions that a mean over all responses hides."""
        usual = make_outcomes(100, 1)
        for name, target, former, expected in (
            ("no response", make_outcomes(), usual, False),
            ("two of three fail", make_outcomes(1, 2), usual, False),
            ("half of few fail", make_outcomes(6, 6), usual, True),
            ("a third fails", make_outcomes(20, 10), usual, True),
            ("one failure", make_outcomes(9, 1), usual, False),
            ("no former response", make_outcomes(20, 2), make_outcomes(), False),
            ("equal small rates", make_outcomes(57, 3), make_outcomes(570, 30), False),
            ("equal large rates", make_outcomes(48, 12), make_outcomes(80, 20), False),
            ("equal, few", make_outcomes(6, 2), make_outcomes(30, 7), False),
            (
                "large rate beside one",
                make_outcomes(10, 30),
                make_outcomes(80, 20),
                True,
            ),
        ):
            with self.subTest(name):
                history = compare_totals(target, former)
                found = find_regression(history, DURATION)
                self.assertIs(found.is_regression, expected, found)

    def test_slow_responses_at_any_scale(self) -> None:
        """Guards against slow versions of services with short or long responses."""
        cases: tuple[tuple[str, dict[str, Any], bool], ...] = (
            ("usual", {}, False),
            ("few are slow", {"slow": 4}, False),
            ("a third is slow", {"slow": 27}, True),
            ("half are slower", {"slow": 40, "factor": 8.0}, True),
            ("all a bit slower", {"slow": 80, "factor": 1.3}, False),
            ("a third is waiting", {"waiting": 40}, True),
            ("few are waiting", {"waiting": 4}, False),
        )
        for median in (0.005, 0.02, 0.3, 4.0):
            for name, fields, expected in cases:
                with self.subTest(name, median=median):
                    history = compare_totals(
                        make_outcomes(80, median=median, **fields),
                        make_outcomes(800, median=median),
                    )
                    found = find_regression(history, DURATION)
                    self.assertIs(found.is_regression, expected, found)

    def test_equally_slow_versions(self) -> None:
        """Guards against a rollback for an overload of both versions."""
        history = compare_totals(
            make_outcomes(40, slow=20), make_outcomes(400, slow=200)
        )
        self.assertFalse(find_regression(history, DURATION).is_regression)

    def test_one_kind_of_request(self) -> None:
        """Guards against failures of one kind that drown in those of the others."""
        good = {kind: make_outcomes(2) for kind in ("a", "b", "c", "d")}
        former = {kind: make_outcomes(20) for kind in ("a", "b", "c", "d", "e")}
        for name, last, expected in (
            ("fails", make_outcomes(1, 1), True),
            ("is slow", make_outcomes(2, slow=1), True),
            ("is good", make_outcomes(2), False),
        ):
            with self.subTest(name):
                phase = Phase(10.0, {**good, "e": last}, former)
                found = find_regression(make_history(phase), DURATION)
                self.assertIs(found.is_regression, expected, found)

    def test_a_version_that_turns_bad(self) -> None:
        """Guards against failures that good responses before the turn outweigh."""
        former = {"chat": make_outcomes(30)}
        before = Phase(10.0, {"chat": make_outcomes(6)}, former)
        for name, turned in (
            ("fails", make_outcomes(4, 2)),
            ("is slow", make_outcomes(6, slow=3)),
        ):
            with self.subTest(name):
                after = Phase(14.0, {"chat": turned}, former)
                found = find_regression(make_history(before, after), DURATION)
                self.assertTrue(found.is_regression, found)

    def test_a_long_rollout(self) -> None:
        """Guards against a late regression that is found only after many failures."""
        former = {"chat": make_outcomes(30)}
        history = make_history(
            Phase(400.0, {"chat": make_outcomes(6)}, former),
            Phase(412.0, {"chat": make_outcomes(4, 2)}, former),
        )
        found = find_regression(history, 600.0)
        self.assertTrue(found.is_regression, found)

    def test_trouble_of_both_versions(self) -> None:
        """Guards against blame for trouble that began as the target's share grew."""
        for name, target, former in (
            ("failures", make_outcomes(6, 6), make_outcomes(6, 6)),
            ("slow", make_outcomes(12, slow=8), make_outcomes(12, slow=8)),
        ):
            with self.subTest(name):
                history = make_history(
                    Phase(
                        10.0, {"chat": make_outcomes(1)}, {"chat": make_outcomes(23)}
                    ),
                    Phase(14.0, {"chat": target}, {"chat": former}),
                )
                found = find_regression(history, DURATION)
                self.assertFalse(found.is_regression, found)

    def test_breaks(self) -> None:
        """Guards against blame for one crash, which breaks many requests at once."""
        former = {"chat": make_outcomes(30)}
        good = {"chat": make_outcomes(6)}
        crash = {"chat": make_outcomes(2, breaks=40)}
        broken = {"chat": make_outcomes(3, breaks=3)}
        for name, phases, expected in (
            (
                "two crashes",
                (
                    Phase(4.0, good, former),
                    Phase(6.0, crash, former),
                    Phase(12.0, good, former),
                    Phase(13.0, crash, former),
                ),
                False,
            ),
            ("half break off", (Phase(12.0, broken, former),), True),
        ):
            with self.subTest(name):
                found = find_regression(make_history(*phases), DURATION)
                self.assertIs(found.is_regression, expected, found)

    def test_continuous_looking(self) -> None:
        """Guards against false alarms that add up over the steps of a roll-out."""
        runs = 100
        alarms = sum(look_continuously(seed) for seed in range(runs))
        self.assertLessEqual(alarms, runs // 100)


def look_continuously(seed: int) -> bool:
    """Return whether any step of a good version's roll-out finds a regression."""
    draw = random.Random(seed)
    rate = draw.uniform(0.0, 0.2)
    share = draw.uniform(0.05, 0.5)
    history = EvidenceHistory()
    target: Mapping[str, Outcomes] = {}
    former: Mapping[str, Outcomes] = {}
    for step in range(1, round(DURATION / STEP_SECONDS)):
        for _ in range(draw.randint(0, 12)):
            failed = draw.random() < rate
            time = draw.lognormvariate(0.0, 0.5)
            one = make_outcomes(0, 1) if failed else make_outcomes(1, median=time)
            gained = {draw.choice("abc"): one}
            if draw.random() < share:
                target = add_kinds(target, gained)
            else:
                former = add_kinds(former, gained)

        record_snapshot(history, Snapshot(step * STEP_SECONDS, target, former))
        if find_regression(history, DURATION).is_regression:
            return True

    return False


class HistoryTest(unittest.TestCase):
    """Snapshots that a leader keeps."""

    def test_memory_is_bounded(self) -> None:
        """Guards against a long roll-out that fills the leader's memory."""
        history = EvidenceHistory()
        for step in range(5_000):
            record_snapshot(history, Snapshot(step * STEP_SECONDS, {}, {}))

        self.assertLessEqual(len(history.snapshots), MAX_SNAPSHOTS)
        times = [one.elapsed for one in history.snapshots]
        self.assertEqual(times, sorted(times))
        self.assertEqual(times[0], 0.0)
        self.assertEqual(times[-1], 4_999 * STEP_SECONDS)

    def test_a_time_before_the_latest_is_ignored(self) -> None:
        """Guards against negative counts after a leader's clock was set back."""
        history = EvidenceHistory()
        record_snapshot(history, Snapshot(5.0, {}, {}))
        record_snapshot(history, Snapshot(4.0, {}, {}))
        self.assertEqual([one.elapsed for one in history.snapshots], [5.0])


if __name__ == "__main__":
    unittest.main()
