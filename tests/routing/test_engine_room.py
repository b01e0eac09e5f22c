"""Tests of the account of room, and of the part of it that a gateway may use."""

from __future__ import annotations

import unittest

from waxwingwell.routing.engine_room import LEAST_BOUND
from waxwingwell.routing.engine_room import LEAST_URGENT
from waxwingwell.routing.engine_room import MAX_COUNT
from waxwingwell.routing.engine_room import DemandTable
from waxwingwell.routing.engine_room import EngineRoom
from waxwingwell.routing.engine_room import RankedDemand
from waxwingwell.routing.engine_room import apply_demand
from waxwingwell.routing.engine_room import apply_workspaces
from waxwingwell.routing.engine_room import count_equal_part
from waxwingwell.routing.engine_room import count_left
from waxwingwell.routing.engine_room import find_bound
from waxwingwell.routing.engine_room import fits
from waxwingwell.routing.engine_room import has_old_totals
from waxwingwell.routing.engine_room import is_short
from waxwingwell.routing.engine_room import make_pool
from waxwingwell.routing.engine_room import measure_room
from waxwingwell.routing.load import MAX_TOTAL_AGE_SECONDS
from waxwingwell.routing.load import LoadTable
from waxwingwell.routing.load import add_running
from waxwingwell.routing.load import apply_totals
from waxwingwell.routing.messages import ServiceDemand
from waxwingwell.routing.messages import UpstreamUse
from waxwingwell.routing.messages import WorkspaceUse


def make_load(running: int, tokens: int = 0, gateways: int = 4) -> LoadTable:
    """Return the load of other gateways at one upstream."""
    load = LoadTable()
    use = UpstreamUse(upstream="u1", running=running, backlog=0, tokens=tokens)
    apply_totals(load, (use,), (), work=0.0, gateways=gateways, now=0.0)
    return load


def make_room(running: int, new: int = 0, own: int = 0) -> EngineRoom:
    """Return the room of a hundred slots."""
    return EngineRoom(100, 0, running + new, 0, own, 0, new)


class RoomTest(unittest.TestCase):
    """What is known of a service's room."""

    def test_when_a_service_is_short(self) -> None:
        """Guards against waits with room to spare, and floods without."""
        for name, running, tokens, slots, short in (
            ("slots to spare", 16, 0, 20, False),
            ("few slots", 17, 0, 20, True),
            ("little memory", 2, 8_500, 20, True),
            ("memory to spare", 2, 8_000, 20, False),
            ("no stated slots", 50, 9_900, 0, False),
        ):
            with self.subTest(name):
                load = make_load(running, tokens)
                pool = make_pool([("u1", slots)], 10_000, load)
                room = measure_room(pool, load, DemandTable())
                self.assertEqual(is_short(room), short)

    def test_other_upstreams_do_not_count(self) -> None:
        """Guards against room of upstreams that a request may not use."""
        load = make_load(17)
        add_running(load, "u2", 0.0)
        room = measure_room(make_pool([("u2", 20)], 0, load), load, DemandTable())
        self.assertEqual((room.running, room.own_running), (1, 1))

    def test_bounds_of_the_ranks(self) -> None:
        """Guards against a least urgent rank that takes the reserved room."""
        for rank, least, bound in (
            (0, 0, 1.0),
            (0, 8, 1.0),
            (4, 8, (1.0 + LEAST_BOUND) / 2),
            (8, 8, LEAST_BOUND),
            (9, 8, LEAST_BOUND),
        ):
            with self.subTest(rank=rank, least=least):
                self.assertAlmostEqual(find_bound(rank, least), bound)


class PartTest(unittest.TestCase):
    """The part of the room that one gateway may use until the next totals."""

    def count(self, room: EngineRoom, demand: RankedDemand, rank: int = 0) -> float:
        """Return the slots left to a rank of 0 to 2."""
        return count_left(room, demand, rank=rank, least=2, draw=0.5)[0]

    def test_parts_add_up_to_the_room(self) -> None:
        """Guards against gateways that together start more than there is room for."""
        demands = (1, 2, 7, 30)
        total = sum(demands)
        parts = [
            self.count(make_room(60), RankedDemand({0: own}, {0: total - own}))
            for own in demands
        ]
        self.assertAlmostEqual(sum(parts), 40.0)

    def test_what_own_requests_free_is_used_at_once(self) -> None:
        """Guards against slots that stay free until the next totals."""
        demand = RankedDemand({0: 1}, {0: 9})
        full = make_room(100)
        self.assertLess(self.count(full, demand), 1.0)
        self.assertGreaterEqual(self.count(make_room(100, new=-1), demand), 1.0)

    def test_starts_use_the_part_up(self) -> None:
        """Guards against a part that is used twice."""
        demand = RankedDemand({0: 5}, {0: 5})
        self.assertAlmostEqual(self.count(make_room(80), demand), 10.0)
        self.assertAlmostEqual(self.count(make_room(80, new=10), demand), 0.0)

    def test_urgent_requests_elsewhere_go_first(self) -> None:
        """Guards against room for the least urgent while urgent requests wait."""
        alone = self.count(make_room(70), RankedDemand({2: 5}, {2: 5}), 2)
        beside = self.count(make_room(70), RankedDemand({2: 5}, {0: 50}), 2)
        self.assertGreater(alone, 1.0)
        self.assertEqual(beside, 0.0)

    def test_more_than_the_bound_runs(self) -> None:
        """Guards against slots that go from one least urgent request to the next."""
        demand = RankedDemand({2: 5}, {2: 5}, freed=20.0)
        room = make_room(100, new=-3)
        self.assertAlmostEqual(self.count(room, demand, 2), 0.0)
        self.assertGreaterEqual(self.count(room, demand, 0), 3.0)

    def test_draws_round_small_parts(self) -> None:
        """Guards against gateways that never start any as their part is below one."""
        demand = RankedDemand({0: 1}, {0: 99})
        left = count_left(make_room(80), demand, rank=0, least=2, draw=0.0)
        draws = [number / 100 for number in range(100)]
        self.assertEqual(sum(fits(left, 0, draw) for draw in draws), 20)

    def test_memory_bounds_the_part(self) -> None:
        """Guards against requests that engines preempt for lack of memory."""
        room = EngineRoom(100, 10_000, 10, 9_500, 0, 0)
        left = count_left(room, RankedDemand({0: 1}), rank=0, least=2, draw=0.0)
        self.assertTrue(fits(left, 500, 0.0))
        self.assertFalse(fits(left, 600, 0.0))

    def test_an_equal_part_without_recent_totals(self) -> None:
        """Guards against gateways that fill all the room without a control."""
        load = make_load(0, gateways=4)
        self.assertFalse(has_old_totals(LoadTable(), 100.0))
        self.assertFalse(has_old_totals(load, MAX_TOTAL_AGE_SECONDS))
        self.assertTrue(has_old_totals(load, MAX_TOTAL_AGE_SECONDS + 0.1))
        slots, _ = count_equal_part(make_room(0, own=5), load, rank=0, least=2)
        self.assertAlmostEqual(slots, 20.0)


class TotalsTest(unittest.TestCase):
    """What a gateway keeps of the totals."""

    def test_own_reports_are_subtracted(self) -> None:
        """Guards against a gateway that competes with itself."""
        table = DemandTable()
        total = (ServiceDemand("chat", 0, 7, 5, 4), ServiceDemand("chat", 1, 2))
        own = (ServiceDemand("chat", 0, 3, 2), ServiceDemand("chat", 1, 2))
        apply_demand(table, LoadTable(), total, own, 0.5)
        self.assertEqual(table.others, {"chat": {0: 4}})
        self.assertEqual(table.waiting, {"chat": {0: 3}})
        self.assertGreater(table.freed["chat"], 0.0)

    def test_invalid_values_are_dropped(self) -> None:
        """Guards against totals that stop or flood a queue."""
        table = DemandTable()
        for bad in (
            ServiceDemand("chat", 0, -1),
            ServiceDemand("chat", -1, 1),
            ServiceDemand("chat", LEAST_URGENT + 1, 1),
            ServiceDemand("chat", 0, MAX_COUNT + 1),
            ServiceDemand("chat", 0, 1, 1, -5),
        ):
            with self.subTest(bad):
                apply_demand(table, LoadTable(), (bad,), (), 0.5)
                self.assertEqual((table.others, table.freed), ({}, {}))

        apply_workspaces(table, (WorkspaceUse("chat", "team", -1),), ())
        self.assertEqual(table.workspaces, {})


if __name__ == "__main__":
    unittest.main()
