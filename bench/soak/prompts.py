"""Prompt blocks that crash upstreams, beside sound requests and ordinary crashes."""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from .callers import Caller
from .callers import call_once
from .callers import drop_connection
from .evacuations import disturb_registries
from .limits import kill_gateways
from .records import read_clock
from .schedule import crash_upstreams
from .schedule import record_fault
from .upstreams import start_upstream
from .upstreams import stop_upstream


if TYPE_CHECKING:
    from .schedule import SoakEnvironment
    from .upstreams import Upstream


CALLERS = 4
MAX_PAUSE_SECONDS = 1.2
DOWN_SECONDS = (0.5, 2.5)
POLL_SECONDS = 0.01
MAX_GAP_SECONDS = 4.0
"""Longest time between two ordinary crashes."""


async def run_prompts(environment: SoakEnvironment, seconds: float) -> None:
    """Send requests with a block that crashes upstreams, while processes fail."""
    until = read_clock() + seconds
    restarts = asyncio.create_task(restart_poisoned(environment))
    tasks = [
        asyncio.create_task(send_poisoned(environment, number, until))
        for number in range(CALLERS)
    ]
    tasks += [
        asyncio.create_task(disturb_registries(environment, until)),
        asyncio.create_task(kill_gateways(environment, until)),
        asyncio.create_task(crash_upstreams(environment, until, MAX_GAP_SECONDS)),
    ]
    try:
        await asyncio.gather(*tasks)
        await asyncio.sleep(max(DOWN_SECONDS))
    finally:
        restarts.cancel()
        await asyncio.gather(restarts, return_exceptions=True)


async def send_poisoned(
    environment: SoakEnvironment, number: int, until: float
) -> None:
    """Send requests with the block to any gateway, each on a new connection."""
    gateways = tuple(
        (member.record.address, member.record.caller_port)
        for member in environment.fleet.gateways
    )
    rng = random.Random(environment.random.getrandbits(64))
    caller = Caller(f"poisoned{number}", gateways, environment.journal, rng)
    caller.poisoned = True
    while read_clock() < until:
        await call_once(caller, "stream")
        drop_connection(caller)
        await asyncio.sleep(MAX_PAUSE_SECONDS * rng.random())


async def restart_poisoned(environment: SoakEnvironment) -> None:
    """Take down upstreams that crashed for the block, and restart them."""
    handled = 0
    by_name = {one.name: one for one in environment.upstreams}
    crashes = environment.journal.poisoned_crashes

    def make_fault(upstream: Upstream) -> None:
        async def crash_poisoned(environment: SoakEnvironment) -> str | None:
            return await crash_for_a_while(environment, upstream)

        restarts.create_task(record_fault(environment, crash_poisoned))

    async with asyncio.TaskGroup() as restarts:
        while True:
            for crash in crashes[handled:]:
                make_fault(by_name[crash.upstream])

            handled = len(crashes)
            await asyncio.sleep(POLL_SECONDS)


async def crash_for_a_while(environment: SoakEnvironment, upstream: Upstream) -> str:
    """Crash an upstream, and restart it under the same id."""
    if upstream.up:
        stop_upstream(upstream, resets=environment.random.random() < 0.5)

    await asyncio.sleep(environment.random.uniform(*DOWN_SECONDS))
    if not upstream.up:
        await start_upstream(upstream)

    return upstream.name
