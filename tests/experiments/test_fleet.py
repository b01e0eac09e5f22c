"""The fleet experiment: its runs repeat, and the decisions hold in them."""

from __future__ import annotations

import json
import unittest
from dataclasses import replace
from random import Random

from waxwingwell.decisions.load import BOUNDS
from waxwingwell.experiments.entries import LEAST_IN_FLIGHT
from waxwingwell.experiments.entries import REAL
from waxwingwell.experiments.fleet import FleetReport
from waxwingwell.experiments.fleet import Goal
from waxwingwell.experiments.fleet import run_fleet
from waxwingwell.experiments.fleet_traffic import ENTOTO
from waxwingwell.experiments.fleet_traffic import FRIO
from waxwingwell.experiments.fleet_traffic import make_traffic
from waxwingwell.experiments.measures import Spread
from waxwingwell.experiments.runs import run_world
from waxwingwell.experiments.scenarios import Scenario
from waxwingwell.experiments.scenarios import run_scenario
from waxwingwell.experiments.world import Storm
from waxwingwell.experiments.world import make_world


SHORT = Scenario("short", 0.7, (REAL,), duration=40.0)


class TestFleet(unittest.TestCase):
    def test_same_seed_gives_the_same_figures(self) -> None:
        for profile in (ENTOTO, FRIO):
            with self.subTest(profile.name):
                first = run_scenario(profile, SHORT, REAL, 3)
                self.assertEqual(first, run_scenario(profile, SHORT, REAL, 3))
                self.assertNotEqual(first, run_scenario(profile, SHORT, REAL, 4))

    def test_every_request_ends_once_and_counts_return(self) -> None:
        """Overload, a silent engine and callers that come back at once, together.

        Each caller gets one end, and when all is over no entry counts anything as
        running or waiting.
        """
        traffic = make_traffic(ENTOTO, Random(5), load=1.5, duration=15.0)
        world = make_world(ENTOTO, REAL, 5, Storm())
        world.engines["engine-0"].silent = True
        seen = run_world(world, traffic, 150.0)
        self.assertGreater(len(seen), 200)
        self.assertEqual(
            {one.outcome for one in seen} - {"done"} - {"refused", "failed"}, set()
        )
        for entry in world.entries:
            tables = entry.tables
            self.assertEqual((tables.waiting, tables.claims), ({}, {}))
            held = [demand.in_flight for demand in tables.demand.values()]
            self.assertEqual(sum(held), 0)
            rows = [row.in_flight for row in tables.upstreams.values()]
            self.assertEqual(sum(rows), 0)

    def test_no_order_is_sent_twice(self) -> None:
        """Two engines take orders and questions and never answer.

        The callers see no token; their questions are sent elsewhere. An order may have
        run, so a second dispatch could bill it twice.
        """
        traffic = make_traffic(ENTOTO, Random(6), load=0.6, duration=15.0)
        world = make_world(ENTOTO, REAL, 6)
        for name in ("engine-0", "engine-1"):
            world.engines[name].silent = True

        seen = run_world(world, traffic, 60.0)
        orders = [one for one in seen if not one.request.work.repeatable]
        self.assertGreater(len(orders), 10)
        self.assertLessEqual(max(one.sends for one in orders), 1)
        self.assertGreater(max(one.sends for one in seen), 1)

    def test_orders_keep_their_pace_under_overload(self) -> None:
        """Twice the load that the engines bear arrives, most of it no orders.

        By least in flight alone the orders queue at the engines with all the rest.
        """
        busy = replace(SHORT, load=2.0)
        ours = run_scenario(ENTOTO, busy, REAL, 1)
        plain = run_scenario(ENTOTO, busy, LEAST_IN_FLIGHT, 1)
        self.assertLess(ours.order_first_p99, plain.order_first_p99 / 2)
        self.assertEqual(ours.order_refused, 0.0)
        self.assertGreater(ours.goodput, plain.goodput * 0.95)

    def test_bounds_fall_with_the_priority(self) -> None:
        self.assertEqual(list(BOUNDS.values()), sorted(BOUNDS.values(), reverse=True))

    def test_refuses_wrong_arguments(self) -> None:
        for profile, seeds in (("nowhere", 1), ("entoto", 0)):
            with self.subTest(profile=profile), self.assertRaises(ValueError):
                run_fleet(profile, seeds)

    def test_report_renders_and_encodes(self) -> None:
        goal = Goal("first token", "waxwingwell", 0.7, True, Spread(0.5, 0.8))
        report = FleetReport("entoto", 2, (goal,), ())
        self.assertIn("a trial", report.render())
        self.assertIn("met", report.render())
        self.assertEqual(json.loads(report.to_json())["goals"][0]["limit"], 0.7)
