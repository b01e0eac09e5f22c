"""The registry's loop."""

from __future__ import annotations

import unittest
from unittest import mock

from waxwingwell.adapters.registry import daemon

from .support import make_registry


class TickTest(unittest.TestCase):
    """What is due, a few times a second."""

    def test_a_duty_that_fails_does_not_stop_the_others(self) -> None:
        """A fault in one duty.

        Were the loop that drives elections to end with it, the process would stay up
        and vote for nobody: a majority may be missing when two others lose their disks.
        """
        registry = make_registry()
        for failing in ("tick_member", "watch_rollouts", "run_sharing"):
            with (
                self.subTest(failing),
                mock.patch.multiple(
                    daemon,
                    tick_member=mock.DEFAULT,
                    watch_rollouts=mock.DEFAULT,
                    run_sharing=mock.DEFAULT,
                ) as duties,
            ):
                duties[failing].side_effect = RuntimeError("a fault")
                daemon.run_tick(registry.context)
                for duty in duties.values():
                    duty.assert_called_once()
