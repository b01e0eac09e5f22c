"""Which upstreams are avoided for what gateways met there."""

from __future__ import annotations

import unittest

from waxwingwell.routing.health import FIRST_PAUSE
from waxwingwell.routing.health import HealthTable
from waxwingwell.routing.health import add_met
from waxwingwell.routing.health import failure_share
from waxwingwell.routing.health import is_paused
from waxwingwell.routing.health import list_met
from waxwingwell.routing.health import note_answer
from waxwingwell.routing.health import note_unreachable
from waxwingwell.routing.health import take_met


def meet(failed: int = 0, good: int = 0, *, dark: bool = False) -> HealthTable:
    """Return the table of a gateway that met an upstream."""
    table = HealthTable()
    for place in range(failed + good):
        note_answer(table, "u1", 1.0, failed=place < failed)

    if dark:
        note_unreachable(table, "u1", 1.0)
        note_unreachable(table, "u1", 1.0)

    return table


def share(others: list[HealthTable], now: float = 1.2) -> HealthTable:
    """Return the table of a gateway that has met nothing and hears of the others."""
    table = HealthTable()
    take_met(table, add_met(one for other in others for one in list_met(other)), now)
    return table


class DoubtTest(unittest.TestCase):
    """Upstreams that others could not reach."""

    def test_a_quorum_pauses_an_upstream_for_all(self) -> None:
        """Guards against a stream lost at a dark upstream by each of many gateways.

        One gateway's doubt is not enough, nor are doubts beside good answers: those who
        doubt may be cut off themselves.
        """
        for name, others, expected in (
            ("nobody doubts", [meet(good=1)], False),
            ("one doubts, twice", [meet(dark=True)], False),
            ("two doubt", [meet(dark=True)] * 2, True),
            (
                "two doubt, others are served",
                [meet(dark=True)] * 2 + [meet(good=3)],
                False,
            ),
            ("two doubt, others fail", [meet(dark=True)] * 2 + [meet(failed=3)], True),
        ):
            with self.subTest(name):
                table = share(others)
                self.assertIs(is_paused(table, "u1", 1.3), expected)
                self.assertFalse(is_paused(table, "u1", 1.3 + FIRST_PAUSE))

    def test_doubts_are_forgotten(self) -> None:
        table = share([meet(dark=True)])
        take_met(table, list_met(meet(dark=True)), 4.0)
        self.assertFalse(is_paused(table, "u1", 4.1))


class FailureTest(unittest.TestCase):
    """Upstreams that fail part of their requests."""

    def test_a_few_observations_of_many_gateways_show_a_failing_upstream(self) -> None:
        """Guards against an upstream that no gateway meets often enough to notice."""
        others = [meet(failed=1), meet(good=1)] * 20
        self.assertGreater(failure_share(share(others), "u1", 1.2), 0.4)
        self.assertLess(failure_share(others[0], "u1", 1.2), 0.25)

    def test_failures_that_all_upstreams_have_say_nothing(self) -> None:
        """Guards against gateways that crowd on the upstream with the best luck."""
        others = [meet(failed=1), *[meet(good=1)] * 5] * 10
        self.assertEqual(failure_share(share(others), "u1", 1.2), 0.0)

    def test_one_gateway_that_fails_everywhere_says_little(self) -> None:
        others = [meet(failed=4)] + [meet(good=1)] * 60
        self.assertEqual(failure_share(share(others), "u1", 1.2), 0.0)

    def test_the_past_is_forgotten(self) -> None:
        table = share([meet(failed=1)] * 20)
        self.assertGreater(failure_share(table, "u1", 1.2), 0.5)
        self.assertLess(failure_share(table, "u1", 30.0), 0.1)


if __name__ == "__main__":
    unittest.main()
