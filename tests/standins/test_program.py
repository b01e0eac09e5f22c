"""Settings files of the stand-ins name the place of a fault."""

from __future__ import annotations

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
