"""Records written to and loaded from a group's storage."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass

from .consensus.records import Entry
from .consensus.records import HardState
from .consensus.records import Snapshot


PIECE_BYTES = 256 << 10
"""Maximum bytes of a piece of a snapshot."""


@dataclass(frozen=True, slots=True)
class Piece:
    """Part of a snapshot's data, written before the snapshot is in use."""

    index: int
    part: int
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """Changes made durable by one sync; None means unchanged."""

    member: str | None = None
    hard_state: HardState | None = None
    first: int | None = None
    """Index from which stored entries are replaced by ``entries``."""
    entries: tuple[Entry, ...] = ()
    piece: Piece | None = None
    snapshot: Snapshot | None = None
    staged: bool = False
    """Whether all pieces of the snapshot were written before."""
    base_index: int = 0
    """With a snapshot, the index up to which entries are dropped."""
    base_term: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Loaded:
    """Contents of a store; ``member`` is empty if it was never initialised."""

    member: str = ""
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    base_index: int = 0
    base_term: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Store:
    """Functions of one group's storage.

    ``write`` returns once the batch is synced, or raises ``StorageError``. ``load``
    raises ``CorruptStorageError`` if the contents are damaged or inconsistent.
    """

    load: Callable[[], Loaded]
    write: Callable[[Batch], None]
    close: Callable[[], None]


def count_pieces(snapshot: Snapshot) -> int:
    """Return the number of pieces in which a snapshot's data is stored."""
    return -(-len(snapshot.data) // PIECE_BYTES)


def cut_piece(snapshot: Snapshot, part: int) -> Piece:
    """Return one piece of a snapshot's data."""
    start = part * PIECE_BYTES
    return Piece(snapshot.index, part, snapshot.data[start : start + PIECE_BYTES])


def checksum(index: int, entry: Entry) -> int:
    """Return a checksum of a whole entry and its index."""
    head = f"{index} {entry.term} {entry.kind.value} ".encode()
    return zlib.crc32(entry.data, zlib.crc32(head))
