"""Named failures of members, disks and links."""

from __future__ import annotations

import unittest

from tests.state.consensus.fakes import STEP
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
from tests.state.consensus.fakes import put
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


def make_settled(size: int = 3) -> tuple[Cluster, str, list[str]]:
    """Return a cluster whose members all vote, its leader, and the others."""
    cluster = make_cluster(size)
    await_voters(cluster)
    run_for(cluster, 0.5)
    leader = await_leader(cluster)
    return cluster, leader, [name for name in cluster.names if name != leader]


def accept(cluster: Cluster, name: str, command: bytes) -> None:
    """Put a command and run until it is accepted."""
    outcomes = put(cluster, name, command)
    run_until(cluster, lambda: bool(outcomes))
    assert isinstance(outcomes[0], Committed), outcomes


class LostDiskTest(unittest.TestCase):
    """Disks that are emptied, together with other losses."""

    def test_a_lost_disk_gives_no_vote_under_its_former_id(self) -> None:
        """A change is accepted by two of three members, then one loses its disk.

        It comes back empty while the other is cut off. With its former vote, it and
        the third member, which missed the change, would elect a leader without the
        change, and an accepted configuration would revert.
        """
        cluster, leader, (second, third) = make_settled()
        partition(cluster, (leader, second), (third,))
        accept(cluster, leader, b"change")
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

    def test_an_emptied_member_returns_as_voter_under_a_fresh_id(self) -> None:
        """A VM's disk is replaced and its process started on the empty folder.

        Operators see it come back without doing anything: it joins as a learner,
        its former id is removed, and it votes.
        """
        cluster, leader, (second, _) = make_settled()
        accept(cluster, leader, b"a")
        former = group_of(cluster, second).replica.member
        lose_disk(cluster, second)
        accept(cluster, leader, b"b")
        start_node(cluster, second)
        await_voters(cluster)
        group = group_of(cluster, second)
        self.assertNotEqual(group.replica.member, former)
        membership = group_of(cluster, leader).replica.membership
        self.assertIn(former, membership.removed)
        self.assertEqual(len(membership.voters), 3)
        self.assertEqual(commands(cluster, second), [b"a", b"b"])

    def test_an_emptied_member_votes_only_with_all_but_a_batch_of_the_log(self) -> None:
        """A VM comes back empty while the group holds hundreds of changes.

        If it voted at once, the next loss would stop progress until it has caught
        up, and a majority of nearly empty disks would be one loss away.
        """
        cluster, leader, (second, _) = make_settled()
        for number in range(300):
            put(cluster, leader, b"%d" % number)

        run_for(cluster, 1.0)
        cluster.far[second] = 0.2
        lose_disk(cluster, second)
        start_node(cluster, second)
        member = group_of(cluster, second).replica.member
        run_until(cluster, lambda: votes_somewhere(cluster, member))
        batch = cluster.timing.batch_entries
        self.assertGreaterEqual(len(commands(cluster, second)), 300 - batch)

    def test_a_far_member_returns_while_writes_go_on(self) -> None:
        """A VM in the farthest data centre comes back empty under steady load.

        The group commits without it, so that it is always some entries behind; it
        must vote all the same, or one more loss stops the group.
        """
        cluster, leader, (second, _) = make_settled()
        cluster.far[second] = 0.015
        lose_disk(cluster, second)
        start_node(cluster, second)
        member = group_of(cluster, second).replica.member
        for number in range(600):
            put(cluster, leader, b"%d" % number)
            step(cluster, 0.005)

        self.assertTrue(votes_somewhere(cluster, member))

    def test_a_late_request_to_join_brings_no_lost_disk_back(self) -> None:
        """A replaced disk is lost again; its first request to join arrives late.

        Taken in, an id that nobody has would stand among the members, and would put
        out the one that its VM joined with since.
        """
        cluster, leader, (second, _) = make_settled()
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

    def test_a_member_left_behind_learns_the_members_by_snapshot(self) -> None:
        """A VM is cut off while another's disk is replaced and the log compacted.

        The entry that changed the members is gone when it is back. With the former
        members it would ask a dead id for its vote, and count it in its majority.
        """
        cluster, leader, (second, third, *rest) = make_settled(5)
        lose_disk(cluster, second)
        start_node(cluster, second)
        member = group_of(cluster, second).replica.member
        replica = group_of(cluster, leader).replica
        run_until(cluster, lambda: member in replica.membership.learners)
        partition(cluster, (third,), (leader, second, *rest))
        run_until(cluster, lambda: member in replica.membership.voters)
        for number in range(300):
            put(cluster, leader, b"%d" % number)

        run_for(cluster, 1.0)
        self.assertNotEqual(
            group_of(cluster, third).replica.membership, replica.membership
        )
        heal(cluster)
        run_for(cluster, 2.0)
        wanted = replica.membership
        self.assertEqual(group_of(cluster, third).replica.membership, wanted)

    def test_a_second_disk_is_lost_right_after_a_repair(self) -> None:
        """One disk is lost and repaired; at once another VM loses its own.

        Callers see a fail-over at most: the repaired member votes, so that it and
        the one that never failed go on, and nothing accepted is lost.
        """
        cluster, leader, (second, third) = make_settled()
        for lost in (second, third, leader):
            accept(cluster, await_leader(cluster), b"before " + lost.encode())
            lose_disk(cluster, lost)
            run_for(cluster, 0.1)
            start_node(cluster, lost)
            await_voters(cluster)

        run_for(cluster, 0.5)
        wanted = [b"before " + name.encode() for name in (second, third, leader)]
        for name in cluster.names:
            self.assertEqual(commands(cluster, name), wanted)

    def test_a_second_member_fails_amid_a_repair(self) -> None:
        """One disk is lost; before its member has caught up, another VM stops.

        Progress stops, as two of three were lost, and nothing is accepted by the
        one that is left. Once the stopped VM is back, with its disk, all goes on.
        """
        cluster, leader, (second, third) = make_settled()
        accept(cluster, leader, b"a")
        lose_disk(cluster, second)
        crash(cluster, third)
        start_node(cluster, second)
        outcomes = put(cluster, leader, b"b")
        run_for(cluster, 5.0)
        self.assertEqual(outcomes, [ProposalLost()])
        self.assertEqual(lease_holders(cluster), [])
        start_node(cluster, third)
        await_voters(cluster)
        run_for(cluster, 0.5)
        for name in cluster.names:
            self.assertEqual(commands(cluster, name)[:1], [b"a"])

    def test_an_emptied_founder_founds_no_second_group(self) -> None:
        """The first VM's disk is lost, and its settings still say ``bootstrap``.

        It starts while the others can't be reached. If it founded a group of its
        own it would answer operators with an empty configuration.
        """
        cluster, leader, _ = make_settled()
        accept(cluster, leader, b"a")
        founder = cluster.names[0]
        lose_disk(cluster, founder)
        partition(cluster, (founder,), cluster.names[1:])
        start_node(cluster, founder)
        run_for(cluster, 5.0)
        self.assertEqual(group_of(cluster, founder).replica.membership.voters, ())
        self.assertNotIn(founder, lease_holders(cluster))
        heal(cluster)
        await_voters(cluster)
        run_for(cluster, 0.5)
        self.assertEqual(commands(cluster, founder), [b"a"])

    def test_a_founder_that_was_told_of_a_group_joins_it(self) -> None:
        """The first VM's disk is lost while the group has no leader.

        One of the others answers that it belongs to a group, one is down. Nobody may
        be asked to found anew.
        """
        cluster, leader, _ = make_settled()
        accept(cluster, leader, b"a")
        founder, second, third = cluster.names
        lose_disk(cluster, founder)
        crash(cluster, third)
        start_node(cluster, founder)
        run_for(cluster, 2.0)
        lose_disk(cluster, third)
        start_node(cluster, third)
        run_for(cluster, 5.0)
        self.assertEqual(lease_holders(cluster), [])
        self.assertEqual(commands(cluster, founder), [])
        self.assertIn(b"a", held(cluster, second))

    def test_a_learner_forgotten_by_the_next_leader_asks_again(self) -> None:
        """A replaced disk's member is taken in, and the leader dies at once.

        Its successor never heard of the learner. Without asking again the VM would
        stay out for ever while its process looks healthy.
        """
        cluster, leader, (second, *rest) = make_settled(5)
        lose_disk(cluster, second)
        run_for(cluster, 0.1)
        partition(cluster, (leader, second), tuple(rest))
        start_node(cluster, second)
        group = group_of(cluster, second)
        run_until(cluster, lambda: bool(group.replica.log.entries))
        crash(cluster, leader)
        heal(cluster)
        member = group.replica.member
        run_until(cluster, lambda: votes_somewhere(cluster, member))


class LeaderTest(unittest.TestCase):
    """Leaders that are cut off, frozen, stopped or handed over."""

    def test_a_leader_cut_off_stops_leading_before_another_starts(self) -> None:
        """The leader's VM sits on the far side of a partition and believes on.

        Orders to engines from two leaders would fight. Its lease ends before the
        others may vote; later it takes no proposals, and those it took are lost.
        """
        cluster, leader, others = make_settled()
        old = group_of(cluster, leader)
        partition(cluster, (leader,), tuple(others))
        cut_at = cluster.now
        outcomes = put(cluster, leader, b"lost")
        run_until(cluster, lambda: not leads(old, cluster.now))
        self.assertLess(cluster.now - cut_at, cluster.timing.election_min)
        self.assertEqual(lease_holders(cluster), [])
        fresh = await_leader(cluster)
        self.assertGreaterEqual(
            cluster.now - cut_at, cluster.timing.election_min - cluster.timing.heartbeat
        )
        run_for(cluster, 1.0)
        self.assertEqual(outcomes, [ProposalLost()])
        self.assertEqual(put(cluster, leader, b"refused"), [NotLeading("")])
        accept(cluster, fresh, b"kept")
        heal(cluster)
        run_for(cluster, 1.0)
        for name in cluster.names:
            self.assertEqual(commands(cluster, name), [b"kept"])

    def test_a_frozen_leader_knows_when_it_wakes(self) -> None:
        """The leader's process is stopped for long and goes on where it was.

        Before it has read any message it would still act as leader; the clock alone
        must tell it that its lease is over, and its fencing number is the lower.
        """
        cluster, leader, _ = make_settled()
        old = group_of(cluster, leader)
        cluster.nodes[leader].frozen = True
        run_for(cluster, cluster.timing.election_min)
        fresh = await_leader(cluster)
        cluster.nodes[leader].frozen = False
        self.assertFalse(leads(old, cluster.now))
        self.assertLess(term_of(old), term_of(group_of(cluster, fresh)))
        run_for(cluster, 1.0)
        self.assertIs(old.replica.role, Role.FOLLOWER)

    def test_a_member_back_from_a_partition_unseats_nobody(self) -> None:
        """A VM was cut off for long and its timer ran out many times.

        Callers would see a fail-over when it is back, if its term had grown.
        """
        cluster, leader, (second, third) = make_settled()
        term = term_of(group_of(cluster, leader))
        partition(cluster, (leader, third), (second,))
        run_for(cluster, 20.0)
        heal(cluster)
        run_for(cluster, 2.0)
        self.assertEqual(lease_holders(cluster), [leader])
        self.assertEqual(term_of(group_of(cluster, leader)), term)

    def test_a_member_that_hears_nobody_unseats_nobody(self) -> None:
        """Messages to one VM vanish, while its own still reach the others.

        It can't hear the leader and asks for votes for ever. The others, who hear
        the leader, must not follow it into an election.
        """
        cluster, leader, (second, third) = make_settled()
        term = term_of(group_of(cluster, leader))
        cluster.cut.update({(leader, second), (third, second)})
        run_for(cluster, 10.0)
        self.assertEqual(lease_holders(cluster), [leader])
        self.assertEqual(term_of(group_of(cluster, leader)), term)

    def test_a_leader_that_hears_nobody_gives_way(self) -> None:
        """Messages to the leader vanish, while its heartbeats still arrive.

        Followers are content and nothing commits: callers wait for ever unless the
        leader notices that no majority answers it.
        """
        cluster, leader, others = make_settled()
        cluster.cut.update((name, leader) for name in others)
        run_until(
            cluster, lambda: any(name in others for name in lease_holders(cluster))
        )

    def test_a_restarted_member_keeps_the_promise_it_forgot(self) -> None:
        """A follower answers a heartbeat, restarts at once, and is asked for a vote.

        If it voted, a second leader would hold a lease while the first, paused by
        then, still holds its own.
        """
        for name, loading in (("at once", None), ("after loading its code", 0.1)):
            with self.subTest(name):
                cluster, leader, (second, third) = make_settled()
                partition(cluster, (leader,), (second, third))
                crash(cluster, second)
                began_at = cluster.now
                if loading is not None:
                    run_for(cluster, loading)

                start_node(cluster, second, began_at)
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

    def test_members_that_know_when_they_began_lead_sooner(self) -> None:
        """All processes are killed; each needs longer to load than a lease lasts.

        They would wait the lease out once more, and callers with them.
        """
        cluster, _, _ = make_settled(5)
        for name in cluster.names:
            crash(cluster, name)

        cluster.packets.clear()
        began_at = cluster.now
        run_for(cluster, cluster.timing.election_max)
        for name in cluster.names:
            start_node(cluster, name, began_at)

        opened_at = cluster.now
        await_leader(cluster)
        self.assertLess(cluster.now - opened_at, cluster.timing.election_min)

    def test_a_late_hand_over_makes_no_second_leader(self) -> None:
        """A planned stop hands leadership over, but the message is late.

        The old leader must not take its lease up again meanwhile: the message may
        still arrive and the others vote within the lease.
        """
        cluster, leader, (second, third) = make_settled()
        old = group_of(cluster, leader)
        self.assertTrue(transfer_leadership(old, second, cluster.now))
        partition(cluster, (leader, third), (second,))
        run_for(cluster, cluster.timing.election_max / 2)
        self.assertFalse(leads(old, cluster.now))
        self.assertEqual(put(cluster, leader, b"a"), [NotLeading(second)])
        run_for(cluster, cluster.timing.election_max)
        heal(cluster)
        self.assertGreater(term_of(group_of(cluster, await_leader(cluster))), 1)

    def test_a_hand_over_leaves_no_order_unanswered(self) -> None:
        """A leader is stopped as planned while an order is on its way to the others.

        The one that is to lead has it first, a majority a moment later. Told to stand
        before that, it ends the old leader's term, and the operator hears that nobody
        knows what became of an order that is then carried out.
        """
        cluster, leader, (second, *others) = make_settled(5)
        cluster.far.update(dict.fromkeys(others, 5 * STEP))
        outcomes = put(cluster, leader, b"a")
        old = group_of(cluster, leader)
        self.assertTrue(transfer_leadership(old, second, cluster.now))
        run_until(cluster, lambda: bool(outcomes))
        self.assertEqual([type(one) for one in outcomes], [Committed])
        run_until(cluster, lambda: lease_holders(cluster) == [second])
        self.assertEqual(commands(cluster, second), [b"a"])

    def test_the_lease_counts_from_the_sending(self) -> None:
        """The followers' answers are late, and the leader is cut off meanwhile.

        The followers' promise runs from when they heard the leader. Counting from
        the late answer, the leader would act on after another was elected.
        """
        cluster, leader, others = make_settled()
        group = group_of(cluster, leader)
        cluster.delay = (2 * STEP, 2 * STEP)
        run_until(cluster, lambda: bool(answers_to(cluster, leader)))
        late = answers_to(cluster, leader)
        partition(cluster, (leader,), tuple(others))
        run_for(cluster, cluster.timing.election_min)
        for packet in late:
            receive_message(group, packet.sender, packet.message, cluster.now)

        self.assertFalse(leads(group, cluster.now))

    def test_an_entry_of_a_former_term_is_not_committed_by_count(self) -> None:
        """A change reaches a majority only under the next leader.

        A member with a later term's entry could still win and overwrite it, so that
        it may count as accepted only with an entry of the leader's own term.
        """
        cluster, leader, _others = make_settled()
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

    def test_a_removed_member_is_told_and_stops(self) -> None:
        """An operator removes a member whose process is down; it starts again.

        It must neither vote nor ask for votes, and say in its log what to do.
        """
        cluster, leader, (second, _) = make_settled()
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
        said: list[object] = []
        group_of(cluster, second).send = lambda target, message: said.append(message)
        run_for(cluster, 3.0)
        self.assertEqual(said, [])

    def test_a_member_of_a_new_name_joins_once_it_is_allowed(self) -> None:
        """Operators add a VM; its process starts before they told the group.

        It must wait outside, as anyone with an address could ask, and then vote.
        """
        cluster, leader, _ = make_settled()
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

    def test_a_removed_member_that_runs_stays_out(self) -> None:
        """An operator removes a member that is running and healthy.

        It must not ask its way back in, as an emptied one does.
        """
        cluster, leader, (second, _) = make_settled()
        group = group_of(cluster, leader)
        former = group_of(cluster, second).replica.member
        remove_member(group, former, lambda outcome: None, cluster.now)
        run_for(cluster, 5.0)
        self.assertTrue(group_of(cluster, second).replica.expelled)
        self.assertNotIn(former, group.replica.membership.voters)
        self.assertNotIn(former, group.replica.membership.learners)

    def test_a_new_leader_changes_no_members_before_its_own_entry(self) -> None:
        """An operator removes a member just as leadership changes.

        A change begun before the term's first entry is committed may meet one of the
        former leader's, and two majorities without a common member decide apart.
        """
        cluster, leader, others = make_settled()
        crash(cluster, leader)
        cluster.delay = (2 * STEP, 2 * STEP)
        run_until(cluster, lambda: any(elected(cluster, name) for name in others))
        fresh = next(name for name in others if elected(cluster, name))
        group = group_of(cluster, fresh)
        self.assertLess(group.replica.commit, group.replica.first_of_term)
        outcomes: list[object] = []
        member = group_of(cluster, others[0]).replica.member
        remove_member(group, member, outcomes.append, cluster.now)
        self.assertEqual(outcomes, [NotLeading(fresh)])


class StorageFailureTest(unittest.TestCase):
    """Disks that refuse."""

    def test_a_full_disk_of_the_leader_loses_no_change(self) -> None:
        """The leader's disk is full: a write fails while callers wait.

        It must answer that the outcome is unknown, send nothing that rests on the
        failed write, and give way; the others go on without it.
        """
        cluster, leader, _others = make_settled()
        accept(cluster, leader, b"a")
        cluster.nodes[leader].disk.full = True
        outcomes = put(cluster, leader, b"b")
        run_for(cluster, STEP)
        group = group_of(cluster, leader)
        self.assertEqual(outcomes, [ProposalLost()])
        self.assertIn("full", group.halted)
        self.assertFalse(leads(group, cluster.now))
        fresh = await_leader(cluster)
        accept(cluster, fresh, b"c")
        self.assertEqual(put(cluster, leader, b"d"), [NotLeading("")])
        cluster.nodes[leader].disk.full = False
        start_node(cluster, leader)
        run_for(cluster, 1.0)
        for name in cluster.names:
            self.assertEqual(commands(cluster, name), [b"a", b"c"])

    def test_a_full_disk_of_a_follower_acknowledges_nothing(self) -> None:
        """A follower's disk is full, the other follower is down.

        An acknowledgement from memory would let the leader accept a change that one
        disk alone holds.
        """
        cluster, leader, (second, third) = make_settled()
        crash(cluster, third)
        cluster.nodes[second].disk.full = True
        outcomes = put(cluster, leader, b"a")
        run_for(cluster, 3.0)
        self.assertEqual(outcomes, [ProposalLost()])

    def test_a_slow_sync_is_no_longer_lease(self) -> None:
        """The leader's disk takes seconds for one sync; the process waits for it.

        What it sends afterwards was due before. The lease must not count from then,
        since the others have elected a leader meanwhile.
        """
        cluster, leader, _ = make_settled()
        group = group_of(cluster, leader)
        outcomes = put(cluster, leader, b"a")
        began = cluster.now
        cluster.nodes[leader].frozen = True
        run_for(cluster, 2.0)
        fresh = await_leader(cluster)
        flush_group(group, began)
        cluster.nodes[leader].frozen = False
        self.assertFalse(leads(group, cluster.now))
        for _ in range(50):
            step(cluster)
            self.assertEqual(lease_holders(cluster), [fresh])

        self.assertEqual(outcomes, [ProposalLost()])


def votes_somewhere(cluster: Cluster, member: str) -> bool:
    """Return whether a leader counts ``member`` among the voters."""
    return any(
        member in group_of(cluster, name).replica.membership.voters
        for name in lease_holders(cluster)
    )


def elected(cluster: Cluster, name: str) -> bool:
    """Return whether a member leads a term, with or without the lease."""
    return group_of(cluster, name).replica.role is Role.LEADER


def answers_to(cluster: Cluster, leader: str) -> list[Packet]:
    """Return the followers' answers that are on their way."""
    return [
        packet
        for packet in cluster.packets
        if packet.target == leader and isinstance(packet.message, AppendAnswer)
    ]


def held(cluster: Cluster, name: str) -> list[bytes]:
    """Return what the entries on a member's disk hold."""
    return [entry.data for entry in cluster.nodes[name].disk.loaded.entries]
