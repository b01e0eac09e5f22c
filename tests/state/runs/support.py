"""What the randomised runs share."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test

from waxwingwell.invariants import BREACHES


RUN = settings(max_examples=120, stateful_step_count=50, deadline=None)
"""Budget of one run in CI; other settings come from the loaded profile."""


class Run(RuleBasedStateMachine):
    """A run in which a breach of a promise ends the run."""

    def __init__(self) -> None:
        """Raise on a breach until the run ends."""
        super().__init__()
        self.raised_before = BREACHES.raise_on_breach
        BREACHES.raise_on_breach = True

    def teardown(self) -> None:
        """Put the switch back."""
        BREACHES.raise_on_breach = self.raised_before


class RunTestCase(unittest.TestCase):
    """A test that carries out one run with the budget of CI."""

    def run_machine(self, machine: type[Run]) -> None:
        """Run ``machine`` with many random sequences of its rules."""
        run_state_machine_as_test(machine, settings=settings(RUN))
