"""A part of the drawn plays; the rest is run by hand."""

from __future__ import annotations

import unittest

from .acknowledged import run_play


SEEDS = (4, 7, 18, 21, 24, 59, 64, 73, 92, 182, 228, 282)


class AcknowledgedTest(unittest.TestCase):
    """Orders and outcomes that operators were told, when disks and power are lost."""

    def test_nothing_acknowledged_is_lost_or_older(self) -> None:
        """Guards against state that goes back at late orders or a power failure."""
        for seed in SEEDS:
            with self.subTest(seed=seed):
                self.assertEqual(run_play(seed), [])
