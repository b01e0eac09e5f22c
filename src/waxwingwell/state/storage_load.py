"""Loading a group's storage at startup, with consistency checks."""

from __future__ import annotations

import sqlite3
import zlib
from typing import TYPE_CHECKING

import msgspec

from .consensus.records import Entry
from .consensus.records import EntryKind
from .consensus.records import HardState
from .consensus.records import Snapshot
from .exceptions import CorruptStorageError
from .exceptions import StorageError
from .storage_records import Loaded
from .storage_records import checksum


if TYPE_CHECKING:
    from pathlib import Path


def load_all(database: sqlite3.Connection, path: Path) -> Loaded:
    """Load a store and check its contents."""
    try:
        return read_tables(database, path)
    except sqlite3.DatabaseError as error:
        raise convert_error(error, path) from error


def read_tables(database: sqlite3.Connection, path: Path) -> Loaded:
    """Read all tables; raise ``CorruptStorageError`` if they are inconsistent."""
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
    """Read the snapshot and verify its checksum."""
    row = database.execute("SELECT * FROM snapshot").fetchone()
    if row is None:
        return None

    _, index, parts, header, stored = row
    if zlib.crc32(header) != stored:
        raise CorruptStorageError(f"{path}: the snapshot's checksum is wrong")

    snapshot = msgspec.msgpack.decode(header, type=Snapshot)
    data = read_pieces(database, index, parts, path)
    return msgspec.structs.replace(snapshot, data=data)


def read_pieces(
    database: sqlite3.Connection, index: int, parts: int, path: Path
) -> bytes:
    """Read a snapshot's data and check that it is complete and undamaged."""
    rows = database.execute(
        "SELECT data, checksum FROM piece WHERE place = ? AND part < ? ORDER BY part",
        (index, parts),
    ).fetchall()
    if len(rows) < parts:
        raise CorruptStorageError(f"{path}: a piece of the snapshot is missing")

    if any(zlib.crc32(data) != stored for data, stored in rows):
        raise CorruptStorageError(f"{path}: the checksum of a piece is wrong")

    return b"".join(data for data, _ in rows)


def read_entries(
    database: sqlite3.Connection, base: int, path: Path
) -> tuple[Entry, ...]:
    """Read the log and check that it has no gaps or damaged entries."""
    entries = []
    rows = database.execute(
        "SELECT * FROM entry WHERE place > ? ORDER BY place", (base,)
    )
    for expected, (index, term, kind, data, stored) in enumerate(rows, start=base + 1):
        if index != expected:
            raise CorruptStorageError(f"{path}: entry {expected} is missing")

        entry = Entry(term, EntryKind(kind), data)
        if checksum(index, entry) != stored:
            raise CorruptStorageError(f"{path}: the checksum of entry {index} is wrong")

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

    last_index = loaded.base_index + len(loaded.entries)
    if loaded.snapshot and last_index < loaded.snapshot.index:
        raise CorruptStorageError(f"{path}: entries before the snapshot are missing")

    if loaded.entries and loaded.entries[-1].term > loaded.hard_state.term:
        raise CorruptStorageError(
            f"{path}: a log entry has a later term than the hard state"
        )


def convert_error(
    error: sqlite3.Error, path: Path
) -> StorageError | CorruptStorageError:
    """Return a ``StorageError`` if an operation failed, else a corruption error."""
    if isinstance(error, sqlite3.OperationalError):
        return StorageError(f"{path}: {error}")

    return CorruptStorageError(f"{path}: {error}")
