"""Run a simulated world: its traffic, its feeds and the entries' periodic work."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING

from ..decisions.admission import smooth_demand
from ..decisions.queue import shed_expired
from .calls import dispatch_waiting
from .calls import finish_call
from .calls import start_call
from .events import call_at
from .events import run_until
from .feeds import start_feeds
from .world import RequestRecord


if TYPE_CHECKING:
    from .entries import Entry
    from .fleet_traffic import Request
    from .world import World


TICK_SECONDS = 0.1
"""Seconds between two runs of an entry's periodic work."""


def run_world(
    world: World, traffic: list[Request], duration: float
) -> list[RequestRecord]:
    """Run the traffic and return the records of the callers' requests."""
    for request in traffic:
        record = RequestRecord(request)
        world.records.append(record)
        call_at(world.clock, request.at, partial(start_call, world, record))

    start_feeds(world)
    if world.policy.rule is None:
        for entry in world.entries:
            run_ticks(world, entry)

    run_until(world.clock, duration)
    return world.records


def run_ticks(world: World, entry: Entry) -> None:
    """Run an entry's periodic work now and every ``TICK_SECONDS`` seconds."""
    now = world.clock.now
    smooth_demand(entry.tables, now)
    for taken in shed_expired(entry.tables, now):
        finish_call(world, world.calls[taken.waiting.work.request], "refused")

    dispatch_waiting(world, entry)
    call_at(world.clock, now + TICK_SECONDS, lambda: run_ticks(world, entry))
