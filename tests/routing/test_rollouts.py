"""Tests of roll-outs: their steps, their evidence, and the versions of sessions."""

from __future__ import annotations

import unittest

from waxwingwell.routing.fleet import FleetTable
from waxwingwell.routing.fleet import apply_announcement
from waxwingwell.routing.messages import VersionEvidence
from waxwingwell.routing.rollouts import awaits_warm_up
from waxwingwell.routing.rollouts import step_rollout
from waxwingwell.routing.version_evidence import Evidence
from waxwingwell.routing.version_evidence import EvidenceTable
from waxwingwell.routing.version_evidence import add_evidence
from waxwingwell.routing.version_evidence import record_counters
from waxwingwell.routing.version_evidence import split_evidence
from waxwingwell.routing.version_evidence import subtract_evidence
from waxwingwell.routing.versions import list_allowed_upstreams

from .factories import make_announcement
from .factories import make_rollout


GOOD = Evidence(answers=40, failures=1, seconds=20.0)


def make_part(answers: int, failures: int) -> VersionEvidence:
    """Return a gateway's counters of the target version."""
    return VersionEvidence(
        service="chat", version="v2", answers=answers, failures=failures, seconds=1.0
    )


class StepTest(unittest.TestCase):
    """Next step of a roll-out with a duration of 20 seconds."""

    def test_steps(self) -> None:
        few = Evidence(2, 0, 1.0)
        bad = Evidence(10, 5, 2.0)
        slow = Evidence(10, 0, 60.0)
        for name, share, target, elapsed, expected in (
            ("starts with first share", 0.0, Evidence(), 0.1, (0.08, False, False)),
            ("waits for half its duration", 0.08, GOOD, 9.0, (0.08, False, False)),
            ("grows to second share", 0.08, GOOD, 10.5, (0.3, False, False)),
            ("grows to all sessions", 0.3, GOOD, 12.5, (1.0, False, False)),
            ("never shrinks", 1.0, GOOD, 10.5, (1.0, False, False)),
            ("is completed", 1.0, GOOD, 17.5, (1.0, True, True)),
            ("waits for responses", 0.08, few, 12.5, (0.08, False, False)),
            ("reverts with few responses", 0.08, few, 20.5, (0.0, True, False)),
            ("reverts on failures", 0.08, bad, 1.0, (0.0, True, False)),
            ("reverts late on failures", 1.0, bad, 17.5, (0.0, True, False)),
            ("reverts when slow", 0.08, slow, 5.0, (0.0, True, False)),
        ):
            with self.subTest(name):
                rollout = make_rollout(share=share)
                step = step_rollout(rollout, target, GOOD, elapsed)
                self.assertEqual((step.share, step.ended, step.completed), expected)

    def test_the_first_share_waits_for_a_warm_upstream(self) -> None:
        """Guards against sessions that are refused while all of the target is cold."""
        for name, warming, share, elapsed, expected in (
            ("all cold", (3.0, 2.0), 0.0, 0.5, True),
            ("one warm", (3.0, 0.0), 0.0, 0.5, False),
            ("warm since", (3.0, 2.0), 0.0, 3.5, False),
            ("too long", (9.0, 9.0), 0.0, 5.0, False),
            ("share in use", (3.0, 2.0), 0.08, 0.5, False),
            ("no upstream", (), 0.0, 0.5, False),
        ):
            with self.subTest(name):
                table = FleetTable()
                for number, left in enumerate(warming):
                    announcement = make_announcement(f"u{number}", warming=left)
                    apply_announcement(table, announcement, 0.0)

                found = awaits_warm_up(
                    make_rollout(share=share),
                    list(table.upstreams.values()),
                    elapsed,
                    elapsed,
                )
                self.assertIs(found, expected)

    def test_equal_failure_rates_do_not_revert_a_rollout(self) -> None:
        """Guards against a rollback of a good version for failures of both versions.

        A service may fail a seventh of its calls with either version.
        """
        step = step_rollout(
            make_rollout(share=0.08), Evidence(30, 5, 3.0), Evidence(300, 45, 30.0), 5.0
        )
        self.assertFalse(step.ended)

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


class VersionTest(unittest.TestCase):
    """Versions of the upstreams that a session may use."""

    def test_allowed_versions(self) -> None:
        both = [
            make_announcement("a", version="v1"),
            make_announcement("b", version="v2"),
        ]
        for name, rollout, last, expected in (
            ("none ordered", None, None, {"v1"}),
            ("not started", make_rollout(share=0.0), None, {"v1"}),
            ("all sessions", make_rollout(share=1.0), None, {"v2"}),
            ("completed", make_rollout(state="completed"), None, {"v2"}),
            ("reverted", make_rollout(state="reverted"), None, {"v1"}),
            ("active, first half", make_rollout(share=0.19), ("v1", 9.0), {"v1"}),
            ("active, second half", make_rollout(share=1.0), ("v1", 9.0), {"v2"}),
        ):
            with self.subTest(name):
                found = list_allowed_upstreams(
                    both,
                    rollout,
                    current="v1",
                    session="s",
                    last=last,
                    session_life=5.0,
                    now=10.0,
                )
                self.assertEqual({one.version for one in found}, expected)

    def test_a_growing_share_only_adds_sessions(self) -> None:
        both = [
            make_announcement("a", version="v1"),
            make_announcement("b", version="v2"),
        ]
        moved: set[str] = set()
        for share in (0.0, 0.08, 0.3, 1.0):
            now_moved = {
                session
                for session in map(str, range(300))
                if list_allowed_upstreams(
                    both,
                    make_rollout(share=share),
                    current="v1",
                    session=session,
                    last=None,
                    session_life=5.0,
                    now=10.0,
                )[0].version
                == "v2"
            }
            self.assertLessEqual(moved, now_moved)
            self.assertAlmostEqual(len(now_moved) / 300, share, delta=0.08)
            moved = now_moved
