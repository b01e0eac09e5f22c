"""Tests of invalid settings of the platform."""

from __future__ import annotations

import unittest

from waxwingwell_platform.settings import read_retries


class RetriesTest(unittest.TestCase):
    """The retry budget."""

    def test_invalid_bounds(self) -> None:
        """Bounds that allow no retry, or any number, must not pass unnoticed."""
        for field, value, message in (
            ("retry_budget_ratio", -0.1, "bounds: retries.ratio is -0.1"),
            ("budget_slack", -1, "bounds: retries.slack is -1"),
            ("retry_window_s", 0, "bounds: retries.window is 0"),
        ):
            with self.subTest(field), self.assertRaisesRegex(ValueError, message):
                read_retries({field: value})

    def test_bounds(self) -> None:
        fields = {"retry_budget_ratio": 0, "budget_slack": 0, "retry_window_s": 5}
        limits = read_retries(fields)
        self.assertEqual((limits.ratio, limits.slack, limits.window), (0, 0, 5))


if __name__ == "__main__":
    unittest.main()
