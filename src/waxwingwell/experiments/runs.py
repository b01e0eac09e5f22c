"""Run a world: its traffic, its feeds, and the entries' systems each tick."""

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
from .world import Seen


if TYPE_CHECKING:
    from .entries import Entry
    from .fleet_traffic import Request
    from .world import World


TICK = 0.1
"""Seconds between two runs of an entry's systems."""


def run_world(world: World, traffic: list[Request], duration: float) -> list[Seen]:
    """Run the traffic and return what the callers saw."""
    for request in traffic:
        seen = Seen(request)
        world.seen.append(seen)
        call_at(world.clock, request.at, partial(start_call, world, seen))

    start_feeds(world)
    if world.policy.rule is None:
        for entry in world.entries:
            run_ticks(world, entry)

    run_until(world.clock, duration)
    return world.seen


def run_ticks(world: World, entry: Entry) -> None:
    """Run an entry's systems now and every tick."""
    now = world.clock.now
    smooth_demand(entry.tables, now)
    for taken in shed_expired(entry.tables, now):
        finish_call(world, world.calls[taken.waiting.work.request], "refused")

    dispatch_waiting(world, entry)
    call_at(world.clock, now + TICK, lambda: run_ticks(world, entry))
