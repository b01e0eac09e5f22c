"""Starts a role as the platform does, with its log or its time looked at.

``gateway_process.py file|null|none|timed|profile ROLE``: the log as it is, to nowhere,
with no line made, with its processor time summed, and all of the process profiled.
"""

from __future__ import annotations

import cProfile
import os
import pstats
import runpy
import sys
import time
from pathlib import Path
from typing import Any


START = Path(__file__).resolve().parents[1] / "platform" / "start.py"
TIMED = "seconds of log lines"
"""Begins the line on standard error that tells the time."""
TOP = 12


def leave_out() -> None:
    """Make no line."""
    from loguru import logger

    from waxwingwell.adapters import events

    logger.remove()
    events.open_log = lambda node: lambda: None
    events.log_event = lambda event, **fields: None


def take_times() -> list[float]:
    """Sum the processor time of log lines in the one item of the result."""
    from waxwingwell.adapters import events

    spent = [0.0]
    write = events.log_event

    def log_event(event: str, **fields: Any) -> None:
        began = time.thread_time()
        write(event, **fields)
        spent[0] += time.thread_time() - began

    events.log_event = log_event
    return spent


def main() -> None:
    """Start the role."""
    # As in the script that is started, whose own comes after these imports.
    sys.modules["OpenSSL"] = None  # type: ignore[assignment]
    mode = sys.argv.pop(1)
    spent = take_times() if mode == "timed" else [0.0]
    if mode == "null":
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    elif mode == "none":
        leave_out()

    profile = cProfile.Profile()
    if mode == "profile":
        profile.enable()

    runpy.run_path(str(START), run_name="__main__")
    if mode == "timed":
        print(TIMED, spent[0], file=sys.stderr)
    elif mode == "profile":
        profile.disable()
        pstats.Stats(profile, stream=sys.stderr).sort_stats("tottime").print_stats(TOP)


if __name__ == "__main__":
    main()
