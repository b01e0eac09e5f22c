"""What the soak notes of its own stalls and of processes that do not stop."""

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
from bench.soak.records import STALL_SECONDS
from bench.soak.records import Journal
from bench.soak.records import Stall
from bench.soak.records import parse_steal_seconds
from bench.soak.records import sum_stalls
from bench.soak.records import watch_stalls


STALLED = 2 * STALL_SECONDS


def work() -> None:
    """Use the processor for longer than a stall."""
    until = time.thread_time() + STALLED
    while time.thread_time() < until:
        pass


def wait() -> None:
    """Use no processor for longer than a stall."""
    time.sleep(STALLED)


async def stall(journal: Journal, action: object) -> None:
    """Watch the loop while it does something that stops it."""
    watch = asyncio.create_task(watch_stalls(journal))
    await asyncio.sleep(0)
    assert callable(action)
    action()
    while not journal.stalls:
        await asyncio.sleep(0)

    watch.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await watch


class StallTest(unittest.TestCase):
    """A loop that does not run for a time."""

    def test_its_own_work_is_told_from_waiting(self) -> None:
        """Guards against faults of the soak that are taken for the product's."""
        for name, action, busy in (("work", work, True), ("wait", wait, False)):
            with self.subTest(name):
                journal = Journal()
                asyncio.run(stall(journal, action))
                first: Stall = journal.stalls[0]
                self.assertGreaterEqual(first.ended_at - first.began_at, STALLED)
                self.assertIs(first.cpu_seconds >= STALLED, busy)

    def test_stalls_within_a_time(self) -> None:
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

    def test_stolen_time(self) -> None:
        text = "cpu  10 0 10 100 0 0 0 250 0 0\ncpu0 1 0 1 1 0 0 0 5 0 0\n"
        self.assertAlmostEqual(parse_steal_seconds(text), 2.5)


class StateTest(unittest.TestCase):
    """What is told of a process that does not stop."""

    def test_a_process_that_runs_and_one_that_has_ended(self) -> None:
        [member, *_] = make_fleet(Path(), 1, 0).members
        self.assertEqual(describe_state(member), "not started")
        member.process = subprocess.Popen(
            [sys.executable, "-c", "import sys; sys.stdin.read()"],
            stdin=subprocess.PIPE,
        )
        self.assertRegex(describe_state(member), "^state [A-Z], waits in ")
        member.process.communicate()
        self.assertIn("ended meanwhile", describe_state(member))
