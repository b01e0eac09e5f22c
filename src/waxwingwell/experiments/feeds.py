"""Delayed inputs of entries: load reports, lossy cache events and remote demand."""

from __future__ import annotations

from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING

from ..decisions.load import trim_times
from ..decisions.prefixes import record_evicted
from ..decisions.prefixes import record_prefixes
from ..records import UpstreamId
from .engines import report_load
from .events import call_at


if TYPE_CHECKING:
    from ..decisions.tables import WorkspaceDemand
    from ..records import LoadReport
    from .engines import Engine
    from .entries import Entry
    from .world import World


REPORT_INTERVAL_SECONDS = 0.5
REPORT_DELAY_SECONDS = 0.3
UNKNOWN_DELAY_SECONDS = 0.2
"""Part of a report's delay of which the receiver does not know, in seconds."""
CACHE_INTERVAL_SECONDS = 2.0
CACHE_DELAY_SECONDS = 1.0
CACHE_LOSS_SHARE = 0.3
"""Share of cache events that never arrive."""
DEMAND_INTERVAL_SECONDS = 0.5
DEMAND_DELAY_SECONDS = 0.2


def start_feeds(world: World) -> None:
    """Start every feed; the engines' reports are spread over the interval."""
    for number, engine in enumerate(world.engines.values()):
        phase = REPORT_INTERVAL_SECONDS * number / len(world.engines)
        call_at(world.clock, phase, partial(publish_load, world, engine))
        call_at(world.clock, phase, partial(publish_cache_events, world, engine))

    call_at(world.clock, DEMAND_INTERVAL_SECONDS, lambda: publish_demand(world))


def publish_load(world: World, engine: Engine) -> None:
    """Publish an engine's load, which entries receive after a delay."""
    if world.policy.rule is not None:
        return

    now = world.clock.now
    report = report_load(engine)
    call_at(
        world.clock,
        now + REPORT_DELAY_SECONDS,
        lambda: receive_load(world, engine, report, now),
    )
    call_at(
        world.clock, now + REPORT_INTERVAL_SECONDS, lambda: publish_load(world, engine)
    )


def receive_load(
    world: World, engine: Engine, report: LoadReport, made_at: float
) -> None:
    """Apply a load report at every entry."""
    for entry in world.entries:
        row = entry.tables.upstreams[UpstreamId(engine.name)]
        row.announcement = replace(row.announcement, load=report)
        row.heard_at = made_at + UNKNOWN_DELAY_SECONDS
        if world.policy.ignore_dispatches:
            row.heard_at = world.clock.now + REPORT_INTERVAL_SECONDS

        trim_times(row.dispatched, row.heard_at)
        trim_times(row.finished, row.heard_at)


def publish_cache_events(world: World, engine: Engine) -> None:
    """Publish additions to and evictions from an engine's cache; some are lost."""
    if world.policy.rule is not None or world.policy.hide_prefixes:
        return

    now = world.clock.now
    stored, engine.stored = engine.stored, []
    evicted, engine.evicted = engine.evicted, []
    if world.random.random() >= CACHE_LOSS_SHARE:
        for entry in world.entries:
            call_at(
                world.clock,
                now + CACHE_DELAY_SECONDS,
                partial(receive_cache_events, entry, engine, stored, evicted, now),
            )

    call_at(
        world.clock,
        now + CACHE_INTERVAL_SECONDS,
        lambda: publish_cache_events(world, engine),
    )


def receive_cache_events(
    entry: Entry, engine: Engine, stored: list[str], evicted: list[str], at: float
) -> None:
    """Apply cache events at one entry."""
    upstream = UpstreamId(engine.name)
    record_prefixes(entry.tables, upstream, stored, at)
    record_evicted(entry.tables, upstream, evicted)


def publish_demand(world: World) -> None:
    """Send each entry the demand at all others, which arrives after a delay."""
    if world.policy.rule is not None:
        return

    now = world.clock.now
    for workspace in world.entries[0].tables.demand:
        rows = [entry.tables.demand[workspace] for entry in world.entries]
        rates = [row.rate for row in rows]
        in_flight_counts = [row.in_flight for row in rows]
        for row, rate, count in zip(rows, rates, in_flight_counts, strict=True):
            deliver = partial(
                receive_demand, row, sum(rates) - rate, sum(in_flight_counts) - count
            )
            call_at(world.clock, now + DEMAND_DELAY_SECONDS, deliver)

    call_at(world.clock, now + DEMAND_INTERVAL_SECONDS, lambda: publish_demand(world))


def receive_demand(row: WorkspaceDemand, rate: float, in_flight: int) -> None:
    """Apply the total demand of all other entries."""
    row.other_entries_rate = rate
    row.other_entries_in_flight = in_flight
