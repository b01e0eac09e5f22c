"""Random runs for as long as asked, each from a seed that is printed."""

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


ROUND = settings(
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
    """Run rounds until the time is over; return the steps taken.

    Prints the seed first; the same seed gives the same rounds.
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
    """Run both sizes once; raise with a minimal example if a property breaks."""
    for machine in (ConsensusRun, FiveMembers):
        run_state_machine_as_test(hypothesis.seed(seed)(machine), settings=ROUND)


if __name__ == "__main__":
    run(60.0)
