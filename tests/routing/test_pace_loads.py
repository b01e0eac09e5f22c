"""Tests of times per event of streams at the load of their engines."""

from __future__ import annotations

import math
import random
import unittest
from collections import Counter

from waxwingwell.routing.evidence_history import EvidenceHistory
from waxwingwell.routing.evidence_history import Snapshot
from waxwingwell.routing.evidence_history import record_snapshot
from waxwingwell.routing.outcomes import BUCKETS
from waxwingwell.routing.outcomes import Outcomes
from waxwingwell.routing.outcomes import find_bucket
from waxwingwell.routing.pace_loads import MAX_LEVEL
from waxwingwell.routing.pace_loads import LoadDependence
from waxwingwell.routing.pace_loads import adjust_times
from waxwingwell.routing.pace_loads import find_cell
from waxwingwell.routing.pace_loads import find_dependence
from waxwingwell.routing.pace_loads import find_level
from waxwingwell.routing.pace_loads import list_shifts
from waxwingwell.routing.regressions import Finding
from waxwingwell.routing.regressions import find_regression


SPREAD = 0.25
"""Spread of the logarithm of times per event at the same load."""
EVENT_SECONDS = 0.02
"""Time per event of a stream that runs alone."""
LOAD_COST = 0.15
"""Part of that time which each further request adds."""
BUSY = (4, 16)
"""Requests that the engines of the former version run."""
CALM = (1, 4)
"""Requests that engines on trial run."""
STREAMS = 25
SEEDS = 100


def draw_streams(
    draw: random.Random,
    number: int,
    loads: tuple[int, int],
    factor: float = 1.0,
    cost: float = LOAD_COST,
) -> Outcomes:
    """Return streams on engines of some load, that are slower by a factor."""
    paces = [0] * BUCKETS
    loaded: Counter[int] = Counter()
    for _ in range(number):
        running = draw.randint(*loads)
        pace = EVENT_SECONDS * (1.0 + cost * (running - 1)) * factor
        pace *= draw.lognormvariate(0.0, SPREAD)
        paces[find_bucket(pace)] += 1
        loaded[find_cell(running, pace)] += 1

    return Outcomes(
        sent=number,
        answers=number,
        paces=tuple(paces),
        loaded_paces=tuple(sorted(loaded.items())),
    )


def compare(seed: int, loads: tuple[int, int], factor: float) -> Finding:
    """Return what is found of a version on trial."""
    draw = random.Random(seed)
    former = {"chat": draw_streams(draw, 10 * STREAMS, BUSY)}
    target = {"chat": draw_streams(draw, STREAMS, loads, factor)}
    history = EvidenceHistory()
    record_snapshot(history, Snapshot(10.0, target, former))
    return find_regression(history, 20.0)


class LoadTest(unittest.TestCase):
    """Versions that are tried on engines with another load."""

    def test_a_slow_version_on_calm_engines_is_not_completed(self) -> None:
        """Guards against engines on trial that hide a slow version by their low load.

        Each of its streams is as fast as those of the former version, whose engines
        run several times as many requests.
        """
        for name, loads, factor, least, most in (
            ("as fast, calm", CALM, 1.0, 0, 5),
            ("as fast, busy", BUSY, 1.0, 0, 10),
            ("slower, calm", CALM, 2.0, 95, 100),
            ("slower, busy", BUSY, 2.0, 95, 100),
        ):
            with self.subTest(name):
                found = [compare(seed, loads, factor) for seed in range(SEEDS)]
                held = sum(one.is_suspicion or one.is_unproven for one in found)
                self.assertGreaterEqual(held, least)
                self.assertLessEqual(held, most)

    def test_a_version_as_fast_is_not_blamed(self) -> None:
        """Guards against conversions that make up a difference."""
        for name, loads in (("calm", CALM), ("busy", BUSY), ("alone", (1, 1))):
            with self.subTest(name):
                found = [compare(seed, loads, 1.0) for seed in range(SEEDS)]
                self.assertLessEqual(sum(one.is_regression for one in found), 1)


class DependenceTest(unittest.TestCase):
    """The dependence of times on the load."""

    def test_bases(self) -> None:
        for name, cost, least, most in (
            ("none", 0.0, 64.0, math.inf),
            ("some", 0.15, 4.0, 8.0),
            ("proportional", 1.0, 1.0, 1.0),
        ):
            with self.subTest(name):
                drawn = draw_streams(random.Random(1), 400, BUSY, cost=cost)
                found = find_dependence({"chat": drawn})["chat"]
                self.assertGreaterEqual(found.base, least)
                self.assertLessEqual(found.base, most)
                self.assertAlmostEqual(found.running, sum(BUSY) / 2, delta=1.0)

    def test_kinds_without_streams_have_none(self) -> None:
        self.assertEqual(find_dependence({"call": Outcomes(sent=9, answers=9)}), {})

    def test_levels(self) -> None:
        for running, level in ((0, 0), (4, 4), (12, 8), (28, 12), (10**9, MAX_LEVEL)):
            with self.subTest(running=running):
                self.assertEqual(find_level(running), level)


class AdjustmentTest(unittest.TestCase):
    """Conversion of times to the usual load."""

    def test_streams_of_unknown_load_stay_as_they_are(self) -> None:
        """Gateways of an older release don't report loads while others do."""
        dependence = LoadDependence(base=4.0, running=12.0)
        times = tuple(3 if bucket == 20 else 0 for bucket in range(BUCKETS))
        for name, loaded, expected in (
            ("no load is known", (), {20: 3}),
            ("one load is known", ((4 * BUCKETS + 20, 1),), {20: 2, 25: 1}),
            ("usual load", ((8 * BUCKETS + 20, 1),), {20: 3}),
            ("idle engines", ((20, 3),), {30: 3}),
        ):
            with self.subTest(name):
                found = adjust_times(times, loaded, list_shifts(dependence))
                counts = {bucket: n for bucket, n in enumerate(found) if n}
                self.assertEqual(counts, expected)


if __name__ == "__main__":
    unittest.main()
