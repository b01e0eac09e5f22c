"""Snapshots of the state machine: when to take, how to write and restore them."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .consensus.snapshots import adopt_snapshot
from .consensus.snapshots import make_snapshot
from .storage_records import count_pieces
from .storage_records import cut_piece


if TYPE_CHECKING:
    from .consensus.records import Snapshot
    from .group_records import Group
    from .storage_records import Piece


def compact_if_due(group: Group) -> None:
    """Start a snapshot once the log since the last one is larger than it.

    This bounds the log on disk, and the time to load it at startup, to about twice the
    state, and avoids rewriting a large state after a few commands.
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
    """Activate a snapshot once all its pieces are durable."""
    if group.staged_parts < count_pieces(snapshot):
        return

    adopt_snapshot(group.replica, snapshot)
    group.staging = None


def next_piece(group: Group) -> Piece | None:
    """Return the next piece of the snapshot that is being written.

    Writing a state of 30 MB at once takes 0.4 s, in which the leader's lease would
    expire, so that each snapshot would cause a fail-over. Pieces keep flushes short.
    """
    if group.staging is None or group.staged_parts >= count_pieces(group.staging):
        return None

    return cut_piece(group.staging, group.staged_parts)


def restore_machine(group: Group) -> None:
    """Restore the machine from a received snapshot that is now durable."""
    replica = group.replica
    if not replica.restore_pending or replica.snapshot is None:
        return

    group.machine.restore(replica.snapshot.data)
    replica.applied = replica.snapshot.index
    replica.restore_pending = False
    group.bytes_since_snapshot = 0
    group.staging = None
