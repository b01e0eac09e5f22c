"""How regularly engines send events, as learned from the streams that pass.

An engine makes the tokens of all its streams in common steps, so its streams go on or
stall together; several that are silent at once tell more than any one.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Container


MEMORY_SECONDS = 10.0
"""Time in which a long gap is forgotten."""
LEAST_EVENTS = 50
"""Events below which too little is known of an engine."""
LEAST_STREAMS = 2
"""Streams that must be silent together: one may have lost a packet."""


@dataclass(slots=True)
class Rhythm:
    """Events of one engine, on all its streams through this gateway."""

    at: float
    """When the last event came, or a stream began where there was none."""
    longest: float = 0.0
    """Longest gap of late, in seconds."""
    events: int = 0
    streams: int = 0
    witnesses: int = 0
    """Streams at the last event: those given up since were silent, too."""


@dataclass(slots=True)
class RhythmTable:
    """Rhythms by engine."""

    engines: dict[str, Rhythm] = field(default_factory=dict)


def begin_stream(table: RhythmTable, upstream: str, now: float) -> None:
    """Note that a stream has begun at an engine."""
    rhythm = table.engines.setdefault(upstream, Rhythm(now))
    if rhythm.streams == 0:
        rhythm.at = now

    rhythm.streams += 1
    rhythm.witnesses = rhythm.streams


def end_stream(table: RhythmTable, upstream: str) -> None:
    """Note that a stream is over, or was given up."""
    table.engines[upstream].streams -= 1


def note_event(table: RhythmTable, upstream: str, now: float) -> None:
    """Learn from an event of a stream."""
    rhythm = table.engines[upstream]
    gap = now - rhythm.at
    faded = rhythm.longest * max(1.0 - gap / MEMORY_SECONDS, 0.0)
    rhythm.longest = max(gap, faded)
    rhythm.at = now
    rhythm.events += 1
    rhythm.witnesses = rhythm.streams


def find_gap(table: RhythmTable, upstream: str) -> float | None:
    """Return the longest gap that any engine has had of late, in seconds.

    None if the upstream's streams can't tell: they are too few, or too few events have
    come. Failure: an engine reads the first long prompt for a while, and its streams,
    whose gaps were short until then, are given up and read again elsewhere. Prompts as
    long have stalled other engines.
    """
    rhythm = table.engines.get(upstream)
    if rhythm is None or rhythm.events < LEAST_EVENTS:
        return None

    if rhythm.witnesses < LEAST_STREAMS:
        return None

    return max(one.longest for one in table.engines.values())


def forget_engines(table: RhythmTable, known: Container[str]) -> None:
    """Forget engines that are not known any more and run no stream."""
    gone = [
        name
        for name, rhythm in table.engines.items()
        if name not in known and rhythm.streams == 0
    ]
    for name in gone:
        del table.engines[name]
