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
"""How long to wait for a former process of the same member to let go."""
MAX_PIECES_DROPPED = 3
MIN_ENTRIES_DROPPED = 100
"""At each write of entries, and twice as many as were written."""
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
        stage_piece(database, batch.piece)
        drop_old_pieces(database)

    if batch.snapshot is None:
        return

    write_snapshot(database, batch.snapshot, staged=batch.staged)
    base = (batch.base_index, batch.base_term)
    database.execute("REPLACE INTO base VALUES (1, ?, ?)", base)


def stage_piece(database: sqlite3.Connection, piece: Piece) -> None:
    """Write a piece of a snapshot that is not in use yet.

    Failure: a snapshot is made anew at the index of the one in use, and the process
    ends halfway. A piece written over one in use would leave a file that can't be
    read, and the member would have lost its vote. So such a piece is left out.
    """
    used = database.execute("SELECT place FROM snapshot").fetchone()
    if used is None or piece.index > used[0]:
        write_piece(database, piece)


def write_piece(database: sqlite3.Connection, piece: Piece) -> None:
    """Write one piece; a former try at the same snapshot may have left one."""
    row = (piece.index, piece.part, piece.data, zlib.crc32(piece.data))
    database.execute("REPLACE INTO piece VALUES (?, ?, ?, ?)", row)


def drop_old_pieces(database: sqlite3.Connection) -> None:
    """Drop a few pieces that no snapshot uses; all at once would take long."""
    database.execute(
        "DELETE FROM piece WHERE rowid IN (SELECT rowid FROM piece WHERE place <"
        " (SELECT place FROM snapshot) LIMIT ?)",
        (MAX_PIECES_DROPPED,),
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
        (index, entry.term, entry.kind.value, entry.data, checksum(index, entry))
        for index, entry in enumerate(batch.entries, start=batch.first)
    ]
    database.executemany("INSERT INTO entry VALUES (?, ?, ?, ?, ?)", rows)
    drop_old_entries(database, 2 * len(rows) + MIN_ENTRIES_DROPPED)


def drop_old_entries(database: sqlite3.Connection, limit: int) -> None:
    """Drop some of the entries that the snapshot stands for; reading skips the rest.

    All at once would stop the leader's turn for tens of milliseconds.
    """
    database.execute(
        "DELETE FROM entry WHERE place IN (SELECT place FROM entry WHERE place <="
        " (SELECT place FROM base) ORDER BY place LIMIT ?)",
        (limit,),
    )
