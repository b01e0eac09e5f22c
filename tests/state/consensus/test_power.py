"""Power that fails for all members while one of them is being replaced."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import TYPE_CHECKING

from waxwingwell.adapters.registry.members import LEAST_VOTERS
from waxwingwell.adapters.registry.members import TIMING
from waxwingwell.state.group import members_of

from .fakes import Cluster
from .fakes import await_leader
from .fakes import await_voters
from .fakes import crash
from .fakes import lose_disk
from .fakes import make_cluster
from .fakes import run_for
from .fakes import start_node


if TYPE_CHECKING:
    from waxwingwell.state.consensus.records import Timing


QUICK = replace(TIMING, most_voters=LEAST_VOTERS)
SLOW = replace(QUICK, heartbeat=0.15, election_min=0.6, election_max=1.2, absent=6.0)
MOMENTS = (0.0, 0.1, 0.2, 0.3, 0.5, 0.8, 1.3, 2.1)
"""Seconds from the return of an emptied member until all power fails: before it is
taken in, while it learns, between the two changes that exchange it, and afterwards."""


class PowerTest(unittest.TestCase):
    """Five voters of which two lose their disks."""

    def test_power_fails_while_an_emptied_member_is_taken_in(self) -> None:
        """One disk is lost twice, and then all power fails.

        The member that came back empty loses its disk again, and another one does, too.
        The three that are left must lead, at whatever moment of the exchange it was,
        and take both in.
        """
        for timing in (QUICK, SLOW):
            for moment in MOMENTS:
                with self.subTest(moment=moment, slow=timing is SLOW):
                    cluster = self.play(timing, moment)
                    await_voters(cluster)
                    leader = cluster.nodes[await_leader(cluster)].group
                    assert leader is not None
                    voters = members_of(leader).voters
                    self.assertEqual(len(voters), LEAST_VOTERS)

    def play(self, timing: Timing, moment: float) -> Cluster:
        """Lose a disk twice, and all power ``moment`` seconds after its return."""
        cluster = make_cluster(5, seed=round(moment * 10) + 1, timing=timing)
        leader = await_leader(cluster)
        emptied, other, *_ = [name for name in cluster.names if name != leader]
        for pause in (3.0, moment):
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
