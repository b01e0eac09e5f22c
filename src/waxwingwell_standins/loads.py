"""An engine's load, reported with a lag."""

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
class Measured:
    """A load and when it was measured."""

    at: float
    load: LoadReport


@dataclass(slots=True)
class LoadHistory:
    """Loads as measured, oldest first, no older than the report's lag needs."""

    rows: deque[Measured] = field(default_factory=deque)


def measure_load(engine: Engine) -> LoadReport:
    """Return the present load."""
    running = engine.tables.running
    waiting = [item[2] for item in engine.tables.queue if not item[2].ended]
    interval = engine.settings.token_interval
    return LoadReport(
        running=len(running),
        queued=len(waiting),
        backlog_tokens=sum(len(job.tokens) - job.made for job in running + waiting),
        tokens_per_second=1.0 / interval if interval > 0 else 0.0,
        prefill_per_second=engine.settings.prefill_rate,
    )


def note_load(engine: Engine, now: float) -> None:
    """Keep the present load; drop what is older than the report's lag."""
    rows = engine.loads.rows
    rows.append(Measured(now, measure_load(engine)))
    over = now - engine.settings.load_lag
    while len(rows) > 1 and rows[1].at <= over:
        rows.popleft()


def report_load(engine: Engine, now: float) -> LoadReport:
    """Return the load as it was ``load_lag`` seconds ago."""
    note_load(engine, now)
    oldest = engine.loads.rows[0]
    return replace(oldest.load, age=now - oldest.at)
