"""Tests of paces, controls' comparison, factors and placement together."""

from __future__ import annotations

import unittest
from collections import Counter
from statistics import mean
from typing import TYPE_CHECKING

from .placement_plays import ENGINES
from .placement_plays import Play
from .placement_plays import compare_with_share
from .placement_plays import play_product
from .speed_plays import find_dispersion
from .speed_plays import find_variation
from .speed_plays import play_measured


if TYPE_CHECKING:
    from waxwingwell.experiments.placement_simulation import PlacementRun


FLEETS = ((9, 0.05), (95, 0.25))
"""Numbers of gateways, with the least ages of their totals."""
LOADS = (0.3, 1.5)
"""Loads at which an engine runs two and ten requests on average."""
SLOW = (2.4,) * 10
SLOW_NAMES = [f"engine-{number}" for number in range(len(SLOW))]
OTHER_NAMES = [f"engine-{number}" for number in range(len(SLOW), ENGINES)]
SECONDS = 20.0
ALIKE_SECONDS = 12.0
TARGET = 1.15
MAX_VARIATION = 2.0
MIN_SHARE = 0.7
MAX_SHARE = 1.3


class MeasuredSpeedsTest(unittest.TestCase):
    """Gateways that know only the factors that follow from their own samples."""

    def test_slow_engines_run_at_most_the_share_of_their_speed(self) -> None:
        """Guards against slow engines whose factors age and that fill up again."""
        for gateways, age in FLEETS:
            for load in LOADS:
                with self.subTest(gateways=gateways, load=load):
                    play = Play(gateways, age, load, seconds=SECONDS, factors=SLOW)
                    run, _ = play_measured(play, 1)
                    self.assertLessEqual(mean(compare_with_share(run).values()), TARGET)

    def test_the_choice_does_not_oscillate(self) -> None:
        """Guards against factors that rise with the load and fall as it moves away.

        Slow engines get more requests than with factors given, as their factors age,
        so that their variation is related to their load.
        """
        for gateways, age in FLEETS:
            for load in LOADS:
                with self.subTest(gateways=gateways, load=load):
                    play = Play(gateways, age, load, seconds=SECONDS, factors=SLOW)
                    run, _ = play_measured(play, 1)
                    given = play_product(play, 1)
                    self.assertLessEqual(
                        find_variation(run, OTHER_NAMES),
                        MAX_VARIATION * find_variation(given, OTHER_NAMES),
                    )
                    self.assertLessEqual(
                        find_dispersion(run, SLOW_NAMES),
                        MAX_VARIATION * find_dispersion(given, OTHER_NAMES),
                    )

    def test_engines_that_are_alike_keep_their_shares(self) -> None:
        """Guards against noise and load that count as speed.

        Homes and pools give engines uneven shares at any rate, so that each share is
        compared with that of gateways which know no factors.
        """
        for gateways, age in FLEETS:
            for load in LOADS:
                with self.subTest(gateways=gateways, load=load):
                    play = Play(gateways, age, load, seconds=ALIKE_SECONDS, factors=())
                    run, exchange = play_measured(play, 1)
                    found = count_running(run)
                    for name, usual in count_running(play_product(play, 1)).items():
                        self.assertGreaterEqual(found[name], MIN_SHARE * usual, name)
                        self.assertLessEqual(found[name], MAX_SHARE * usual, name)

                    for _, one in exchange.listed:
                        self.assertGreaterEqual(one.factor, 1 / MAX_SHARE)
                        self.assertLessEqual(one.factor, MAX_SHARE)


def count_running(run: PlacementRun) -> Counter[str]:
    """Return the sum of the samples of each engine's running requests."""
    running: Counter[str] = Counter()
    for sample in run.samples:
        running[sample.engine] += sample.running

    return running


if __name__ == "__main__":
    unittest.main()
