"""Upstreams that have sent nothing since something was sent to them.

A process that stands still accepts connections, and reads what was written to them once
it runs again. A retry sent there arrives late, with more time than its caller has left.
An engine that processes a long prompt may be as silent, so others are only preferred.
Times are seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


SILENT_SECONDS = 0.5
"""Seconds without a byte after which an upstream seems to stand still."""
KNOWN_SECONDS = 5.0
"""Seconds after the last request to it for which an upstream is known to be silent."""


@dataclass(slots=True)
class Silence:
    """Requests to an upstream since it has sent a byte."""

    since: float
    """Time of the first one."""
    sent_at: float
    """Time of the last one."""


@dataclass(slots=True)
class SilenceTable:
    """Upstreams that have requests and have sent nothing since, by id."""

    upstreams: dict[str, Silence] = field(default_factory=dict)


def record_write(table: SilenceTable, upstream: str, now: float) -> None:
    """Record that a request is written to an upstream."""
    held = table.upstreams.get(upstream)
    if held is None:
        table.upstreams[upstream] = Silence(now, now)
    else:
        held.sent_at = now


def record_byte(table: SilenceTable, upstream: str) -> None:
    """Record that an upstream has sent a byte, or closed a connection."""
    table.upstreams.pop(upstream, None)


def drop_known_silences(table: SilenceTable, now: float) -> None:
    """Drop the upstreams to which nothing was sent lately."""
    for name, held in list(table.upstreams.items()):
        if now - held.sent_at > KNOWN_SECONDS:
            del table.upstreams[name]


def list_silent(table: SilenceTable, now: float) -> frozenset[str]:
    """Return the upstreams that seem to stand still."""
    return frozenset(
        name
        for name, held in table.upstreams.items()
        if now - held.since >= SILENT_SECONDS and now - held.sent_at <= KNOWN_SECONDS
    )
