"""The scenarios of the fleet experiment: what is run with which policy."""

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
from .world import Storm
from .world import make_world


if TYPE_CHECKING:
    from .engines import Engine
    from .fleet_traffic import Profile
    from .measures import Measures


WARM_UP = 35.0
"""Longer than the longest reports take, so that their tokens are counted evenly."""
DURATION = 95.0
LONG_DURATION = 335.0
"""For light load, so that its percentiles rest on as many requests."""
SESSION_LOAD = 0.7
LIGHT_LOAD = 0.2
DOUBLE_LOAD = 2.0
SWEEP_LOADS = (0.6, 0.8, 1.0, 1.25, 1.5, 2.0, 3.0)
SATURATION = 1.0
"""Loads of the sweep above this are past saturation."""
STORM_LOAD = 1.5
FAULT_LOAD = 0.6
FAULT_AT = 40.0
FAULT_FOR = 20.0


@dataclass(frozen=True, slots=True)
class Scenario:
    """One kind of run; ``name`` and ``load`` together name its rows."""

    name: str
    load: float
    policies: tuple[Policy, ...]
    duration: float = DURATION
    only_sessions: bool = False
    storm: Storm | None = None
    silent: int = 0
    """Engines that fall silent for a while."""
    failing: int = 0
    """Engines that answer with errors for a while."""


PAIR = (REAL, LEAST_IN_FLIGHT)
SCENARIOS = (
    Scenario(
        "sessions", SESSION_LOAD, (REAL, *BASELINES, *ABLATIONS), only_sessions=True
    ),
    Scenario("light", LIGHT_LOAD, PAIR, duration=LONG_DURATION),
    *(Scenario("sweep", load, PAIR) for load in SWEEP_LOADS),
    Scenario("retry storm", STORM_LOAD, PAIR, storm=Storm()),
    Scenario("one silent", FAULT_LOAD, PAIR, silent=1),
    Scenario("one failing", FAULT_LOAD, PAIR, failing=1),
    Scenario("all failing", FAULT_LOAD, PAIR, failing=99, storm=Storm()),
)


def run_scenario(
    profile: Profile, scenario: Scenario, policy: Policy, seed: int
) -> Measures:
    """Run one scenario with one policy and seed; the traffic depends on no policy."""
    traffic = make_traffic(
        profile,
        Random(seed * 1009 + 7),
        load=scenario.load,
        duration=scenario.duration,
        only_sessions=scenario.only_sessions,
    )
    world = make_world(profile, policy, seed, scenario.storm)
    engines = list(world.engines.values())
    for engine in engines[: scenario.silent]:
        call_at(world.clock, FAULT_AT, partial(set_silent, engine, True))
        call_at(world.clock, FAULT_AT + FAULT_FOR, partial(set_silent, engine, False))

    for engine in engines[: scenario.failing]:
        call_at(world.clock, FAULT_AT, partial(set_failing, engine, True))
        call_at(world.clock, FAULT_AT + FAULT_FOR, partial(set_failing, engine, False))

    run_world(world, traffic, scenario.duration)
    return measure_run(world, WARM_UP, scenario.duration)


def set_silent(engine: Engine, silent: bool) -> None:
    """Let an engine swallow new requests, or answer again."""
    engine.silent = silent


def set_failing(engine: Engine, failing: bool) -> None:
    """Let an engine answer new requests with errors, or serve again."""
    engine.failing = failing
