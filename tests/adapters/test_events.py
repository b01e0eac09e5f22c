"""Structured log lines: their format, and that writing never blocks."""

from __future__ import annotations

import json
import os
import subprocess
import sys
import threading
import unittest
from pathlib import Path

from waxwingwell.adapters.events import MAX_ROUTINE_LINES_PER_SECOND
from waxwingwell.adapters.events import LogOutput
from waxwingwell.adapters.events import flush_output


ROOT = Path(__file__).resolve().parents[2]
PROGRAM = """
import sys
from waxwingwell.adapters import events
events.open_log("node-1")
for number in range({lines}):
    events.log_event({event!r}, request=str(number), text="x" * 200)
print("lines", file=sys.stderr)
"""


def run_program(lines: int, event: str, *, read: bool) -> tuple[list[str], bool]:
    """Run a process that logs lines; return those read, and whether it finished."""
    program = PROGRAM.format(lines=lines, event=event)
    environment = {**os.environ, "PYTHONPATH": str(ROOT / "src")}
    reading, writing = os.pipe()
    process = subprocess.Popen(
        [sys.executable, "-c", program],
        stdout=writing,
        stderr=subprocess.PIPE,
        env=environment,
    )
    os.close(writing)
    with os.fdopen(reading, "rb") as stream, process:
        text = stream.read() if read else b""
        _, errors = process.communicate(timeout=60)

    return text.decode().splitlines(), b"lines" in errors


def read_all(descriptor: int, found: list[bytes]) -> None:
    """Read to the end of a pipe."""
    while data := os.read(descriptor, 65_536):
        found.append(data)


class LogTest(unittest.TestCase):
    """Log lines of a process on standard output."""

    def test_each_line_is_one_object(self) -> None:
        lines, ended = run_program(5, "gateway: Request ended", read=True)
        self.assertTrue(ended)
        found = [json.loads(line) for line in lines]
        self.assertEqual([one["request"] for one in found], list("01234"))
        for one in found:
            self.assertEqual(one["event"], "gateway: Request ended")
            self.assertEqual(one["node"], "node-1")

    def test_a_full_pipe_does_not_block_the_process(self) -> None:
        """The log collector hangs and the pipe fills up.

        A process that blocked on the pipe would stop serving requests; it must drop
        lines and continue.
        """
        _, ended = run_program(3_000, "gateway: Request ended", read=False)
        self.assertTrue(ended)

    def test_the_last_lines_reach_a_lagging_reader(self) -> None:
        """A process exits while the pipe is full.

        The lines of its stop would be lost with its buffer, so it waits for the
        reader, but not for one that never reads.
        """
        for reads in (True, False):
            with self.subTest(reads=reads):
                reading, writing = os.pipe()
                os.set_blocking(writing, False)
                output = LogOutput(writing)
                written = 0
                while len(output.pending) < 3:
                    output.write(b"x" * 999 + b"\n")
                    written += 1

                times = iter(range(100))
                found: list[bytes] = []
                reader = threading.Thread(
                    target=read_all, args=(reading, found), daemon=True
                )
                if reads:
                    reader.start()

                flush_output(output, lambda: next(times), 90 if reads else 1)  # noqa: B023
                self.assertIs(bool(output.pending), not reads)
                os.close(writing)
                if not reads:
                    reader.start()

                reader.join()
                os.close(reading)
                self.assertEqual(b"".join(found).count(b"\n") == written, reads)

    def test_routine_events_are_rate_limited(self) -> None:
        for event, lines, written in (
            (
                "gateway: Placed",
                MAX_ROUTINE_LINES_PER_SECOND - 1,
                MAX_ROUTINE_LINES_PER_SECOND - 1,
            ),
            (
                "gateway: Placed",
                5 * MAX_ROUTINE_LINES_PER_SECOND,
                MAX_ROUTINE_LINES_PER_SECOND,
            ),
            (
                "gateway: Request ended",
                5 * MAX_ROUTINE_LINES_PER_SECOND,
                5 * MAX_ROUTINE_LINES_PER_SECOND,
            ),
        ):
            with self.subTest(event=event, lines=lines):
                output = LogOutput(descriptor=-1)
                admitted = sum(output.admits(event, 7.5) for _ in range(lines))
                self.assertEqual(admitted, written)
                self.assertEqual(output.dropped, lines - written)
                self.assertTrue(output.admits(event, 8.0))
