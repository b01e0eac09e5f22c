"""Invalid answers produce all findings at once, each with its place."""

from __future__ import annotations

import copy
import hashlib
import json
import unittest
from pathlib import Path
from typing import Any

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
from returns.result import Failure
from returns.result import Success

from waxwingwell.answers.findings import MAX_ANSWER_BYTES
from waxwingwell.answers.findings import check_answers
from waxwingwell.answers.generation import generate_config


EXAMPLES = Path(__file__).resolve().parents[2] / "examples"
VERSIONS = frozenset(
    {
        "small@1",
        "small@2",
        "large@1",
        "large@2",
        "fitting-small@1",
        "fitting-small@2",
        "fitting-large@1",
        "storage-small@1",
        "storage-large@1",
        "storage-large@2",
    }
)
DEMO = json.loads((EXAMPLES / "demo.json").read_bytes())
KEY = {"name": "app", "sha256": "0" * 64}
EMPTY_DIGEST = hashlib.sha256(b"").hexdigest()
DEMO_DIGEST = hashlib.sha256(b"demo-key").hexdigest()


def modify_demo(**places: Any) -> bytes:
    """Return the demo answers as JSON, with values set at places (``a__0__b``)."""
    answers = copy.deepcopy(DEMO)
    for place, value in places.items():
        target = answers
        *path, last = [int(x) if x.isdigit() else x for x in place.split("__")]
        for key in path:
            target = target[key]

        target[last] = value

    return json.dumps(answers).encode()


def list_places(data: bytes) -> list[str]:
    """Return the sorted places of all findings."""
    result = check_answers(data, versions=VERSIONS)
    if isinstance(result, Success):
        return []

    return sorted(finding.place for finding in result.failure())


CASES: tuple[tuple[str, bytes, list[str]], ...] = (
    ("invalid JSON", b'{"a": ', ["line 1, column 7"]),
    ("invalid UTF-8", b'"\xff"', ["byte 1"]),
    ("not an object", b"[]", ["answers"]),
    ("not a number", b'{"limits": NaN}', ["answers"]),
    ("too large", b" " * (MAX_ANSWER_BYTES + 1), ["answers"]),
    ("nested too deep", b"[" * 100_000, ["answers"]),
    (
        "required questions missing",
        b"{}",
        ["kinds", "models", "who_waits", "workspace"],
    ),
    (
        "unknown questions at three levels",
        modify_demo(colour=1, kinds__0__colour=1, limits={"colour": 1}),
        ["colour", "kinds.0.colour", "limits.colour"],
    ),
    (
        "duplicate key",
        modify_demo().replace(b'"quality_target": 0.7,', b'"quality_target": 1,' * 2),
        ["kinds.1.quality_target"],
    ),
    (
        "wrong types are not converted",
        modify_demo(kinds__0__quality_target="0.7", limits={"max_in_flight": True}),
        ["kinds.0.quality_target", "limits.max_in_flight"],
    ),
    (
        "out of range",
        modify_demo(
            kinds__0__quality_target=1.5,
            limits={"max_in_flight": 0, "max_wait_seconds": -1},
            weights={"cost": -1},
        ),
        [
            "kinds.0.quality_target",
            "limits.max_in_flight",
            "limits.max_wait_seconds",
            "weights.cost",
        ],
    ),
    (
        "schema errors and contradictions together",
        modify_demo(
            kinds__0__quality_target=2, models={"allowed": ["x@9"]}, keys=[KEY] * 2
        ),
        ["keys.1.name", "keys.1.sha256", "kinds.0.quality_target", "models.allowed.0"],
    ),
    ("unknown default kind", modify_demo(default_kind="order"), ["default_kind"]),
    (
        "call both repeatable and not repeatable",
        modify_demo(
            services__0__calls__1__path="/orders",
            services__0__calls__1__repeatable=True,
        ),
        ["services.0.calls.1.repeatable"],
    ),
    (
        "who_waits: unknown, duplicate and missing names",
        modify_demo(
            who_waits=[
                ["club-order", "booking", "booking-lookup", "fitter"],
                ["question", "question"],
                ["club-order", "tag"],
            ]
        ),
        ["kinds.2.name", "who_waits.0.3", "who_waits.1.1", "who_waits.2.0"],
    ),
    (
        "too many groups",
        modify_demo(
            who_waits=[
                ["club-order"],
                ["booking", "booking-lookup"],
                ["question"],
                ["tag"],
                ["report"],
            ]
        ),
        ["who_waits"],
    ),
    (
        "version both allowed and excluded",
        modify_demo(models={"allowed": ["small@1", "large@2"], "never": ["large"]}),
        ["models.allowed.1"],
    ),
    (
        "unregistered version",
        modify_demo(models={"allowed": ["a@1"]}),
        ["models.allowed.0"],
    ),
    (
        "all weights zero",
        modify_demo(weights={"cost": 0, "latency": 0, "exposure": 0}),
        ["weights"],
    ),
    (
        "stages with a pace, not rising, not ending at 1",
        modify_demo(rollout={"pace": "quick", "stages": [0.5, 0.2, 0.9]}),
        ["rollout.stages", "rollout.stages.1", "rollout.stages.2"],
    ),
    (
        "exposure has the highest weight, large first stage",
        modify_demo(weights={"exposure": 9}, rollout={"stages": [0.5, 1]}),
        ["rollout.stages.0"],
    ),
    (
        "margin as large as a quality target",
        modify_demo(rollout={"margin": 0.8}),
        ["rollout.margin"] * 2,
    ),
    (
        "latency has the highest weight, long wait",
        modify_demo(weights={"latency": 9}, limits={"max_wait_seconds": 31}),
        ["limits.max_wait_seconds"],
    ),
    ("duplicate data centre", modify_demo(data_centres=["a", "a"]), ["data_centres.1"]),
    (
        "key of the demo workspace",
        modify_demo(keys=[{"name": "app", "sha256": DEMO_DIGEST}]),
        ["keys.0.sha256"],
    ),
    (
        "empty key",
        modify_demo(keys=[{"name": "app", "sha256": EMPTY_DIGEST}]),
        ["keys.0.sha256"],
    ),
)


class FindingsTest(unittest.TestCase):
    """Each case lists exactly the places that must be reported."""

    def test_invalid_answers(self) -> None:
        for name, data, places in CASES:
            with self.subTest(name):
                self.assertEqual(sorted(set(list_places(data))), sorted(set(places)))

    def test_examples_are_valid(self) -> None:
        for path in sorted(EXAMPLES.glob("*.json")):
            with self.subTest(path.name):
                result = check_answers(path.read_bytes(), versions=VERSIONS)
                self.assertIsInstance(result, Success)
                config = generate_config(result.unwrap(), 1)
                self.assertEqual(len(config.kinds), 3)

    def test_unknown_data_centre(self) -> None:
        data = (EXAMPLES / "frio.json").read_bytes()
        result = check_answers(data, versions=VERSIONS, data_centres={"tandil", "mdp"})
        self.assertIsInstance(result, Failure)
        places = [finding.place for finding in result.failure()]
        self.assertEqual(places, ["data_centres.0"])

    @settings(max_examples=50)
    @given(
        st.sampled_from(sorted(DEMO)),
        st.recursive(
            st.none() | st.booleans() | st.integers() | st.floats() | st.text(),
            lambda inner: (
                st.lists(inner, max_size=3)
                | st.dictionaries(
                    st.sampled_from(
                        ["name", "calls", "path", "methods", "stages", "x"]
                    ),
                    inner,
                    max_size=3,
                )
            ),
            max_leaves=8,
        ),
    )
    def test_arbitrary_values_never_raise(self, question: str, value: object) -> None:
        """Any JSON value for any question yields a result instead of an exception."""
        result = check_answers(modify_demo(**{question: value}), versions=VERSIONS)
        self.assertIsInstance(result, Success | Failure)
