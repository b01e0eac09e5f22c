"""Configurations generated from answers, and differences between revisions."""

from __future__ import annotations

import dataclasses
import json
import unittest
from pathlib import Path

from waxwingwell.answers.differences import describe_differences
from waxwingwell.answers.generation import PACES
from waxwingwell.answers.generation import generate_config
from waxwingwell.answers.models import Answers
from waxwingwell.answers.models import Pace
from waxwingwell.records import Limits
from waxwingwell.records import Priority
from waxwingwell.records import VersionId
from waxwingwell.records import Weighing
from waxwingwell.records import WorkspaceConfig


EXAMPLES = Path(__file__).resolve().parents[2] / "examples"


def load_config(name: str) -> WorkspaceConfig:
    """Return the configuration generated from an example file."""
    data = (EXAMPLES / f"{name}.json").read_bytes()
    return generate_config(Answers.model_validate_json(data), 3)


class GenerationTest(unittest.TestCase):
    """Generated configurations match their answers."""

    def test_example_configuration(self) -> None:
        config = load_config("entoto")
        rules = {rule.path_prefix: rule for rule in config.services}
        self.assertEqual(config.revision, 3)
        self.assertEqual(
            [rule.path_prefix for rule in config.services],
            ["/bookings", "/orders", "/"],
        )
        self.assertFalse(rules["/orders"].repeatable)
        self.assertTrue(rules["/"].repeatable)
        self.assertEqual(rules["/orders"].priority, Priority.ORDER)
        self.assertEqual(config.kinds[2].priority, Priority.REPORT)
        self.assertEqual(max(dataclasses.astuple(config.weighing)), 3)
        self.assertEqual(config.pace, PACES[Pace.STEADY])

    def test_overridden_pace(self) -> None:
        answers = json.loads((EXAMPLES / "frio.json").read_bytes())
        answers["rollout"] = {"stages": [0.1, 1], "margin": 0.1}
        text = json.dumps(answers)
        config = generate_config(Answers.model_validate_json(text), 1)
        self.assertEqual(config.pace.stages, (0.1, 1.0))
        self.assertEqual(config.pace.margin, 0.1)
        self.assertEqual(config.pace.max_unrated, PACES[Pace.STEADY].max_unrated)


class DifferencesTest(unittest.TestCase):
    """Each change of behaviour is described in one line."""

    def test_every_kind_of_change(self) -> None:
        old = load_config("entoto")
        kinds = (
            dataclasses.replace(old.kinds[0], quality_target=0.8),
            dataclasses.replace(old.kinds[1], priority=Priority.QUESTION),
        )
        rule = dataclasses.replace(old.services[0], repeatable=True)
        key = dataclasses.replace(old.keys[0], revoked=True)
        new = dataclasses.replace(
            old,
            revision=4,
            allowed=(*old.allowed[1:], VersionId("fitting-large@2")),
            kinds=kinds,
            services=(rule, *old.services[1:]),
            keys=(key,),
            limits=Limits(50.0, 64, 4, 1_000_000),
            weighing=Weighing(1, 1, 2),
            data_centres=("bole",),
            pace=PACES[Pace.QUICK],
        )
        self.assertEqual(
            describe_differences(old, new),
            (
                "fitting-large@2: refused -> allowed",
                "fitting-small@1: allowed -> refused, also for sessions pinned to it",
                "question: quality target 0.75 -> 0.8",
                "tag: served earlier, group 3 -> 2",
                "report: no kind of work any more; requests that name it are refused",
                "POST bookings/bookings: runs at most once -> may be repeated",
                "key studio-app: accepted -> revoked",
                "key studio-operator: gone; it is refused",
                "runs in bole, cmc, kazanchis -> runs in bole",
                "weight of cost: 20% -> 25%",
                "weight of latency: 60% -> 25%",
                "weight of exposure: 20% -> 50%",
                "longest wait in seconds: 8 -> 4",
                "roll-out stages: 1%, 5%, 20%, 50%, 100% -> 10%, 50%, 100%",
                "unrated answers of a new version: 20 -> 50",
                "loss of rating that makes a version bad: 0.03 -> 0.05",
            ),
        )

    def test_no_change(self) -> None:
        old = load_config("frio")
        self.assertEqual(
            describe_differences(old, dataclasses.replace(old, revision=9)), ()
        )

    def test_new_workspace(self) -> None:
        lines = describe_differences(None, load_config("demo"))
        self.assertEqual(lines[0], "workspace demo is new")
        self.assertIn(
            "POST bookings/orders: runs at most once, served in group 1", lines
        )
