"""Base classes of the randomised runs."""

from __future__ import annotations

import unittest

from hypothesis import settings
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import run_state_machine_as_test

from waxwingwell.invariants import BREACHES


RUN = settings(max_examples=120, stateful_step_count=50, deadline=None)
"""Settings of a run in CI; all others come from the loaded profile."""


class Run(RuleBasedStateMachine):
    """A state machine test that fails on a breached invariant."""

    def __init__(self) -> None:
        """Enable errors on breaches for the duration of the run."""
        super().__init__()
        self.raised_before = BREACHES.raise_on_breach
        BREACHES.raise_on_breach = True

    def teardown(self) -> None:
        """Restore the former setting."""
        BREACHES.raise_on_breach = self.raised_before


class RunTestCase(unittest.TestCase):
    """A test case for one run with the settings of CI."""

    def run_machine(self, machine: type[Run]) -> None:
        """Run ``machine`` with random sequences of its rules."""
        run_state_machine_as_test(machine, settings=settings(RUN))
