"""The soak test's records of its own stalls and of processes that do not stop."""

from __future__ import annotations

import asyncio
import contextlib
import subprocess
import sys
import time
import unittest
from pathlib import Path

from bench.soak.processes import describe_state
from bench.soak.processes import make_fleet
from bench.soak.processes import stop_fleet
from bench.soak.records import STALL_SECONDS
from bench.soak.records import Journal
from bench.soak.records import Stall
from bench.soak.records import parse_steal_seconds
from bench.soak.records import sum_stalls
from bench.soak.records import watch_stalls


STALLED_SECONDS = 2 * STALL_SECONDS


def block_busy() -> None:
    """Block the event loop with computation for longer than a stall."""
    until = time.thread_time() + STALLED_SECONDS
    while time.thread_time() < until:
        pass


def block_idle() -> None:
    """Block the event loop without computation for longer than a stall."""
    time.sleep(STALLED_SECONDS)


async def block_loop(journal: Journal, function: object) -> None:
    """Watch the event loop while a function blocks it."""
    watch = asyncio.create_task(watch_stalls(journal))
    await asyncio.sleep(0)
    assert callable(function)
    function()
    while not journal.stalls:
        await asyncio.sleep(0)

    watch.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await watch


class StallTest(unittest.TestCase):
    """Records of an event loop that does not run for a while."""

    def test_computation_is_distinguished_from_waiting(self) -> None:
        """Guards against stalls of the soak test that look like product faults."""
        for name, function, uses_cpu in (
            ("work", block_busy, True),
            ("wait", block_idle, False),
        ):
            with self.subTest(name):
                journal = Journal()
                asyncio.run(block_loop(journal, function))
                first: Stall = journal.stalls[0]
                self.assertGreaterEqual(
                    first.ended_at - first.began_at, STALLED_SECONDS
                )
                self.assertIs(first.cpu_seconds >= STALLED_SECONDS, uses_cpu)

    def test_stalls_are_clipped_to_the_time_span(self) -> None:
        journal = Journal()
        for began_at, ended_at in ((1.0, 2.0), (3.0, 3.5)):
            stall = Stall(
                began_at=began_at, ended_at=ended_at, cpu_seconds=0.0, steal_seconds=0.0
            )
            journal.stalls.append(stall)

        for since, until, expected in (
            (0.0, 4.0, 1.5),
            (1.5, 3.25, 0.75),
            (2.0, 3.0, 0.0),
        ):
            with self.subTest(since=since, until=until):
                self.assertAlmostEqual(sum_stalls(journal, since, until), expected)

    def test_steal_time(self) -> None:
        text = "cpu  10 0 10 100 0 0 0 250 0 0\ncpu0 1 0 1 1 0 0 0 5 0 0\n"
        self.assertAlmostEqual(parse_steal_seconds(text), 2.5)


class StateTest(unittest.TestCase):
    """The description of a process that does not stop."""

    def test_running_and_ended_processes(self) -> None:
        fleet = make_fleet(Path(), 1, 0)
        self.addCleanup(stop_fleet, fleet)
        [member] = fleet.members
        self.assertEqual(describe_state(member), "not started")
        member.process = subprocess.Popen(
            [sys.executable, "-c", "import sys; sys.stdin.read()"],
            stdin=subprocess.PIPE,
        )
        self.assertRegex(describe_state(member), "^state [A-Z], waits in ")
        member.process.communicate()
        self.assertIn("ended meanwhile", describe_state(member))
