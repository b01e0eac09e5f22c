"""When engines' streams that are silent together show that an engine is dark."""

from __future__ import annotations

import unittest

from waxwingwell.routing.rhythm import LEAST_EVENTS
from waxwingwell.routing.rhythm import RhythmTable
from waxwingwell.routing.rhythm import begin_stream
from waxwingwell.routing.rhythm import end_stream
from waxwingwell.routing.rhythm import find_gap
from waxwingwell.routing.rhythm import forget_engines
from waxwingwell.routing.rhythm import note_event
from waxwingwell.routing.silence import silence_limit


def play(streams: int, events: int, gap: float) -> tuple[RhythmTable, float]:
    """Return what is known of an engine with even gaps between events, and the time."""
    table = RhythmTable()
    now = 10.0
    for _ in range(streams):
        begin_stream(table, "u1", now)

    for _ in range(events):
        now += gap
        note_event(table, "u1", now)

    return table, now


class RhythmTest(unittest.TestCase):
    """What the events of an engine tell."""

    def test_how_much_must_be_known(self) -> None:
        for name, streams, events, known in (
            ("two streams", 2, LEAST_EVENTS, True),
            ("one stream, whose packet may be lost", 1, 200, False),
            ("few events", 5, LEAST_EVENTS - 1, False),
        ):
            with self.subTest(name):
                table, _ = play(streams, events, 0.03)
                self.assertEqual(find_gap(table, "u1") is not None, known)

    def test_a_long_gap_is_remembered_for_a_while(self) -> None:
        """An engine reads a long prompt now and then; its streams wait each time."""
        table, now = play(2, LEAST_EVENTS, 0.03)
        note_event(table, "u1", now + 0.7)
        self.assertAlmostEqual(find_gap(table, "u1") or 0.0, 0.7)
        for step in range(100):
            note_event(table, "u1", now + 0.7 + (step + 1) * 0.03)

        self.assertGreater(find_gap(table, "u1") or 0.0, 0.4)
        for step in range(2_000):
            note_event(table, "u1", now + 3.7 + (step + 1) * 0.03)

        self.assertLess(find_gap(table, "u1") or 1.0, 0.05)

    def test_a_long_gap_of_one_engine_is_allowed_to_the_others(self) -> None:
        """A long prompt reaches an engine whose gaps were short until then."""
        table, now = play(2, LEAST_EVENTS, 0.03)
        begin_stream(table, "u2", now)
        note_event(table, "u2", now + 0.9)
        self.assertAlmostEqual(find_gap(table, "u1") or 0.0, 0.9)

    def test_time_without_streams_is_no_gap(self) -> None:
        table, now = play(2, LEAST_EVENTS, 0.03)
        for _ in range(2):
            end_stream(table, "u1")

        for _ in range(2):
            begin_stream(table, "u1", now + 60.0)

        note_event(table, "u1", now + 60.03)
        self.assertLess(find_gap(table, "u1") or 1.0, 0.05)

    def test_streams_given_up_were_witnesses_too(self) -> None:
        """The first of two silent streams is moved; the second waited on alone."""
        table, _ = play(2, LEAST_EVENTS, 0.03)
        end_stream(table, "u1")
        self.assertIsNotNone(find_gap(table, "u1"))

    def test_engines_that_are_gone_are_forgotten(self) -> None:
        table, _ = play(1, 1, 0.03)
        forget_engines(table, ())
        self.assertIn("u1", table.engines)
        end_stream(table, "u1")
        forget_engines(table, ("u1",))
        self.assertIn("u1", table.engines)
        forget_engines(table, ())
        self.assertEqual(table.engines, {})

    def test_limits(self) -> None:
        for name, started, gap, low, high in (
            ("even events", True, 0.03, 0.3, 0.5),
            ("long prompts now and then", True, 0.6, 0.8, 1.0),
            ("very long ones", True, 1.3, 1.4, 1.6),
            ("nothing known", True, None, 1.4, 1.6),
            ("not begun beside silent streams", False, 0.03, 0.3, 0.5),
            ("not begun, nothing known", False, None, 3.9, 4.1),
        ):
            with self.subTest(name):
                limit = silence_limit(started=started, expected=1.0, longest_gap=gap)
                self.assertTrue(low < limit < high, limit)


if __name__ == "__main__":
    unittest.main()
