"""The recover command: one member continues as the only voter."""

from __future__ import annotations

import contextlib
import io
import random
import tempfile
import unittest
from functools import partial
from pathlib import Path

from tests.state.consensus.fakes import Node
from tests.state.consensus.fakes import make_machine
from waxwingwell.commands.exits import ExitCode
from waxwingwell.commands.recover import continue_alone
from waxwingwell.commands.recover import show
from waxwingwell.state.consensus.records import Timing
from waxwingwell.state.group import open_group
from waxwingwell.state.group import term_of
from waxwingwell.state.storage import open_store


class RecoverTest(unittest.TestCase):
    """Commands on a data folder whose group has one member, ``solo``."""

    def setUp(self) -> None:
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = folder.name

    def start(self) -> int:
        """Start and stop the member and return its term."""
        store = open_store(Path(self.folder), "control")
        group = open_group(
            group_id="control",
            member="solo",
            members=("solo",),
            store=store,
            machine=make_machine(Node("solo")),
            send=lambda target, message: None,
            timing=Timing(),
            random=random.Random(1),
            now=1.0,
            bootstrap=True,
        )
        store.close()
        return term_of(group)

    def test_the_kept_member_starts_with_a_far_higher_term(self) -> None:
        before = self.start()
        printed = io.StringIO()
        with contextlib.redirect_stdout(printed):
            show(self.folder)
            continue_alone(self.folder, sure=True)

        self.assertIn("solo~", printed.getvalue())
        self.assertGreater(self.start(), before + 100)

    def test_refusals_name_their_place(self) -> None:
        self.start()
        held = open_store(Path(self.folder), "other")
        self.addCleanup(held.close)
        cases = (
            ("not sure", partial(continue_alone, self.folder), ExitCode.BAD_INPUT),
            ("no group", partial(show, self.folder, "third"), ExitCode.BAD_INPUT),
            ("in use", partial(show, self.folder, "other"), ExitCode.REFUSED),
        )
        for name, call, code in cases:
            with self.subTest(name), contextlib.redirect_stderr(io.StringIO()) as said:
                with self.assertRaises(SystemExit) as raised:
                    call()

                self.assertEqual(raised.exception.code, int(code))
                self.assertTrue(said.getvalue())
