"""Soak test: repeats every randomised run with new seeds for a given time.

``python -m tests.soak [SECONDS [SEED]]`` executes rounds of each run in turn until the
time is over. Each seed is printed before its round; the same seed gives the same round.
"""

from __future__ import annotations

import secrets
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

import hypothesis
from hypothesis import HealthCheck
from hypothesis import Phase
from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test

from tests.state.consensus import soak as consensus
from tests.state.consensus.acknowledged import run_play
from tests.state.runs.test_configuration import ConfigurationRun
from tests.state.runs.test_leases import LeaseRun
from tests.state.runs.test_ledger import LedgerRun
from tests.state.runs.test_membership import MembershipRun


DEFAULT_SECONDS = 120.0
SEED_BITS = 32
EXAMPLES = 100
STEPS = 80
RUNS: tuple[type[RuleBasedStateMachine], ...] = (
    ConfigurationRun,
    LeaseRun,
    LedgerRun,
    MembershipRun,
)


@dataclass(frozen=True, slots=True)
class Soak:
    """A randomised run, and the function that executes one round of it."""

    name: str
    run_round: Callable[[int], None]


def make_soak(machine: type[RuleBasedStateMachine]) -> Soak:
    """Return the soak test of one state machine."""
    budget = settings(
        derandomize=False,
        database=None,
        deadline=None,
        max_examples=EXAMPLES,
        stateful_step_count=STEPS,
        phases=(Phase.generate,),
        suppress_health_check=list(HealthCheck),
        print_blob=True,
    )

    def run_round(seed: int) -> None:
        run_state_machine_as_test(hypothesis.seed(seed)(machine), settings=budget)

    return Soak(machine.__name__, run_round)


def run_acknowledged(seed: int) -> None:
    """Run one play of acknowledged orders; raise if something was lost."""
    problems = run_play(seed)
    assert not problems, problems


def run_soaks(seconds: float, seed: int) -> int:
    """Run rounds of all soak tests in turn for some time; return their number."""
    soaks = [make_soak(machine) for machine in RUNS]
    soaks.append(Soak("ConsensusRun", consensus.run_round))
    soaks.append(Soak("Acknowledged", run_acknowledged))
    end = time.monotonic() + seconds
    rounds = 0
    while time.monotonic() < end:
        soak = soaks[rounds % len(soaks)]
        print(f"{soak.name}: seed {seed + rounds}", flush=True)
        soak.run_round(seed + rounds)
        rounds += 1

    return rounds


def main() -> None:
    """Run the soak tests; a failure ends the program with its example and seed."""
    seconds = float(sys.argv[1]) if len(sys.argv) > 1 else DEFAULT_SECONDS
    seed = int(sys.argv[2]) if len(sys.argv) > 2 else secrets.randbits(SEED_BITS)
    rounds = run_soaks(seconds, seed)
    print(f"{rounds} rounds, none failed")


if __name__ == "__main__":
    main()
