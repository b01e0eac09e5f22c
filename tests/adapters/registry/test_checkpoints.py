"""Tests of the evidence on quarantined prompt blocks in the data folder."""

from __future__ import annotations

import tempfile
import unittest
from dataclasses import replace
from pathlib import Path

from waxwingwell.adapters.registry.evidence import FILE_NAME
from waxwingwell.adapters.registry.evidence import RETRY_SECONDS
from waxwingwell.adapters.registry.evidence import load_evidence
from waxwingwell.adapters.registry.evidence import store_evidence
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
        registry = make_registry()
        registry.context.settings = replace(
            registry.context.settings, data_folder=folder or self.folder
        )
        load_evidence(registry.context)
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
        store_evidence(registry.context, 0.0)
        self.assertTrue(is_quarantined(self.start().context.quarantine, (BLOCK,)))

    def test_its_end_is_stored_as_well(self) -> None:
        registry = self.start()
        self.quarantine(registry)
        store_evidence(registry.context, 0.0)
        record_survival(registry.context.quarantine, (BLOCK,), 1.0)
        store_evidence(registry.context, 1.0)
        self.assertFalse(is_quarantined(self.start().context.quarantine, (BLOCK,)))

    def test_an_unreadable_file_is_ignored(self) -> None:
        """Guards against a control that does not start for a torn file."""
        for data in (b"", b"\x92", b"nonsense"):
            with self.subTest(data):
                (self.folder / FILE_NAME).write_bytes(data)
                self.assertEqual(self.start().context.quarantine.blocks, {})

    def test_a_failed_write_is_repeated(self) -> None:
        """Guards against evidence lost to a disk that is full for some seconds."""
        folder = self.folder / "later"
        registry = self.start(folder)
        self.quarantine(registry)
        store_evidence(registry.context, 0.0)
        folder.mkdir()
        store_evidence(registry.context, RETRY_SECONDS / 2)
        self.assertFalse((folder / FILE_NAME).exists())
        store_evidence(registry.context, RETRY_SECONDS)
        self.assertTrue((folder / FILE_NAME).exists())

    def test_nothing_is_written_without_a_change(self) -> None:
        registry = self.start()
        store_evidence(registry.context, 0.0)
        self.assertEqual(list(self.folder.iterdir()), [])
