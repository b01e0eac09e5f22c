"""Tests of the registry's periodic tasks."""

from __future__ import annotations

import unittest
from unittest import mock

from waxwingwell.adapters.registry import daemon

from .support import make_registry


class TickTest(unittest.TestCase):
    """The loop that runs the periodic tasks."""

    def test_a_task_that_fails_does_not_stop_the_others(self) -> None:
        """An error in one task must not end the loop that drives elections.

        The process would stay up without voting, so that there may be no majority when
        two other controls lose their disks.
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
                ) as tasks,
            ):
                tasks[failing].side_effect = RuntimeError("a fault")
                daemon.run_tick(registry.context)
                for task in tasks.values():
                    task.assert_called_once()
