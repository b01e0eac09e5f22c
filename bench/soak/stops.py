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
from .schedule import await_member
from .schedule import change
from .schedule import hang_up
from .schedule import record_fault
from .schedule import stop_member


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Iterator

    from .processes import Member
    from .schedule import SoakEnvironment


ACCEPTING_SECONDS = 2.5
"""Seconds after its signal for which a gateway still accepts connections."""
AIM_WINDOW_SECONDS = 0.3
"""Seconds after that within which the upstream of a timed stream finishes."""
MAX_STEP_SECONDS = 1.5
"""Maximum seconds between the stops of two gateways: less than a stop takes."""
SLOW_CALLERS_PER_GATEWAY = 2


def fork_random(environment: SoakEnvironment) -> SoakEnvironment:
    """Return a copy of the environment with its own random generator."""
    return replace(
        environment, random=random.Random(environment.random.getrandbits(64))
    )


def start_slow_callers(environment: SoakEnvironment) -> Iterator[asyncio.Task[None]]:
    """Start callers that read large responses slowly."""
    gateway_addresses = [
        (m.record.address, m.record.caller_port) for m in environment.fleet.gateways
    ]
    for number in range(SLOW_CALLERS_PER_GATEWAY * len(gateway_addresses)):
        rng = fork_random(environment).random
        name = f"slow{number}"
        caller = Caller(
            name, tuple(gateway_addresses), environment.journal, rng, slow=True
        )
        yield asyncio.create_task(call_forever(caller))


async def run_stops(environment: SoakEnvironment, seconds: float) -> None:
    """Repeat series that stop all processes in turn, for ``seconds``."""
    await run_series(
        environment, seconds, stop_gateways, stop_registries, publish_and_reload
    )


async def run_series(
    environment: SoakEnvironment,
    seconds: float,
    *series: Callable[[SoakEnvironment], Awaitable[None]],
) -> None:
    """Run the series concurrently, and repeat them for ``seconds``."""
    until = read_clock() + seconds
    while read_clock() < until:
        await asyncio.gather(*[one(fork_random(environment)) for one in series])


async def stop_gateways(environment: SoakEnvironment) -> None:
    """Stop every gateway; the stops overlap."""
    await run_overlapping(environment, stop_at_end)


async def run_overlapping(
    environment: SoakEnvironment,
    action: Callable[[SoakEnvironment, Member], Awaitable[None]],
) -> None:
    """Run an operation on every gateway, in random order and overlapping."""
    tasks = []
    for member in environment.random.sample(
        environment.fleet.gateways, len(environment.fleet.gateways)
    ):
        tasks.append(asyncio.ensure_future(action(fork_random(environment), member)))
        await asyncio.sleep(MAX_STEP_SECONDS * environment.random.random())

    await asyncio.gather(*tasks)


async def stop_at_end(environment: SoakEnvironment, member: Member) -> None:
    """Stop a gateway so that a slow reader's stream ends just after it stops accepting.

    The upstream finishes within ``AIM_WINDOW_SECONDS`` of that moment.
    """
    name = f"aimed{environment.random.getrandbits(32):x}"
    caller = Caller(name, (), environment.journal, environment.random, slow=True)
    gateway_address = (member.record.address, member.record.caller_port)
    stream = asyncio.create_task(call_once(caller, "stream", gateway_address))
    lead = ACCEPTING_SECONDS + AIM_WINDOW_SECONDS * environment.random.random()
    await asyncio.sleep(LARGE_STREAM_SECONDS - lead)
    await record_stop(environment, member)
    await stream


async def stop_registries(environment: SoakEnvironment) -> None:
    """Stop the registries one after the other, so that a majority keeps serving."""
    for member in environment.fleet.registries:
        await asyncio.sleep(MAX_STEP_SECONDS * environment.random.random())
        await record_stop(environment, member)


async def record_stop(
    environment: SoakEnvironment,
    member: Member,
    number: signal.Signals = signal.SIGTERM,
) -> None:
    """Stop a process gracefully, and record the stop as a fault."""

    async def stop(environment: SoakEnvironment) -> str:
        return await stop_member(environment, member, number)

    await await_member(member)
    await record_fault(environment, stop)


async def publish_and_reload(environment: SoakEnvironment) -> None:
    """Publish documents and signal settings reloads concurrently with other series."""
    for _ in environment.fleet.members:
        await asyncio.sleep(MAX_STEP_SECONDS * environment.random.random())
        await record_fault(
            fork_random(environment), environment.random.choice([hang_up, change])
        )
