"""Tests of the limits that upstreams state in their responses."""

from __future__ import annotations

import math
import unittest

from waxwingwell.routing.limits import MAX_REST_SECONDS
from waxwingwell.routing.limits import MIN_LIFT_SECONDS
from waxwingwell.routing.limits import MIN_RATE
from waxwingwell.routing.limits import REJECTION_SECONDS
from waxwingwell.routing.limits import RESTARTED_SECONDS
from waxwingwell.routing.limits import SAME_NAMING_SECONDS
from waxwingwell.routing.limits import LimitTable
from waxwingwell.routing.limits import apply_states
from waxwingwell.routing.limits import drop_limits
from waxwingwell.routing.limits import find_rate
from waxwingwell.routing.limits import find_rest_seconds
from waxwingwell.routing.limits import list_states
from waxwingwell.routing.limits import record_rejection
from waxwingwell.routing.limits import record_rest
from waxwingwell.routing.limits import record_statement
from waxwingwell.routing.messages import LimitState


class RestTest(unittest.TestCase):
    """Rejections that ask for rest, all of upstream u1."""

    def test_the_rest_that_is_left(self) -> None:
        """Each rejection is incarnation, seconds of rest and time; asked for at 10."""
        for name, rejections, incarnation, left in (
            ("none", [], 1, 0.0),
            ("seconds", [(1, 3.0, 9.0)], 1, 2.0),
            ("fraction", [(1, 0.25, 9.9)], 1, 0.15),
            ("over", [(1, 3.0, 7.0)], 1, 0.0),
            ("shorter later", [(1, 3.0, 9.0), (1, 0.5, 9.5)], 1, 2.0),
            ("longer later", [(1, 0.5, 9.0), (1, 3.0, 9.5)], 1, 2.5),
            ("a day", [(1, 86_400.0, 10.0)], 1, MAX_REST_SECONDS),
            ("asked by a process not known yet", [(1, 3.0, 9.0)], 2, 2.0),
            ("restarted long ago", [(1, 900.0, 9.0 - RESTARTED_SECONDS)], 2, 0.0),
            ("late rejection of before", [(2, 3.0, 9.0), (1, 9.0, 9.5)], 2, 2.0),
            ("asked anew", [(1, 9.0, 9.0), (2, 3.0, 9.5)], 2, 2.5),
        ):
            with self.subTest(name):
                table = LimitTable()
                for one, seconds, at in rejections:
                    record_rest(table, "u1", one, seconds, at)

                found = find_rest_seconds(table, "u1", incarnation, 10.0)
                self.assertAlmostEqual(found, left)

    def test_rests_that_are_over_are_dropped(self) -> None:
        """Guards against a table that grows with each rejection."""
        table = LimitTable()
        record_rest(table, "u1", 1, 3.0, 0.0)
        drop_limits(table, {"u1"}, 2.0)
        self.assertEqual(set(table.rests), {"u1"})
        drop_limits(table, {"u1"}, 3.0)
        self.assertEqual(table.rests, {})


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
                if held is not None and held.lifted_at < math.inf:
                    held = None

                self.assertEqual(None if held is None else held.rate, rate)
                self.assertEqual(sum(changed), changes)

    def test_a_limit_ends_only_if_no_response_names_it_again(self) -> None:
        """Guards against a response out of order that frees an upstream in need."""
        table = LimitTable()
        record_statement(table, "u1", 1, 2.0, sent_at=0.0, now=1.0)
        record_statement(table, "u1", 1, None, sent_at=2.0, now=3.0)
        self.assertEqual(find_rate(table, "u1", 1, 3.0 + MIN_LIFT_SECONDS / 2), 2.0)
        self.assertIsNone(find_rate(table, "u1", 1, 3.0 + MIN_LIFT_SECONDS))
        record_statement(table, "u1", 1, 2.0, sent_at=2.5, now=3.5)
        self.assertEqual(find_rate(table, "u1", 1, 3.0 + MIN_LIFT_SECONDS), 2.0)

    def test_a_limit_of_nothing_still_lets_a_request_through(self) -> None:
        """Guards against a limit whose end no response can show."""
        table = LimitTable()
        record_statement(table, "u1", 1, 0.0, sent_at=0.0, now=1.0)
        self.assertEqual(find_rate(table, "u1", 1, 2.0), MIN_RATE)

    def test_a_rejection(self) -> None:
        """Each case is a named rate, the rate of a rejection, and what is in force."""
        for name, named, rejected, soon, later in (
            ("no limit named", None, 1.0, 1.0, None),
            ("a lower one named", 0.5, 1.0, 0.5, 0.5),
            ("a higher one named", 2.0, 1.0, 2.0, 2.0),
        ):
            with self.subTest(name):
                table = LimitTable()
                if named is not None:
                    record_statement(table, "u1", 1, named, sent_at=0.0, now=1.0)

                record_rejection(table, "u1", 1, rejected, 2.0)
                self.assertEqual(find_rate(table, "u1", 1, 3.0), soon)
                after = 2.0 + REJECTION_SECONDS
                self.assertEqual(find_rate(table, "u1", 1, after), later)

    def test_another_incarnation_has_no_limit(self) -> None:
        table = LimitTable()
        record_statement(table, "u1", 1, 2.0, sent_at=0.0, now=1.0)
        self.assertIsNone(find_rate(table, "u1", 2, 2.0))


class ExchangeTest(unittest.TestCase):
    """Limits that processes tell each other; each has a clock of its own."""

    def test_the_newest_naming_counts(self) -> None:
        """Each state is rate, age of its naming, and seconds until it ends."""
        for name, first, second, rate in (
            ("unknown", None, (2.0, 1.0, None), 2.0),
            ("newer", (2.0, 5.0, None), (3.0, 1.0, None), 3.0),
            ("older", (2.0, 1.0, None), (3.0, 5.0, None), 2.0),
            ("ended", (2.0, 1.0, None), (2.0, 1.01, -1.0), None),
            ("named after it ended", (2.0, 1.0, None), (2.0, 5.0, -1.0), 2.0),
            ("ends soon", (2.0, 1.0, None), (2.0, 1.0, 0.5), 2.0),
        ):
            with self.subTest(name):
                table = LimitTable()
                for one in (first, second):
                    if one is not None:
                        apply_states(table, [LimitState("u1", 1, *one)], 100.0)

                self.assertEqual(find_rate(table, "u1", 1, 100.0), rate)

    def test_a_limit_does_not_become_newer_by_being_passed_on(self) -> None:
        """Guards against a limit that two processes confirm to each other for ever."""
        tables = [LimitTable(), LimitTable()]
        record_statement(tables[0], "u1", 1, 2.0, sent_at=0.0, now=0.0)
        now = 0.0
        for step in range(200):
            states = list_states(tables[step % 2], now)
            now += 0.01
            apply_states(tables[(step + 1) % 2], states, now)

        for table in tables:
            self.assertLess(table.upstreams["u1"].named_at, SAME_NAMING_SECONDS)

    def test_old_limits_are_dropped(self) -> None:
        for name, state, known, kept in (
            ("in force", LimitState("u1", 1, 2.0, 90.0), True, True),
            ("of an upstream that left", LimitState("u1", 1, 2.0, 90.0), False, False),
            ("ended", LimitState("u1", 1, 2.0, 2.0, -1.0), True, True),
            ("ended long ago", LimitState("u1", 1, 2.0, 90.0, -60.0), True, False),
        ):
            with self.subTest(name):
                table = LimitTable()
                apply_states(table, [state], 100.0)
                drop_limits(table, {"u1"} if known else set(), 100.0)
                self.assertEqual("u1" in table.upstreams, kept)
