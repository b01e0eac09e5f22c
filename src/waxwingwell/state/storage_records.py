"""What goes to a group's storage and what comes back."""

from __future__ import annotations

import zlib
from collections.abc import Callable
from dataclasses import dataclass

from .consensus.records import Entry
from .consensus.records import HardState
from .consensus.records import Snapshot


PIECE_BYTES = 256 << 10


@dataclass(frozen=True, slots=True)
class Piece:
    """Part of the data of the snapshot at an index, written ahead of its use."""

    index: int
    part: int
    data: bytes


@dataclass(frozen=True, slots=True, kw_only=True)
class Batch:
    """What one sync makes durable; None means unchanged."""

    member: str | None = None
    hard_state: HardState | None = None
    first: int | None = None
    """Held entries from here on are replaced by ``entries``."""
    entries: tuple[Entry, ...] = ()
    piece: Piece | None = None
    snapshot: Snapshot | None = None
    staged: bool = False
    """The snapshot's pieces were all written before."""
    base_index: int = 0
    """With a snapshot: entries up to here are dropped."""
    base_term: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Loaded:
    """What a store holds; an empty ``member`` means that it was never initialised."""

    member: str = ""
    hard_state: HardState = HardState()
    snapshot: Snapshot | None = None
    base_index: int = 0
    base_term: int = 0
    entries: tuple[Entry, ...] = ()


@dataclass(frozen=True, slots=True, kw_only=True)
class Store:
    """Closures over one group's storage.

    ``write`` returns once the batch is synced, or raises ``StorageError``.
    ``load`` raises ``CorruptStorageError`` if what it finds can't be trusted.
    """

    load: Callable[[], Loaded]
    write: Callable[[Batch], None]
    close: Callable[[], None]


def count_pieces(snapshot: Snapshot) -> int:
    """Return in how many pieces a snapshot's data is stored."""
    return -(-len(snapshot.data) // PIECE_BYTES)


def cut_piece(snapshot: Snapshot, part: int) -> Piece:
    """Return one piece of a snapshot's data."""
    start = part * PIECE_BYTES
    return Piece(snapshot.index, part, snapshot.data[start : start + PIECE_BYTES])


def checksum(index: int, entry: Entry) -> int:
    """Return a checksum over all of an entry and its place."""
    head = f"{index} {entry.term} {entry.kind.value} ".encode()
    return zlib.crc32(entry.data, zlib.crc32(head))
