"""Tests of the refusal of requests by expected wait, and of the retry delays."""

from __future__ import annotations

import unittest

from waxwingwell.routing.admission import can_be_served
from waxwingwell.routing.admission import choose_retry_after


class AdmissionTest(unittest.TestCase):
    """Decisions by expected wait and remaining time, in seconds."""

    def test_admission(self) -> None:
        for wait, remaining, served in (
            (0.0, 1.0, True),
            (1.0, 1.0, True),
            (1.1, 1.0, False),
            (30.0, 25.0, False),
        ):
            with self.subTest(wait=wait, remaining=remaining):
                self.assertIs(can_be_served(wait, remaining), served)

    def test_retry_delays(self) -> None:
        for wait, remaining, pause in (
            (30.0, 25.0, 8.25),
            (0.1, 25.0, 0.2),
            (2.0, 9.0, 2.0),
        ):
            with self.subTest(wait=wait, remaining=remaining):
                self.assertAlmostEqual(choose_retry_after(wait, remaining), pause)
