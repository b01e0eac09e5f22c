"""Signal handling before a process's role has started and after it has stopped.

This module is imported first and keeps its own imports small: importing the public
module ``signal`` takes as long as starting the interpreter.
"""

from __future__ import annotations

import _signal

from .clock import read_clock


STOP_SIGNALS = (int(_signal.SIGTERM), int(_signal.SIGINT))
RELOAD_SIGNAL = int(_signal.SIGHUP)


class ProcessStart:
    """Start time of a process and the signals received since, by ``read_clock``."""

    def __init__(self, started_at: float) -> None:
        self.started_at = started_at
        self.stop_requested_at: float | None = None
        """Time of the first signal to stop."""
        self.settings_changed = False
        """Whether a signal has announced changed settings."""

    def record(self, number: int, now: float) -> None:
        """Record a signal."""
        if number == RELOAD_SIGNAL:
            self.settings_changed = True
        elif self.stop_requested_at is None:
            self.stop_requested_at = now


def record_signals(start: ProcessStart) -> None:
    """Record signals from now on instead of executing their default action.

    The default action ends the process. Connections queued in its listening port
    would be reset, and their callers could not tell whether requests were read.
    """

    def handle_signal(number: int, frame: object) -> None:
        start.record(number, read_clock())

    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        _signal.signal(number, handle_signal)


def ignore_signals() -> None:
    """Ignore signals from now on, as the process is about to exit.

    The interpreter restores the default actions while it exits, and a signal would
    then make a planned stop look like a crash.
    """
    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        _signal.signal(number, _signal.SIG_IGN)
