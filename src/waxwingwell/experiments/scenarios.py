"""The scenarios of the fleet experiment and the policies that each compares."""

from __future__ import annotations

from dataclasses import dataclass
from functools import partial
from random import Random
from typing import TYPE_CHECKING

from .entries import ABLATIONS
from .entries import BASELINES
from .entries import LEAST_IN_FLIGHT
from .entries import REAL
from .entries import Policy
from .events import call_at
from .fleet_traffic import make_traffic
from .measures import measure_run
from .runs import run_world
from .world import RetryStorm
from .world import make_world


if TYPE_CHECKING:
    from .engines import Engine
    from .fleet_traffic import Profile
    from .measures import Measures


WARM_UP_SECONDS = 35.0
"""Longer than the longest reports take, so that their tokens are counted evenly."""
DURATION_SECONDS = 95.0
LONG_DURATION_SECONDS = 335.0
"""Duration at light load, so that its percentiles rest on as many requests."""
SESSION_LOAD = 0.7
LIGHT_LOAD = 0.2
DOUBLE_LOAD = 2.0
SWEEP_LOADS = (0.6, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0)
SATURATION = 1.0
"""Highest load of the sweep that does not count as past saturation."""
STORM_LOAD = 1.5
FAULT_LOAD = 0.6
FAULT_START_SECONDS = 40.0
FAULT_DURATION_SECONDS = 20.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """One kind of run; ``name`` and ``load`` together identify its rows."""

    name: str
    load: float
    policies: tuple[Policy, ...]
    duration: float = DURATION_SECONDS
    only_sessions: bool = False
    retry_storm: RetryStorm | None = None
    unresponsive: int = 0
    """Number of engines that are unresponsive for a while."""
    failing: int = 0
    """Number of engines that respond with errors for a while."""


COMPARED_POLICIES = (REAL, LEAST_IN_FLIGHT)
SCENARIOS = (
    Scenario(
        "sessions", SESSION_LOAD, (REAL, *BASELINES, *ABLATIONS), only_sessions=True
    ),
    Scenario("light", LIGHT_LOAD, COMPARED_POLICIES, duration=LONG_DURATION_SECONDS),
    *(Scenario("sweep", load, COMPARED_POLICIES) for load in SWEEP_LOADS),
    Scenario("retry storm", STORM_LOAD, COMPARED_POLICIES, retry_storm=RetryStorm()),
    Scenario("one silent", FAULT_LOAD, COMPARED_POLICIES, unresponsive=1),
    Scenario("one failing", FAULT_LOAD, COMPARED_POLICIES, failing=1),
    Scenario(
        "all failing",
        FAULT_LOAD,
        COMPARED_POLICIES,
        failing=99,
        retry_storm=RetryStorm(),
    ),
)


def run_scenario(
    profile: Profile, scenario: Scenario, policy: Policy, seed: int
) -> Measures:
    """Run one scenario; its traffic depends on the seed but not on the policy."""
    traffic = make_traffic(
        profile,
        Random(seed * 1009 + 7),
        load=scenario.load,
        duration=scenario.duration,
        only_sessions=scenario.only_sessions,
    )
    world = make_world(profile, policy, seed, scenario.retry_storm)
    engines = list(world.engines.values())
    for engine in engines[: scenario.unresponsive]:
        call_at(
            world.clock, FAULT_START_SECONDS, partial(set_unresponsive, engine, True)
        )
        call_at(
            world.clock,
            FAULT_START_SECONDS + FAULT_DURATION_SECONDS,
            partial(set_unresponsive, engine, False),
        )

    for engine in engines[: scenario.failing]:
        call_at(world.clock, FAULT_START_SECONDS, partial(set_failing, engine, True))
        call_at(
            world.clock,
            FAULT_START_SECONDS + FAULT_DURATION_SECONDS,
            partial(set_failing, engine, False),
        )

    run_world(world, traffic, scenario.duration)
    return measure_run(world, WARM_UP_SECONDS, scenario.duration)


def set_unresponsive(engine: Engine, unresponsive: bool) -> None:
    """Make an engine ignore new requests, or serve again."""
    engine.unresponsive = unresponsive


def set_failing(engine: Engine, failing: bool) -> None:
    """Make an engine respond to new requests with errors, or serve again."""
    engine.failing = failing
