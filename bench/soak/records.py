"""What a run sees; the checks look at nothing else. Times are of the steady clock."""

from __future__ import annotations

import time
from dataclasses import dataclass
from dataclasses import field


EVENTS = 12
"""Events of a whole stream."""
DRAIN_SECONDS = 2.0
"""After an acknowledged leave, the longest that new work may still arrive."""
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


@dataclass(slots=True, kw_only=True)
class Ask:
    """One request of a caller and how it ended; status 0: without an answer."""

    request_id: str
    kind: str
    path: str
    workspace: str
    gateway: str
    began_at: float
    ended_at: float = 0.0
    status: int = 0
    whole: bool = False
    signature: str = ""
    body: bytes = b""
    read: bool = True
    """The request was written on a connection that was made."""


@dataclass(slots=True, kw_only=True)
class Fault:
    """One fault from outside."""

    name: str
    target: str
    began_at: float
    ended_at: float


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


def read_clock() -> float:
    """Return the steady clock."""
    return time.monotonic()


def was_calm(journal: Journal, since: float, until: float) -> bool:
    """Tell whether no fault was under way, nor just over, in a time."""
    return not any(
        fault.began_at <= until and fault.ended_at + CALM_SECONDS >= since
        for fault in journal.faults
    )


def make_body(request_id: str) -> bytes:
    """Return what every upstream answers to a request: all of them know the same."""
    return f"answer to {request_id}\n".encode() * 20


def make_event(request_id: str, number: int) -> bytes:
    """Return one event of a stream."""
    return f"id: {number}\ndata: {request_id} part {number}\n\n".encode()


def make_stream(request_id: str) -> bytes:
    """Return a whole stream."""
    return b"".join(make_event(request_id, one + 1) for one in range(EVENTS))
