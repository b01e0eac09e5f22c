"""Upstreams that name limits or are brittle, while registries and gateways fail."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .evacuations import disturb_registries
from .records import LimitSpan
from .records import read_clock
from .schedule import hold_fault
from .schedule import kill_for_a_while
from .schedule import record_fault
from .schedule import reserve_member
from .upstreams import start_upstream
from .upstreams import stop_upstream


if TYPE_CHECKING:
    from .schedule import SoakEnvironment
    from .upstreams import Upstream


SPAN_SECONDS = 9.0
"""Seconds of a statement: longer than its gateways' delay and its window."""
BRITTLE_SLOTS = 4
MAX_REJECTIONS = 4
MAX_RATE = 3.0
DOWN_SECONDS = 2.0
POLL_SECONDS = 0.02


async def run_limits(environment: SoakEnvironment, seconds: float) -> None:
    """Let upstreams state limits in turn for ``seconds``, while processes fail."""
    until = read_clock() + seconds
    environment.journal.upstreams = len(environment.upstreams) // 2
    background = [
        asyncio.create_task(disturb_registries(environment, until)),
        asyncio.create_task(kill_gateways(environment, until)),
        asyncio.create_task(restart_crashed(environment)),
    ]
    while read_clock() < until:
        action = environment.random.choice([name_limits, be_brittle])
        await record_fault(environment, action)

    await asyncio.gather(*background[:2])
    background[2].cancel()
    await asyncio.gather(background[2], return_exceptions=True)
    for upstream in environment.upstreams:
        await start_upstream(upstream)


async def name_limits(environment: SoakEnvironment) -> str | None:
    """Let one upstream of each service name a limit for a while."""
    services = {one.service for one in environment.upstreams}
    chosen = [
        environment.random.choice(
            [one for one in environment.upstreams if one.service == service]
        )
        for service in sorted(services)
    ]
    began_at = read_clock()
    for upstream in chosen:
        upstream.rate_limit = round(0.3 + MAX_RATE * environment.random.random(), 1)

    await asyncio.sleep(SPAN_SECONDS)
    for upstream in chosen:
        assert upstream.rate_limit is not None
        environment.journal.limit_spans.append(
            LimitSpan(
                upstream=upstream.name,
                rate=upstream.rate_limit,
                began_at=began_at,
                ended_at=read_clock(),
            )
        )
        upstream.rate_limit = None

    return ", ".join(one.name for one in chosen)


async def be_brittle(environment: SoakEnvironment) -> str | None:
    """Let all upstreams be brittle for a while."""
    began_at = read_clock()
    former_slots = [(one, one.slots) for one in environment.upstreams]
    for upstream in environment.upstreams:
        upstream.rejection_limit = environment.random.randint(1, MAX_REJECTIONS)
        upstream.slots = BRITTLE_SLOTS

    await asyncio.sleep(SPAN_SECONDS)
    environment.journal.brittle_spans.append((began_at, read_clock()))
    for upstream, slots in former_slots:
        upstream.rejection_limit = None
        upstream.slots = slots

    return "upstreams"


async def kill_gateways(environment: SoakEnvironment, until: float) -> None:
    """Kill one gateway after the other, with a pause between them."""
    while read_clock() < until:
        await record_fault(environment, kill_gateway)
        await hold_fault(environment)


async def kill_gateway(environment: SoakEnvironment) -> str | None:
    """Kill a gateway, and restart it."""
    member = reserve_member(environment, environment.fleet.gateways, 1)
    return None if member is None else await kill_for_a_while(environment, member)


async def restart_crashed(environment: SoakEnvironment) -> None:
    """Take down upstreams that crashed for their rejections, and restart them."""
    handled = 0
    by_name = {one.name: one for one in environment.upstreams}
    async with asyncio.TaskGroup() as restarts:
        while True:
            for crash in environment.journal.crashes[handled:]:
                restarts.create_task(restart_upstream(by_name[crash.upstream]))

            handled = len(environment.journal.crashes)
            await asyncio.sleep(POLL_SECONDS)


async def restart_upstream(upstream: Upstream) -> None:
    """Crash an upstream, and restart it under the same id."""
    if not upstream.up:
        return

    stop_upstream(upstream)
    await asyncio.sleep(DOWN_SECONDS)
    await start_upstream(upstream)
