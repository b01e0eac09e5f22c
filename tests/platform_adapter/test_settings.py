"""Settings of the platform that can't be."""

from __future__ import annotations

import unittest

from waxwingwell_platform.settings import read_retries


class RetriesTest(unittest.TestCase):
    """The budget of repeats."""

    def test_bounds_that_cannot_be(self) -> None:
        """Guards against a budget that allows no repeat, or any number, unnoticed."""
        for field, value, said in (
            ("retry_budget_ratio", -0.1, "bounds: retries.ratio is -0.1"),
            ("budget_slack", -1, "bounds: retries.slack is -1"),
            ("retry_window_s", 0, "bounds: retries.window is 0"),
        ):
            with self.subTest(field), self.assertRaisesRegex(ValueError, said):
                read_retries({field: value})

    def test_bounds(self) -> None:
        fields = {"retry_budget_ratio": 0, "budget_slack": 0, "retry_window_s": 5}
        limits = read_retries(fields)
        self.assertEqual((limits.ratio, limits.slack, limits.window), (0, 0, 5))


if __name__ == "__main__":
    unittest.main()
