"""Tests of the invariant checks."""

from __future__ import annotations

import unittest

from waxwingwell.invariants import BREACHES
from waxwingwell.invariants import BreachError
from waxwingwell.invariants import Invariant
from waxwingwell.invariants import check
from waxwingwell.invariants import count_breaches


class InvariantsTest(unittest.TestCase):
    def setUp(self) -> None:
        counts = BREACHES.counts.copy()
        raising = BREACHES.raise_on_breach
        self.addCleanup(setattr, BREACHES, "counts", counts)
        self.addCleanup(setattr, BREACHES, "raise_on_breach", raising)

    def test_ten_invariants(self) -> None:
        self.assertEqual(len(Invariant), 10)

    def test_breach_is_counted_and_raised_where_asked(self) -> None:
        before = count_breaches()
        BREACHES.raise_on_breach = False
        self.assertTrue(check(Invariant.BILLED_ONCE, True, "fine"))
        self.assertEqual(count_breaches(), before)
        self.assertFalse(check(Invariant.BILLED_ONCE, False, lambda: "row 3"))
        self.assertEqual(count_breaches(), before + 1)
        BREACHES.raise_on_breach = True
        with self.assertRaises(BreachError) as caught:
            check(Invariant.AT_MOST_ONCE, False, "twice")

        self.assertIs(caught.exception.invariant, Invariant.AT_MOST_ONCE)
        self.assertIn("twice", str(caught.exception))
