"""Cascades: the threshold meets the target at the lowest expected cost."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from waxwingwell.decisions.cascades import CascadeOption
from waxwingwell.decisions.cascades import find_threshold
from waxwingwell.decisions.quality import Estimate


def find(
    cheap: float, strong: float, target: float, price: float = 0.5
) -> CascadeOption | None:
    return find_threshold(
        Estimate(cheap, 0.01, 0.15, 100.0),
        strong,
        cheap_cost=1.0,
        strong_cost=20.0,
        rating_price=price,
        target=target,
    )


class TestThreshold(unittest.TestCase):
    def test_cases(self) -> None:
        cases = (
            ("cheap meets it alone", 0.9, 0.95, 0.8, 1.5, 1.6),
            ("half escalates", 0.7, 0.9, 0.85, 1.6, 21.5),
            ("only the strong one does", 0.1, 0.9, 0.89, 18.0, 21.5),
        )
        for name, cheap, strong, target, least, most in cases:
            with self.subTest(name):
                option = find(cheap, strong, target)
                assert option is not None
                self.assertTrue(least <= option.cost <= most, option)

    def test_unreachable_target(self) -> None:
        self.assertIsNone(find(0.3, 0.6, 0.9))

    @settings(max_examples=100)
    @given(st.floats(0.05, 0.95), st.floats(0.05, 0.95), st.floats(0.1, 0.95))
    def test_target_is_met_and_cost_rises_with_it(
        self, cheap: float, strong: float, target: float
    ) -> None:
        option = find(cheap, strong, target)
        if option is None:
            return

        self.assertGreaterEqual(option.quality, target)
        self.assertTrue(1.5 <= option.cost <= 21.5)
        easier = find(cheap, strong, target - 0.05)
        assert easier is not None
        self.assertLessEqual(easier.cost, option.cost)
        dearer = find(cheap, strong, target, price=0.9)
        assert dearer is not None
        self.assertGreater(dearer.cost, option.cost)
