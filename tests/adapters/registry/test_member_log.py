"""Tests of the log lines on a control's place in the replicated group."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any
from typing import cast
from unittest import mock

from waxwingwell.adapters.registry import member_log
from waxwingwell.adapters.registry.member_log import LEADERLESS_GRACE_SECONDS
from waxwingwell.adapters.registry.member_log import LEADERLESS_LOG_SECONDS
from waxwingwell.adapters.registry.member_log import report_membership
from waxwingwell.state.consensus.records import Membership
from waxwingwell.state.consensus.records import Role
from waxwingwell.state.consensus.replica import Progress
from waxwingwell.state.consensus.replica import Replica

from .support import Registry
from .support import make_registry
from .support import make_replica


def report_at(registry: Registry, now: float) -> list[tuple[str, dict[str, Any]]]:
    """Report at a time; return the events that were logged, with their fields."""
    logged: list[tuple[str, dict[str, Any]]] = []
    with mock.patch.object(
        member_log, "log_event", lambda event, **fields: logged.append((event, fields))
    ):
        report_membership(registry.context, now)

    return logged


def join_group(registry: Registry, replica: Replica) -> None:
    """Give a registry a group with a replica."""
    registry.context.group = cast("Any", SimpleNamespace(replica=replica))


class MissingLeaderTest(unittest.TestCase):
    """Log lines of a control without a leader."""

    def test_a_control_without_a_leader_says_so(self) -> None:
        """A control that waits to join, or whose disk failed, must not be silent."""
        for opened in (True, False):
            with self.subTest(opened=opened):
                registry = make_registry()
                if opened:
                    join_group(registry, make_replica(names=("127.0.0.1", "127.0.0.3")))

                lines = []
                for now in (0.0, LEADERLESS_GRACE_SECONDS, LEADERLESS_LOG_SECONDS):
                    lines.append([event for event, _ in report_at(registry, now)])

                self.assertEqual(lines, [[], ["registry: No leader"], []])
                due_at = LEADERLESS_GRACE_SECONDS + LEADERLESS_LOG_SECONDS
                [(_, fields)] = report_at(registry, due_at)
                self.assertEqual(fields["waited"], due_at)
                self.assertEqual(fields["asked"], ["127.0.0.3"] if opened else [])

    def test_a_control_with_a_leader_is_silent(self) -> None:
        for name, changes in (
            ("leader", {"role": Role.LEADER}),
            ("follower", {"leader": "127.0.0.2~1", "heard_at": 20.0}),
        ):
            with self.subTest(name):
                registry = make_registry()
                replica = make_replica()
                join_group(registry, replica)
                for field, value in changes.items():
                    setattr(replica, field, value)

                report_at(registry, 0.0)
                events = [event for event, _ in report_at(registry, 20.0)]
                self.assertNotIn("registry: No leader", events)


class AbsentVoterTest(unittest.TestCase):
    """Log lines of a leader that has lost voters."""

    def test_a_lost_voter_that_nobody_replaces_is_logged_once(self) -> None:
        """A dead voter stays while no other control waits to take its place."""
        registry = make_registry()
        replica = make_replica()
        replica.role = Role.LEADER
        replica.elected_at = 0.0
        replica.membership = Membership(voters=("127.0.0.1~1", "127.0.0.2~1"))
        replica.progress = {"127.0.0.2~1": Progress(next_index=1, acknowledged_at=0.0)}
        join_group(registry, replica)
        absence = replica.timing.absence_timeout
        report_at(registry, 0.0)
        lines = [report_at(registry, absence + late) for late in (0.0, 0.1, 0.2)]
        self.assertEqual([len(one) for one in lines], [0, 1, 0])
        [(event, fields)] = lines[1]
        self.assertEqual(event, "registry: Voters absent")
        self.assertEqual(fields["absent"], ("127.0.0.2",))
