"""Tests of the retry budget that all gateways share."""

from __future__ import annotations

import random
import unittest

from waxwingwell.routing.messages import ServiceRepeats
from waxwingwell.routing.retries import FAILURE_PART
from waxwingwell.routing.retries import OPTIONAL_PART
from waxwingwell.routing.retries import RetryLimits
from waxwingwell.routing.retries import RetryTable
from waxwingwell.routing.retries import apply_retry_totals
from waxwingwell.routing.retries import count_own
from waxwingwell.routing.retries import find_others
from waxwingwell.routing.retries import list_retries
from waxwingwell.routing.retries import may_retry
from waxwingwell.routing.retries import record_request
from waxwingwell.routing.retries import record_retry
from waxwingwell.routing.retries import sum_retries


LIMITS = RetryLimits(ratio=0.5, slack=40.0, window=10.0)


def make_table(requests: int, at: float = 0.0) -> RetryTable:
    """Return a table with requests of one service."""
    table = RetryTable()
    for _ in range(requests):
        record_request(table, "chat", at, LIMITS)

    return table


def apply_counts(
    table: RetryTable, others: tuple[int, int, float], now: float, shares: int = 99
) -> None:
    """Apply totals of other gateways' requests, retries and draws, and the own ones."""
    own = count_own(table, "chat", LIMITS, now)
    requests, repeats, drawn = others
    mine = ServiceRepeats("chat", requests, repeats, drawn, shares)
    apply_retry_totals(table, sum_retries((mine, own)), (own,), now)


def count_allowed(table: RetryTable, part: float, gateways: int, now: float) -> int:
    """Send retries until the budget refuses one; return their number."""
    count = 0
    while may_retry(table, "chat", LIMITS, part=part, gateways=gateways, now=now):
        record_retry(table, "chat", now, LIMITS)
        count += 1

    return count


class Gateways:
    """Gateways with nearly one request per second each, half of which need a retry."""

    LIMITS = RetryLimits(ratio=0.9, slack=430.0, window=10.0)
    LAG = 0.5

    def __init__(self, count: int, *, shared: bool) -> None:
        self.tables = [RetryTable() for _ in range(count)]
        self.shared = shared
        self.random = random.Random(1)
        self.peak_use = 0.0
        """Largest part of the budget used in any window."""

    def run(self, seconds: float) -> float:
        """Return the share of needed retries that were allowed."""
        allowed: list[bool] = []
        for step in range(int(seconds / self.LAG)):
            now = step * self.LAG
            self._exchange_totals(now)
            for table in self.tables:
                if self.random.random() < 0.85 * self.LAG:
                    allowed += self._handle_request(table, now)

        return sum(allowed) / len(allowed)

    def _handle_request(self, table: RetryTable, now: float) -> list[bool]:
        record_request(table, "chat", now, self.LIMITS)
        if self.random.random() < 0.5:
            return []

        allowed = may_retry(
            table, "chat", self.LIMITS, part=OPTIONAL_PART, gateways=195, now=now
        )
        if allowed:
            record_retry(table, "chat", now, self.LIMITS)

        return [allowed]

    def _exchange_totals(self, now: float) -> None:
        reports = [list_retries(one, self.LIMITS, now) for one in self.tables]
        total = sum_retries(part for report in reports for part in report)
        for one in total:
            budget = self.LIMITS.ratio * one.requests + self.LIMITS.slack
            self.peak_use = max(self.peak_use, one.repeats / budget)

        if self.shared:
            for table, report in zip(self.tables, reports, strict=True):
                apply_retry_totals(table, total, report, now)


class PartialTotalsTest(unittest.TestCase):
    """Totals that miss retries of processes that have ended."""

    def test_a_gateway_whose_earlier_retries_are_not_known(self) -> None:
        """Guards against a restart that opens the budget anew within its window."""
        for name, age, heard, is_partial, expected in (
            ("an old process", 10.0, 0.1, True, True),
            ("a new one, all counted", 1.0, 0.1, False, True),
            ("a new one, counts were lost", 1.0, 0.1, True, False),
            ("a new one without totals", 1.0, None, False, False),
            ("a new one that was told some time ago", 5.0, 4.0, False, True),
        ):
            with self.subTest(name):
                now = 100.0
                table = make_table(100, now)
                table.began_at = now - age
                if heard is not None:
                    at = now - heard
                    apply_retry_totals(table, (), (), at, is_partial=is_partial)

                allowed = may_retry(
                    table, "chat", LIMITS, part=FAILURE_PART, gateways=1, now=now
                )
                self.assertEqual(allowed, expected)
                is_chosen = may_retry(
                    table,
                    "chat",
                    LIMITS,
                    part=OPTIONAL_PART,
                    gateways=1,
                    now=now,
                    is_choice=True,
                )
                self.assertTrue(is_chosen)

    def test_retries_known_before_a_loss(self) -> None:
        """Guards against retries that are forgotten with the control that knew them."""
        before = ServiceRepeats("chat", 100, 80, 40.0, 1)
        after = ServiceRepeats("chat", 100, 10, 5.0, 1)
        for name, is_partial, now, expected in (
            ("before a loss", False, 1.0, 10),
            ("after a loss", True, 1.0, 80),
            ("after the window", True, 10.5, 10),
        ):
            with self.subTest(name):
                table = RetryTable()
                apply_retry_totals(table, (before,), (), 0.0)
                apply_retry_totals(table, (after,), (), now, is_partial=is_partial)
                found = find_others(table, "chat", LIMITS, now)
                self.assertEqual(found.repeats, expected)


class BudgetTest(unittest.TestCase):
    """Number of allowed retries."""

    def test_allowed_retries(self) -> None:
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

    def test_a_gateway_draws_on_the_remainder_of_the_others(self) -> None:
        """Guards against retries refused to one of many gateways with few requests.

        With stale totals each gateway uses its own allowance only.
        """
        for name, others, age, expected in (
            ("others use little", (1_000, 100, 0.0), 0.1, 4),
            ("others draw half", (1_000, 300, 120.0), 0.1, 3),
            ("others draw all", (1_000, 500, 250.0), 0.1, 2),
            ("others use all", (1_000, 600, 250.0), 0.1, 0),
            ("stale totals", (1_000, 100, 0.0), 2.0, 5),
        ):
            with self.subTest(name):
                table = make_table(10)
                apply_counts(table, others, 1.0 - age)
                self.assertEqual(count_allowed(table, 1.0, 100, 1.0), expected)

    def test_a_gateway_continues_to_draw_while_the_others_use_little(self) -> None:
        """Guards against a gateway limited to its own part while others need none.

        All gateways at once must not draw more than the remainder; one alone gets
        several times what its own requests and its share of the slack allow.
        """
        for name, drawn, least, most in (
            ("others draw nothing", 0.0, 16, 24),
            ("others draw all", 250.0, 2, 2),
        ):
            with self.subTest(name):
                table = make_table(10)
                allowed = 0
                for step in range(36):
                    now = 1.0 + step * 0.25
                    apply_counts(table, (1_000, 100, drawn), now)
                    allowed += count_allowed(table, 1.0, 100, now)

                self.assertGreaterEqual(allowed, least)
                self.assertLessEqual(allowed, most)

    def test_all_gateways_at_once_draw_the_remainder(self) -> None:
        """Guards against each gateway using up the remainder of the same totals."""
        for gateways in (6, 100, 1_000):
            with self.subTest(gateways):
                requests = 10 * (gateways - 1)
                shares = gateways - 1
                rng = random.Random(1)
                total = 0
                for _ in range(gateways):
                    table = make_table(0)
                    table.initial_credit = rng.random()
                    for _ in range(10):
                        record_request(table, "chat", 0.0, LIMITS)

                    apply_counts(table, (requests, 0, 0.0), 1.0, shares)
                    total += count_allowed(table, FAILURE_PART, gateways, 1.0)

                budget = LIMITS.ratio * 10 * gateways + LIMITS.slack
                self.assertLessEqual(total, budget)

    def test_a_gateway_that_starts_has_no_slack(self) -> None:
        """Guards against a share of the slack that is used again after a restart."""
        for age, expected in ((9.0, 0), (10.0, 4)):
            with self.subTest(age):
                table = make_table(0)
                table.began_at = 1.0 - age
                self.assertEqual(count_allowed(table, 1.0, 10, 1.0), expected)

    def test_requests_of_ended_gateways(self) -> None:
        """Guards against retries for requests whose own retries are not known."""
        for name, fields, expected in (
            ("all is known", {}, 40),
            ("a part of the window is not", {"is_partial": True}, 0),
        ):
            with self.subTest(name):
                table = RetryTable()
                total = ServiceRepeats("chat", 0, 10, 0.0, 0, 40)
                apply_retry_totals(table, (total,), (), 0.0, **fields)
                found = find_others(table, "chat", LIMITS, 1.0)
                self.assertEqual(found.former, expected)
                self.assertGreater(found.repeats, total.repeats)

    def test_invalid_limits(self) -> None:
        for name, fields in (
            ("ratio", {"ratio": -0.1}),
            ("slack", {"slack": -1.0}),
            ("window", {"window": 0.0}),
        ):
            with self.subTest(name), self.assertRaisesRegex(ValueError, name):
                RetryLimits(**fields)

    def test_hundreds_of_gateways_send_all_needed_retries(self) -> None:
        """Guards against escalations refused because a gateway's own part is small.

        195 gateways have nine requests each within the window, and half of the requests
        need a retry; totals are half a second old. All retries fit in the budget.
        """
        shares = {"own part": 0.0, "totals": 0.0}
        for name in shares:
            gateways = Gateways(195, shared=name == "totals")
            shares[name] = gateways.run(seconds=20.0)
            self.assertLessEqual(gateways.peak_use, 1.0)

        self.assertLess(shares["own part"], 0.95)
        self.assertGreater(shares["totals"], 0.99)

    def test_escalations_leave_budget_for_failures(self) -> None:
        """Guards against escalations that use up the whole budget.

        A busy gateway may escalate half of its requests. When an upstream then crashes,
        its streams must still be resumed elsewhere.
        """
        table = make_table(100)
        count_allowed(table, OPTIONAL_PART, 10, 1.0)
        self.assertGreaterEqual(count_allowed(table, FAILURE_PART, 10, 1.0), 15)
