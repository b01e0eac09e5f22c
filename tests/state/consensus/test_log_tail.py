"""Entries that the log retains before a snapshot."""

from __future__ import annotations

import unittest
from types import SimpleNamespace
from typing import Any

from waxwingwell.state.consensus.log import Log
from waxwingwell.state.consensus.records import Entry
from waxwingwell.state.consensus.records import EntryKind
from waxwingwell.state.consensus.records import Membership
from waxwingwell.state.consensus.records import Snapshot
from waxwingwell.state.consensus.records import Timing
from waxwingwell.state.consensus.snapshots import adopt_snapshot


TIMING = Timing(snapshot_tail=50, snapshot_tail_bytes=1_000)


class TailTest(unittest.TestCase):
    """A log of equal entries, compacted after the last but two."""

    def test_the_tail_is_bounded_by_count_and_size(self) -> None:
        """Guards against a log that keeps 50 entries however large they are."""
        for size, count, retained in (
            (1, 200, 50),
            (1, 20, 18),
            (100, 200, 10),
            (600, 200, 1),
            (5_000, 200, 0),
        ):
            with self.subTest(size=size, count=count):
                entry = Entry(term=1, kind=EntryKind.COMMAND, data=b"x" * size)
                log = Log(entries=[entry] * count)
                replica: Any = SimpleNamespace(log=log, timing=TIMING)
                adopt_snapshot(replica, make_snapshot(count - 2))
                self.assertEqual(len(log.entries), retained + 2)
                self.assertEqual(log.base_index, count - 2 - retained)
                self.assertEqual(log.base_term, 1 if log.base_index else 0)


def make_snapshot(index: int) -> Snapshot:
    """Return an empty snapshot."""
    return Snapshot(
        index=index, term=1, membership=Membership(), membership_index=0, data=b""
    )


if __name__ == "__main__":
    unittest.main()
