"""Snapshots of the machine: when, written in which steps, and taken over."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .consensus.snapshots import make_snapshot
from .consensus.snapshots import use_snapshot
from .storage_records import count_pieces
from .storage_records import cut_piece


if TYPE_CHECKING:
    from .consensus.records import Snapshot
    from .group_records import Group
    from .storage_records import Piece


def compact_if_due(group: Group) -> None:
    """Begin a snapshot once the log since the last one outweighs it.

    So the log on the disk, and the time to read it at a start, stay below about
    twice the state, and a large state isn't written anew for a few commands.
    """
    replica = group.replica
    if group.staging is not None:
        finish_snapshot(group, group.staging)
        return

    last_size = len(replica.snapshot.data) if replica.snapshot else 0
    if group.bytes_since_snapshot < max(replica.timing.snapshot_bytes, last_size):
        return

    group.staging = make_snapshot(replica, group.machine.save())
    group.staged_parts = 0
    group.bytes_since_snapshot = 0


def finish_snapshot(group: Group, snapshot: Snapshot) -> None:
    """Take a snapshot into use once all its pieces are durable."""
    if group.staged_parts < count_pieces(snapshot):
        return

    use_snapshot(group.replica, snapshot)
    group.staging = None


def next_piece(group: Group) -> Piece | None:
    """Return the next part of the snapshot that is being written.

    Failure: a state of 30 MB takes the disk 0.4 s in one write, the leader's lease
    runs out and each snapshot costs a fail-over. In pieces a flush stays short.
    """
    if group.staging is None or group.staged_parts >= count_pieces(group.staging):
        return None

    return cut_piece(group.staging, group.staged_parts)


def restore_machine(group: Group) -> None:
    """Give a received snapshot, which is durable now, to the machine."""
    replica = group.replica
    if not replica.machine_stale or replica.snapshot is None:
        return

    group.machine.restore(replica.snapshot.data)
    replica.applied = replica.snapshot.index
    replica.machine_stale = False
    group.bytes_since_snapshot = 0
    group.staging = None
