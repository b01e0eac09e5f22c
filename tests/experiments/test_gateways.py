"""The gateways experiment: balance over the engines, and invalid arguments."""

from __future__ import annotations

import unittest
from functools import cache

from waxwingwell.experiments.gateways import POLICIES
from waxwingwell.experiments.gateways import PROFILES
from waxwingwell.experiments.gateways import compute_cached_share
from waxwingwell.experiments.gateways import compute_wait
from waxwingwell.experiments.gateways import run_gateways
from waxwingwell.experiments.placement_simulation import PlacementRun
from waxwingwell.experiments.placement_simulation import simulate_placement


@cache
def simulate(policy: str, gateways: int) -> PlacementRun:
    """Simulate ten seconds of a policy."""
    return simulate_placement(
        PROFILES["entoto"], POLICIES[policy], gateways=gateways, seconds=10.0, seed=1
    )


class PlacingTest(unittest.TestCase):
    """Streams of all gateways on 39 engines, with delayed totals."""

    def test_first_events_come_sooner_than_with_baseline_policies(self) -> None:
        """Guards against hundreds of gateways sending to the same engine at once."""
        for gateways, policy, factor in (
            (6, "best of all", 1.0),
            (6, "least running", 0.6),
            (6, "random", 0.9),
            (195, "best of all", 0.8),
            (195, "least running", 0.6),
            (195, "random", 0.9),
        ):
            with self.subTest(policy, gateways=gateways):
                found = compute_wait(simulate("product", gateways), 0.95)
                other = compute_wait(simulate(policy, gateways), 0.95)
                self.assertLess(found, factor * other)

    def test_prompts_go_to_engines_that_cached_their_blocks(self) -> None:
        """Guards against a sample without the engine that cached the prompt blocks."""
        sampled = compute_cached_share(simulate("sample of two", 195))
        self.assertGreater(
            compute_cached_share(simulate("product", 195)), 1.2 * sampled
        )


class ArgumentTest(unittest.TestCase):
    """Arguments that the experiment rejects."""

    def test_errors_name_the_invalid_argument(self) -> None:
        for name, profile, seeds in (
            ("profile", "nowhere", 1),
            ("seeds", "entoto", 0),
        ):
            with self.subTest(name), self.assertRaisesRegex(ValueError, f"^{name}: "):
                run_gateways(profile, seeds)

    def test_a_simulation_needs_gateways_and_time(self) -> None:
        for gateways, seconds in ((0, 1.0), (1, 0.0)):
            with (
                self.subTest(gateways=gateways, seconds=seconds),
                self.assertRaises(ValueError),
            ):
                simulate_placement(
                    PROFILES["entoto"],
                    POLICIES["product"],
                    gateways=gateways,
                    seconds=seconds,
                    seed=1,
                )


if __name__ == "__main__":
    unittest.main()
