"""Refusing what can't be served, and when its caller may come back."""

from __future__ import annotations

import unittest

from waxwingwell.routing.admission import can_be_served
from waxwingwell.routing.admission import choose_pause


class AdmissionTest(unittest.TestCase):
    """Waits and times left, in seconds."""

    def test_admission(self) -> None:
        for wait, remaining, served in (
            (0.0, 1.0, True),
            (1.0, 1.0, True),
            (1.1, 1.0, False),
            (30.0, 25.0, False),
        ):
            with self.subTest(wait=wait, remaining=remaining):
                self.assertIs(can_be_served(wait, remaining), served)

    def test_pauses(self) -> None:
        for wait, remaining, pause in (
            (30.0, 25.0, 8.25),
            (0.1, 25.0, 0.2),
            (2.0, 9.0, 2.0),
        ):
            with self.subTest(wait=wait, remaining=remaining):
                self.assertAlmostEqual(choose_pause(wait, remaining), pause)
