"""Signals of a process whose role can't act on them yet, or not any more.

Imported before anything else, so it loads as little as possible: the public module
``signal`` takes as long to load as the interpreter takes to start.
"""

from __future__ import annotations

import _signal

from .clock import read_clock


STOP_SIGNALS = (int(_signal.SIGTERM), int(_signal.SIGINT))
RELOAD_SIGNAL = int(_signal.SIGHUP)


class ProcessStart:
    """When a process began, and what it was told since; times are of ``read_clock``."""

    def __init__(self, began_at: float) -> None:
        self.began_at = began_at
        self.stop_at: float | None = None
        """When it was first told to stop."""
        self.changed = False
        """Settings have changed."""

    def note(self, number: int, now: float) -> None:
        """Remember a signal."""
        if number == RELOAD_SIGNAL:
            self.changed = True
        elif self.stop_at is None:
            self.stop_at = now


def keep_signals(start: ProcessStart) -> None:
    """Note signals from now on, in place of their default action.

    Failure: their default action ends the process. Callers whose connections wait in
    its port are reset, and cannot tell whether their requests were read.
    """

    def keep(number: int, frame: object) -> None:
        start.note(number, read_clock())

    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        _signal.signal(number, keep)


def ignore_signals() -> None:
    """Ignore signals from now on: the process is about to end.

    Failure: the interpreter restores their default actions as it ends, and a signal
    makes a planned stop look like a crash.
    """
    for number in (*STOP_SIGNALS, RELOAD_SIGNAL):
        _signal.signal(number, _signal.SIG_IGN)
