"""Tests of groups: elections, replication, compaction and restarts."""

from __future__ import annotations

import unittest

from tests.state.consensus.fakes import await_leader
from tests.state.consensus.fakes import await_voters
from tests.state.consensus.fakes import commands
from tests.state.consensus.fakes import crash
from tests.state.consensus.fakes import group_of
from tests.state.consensus.fakes import lease_holders
from tests.state.consensus.fakes import make_cluster
from tests.state.consensus.fakes import propose_command
from tests.state.consensus.fakes import run_for
from tests.state.consensus.fakes import run_until
from tests.state.consensus.fakes import start_node
from waxwingwell.state.group import Committed
from waxwingwell.state.group import NotLeading
from waxwingwell.state.group import leader_of
from waxwingwell.state.group import leads
from waxwingwell.state.group import transfer_leadership


CLIENT_LEASE = 2.0
"""Seconds for which entries can operate without a leader."""


class GroupTest(unittest.TestCase):
    """Groups of each size, without injected faults."""

    def test_every_size_replicates(self) -> None:
        for size in (1, 2, 3, 5):
            with self.subTest(size=size):
                cluster = make_cluster(size)
                leader = await_leader(cluster)
                outcomes = propose_command(cluster, leader, b"a")
                run_for(cluster, 0.5)
                self.assertIsInstance(outcomes[0], Committed)
                for name in cluster.names:
                    self.assertEqual(commands(cluster, name), [b"a"])
                    self.assertEqual(leader_of(group_of(cluster, name)), leader)

    def test_a_group_of_one_leads_from_its_opening(self) -> None:
        cluster = make_cluster(1)
        group = group_of(cluster, "control-1")
        self.assertTrue(leads(group, cluster.now))
        crash(cluster, "control-1")
        start_node(cluster, "control-1")
        self.assertTrue(leads(group_of(cluster, "control-1"), cluster.now))

    def test_a_follower_names_the_leader(self) -> None:
        cluster = make_cluster(3)
        leader = await_leader(cluster)
        run_for(cluster, 0.5)
        other = next(name for name in cluster.names if name != leader)
        self.assertEqual(propose_command(cluster, other, b"a"), [NotLeading(leader)])

    def test_fail_over_fits_the_client_lease(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                self.assertLess(measure_fail_over(seed), CLIENT_LEASE)

    def test_restart_after_compaction_keeps_all(self) -> None:
        cluster = make_cluster(3)
        leader = await_leader(cluster)
        for number in range(300):
            propose_command(cluster, leader, b"%d" % number)
            if number % 10 == 0:
                run_for(cluster, 0.02)

        run_for(cluster, 1.0)
        expected = [b"%d" % number for number in range(300)]
        for name in cluster.names:
            self.assertEqual(commands(cluster, name), expected)
            self.assertIsNotNone(cluster.nodes[name].disk.loaded.snapshot)
            crash(cluster, name)

        for name in cluster.names:
            start_node(cluster, name)

        await_leader(cluster)
        run_for(cluster, 0.5)
        for name in cluster.names:
            self.assertEqual(commands(cluster, name), expected)

    def test_transfer_moves_leadership_without_an_election_timeout(self) -> None:
        cluster = make_cluster(3)
        leader = await_leader(cluster)
        await_voters(cluster)
        run_for(cluster, 0.5)
        target = next(name for name in cluster.names if name != leader)
        group = group_of(cluster, leader)
        self.assertTrue(transfer_leadership(group, target, cluster.now))
        elapsed = run_until(
            cluster, lambda: leads(group_of(cluster, target), cluster.now)
        )
        self.assertLess(elapsed, cluster.timing.election_min)


def measure_fail_over(seed: int) -> float:
    """Return the seconds from a leader's crash to its successor's lease."""
    cluster = make_cluster(3, seed=seed)
    crash(cluster, await_leader(cluster))
    return run_until(cluster, lambda: bool(lease_holders(cluster)))
