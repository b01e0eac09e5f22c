"""Structured log lines: their form, and that writing never waits."""

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
    """Let a process write lines; return those read, and whether it ended by itself."""
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
    """What a process writes on standard output."""

    def test_each_line_is_one_object(self) -> None:
        lines, ended = run_program(5, "gateway: Request ended", read=True)
        self.assertTrue(ended)
        found = [json.loads(line) for line in lines]
        self.assertEqual([one["request"] for one in found], list("01234"))
        for one in found:
            self.assertEqual(one["event"], "gateway: Request ended")
            self.assertEqual(one["node"], "node-1")

    def test_a_reader_that_does_not_read_blocks_nobody(self) -> None:
        """A full pipe.

        Whoever collects the lines hangs. A process that waited for it would answer no
        request any more; this one drops lines and goes on.
        """
        _, ended = run_program(3_000, "gateway: Request ended", read=False)
        self.assertTrue(ended)

    def test_the_last_lines_reach_a_reader_that_lags(self) -> None:
        """A process that ends while its lines wait.

        The pipe was full, and the lines of its stop went with the process. So it waits
        for the reader, though not for one that never reads.
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

    def test_routine_lines_are_bounded(self) -> None:
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
