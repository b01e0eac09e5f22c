"""Tests of the ranks of a version's streams among the former one's."""

from __future__ import annotations

import math
import random
import unittest

from waxwingwell.routing.evidence_history import Snapshot
from waxwingwell.routing.outcomes import BUCKETS
from waxwingwell.routing.outcomes import Outcomes
from waxwingwell.routing.outcomes import find_bucket
from waxwingwell.routing.rank_tests import compare_paces


NEEDED = math.log(1000.0)
"""Log of the evidence that a thousandth of false alarms needs."""
SPREAD = 0.4
"""Spread of the logarithm of the streams' times per event."""


def draw_paces(draw: random.Random, number: int, factor: float) -> Outcomes:
    """Return streams whose times per event differ widely among each other."""
    counts = [0] * BUCKETS
    for _ in range(number):
        counts[find_bucket(factor * 0.04 * draw.lognormvariate(0.0, SPREAD))] += 1

    return Outcomes(paces=tuple(counts))


def find_evidence(seed: int, streams: int, factor: float, former: float = 1.0) -> float:
    """Return the evidence on some streams of a version that is slower by a factor."""
    draw = random.Random(seed)
    usual = {"chat": draw_paces(draw, 80, former)}
    target = {"chat": draw_paces(draw, streams, factor)}
    windows = [Snapshot(1.0, {}, {}), Snapshot(2.0, target, usual)]
    return compare_paces(windows, 12).slower


class RankTest(unittest.TestCase):
    """Streams that are each like some of the former version's."""

    def test_slower_streams_are_found_by_few(self) -> None:
        """Guards against a slow version that hides in streams of different paces."""
        for name, streams, factor, former, least, most in (
            ("as fast", 60, 1.0, 1.0, 0, 1),
            ("somewhat slower", 20, 1.15, 1.0, 0, 2),
            ("slow", 30, 1.75, 1.0, 90, 100),
            ("very slow", 15, 2.5, 1.0, 95, 100),
            ("both slow", 60, 1.75, 1.75, 0, 1),
        ):
            with self.subTest(name):
                found = sum(
                    find_evidence(seed, streams, factor, former) >= NEEDED
                    for seed in range(100)
                )
                self.assertGreaterEqual(found, least)
                self.assertLessEqual(found, most)

    def test_nothing_is_known_without_streams(self) -> None:
        """Guards against evidence from no streams, or with none to compare them."""
        draw = random.Random(1)
        some = {"chat": draw_paces(draw, 20, 5.0)}
        for target, former in (({}, some), (some, {})):
            with self.subTest(target=bool(target)):
                found = compare_paces([Snapshot(1.0, target, former)], 12)
                self.assertEqual((found.slower, found.streams), (-math.inf, 0))


if __name__ == "__main__":
    unittest.main()
