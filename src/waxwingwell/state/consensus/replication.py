"""Log replication at the leader: batches, responses, and the commit index."""

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
    """Become leader of the current term and append its first entry.

    An entry of an earlier term may still be lost although a majority holds it. It is
    committed only once a majority holds a later entry of the leader's own term. In a
    new group that entry holds the initial membership.
    """
    replica.role = Role.LEADER
    replica.leader = replica.member
    replica.elected_at = now
    replica.heartbeat_at = now
    replica.lease_released = False
    replica.transfer = None
    replica.progress.clear()
    if replica.membership_index == 0:
        data = msgspec.msgpack.encode(replica.membership)
        replica.term_start_index = append_entry(replica, EntryKind.MEMBERSHIP, data)
    else:
        replica.term_start_index = append_entry(replica, EntryKind.NO_OP, b"")

    track_members(replica)


def track_members(replica: Replica) -> None:
    """Keep one ``Progress`` per other member of the current membership."""
    members = other_members(replica)
    for member in members:
        if member not in replica.progress:
            replica.progress[member] = Progress(next_index=last_index(replica.log))

    for member in [tracked for tracked in replica.progress if tracked not in members]:
        del replica.progress[member]


def send_heartbeats(replica: Replica, now: float) -> None:
    """Queue a heartbeat to every other member."""
    replica.heartbeat_at = now + replica.timing.heartbeat
    for member, progress in replica.progress.items():
        send_append(replica, member, progress, now, empty=True)


def replicate(replica: Replica, now: float) -> None:
    """Queue the entries or snapshot that each member lacks, within its window."""
    track_members(replica)
    for member, progress in replica.progress.items():
        if progress.next_index <= replica.log.base_index:
            # Checked before ``can_send_batch``, which would wait forever for the
            # response to a lost probing batch whose entries are compacted away.
            send_snapshot(replica, member, progress, now)
            continue

        while can_send_batch(replica, progress):
            send_append(replica, member, progress, now)

    send_timeout_now(replica)


def can_send_batch(replica: Replica, progress: Progress) -> bool:
    """Return whether another batch may be sent to a member now."""
    if progress.next_index > last_index(replica.log):
        return False

    if progress.probing:
        return not progress.awaiting_response

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
    """Queue one batch or heartbeat, and advance ``next_index`` optimistically.

    A lost batch is detected at the next heartbeat, which names the entry before
    ``next_index``: the member lacks it and responds with the end of its log.
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

    progress.awaiting_response = progress.probing
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


def receive_append_response(
    replica: Replica, response: AppendAnswer, now: float
) -> None:
    """Record a member's match index, and that it followed us at the send time."""
    progress = replica.progress.get(response.sender)
    if not leads_term(replica, response.term) or progress is None:
        return

    record_acknowledgement(progress, response.sent_at, now)
    if response.success:
        record_match(replica, progress, response.match)
        return

    rewind_next_index(replica, progress, response)


def receive_snapshot_response(
    replica: Replica, response: SnapshotAnswer, now: float
) -> None:
    """Record an installed snapshot and continue with the entries after it."""
    progress = replica.progress.get(response.sender)
    if not leads_term(replica, response.term) or progress is None:
        return

    record_acknowledgement(progress, response.sent_at, now)
    progress.snapshot_sent_at = -math.inf
    record_match(replica, progress, response.match)


def record_acknowledgement(progress: Progress, sent_at: float, now: float) -> None:
    """Record the send time of an acknowledged message, which extends the lease."""
    progress.acknowledged_at = max(progress.acknowledged_at, min(sent_at, now))


def record_match(replica: Replica, progress: Progress, match: int) -> None:
    """Record up to where a member holds the log durably; advance the commit index."""
    if match < progress.match:
        return

    if match == 0 and progress.next_index > 1:
        # A member that awaits a snapshot responded to a heartbeat; its log is unknown.
        return

    progress.match = match
    progress.next_index = max(progress.next_index, match + 1)
    progress.probing = False
    progress.awaiting_response = False
    advance_commit(replica)


def rewind_next_index(
    replica: Replica, progress: Progress, response: AppendAnswer
) -> None:
    """Move ``next_index`` back to where logs may match; ignore late responses."""
    stale = response.previous_index <= progress.match
    if progress.probing:
        stale = stale or response.previous_index != progress.next_index - 1

    if stale:
        return

    target = response.conflict_index
    if response.conflict_term:
        held = last_index_of_term(
            replica.log, response.conflict_term, before=response.previous_index + 1
        )
        target = target if held is None else held + 1

    bounded = min(target, response.previous_index)
    progress.next_index = max(progress.match + 1, bounded, 1)
    progress.probing = True
    progress.awaiting_response = False


def advance_commit(replica: Replica) -> None:
    """Commit what a majority holds durably, if it is of the leader's own term."""
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
    """Return the last index that a voter is known to hold durably."""
    if voter == replica.member:
        return replica.durable

    progress = replica.progress.get(voter)
    return progress.match if progress else 0


def step_down_if_removed(replica: Replica, now: float) -> None:
    """Step down once this member's own removal is committed."""
    if replica.role is not Role.LEADER or is_voter(replica):
        return

    if replica.commit >= replica.membership_index:
        become_follower(replica, replica.term, "", now)


def send_timeout_now(replica: Replica) -> None:
    """Let the target of a transfer start an election, once it holds the whole log.

    The message may arrive late. If the lease were regained by then, two leaders could
    hold one, so the lease is released for the rest of the term first.

    The whole log must be committed, too. If the target held a command before a
    majority did, its election would end the term: the proposer would be notified that
    the command was lost, although it is then applied. No proposals are accepted during
    a transfer, so all are committed soon if a majority responds.
    """
    transfer = replica.transfer
    if transfer is None or transfer.sent:
        return

    last = last_index(replica.log)
    progress = replica.progress.get(transfer.target)
    if progress is None or progress.match < last or replica.commit < last:
        return

    transfer.sent = True
    replica.lease_released = True
    message = TimeoutNow(
        group=replica.group,
        sender=replica.member,
        target=transfer.target,
        term=replica.term,
    )
    replica.outbox.append(message)
