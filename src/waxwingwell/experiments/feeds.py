"""What entries hear late: load reports, cache events with gaps, others' demand."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from ..decisions.load import trim_times
from ..decisions.prefixes import note_evicted
from ..decisions.prefixes import remember_prefixes
from ..records import UpstreamId
from .engines import report_load
from .events import call_at


if TYPE_CHECKING:
    from ..decisions.tables import WorkspaceDemand
    from ..records import LoadReport
    from .engines import Engine
    from .entries import Entry
    from .world import World


REPORT_EVERY = 0.5
REPORT_LAG = 0.3
HIDDEN_LAG = 0.2
"""Part of the lag that a report does not tell."""
CACHE_EVERY = 2.0
CACHE_LAG = 1.0
CACHE_LOSS = 0.3
"""Share of cache events that never arrive."""
DEMAND_EVERY = 0.5
DEMAND_LAG = 0.2


def start_feeds(world: World) -> None:
    """Start every feed, each engine at its own phase."""
    for number, engine in enumerate(world.engines.values()):
        phase = REPORT_EVERY * number / len(world.engines)
        call_at(world.clock, phase, partial(feed_load, world, engine))
        call_at(world.clock, phase, partial(feed_cache, world, engine))

    call_at(world.clock, DEMAND_EVERY, lambda: feed_demand(world))


def feed_load(world: World, engine: Engine) -> None:
    """Publish an engine's load; entries hear it late."""
    if world.policy.rule is not None:
        return

    now = world.clock.now
    report = report_load(engine)
    call_at(
        world.clock, now + REPORT_LAG, lambda: hear_load(world, engine, report, now)
    )
    call_at(world.clock, now + REPORT_EVERY, lambda: feed_load(world, engine))


def hear_load(world: World, engine: Engine, report: LoadReport, made_at: float) -> None:
    """Let every entry take a load report in."""
    for entry in world.entries:
        row = entry.tables.upstreams[UpstreamId(engine.name)]
        row.announcement = replace(row.announcement, load=report)
        row.heard_at = made_at + HIDDEN_LAG
        if world.policy.ignore_dispatches:
            row.heard_at = world.clock.now + REPORT_EVERY

        trim_times(row.dispatched, row.heard_at)
        trim_times(row.finished, row.heard_at)


def feed_cache(world: World, engine: Engine) -> None:
    """Publish what came into and fell out of an engine's cache; some is lost."""
    if world.policy.rule is not None or world.policy.hide_prefixes:
        return

    now = world.clock.now
    stored, engine.stored = engine.stored, []
    evicted, engine.evicted = engine.evicted, []
    if world.random.random() >= CACHE_LOSS:
        for entry in world.entries:
            call_at(
                world.clock,
                now + CACHE_LAG,
                partial(hear_cache, entry, engine, stored, evicted, now),
            )

    call_at(world.clock, now + CACHE_EVERY, lambda: feed_cache(world, engine))


def hear_cache(
    entry: Entry, engine: Engine, stored: list[str], evicted: list[str], at: float
) -> None:
    """Let one entry take cache events in."""
    upstream = UpstreamId(engine.name)
    remember_prefixes(entry.tables, upstream, stored, at)
    note_evicted(entry.tables, upstream, evicted)


def feed_demand(world: World) -> None:
    """Tell each entry the demand at all others, late."""
    if world.policy.rule is not None:
        return

    now = world.clock.now
    for workspace in world.entries[0].tables.demand:
        rows = [entry.tables.demand[workspace] for entry in world.entries]
        rates = [row.rate for row in rows]
        held = [row.in_flight for row in rows]
        for row, rate, count in zip(rows, rates, held, strict=True):
            heard = partial(hear_demand, row, sum(rates) - rate, sum(held) - count)
            call_at(world.clock, now + DEMAND_LAG, heard)

    call_at(world.clock, now + DEMAND_EVERY, lambda: feed_demand(world))


def hear_demand(row: WorkspaceDemand, rate: float, held: int) -> None:
    """Take in the demand that all other entries told."""
    row.elsewhere_rate = rate
    row.elsewhere_in_flight = held
