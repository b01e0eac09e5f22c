"""Failure scenarios of members, disks and links."""

from __future__ import annotations

import unittest

from tests.state.consensus.fakes import STEP_SECONDS
from tests.state.consensus.fakes import Cluster
from tests.state.consensus.fakes import Node
from tests.state.consensus.fakes import Packet
from tests.state.consensus.fakes import await_leader
from tests.state.consensus.fakes import await_voters
from tests.state.consensus.fakes import commands
from tests.state.consensus.fakes import crash
from tests.state.consensus.fakes import group_of
from tests.state.consensus.fakes import heal
from tests.state.consensus.fakes import lease_holders
from tests.state.consensus.fakes import lose_disk
from tests.state.consensus.fakes import make_cluster
from tests.state.consensus.fakes import partition
from tests.state.consensus.fakes import propose_command
from tests.state.consensus.fakes import run_for
from tests.state.consensus.fakes import run_until
from tests.state.consensus.fakes import start_node
from tests.state.consensus.fakes import step
from waxwingwell.state.consensus.log import last_index
from waxwingwell.state.consensus.messages import AppendAnswer
from waxwingwell.state.consensus.messages import JoinRequest
from waxwingwell.state.consensus.messages import RequestVote
from waxwingwell.state.consensus.records import EntryKind
from waxwingwell.state.consensus.records import Role
from waxwingwell.state.consensus.replica import append_entry
from waxwingwell.state.consensus.replica import set_term
from waxwingwell.state.consensus.replication import advance_commit
from waxwingwell.state.group import Committed
from waxwingwell.state.group import NotLeading
from waxwingwell.state.group import ProposalLost
from waxwingwell.state.group import allow_name
from waxwingwell.state.group import flush_group
from waxwingwell.state.group import forbid_name
from waxwingwell.state.group import leads
from waxwingwell.state.group import receive_message
from waxwingwell.state.group import remove_member
from waxwingwell.state.group import term_of
from waxwingwell.state.group import transfer_leadership


def make_stable_cluster(size: int = 3) -> tuple[Cluster, str, list[str]]:
    """Return a cluster whose members are all voters, its leader, and the others."""
    cluster = make_cluster(size)
    await_voters(cluster)
    run_for(cluster, 0.5)
    leader = await_leader(cluster)
    return cluster, leader, [name for name in cluster.names if name != leader]


def commit_command(cluster: Cluster, name: str, command: bytes) -> None:
    """Propose a command and run until it is committed."""
    outcomes = propose_command(cluster, name, command)
    run_until(cluster, lambda: bool(outcomes))
    assert isinstance(outcomes[0], Committed), outcomes


class LostDiskTest(unittest.TestCase):
    """Lost disks, alone and combined with other failures."""

    def test_a_member_with_a_lost_disk_cannot_vote_under_its_former_id(self) -> None:
        """A change is committed by two of three members, then one loses its disk.

        It comes back empty while the other is partitioned. If it could vote under its
        former id, it and the third member, which missed the change, would elect a
        leader without the change, and a committed configuration would revert.
        """
        cluster, leader, (second, third) = make_stable_cluster()
        partition(cluster, (leader, second), (third,))
        commit_command(cluster, leader, b"change")
        lose_disk(cluster, second)
        partition(cluster, (leader,), (second, third))
        start_node(cluster, second)
        run_for(cluster, 10.0)
        self.assertEqual(lease_holders(cluster), [])
        heal(cluster)
        await_voters(cluster)
        run_for(cluster, 0.5)
        for name in cluster.names:
            self.assertEqual(commands(cluster, name), [b"change"])

    def test_a_member_with_a_lost_disk_becomes_a_voter_under_a_new_id(self) -> None:
        """A VM's disk is replaced, and its process starts with an empty data folder.

        It must rejoin without any action of an operator: it joins as a learner, its
        former id is removed, and it becomes a voter.
        """
        cluster, leader, (second, _) = make_stable_cluster()
        commit_command(cluster, leader, b"a")
        former = group_of(cluster, second).replica.member
        lose_disk(cluster, second)
        commit_command(cluster, leader, b"b")
        start_node(cluster, second)
        await_voters(cluster)
        group = group_of(cluster, second)
        self.assertNotEqual(group.replica.member, former)
        membership = group_of(cluster, leader).replica.membership
        self.assertIn(former, membership.removed)
        self.assertEqual(len(membership.voters), 3)
        self.assertEqual(commands(cluster, second), [b"a", b"b"])

    def test_a_learner_is_promoted_only_within_one_batch_of_the_log(self) -> None:
        """A VM comes back with an empty disk while the log has hundreds of entries.

        If it became a voter at once, the next loss would stop progress until it has
        caught up, and a majority of nearly empty disks would be one loss away.
        """
        cluster, leader, (second, _) = make_stable_cluster()
        for number in range(300):
            propose_command(cluster, leader, b"%d" % number)

        run_for(cluster, 1.0)
        cluster.extra_delay[second] = 0.2
        lose_disk(cluster, second)
        start_node(cluster, second)
        member = group_of(cluster, second).replica.member
        run_until(cluster, lambda: is_voter_at_leader(cluster, member))
        batch = cluster.timing.batch_entries
        self.assertGreaterEqual(len(commands(cluster, second)), 300 - batch)

    def test_a_distant_learner_is_promoted_under_steady_writes(self) -> None:
        """A VM in the farthest data centre comes back with an empty disk under load.

        The group commits without it, so it always lags by some entries. It must be
        promoted to voter nevertheless, or one more loss stops the group.
        """
        cluster, leader, (second, _) = make_stable_cluster()
        cluster.extra_delay[second] = 0.015
        lose_disk(cluster, second)
        start_node(cluster, second)
        member = group_of(cluster, second).replica.member
        for number in range(600):
            propose_command(cluster, leader, b"%d" % number)
            step(cluster, 0.005)

        self.assertTrue(is_voter_at_leader(cluster, member))

    def test_a_delayed_join_request_of_a_removed_id_is_ignored(self) -> None:
        """A join request of an id whose disk was lost since arrives late.

        If that id were added, the membership would hold an id that no process has,
        and it would displace the id under which the VM has joined since.
        """
        cluster, leader, (second, _) = make_stable_cluster()
        lost = group_of(cluster, second).replica.member
        lose_disk(cluster, second)
        start_node(cluster, second)
        await_voters(cluster)
        run_for(cluster, 0.5)
        group = group_of(cluster, leader)
        before = group.replica.membership
        request = JoinRequest(group="main", sender=lost, target=leader, term=0)
        receive_message(group, second, request, cluster.now)
        run_for(cluster, 0.5)
        self.assertEqual(group.replica.membership, before)

    def test_a_lagging_member_receives_the_membership_by_snapshot(self) -> None:
        """A VM is partitioned while another's disk is replaced and the log compacted.

        The entry that changed the membership is compacted away when it is back. With
        the former membership it would request a dead id's vote and count that id in
        its majority.
        """
        cluster, leader, (second, third, *rest) = make_stable_cluster(5)
        lose_disk(cluster, second)
        start_node(cluster, second)
        member = group_of(cluster, second).replica.member
        replica = group_of(cluster, leader).replica
        run_until(cluster, lambda: member in replica.membership.learners)
        partition(cluster, (third,), (leader, second, *rest))
        run_until(cluster, lambda: member in replica.membership.voters)
        for number in range(300):
            propose_command(cluster, leader, b"%d" % number)

        run_for(cluster, 1.0)
        self.assertNotEqual(
            group_of(cluster, third).replica.membership, replica.membership
        )
        heal(cluster)
        run_for(cluster, 2.0)
        expected = replica.membership
        self.assertEqual(group_of(cluster, third).replica.membership, expected)

    def test_a_second_disk_is_lost_right_after_a_repair(self) -> None:
        """One member is repaired after losing its disk; at once another loses its own.

        Callers must see a fail-over at most: the repaired member is a voter, so it
        and the member that never failed continue, and no committed command is lost.
        """
        cluster, leader, (second, third) = make_stable_cluster()
        for lost in (second, third, leader):
            commit_command(cluster, await_leader(cluster), b"before " + lost.encode())
            lose_disk(cluster, lost)
            run_for(cluster, 0.1)
            start_node(cluster, lost)
            await_voters(cluster)

        run_for(cluster, 0.5)
        expected = [b"before " + name.encode() for name in (second, third, leader)]
        for name in cluster.names:
            self.assertEqual(commands(cluster, name), expected)

    def test_a_second_member_fails_during_a_repair(self) -> None:
        """One disk is lost; before its member has caught up, another VM stops.

        Two of three voters are down, so the remaining one must commit nothing. Once
        the stopped VM is back, with its disk, the group must continue.
        """
        cluster, leader, (second, third) = make_stable_cluster()
        commit_command(cluster, leader, b"a")
        lose_disk(cluster, second)
        crash(cluster, third)
        start_node(cluster, second)
        outcomes = propose_command(cluster, leader, b"b")
        run_for(cluster, 5.0)
        self.assertEqual(outcomes, [ProposalLost()])
        self.assertEqual(lease_holders(cluster), [])
        start_node(cluster, third)
        await_voters(cluster)
        run_for(cluster, 0.5)
        for name in cluster.names:
            self.assertEqual(commands(cluster, name)[:1], [b"a"])

    def test_a_member_with_a_lost_disk_bootstraps_no_second_group(self) -> None:
        """The first VM's disk is lost, and its settings still say ``bootstrap``.

        It starts while the others can't be reached. If it bootstrapped a group of its
        own, it would serve operators an empty configuration.
        """
        cluster, leader, _ = make_stable_cluster()
        commit_command(cluster, leader, b"a")
        bootstrapper = cluster.names[0]
        lose_disk(cluster, bootstrapper)
        partition(cluster, (bootstrapper,), cluster.names[1:])
        start_node(cluster, bootstrapper)
        run_for(cluster, 5.0)
        self.assertEqual(group_of(cluster, bootstrapper).replica.membership.voters, ())
        self.assertNotIn(bootstrapper, lease_holders(cluster))
        heal(cluster)
        await_voters(cluster)
        run_for(cluster, 0.5)
        self.assertEqual(commands(cluster, bootstrapper), [b"a"])

    def test_a_bootstrapping_member_that_finds_a_group_waits_to_join(self) -> None:
        """The first VM's disk is lost while the group has no leader.

        One other member responds that it belongs to a group, and one is down and then
        loses its disk. The first must not bootstrap a second group with it.
        """
        cluster, leader, _ = make_stable_cluster()
        commit_command(cluster, leader, b"a")
        bootstrapper, second, third = cluster.names
        lose_disk(cluster, bootstrapper)
        crash(cluster, third)
        start_node(cluster, bootstrapper)
        run_for(cluster, 2.0)
        lose_disk(cluster, third)
        start_node(cluster, third)
        run_for(cluster, 5.0)
        self.assertEqual(lease_holders(cluster), [])
        self.assertEqual(commands(cluster, bootstrapper), [])
        self.assertIn(b"a", stored_commands(cluster, second))

    def test_a_learner_unknown_to_the_next_leader_requests_to_join_again(self) -> None:
        """A member with a replaced disk is added, and the leader crashes at once.

        The next leader doesn't know the learner. Without another join request the VM
        would stay out of the group forever while its process looks healthy.
        """
        cluster, leader, (second, *rest) = make_stable_cluster(5)
        lose_disk(cluster, second)
        run_for(cluster, 0.1)
        partition(cluster, (leader, second), tuple(rest))
        start_node(cluster, second)
        group = group_of(cluster, second)
        run_until(cluster, lambda: bool(group.replica.log.entries))
        crash(cluster, leader)
        heal(cluster)
        member = group.replica.member
        run_until(cluster, lambda: is_voter_at_leader(cluster, member))


class LeaderTest(unittest.TestCase):
    """Leaders that are partitioned, suspended or stopped, and leadership transfers."""

    def test_a_partitioned_leader_loses_its_lease_before_the_election(self) -> None:
        """The leader is partitioned from all others and doesn't know it.

        Two leaders would send conflicting orders to engines. So its lease must expire
        before the others may vote; later it must reject proposals, and those that it
        accepted are reported as lost.
        """
        cluster, leader, others = make_stable_cluster()
        old = group_of(cluster, leader)
        partition(cluster, (leader,), tuple(others))
        cut_at = cluster.now
        outcomes = propose_command(cluster, leader, b"lost")
        run_until(cluster, lambda: not leads(old, cluster.now))
        self.assertLess(cluster.now - cut_at, cluster.timing.election_min)
        self.assertEqual(lease_holders(cluster), [])
        new_leader = await_leader(cluster)
        self.assertGreaterEqual(
            cluster.now - cut_at, cluster.timing.election_min - cluster.timing.heartbeat
        )
        run_for(cluster, 1.0)
        self.assertEqual(outcomes, [ProposalLost()])
        self.assertEqual(propose_command(cluster, leader, b"refused"), [NotLeading("")])
        commit_command(cluster, new_leader, b"kept")
        heal(cluster)
        run_for(cluster, 1.0)
        for name in cluster.names:
            self.assertEqual(commands(cluster, name), [b"kept"])

    def test_a_resumed_leader_finds_its_lease_expired(self) -> None:
        """The leader's process is suspended for long and then resumed.

        Before it reads any message it would still act as leader. The clock alone must
        show that its lease has expired, and its term, which serves as fencing token,
        must be lower than the new leader's.
        """
        cluster, leader, _ = make_stable_cluster()
        old = group_of(cluster, leader)
        cluster.nodes[leader].frozen = True
        run_for(cluster, cluster.timing.election_min)
        new_leader = await_leader(cluster)
        cluster.nodes[leader].frozen = False
        self.assertFalse(leads(old, cluster.now))
        self.assertLess(term_of(old), term_of(group_of(cluster, new_leader)))
        run_for(cluster, 1.0)
        self.assertIs(old.replica.role, Role.FOLLOWER)

    def test_a_member_back_from_a_partition_does_not_disrupt_the_leader(self) -> None:
        """A VM is partitioned for long, and its election timer expires many times.

        If its term had grown, its return would force a fail-over.
        """
        cluster, leader, (second, third) = make_stable_cluster()
        term = term_of(group_of(cluster, leader))
        partition(cluster, (leader, third), (second,))
        run_for(cluster, 20.0)
        heal(cluster)
        run_for(cluster, 2.0)
        self.assertEqual(lease_holders(cluster), [leader])
        self.assertEqual(term_of(group_of(cluster, leader)), term)

    def test_a_member_that_receives_nothing_does_not_disrupt_the_leader(self) -> None:
        """Messages to one VM are lost, while its own still reach the others.

        It can't hear the leader and requests votes again and again. The others hear
        the leader and must not grant them.
        """
        cluster, leader, (second, third) = make_stable_cluster()
        term = term_of(group_of(cluster, leader))
        cluster.cut_links.update({(leader, second), (third, second)})
        run_for(cluster, 10.0)
        self.assertEqual(lease_holders(cluster), [leader])
        self.assertEqual(term_of(group_of(cluster, leader)), term)

    def test_a_leader_that_receives_nothing_steps_down(self) -> None:
        """Messages to the leader are lost, while its heartbeats still arrive.

        The followers start no election and nothing commits, so callers wait forever
        unless the leader detects that no majority responds.
        """
        cluster, leader, others = make_stable_cluster()
        cluster.cut_links.update((name, leader) for name in others)
        run_until(
            cluster, lambda: any(name in others for name in lease_holders(cluster))
        )

    def test_a_restarted_follower_withholds_its_vote(self) -> None:
        """A follower acknowledges a heartbeat, restarts, and receives a vote request.

        If it voted at once, a second leader could hold a lease while the first one's,
        which counts on that acknowledgement, is still valid.
        """
        for name, load_seconds in (("at once", None), ("after loading its code", 0.1)):
            with self.subTest(name):
                cluster, leader, (second, third) = make_stable_cluster()
                partition(cluster, (leader,), (second, third))
                crash(cluster, second)
                started_at = cluster.now
                if load_seconds is not None:
                    run_for(cluster, load_seconds)

                start_node(cluster, second, started_at)
                old = group_of(cluster, leader)
                self.assertTrue(leads(old, cluster.now))
                replica = group_of(cluster, third).replica
                request = RequestVote(
                    group="main",
                    sender=replica.member,
                    target=group_of(cluster, second).replica.member,
                    term=replica.term + 1,
                    last_index=replica.durable,
                    last_term=replica.term,
                )
                asked = group_of(cluster, second)
                receive_message(asked, third, request, cluster.now)
                self.assertNotEqual(asked.replica.voted_for, replica.member)

    def test_members_that_know_their_start_time_elect_a_leader_sooner(self) -> None:
        """All processes are killed; each takes longer to load than a lease lasts.

        Without their start time, members would wait for the lease to expire once
        more, and callers with them.
        """
        cluster, _, _ = make_stable_cluster(5)
        for name in cluster.names:
            crash(cluster, name)

        cluster.packets.clear()
        started_at = cluster.now
        run_for(cluster, cluster.timing.election_max)
        for name in cluster.names:
            start_node(cluster, name, started_at)

        opened_at = cluster.now
        await_leader(cluster)
        self.assertLess(cluster.now - opened_at, cluster.timing.election_min)

    def test_a_delayed_leadership_transfer_makes_no_second_leader(self) -> None:
        """A planned stop transfers leadership, but the ``TimeoutNow`` message is late.

        The old leader must not regain its lease meanwhile: the message may still
        arrive, and the others would then vote within the lease.
        """
        cluster, leader, (second, third) = make_stable_cluster()
        old = group_of(cluster, leader)
        self.assertTrue(transfer_leadership(old, second, cluster.now))
        partition(cluster, (leader, third), (second,))
        run_for(cluster, cluster.timing.election_max / 2)
        self.assertFalse(leads(old, cluster.now))
        self.assertEqual(propose_command(cluster, leader, b"a"), [NotLeading(second)])
        run_for(cluster, cluster.timing.election_max)
        heal(cluster)
        self.assertGreater(term_of(group_of(cluster, await_leader(cluster))), 1)

    def test_a_leadership_transfer_waits_for_pending_proposals(self) -> None:
        """A leader is stopped as planned while a command is being replicated.

        The target of the transfer holds the command before a majority does. If it
        started an election then, it would end the old leader's term, and the operator
        would be notified of an unknown outcome of a command that is then applied.
        """
        cluster, leader, (second, *others) = make_stable_cluster(5)
        cluster.extra_delay.update(dict.fromkeys(others, 5 * STEP_SECONDS))
        outcomes = propose_command(cluster, leader, b"a")
        old = group_of(cluster, leader)
        self.assertTrue(transfer_leadership(old, second, cluster.now))
        run_until(cluster, lambda: bool(outcomes))
        self.assertEqual([type(one) for one in outcomes], [Committed])
        run_until(cluster, lambda: lease_holders(cluster) == [second])
        self.assertEqual(commands(cluster, second), [b"a"])

    def test_the_lease_counts_from_the_send_time(self) -> None:
        """The followers' responses are late, and the leader is partitioned meanwhile.

        Followers withhold their votes from when they heard the leader. If the lease
        counted from the late response, the leader would continue to act after another
        was elected.
        """
        cluster, leader, others = make_stable_cluster()
        group = group_of(cluster, leader)
        cluster.delay = (2 * STEP_SECONDS, 2 * STEP_SECONDS)
        run_until(cluster, lambda: bool(responses_to(cluster, leader)))
        late = responses_to(cluster, leader)
        partition(cluster, (leader,), tuple(others))
        run_for(cluster, cluster.timing.election_min)
        for packet in late:
            receive_message(group, packet.sender, packet.message, cluster.now)

        self.assertFalse(leads(group, cluster.now))

    def test_an_entry_of_an_earlier_term_is_not_committed_by_count(self) -> None:
        """An entry reaches a majority only under a leader of a later term.

        A member with an entry of a later term could still be elected and overwrite
        it, so it may be committed only with an entry of the leader's own term.
        """
        cluster, leader, _others = make_stable_cluster()
        replica = group_of(cluster, leader).replica
        commit = replica.commit
        append_entry(replica, EntryKind.COMMAND, b"old")
        old = last_index(replica.log)
        replica.durable = old
        set_term(replica, replica.term + 1, replica.member)
        for progress in replica.progress.values():
            progress.match = old

        advance_commit(replica)
        self.assertEqual(replica.commit, commit)
        append_entry(replica, EntryKind.COMMAND, b"own")
        replica.durable = old + 1
        for progress in replica.progress.values():
            progress.match = old + 1

        advance_commit(replica)
        self.assertEqual(replica.commit, old + 1)

    def test_a_removed_member_is_notified_and_stops(self) -> None:
        """An operator removes a member whose process is down, and it starts again.

        It must neither vote nor request votes, and log what the operator must do.
        """
        cluster, leader, (second, _) = make_stable_cluster()
        crash(cluster, second)
        group = group_of(cluster, leader)
        outcomes: list[object] = []
        members = group.replica.membership.voters
        former = next(one for one in members if one.startswith(second))
        remove_member(group, former, outcomes.append, cluster.now)
        run_for(cluster, 0.5)
        self.assertIsInstance(outcomes[0], Committed)
        start_node(cluster, second)
        run_for(cluster, 3.0)
        self.assertTrue(group_of(cluster, second).replica.expelled)
        self.assertEqual(len(group.replica.membership.voters), 2)
        sent_messages: list[object] = []
        group_of(cluster, second).send = lambda target, message: sent_messages.append(
            message
        )
        run_for(cluster, 3.0)
        self.assertEqual(sent_messages, [])

    def test_a_member_with_a_new_name_joins_once_it_is_allowed(self) -> None:
        """Operators add a VM; its process starts before its name is allowed.

        It must not join until then, as anyone with the address could request it, and
        afterwards become a voter.
        """
        cluster, leader, _ = make_stable_cluster()
        old = cluster.names
        cluster.names = (*old, "control-0")
        cluster.nodes["control-0"] = Node("control-0")
        start_node(cluster, "control-0")
        run_for(cluster, 2.0)
        group = group_of(cluster, leader)
        self.assertEqual(len(group.replica.membership.voters), 3)
        for name in old:
            allow_name(group_of(cluster, name), "control-0")

        await_voters(cluster)
        self.assertEqual(len(group.replica.membership.voters), 4)
        run_for(cluster, 0.5)
        forbid_name(group, "control-0")
        outcomes: list[object] = []
        remove_member(group, "control-0", outcomes.append, cluster.now)
        run_for(cluster, 0.5)
        self.assertIsInstance(outcomes[0], Committed)
        lose_disk(cluster, "control-0")
        start_node(cluster, "control-0")
        run_for(cluster, 3.0)
        self.assertEqual(len(group.replica.membership.voters), 3)

    def test_a_running_member_that_is_removed_does_not_rejoin(self) -> None:
        """An operator removes a member that is running and healthy.

        It must not rejoin as a member with an empty disk does.
        """
        cluster, leader, (second, _) = make_stable_cluster()
        group = group_of(cluster, leader)
        former = group_of(cluster, second).replica.member
        remove_member(group, former, lambda outcome: None, cluster.now)
        run_for(cluster, 5.0)
        self.assertTrue(group_of(cluster, second).replica.expelled)
        self.assertNotIn(former, group.replica.membership.voters)
        self.assertNotIn(former, group.replica.membership.learners)

    def test_a_new_leader_rejects_changes_before_its_first_commit(self) -> None:
        """An operator removes a member just as leadership changes.

        A membership change started before the term's first entry is committed may
        overlap with one of the former leader, and then two majorities without a
        common member could decide independently.
        """
        cluster, leader, others = make_stable_cluster()
        crash(cluster, leader)
        cluster.delay = (2 * STEP_SECONDS, 2 * STEP_SECONDS)
        run_until(
            cluster, lambda: any(has_leader_role(cluster, name) for name in others)
        )
        new_leader = next(name for name in others if has_leader_role(cluster, name))
        group = group_of(cluster, new_leader)
        self.assertLess(group.replica.commit, group.replica.term_start_index)
        outcomes: list[object] = []
        member = group_of(cluster, others[0]).replica.member
        remove_member(group, member, outcomes.append, cluster.now)
        self.assertEqual(outcomes, [NotLeading(new_leader)])


class StorageFailureTest(unittest.TestCase):
    """Disks that fail or stall."""

    def test_a_full_disk_of_the_leader_loses_no_change(self) -> None:
        """The leader's disk is full: a write fails while callers wait.

        It must report that the outcome is unknown, send nothing that relies on the
        failed write, and stop leading; the others must continue without it.
        """
        cluster, leader, _others = make_stable_cluster()
        commit_command(cluster, leader, b"a")
        cluster.nodes[leader].disk.full = True
        outcomes = propose_command(cluster, leader, b"b")
        run_for(cluster, STEP_SECONDS)
        group = group_of(cluster, leader)
        self.assertEqual(outcomes, [ProposalLost()])
        self.assertIn("full", group.halted)
        self.assertFalse(leads(group, cluster.now))
        new_leader = await_leader(cluster)
        commit_command(cluster, new_leader, b"c")
        self.assertEqual(propose_command(cluster, leader, b"d"), [NotLeading("")])
        cluster.nodes[leader].disk.full = False
        start_node(cluster, leader)
        run_for(cluster, 1.0)
        for name in cluster.names:
            self.assertEqual(commands(cluster, name), [b"a", b"c"])

    def test_a_full_disk_of_a_follower_acknowledges_nothing(self) -> None:
        """One follower's disk is full, and the other follower is down.

        An acknowledgement of an unsynced entry would let the leader commit a change
        that is on a single disk.
        """
        cluster, leader, (second, third) = make_stable_cluster()
        crash(cluster, third)
        cluster.nodes[second].disk.full = True
        outcomes = propose_command(cluster, leader, b"a")
        run_for(cluster, 3.0)
        self.assertEqual(outcomes, [ProposalLost()])

    def test_a_slow_sync_does_not_extend_the_lease(self) -> None:
        """One sync of the leader's disk takes seconds, and blocks the process.

        Messages queued before the sync are sent after it. They must not extend the
        lease, since the others have elected a leader meanwhile.
        """
        cluster, leader, _ = make_stable_cluster()
        group = group_of(cluster, leader)
        outcomes = propose_command(cluster, leader, b"a")
        flush_started_at = cluster.now
        cluster.nodes[leader].frozen = True
        run_for(cluster, 2.0)
        new_leader = await_leader(cluster)
        flush_group(group, flush_started_at)
        cluster.nodes[leader].frozen = False
        self.assertFalse(leads(group, cluster.now))
        for _ in range(50):
            step(cluster)
            self.assertEqual(lease_holders(cluster), [new_leader])

        self.assertEqual(outcomes, [ProposalLost()])


def is_voter_at_leader(cluster: Cluster, member: str) -> bool:
    """Return whether a lease holder's membership has ``member`` as a voter."""
    return any(
        member in group_of(cluster, name).replica.membership.voters
        for name in lease_holders(cluster)
    )


def has_leader_role(cluster: Cluster, name: str) -> bool:
    """Return whether a member is in the leader role, with or without the lease."""
    return group_of(cluster, name).replica.role is Role.LEADER


def responses_to(cluster: Cluster, leader: str) -> list[Packet]:
    """Return the followers' responses to ``leader`` that are in flight."""
    return [
        packet
        for packet in cluster.packets
        if packet.target == leader and isinstance(packet.message, AppendAnswer)
    ]


def stored_commands(cluster: Cluster, name: str) -> list[bytes]:
    """Return the data of the entries on a member's disk."""
    return [entry.data for entry in cluster.nodes[name].disk.loaded.entries]
