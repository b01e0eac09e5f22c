"""Structured log lines: one JSON object per line on standard output.

Writing never blocks the process. A line is dropped and counted if the reader of the
pipe lags, or if it is a routine event and too many lines were logged in this second.
"""

from __future__ import annotations

import json
import os
import select
import sys
import time
from collections import deque
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
from twisted.python import log as twisted_log

from .metrics import LINES_DROPPED


if TYPE_CHECKING:
    from collections.abc import Callable


MAX_PENDING = 512
"""Lines buffered for a reader that lags; about 128 KB."""
MAX_ROUTINE_LINES_PER_SECOND = 200
"""Lines per second above which routine events are dropped. A line takes 320 bytes and
72 us of processor time, so this rate takes 64 KB and 14 ms per second.
"""
FLUSH_SECONDS = 0.2
"""Seconds that a process that exits waits for a lagging reader of its last lines."""
ROUTINE_EVENTS = frozenset({"gateway: Placed", "gateway: Larger model"})
"""Rate-limited events of requests that succeed; a request's last line has the rest."""


class LogOutput:
    """Buffered, rate-limited log lines for a non-blocking descriptor."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.dropped = 0
        self.current_second = 0
        self.lines_this_second = 0

    def admits(self, event: str, now: float) -> bool:
        """Return whether a line is within the rate limit, and count it."""
        if int(now) != self.current_second:
            self.current_second = int(now)
            self.lines_this_second = 0

        self.lines_this_second += 1
        if (
            event not in ROUTINE_EVENTS
            or self.lines_this_second <= MAX_ROUTINE_LINES_PER_SECOND
        ):
            return True

        self.drop()
        return False

    def drop(self, count: int = 1) -> None:
        """Count lines as dropped."""
        self.dropped += count
        LINES_DROPPED.inc(count)

    def write(self, line: bytes) -> None:
        """Write a line, or buffer it if the reader lags."""
        self.pending.append(line)
        if len(self.pending) > MAX_PENDING:
            self.pending.popleft()
            self.drop()

        self.drain()

    def drain(self) -> None:
        """Write buffered lines until the descriptor would block."""
        while self.pending:
            line = self.pending[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone, so there is nowhere to report this.
                self.drop(len(self.pending))
                self.pending.clear()
                return

            self.pending.popleft()
            if written < len(line):
                self.pending.appendleft(line[written:])
                return


def flush_output(
    output: LogOutput, clock: Callable[[], float], deadline: float
) -> None:
    """Write the buffered lines before the process exits, until ``deadline`` at most.

    Otherwise the lines of the stop, which report the outcomes of the last requests,
    would be lost if the reader lags.
    """
    poll = select.poll()
    poll.register(output.descriptor, select.POLLOUT)
    output.drain()
    while output.pending and clock() < deadline:
        poll.poll(max(deadline - clock(), 0.0) * 1000)
        output.drain()


def open_log(node: str) -> Callable[[], None]:
    """Send all log lines of this process to standard output as JSON.

    Returns a function that writes the buffered lines; call it before the process
    exits.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    output = LogOutput(descriptor)

    def sink(message: Any) -> None:
        record = message.record
        if not output.admits(record["message"], record["time"].timestamp()):
            return

        line = {
            "at": round(record["time"].timestamp(), 3),
            "node": node,
            "level": record["level"].name,
            "event": record["message"],
            **record["extra"],
        }
        if record["exception"] is not None:
            line["error"] = repr(record["exception"].value)

        if output.dropped:
            line["dropped"] = output.dropped
            output.dropped = 0

        output.write(json.dumps(line, default=str).encode() + b"\n")

    logger.remove()
    logger.add(sink, level="INFO", format="{message}", catch=False)
    twisted_log.startLoggingWithObserver(log_twisted_error, setStdout=False)

    def flush() -> None:
        flush_output(output, time.monotonic, time.monotonic() + FLUSH_SECONDS)

    return flush


def log_twisted_error(event: dict[str, Any]) -> None:
    """Log an error that only Twisted caught, with its traceback on one line."""
    if not event.get("isError"):
        return

    failure = event.get("failure")
    text = failure.getTraceback() if failure is not None else str(event.get("message"))
    logger.bind(traceback=text).error("unhandled error")


def run_logged(step: Callable[[], object], error_event: str) -> None:
    """Run a step and log an exception of it as ``error_event``.

    An error in one step must not end the loop or the stop that runs the other steps.
    """
    try:
        step()
    except Exception as error:  # a step may raise anything
        logger.opt(depth=1, exception=error).error(error_event)


def log_event(event: str, **fields: Any) -> None:
    """Log an event with its fields, such as the inputs of a decision."""
    logger.bind(**fields).info(event)


def log_warning(event: str, **fields: Any) -> None:
    """Log an event that its operator may not have meant, with its fields."""
    logger.bind(**fields).warning(event)
