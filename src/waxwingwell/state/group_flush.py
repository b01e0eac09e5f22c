"""Flush of a group: one durable write, then messages, then applied entries."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from .consensus.checks import InvariantError
from .consensus.checks import check_invariant
from .consensus.log import entry_at
from .consensus.log import last_index
from .consensus.records import EntryKind
from .consensus.records import HardState
from .consensus.records import Role
from .consensus.records import name_of
from .consensus.replication import advance_commit
from .consensus.replication import replicate
from .consensus.replication import step_down_if_removed
from .exceptions import StorageError
from .group_records import Committed
from .group_records import ProposalLost
from .group_snapshots import compact_if_due
from .group_snapshots import next_piece
from .group_snapshots import restore_machine
from .storage_records import Batch


if TYPE_CHECKING:
    from collections.abc import Callable

    from .group_records import Group


ENTRY_OVERHEAD_BYTES = 64
"""Approximate bytes of a log entry in addition to its command."""


def flush_group(group: Group, now: float) -> None:
    """Make all changes since the last flush durable, then send and apply."""
    if group.halted:
        return

    replica = group.replica
    if replica.role is Role.LEADER:
        replicate(replica, now)

    if not write_changes(group):
        return

    run_checked(group, lambda: send_and_apply(group, now))


def needs_flush(group: Group) -> bool:
    """Return whether a flush would do anything."""
    replica = group.replica
    return not group.halted and (
        bool(replica.outbox)
        or replica.hard_state_dirty
        or replica.snapshot_dirty
        or group.staging is not None
        or replica.unwritten_from <= last_index(replica.log)
        or replica.applied < replica.commit
    )


def write_changes(group: Group) -> bool:
    """Write the changes to the store; on failure halt the group and return False."""
    replica = group.replica
    batch = collect_batch(group)
    if batch is None:
        return True

    try:
        group.store.write(batch)
    except StorageError as error:
        halt(group, str(error))
        return False

    group.staged_parts += batch.piece is not None
    replica.hard_state_dirty = False
    replica.snapshot_dirty = False
    replica.durable = last_index(replica.log)
    replica.unwritten_from = replica.durable + 1
    return True


def collect_batch(group: Group) -> Batch | None:
    """Return the changes that are not stored yet, or None if there are none."""
    replica = group.replica
    log = replica.log
    piece = next_piece(group)
    entries_dirty = replica.unwritten_from <= last_index(log)
    if not (
        replica.hard_state_dirty
        or replica.snapshot_dirty
        or entries_dirty
        or piece is not None
    ):
        return None

    first = replica.unwritten_from
    return Batch(
        hard_state=HardState(replica.term, replica.voted_for)
        if replica.hard_state_dirty
        else None,
        first=first if entries_dirty or replica.snapshot_dirty else None,
        entries=tuple(log.entries[first - log.base_index - 1 :]),
        piece=piece,
        snapshot=replica.snapshot if replica.snapshot_dirty else None,
        staged=replica.snapshot_staged,
        base_index=log.base_index,
        base_term=log.base_term,
    )


def halt(group: Group, reason: str) -> None:
    """Stop permanently, because the state in memory may differ from the disk.

    After a failed write or sync, for example on a full disk, no response may rely on
    the state in memory. Queued messages are discarded, the member gives up leadership,
    and the process must be restarted to load what is actually on the disk.
    """
    replica = group.replica
    group.halted = reason
    replica.outbox.clear()
    replica.role = Role.FOLLOWER
    replica.leader = ""
    replica.progress.clear()
    logger.error("consensus: group {} stopped: {}", replica.group, reason)
    fail_lost_proposals(group)


def run_checked(group: Group, step: Callable[[], None]) -> None:
    """Run a step, and halt the group if it violates an invariant."""
    try:
        step()
    except InvariantError as error:
        halt(group, str(error))
        raise

    fail_lost_proposals(group)


def fail_lost_proposals(group: Group) -> None:
    """Report ``ProposalLost`` for proposals whose commit can't be observed any more."""
    replica = group.replica
    if not group.pending:
        return

    lost = [
        index
        for index, pending in group.pending.items()
        if replica.role is not Role.LEADER or pending.term != replica.term
    ]
    for index in lost:
        group.pending.pop(index).done(ProposalLost())


def send_and_apply(group: Group, now: float) -> None:
    """Send the messages and apply the entries that are now durable."""
    replica = group.replica
    advance_commit(replica)
    outbox, replica.outbox = replica.outbox, []
    for message in outbox:
        group.send(name_of(message.target), message)

    restore_machine(group)
    apply_committed(group)
    step_down_if_removed(replica, now)
    compact_if_due(group)
    log_expulsion(group)


def apply_committed(group: Group) -> None:
    """Apply the committed, locally durable entries in order and without gaps."""
    replica = group.replica
    while replica.applied < min(replica.commit, replica.durable):
        index = replica.applied + 1
        check_invariant(
            index > replica.log.base_index,
            "entries are applied without a gap",
            member=replica.member,
        )
        apply_entry(group, index)


def apply_entry(group: Group, index: int) -> None:
    """Apply one entry and report the outcome to its proposer."""
    replica = group.replica
    entry = entry_at(replica.log, index)
    result = b""
    if entry.kind is EntryKind.COMMAND:
        result = group.machine.apply(index, entry.data)

    group.bytes_since_snapshot += len(entry.data) + ENTRY_OVERHEAD_BYTES
    replica.applied = index
    pending = group.pending.pop(index, None)
    if pending is None:
        return

    same_term = pending.term == entry.term
    pending.done(Committed(index, result) if same_term else ProposalLost())


def log_expulsion(group: Group) -> None:
    """Log once that this member was removed from the group."""
    replica = group.replica
    if not replica.expelled or group.expulsion_logged:
        return

    group.expulsion_logged = True
    logger.error(
        "consensus: {} was removed from group {}; empty its data folder to rejoin",
        replica.member,
        replica.group,
    )
