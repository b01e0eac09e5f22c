"""Tests of disaster recovery with a single member after most disks are lost."""

from __future__ import annotations

import unittest

from tests.state.consensus.fakes import Disk
from tests.state.consensus.fakes import await_leader
from tests.state.consensus.fakes import await_voters
from tests.state.consensus.fakes import commands
from tests.state.consensus.fakes import crash
from tests.state.consensus.fakes import group_of
from tests.state.consensus.fakes import lease_holders
from tests.state.consensus.fakes import lose_disk
from tests.state.consensus.fakes import make_cluster
from tests.state.consensus.fakes import open_fake_store
from tests.state.consensus.fakes import propose_command
from tests.state.consensus.fakes import run_for
from tests.state.consensus.fakes import start_node
from waxwingwell.state.exceptions import InvalidMemberError
from waxwingwell.state.group import term_of
from waxwingwell.state.recovery import describe_store
from waxwingwell.state.recovery import make_only_voter


class RecoveryTest(unittest.TestCase):
    """Two of three disks are lost at the same time."""

    def test_remaining_member_continues_with_its_whole_log(self) -> None:
        """The member with an intact disk continues with every change.

        One member of three is not a majority, so nothing is accepted until it is made
        the only voter. The two empty members then join it automatically.
        """
        cluster = make_cluster(3)
        await_voters(cluster)
        leader = await_leader(cluster)
        for number in range(100):
            propose_command(cluster, leader, b"%d" % number)

        run_for(cluster, 1.0)
        term = term_of(group_of(cluster, leader))
        others = [name for name in cluster.names if name != leader]
        for name in others:
            lose_disk(cluster, name)
            start_node(cluster, name)

        run_for(cluster, 5.0)
        self.assertEqual(lease_holders(cluster), [])
        crash(cluster, leader)
        store = open_fake_store(cluster.nodes[leader].disk)
        before = describe_store(store)
        self.assertEqual(len(before.voters), 3)
        kept = make_only_voter(store)
        self.assertEqual(kept.voters, (before.member,))
        start_node(cluster, leader)
        self.assertEqual(lease_holders(cluster), [leader])
        self.assertGreater(term_of(group_of(cluster, leader)), term + 100)
        await_voters(cluster)
        run_for(cluster, 0.5)
        expected = [b"%d" % number for number in range(100)]
        for name in cluster.names:
            self.assertEqual(commands(cluster, name), expected)

    def test_empty_disk_is_rejected(self) -> None:
        with self.assertRaisesRegex(InvalidMemberError, "holds no group"):
            make_only_voter(open_fake_store(Disk()))
