"""Power failures of all members while one of them is being replaced."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from waxwingwell.adapters.registry.members import MIN_VOTERS
from waxwingwell.adapters.registry.members import TIMING
from waxwingwell.state.group import Committed
from waxwingwell.state.group import members_of

from .fakes import Cluster
from .fakes import await_leader
from .fakes import await_voters
from .fakes import commands
from .fakes import crash
from .fakes import heal
from .fakes import lose_disk
from .fakes import lose_power
from .fakes import make_cluster
from .fakes import propose_command
from .fakes import run_for
from .fakes import start_node


if TYPE_CHECKING:
    from waxwingwell.state.consensus.records import Timing


QUICK_TIMING = replace(TIMING, max_voters=MIN_VOTERS)
SLOW_TIMING = replace(
    QUICK_TIMING,
    heartbeat=0.15,
    election_min=0.6,
    election_max=1.2,
    absence_timeout=6.0,
)
POWER_LOSS_DELAYS = (0.0, 0.1, 0.2, 0.3, 0.5, 0.8, 1.3, 2.1)
"""Seconds from the return of a member with a lost disk until power fails everywhere:
before it is added, while it is a learner, between the two membership changes that
replace its former id, and afterwards."""
RESTART_PAUSES = (0.06, 0.1, 0.2, 0.3)
"""Seconds from a write that was cut off to the restart, within the leader's term."""


class PowerTest(unittest.TestCase):
    """Power failures in a group of five voters of which two lose their disks."""

    def test_power_fails_while_a_member_with_a_lost_disk_rejoins(self) -> None:
        """One disk is lost twice, and then power fails everywhere.

        The member that rejoined with an empty disk loses it again, and so does
        another. The remaining three must elect a leader and add both again, whenever
        during the replacement the power failed.
        """
        for timing in (QUICK_TIMING, SLOW_TIMING):
            for delay in POWER_LOSS_DELAYS:
                with self.subTest(delay=delay, slow=timing is SLOW_TIMING):
                    cluster = self.lose_power(timing, delay)
                    await_voters(cluster)
                    leader = cluster.nodes[await_leader(cluster)].group
                    assert leader is not None
                    voters = members_of(leader).voters
                    self.assertEqual(len(voters), MIN_VOTERS)

    def test_a_write_is_cut_off_before_its_sync(self) -> None:
        """Guards against an acknowledged entry that one member holds unsynced.

        A member is killed between a write and its sync and restarts within the term;
        then power fails everywhere, and the leader loses its disk.
        """
        for pause in RESTART_PAUSES:
            with self.subTest(pause=pause):
                cluster = make_cluster(3, seed=1)
                await_voters(cluster)
                leader = await_leader(cluster)
                killed, unaware = [name for name in cluster.names if name != leader]
                cluster.cut_links.add((leader, unaware))
                cluster.nodes[killed].disk.crash = "unsynced"
                outcomes = propose_command(cluster, leader, b"x")
                run_for(cluster, pause)
                start_node(cluster, killed)
                run_for(cluster, 0.2)
                self.assertIsInstance(outcomes[0], Committed)
                heal(cluster)
                lose_disk(cluster, leader)
                for name in (killed, unaware):
                    lose_power(cluster, name)

                for name in cluster.names:
                    start_node(cluster, name)

                await_voters(cluster)
                self.assertIn(b"x", commands(cluster, await_leader(cluster)))

    def lose_power(self, timing: Timing, delay: float) -> Cluster:
        """Lose a disk twice, then all power ``delay`` seconds after its return."""
        cluster = make_cluster(5, seed=round(delay * 10) + 1, timing=timing)
        leader = await_leader(cluster)
        emptied, other, *_ = [name for name in cluster.names if name != leader]
        for pause in (3.0, delay):
            lose_disk(cluster, emptied)
            run_for(cluster, 0.8)
            start_node(cluster, emptied)
            run_for(cluster, pause)

        for name in cluster.names:
            if name in (emptied, other):
                lose_disk(cluster, name)
            else:
                crash(cluster, name)

        run_for(cluster, 0.5)
        for name in cluster.names:
            start_node(cluster, name)

        return cluster
