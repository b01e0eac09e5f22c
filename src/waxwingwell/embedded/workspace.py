"""The demo workspace with its keys, answers and configuration."""

from __future__ import annotations

from importlib import resources
from typing import TYPE_CHECKING

from ..answers.findings import check_answers
from ..answers.generation import generate_config
from .fleet import list_versions


if TYPE_CHECKING:
    from ..records import WorkspaceConfig


WORKSPACE = "demo"
DEMO_KEY = "demo-key"
"""Publicly known key of callers.

Only the embedded role accepts it, and that role listens on loopback only.
"""
OPERATOR_KEY = "demo-operator-key"
"""Key of the administration API; only the embedded role accepts it."""
ANSWERS = "demo.json"


def read_demo_answers() -> bytes:
    """Return the questionnaire answers of the demo workspace as JSON."""
    return resources.files(__package__ or "").joinpath(ANSWERS).read_bytes()


def make_demo_config(answers: bytes) -> WorkspaceConfig:
    """Return the configuration generated from the demo workspace's answers."""
    versions = frozenset(spec.version for spec in list_versions())
    checked = check_answers(answers, versions=versions).unwrap()
    return generate_config(checked, revision=1)
