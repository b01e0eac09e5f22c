"""Series of planned stops, signalled at moments at which answers end."""

from __future__ import annotations

import asyncio
import random
import signal
from dataclasses import replace
from typing import TYPE_CHECKING

from .callers import Caller
from .callers import call_forever
from .callers import call_once
from .readers import BIG_STREAM_SECONDS
from .records import read_clock
from .schedule import change
from .schedule import hang_up
from .schedule import stop_member
from .schedule import work


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    from .processes import Member
    from .schedule import Stage


QUIET_SECONDS = 2.5
"""After its signal, until which a gateway goes on taking connections."""
AIM_SECONDS = 0.3
"""After that, within which the upstream of an aimed stream ends."""
LONGEST_STEP = 1.5
"""Seconds between the stops of two gateways: less than a stop takes."""
SLOW_EACH = 2


def split(stage: Stage) -> Stage:
    """Return the stage with random numbers of its own."""
    return replace(stage, random=random.Random(stage.random.getrandbits(64)))


def start_slow_callers(stage: Stage) -> Iterator[asyncio.Task[None]]:
    """Let callers in that read big answers slowly."""
    fronts = [(m.record.address, m.record.caller_port) for m in stage.fleet.gateways]
    for number in range(SLOW_EACH * len(fronts)):
        own = split(stage).random
        name = f"slow{number}"
        caller = Caller(name, tuple(fronts), stage.journal, own, slow=True)
        yield asyncio.create_task(call_forever(caller))


async def run_stops(stage: Stage, seconds: float) -> None:
    """Stop all processes in turn, series after series, for a time."""
    await run_series(stage, seconds, stop_gateways, stop_registries, alter)


async def run_series(
    stage: Stage, seconds: float, *series: Callable[[Stage], Awaitable[None]]
) -> None:
    """Run series beside each other, again and again for a time."""
    until = read_clock() + seconds
    while read_clock() < until:
        await asyncio.gather(*[one(split(stage)) for one in series])


async def stop_gateways(stage: Stage) -> None:
    """Stop every gateway; the stops overlap."""
    await overlap(stage, stop_at_end)


async def overlap(
    stage: Stage, deed: Callable[[Stage, Member], Awaitable[None]]
) -> None:
    """Do something to every gateway, in any order; the deeds overlap."""
    tasks = []
    for member in stage.random.sample(stage.fleet.gateways, len(stage.fleet.gateways)):
        tasks.append(asyncio.ensure_future(deed(split(stage), member)))
        await asyncio.sleep(LONGEST_STEP * stage.random.random())

    await asyncio.gather(*tasks)


async def stop_at_end(stage: Stage, member: Member) -> None:
    """Stop a gateway so that a slow reader's stream ends just after its quiet phase."""
    name = f"aimed{stage.random.getrandbits(32):x}"
    caller = Caller(name, (), stage.journal, stage.random, slow=True)
    front = (member.record.address, member.record.caller_port)
    stream = asyncio.create_task(call_once(caller, "stream", front))
    aim = QUIET_SECONDS + AIM_SECONDS * stage.random.random()
    await asyncio.sleep(BIG_STREAM_SECONDS - aim)
    await note_stop(stage, member)
    await stream


async def stop_registries(stage: Stage) -> None:
    """Stop every registry, one after the other: a majority goes on."""
    for member in stage.fleet.registries:
        await asyncio.sleep(LONGEST_STEP * stage.random.random())
        await note_stop(stage, member)


async def note_stop(
    stage: Stage, member: Member, number: signal.Signals = signal.SIGTERM
) -> None:
    """Stop a process, and note it as a fault."""

    async def stop(stage: Stage) -> str:
        return await stop_member(stage, member, number)

    await work(stage, stop)


async def alter(stage: Stage) -> None:
    """Publish documents and signal changed settings meanwhile."""
    for _ in stage.fleet.members:
        await asyncio.sleep(LONGEST_STEP * stage.random.random())
        await work(split(stage), stage.random.choice([hang_up, change]))
