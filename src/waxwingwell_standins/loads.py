"""Load of an engine, reported with a configurable lag."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from waxwingwell.records import LoadReport


if TYPE_CHECKING:
    from .engine import Engine


@dataclass(frozen=True, slots=True)
class LoadSample:
    """A load and the time of its measurement."""

    measured_at: float
    load: LoadReport


@dataclass(slots=True)
class LoadHistory:
    """Load samples, oldest first, kept only as long as the report lag requires."""

    samples: deque[LoadSample] = field(default_factory=deque)


def measure_load(engine: Engine) -> LoadReport:
    """Return the current load."""
    running = engine.tables.running
    waiting = [item[2] for item in engine.tables.queue if not item[2].ended]
    interval = engine.settings.token_interval
    return LoadReport(
        running=len(running),
        queued=len(waiting),
        backlog_tokens=sum(len(job.tokens) - job.emitted for job in running + waiting),
        tokens_per_second=1.0 / interval if interval > 0 else 0.0,
        prefill_per_second=engine.settings.prefill_rate,
    )


def record_load(engine: Engine, now: float) -> None:
    """Record the current load and drop samples that the report lag no longer needs."""
    samples = engine.loads.samples
    samples.append(LoadSample(now, measure_load(engine)))
    cutoff = now - engine.settings.load_lag
    while len(samples) > 1 and samples[1].measured_at <= cutoff:
        samples.popleft()


def report_load(engine: Engine, now: float) -> LoadReport:
    """Return the load as it was ``load_lag`` seconds ago."""
    record_load(engine, now)
    oldest = engine.loads.samples[0]
    return replace(oldest.load, age=now - oldest.measured_at)
