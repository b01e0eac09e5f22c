"""Durable storage of a group in one SQLite file in the data folder.

A batch is one transaction with ``synchronous=FULL``: either it is complete and synced,
or it has no effect. The exclusive lock refuses a second process on the same folder and
lets SQLite keep the index of its write-ahead log in process memory.
"""

from __future__ import annotations

import os
import re
import sqlite3
import zlib
from typing import TYPE_CHECKING

import msgspec

from .exceptions import StorageError
from .storage_load import convert_error
from .storage_load import load_all
from .storage_records import Batch
from .storage_records import Piece
from .storage_records import Store
from .storage_records import checksum
from .storage_records import count_pieces
from .storage_records import cut_piece


if TYPE_CHECKING:
    from pathlib import Path

    from .consensus.records import Snapshot


GROUP_ID = re.compile(r"[a-z0-9][a-z0-9-]*")
BUSY_TIMEOUT = 0.2
"""Seconds to wait for a previous process of the member to release the lock."""
MAX_PIECES_DROPPED = 3
"""Maximum obsolete snapshot pieces dropped with each staged piece."""
EXTRA_ENTRIES_DROPPED = 100
"""Obsolete entries that a write drops in addition to twice the number it writes."""
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


def open_store(folder: Path, group_id: str) -> Store:
    """Open or create a group's file; raise ``StorageError`` if that fails."""
    if not GROUP_ID.fullmatch(group_id):
        raise StorageError(f"group id {group_id!r} is not a valid file name")

    path = folder / f"{group_id}.sqlite"
    try:
        folder.mkdir(parents=True, exist_ok=True)
        sync_files(path)
        database = connect(path)
        sync_folder(folder)
        sync_folder(folder.parent)
    except sqlite3.DatabaseError as error:
        raise convert_error(error, path) from error
    except OSError as error:
        raise StorageError(f"{path}: {error}") from error

    return Store(
        load=lambda: load_all(database, path),
        write=lambda batch: write_batch(database, batch, path),
        close=database.close,
    )


def connect(path: Path) -> sqlite3.Connection:
    """Open the file with the settings that make a commit durable."""
    database = sqlite3.connect(
        path,
        timeout=BUSY_TIMEOUT,
        isolation_level=None,
        check_same_thread=False,
    )
    database.execute("PRAGMA locking_mode=EXCLUSIVE")
    database.execute("PRAGMA journal_mode=WAL")
    database.execute("PRAGMA synchronous=FULL")
    database.executescript(f"BEGIN IMMEDIATE; {SCHEMA} COMMIT;")
    return database


def sync_files(path: Path) -> None:
    """Make durable what a killed process wrote to a group's file without a sync.

    The member would report the entries that it loads as durable, and a power failure
    could still lose them. SQLite must not have opened the file yet: closing a file ends
    all locks of this process on it.
    """
    for file in (path, path.with_name(f"{path.name}-wal")):
        if file.exists():
            sync_path(file, os.O_RDWR)


def sync_folder(folder: Path) -> None:
    """Make new directory entries of a folder durable.

    Without it a synced file can be missing after a power loss because its folder was
    not synced, and the member would start without its term, vote and log.
    """
    sync_path(folder, os.O_RDONLY | os.O_DIRECTORY)


def sync_path(path: Path, flags: int) -> None:
    """Sync a file or folder that is opened with these flags."""
    descriptor = os.open(path, flags)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_batch(database: sqlite3.Connection, batch: Batch, path: Path) -> None:
    """Write a batch in one transaction, which is synced on return."""
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
    """Write the member id, hard state and snapshot data of a batch."""
    if batch.member is not None:
        database.execute("INSERT INTO marker VALUES (1, ?)", (batch.member,))

    if batch.hard_state is not None:
        state = batch.hard_state
        row = (state.term, state.voted_for)
        database.execute("REPLACE INTO hard_state VALUES (1, ?, ?)", row)

    if batch.piece is not None:
        stage_piece(database, batch.piece)
        drop_old_pieces(database)

    if batch.snapshot is None:
        return

    write_snapshot(database, batch.snapshot, staged=batch.staged)
    base = (batch.base_index, batch.base_term)
    database.execute("REPLACE INTO base VALUES (1, ?, ?)", base)


def stage_piece(database: sqlite3.Connection, piece: Piece) -> None:
    """Write a piece of a snapshot that is not in use yet.

    A new snapshot may have the index of the one in use. If the process ended halfway
    through overwriting pieces in use, the file would be unreadable and the member would
    have lost its vote. Such pieces are therefore skipped.
    """
    current = database.execute("SELECT place FROM snapshot").fetchone()
    if current is None or piece.index > current[0]:
        write_piece(database, piece)


def write_piece(database: sqlite3.Connection, piece: Piece) -> None:
    """Write one piece, replacing one left by an earlier attempt at the snapshot."""
    row = (piece.index, piece.part, piece.data, zlib.crc32(piece.data))
    database.execute("REPLACE INTO piece VALUES (?, ?, ?, ?)", row)


def drop_old_pieces(database: sqlite3.Connection) -> None:
    """Drop a few unused pieces; dropping all at once would take too long."""
    database.execute(
        "DELETE FROM piece WHERE rowid IN (SELECT rowid FROM piece WHERE place <"
        " (SELECT place FROM snapshot) LIMIT ?)",
        (MAX_PIECES_DROPPED,),
    )


def write_snapshot(
    database: sqlite3.Connection, snapshot: Snapshot, *, staged: bool
) -> None:
    """Activate a snapshot, and write its pieces unless they are staged."""
    parts = count_pieces(snapshot)
    if not staged:
        for part in range(parts):
            write_piece(database, cut_piece(snapshot, part))

    header = msgspec.msgpack.encode(msgspec.structs.replace(snapshot, data=b""))
    row = (snapshot.index, parts, header, zlib.crc32(header))
    database.execute("REPLACE INTO snapshot VALUES (1, ?, ?, ?, ?)", row)


def write_entries(database: sqlite3.Connection, batch: Batch) -> None:
    """Replace the log from the first entry of the batch on."""
    if batch.first is None:
        return

    database.execute("DELETE FROM entry WHERE place >= ?", (batch.first,))
    rows = [
        (index, entry.term, entry.kind.value, entry.data, checksum(index, entry))
        for index, entry in enumerate(batch.entries, start=batch.first)
    ]
    database.executemany("INSERT INTO entry VALUES (?, ?, ?, ?, ?)", rows)
    drop_old_entries(database, 2 * len(rows) + EXTRA_ENTRIES_DROPPED)


def drop_old_entries(database: sqlite3.Connection, limit: int) -> None:
    """Drop some of the entries covered by the snapshot; loading skips the rest.

    Dropping all at once would block the leader for tens of milliseconds.
    """
    database.execute(
        "DELETE FROM entry WHERE place IN (SELECT place FROM entry WHERE place <="
        " (SELECT place FROM base) ORDER BY place LIMIT ?)",
        (limit,),
    )
