"""Durable storage of one group in one SQLite file under the data folder.

A batch is one transaction with ``synchronous=FULL``: whole and synced, or not at
all. The lock is exclusive: a second process on the folder is turned away, and
SQLite then keeps the index of its write-ahead log in plain memory.
"""

from __future__ import annotations

import os
import re
import sqlite3
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec

from .consensus.records import Entry
from .consensus.records import EntryKind
from .consensus.records import HardState
from .consensus.records import Snapshot
from .exceptions import CorruptStorageError
from .exceptions import StorageError


if TYPE_CHECKING:
    from pathlib import Path


GROUP_ID = re.compile(r"[a-z0-9][a-z0-9-]*")
BUSY_SECONDS = 0.2
"""How long to wait for a former process of the same member to let go."""
PIECE_BYTES = 256 << 10
PIECES_DROPPED = 3
SCHEMA = """
CREATE TABLE IF NOT EXISTS marker (
    id INTEGER PRIMARY KEY CHECK (id = 1),
    member TEXT NOT NULL
);
CREATE TABLE IF NOT EXISTS hard_state (
    id INTEGER PRIMARY KEY CHECK (id = 1),
    term INTEGER NOT NULL,
    voted_for TEXT NOT NULL
);
CREATE TABLE IF NOT EXISTS base (
    id INTEGER PRIMARY KEY CHECK (id = 1),
    place INTEGER NOT NULL,
    term INTEGER NOT NULL
);
CREATE TABLE IF NOT EXISTS snapshot (
    id INTEGER PRIMARY KEY CHECK (id = 1),
    place INTEGER NOT NULL,
    parts INTEGER NOT NULL,
    header BLOB NOT NULL,
    checksum INTEGER NOT NULL
);
CREATE TABLE IF NOT EXISTS piece (
    place INTEGER NOT NULL,
    part INTEGER NOT NULL,
    data BLOB NOT NULL,
    checksum INTEGER NOT NULL,
    PRIMARY KEY (place, part)
);
CREATE TABLE IF NOT EXISTS entry (
    place INTEGER PRIMARY KEY,
    term INTEGER NOT NULL,
    kind TEXT NOT NULL,
    data BLOB NOT NULL,
    checksum INTEGER NOT NULL
);
"""


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


def open_store(folder: Path, group_id: str) -> Store:
    """Open or create a group's file; raise ``StorageError`` if that can't be."""
    if not GROUP_ID.fullmatch(group_id):
        raise StorageError(f"group id {group_id!r} can't name a file")

    path = folder / f"{group_id}.sqlite"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        database = connect(path)
        sync_folder(folder)
        sync_folder(folder.parent)
    except sqlite3.DatabaseError as error:
        raise describe(error, path) from error
    except OSError as error:
        raise StorageError(f"{path}: {error}") from error

    return Store(
        load=lambda: load_all(database, path),
        write=lambda batch: write_batch(database, batch, path),
        close=database.close,
    )


def describe(error: sqlite3.Error, path: Path) -> StorageError | CorruptStorageError:
    """Return our error for SQLite's: corrupt if the file is, else failed."""
    if isinstance(error, sqlite3.OperationalError):
        return StorageError(f"{path}: {error}")

    return CorruptStorageError(f"{path}: {error}")


def connect(path: Path) -> sqlite3.Connection:
    """Open the file with the settings that make a commit durable."""
    database = sqlite3.connect(
        path,
        timeout=BUSY_SECONDS,
        isolation_level=None,
        check_same_thread=False,
    )
    database.execute("PRAGMA locking_mode=EXCLUSIVE")
    database.execute("PRAGMA journal_mode=WAL")
    database.execute("PRAGMA synchronous=FULL")
    database.executescript(f"BEGIN IMMEDIATE; {SCHEMA} COMMIT;")
    return database


def sync_folder(folder: Path) -> None:
    """Make new names in a folder durable.

    Failure: a file that was synced is gone after a power loss, since its folder
    was not; a member would start as if it had never promised anything.
    """
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_batch(database: sqlite3.Connection, batch: Batch, path: Path) -> None:
    """Write a batch as one transaction; it is synced when this returns."""
    try:
        database.execute("BEGIN IMMEDIATE")
        write_state(database, batch)
        write_entries(database, batch)
        database.execute("COMMIT")
    except sqlite3.Error as error:
        if database.in_transaction:
            database.execute("ROLLBACK")

        raise StorageError(f"{path}: {error}") from error


def write_state(database: sqlite3.Connection, batch: Batch) -> None:
    """Write the small rows of a batch, and its snapshot."""
    if batch.member is not None:
        database.execute("INSERT INTO marker VALUES (1, ?)", (batch.member,))

    if batch.hard_state is not None:
        state = batch.hard_state
        row = (state.term, state.voted_for)
        database.execute("REPLACE INTO hard_state VALUES (1, ?, ?)", row)

    if batch.piece is not None:
        write_piece(database, batch.piece)
        drop_old_pieces(database)

    if batch.snapshot is None:
        return

    write_snapshot(database, batch.snapshot, staged=batch.staged)
    base = (batch.base_index, batch.base_term)
    database.execute("REPLACE INTO base VALUES (1, ?, ?)", base)
    database.execute("DELETE FROM entry WHERE place <= ?", (batch.base_index,))


def count_pieces(snapshot: Snapshot) -> int:
    """Return in how many pieces a snapshot's data is stored."""
    return -(-len(snapshot.data) // PIECE_BYTES)


def cut_piece(snapshot: Snapshot, part: int) -> Piece:
    """Return one piece of a snapshot's data."""
    start = part * PIECE_BYTES
    return Piece(snapshot.index, part, snapshot.data[start : start + PIECE_BYTES])


def write_piece(database: sqlite3.Connection, piece: Piece) -> None:
    """Write one piece; a former try at the same snapshot may have left one."""
    row = (piece.index, piece.part, piece.data, zlib.crc32(piece.data))
    database.execute("REPLACE INTO piece VALUES (?, ?, ?, ?)", row)


def drop_old_pieces(database: sqlite3.Connection) -> None:
    """Drop a few pieces that no snapshot uses; all at once would take long."""
    database.execute(
        "DELETE FROM piece WHERE rowid IN (SELECT rowid FROM piece WHERE place <"
        " (SELECT place FROM snapshot) LIMIT ?)",
        (PIECES_DROPPED,),
    )


def write_snapshot(
    database: sqlite3.Connection, snapshot: Snapshot, *, staged: bool
) -> None:
    """Put a snapshot into use; its pieces are written here unless they are staged."""
    parts = count_pieces(snapshot)
    if not staged:
        for part in range(parts):
            write_piece(database, cut_piece(snapshot, part))

    header = msgspec.msgpack.encode(msgspec.structs.replace(snapshot, data=b""))
    row = (snapshot.index, parts, header, zlib.crc32(header))
    database.execute("REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?)", row)


def write_entries(database: sqlite3.Connection, batch: Batch) -> None:
    """Replace the end of the log."""
    if batch.first is None:
        return

    database.execute("DELETE FROM entry WHERE place >= ?", (batch.first,))
    rows = [
        (place, entry.term, entry.kind.value, entry.data, checksum(place, entry))
        for place, entry in enumerate(batch.entries, start=batch.first)
    ]
    database.executemany("INSERT INTO entry VALUES (?, ?, ?, ?, ?)", rows)


def checksum(place: int, entry: Entry) -> int:
    """Return a checksum over all of an entry and its place."""
    head = f"{place} {entry.term} {entry.kind.value} ".encode()
    return zlib.crc32(entry.data, zlib.crc32(head))


def load_all(database: sqlite3.Connection, path: Path) -> Loaded:
    """Read a store and check it."""
    try:
        return read_tables(database, path)
    except sqlite3.DatabaseError as error:
        raise describe(error, path) from error


def read_tables(database: sqlite3.Connection, path: Path) -> Loaded:
    """Read all tables; raise ``CorruptStorageError`` where they don't fit together."""
    marker = database.execute("SELECT member FROM marker").fetchone()
    hard = database.execute("SELECT term, voted_for FROM hard_state").fetchone()
    base = database.execute("SELECT place, term FROM base").fetchone() or (0, 0)
    entries = read_entries(database, base[0], path)
    loaded = Loaded(
        member=marker[0] if marker else "",
        hard_state=HardState(*hard) if hard else HardState(),
        snapshot=read_snapshot(database, path),
        base_index=base[0],
        base_term=base[1],
        entries=entries,
    )
    check_loaded(loaded, path)
    return loaded


def read_snapshot(database: sqlite3.Connection, path: Path) -> Snapshot | None:
    """Read the snapshot and check its checksum."""
    row = database.execute("SELECT * FROM snapshot").fetchone()
    if row is None:
        return None

    _, place, parts, header, stored = row
    if zlib.crc32(header) != stored:
        raise CorruptStorageError(f"{path}: the snapshot's checksum is wrong")

    snapshot = msgspec.msgpack.decode(header, type=Snapshot)
    data = read_pieces(database, place, parts, path)
    return msgspec.structs.replace(snapshot, data=data)


def read_pieces(
    database: sqlite3.Connection, place: int, parts: int, path: Path
) -> bytes:
    """Read a snapshot's data and check that all of it is there."""
    rows = database.execute(
        "SELECT data, checksum FROM piece WHERE place = ? AND part < ? ORDER BY part",
        (place, parts),
    ).fetchall()
    if len(rows) < parts:
        raise CorruptStorageError(f"{path}: a piece of the snapshot is missing")

    if any(zlib.crc32(data) != stored for data, stored in rows):
        raise CorruptStorageError(f"{path}: the checksum of a piece is wrong")

    return b"".join(data for data, _ in rows)


def read_entries(
    database: sqlite3.Connection, base: int, path: Path
) -> tuple[Entry, ...]:
    """Read the log and check that it has no gap and no damage."""
    entries = []
    rows = database.execute("SELECT * FROM entry ORDER BY place")
    for expected, (place, term, kind, data, stored) in enumerate(rows, start=base + 1):
        if place != expected:
            raise CorruptStorageError(f"{path}: entry {expected} is missing")

        entry = Entry(term, EntryKind(kind), data)
        if checksum(place, entry) != stored:
            raise CorruptStorageError(f"{path}: the checksum of entry {place} is wrong")

        entries.append(entry)

    return tuple(entries)


def check_loaded(loaded: Loaded, path: Path) -> None:
    """Raise ``CorruptStorageError`` if the tables contradict each other."""
    if not loaded.member and (
        loaded.entries or loaded.snapshot or loaded.hard_state.term
    ):
        raise CorruptStorageError(f"{path}: state without the member id it belongs to")

    if loaded.snapshot and loaded.snapshot.index < loaded.base_index:
        raise CorruptStorageError(f"{path}: entries after the snapshot are missing")

    held = loaded.base_index + len(loaded.entries)
    if loaded.snapshot and held < loaded.snapshot.index:
        raise CorruptStorageError(f"{path}: entries before the snapshot are missing")

    if loaded.entries and loaded.entries[-1].term > loaded.hard_state.term:
        raise CorruptStorageError(f"{path}: an entry is of a later term than any known")
