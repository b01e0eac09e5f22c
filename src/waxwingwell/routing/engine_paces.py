"""Samples of the time that engines take, as one gateway sees them.

A sample is the time between two pieces of a stream, divided by the events in the later
one, or the time of a whole call to a service without models. Reports carry the median
of the samples since the last one, so that a stall or a lost packet does not count.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from statistics import median_low
from typing import TYPE_CHECKING

from .messages import EnginePace


if TYPE_CHECKING:
    from collections.abc import Iterable


PACE_SECONDS = 1.0
"""Seconds between the reports of paces."""
MIN_SAMPLES = 3
"""Fewest samples that are reported: a median of fewer does not exclude an outlier.
Fewer wait for the next report."""
MAX_SAMPLES = 48
"""Samples of an engine and a model kept between two reports; the latest ones."""
MAX_WAIT_SECONDS = 5.0
"""Age at which too few samples are dropped, as the engine's speed may have changed."""
MAX_KEYS = 1_000
"""Engines and models of which samples are kept; callers may name any model."""
MAX_MODEL_LENGTH = 128
MIN_PACE_MS = 0.01
MAX_PACE_MS = 60_000.0
"""Bounds of a plausible sample, in milliseconds."""
MAX_COUNT = 1_000_000
"""Bound of a plausible count of samples."""

PaceKey = tuple[str, int, str]
"""Upstream, incarnation and model, or the route for a service without models."""


@dataclass(slots=True)
class PaceSamples:
    """Recent samples of one engine and model, in milliseconds."""

    began_at: float
    """Time of the first sample."""
    times: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_SAMPLES))


@dataclass(slots=True)
class PaceSampleTable:
    """Samples since the last report."""

    samples: dict[PaceKey, PaceSamples] = field(default_factory=dict)
    reported_at: float = 0.0
    """Time of the last report of paces."""


@dataclass(slots=True)
class StreamPace:
    """Arrival of the events of one attempt."""

    key: PaceKey
    last_event_at: float | None = None
    """None before the first event, which follows the prefill and gives no sample."""


def record_events(
    table: PaceSampleTable, stream: StreamPace, events: int, now: float
) -> None:
    """Record that a piece with complete events has arrived."""
    last, stream.last_event_at = stream.last_event_at, now
    if last is not None and events > 0:
        record_time(table, stream.key, (now - last) / events, now)


def record_time(
    table: PaceSampleTable, key: PaceKey, seconds: float, now: float
) -> None:
    """Record one sample, unless it is implausible."""
    ms = seconds * 1000
    if not MIN_PACE_MS <= ms <= MAX_PACE_MS:
        return

    samples = table.samples.get(key)
    if samples is None:
        if len(table.samples) >= MAX_KEYS or len(key[2]) > MAX_MODEL_LENGTH:
            return

        samples = table.samples[key] = PaceSamples(now)

    samples.times.append(ms)


def list_paces(table: PaceSampleTable, now: float) -> tuple[EnginePace, ...]:
    """Return the medians for a report; none if the last ones were a moment ago."""
    if now - table.reported_at < PACE_SECONDS:
        return ()

    return tuple(
        EnginePace(*key, len(one.times), round(median_low(one.times), 2))
        for key, one in table.samples.items()
        if len(one.times) >= MIN_SAMPLES
    )


def forget_reported(
    table: PaceSampleTable, paces: Iterable[EnginePace], now: float
) -> None:
    """Drop the samples of a report that was sent, and those that wait for too long."""
    if now - table.reported_at < PACE_SECONDS:
        return

    table.reported_at = now
    for one in paces:
        table.samples.pop((one.upstream, one.incarnation, one.model), None)

    outdated = [
        key
        for key, one in table.samples.items()
        if now - one.began_at > MAX_WAIT_SECONDS
    ]
    for key in outdated:
        del table.samples[key]


def is_valid_pace(pace: EnginePace) -> bool:
    """Return whether a reported pace is plausible."""
    if not MIN_PACE_MS <= pace.ms <= MAX_PACE_MS:
        return False

    return 1 <= pace.count <= MAX_COUNT and len(pace.model) <= MAX_MODEL_LENGTH
