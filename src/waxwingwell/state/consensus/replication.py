"""Replication at the leader: sending, answers, and the committed index."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from .log import last_index
from .log import last_index_of_term
from .log import read_batch
from .log import term_at
from .messages import AppendAnswer
from .messages import AppendEntries
from .messages import TimeoutNow
from .records import EntryKind
from .records import Role
from .records import quorum
from .replica import Progress
from .replica import Replica
from .replica import append_entry
from .replica import become_follower
from .replica import is_voter
from .replica import leads_term
from .replica import other_members
from .replica import set_commit
from .snapshots import send_snapshot


if TYPE_CHECKING:
    from .messages import SnapshotAnswer
    from .records import Entry


def become_leader(replica: Replica, now: float) -> None:
    """Lead the present term and open it with an entry of its own.

    Failure: an entry of an earlier term that a majority holds may still be lost.
    Only counting an entry of the leader's own term commits all before it. In a
    new group that entry holds the founding membership.
    """
    replica.role = Role.LEADER
    replica.leader = replica.member
    replica.led_at = now
    replica.heartbeat_at = now
    replica.lease_given_up = False
    replica.transfer = None
    replica.progress.clear()
    if replica.membership_index == 0:
        data = msgspec.msgpack.encode(replica.membership)
        replica.first_of_term = append_entry(replica, EntryKind.MEMBERSHIP, data)
    else:
        replica.first_of_term = append_entry(replica, EntryKind.NO_OP, b"")

    follow_members(replica)


def follow_members(replica: Replica) -> None:
    """Keep one progress for each other member."""
    members = other_members(replica)
    for member in members:
        if member not in replica.progress:
            replica.progress[member] = Progress(next_index=last_index(replica.log))

    for member in [known for known in replica.progress if known not in members]:
        del replica.progress[member]


def send_heartbeats(replica: Replica, now: float) -> None:
    """Queue a heartbeat to every other member."""
    replica.heartbeat_at = now + replica.timing.heartbeat
    for member, progress in replica.progress.items():
        send_append(replica, member, progress, now, empty=True)


def replicate(replica: Replica, now: float) -> None:
    """Queue what each member lacks, within its window."""
    follow_members(replica)
    for member, progress in replica.progress.items():
        if progress.next_index <= replica.log.base_index:
            # Before ``has_room``: a lost probe whose entries were compacted away
            # since would be waited for without end.
            send_snapshot(replica, member, progress, now)
            continue

        while has_room(replica, progress):
            send_append(replica, member, progress, now)

    hand_over(replica)


def has_room(replica: Replica, progress: Progress) -> bool:
    """Return whether another batch may be sent to a member."""
    if progress.next_index > last_index(replica.log):
        return False

    if progress.probing:
        return not progress.waiting

    sent = progress.next_index - 1 - progress.match
    return sent < replica.timing.window_entries


def send_append(
    replica: Replica,
    member: str,
    progress: Progress,
    now: float,
    *,
    empty: bool = False,
) -> None:
    """Queue one batch, or a heartbeat, and expect it to arrive.

    A lost batch shows at the next heartbeat, which names the entry before
    ``next_index``: the member lacks it and answers with where its log ends.
    """
    previous = progress.next_index - 1
    previous_term = term_at(replica.log, previous)
    if previous_term is None:
        previous, previous_term, empty = 0, 0, True

    batch = () if empty else next_batch(replica, progress)
    message = AppendEntries(
        group=replica.group,
        sender=replica.member,
        target=member,
        term=replica.term,
        previous_index=previous,
        previous_term=previous_term,
        commit=replica.commit,
        sent_at=now,
        entries=batch,
    )
    replica.outbox.append(message)
    if not batch:
        return

    progress.waiting = progress.probing
    if not progress.probing:
        progress.next_index += len(batch)


def next_batch(replica: Replica, progress: Progress) -> tuple[Entry, ...]:
    """Return the entries that a member needs next."""
    timing = replica.timing
    return read_batch(
        replica.log,
        progress.next_index,
        max_entries=timing.batch_entries,
        max_bytes=timing.batch_bytes,
    )


def receive_append_answer(replica: Replica, answer: AppendAnswer, now: float) -> None:
    """Learn how far a member is, and that it followed us when we sent."""
    progress = replica.progress.get(answer.sender)
    if not leads_term(replica, answer.term) or progress is None:
        return

    note_acknowledged(progress, answer.sent_at, now)
    if answer.success:
        note_match(replica, progress, answer.match)
        return

    go_back(replica, progress, answer)


def receive_snapshot_answer(
    replica: Replica, answer: SnapshotAnswer, now: float
) -> None:
    """Go on with the entries after a snapshot."""
    progress = replica.progress.get(answer.sender)
    if not leads_term(replica, answer.term) or progress is None:
        return

    note_acknowledged(progress, answer.sent_at, now)
    progress.snapshot_sent_at = -math.inf
    note_match(replica, progress, answer.match)


def note_acknowledged(progress: Progress, sent_at: float, now: float) -> None:
    """Let the lease count from the sending of an answered message."""
    progress.acknowledged_at = max(progress.acknowledged_at, min(sent_at, now))


def note_match(replica: Replica, progress: Progress, match: int) -> None:
    """Go on after the entries that a member holds durably."""
    if match < progress.match:
        return

    if match == 0 and progress.next_index > 1:
        # A heartbeat to a member that awaits a snapshot; it says nothing of its log.
        return

    progress.match = match
    progress.next_index = max(progress.next_index, match + 1)
    progress.probing = False
    progress.waiting = False
    advance_commit(replica)


def go_back(replica: Replica, progress: Progress, answer: AppendAnswer) -> None:
    """Send from where the logs may agree; late answers change nothing."""
    stale = answer.previous_index <= progress.match
    if progress.probing:
        stale = stale or answer.previous_index != progress.next_index - 1

    if stale:
        return

    target = answer.conflict_index
    if answer.conflict_term:
        held = last_index_of_term(
            replica.log, answer.conflict_term, before=answer.previous_index + 1
        )
        target = target if held is None else held + 1

    bounded = min(target, answer.previous_index)
    progress.next_index = max(progress.match + 1, bounded, 1)
    progress.probing = True
    progress.waiting = False


def advance_commit(replica: Replica) -> None:
    """Commit what a majority holds durably, counting entries of our term only."""
    if replica.role is not Role.LEADER:
        return

    voters = replica.membership.voters
    held = [durable_index(replica, voter) for voter in voters]
    held.sort(reverse=True)
    index = held[quorum(voters) - 1]
    if index <= replica.commit or term_at(replica.log, index) != replica.term:
        return

    set_commit(replica, index)


def durable_index(replica: Replica, voter: str) -> int:
    """Return up to where a voter is known to hold the log durably."""
    if voter == replica.member:
        return replica.durable

    progress = replica.progress.get(voter)
    return progress.match if progress else 0


def leave_if_removed(replica: Replica, now: float) -> None:
    """Step down once our own removal is committed."""
    if replica.role is not Role.LEADER or is_voter(replica):
        return

    if replica.commit >= replica.membership_index:
        become_follower(replica, replica.term, "", now)


def hand_over(replica: Replica) -> None:
    """Let the target of a transfer stand, once it holds our whole log.

    Failure: the message may arrive late, when our lease is back; two leaders
    would hold one. So the lease is given up for the rest of the term first.

    Failure: the target holds a command before a majority does, stands, and ends our
    term: its proposer hears that it was lost, and it is carried out. No more are taken
    during a transfer, so all are committed soon if a majority answers.
    """
    transfer = replica.transfer
    if transfer is None or transfer.sent:
        return

    last = last_index(replica.log)
    progress = replica.progress.get(transfer.target)
    if progress is None or progress.match < last or replica.commit < last:
        return

    transfer.sent = True
    replica.lease_given_up = True
    message = TimeoutNow(
        group=replica.group,
        sender=replica.member,
        target=transfer.target,
        term=replica.term,
    )
    replica.outbox.append(message)
