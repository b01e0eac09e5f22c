"""Randomised runs for a given time, each from a printed seed."""

from __future__ import annotations

import secrets
import time

import hypothesis
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import run_state_machine_as_test

from tests.state.consensus.randomised import ConsensusRun
from tests.state.consensus.randomised import FiveMembers


ROUND_SETTINGS = settings(
    derandomize=False,
    database=None,
    deadline=None,
    max_examples=20,
    stateful_step_count=60,
    phases=(Phase.generate,),
    suppress_health_check=list(HealthCheck),
    print_blob=True,
)


def run(seconds: float, seed: int | None = None) -> int:
    """Run rounds until ``seconds`` have passed; return the number of steps.

    Prints the seed first; the same seed reproduces the same rounds.
    """
    seed = secrets.randbits(32) if seed is None else seed
    print(f"consensus: seed {seed}")
    ConsensusRun.steps = 0
    end = time.monotonic() + seconds
    rounds = 0
    while time.monotonic() < end:
        run_round(seed + rounds)
        rounds += 1

    print(f"consensus: {rounds} rounds, {ConsensusRun.steps} steps, none failed")
    return ConsensusRun.steps


def run_round(seed: int) -> None:
    """Run both cluster sizes once; raise with a minimal example on a violation."""
    for machine in (ConsensusRun, FiveMembers):
        run_state_machine_as_test(
            hypothesis.seed(seed)(machine), settings=ROUND_SETTINGS
        )


if __name__ == "__main__":
    run(60.0)
