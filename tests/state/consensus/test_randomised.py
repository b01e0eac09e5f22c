"""Randomised runs with fixed seeds and a fixed number of examples."""

from __future__ import annotations

from hypothesis import HealthCheck
from hypothesis import settings

from tests.state.consensus.randomised import ConsensusRun
from tests.state.consensus.randomised import FiveMembers


RUN_SETTINGS = settings(
    derandomize=True,
    database=None,
    deadline=None,
    max_examples=20,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)

ThreeMembersTest = ConsensusRun.TestCase
ThreeMembersTest.settings = RUN_SETTINGS
FiveMembersTest = FiveMembers.TestCase
FiveMembersTest.settings = RUN_SETTINGS
