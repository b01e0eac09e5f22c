"""Tests of the limits that upstreams state in their responses."""

from __future__ import annotations

import unittest

from waxwingwell.routing.limits import LimitTable
from waxwingwell.routing.limits import record_statement


class StatementTest(unittest.TestCase):
    """Responses that name a limit, and responses that name none."""

    def test_the_known_limit(self) -> None:
        """Each statement is incarnation, rate, time of sending and of arrival."""
        for name, statements, rate, changes in (
            ("none", [(1, None, 0, 1)], None, 0),
            ("named", [(1, 2.0, 0, 1)], 2.0, 1),
            ("named again", [(1, 2.0, 0, 1), (1, 2.0, 2, 3)], 2.0, 1),
            ("ended", [(1, 2.0, 0, 1), (1, None, 2, 3)], None, 2),
            ("overtaken by its naming", [(1, 2.0, 0, 2), (1, None, 1, 3)], 2.0, 1),
            ("lower", [(1, 2.0, 0, 2), (1, 1.0, 1, 3)], 1.0, 2),
            ("higher", [(1, 2.0, 0, 2), (1, 3.0, 2.5, 3)], 3.0, 2),
            ("higher and overtaken", [(1, 2.0, 0, 2), (1, 3.0, 1, 3)], 2.0, 1),
            ("named anew", [(1, 2.0, 0, 1), (1, None, 2, 3), (1, 2, 4, 5)], 2.0, 3),
            ("restarted", [(1, 2.0, 0, 1), (2, None, 2, 3)], None, 2),
            ("late answer of before", [(2, 2.0, 2, 3), (1, None, 4, 5)], 2.0, 1),
        ):
            with self.subTest(name):
                table = LimitTable()
                changed = [
                    record_statement(table, "u1", one, limit, sent_at=sent, now=at)
                    for one, limit, sent, at in statements
                ]
                held = table.upstreams.get("u1")
                if held is not None and held.cleared_at > held.named_at:
                    held = None

                self.assertEqual(None if held is None else held.rate, rate)
                self.assertEqual(sum(changed), changes)
