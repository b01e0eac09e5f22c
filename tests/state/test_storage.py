"""Tests of the storage on real files: atomic batches, damage and disk errors."""

from __future__ import annotations

import os
import random
import resource
import shutil
import sqlite3
import stat
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from msgspec.structs import replace

from tests.state.consensus.fakes import Node
from tests.state.consensus.fakes import make_machine
from waxwingwell.state.consensus.records import Entry
from waxwingwell.state.consensus.records import EntryKind
from waxwingwell.state.consensus.records import HardState
from waxwingwell.state.consensus.records import Membership
from waxwingwell.state.consensus.records import Snapshot
from waxwingwell.state.consensus.records import Timing
from waxwingwell.state.exceptions import CorruptStorageError
from waxwingwell.state.exceptions import StorageError
from waxwingwell.state.group import Committed
from waxwingwell.state.group import Group
from waxwingwell.state.group import flush_group
from waxwingwell.state.group import leads
from waxwingwell.state.group import open_group
from waxwingwell.state.group import propose
from waxwingwell.state.storage import connect
from waxwingwell.state.storage import open_store
from waxwingwell.state.storage_records import Batch
from waxwingwell.state.storage_records import Loaded
from waxwingwell.state.storage_records import Store
from waxwingwell.state.storage_records import count_pieces
from waxwingwell.state.storage_records import cut_piece


FULL = 2
"""SQLite's number for ``synchronous=FULL``."""
ENTRIES = tuple(Entry(1, EntryKind.COMMAND, b"%d" % number) for number in range(5))
SNAPSHOT = Snapshot(3, 1, Membership(("a",)), 1, b"state")


class StorageTest(unittest.TestCase):
    """Storage of a group in a temporary folder."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name) / "data"
        self.store = self.open()

    def open(self) -> Store:
        store = open_store(self.folder, "main")
        self.addCleanup(store.close)
        return store

    def reopen(self) -> Loaded:
        self.store.close()
        self.store = self.open()
        return self.store.load()

    def write_all(self) -> None:
        state = HardState(1, "a")
        self.store.write(Batch(member="a~1", hard_state=state))
        self.store.write(Batch(first=1, entries=ENTRIES))

    def test_batches_are_loaded_again(self) -> None:
        self.write_all()
        other = Entry(2, EntryKind.NO_OP, b"")
        self.store.write(Batch(hard_state=HardState(2, "b"), first=5, entries=(other,)))
        loaded = self.reopen()
        self.assertEqual(loaded.member, "a~1")
        self.assertEqual(loaded.hard_state, HardState(2, "b"))
        self.assertEqual(loaded.entries, (*ENTRIES[:4], other))

    def test_a_snapshot_drops_the_entries_it_covers(self) -> None:
        self.write_all()
        self.store.write(Batch(snapshot=SNAPSHOT, base_index=2, base_term=1))
        loaded = self.reopen()
        self.assertEqual(loaded.snapshot, SNAPSHOT)
        self.assertEqual((loaded.base_index, loaded.base_term), (2, 1))
        self.assertEqual(loaded.entries, ENTRIES[2:])

    def test_a_snapshot_in_pieces_is_used_once_complete(self) -> None:
        """A process that ends between two pieces keeps the previous snapshot.

        The previous snapshot and the entries after it must still be present; restarting
        from half a state would lose accepted changes.
        """
        self.write_all()
        self.store.write(Batch(snapshot=SNAPSHOT, base_index=2, base_term=1))
        big = replace(SNAPSHOT, index=5, data=random.Random(1).randbytes(700_000))
        for part in range(count_pieces(big)):
            self.store.write(Batch(piece=cut_piece(big, part)))
            self.assertEqual(self.reopen().snapshot, SNAPSHOT)

        self.store.write(Batch(snapshot=big, staged=True, base_index=4, base_term=1))
        self.assertEqual(self.reopen().snapshot, big)
        self.assertEqual(self.store.load().entries, ENTRIES[4:])

    def test_damage_is_detected_at_startup(self) -> None:
        cases = (
            ("gap", "DELETE FROM entry WHERE place = 3", "entry 3 is missing"),
            ("entry", "UPDATE entry SET data = x'00' WHERE place = 2", "of entry 2"),
            ("piece", "UPDATE piece SET data = x'00'", "checksum of a piece"),
            ("pieces", "DELETE FROM piece", "piece of the snapshot is missing"),
            ("header", "UPDATE snapshot SET checksum = 1", "snapshot's checksum"),
            ("marker", "DELETE FROM marker", "without the member id"),
            ("term", "UPDATE hard_state SET term = 0", "later term"),
        )
        for name, damage, expected in cases:
            with self.subTest(name):
                folder = self.folder / name
                store = open_store(folder, "main")
                store.write(Batch(member="a~1", hard_state=HardState(1, "a")))
                store.write(Batch(first=1, entries=ENTRIES))
                store.write(Batch(snapshot=SNAPSHOT, base_index=1, base_term=1))
                store.close()
                database = sqlite3.connect(folder / "main.sqlite")
                database.execute(damage)
                database.commit()
                database.close()
                store = open_store(folder, "main")
                self.addCleanup(store.close)
                with self.assertRaisesRegex(CorruptStorageError, expected):
                    store.load()

    def test_a_file_that_is_no_database_is_reported(self) -> None:
        self.folder.joinpath("other.sqlite").write_bytes(b"garbage" * 1000)
        with self.assertRaises(CorruptStorageError):
            open_store(self.folder, "other")

    def test_a_torn_tail_leaves_whole_batches(self) -> None:
        """After a power loss during a write any part of its bytes may be on the disk.

        The batch was not acknowledged yet and must be loaded completely or not at all;
        half of it would be a log with a vote that doesn't belong to it.
        """
        self.write_all()
        before = self.store.load()
        paths = [self.folder / "main.sqlite", self.folder / "main.sqlite-wal"]
        old = [path.read_bytes() for path in paths]
        late = (Entry(2, EntryKind.COMMAND, b"late" * 3000),)
        self.store.write(Batch(hard_state=HardState(2, "b"), first=6, entries=late))
        after = self.store.load()
        new = [path.read_bytes() for path in paths]
        self.assertEqual(old[0], new[0])
        start, end = len(old[1]), len(new[1])
        self.assertGreater(end, start)
        for cut in (*range(start, end, 997), end - 1, end):
            for rest in (b"", b"\xff" * (end - cut)):
                with self.subTest(cut=cut, rest=len(rest)):
                    torn = new[1][:cut] + rest
                    loaded = load_copy(self.folder / "copy", new[0], torn)
                    self.assertIn(loaded, (before, after))
                    self.assertEqual(loaded == after, cut == end)

    def test_a_full_disk_raises_an_error_and_keeps_the_contents(self) -> None:
        """A batch that fills the disk fails and leaves the stored data unchanged.

        It must raise ``StorageError``, so that nothing in it is acknowledged, and a
        restart must find what was synced before.
        """
        self.write_all()
        before = self.store.load()
        size = (self.folder / "main.sqlite-wal").stat().st_size
        limits = resource.getrlimit(resource.RLIMIT_FSIZE)
        big = (Entry(1, EntryKind.COMMAND, bytes(1 << 20)),)
        resource.setrlimit(resource.RLIMIT_FSIZE, (size + 8192, limits[1]))
        try:
            with self.assertRaises(StorageError):
                self.store.write(Batch(first=6, entries=big))
        finally:
            resource.setrlimit(resource.RLIMIT_FSIZE, limits)

        self.assertEqual(self.reopen(), before)

    def test_what_a_killed_process_left_unsynced_is_synced(self) -> None:
        """Guards against entries that are loaded, acknowledged and lost with power."""
        self.write_all()
        copied = self.folder.parent / "killed"
        shutil.copytree(self.folder, copied)
        synced: set[int] = set()

        def record(descriptor: int) -> None:
            synced.add(os.fstat(descriptor).st_ino)

        with mock.patch("waxwingwell.state.storage.os.fsync", record):
            store = open_store(copied, "main")

        self.addCleanup(store.close)
        for name in ("main.sqlite", "main.sqlite-wal"):
            self.assertIn((copied / name).stat().st_ino, synced)

        self.assertEqual(store.load().entries, ENTRIES)

    def test_every_commit_is_synced_and_so_is_the_folder(self) -> None:
        """Power may be lost right after a batch was acknowledged.

        Without the sync of the file the batch is lost; without the sync of the folder
        the file itself is, and the member starts without its term, vote and log.
        """
        synced: list[bool] = []

        def record(descriptor: int) -> None:
            synced.append(stat.S_ISDIR(os.fstat(descriptor).st_mode))

        with mock.patch("waxwingwell.state.storage.os.fsync", record):
            open_store(self.folder, "third").close()

        self.assertEqual(synced, [True, True])
        database = connect(self.folder / "fourth.sqlite")
        self.addCleanup(database.close)
        (synchronous,) = database.execute("PRAGMA synchronous").fetchone()
        self.assertEqual(synchronous, FULL)
        self.assertFalse((self.folder / "fourth.sqlite-shm").exists())

    def test_a_second_process_is_rejected(self) -> None:
        self.write_all()
        with self.assertRaisesRegex(StorageError, "locked"):
            open_store(self.folder, "main")

    def test_several_groups_share_a_folder(self) -> None:
        self.write_all()
        other = open_store(self.folder, "ledger-1")
        self.addCleanup(other.close)
        self.assertEqual(other.load(), Loaded())

    def test_a_group_of_one_restarts_with_all_accepted_changes(self) -> None:
        """A restarted process has all accepted changes, in order.

        Hundreds of changes are accepted, one per flush, before the process ends.
        """
        node = Node("solo")
        group = self.open_solo(node)
        for number in range(300):
            outcomes: list[object] = []
            propose(group, b"%d" % number, outcomes.append, 1.0)
            flush_group(group, 1.0)
            self.assertIsInstance(outcomes[0], Committed)

        applied = list(node.applied)
        self.reopen()
        node.applied = []
        reopened = self.open_solo(node)
        self.assertTrue(leads(reopened, 1.0))
        self.assertEqual(reopened.replica.member, group.replica.member)
        self.assertEqual([c for _, c in node.applied], [c for _, c in applied])

    def test_a_crash_during_a_snapshot_loses_nothing(self) -> None:
        """The process may end after any piece of a snapshot of a large state.

        It must start from the previous snapshot and the log since then; the entries
        before the new snapshot may be dropped only once all its pieces are written.
        """
        node = Node("solo")
        accepted: list[bytes] = []
        for number in range(20):
            node.applied = []
            group = self.open_solo(node)
            self.assertEqual([command for _, command in node.applied], accepted)
            command = bytes([number]) * 200_000
            propose(group, command, lambda outcome: None, 1.0)
            accepted.append(command)
            for _ in range(number % 7 + 1):
                flush_group(group, 1.0)

            self.reopen()

        snapshot = self.store.load().snapshot
        self.assertIsNotNone(snapshot)

    def open_solo(self, node: Node) -> Group:
        return open_group(
            group_id="main",
            member="solo",
            members=("solo",),
            store=self.store,
            machine=make_machine(node),
            send=lambda target, message: None,
            timing=Timing(snapshot_bytes=5000, snapshot_tail=10),
            random=random.Random(1),
            now=1.0,
            bootstrap=True,
        )


def load_copy(folder: Path, database: bytes, journal: bytes) -> Loaded:
    """Return what a store loads from files with these contents."""
    folder.mkdir(exist_ok=True)
    (folder / "main.sqlite").write_bytes(database)
    (folder / "main.sqlite-wal").write_bytes(journal)
    store = open_store(folder, "main")
    try:
        return store.load()
    finally:
        store.close()
