"""Tests of session pins."""

from __future__ import annotations

from unittest import mock

from waxwingwell.invariants import BreachError
from waxwingwell.messages import Pinned
from waxwingwell.messages import Rejected
from waxwingwell.records import VersionId
from waxwingwell.state import pins
from waxwingwell.state.machine import apply_command
from waxwingwell.state.pins import check_pinned

from .commands import DEMO
from .commands import NEW
from .commands import OLD
from .commands import StateTestCase
from .commands import make_state
from .commands import pin
from .commands import withdraw


class PinsTest(StateTestCase):
    def test_pin_after_withdrawal(self) -> None:
        """A new session must not start on a version that was just withdrawn.

        An entry chooses the version by an outdated configuration, so that the pin comes
        after the withdrawal in the log and must be checked against the configuration.
        """
        for graceful in (True, False):
            with self.subTest(graceful=graceful):
                state = make_state()
                apply_command(state, pin("early", NEW))
                apply_command(state, withdraw("w", 1, NEW, graceful=graceful))
                late = apply_command(state, pin("late", NEW))
                assert isinstance(late, Rejected)
                self.assertEqual(late.findings[0].place, "version")
                kept = apply_command(state, pin("early", OLD))
                self.assertEqual(kept, Pinned(version=NEW))

    def test_findings(self) -> None:
        state = make_state()
        outcome = apply_command(state, pin("", VersionId("owl@1")))
        assert isinstance(outcome, Rejected)
        places = [finding.place for finding in outcome.findings]
        self.assertEqual(places, ["session", "version", "version"])

    def test_table_at_capacity_rejects_new_sessions_only(self) -> None:
        state = make_state()
        with mock.patch.object(pins, "MAX_PINS", 1):
            apply_command(state, pin("a", OLD))
            self.assertIsInstance(apply_command(state, pin("b", OLD)), Rejected)
            self.assertIsInstance(apply_command(state, pin("a", OLD)), Pinned)

    def test_unused_pins_are_dropped(self) -> None:
        state = make_state()
        with mock.patch.object(pins, "MAX_CLOCK_STEP", 1e9):
            apply_command(state, pin("old", OLD, at=1.0))
            apply_command(state, pin("used", OLD, at=2.0))
            apply_command(state, pin("used", OLD, at=pins.PIN_RETENTION))
            apply_command(state, pin("new", OLD, at=pins.PIN_RETENTION + 1.0))

        sessions = [session for _, session in state.pins.pins]
        self.assertEqual(sessions, ["used", "new"])
        self.assertEqual(state.pins.pins[(DEMO, "used")].used_at, pins.PIN_RETENTION)

    def test_check_at_dispatch(self) -> None:
        self.assertTrue(check_pinned(OLD, OLD, "s"))
        self.assertTrue(check_pinned(VersionId(""), OLD, "s"))
        with self.assertRaises(BreachError):
            check_pinned(OLD, NEW, "s")
