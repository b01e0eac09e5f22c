"""Start a role as the platform does, with a log mode or under a profiler.

``gateway_process.py file|null|none|timed|profile ROLE``. ``file`` leaves the log as it
is, ``null`` sends it to /dev/null, ``none`` creates no log lines, ``timed`` adds up the
CPU time of log lines, and ``profile`` profiles the whole process.
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


START_SCRIPT = Path(__file__).resolve().parents[1] / "platform" / "start.py"
TIMED = "seconds of log lines"
"""Start of the line on standard error that reports the CPU time of log lines."""
PROFILE_LINES = 12


def disable_logging() -> None:
    """Replace the log functions, so that no log line is created."""
    from loguru import logger

    from waxwingwell.adapters import events

    logger.remove()
    events.open_log = lambda node: lambda: None
    events.log_event = lambda event, **fields: None


def time_logging() -> list[float]:
    """Add up the CPU seconds of log lines in the only item of the returned list."""
    from waxwingwell.adapters import events

    seconds = [0.0]
    write = events.log_event

    def log_event(event: str, **fields: Any) -> None:
        started = time.thread_time()
        write(event, **fields)
        seconds[0] += time.thread_time() - started

    events.log_event = log_event
    return seconds


def main() -> None:
    """Start the role with the mode of the first argument."""
    # The started script does the same, but only after the imports of this one.
    sys.modules["OpenSSL"] = None  # type: ignore[assignment]
    mode = sys.argv.pop(1)
    seconds = time_logging() if mode == "timed" else [0.0]
    if mode == "null":
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
    elif mode == "none":
        disable_logging()

    profile = cProfile.Profile()
    if mode == "profile":
        profile.enable()

    runpy.run_path(str(START_SCRIPT), run_name="__main__")
    if mode == "timed":
        print(TIMED, seconds[0], file=sys.stderr)
    elif mode == "profile":
        profile.disable()
        pstats.Stats(profile, stream=sys.stderr).sort_stats("tottime").print_stats(
            PROFILE_LINES
        )


if __name__ == "__main__":
    main()
