"""Trouble of upstreams of all versions, and disturbances of gateways and registries."""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import signal
from typing import TYPE_CHECKING

from .processes import signal_member
from .proxies import CutMode
from .proxies import cut_process
from .proxies import rejoin_process
from .records import read_clock
from .rollout_records import Disturbance
from .schedule import hold_fault
from .schedule import kill_for_a_while
from .schedule import record_fault
from .schedule import reserve_member
from .schedule import stop_member
from .stops import fork_random
from .upstreams import start_upstream
from .upstreams import stop_upstream
from .versions import NO_TROUBLE
from .versions import Trouble


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable

    from .processes import Member
    from .schedule import FaultAction
    from .schedule import SoakEnvironment
    from .upstreams import Upstream


GATEWAY_SECONDS = 12.0
"""Mean seconds between the starts of two disturbances of one gateway."""
REGISTRY_GAPS = (4.0, 14.0)
"""Bounds of the seconds between two disturbances of registries: long enough for time
limits to hold again between some of them."""
MIN_CUT_SECONDS = 0.5
MAX_CUT_SECONDS = 4.0
"""Bounds of the time for which a gateway is cut off from registries."""
MIN_FAILED_SHARE = 0.05
MAX_FAILED_SHARE = 0.2
"""Bounds of the share of requests that fail at the upstreams of all versions."""
GREY_SHARE = 0.5
"""Share of requests that fail at one upstream in trouble."""
SLOWDOWN = 3.0
SLOW_SECONDS = 3.0
DOWN_SECONDS = (0.5, 2.5)
CRASH_GAPS = (0.5, 4.0)


async def pause(over: asyncio.Event, seconds: float) -> bool:
    """Wait for some seconds or until ``over``; return whether it is over."""
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(over.wait(), seconds)

    return over.is_set()


async def fail_alike(
    environment: SoakEnvironment, upstreams: list[Upstream], over: asyncio.Event
) -> None:
    """Let all upstreams fail the same share of their requests."""
    share = environment.random.uniform(MIN_FAILED_SHARE, MAX_FAILED_SHARE)
    await trouble_until(Trouble(failed_share=share), upstreams, over)


async def turn_grey(
    environment: SoakEnvironment, upstreams: list[Upstream], over: asyncio.Event
) -> None:
    """Let one upstream of either version fail many requests."""
    chosen = [environment.random.choice(upstreams)]
    await trouble_until(Trouble(failed_share=GREY_SHARE), chosen, over)


async def slow_down(
    environment: SoakEnvironment, upstreams: list[Upstream], over: asyncio.Event
) -> None:
    """Let all upstreams be slower for some seconds, one time after the other."""
    while not await pause(over, SLOW_SECONDS * 2 * environment.random.random()):
        for upstream in upstreams:
            upstream.trouble = Trouble(slowdown=SLOWDOWN)

        await pause(over, SLOW_SECONDS)
        for upstream in upstreams:
            upstream.trouble = NO_TROUBLE


async def crash_in_turn(
    environment: SoakEnvironment, upstreams: list[Upstream], over: asyncio.Event
) -> None:
    """Crash one upstream after the other, and restart it under the same id."""
    rng = environment.random
    while not await pause(over, rng.uniform(*CRASH_GAPS)):
        serving = [one for one in upstreams if one.up and not one.leaving]
        if not serving:
            continue

        chosen = rng.choice(serving)
        stop_upstream(chosen, resets=rng.random() < 0.5)
        await asyncio.sleep(rng.uniform(*DOWN_SECONDS))
        if chosen in environment.upstreams:
            await start_upstream(chosen)


async def stay_calm(
    _environment: SoakEnvironment, _upstreams: list[Upstream], over: asyncio.Event
) -> None:
    """Let all upstreams work."""
    await over.wait()


async def trouble_until(
    trouble: Trouble, upstreams: list[Upstream], over: asyncio.Event
) -> None:
    """Keep upstreams in trouble until it is over."""
    for upstream in upstreams:
        upstream.trouble = trouble

    await over.wait()
    for upstream in upstreams:
        upstream.trouble = NO_TROUBLE


TROUBLES = {
    "calm": stay_calm,
    "failing alike": fail_alike,
    "one grey": turn_grey,
    "slow at times": slow_down,
    "crashes": crash_in_turn,
}
BLAMELESS_TROUBLES = ("calm", "crashes")
"""Troubles beside which a flaw stands out."""


async def disturb_gateways(environment: SoakEnvironment, over: asyncio.Event) -> None:
    """Disturb gateways until ``over``; the disturbances overlap."""
    max_gap = 2 * GATEWAY_SECONDS / len(environment.fleet.gateways)
    async with asyncio.TaskGroup() as tasks:
        while not await pause(over, max_gap * environment.random.random()):
            forked = fork_random(environment)
            tasks.create_task(record_fault(forked, disturb_gateway))


async def disturb_registries(environment: SoakEnvironment, over: asyncio.Event) -> None:
    """Disturb the registries in turn until ``over``, so that the leader changes."""
    for member in itertools.cycle(environment.fleet.registries):
        if await pause(over, environment.random.uniform(*REGISTRY_GAPS)):
            return

        await record_fault(environment, make_disturbance(member))


def make_disturbance(member: Member) -> FaultAction:
    """Return the disturbance of a registry, which is the only one at a time."""

    async def disturb_registry(environment: SoakEnvironment) -> str | None:
        actions = [kill_for_a_while, stop_member, freeze]
        action = environment.random.choice(actions)
        return await disturb_member(environment, member, action)

    return disturb_registry


async def disturb_gateway(environment: SoakEnvironment) -> str | None:
    """Kill, stop or freeze a gateway, or cut it off from registries."""
    member = reserve_member(environment, environment.fleet.gateways, 1)
    if member is None:
        return None

    actions = [kill_for_a_while, stop_member, freeze, cut_off]
    return await disturb_member(environment, member, environment.random.choice(actions))


async def disturb_member(
    environment: SoakEnvironment,
    member: Member,
    action: Callable[[SoakEnvironment, Member], Awaitable[str]],
) -> str:
    """Disturb a process, and record the time span."""
    began_at = read_clock()
    await action(environment, member)
    environment.journal.disturbances.append(
        Disturbance(
            address=member.record.address,
            is_core=member.role == "registry",
            began_at=began_at,
            ended_at=read_clock(),
        )
    )
    return f"{member.record.name} by {getattr(action, '__name__', 'action')}"


async def freeze(environment: SoakEnvironment, member: Member) -> str:
    """Suspend a reserved process for a while."""
    signal_member(member, signal.SIGSTOP)
    await hold_fault(environment)
    signal_member(member, signal.SIGCONT)
    member.has_fault = False
    return member.record.name


async def cut_off(environment: SoakEnvironment, member: Member) -> str:
    """Cut a reserved gateway off from some registries or all for a while."""
    assert member.process is not None
    rng = environment.random
    links = rng.sample(environment.links, rng.randint(1, len(environment.links)))
    mode = rng.choice(list(CutMode))
    for link in links:
        cut_process(link, member.process.pid, mode)

    await asyncio.sleep(rng.uniform(MIN_CUT_SECONDS, MAX_CUT_SECONDS))
    for link in links:
        rejoin_process(link, member.process.pid)

    member.has_fault = False
    return member.record.name
