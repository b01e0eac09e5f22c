"""Tests of placement, load accounting, prefill speeds and idle timeouts."""

from __future__ import annotations

import unittest
from typing import Any

from waxwingwell.routing.health import HealthTable
from waxwingwell.routing.health import record_response
from waxwingwell.routing.health import record_unreachable
from waxwingwell.routing.idle_timeout import find_idle_timeout
from waxwingwell.routing.load import LoadTable
from waxwingwell.routing.load import add_running
from waxwingwell.routing.load import apply_totals
from waxwingwell.routing.load import count_gateways
from waxwingwell.routing.load import estimate_usage
from waxwingwell.routing.load import record_prefill
from waxwingwell.routing.load import remove_backlog
from waxwingwell.routing.load import remove_running
from waxwingwell.routing.placement import Demand
from waxwingwell.routing.placement import PlacementContext
from waxwingwell.routing.placement import choose_preferred
from waxwingwell.routing.placement import find_best_cached
from waxwingwell.routing.placement import place_request
from waxwingwell.routing.prefill_speed import SpeedTable
from waxwingwell.routing.prefill_speed import estimate_token_ms
from waxwingwell.routing.prefill_speed import record_prefill_time
from waxwingwell.routing.prefixes import PrefixTable
from waxwingwell.routing.prefixes import record_blocks
from waxwingwell.routing.records import Service

from .factories import make_announcement


DESK = Service(name="desk", slots=4)
ENGINE = Service(name="chat", slots=16, memory_tokens=100_000)
BLOCKS = (("shared", 500), ("team", 4_000), ("own", 100))


def place(demand: Demand, **around: Any) -> str:
    """Return the upstream chosen among two local ones and a remote one."""
    upstreams = [
        make_announcement("near", slots=4),
        make_announcement("near2", slots=4),
        make_announcement("far", slots=4, data_centre="south"),
    ]
    known = {
        "data_centre": "north",
        "load": LoadTable(),
        "health": HealthTable(),
        "prefixes": PrefixTable(),
    }
    context = PlacementContext(**{**known, **around})
    placement = place_request(demand, upstreams, context, 10.0, lambda: 0.0)
    return placement.upstream.upstream if placement else ""


def make_load(**running: int) -> LoadTable:
    """Return a table with a number of running requests at each upstream."""
    table = LoadTable()
    for name, count in running.items():
        for _ in range(count):
            add_running(table, name, 100.0)

    return table


class PlacementTest(unittest.TestCase):
    """Choice of the upstream with the lowest cost."""

    def test_load_and_distance(self) -> None:
        for name, running, expected in (
            ("idle", {}, {"near", "near2"}),
            ("one busy", {"near": 2}, {"near2"}),
            ("both local at capacity", {"near": 6, "near2": 6}, {"far"}),
            ("all at capacity", {"near": 9, "near2": 5, "far": 9}, {"near2"}),
        ):
            with self.subTest(name):
                found = place(Demand(DESK), load=make_load(**running))
                self.assertIn(found, expected)

    def test_upstreams_that_fail_are_avoided(self) -> None:
        """An upstream announces that it serves, but fails half of its calls."""
        health = HealthTable()
        for position in range(8):
            record_response(health, "near", 10.0, failed=position % 2 == 0)

        self.assertEqual(place(Demand(DESK), health=health), "near2")

    def test_upstreams_that_can_not_be_reached_are_the_last_resort(self) -> None:
        health = HealthTable()
        for name in ("near", "near2"):
            record_unreachable(health, name, 9.9)

        self.assertEqual(place(Demand(DESK), health=health), "far")
        record_unreachable(health, "far", 9.9)
        self.assertNotEqual(place(Demand(DESK), health=health), "")

    def test_a_prompt_goes_to_the_upstream_with_its_blocks(self) -> None:
        prefixes = PrefixTable()
        record_blocks(prefixes, "near2", "small", BLOCKS, 9.0)
        demand = Demand(ENGINE, "small", 4_600, BLOCKS)
        self.assertEqual(place(demand, prefixes=prefixes), "near2")
        busy = make_load(near2=15)
        self.assertEqual(place(demand, prefixes=prefixes, load=busy), "near")

    def test_an_unknown_prompt_has_no_best_cached_upstream(self) -> None:
        """Guards against all gateways comparing the same engine without a cause."""
        engines = [make_announcement(f"e{number}") for number in range(8)]
        around = PlacementContext("north", LoadTable(), HealthTable(), PrefixTable())
        for name, blocks, expected in (
            ("last block only", (("own", 100),), 0),
            ("no block", (), 0),
            ("shared blocks", BLOCKS, 1),
        ):
            with self.subTest(name):
                demand = Demand(ENGINE, "small", 4_600, blocks)
                preferred = choose_preferred(demand, engines, "north")
                found = find_best_cached(
                    demand, engines, around, 10.0, preferred=preferred
                )
                self.assertEqual(len(found), expected)

    def test_an_engine_of_the_pool_is_used_up_to_its_capacity(self) -> None:
        for name, backlog, expected in (
            ("idle", 0.0, "near2"),
            ("some work", 300.0, "near2"),
            ("at capacity", 900.0, "near"),
        ):
            with self.subTest(name):
                load = LoadTable()
                add_running(load, "near2", backlog)
                demand = Demand(ENGINE, "small", 100, pool=frozenset({"near2"}))
                self.assertEqual(place(demand, load=load), expected)

    def test_gateways_agree_on_the_upstream_of_unknown_blocks(self) -> None:
        demand = Demand(ENGINE, "small", 4_600, BLOCKS)
        self.assertEqual(len({place(demand) for _ in range(5)}), 1)


class LoadTest(unittest.TestCase):
    """Accounting of running requests and prefill."""

    def test_an_idle_upstream_has_no_entry(self) -> None:
        table = LoadTable()
        add_running(table, "u1", 30.0)
        remove_backlog(table, "u1", 30.0)
        remove_running(table, "u1")
        self.assertEqual(table.own, {})

    def test_many_gateways_are_assumed_before_the_first_totals(self) -> None:
        table = LoadTable()
        self.assertGreaterEqual(count_gateways(table), 64)
        apply_totals(table, (), (), work=0.0, gateways=9, now=1.0)
        self.assertEqual(count_gateways(table), 9)

    def test_usage(self) -> None:
        for name, others_at, expected in (("fresh", 9.5, 0.3), ("stale", 0.0, 0.8)):
            with self.subTest(name):
                table = LoadTable(
                    others_prefill_ms=1_200.0, others_at=others_at, gateways=8
                )
                record_prefill(table, 600.0, 9.0)
                self.assertAlmostEqual(estimate_usage(table, 2, 10.0), expected)

        record_prefill(table, 0.0, 20.0)
        self.assertEqual(estimate_usage(table, 2, 20.0), 0.0)


class SpeedTest(unittest.TestCase):
    """Prefill speeds of models, and idle timeouts."""

    def test_speeds_are_estimated(self) -> None:
        table = SpeedTable()
        models = ("small", "large")
        self.assertLess(
            estimate_token_ms(table, models, "small"),
            estimate_token_ms(table, models, "large"),
        )
        for _ in range(300):
            record_prefill_time(table, models, "small", 4_000, 25.0 + 4_000 * 0.01)

        self.assertAlmostEqual(
            estimate_token_ms(table, models, "small"), 0.01, places=4
        )
        for _ in range(8):
            record_prefill_time(table, models, "large", 4_000, 25.0 + 4_000 * 0.02)

        self.assertAlmostEqual(
            estimate_token_ms(table, models, "large"), 0.02, delta=0.004
        )
        record_prefill_time(table, models, "small", 4_000, 60_000.0)
        self.assertLess(estimate_token_ms(table, models, "small"), 0.011)

    def test_idle_timeouts(self) -> None:
        self.assertLess(find_idle_timeout(started=True, expected=9.0), 2.0)
        self.assertGreater(find_idle_timeout(started=False, expected=2.0), 5.0)
