"""Structured log lines: one JSON object a line on standard output.

A line is dropped, and counted, when the reader of the pipe lags or when lines of its
kind come too fast; writing never blocks the process.
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

from .measures import LINES_DROPPED


if TYPE_CHECKING:
    from collections.abc import Callable


MAX_PENDING = 512
"""Lines kept for a reader that lags; about 128 KB."""
RATE = 200
"""Lines a second above which routine ones are dropped. A line takes 320 bytes and 72
us of processor time (20,000 lines to a pipe, one run): 64 KB and 14 ms a second.
"""
LAST_SECONDS = 0.2
"""For the last lines of a process that ends, whose reader lags."""
ROUTINE = frozenset({"gateway: Placed", "gateway: Larger model"})
"""Events of requests that go well; the line of a request's end tells the rest."""


class Output:
    """Lines on their way to a descriptor that may not take them."""

    def __init__(self, descriptor: int) -> None:
        self.descriptor = descriptor
        self.pending: deque[bytes] = deque()
        self.dropped = 0
        self.second = 0
        self.lines = 0

    def admits(self, event: str, now: float) -> bool:
        """Tell whether a line is written, and count it."""
        if int(now) != self.second:
            self.second = int(now)
            self.lines = 0

        self.lines += 1
        if event not in ROUTINE or self.lines <= RATE:
            return True

        self.drop()
        return False

    def drop(self, count: int = 1) -> None:
        """Count lines that nobody will read."""
        self.dropped += count
        LINES_DROPPED.inc(count)

    def write(self, line: bytes) -> None:
        """Write a line, or keep it for later."""
        self.pending.append(line)
        if len(self.pending) > MAX_PENDING:
            self.pending.popleft()
            self.drop()

        self.drain()

    def drain(self) -> None:
        """Write what the reader takes now."""
        while self.pending:
            line = self.pending[0]
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                return
            except OSError:
                # The reader is gone: nobody is left to tell.
                self.drop(len(self.pending))
                self.pending.clear()
                return

            self.pending.popleft()
            if written < len(line):
                self.pending.appendleft(line[written:])
                return


def finish_output(output: Output, clock: Callable[[], float], limit: float) -> None:
    """Wait up to ``limit`` on the clock for a reader that lags, as the process ends.

    Failure: lines that waited for the reader were lost with the process. They are those
    of its stop, which tell what became of the last requests.
    """
    poll = select.poll()
    poll.register(output.descriptor, select.POLLOUT)
    output.drain()
    while output.pending and clock() < limit:
        poll.poll(max(limit - clock(), 0.0) * 1000)
        output.drain()


def open_log(node: str) -> Callable[[], None]:
    """Send all log lines of this process to standard output as JSON.

    The result is called last, and writes the lines that still wait.
    """
    descriptor = sys.stdout.fileno()
    os.set_blocking(descriptor, False)
    output = Output(descriptor)

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
    twisted_log.startLoggingWithObserver(take_twisted_event, setStdout=False)

    def finish() -> None:
        finish_output(output, time.monotonic, time.monotonic() + LAST_SECONDS)

    return finish


def take_twisted_event(event: dict[str, Any]) -> None:
    """Log an error that no code of ours caught, with its traceback on one line."""
    if not event.get("isError"):
        return

    failure = event.get("failure")
    text = failure.getTraceback() if failure is not None else str(event.get("message"))
    logger.bind(traceback=text).error("unhandled error")


def run_logged(step: Callable[[], object], failed: str) -> None:
    """Run a step; an error of it is logged as ``failed``, and the caller goes on.

    Failure: one step's error would end a loop, or a stop, that others depend on.
    """
    try:
        step()
    except Exception as error:  # any fault of the step
        logger.opt(depth=1, exception=error).error(failed)


def log_event(event: str, **fields: Any) -> None:
    """Write one line: what happened, with the inputs that decided it."""
    logger.bind(**fields).info(event)
