"""Signals to a role of ``waxwingwell serve`` while it starts, runs and stops."""

from __future__ import annotations

import os
import subprocess
import sys
import unittest
from typing import ClassVar


ROLE = """
import os, signal, sys
from twisted.internet import reactor, task
from waxwingwell.adapters.settings import EmbeddedSettings
from waxwingwell.commands import serve

async def start(settings, reactor, stop):
    {while_it_starts}
    await task.deferLater(reactor, 0, lambda: None)
    {after_the_start}

    async def end():
        {while_it_stops}
        print("ended")

    print("started")
    return serve.Running(stop=end)

serve._start = start
code = serve.run_role({settings}, reactor)
{at_the_end}
sys.exit(code)
"""
DAEMON = "None"
EMBEDDED = "EmbeddedSettings()"
STOPPED = "started\nended\n"


def send(*names: str) -> str:
    """Return code with which a process sends signals to itself."""
    return "; ".join(f"os.kill(os.getpid(), signal.{name})" for name in names)


class SignalTest(unittest.TestCase):
    """A signalled role stops gracefully, so that its callers receive responses."""

    CASES: ClassVar[dict[str, tuple[str, dict[str, tuple[str, ...]]]]] = {
        "stopped while it starts": (DAEMON, {"while_it_starts": ("SIGTERM",)}),
        "stopped after the start": (DAEMON, {"after_the_start": ("SIGTERM",)}),
        "signalled twice": (
            DAEMON,
            {"after_the_start": ("SIGTERM",), "while_it_stops": ("SIGTERM", "SIGINT")},
        ),
        "a daemon's settings change": (
            DAEMON,
            {"while_it_starts": ("SIGHUP",), "after_the_start": ("SIGHUP", "SIGTERM")},
        ),
        "the terminal closes": (EMBEDDED, {"after_the_start": ("SIGHUP",)}),
        "signalled at the end": (
            DAEMON,
            {
                "after_the_start": ("SIGTERM",),
                "at_the_end": ("SIGTERM", "SIGINT", "SIGHUP"),
            },
        ),
    }
    MOMENTS = ("while_it_starts", "after_the_start", "while_it_stops", "at_the_end")

    def test_the_role_stops_in_order(self) -> None:
        """Guards against a signal that kills a role before its callers are answered."""
        for name, (settings, signals) in self.CASES.items():
            with self.subTest(name):
                steps = {one: send(*signals.get(one, ())) for one in self.MOMENTS}
                code = ROLE.format(settings=settings, **steps)
                done = subprocess.run(
                    [sys.executable, "-c", code],
                    env={**os.environ},
                    capture_output=True,
                    text=True,
                    check=False,
                )
                self.assertEqual(done.returncode, 0, done.stderr)
                self.assertEqual(done.stdout, STOPPED)


if __name__ == "__main__":
    unittest.main()
