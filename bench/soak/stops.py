"""Series of planned stops, timed to coincide with the ends of responses."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import replace
from typing import TYPE_CHECKING

from .callers import Caller
from .callers import call_forever
from .callers import call_once
from .readers import LARGE_STREAM_SECONDS
from .records import read_clock
from .schedule import change
from .schedule import hang_up
from .schedule import record_fault
from .schedule import stop_member


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    from .processes import Member
    from .schedule import Stage


ACCEPTING_SECONDS = 2.5
"""Seconds after its signal for which a gateway still accepts connections."""
AIM_WINDOW_SECONDS = 0.3
"""Seconds after that within which the upstream of a timed stream finishes."""
MAX_STEP_SECONDS = 1.5
"""Maximum seconds between the stops of two gateways: less than a stop takes."""
SLOW_CALLERS_PER_GATEWAY = 2


def fork_random(stage: Stage) -> Stage:
    """Return a copy of the stage with its own random generator."""
    return replace(stage, random=random.Random(stage.random.getrandbits(64)))


def start_slow_callers(stage: Stage) -> Iterator[asyncio.Task[None]]:
    """Start callers that read large responses slowly."""
    gateway_addresses = [
        (m.record.address, m.record.caller_port) for m in stage.fleet.gateways
    ]
    for number in range(SLOW_CALLERS_PER_GATEWAY * len(gateway_addresses)):
        rng = fork_random(stage).random
        name = f"slow{number}"
        caller = Caller(name, tuple(gateway_addresses), stage.journal, rng, slow=True)
        yield asyncio.create_task(call_forever(caller))


async def run_stops(stage: Stage, seconds: float) -> None:
    """Repeat series that stop all processes in turn, for ``seconds``."""
    await run_series(stage, seconds, stop_gateways, stop_registries, publish_and_reload)


async def run_series(
    stage: Stage, seconds: float, *series: Callable[[Stage], Awaitable[None]]
) -> None:
    """Run the series concurrently, and repeat them for ``seconds``."""
    until = read_clock() + seconds
    while read_clock() < until:
        await asyncio.gather(*[one(fork_random(stage)) for one in series])


async def stop_gateways(stage: Stage) -> None:
    """Stop every gateway; the stops overlap."""
    await run_overlapping(stage, stop_at_end)


async def run_overlapping(
    stage: Stage, action: Callable[[Stage, Member], Awaitable[None]]
) -> None:
    """Run an operation on every gateway, in random order and overlapping."""
    tasks = []
    for member in stage.random.sample(stage.fleet.gateways, len(stage.fleet.gateways)):
        tasks.append(asyncio.ensure_future(action(fork_random(stage), member)))
        await asyncio.sleep(MAX_STEP_SECONDS * stage.random.random())

    await asyncio.gather(*tasks)


async def stop_at_end(stage: Stage, member: Member) -> None:
    """Stop a gateway so that a slow reader's stream ends just after it stops accepting.

    The upstream finishes within ``AIM_WINDOW_SECONDS`` of that moment.
    """
    name = f"aimed{stage.random.getrandbits(32):x}"
    caller = Caller(name, (), stage.journal, stage.random, slow=True)
    gateway_address = (member.record.address, member.record.caller_port)
    stream = asyncio.create_task(call_once(caller, "stream", gateway_address))
    lead = ACCEPTING_SECONDS + AIM_WINDOW_SECONDS * stage.random.random()
    await asyncio.sleep(LARGE_STREAM_SECONDS - lead)
    await record_stop(stage, member)
    await stream


async def stop_registries(stage: Stage) -> None:
    """Stop the registries one after the other, so that a majority keeps serving."""
    for member in stage.fleet.registries:
        await asyncio.sleep(MAX_STEP_SECONDS * stage.random.random())
        await record_stop(stage, member)


async def record_stop(
    stage: Stage, member: Member, number: signal.Signals = signal.SIGTERM
) -> None:
    """Stop a process gracefully, and record the stop as a fault."""

    async def stop(stage: Stage) -> str:
        return await stop_member(stage, member, number)

    await record_fault(stage, stop)


async def publish_and_reload(stage: Stage) -> None:
    """Publish documents and signal settings reloads concurrently with other series."""
    for _ in stage.fleet.members:
        await asyncio.sleep(MAX_STEP_SECONDS * stage.random.random())
        await record_fault(fork_random(stage), stage.random.choice([hang_up, change]))
