"""Tests of the fencing numbers tracked by an entry."""

from __future__ import annotations

import unittest
from unittest import mock

from waxwingwell.records import UpstreamId
from waxwingwell.state import fencing
from waxwingwell.state.fencing import FencingTable
from waxwingwell.state.fencing import accept_order


ENGINE = UpstreamId("engine")


class FencingTest(unittest.TestCase):
    def test_old_leader_is_refused(self) -> None:
        """A replaced leader must not load a withdrawn version again.

        The leader of term 3 freezes, the leader of term 4 sends orders, then the old
        one resumes and sends its own. The engine ignores fencing numbers.
        """
        table = FencingTable()
        fencing_numbers = (3, 4, 3, 4, 5, 4)
        accepted = [accept_order(table, ENGINE, number) for number in fencing_numbers]
        self.assertEqual(accepted, [True, True, False, True, True, False])
        self.assertTrue(accept_order(table, UpstreamId("other"), 1))

    def test_forgotten_upstream_keeps_the_highest_number(self) -> None:
        table = FencingTable()
        with mock.patch.object(fencing, "MAX_UPSTREAMS", 2):
            accept_order(table, ENGINE, 9)
            for name in ("a", "b", "c"):
                accept_order(table, UpstreamId(name), 9)

            self.assertEqual(len(table.highest), 2)
            self.assertFalse(accept_order(table, ENGINE, 8))
            self.assertTrue(accept_order(table, ENGINE, 9))
