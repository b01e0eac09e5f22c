"""Random batches give equal contents in files and in the fake store of other tests."""

from __future__ import annotations

import tempfile
import unittest
from pathlib import Path

from hypothesis import example
from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from tests.state.consensus.fakes import Disk
from tests.state.consensus.fakes import open_fake_store
from waxwingwell.state.consensus.records import Entry
from waxwingwell.state.consensus.records import EntryKind
from waxwingwell.state.consensus.records import HardState
from waxwingwell.state.consensus.records import Membership
from waxwingwell.state.consensus.records import Snapshot
from waxwingwell.state.storage import open_store
from waxwingwell.state.storage_records import PIECE_BYTES
from waxwingwell.state.storage_records import Batch
from waxwingwell.state.storage_records import Loaded
from waxwingwell.state.storage_records import count_pieces
from waxwingwell.state.storage_records import cut_piece


DRAWS = st.lists(
    st.tuples(
        st.sampled_from(("append", "replace", "compact", "install", "vote", "abandon")),
        st.integers(0, 20),
        st.sampled_from((0, 100, PIECE_BYTES, 2 * PIECE_BYTES, 5 * PIECE_BYTES + 1)),
    ),
    min_size=15,
    max_size=25,
)

REPEATED_SNAPSHOT = [
    ("append", 0, 0),
    ("install", 0, 100),
    ("compact", 0, 2 * PIECE_BYTES),
]
"""A process ends while it writes a snapshot with the index of the one in use. The file
was then unreadable, because the new piece had replaced one of the old snapshot."""


def make_batches(stored: Loaded, kind: str, count: int, size: int) -> list[Batch]:
    """Return the batches that a member would write with these stored contents."""
    term = stored.hard_state.term + 1
    state = HardState(term, f"candidate {count}")
    last = stored.base_index + len(stored.entries)
    entries = tuple(Entry(term, EntryKind.COMMAND, b"%d" % n) for n in range(count))
    snapshot_index = stored.snapshot.index if stored.snapshot else 0
    if kind == "append":
        return [Batch(hard_state=state, first=last + 1, entries=entries)]

    if kind == "replace":
        first = max(snapshot_index, last - count // 2) + 1
        return [Batch(hard_state=state, first=first, entries=entries)]

    if kind == "vote":
        return [Batch(hard_state=state)]

    index = last if kind != "install" else last + 1 + count
    snapshot = Snapshot(index, term - 1, Membership(("a",)), 1, bytes(size))
    if kind == "install":
        return [
            Batch(
                first=index + 1, snapshot=snapshot, base_index=index, base_term=term - 1
            )
        ]

    pieces = [
        Batch(piece=cut_piece(snapshot, n)) for n in range(count_pieces(snapshot))
    ]
    if kind == "abandon" or index <= snapshot_index:
        return pieces[:-1]

    base = max(stored.base_index, index - count)
    place = base - stored.base_index
    base_term = stored.entries[place - 1].term if place else stored.base_term
    use = Batch(snapshot=snapshot, staged=True, base_index=base, base_term=base_term)
    return [*pieces, use]


class StorageModelTest(unittest.TestCase):
    """The same batches are written to files and to the fake store."""

    @settings(max_examples=25)
    @given(draws=DRAWS)
    @example(draws=REPEATED_SNAPSHOT)
    def test_files_hold_what_memory_holds(
        self, draws: list[tuple[str, int, int]]
    ) -> None:
        disk = Disk()
        model = open_fake_store(disk)
        with tempfile.TemporaryDirectory() as folder:
            store = open_store(Path(folder), "main")
            for target in (model, store):
                target.write(Batch(member="a~1"))

            for kind, count, size in draws:
                for batch in make_batches(disk.loaded, kind, count, size):
                    model.write(batch)
                    store.write(batch)

                if count % 4 == 0:
                    store.close()
                    store = open_store(Path(folder), "main")

                self.assertEqual(store.load(), disk.loaded)

            store.close()
