"""Retry budget and retry safety."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from waxwingwell.decisions.retries import RETRY_FLOOR
from waxwingwell.decisions.retries import RETRY_SHARE
from waxwingwell.decisions.retries import DispatchState
from waxwingwell.decisions.retries import RetryBudget
from waxwingwell.decisions.retries import is_retry_safe
from waxwingwell.decisions.retries import may_retry
from waxwingwell.decisions.retries import record_request


class TestRetries(unittest.TestCase):
    def test_retries_only_what_is_safe(self) -> None:
        cases = {
            (False, DispatchState.NOT_SENT): True,
            (False, DispatchState.REFUSED): True,
            (False, DispatchState.SENT): False,
            (False, DispatchState.RESPONDING): False,
            (True, DispatchState.NOT_SENT): True,
            (True, DispatchState.REFUSED): True,
            (True, DispatchState.SENT): True,
            (True, DispatchState.RESPONDING): False,
        }
        for (repeatable, state), safe in cases.items():
            with self.subTest(repeatable=repeatable, state=state):
                self.assertEqual(is_retry_safe(repeatable, state), safe)

    def test_retry_storm_stays_within_the_budget(self) -> None:
        """Every attempt fails, and each failure asks for a retry.

        With three retries per request instead of a budget, the load would be fourfold
        just when the upstreams are down.
        """
        budget = RetryBudget()
        granted = 0
        for number in range(1000):
            now = number / 100
            record_request(budget, now)
            granted += sum(may_retry(budget, now) for _ in range(3))

        self.assertLessEqual(granted, 3 * RETRY_FLOOR + RETRY_SHARE * 1000)
        self.assertGreater(granted, 30)

    @given(
        st.lists(
            st.tuples(st.booleans(), st.floats(0.0, 30.0)), min_size=1, max_size=200
        )
    )
    def test_budget_is_bounded(self, events: list[tuple[bool, float]]) -> None:
        budget = RetryBudget()
        now = 0.0
        for is_request, pause in events:
            now += pause
            if is_request:
                record_request(budget, now)
            else:
                may_retry(budget, now)

            bound = RETRY_FLOOR + RETRY_SHARE * len(events)
            self.assertLessEqual(budget.retries, bound + 1e-9)
