"""Members that are exchanged: spare ones wait, then take the place of a lost one."""

from __future__ import annotations

import unittest
from dataclasses import replace

from waxwingwell.adapters.registry.members import LEAST_VOTERS
from waxwingwell.adapters.registry.members import TIMING
from waxwingwell.state.consensus.records import Membership
from waxwingwell.state.consensus.records import name_of
from waxwingwell.state.group import members_of

from .fakes import FAST
from .fakes import Cluster
from .fakes import Node
from .fakes import await_leader
from .fakes import await_voters
from .fakes import crash
from .fakes import lose_disk
from .fakes import make_cluster
from .fakes import run_for
from .fakes import run_until
from .fakes import start_node


OPEN = replace(FAST, open_to_all=True, most_voters=5, absent=1.5)
SEEDS = (1, 2, 3, 4, 5, 6, 7, 8)

CATCH_UP = 4.0
"""Seconds after its start from which a new control counts for the one it replaces."""


def add_spare(cluster: Cluster, name: str) -> None:
    """Start an empty member that no other one's settings name."""
    cluster.nodes[name] = Node(name)
    names, cluster.names = cluster.names, (*cluster.names[:3], name)
    start_node(cluster, name)
    cluster.names = names


def find_membership(cluster: Cluster) -> Membership:
    """Return the membership that the leader holds."""
    leader = cluster.nodes[await_leader(cluster)].group
    assert leader is not None
    return members_of(leader)


def list_voters(cluster: Cluster) -> set[str]:
    """Return the names of the voters."""
    return {name_of(voter) for voter in find_membership(cluster).voters}


def restart_all(cluster: Cluster, *, emptied: tuple[str, ...]) -> None:
    """End all members at once, empty some disks, and start all again."""
    for name in cluster.names:
        if name in emptied:
            lose_disk(cluster, name)
        else:
            crash(cluster, name)

    run_for(cluster, 0.5)
    for name in cluster.names:
        start_node(cluster, name)


class ExchangeTest(unittest.TestCase):
    """Five voters and a spare."""

    def test_a_spare_waits_while_all_voters_answer(self) -> None:
        cluster = make_cluster(5, timing=OPEN)
        before = list_voters(cluster)
        add_spare(cluster, "control-6")
        run_for(cluster, 4.0)
        membership = find_membership(cluster)
        self.assertEqual({name_of(one) for one in membership.voters}, before)
        learners = [name_of(one) for one in membership.learners]
        self.assertEqual(learners, ["control-6"])

    def test_a_spare_takes_the_place_of_a_member_that_is_gone(self) -> None:
        """A VM is gone for good, and another starts at a new address.

        Were the dead voter kept beside it, each such exchange would leave one dead
        voter more, until two further losses end service for good.
        """
        cluster = make_cluster(5, timing=OPEN)
        await_leader(cluster)
        crash(cluster, "control-2")
        add_spare(cluster, "control-6")
        run_until(cluster, lambda: "control-6" in list_voters(cluster))
        expected = {"control-1", "control-3", "control-4", "control-5", "control-6"}
        self.assertEqual(list_voters(cluster), expected)

    def test_a_short_silence_costs_no_voter_its_place(self) -> None:
        cluster = make_cluster(5, timing=OPEN)
        leader = await_leader(cluster)
        add_spare(cluster, "control-6")
        run_for(cluster, 1.0)
        silent = next(name for name in cluster.names if name != leader)
        cluster.nodes[silent].frozen = True
        run_for(cluster, 1.0)
        cluster.nodes[silent].frozen = False
        run_for(cluster, 1.0)
        self.assertIn(silent, list_voters(cluster))

    def test_two_disks_are_lost_after_a_third_has_come_back(self) -> None:
        """Three disks in turn.

        One member's disk is lost and it comes back. A few seconds later all power
        fails, and two other members lose their disks. The three that are left must
        lead again, and take the two in.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = make_cluster(5, seed=seed, timing=OPEN)
                await_leader(cluster)
                lose_disk(cluster, "control-2")
                run_for(cluster, 1.2)
                start_node(cluster, "control-2")
                run_for(cluster, 4.0)
                restart_all(cluster, emptied=("control-4", "control-5"))
                await_voters(cluster)
                self.assertEqual(list_voters(cluster), set(cluster.names))

    def test_an_exchanged_control_counts_as_soon_as_its_successor_has_caught_up(
        self,
    ) -> None:
        """A VM is exchanged, and then two others lose their disks.

        Its successor had four seconds to catch up. While the voter that is gone stood
        for it, only two of five voters were left, nobody led any more, and a document
        that had been accepted was never in force.
        """
        timing = replace(TIMING, most_voters=LEAST_VOTERS)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = make_cluster(5, seed=seed, timing=timing)
                leader = await_leader(cluster)
                run_for(cluster, 1.0)
                gone, *rest = [name for name in cluster.names if name != leader]
                crash(cluster, gone)
                run_for(cluster, 1.0)
                add_spare(cluster, "control-6")
                run_for(cluster, CATCH_UP)
                for name in (leader, rest[0]):
                    lose_disk(cluster, name)

                run_for(cluster, 0.5)
                for name in (leader, rest[0]):
                    start_node(cluster, name)

                await_leader(cluster)
