"""Settings files of the stand-ins name the place of a fault."""

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
    """A bad file ends the program with one line."""

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
    """A stand-in that is signalled while it starts."""

    def test_it_stops_in_order(self) -> None:
        """Guards against a stand-in whose callers are reset as it starts."""
        for names in (("SIGTERM",), ("SIGHUP",), ("SIGINT", "SIGTERM")):
            with self.subTest(names), tempfile.TemporaryDirectory() as folder:
                path = Path(folder) / "engine.json"
                path.write_text("{}", encoding="utf-8")
                signals = "; ".join(
                    f"os.kill(os.getpid(), signal.{name})" for name in names
                )
                done = subprocess.run(
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
                self.assertEqual(done.returncode, 0, done.stderr)
                self.assertEqual(done.stdout, '{"port":7}\nstopped\n')
