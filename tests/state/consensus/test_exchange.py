"""Replacement of voters: spare members wait as learners until a voter is lost."""

from __future__ import annotations

import unittest
from dataclasses import replace

from waxwingwell.adapters.registry.members import MIN_VOTERS
from waxwingwell.adapters.registry.members import TIMING
from waxwingwell.state.consensus.records import Membership
from waxwingwell.state.consensus.records import name_of
from waxwingwell.state.group import members_of

from .fakes import FAST_TIMING
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


OPEN_TIMING = replace(FAST_TIMING, open_to_all=True, max_voters=5, absence_timeout=1.5)
SEEDS = (1, 2, 3, 4, 5, 6, 7, 8)

CATCH_UP_SECONDS = 4.0
"""Seconds after its start within which a new control must replace a voter."""


def add_spare(cluster: Cluster, name: str) -> None:
    """Start an empty member that is not named in the others' settings."""
    cluster.nodes[name] = Node(name)
    names, cluster.names = cluster.names, (*cluster.names[:3], name)
    start_node(cluster, name)
    cluster.names = names


def find_membership(cluster: Cluster) -> Membership:
    """Return the leader's membership."""
    leader = cluster.nodes[await_leader(cluster)].group
    assert leader is not None
    return members_of(leader)


def list_voters(cluster: Cluster) -> set[str]:
    """Return the names of the voters."""
    return {name_of(voter) for voter in find_membership(cluster).voters}


def restart_all(cluster: Cluster, *, emptied: tuple[str, ...]) -> None:
    """Crash all members at once, erase some disks, and start all again."""
    for name in cluster.names:
        if name in emptied:
            lose_disk(cluster, name)
        else:
            crash(cluster, name)

    run_for(cluster, 0.5)
    for name in cluster.names:
        start_node(cluster, name)


class ExchangeTest(unittest.TestCase):
    """Replacement of voters in a group of five voters and a spare."""

    def test_a_spare_waits_while_all_voters_respond(self) -> None:
        cluster = make_cluster(5, timing=OPEN_TIMING)
        before = list_voters(cluster)
        add_spare(cluster, "control-6")
        run_for(cluster, 4.0)
        membership = find_membership(cluster)
        self.assertEqual({name_of(one) for one in membership.voters}, before)
        learners = [name_of(one) for one in membership.learners]
        self.assertEqual(learners, ["control-6"])

    def test_a_spare_replaces_a_failed_voter(self) -> None:
        """A VM is lost for good, and another starts at a new address.

        If the dead voter were kept as well, each replacement would add one dead
        voter, until two further losses end service for good.
        """
        cluster = make_cluster(5, timing=OPEN_TIMING)
        await_leader(cluster)
        crash(cluster, "control-2")
        add_spare(cluster, "control-6")
        run_until(cluster, lambda: "control-6" in list_voters(cluster))
        expected = {"control-1", "control-3", "control-4", "control-5", "control-6"}
        self.assertEqual(list_voters(cluster), expected)

    def test_a_briefly_unresponsive_voter_is_not_replaced(self) -> None:
        cluster = make_cluster(5, timing=OPEN_TIMING)
        leader = await_leader(cluster)
        add_spare(cluster, "control-6")
        run_for(cluster, 1.0)
        unresponsive = next(name for name in cluster.names if name != leader)
        cluster.nodes[unresponsive].frozen = True
        run_for(cluster, 1.0)
        cluster.nodes[unresponsive].frozen = False
        run_for(cluster, 1.0)
        self.assertIn(unresponsive, list_voters(cluster))

    def test_two_disks_are_lost_after_a_third_member_has_recovered(self) -> None:
        """Two disks are lost shortly after a member recovered from losing its own.

        A few seconds after that member is back, power fails everywhere, and two other
        members lose their disks. The remaining three must elect a leader and add the
        two again.
        """
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = make_cluster(5, seed=seed, timing=OPEN_TIMING)
                await_leader(cluster)
                lose_disk(cluster, "control-2")
                run_for(cluster, 1.2)
                start_node(cluster, "control-2")
                run_for(cluster, 4.0)
                restart_all(cluster, emptied=("control-4", "control-5"))
                await_voters(cluster)
                self.assertEqual(list_voters(cluster), set(cluster.names))

    def test_a_replacement_control_becomes_a_voter_once_caught_up(self) -> None:
        """A VM is replaced, and four seconds later two other members lose their disks.

        If the lost voter had not been replaced by then, only two of five voters would
        be left. No leader could be elected, and a document that had been accepted
        would never take effect.
        """
        timing = replace(TIMING, max_voters=MIN_VOTERS)
        for seed in SEEDS:
            with self.subTest(seed=seed):
                cluster = make_cluster(5, seed=seed, timing=timing)
                leader = await_leader(cluster)
                run_for(cluster, 1.0)
                replaced, *rest = [name for name in cluster.names if name != leader]
                crash(cluster, replaced)
                run_for(cluster, 1.0)
                add_spare(cluster, "control-6")
                run_for(cluster, CATCH_UP_SECONDS)
                for name in (leader, rest[0]):
                    lose_disk(cluster, name)

                run_for(cluster, 0.5)
                for name in (leader, rest[0]):
                    start_node(cluster, name)

                await_leader(cluster)
