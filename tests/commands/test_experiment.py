"""The experiment command: its arguments and its output."""

from __future__ import annotations

import contextlib
import io
import json
import unittest
from pathlib import Path
from tempfile import TemporaryDirectory
from typing import Any
from unittest.mock import patch

from waxwingwell.commands import experiment
from waxwingwell.experiments.fleet import FleetReport
from waxwingwell.experiments.fleet import Row
from waxwingwell.experiments.measures import Spread


def make_report(profile: str, seeds: int) -> FleetReport:
    """Return a report of a sweep over two loads."""
    figures = dict.fromkeys(
        ["goodput", "order_first_p99", "first_p95", "refused"], Spread(0.5, 1.0)
    )
    rows = tuple(Row("sweep", load, "waxwingwell", figures) for load in (0.5, 1.0))
    return FleetReport(profile, seeds, (), rows)


def run_quietly(**arguments: object) -> str:
    """Run the command and return what it printed."""
    printed = io.StringIO()
    with contextlib.redirect_stdout(printed):
        experiment.run_experiment(**arguments)  # type: ignore[arg-type]

    return printed.getvalue()


class TestExperiment(unittest.TestCase):
    def test_refuses_wrong_arguments_with_their_place(self) -> None:
        cases: dict[str, dict[str, Any]] = {
            "name": {"name": "speed"},
            "plot": {"name": "fleet", "plot": True},
            "profile": {"name": "fleet", "profile": "nowhere"},
            "seeds": {"name": "fleet", "seeds": 0},
        }
        for place, arguments in cases.items():
            with self.subTest(place), self.assertRaises(SystemExit) as caught:
                run_quietly(**arguments)

            self.assertIn(f"experiment: {place}:", str(caught.exception))

    def test_finds_each_experiment(self) -> None:
        for name in experiment.RUNNERS:
            with self.subTest(name):
                self.assertTrue(callable(experiment.load_runner(name)))

    def test_writes_the_report(self) -> None:
        with (
            TemporaryDirectory() as folder,
            patch.object(FleetReport, "render", return_value="the table"),
            patch.object(experiment, "load_runner", return_value=make_report),
        ):
            printed = run_quietly(name="fleet", profile="frio", seeds=3, out=folder)
            written = json.loads((Path(folder) / "fleet-frio.json").read_text())

        self.assertIn("the table", printed)
        self.assertEqual((written["profile"], written["seeds"]), ("frio", 3))
