"""The quality experiment: sound simulated versions, and reproducible runs."""

from __future__ import annotations

import json
import unittest

from waxwingwell.experiments.quality import run_quality
from waxwingwell.experiments.quality_report import QualityReport
from waxwingwell.experiments.quality_report import RolloutFigures
from waxwingwell.experiments.quality_report import SeedFigures
from waxwingwell.experiments.quality_report import TrafficFigures
from waxwingwell.experiments.quality_report import list_goals
from waxwingwell.experiments.rollout_simulation import RolloutCase
from waxwingwell.experiments.rollout_simulation import run_canary
from waxwingwell.experiments.rollout_simulation import run_staged
from waxwingwell.experiments.traffic import POLICIES
from waxwingwell.experiments.traffic import run_traffic
from waxwingwell.experiments.worlds import KINDS
from waxwingwell.experiments.worlds import draw_qualities
from waxwingwell.experiments.worlds import find_oracle_plan
from waxwingwell.experiments.worlds import get_quality
from waxwingwell.experiments.worlds import make_world


class TestWorlds(unittest.TestCase):
    def test_the_best_version_meets_every_target(self) -> None:
        for seed in range(5):
            world = make_world("entoto", seed)
            for name in world.tables.workspaces:
                for kind in KINDS:
                    best = get_quality(world, (name, kind.name), world.versions[-1])
                    self.assertGreaterEqual(best, kind.quality_target)

    def test_true_quality_is_the_mean_of_drawn_qualities(self) -> None:
        world = make_world("frio", 3)
        cell = (next(iter(world.tables.workspaces)), "tag")
        draws = [draw_qualities(world, cell) for _ in range(4000)]
        for version in world.versions:
            mean = sum(qualities[version] for qualities in draws) / len(draws)
            self.assertAlmostEqual(mean, get_quality(world, cell, version), delta=0.01)

    def test_the_oracle_never_costs_more_than_the_best_version(self) -> None:
        world = make_world("frio", 3)
        for name in world.tables.workspaces:
            for kind in KINDS:
                plan = find_oracle_plan(world, (name, kind.name))
                self.assertLessEqual(plan.cost, world.prices[world.versions[-1]])


class TestTraffic(unittest.TestCase):
    def test_costs_are_ordered_and_reproducible(self) -> None:
        costs = {
            name: run_traffic(make_world("entoto", 7), name, 7, requests=300).cost
            for name in POLICIES
        }
        self.assertLess(costs["always cheapest"], costs["oracle"])
        self.assertLess(costs["oracle"], costs["always best"])
        self.assertLess(costs["router"], costs["always best"])
        again = run_traffic(make_world("entoto", 7), "router", 7, requests=300)
        self.assertEqual(again.cost, costs["router"])


class TestRollouts(unittest.TestCase):
    def test_good_candidates_complete_and_bad_ones_are_withdrawn(self) -> None:
        good = run_staged(RolloutCase("entoto", "good"))
        self.assertTrue(good.completed)
        self.assertEqual(good.bad, 0)
        case = RolloutCase("entoto", "bad", loss=0.3)
        bad = run_staged(case)
        canary = run_canary(case, 5000)
        self.assertTrue(bad.withdrawn)
        self.assertLess(bad.bad, canary.bad)


class TestReport(unittest.TestCase):
    def test_render_and_json(self) -> None:
        figures = TrafficFigures(2.0, 0.01, 0.1, 3)
        rollouts = RolloutFigures(
            10, 0, 10, 2, 2, 0, 50, (900, 400, 200), (2, 2, 1), 1, 1, 30, 100.0
        )
        seed = SeedFigures(1, dict.fromkeys(POLICIES, figures), rollouts)
        report = QualityReport("entoto", [seed])
        self.assertIn("bad answers / canary's", report.render())
        self.assertEqual(json.loads(report.to_json())["profile"], "entoto")
        met = {goal.name: goal.met for goal in list_goals(report)}
        self.assertTrue(met["cost / oracle's"])
        self.assertFalse(met["cost / always best's"])

    def test_rejects_invalid_arguments(self) -> None:
        for profile, seeds in (("nowhere", 2), ("frio", 0)):
            with self.subTest(profile), self.assertRaises(ValueError):
                run_quality(profile, seeds)
