"""Snapshots: log compaction, and transfer to members that lag too far."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .checks import check_invariant
from .log import compact_log
from .log import entry_at
from .log import term_at
from .messages import InstallSnapshot
from .messages import SnapshotAnswer
from .records import EntryKind
from .records import Membership
from .records import Snapshot
from .replica import follow_leader
from .replica import restore_membership


if TYPE_CHECKING:
    from .log import Log
    from .records import Timing
    from .replica import Progress
    from .replica import Replica


def make_snapshot(replica: Replica, data: bytes) -> Snapshot:
    """Return a snapshot with ``data`` as the state after the applied entries."""
    index = replica.applied
    term = term_at(replica.log, index)
    check_invariant(
        term is not None, "the last applied entry is in the log", member=replica.member
    )
    membership, membership_index = membership_at(replica, index)
    return Snapshot(
        index=index,
        term=term or 0,
        membership=membership,
        membership_index=membership_index,
        data=data,
    )


def adopt_snapshot(replica: Replica, snapshot: Snapshot) -> None:
    """Adopt a snapshot with durable data; compact all but a tail of its entries."""
    log = replica.log
    replica.snapshot = snapshot
    replica.snapshot_dirty = True
    replica.snapshot_staged = True
    base = find_tail(log, snapshot.index, replica.timing)
    compact_log(log, base, term_at(log, base) or 0)


def find_tail(log: Log, index: int, timing: Timing) -> int:
    """Return the index after which the entries up to a snapshot are retained."""
    base, size = index, 0
    while base > log.base_index and index - base < timing.snapshot_tail:
        size += len(entry_at(log, base).data)
        if size > timing.snapshot_tail_bytes:
            break

        base -= 1

    return base


def membership_at(replica: Replica, index: int) -> tuple[Membership, int]:
    """Return the membership in effect after ``index``, and its entry's index."""
    if 0 < replica.membership_index <= index:
        return replica.membership, replica.membership_index

    for position in range(index, replica.log.base_index, -1):
        entry = entry_at(replica.log, position)
        if entry.kind is EntryKind.MEMBERSHIP:
            return msgspec.msgpack.decode(entry.data, type=Membership), position

    if replica.snapshot is None:
        return Membership(), 0

    return replica.snapshot.membership, replica.snapshot.membership_index


def send_snapshot(
    replica: Replica, member: str, progress: Progress, now: float
) -> None:
    """Queue the snapshot, unless one is in flight.

    A response to a later message means that the snapshot was lost, as streams keep
    the order; so a member back from a partition needn't wait for ``snapshot_retry``.
    """
    retry_at = progress.snapshot_sent_at + replica.timing.snapshot_retry
    lost = progress.acknowledged_at > progress.snapshot_sent_at
    if now < retry_at and not lost:
        return

    snapshot = replica.snapshot
    if snapshot is None:
        return

    progress.snapshot_sent_at = now
    message = InstallSnapshot(
        group=replica.group,
        sender=replica.member,
        target=member,
        term=replica.term,
        snapshot=snapshot,
        sent_at=now,
    )
    replica.outbox.append(message)


def receive_snapshot(replica: Replica, message: InstallSnapshot, now: float) -> None:
    """Install the leader's snapshot if it is ahead of the commit index; respond."""
    if message.term < replica.term:
        send_snapshot_response(replica, message, 0)
        return

    follow_leader(replica, message.sender, message.term, now)
    if message.snapshot.index > replica.commit:
        install_snapshot(replica, message.snapshot)

    send_snapshot_response(replica, message, message.snapshot.index)


def install_snapshot(replica: Replica, snapshot: Snapshot) -> None:
    """Replace state and log; keep later entries if the log matches the snapshot."""
    log = replica.log
    if term_at(log, snapshot.index) != snapshot.term:
        log.entries.clear()
        log.base_index = snapshot.index
        replica.unwritten_from = snapshot.index + 1
        replica.durable = min(replica.durable, snapshot.index)

    compact_log(log, snapshot.index, snapshot.term)
    replica.unwritten_from = max(replica.unwritten_from, snapshot.index + 1)
    replica.snapshot = snapshot
    replica.snapshot_dirty = True
    replica.snapshot_staged = False
    replica.restore_pending = True
    replica.commit = snapshot.index
    restore_membership(replica)


def send_snapshot_response(
    replica: Replica, message: InstallSnapshot, match: int
) -> None:
    """Queue the response; it is sent after the snapshot is synced."""
    response = SnapshotAnswer(
        group=replica.group,
        sender=replica.member,
        target=message.sender,
        term=replica.term,
        sent_at=message.sent_at,
        match=match,
    )
    replica.outbox.append(response)
