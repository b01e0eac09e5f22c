"""What a run sees; the checks look at nothing else. Times are of the steady clock."""

from __future__ import annotations

import asyncio
import os
import time
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path


EVENTS = 12
"""Events of a whole stream."""
BUDGET_SECONDS = 5.0
"""How long a caller waits for its answer."""
GRACE_SECONDS = 8.0
"""From the signal of a planned stop until the process may be killed."""
BIG = "/big"
"""Ends the path of a request whose answer exceeds the kernel's buffers."""
BIG_BYTES = 6_000_000
"""Of such an answer: both sides of a connection buffer at most four million."""
PLANNED = frozenset({"stop", "hang_up", "change"})
"""Faults by plan, during which no answer may be lost."""
DRAIN_SECONDS = 2.0
"""After an acknowledged leave, the longest that new work may still arrive."""
STAT = Path("/proc/stat")
STOLEN_FIELD = 8
"""Of the first line, after its name."""
PULSE_SECONDS = 0.02
STALL_SECONDS = 0.1
"""Beyond which the soak's loop counts as stalled: half of what requests that cross the
close of a connection are allowed."""
CALM_SECONDS = 3.0
"""Time since the last fault after which bounds in time hold again."""


@dataclass(slots=True, kw_only=True)
class Run:
    """One request that an upstream began to work on."""

    request_id: str
    upstream: str
    path: str
    workspace: str
    saw_key: bool
    at: float
    ended_at: float = float("inf")
    """When the upstream had written its answer, or gave up."""


@dataclass(slots=True, kw_only=True)
class Ask:
    """One request of a caller and how it ended; status 0: without an answer."""

    request_id: str
    kind: str
    path: str
    workspace: str
    gateway: str
    began_at: float
    sent_at: float = 0.0
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    signature: str = ""
    intact: bool = True
    """What came of the body is the right one's, from its begin."""
    size: int = 0
    """Bytes of the body that came."""
    read: bool = True
    """The request was written on a connection that was made."""


@dataclass(slots=True, kw_only=True)
class Fault:
    """One fault from outside."""

    name: str
    target: str
    began_at: float
    ended_at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class Stall:
    """A span in which the soak's own loop did not run: it saw its events late."""

    began_at: float
    ended_at: float
    worked: float
    """Processor seconds of the loop's thread: it was busy, or was not scheduled."""
    stolen: float
    """Processor seconds, over all cores, that the machine's host gave to others."""


@dataclass(slots=True)
class Journal:
    """Everything seen in one run."""

    runs: list[Run] = field(default_factory=list)
    asks: list[Ask] = field(default_factory=list)
    faults: list[Fault] = field(default_factory=list)
    left: dict[str, float] = field(default_factory=dict)
    """When an upstream's leave was acknowledged, by upstream."""
    sent: dict[int, bytes] = field(default_factory=dict)
    """Documents sent, by version."""
    accepted: list[tuple[float, int]] = field(default_factory=list)
    """When a version was acknowledged."""
    read_back: list[tuple[float, int]] = field(default_factory=list)
    """When a read was sent, and the version that it returned."""
    wrong: list[str] = field(default_factory=list)
    """Promises broken that showed at once."""
    stalls: list[Stall] = field(default_factory=list)


def read_clock() -> float:
    """Return the steady clock."""
    return time.monotonic()


def read_stolen(text: str) -> float:
    """Return the stolen processor seconds that ``/proc/stat`` tells."""
    ticks = int(text.split(maxsplit=9)[STOLEN_FIELD])
    return ticks / os.sysconf("SC_CLK_TCK")


def read_spent() -> tuple[float, float, float]:
    """Return the steady clock, this thread's processor time, and what was stolen."""
    return read_clock(), time.thread_time(), read_stolen(STAT.read_text())


async def watch_stalls(journal: Journal) -> None:
    """Note the spans in which this loop does not run."""
    before = read_spent()
    while True:
        await asyncio.sleep(PULSE_SECONDS)
        now = read_spent()
        if now[0] - before[0] > STALL_SECONDS:
            journal.stalls.append(
                Stall(
                    began_at=before[0],
                    ended_at=now[0],
                    worked=now[1] - before[1],
                    stolen=now[2] - before[2],
                )
            )

        before = now


def sum_stalls(journal: Journal, since: float, until: float) -> float:
    """Return the seconds of a time in which this loop did not run."""
    spans = (
        min(one.ended_at, until) - max(one.began_at, since) for one in journal.stalls
    )
    return sum(span for span in spans if span > 0.0)


def was_calm(
    journal: Journal, since: float, until: float, spared: frozenset[str] = frozenset()
) -> bool:
    """Tell whether no fault but the spared was under way, nor just over, in a time."""
    return not any(
        fault.began_at <= until and fault.ended_at + CALM_SECONDS >= since
        for fault in journal.faults
        if fault.name not in spared
    )


def is_big(path: str) -> bool:
    """Tell whether a request has a big answer."""
    return path.endswith(BIG)


def make_body(request_id: str, path: str) -> bytes:
    """Return what every upstream answers to a request: all of them know the same."""
    line = f"answer to {request_id}\n".encode()
    return line * (BIG_BYTES // len(line) if is_big(path) else 20)


def make_event(request_id: str, path: str, number: int) -> bytes:
    """Return one event of a stream."""
    padding = " " + "x" * (BIG_BYTES // EVENTS) if is_big(path) else ""
    return f"id: {number}\ndata: {request_id} part {number}{padding}\n\n".encode()


def make_stream(request_id: str, path: str) -> bytes:
    """Return a whole stream."""
    return b"".join(make_event(request_id, path, one + 1) for one in range(EVENTS))
