"""Tests of the evidence on versions that is collected from gateways."""

from __future__ import annotations

import unittest
from typing import Any

from waxwingwell.routing.messages import VersionEvidence
from waxwingwell.routing.outcomes import BUCKETS
from waxwingwell.routing.outcomes import Outcomes
from waxwingwell.routing.outcomes import unpack_histogram
from waxwingwell.routing.pace_loads import CELLS
from waxwingwell.routing.version_evidence import WAITING_TTL_SECONDS
from waxwingwell.routing.version_evidence import EvidenceTable
from waxwingwell.routing.version_evidence import record_counters
from waxwingwell.routing.version_evidence import split_evidence


FIRST, SECOND = 1, 2
"""Processes of a gateway."""


def make_part(answers: int, failures: int = 0, **fields: Any) -> VersionEvidence:
    """Return a gateway's counters of one kind of requests, to the target by default."""
    known = {"service": "chat", "version": "v2", "kind": "r1", "sent": answers}
    return VersionEvidence(**{**known, **fields}, answers=answers, failures=failures)


class CounterTest(unittest.TestCase):
    """Totals over gateways and their restarts."""

    def test_restarted_counters_count_in_full(self) -> None:
        """Guards against evidence that is lost when a gateway restarts."""
        for name, reports, expected in (
            ("they continue", ((FIRST, 3, 3), (FIRST, 5, 4)), (5, 4)),
            ("they are lower", ((FIRST, 3, 3), (SECOND, 1, 1)), (4, 4)),
            ("they are higher", ((FIRST, 3, 3), (SECOND, 5, 5)), (8, 8)),
            ("they were missing", ((FIRST, 3, 3), None, (SECOND, 5, 5)), (8, 8)),
        ):
            with self.subTest(name):
                table = EvidenceTable()
                for report in reports:
                    run, parts = SECOND, []
                    if report is not None:
                        run, parts = report[0], [make_part(*report[1:])]

                    record_counters(table, "g1", run, parts, 0.0)

                target, former = split_evidence(table, "v2", 0.0)
                self.assertEqual(
                    (target["r1"].answers, target["r1"].failures), expected
                )
                self.assertEqual(former, {})

    def test_reports_that_come_twice_or_late(self) -> None:
        """Guards against requests counted twice after a change of control."""
        for name, reports in (
            ("twice", ((FIRST, 3, 1), (FIRST, 6, 2), (FIRST, 6, 2))),
            ("late", ((FIRST, 6, 2), (FIRST, 3, 1))),
            ("late, then again", ((FIRST, 6, 2), (FIRST, 3, 1), (FIRST, 6, 2))),
            ("of an ended process", ((FIRST, 4, 1), (SECOND, 2, 1), (FIRST, 4, 1))),
        ):
            with self.subTest(name):
                table = EvidenceTable()
                for run, answers, failures in reports:
                    part = make_part(answers, failures, first_bytes=((9, answers),))
                    record_counters(table, "g1", run, [part], 0.0)

                target, _ = split_evidence(table, "v2", 0.0)
                expected = Outcomes(
                    sent=6,
                    answers=6,
                    failures=2,
                    first_bytes=unpack_histogram({9: 6}),
                )
                self.assertEqual(target, {"r1": expected})

    def test_versions_and_kinds_are_counted_apart(self) -> None:
        """Guards against the failures of one route that drown in another's successes.

        All versions but the target are compared with it together.
        """
        table = EvidenceTable()
        for gateway in ("g1", "g2"):
            parts = [
                make_part(5, 4, kind="r1"),
                make_part(50, 0, kind="r2"),
                make_part(7, 1, version="v1", breaks=2, crashes=1),
                make_part(
                    8,
                    1,
                    version="v0",
                    durations=((3, 7), (BUCKETS, 1)),
                    abandoned=((5, 1),),
                ),
            ]
            record_counters(table, gateway, FIRST, parts, 0.0)

        target, former = split_evidence(table, "v2", 0.0)
        self.assertEqual(
            target,
            {
                "r1": Outcomes(sent=10, answers=10, failures=8),
                "r2": Outcomes(sent=100, answers=100),
            },
        )
        expected = Outcomes(
            sent=30,
            answers=30,
            failures=4,
            breaks=4,
            crashes=2,
            durations=unpack_histogram({3: 14}),
            abandoned=unpack_histogram({5: 2}),
        )
        self.assertEqual(former, {"r1": expected})

    def test_streams_by_load_add_up_over_gateways(self) -> None:
        """Guards against a slow version whose load is lost on the way to a decision."""
        paces = ((20, 2),)
        loaded = ((4 * BUCKETS + 20, 2), (-1, 1), (CELLS, 1))
        fields: dict[str, Any] = {
            "paces": paces,
            "pacing": paces,
            "loaded_paces": loaded,
            "loaded_pacing": loaded,
        }
        for name, version in (("target", "v2"), ("former", "v1"), ("older", "v0")):
            with self.subTest(name):
                table = EvidenceTable()
                for gateway in ("g1", "g2"):
                    part = make_part(2, version=version, **fields)
                    for _ in range(2):
                        record_counters(table, gateway, FIRST, [part], 0.0)

                target, former = split_evidence(table, "v2", 0.0)
                [found] = [*target.values(), *former.values()]
                expected = ((4 * BUCKETS + 20, 4),)
                self.assertEqual(found.loaded_paces, expected)
                self.assertEqual(found.loaded_pacing, expected)
                self.assertEqual((sum(found.paces), sum(found.pacing)), (4, 4))


class WaitingTest(unittest.TestCase):
    """Requests that wait for their first byte."""

    def test_the_latest_report_of_each_gateway_counts(self) -> None:
        """Guards against requests that seem to wait though they have ended."""
        later = WAITING_TTL_SECONDS + 0.1
        waits = ((20, 2),)
        for name, reports, at, expected in (
            ("two gateways", (("g1", waits, 0.0), ("g2", waits, 0.0)), 0.0, 4),
            ("told again", (("g1", waits, 0.0), ("g1", waits, 0.5)), 0.5, 2),
            ("ended", (("g1", waits, 0.0), ("g1", (), 0.5)), 0.5, 0),
            ("not told any more", (("g1", waits, 0.0),), later, 0),
            ("told late", (("g1", (), 0.5), ("g1", waits, 0.0)), later, 0),
            ("unchanged", (("g1", waits, 0.0), ("g1", waits, later)), later, 2),
        ):
            with self.subTest(name):
                table = EvidenceTable()
                for gateway, times, received_at in reports:
                    part = make_part(0, sent=2, waiting=times)
                    record_counters(table, gateway, FIRST, [part], received_at)

                target, _ = split_evidence(table, "v2", at)
                found = target["r1"]
                self.assertEqual(sum(found.waiting), expected)
                self.assertEqual(found.sent, 2 * len({one[0] for one in reports}))


if __name__ == "__main__":
    unittest.main()
