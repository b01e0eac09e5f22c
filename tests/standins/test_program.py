"""Tests of the stand-in programs: errors in settings files, and signals."""

from __future__ import annotations

import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path

from waxwingwell_standins.program import read_settings
from waxwingwell_standins.settings import EngineSettings


class SettingsTest(unittest.TestCase):
    """A bad settings file ends the program with one line that locates the error."""

    def test_files(self) -> None:
        cases = (
            ('{"slots": 3}', ""),
            ('{"slots": "3"}', "$.slots"),
            ('{"colour": 3}', "colour"),
            ("{", "truncated"),
        )
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "engine.json"
            for text, place in cases:
                with self.subTest(text):
                    path.write_text(text, encoding="utf-8")
                    if not place:
                        self.assertEqual(read_settings(path, EngineSettings).slots, 3)
                        continue

                    with self.assertRaises(SystemExit) as caught:
                        read_settings(path, EngineSettings)

                    self.assertIn(place, str(caught.exception.code))


SIGNALLED_IN_START = """
import os, signal, sys
from types import SimpleNamespace
from waxwingwell_standins import program
from waxwingwell_standins.settings import EngineSettings

def start(settings):
    {signals}
    return SimpleNamespace(port=7, stop=lambda: print("stopped"))

program.run_program(EngineSettings, start)
"""


class SignalTest(unittest.TestCase):
    """Signals that arrive while a stand-in starts."""

    def test_stops_cleanly(self) -> None:
        """A stand-in killed while it starts would reset its callers' connections."""
        for names in (("SIGTERM",), ("SIGHUP",), ("SIGINT", "SIGTERM")):
            with self.subTest(names), tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "engine.json"
                path.write_text("{}", encoding="utf-8")
                signals = "; ".join(
                    f"os.kill(os.getpid(), signal.{name})" for name in names
                )
                completed = subprocess.run(
                    [
                        sys.executable,
                        "-c",
                        SIGNALLED_IN_START.format(signals=signals),
                        str(path),
                    ],
                    env={**os.environ},
                    capture_output=True,
                    text=True,
                    check=False,
                )
                self.assertEqual(completed.returncode, 0, completed.stderr)
                self.assertEqual(completed.stdout, '{"port":7}\nstopped\n')
