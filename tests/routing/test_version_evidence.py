"""Tests of the evidence on versions that is collected from gateways."""

from __future__ import annotations

import unittest

from waxwingwell.routing.messages import VersionEvidence
from waxwingwell.routing.version_evidence import Evidence
from waxwingwell.routing.version_evidence import EvidenceTable
from waxwingwell.routing.version_evidence import add_evidence
from waxwingwell.routing.version_evidence import record_counters
from waxwingwell.routing.version_evidence import split_evidence
from waxwingwell.routing.version_evidence import subtract_evidence


def make_part(answers: int, failures: int) -> VersionEvidence:
    """Return a gateway's counters of the target version."""
    return VersionEvidence(
        service="chat", version="v2", answers=answers, failures=failures, seconds=1.0
    )


class EvidenceTest(unittest.TestCase):
    """Totals over gateways and their restarts."""

    def test_evidence_counts_from_the_order(self) -> None:
        part = VersionEvidence(
            service="chat", version="v1", answers=12, failures=3, seconds=5.0
        )
        total = add_evidence([part, part])
        self.assertEqual(total, Evidence(24, 6, 10.0))
        self.assertEqual(
            subtract_evidence(total, Evidence(20, 6, 8.0)), Evidence(4, 0, 2.0)
        )
        restarted = Evidence(2, 1, 0.5)
        self.assertEqual(subtract_evidence(restarted, total), restarted)

    def test_restarted_counters_count_in_full(self) -> None:
        """Guards against evidence that is lost when a gateway restarts."""
        for name, reports, expected in (
            ("they continue", ((3, 3), (5, 4)), (5, 4)),
            ("they are lower", ((3, 3), (1, 1)), (4, 4)),
            ("they were missing", ((3, 3), None, (5, 5)), (8, 8)),
        ):
            with self.subTest(name):
                table = EvidenceTable()
                for report in reports:
                    parts = [make_part(*report)] if report else []
                    record_counters(table, "g1", parts)

                target, former = split_evidence(table, "v2")
                self.assertEqual((target.answers, target.failures), expected)
                self.assertEqual(former, Evidence())


if __name__ == "__main__":
    unittest.main()
