"""The fleet experiment: reproducible runs, and the behaviour of the decisions."""

from __future__ import annotations

import json
import unittest
from dataclasses import replace
from random import Random

from waxwingwell.decisions.load import PRIORITY_LOAD_LIMITS
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
from waxwingwell.experiments.world import RetryStorm
from waxwingwell.experiments.world import make_world


SHORT = Scenario("short", 0.7, (REAL,), duration=40.0)


class TestFleet(unittest.TestCase):
    def test_same_seed_gives_the_same_figures(self) -> None:
        for profile in (ENTOTO, FRIO):
            with self.subTest(profile.name):
                first = run_scenario(profile, SHORT, REAL, 3)
                self.assertEqual(first, run_scenario(profile, SHORT, REAL, 3))
                self.assertNotEqual(first, run_scenario(profile, SHORT, REAL, 4))

    def test_every_request_ends_once_and_counters_return_to_zero(self) -> None:
        """Combines overload, an unresponsive engine and immediate retries.

        Each request ends once, and afterwards no entry counts any request as in flight
        or queued.
        """
        traffic = make_traffic(ENTOTO, Random(5), load=1.5, duration=15.0)
        world = make_world(ENTOTO, REAL, 5, RetryStorm())
        world.engines["engine-0"].unresponsive = True
        request_records = run_world(world, traffic, 150.0)
        self.assertGreater(len(request_records), 200)
        self.assertEqual(
            {one.outcome for one in request_records} - {"done"} - {"refused", "failed"},
            set(),
        )
        for entry in world.entries:
            tables = entry.tables
            self.assertEqual((tables.waiting, tables.claims), ({}, {}))
            in_flight_counts = [demand.in_flight for demand in tables.demand.values()]
            self.assertEqual(sum(in_flight_counts), 0)
            rows = [row.in_flight for row in tables.upstreams.values()]
            self.assertEqual(sum(rows), 0)

    def test_no_order_is_dispatched_twice(self) -> None:
        """Two engines accept orders and questions and never respond.

        Questions without a first token are retried at another engine. An order may
        have run, so a second dispatch could bill it twice.
        """
        traffic = make_traffic(ENTOTO, Random(6), load=0.6, duration=15.0)
        world = make_world(ENTOTO, REAL, 6)
        for name in ("engine-0", "engine-1"):
            world.engines[name].unresponsive = True

        request_records = run_world(world, traffic, 60.0)
        orders = [one for one in request_records if not one.request.work.repeatable]
        self.assertGreater(len(orders), 10)
        self.assertLessEqual(max(one.sends for one in orders), 1)
        self.assertGreater(max(one.sends for one in request_records), 1)

    def test_orders_keep_their_latency_under_overload(self) -> None:
        """The load is twice the engines' capacity, and few of the requests are orders.

        With the least-in-flight baseline, orders queue at the engines behind all other
        work.
        """
        busy = replace(SHORT, load=2.0)
        ours = run_scenario(ENTOTO, busy, REAL, 1)
        plain = run_scenario(ENTOTO, busy, LEAST_IN_FLIGHT, 1)
        self.assertLess(ours.order_first_p99, plain.order_first_p99 / 2)
        self.assertEqual(ours.order_refused, 0.0)
        self.assertGreater(ours.goodput, plain.goodput * 0.95)

    def test_load_bounds_decrease_with_the_priority(self) -> None:
        self.assertEqual(
            list(PRIORITY_LOAD_LIMITS.values()),
            sorted(PRIORITY_LOAD_LIMITS.values(), reverse=True),
        )

    def test_rejects_invalid_arguments(self) -> None:
        for profile, seeds in (("nowhere", 1), ("entoto", 0)):
            with self.subTest(profile=profile), self.assertRaises(ValueError):
                run_fleet(profile, seeds)

    def test_report_renders_as_text_and_json(self) -> None:
        goal = Goal("first token", "waxwingwell", 0.7, True, Spread(0.5, 0.8))
        report = FleetReport("entoto", 2, (goal,), ())
        self.assertIn("a trial", report.render())
        self.assertIn("met", report.render())
        self.assertEqual(json.loads(report.to_json())["goals"][0]["limit"], 0.7)
