"""The budget of repeats that all gateways share."""

from __future__ import annotations

import unittest

from waxwingwell.routing.retries import CHOICE_PART
from waxwingwell.routing.retries import FAILURE_PART
from waxwingwell.routing.retries import RetryLimits
from waxwingwell.routing.retries import RetryTable
from waxwingwell.routing.retries import may_repeat
from waxwingwell.routing.retries import note_repeat
from waxwingwell.routing.retries import note_request


LIMITS = RetryLimits(ratio=0.5, slack=40.0, window=10.0)


def make_table(requests: int, at: float = 0.0) -> RetryTable:
    """Return a table with requests of one service."""
    table = RetryTable()
    for _ in range(requests):
        note_request(table, "chat", at, LIMITS)

    return table


def count_allowed(table: RetryTable, part: float, gateways: int, now: float) -> int:
    """Repeat until the budget says no; return how often."""
    count = 0
    while may_repeat(table, "chat", LIMITS, part=part, gateways=gateways, now=now):
        note_repeat(table, "chat", now, LIMITS)
        count += 1

    return count


class BudgetTest(unittest.TestCase):
    """How many repeats are allowed."""

    def test_allowed_repeats(self) -> None:
        for requests, gateways, now, part, expected in (
            (100, 10, 1.0, 1.0, 54),
            (100, 10, 1.0, 0.5, 27),
            (0, 10, 1.0, 1.0, 4),
            (100, 1, 1.0, 1.0, 90),
            (100, 10, 11.0, 1.0, 4),
        ):
            with self.subTest(requests=requests, gateways=gateways, now=now):
                table = make_table(requests)
                self.assertEqual(count_allowed(table, part, gateways, now), expected)

    def test_all_gateways_together_keep_the_budget(self) -> None:
        gateways = 9
        total = sum(
            count_allowed(make_table(20), FAILURE_PART, gateways, 1.0)
            for _ in range(gateways)
        )
        self.assertLessEqual(total, LIMITS.ratio * 20 * gateways + LIMITS.slack)

    def test_larger_models_leave_room_for_failures(self) -> None:
        """A busy gateway asks a larger model for each second request.

        Then an upstream crashes, and its streams must go on elsewhere. The budget must
        not have been used up by our own choice.
        """
        table = make_table(100)
        count_allowed(table, CHOICE_PART, 10, 1.0)
        self.assertGreaterEqual(count_allowed(table, FAILURE_PART, 10, 1.0), 15)
