"""Tests of the samples of engines' paces at a gateway."""

from __future__ import annotations

import math
import unittest

from waxwingwell.routing.engine_paces import MAX_KEYS
from waxwingwell.routing.engine_paces import MAX_SAMPLES
from waxwingwell.routing.engine_paces import MAX_WAIT_SECONDS
from waxwingwell.routing.engine_paces import PaceSampleTable
from waxwingwell.routing.engine_paces import StreamPace
from waxwingwell.routing.engine_paces import forget_reported
from waxwingwell.routing.engine_paces import list_paces
from waxwingwell.routing.engine_paces import record_events
from waxwingwell.routing.engine_paces import record_time
from waxwingwell.routing.messages import EnginePace


KEY = ("u1", 1, "m")


def report(table: PaceSampleTable, now: float) -> tuple[EnginePace, ...]:
    """Send a report, and return its paces."""
    paces = list_paces(table, now)
    forget_reported(table, paces, now)
    return paces


class SampleTest(unittest.TestCase):
    """Medians of the samples between two reports."""

    def test_medians(self) -> None:
        """Guards against stalls and lost packets that count as the engine's pace."""
        for name, pieces, expected in (
            ("no event", [], None),
            ("the first event, after the prefill", [(9.0, 1)], None),
            ("two samples", [(0.1, 1), (0.2, 1), (0.3, 1)], None),
            ("steady", [(0.1, 1), (0.2, 1), (0.3, 1), (0.4, 1)], (3, 100.0)),
            (
                "several events in a piece",
                [(0.1, 3), (0.5, 4), (0.7, 2), (0.8, 1)],
                (3, 100.0),
            ),
            ("a stall", [(0.1, 1), (0.2, 1), (0.9, 1), (1.0, 1)], (3, 100.0)),
            (
                "a piece without an event",
                [(0.1, 1), (0.2, 0), (0.3, 1), (0.4, 1), (0.5, 1)],
                (3, 100.0),
            ),
        ):
            with self.subTest(name):
                table = PaceSampleTable()
                stream = StreamPace(KEY)
                for at, events in pieces:
                    record_events(table, stream, events, at)

                found = [(one.count, one.ms) for one in report(table, 10.0)]
                self.assertEqual(found, [] if expected is None else [expected])

    def test_implausible_times(self) -> None:
        """Guards against clocks and calls that make a pace of nothing or for ever."""
        for seconds in (0.0, -1.0, 1e-6, 61.0, math.inf, math.nan):
            with self.subTest(seconds=seconds):
                table = PaceSampleTable()
                record_time(table, KEY, seconds, 0.0)
                self.assertEqual(table.samples, {})

    def test_reports_once_a_second_of_new_samples(self) -> None:
        """Guards against samples that are counted at two controls."""
        table = PaceSampleTable()
        counts = []
        for tick in range(1, 17):
            now = tick * 0.25
            record_time(table, KEY, 0.05, now)
            counts.append([one.count for one in report(table, now)])

        self.assertEqual(counts, [[], [], [], [4]] * 4)

    def test_a_report_that_is_not_sent(self) -> None:
        """Guards against samples that are lost while the link is down."""
        table = PaceSampleTable()
        for _ in range(3):
            record_time(table, KEY, 0.05, 0.0)

        list_paces(table, 1.0)
        self.assertEqual(report(table, 1.25), (EnginePace(*KEY, 3, 50.0),))

    def test_few_samples_wait(self) -> None:
        """Guards against a median of two, and against one of an engine's past."""
        table = PaceSampleTable()
        for now in (0.5, 1.5):
            record_time(table, KEY, 0.05, now)
            self.assertEqual(report(table, now + 0.5), ())

        record_time(table, KEY, 0.05, 2.5)
        self.assertEqual([one.count for one in report(table, 3.0)], [3])
        record_time(table, KEY, 0.05, 3.5)
        report(table, 3.6 + MAX_WAIT_SECONDS)
        self.assertEqual(table.samples, {})

    def test_bounds(self) -> None:
        """Guards against memory that grows with events, or with callers' models."""
        table = PaceSampleTable()
        for _ in range(MAX_SAMPLES + 10):
            record_time(table, KEY, 0.05, 0.0)

        for number in range(MAX_KEYS + 10):
            record_time(table, ("u1", 1, f"m{number}"), 0.05, 0.0)

        record_time(table, ("u1", 1, "m" * 1000), 0.05, 0.0)
        self.assertEqual(len(table.samples), MAX_KEYS)
        self.assertEqual([one.count for one in report(table, 1.0)], [MAX_SAMPLES])
