"""Tests of the assignment of engines to pools."""

from __future__ import annotations

import unittest

from waxwingwell.routing.models import find_pool
from waxwingwell.routing.pools import Pool
from waxwingwell.routing.pools import list_pool

from .factories import make_route


def make_names(count: int) -> list[str]:
    """Return the ids of a number of engines."""
    return [f"engine-{number}" for number in range(count)]


class PoolTest(unittest.TestCase):
    """Pools of the smallest model and of larger ones."""

    def test_sizes(self) -> None:
        for engines, small, large in (
            (1, 1, 1),
            (2, 1, 1),
            (3, 1, 2),
            (6, 2, 4),
            (9, 3, 6),
            (45, 14, 31),
        ):
            with self.subTest(engines=engines):
                names = make_names(engines)
                self.assertEqual(len(list_pool(names, Pool.SMALL)), small)
                self.assertEqual(len(list_pool(names, Pool.LARGE)), large)
                self.assertEqual(len(list_pool(names, Pool.ANY)), engines)

    def test_pools_are_disjoint_and_cover_all_engines(self) -> None:
        names = make_names(9)
        small, large = list_pool(names, Pool.SMALL), list_pool(names, Pool.LARGE)
        self.assertEqual(small | large, set(names))
        self.assertFalse(small & large)

    def test_gateways_agree_whatever_the_order(self) -> None:
        names = make_names(9)
        found = list_pool(names[::-1], Pool.SMALL)
        self.assertEqual(list_pool(names, Pool.SMALL), found)

    def test_an_engine_that_leaves_moves_at_most_one_other(self) -> None:
        names = make_names(9)
        before = list_pool(names, Pool.SMALL)
        for gone in names:
            with self.subTest(gone=gone):
                rest = [name for name in names if name != gone]
                after = list_pool(rest, Pool.SMALL)
                self.assertLessEqual(len((before ^ after) - {gone}), 1)

    def test_pool_of_a_model(self) -> None:
        sized = make_route(models=("small", "middle", "large"))
        for name, route, wanted, model, expected in (
            ("smallest", sized, "*", "small", Pool.SMALL),
            ("largest", sized, "*", "large", Pool.LARGE),
            ("named by the caller", sized, "small", "", Pool.ANY),
            ("one model", make_route(models=("only",)), "*", "only", Pool.ANY),
            ("no models", make_route(), "", "", Pool.ANY),
        ):
            with self.subTest(name):
                self.assertIs(find_pool(route, wanted, model), expected)


if __name__ == "__main__":
    unittest.main()
