"""Tests of the checkpoints in the data folder."""

from __future__ import annotations

import os
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from waxwingwell.adapters.registry.checkpoints import CHECKPOINT_SECONDS
from waxwingwell.adapters.registry.checkpoints import DURABLE_NAME
from waxwingwell.adapters.registry.checkpoints import FILE_NAME
from waxwingwell.adapters.registry.checkpoints import RETRY_SECONDS
from waxwingwell.adapters.registry.checkpoints import load_checkpoints
from waxwingwell.adapters.registry.checkpoints import make_checksum
from waxwingwell.adapters.registry.checkpoints import store_checkpoint
from waxwingwell.routing.quarantine import MIN_CRASHES
from waxwingwell.routing.quarantine import is_quarantined
from waxwingwell.routing.quarantine import record_crash
from waxwingwell.routing.quarantine import record_survival

from .support import Registry
from .support import make_registry


BLOCK = 7


class StoredEvidenceTest(unittest.TestCase):
    """A control that ends and starts again."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def start(self, folder: Path | None = None) -> Registry:
        """Start a control with the folder, or another one."""
        registry = make_registry(data_folder=folder or self.folder)
        load_checkpoints(registry.context, registry.clock.seconds())
        return registry

    def quarantine(self, registry: Registry) -> None:
        """Let a control know of enough crashes to quarantine the block."""
        table = registry.context.quarantine
        for number in range(MIN_CRASHES):
            record_crash(table, number, (BLOCK,), request=number, lag=0.1, now=0.0)

    def test_a_quarantine_outlives_the_process(self) -> None:
        """Guards against a quarantine that ends as all processes end at once."""
        registry = self.start()
        self.quarantine(registry)
        store_checkpoint(registry.context, 0.0)
        self.assertTrue(is_quarantined(self.start().context.quarantine, (BLOCK,)))

    def test_its_end_is_stored_as_well(self) -> None:
        registry = self.start()
        self.quarantine(registry)
        store_checkpoint(registry.context, 0.0)
        record_survival(registry.context.quarantine, (BLOCK,), 1.0)
        store_checkpoint(registry.context, 1.0)
        self.assertFalse(is_quarantined(self.start().context.quarantine, (BLOCK,)))

    def test_an_unreadable_file_is_ignored(self) -> None:
        """Guards against a control that does not start for a torn file."""
        invalid = make_checksum(b"\x92") + b"\x92"
        for data in (b"", b"\x92", b"nonsense", b"\0" * 40, invalid):
            for name in (FILE_NAME, DURABLE_NAME):
                with self.subTest(data, name=name):
                    (self.folder / name).write_bytes(data)
                    self.assertEqual(self.start().context.quarantine.blocks, {})

    def test_a_failed_write_is_repeated(self) -> None:
        """Guards against evidence lost to a disk that is full for some seconds."""
        folder = self.folder / "later"
        registry = self.start(folder)
        self.quarantine(registry)
        store_checkpoint(registry.context, 0.0)
        folder.mkdir()
        store_checkpoint(registry.context, RETRY_SECONDS / 2)
        self.assertFalse((folder / DURABLE_NAME).exists())
        store_checkpoint(registry.context, RETRY_SECONDS)
        self.assertTrue((folder / DURABLE_NAME).exists())

    def test_nothing_is_synced_without_a_change(self) -> None:
        """Guards against a control that waits for its disk several times a second."""
        registry = self.start()
        with mock.patch.object(os, "fsync") as sync:
            store_checkpoint(registry.context, 0.0)
            store_checkpoint(registry.context, CHECKPOINT_SECONDS)

        sync.assert_not_called()
        self.assertEqual(list(self.folder.iterdir()), [self.folder / FILE_NAME])
