"""A seeded series of faults, which overlap, and changes meanwhile."""

from __future__ import annotations

import asyncio
import random
import signal
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import replace

from .operators import publish
from .processes import TERM_SECONDS
from .processes import Fleet
from .processes import Member
from .processes import describe_state
from .processes import kill_member
from .processes import restart_member
from .processes import signal_member
from .processes import wipe_member
from .proxies import Harm
from .proxies import Proxy
from .proxies import reset_pairs
from .proxies import silence_pairs
from .records import Fault
from .records import Journal
from .records import read_clock
from .upstreams import Upstream
from .upstreams import leave
from .upstreams import start_upstream
from .upstreams import stop_upstream


LONGEST_GAP = 0.8
"""Seconds between two faults: shorter than most of them last."""
LONGEST_HARM = 2.5
"""Seconds; longer than links' heartbeats and elections take."""
BAD_SHARE = 0.3
POLL_SECONDS = 0.05
START_SECONDS = 0.5
"""Longer than an interpreter takes to start on a busy machine."""


@dataclass(slots=True)
class Stage:
    """What faults work on."""

    fleet: Fleet
    journal: Journal
    upstreams: list[Upstream]
    links: list[Proxy]
    """Between gateways and registries."""
    controls: tuple[tuple[str, int], ...]
    random: random.Random


Deed = Callable[[Stage], Awaitable[str | None]]
"""Works a fault from its begin to its end; returns its target, or None for none."""


async def run_faults(stage: Stage, seconds: float) -> None:
    """Begin faults for a time, then wait until the last has ended.

    Each draws from numbers of its own: what others do meanwhile changes none of them.
    """
    until = read_clock() + seconds
    tasks = []
    while read_clock() < until:
        deed = stage.random.choice(DEEDS)
        own = replace(stage, random=random.Random(stage.random.getrandbits(64)))
        tasks.append(asyncio.create_task(work(own, deed)))
        await asyncio.sleep(LONGEST_GAP * stage.random.random())

    await asyncio.gather(*tasks)


async def work(stage: Stage, deed: Deed) -> None:
    """Note a fault as long as it lasts."""
    name = getattr(deed, "__name__", "fault")
    fault = Fault(name=name, target="", began_at=read_clock(), ended_at=float("inf"))
    stage.journal.faults.append(fault)
    target = await deed(stage)
    fault.ended_at = read_clock()
    if target is None:
        stage.journal.faults.remove(fault)
    else:
        fault.target = target


def pick(stage: Stage, members: list[Member], spared: int) -> Member | None:
    """Take a process for a fault, unless ``spared`` or fewer would be left."""
    free = [member for member in members if not member.busy]
    if len(free) <= spared:
        return None

    member = stage.random.choice(free)
    member.busy = True
    return member


def pick_any(stage: Stage) -> Member | None:
    """Take a gateway or a registry; a majority of registries is spared."""
    if stage.random.random() < 0.5:
        return pick(stage, stage.fleet.gateways, 1)

    return pick(stage, stage.fleet.registries, len(stage.fleet.registries) // 2 + 1)


async def last(stage: Stage) -> None:
    """Wait as long as a fault lasts."""
    await asyncio.sleep(0.2 + (LONGEST_HARM - 0.2) * stage.random.random())


async def kill(stage: Stage) -> str | None:
    """Kill a process, and start it again."""
    member = pick_any(stage)
    if member is None:
        return None

    kill_member(member)
    await last(stage)
    restart_member(member)
    member.busy = False
    return member.record.name


async def wipe(stage: Stage) -> str | None:
    """Kill a registry, and start it with an empty disk."""
    spared = len(stage.fleet.registries) - 1
    member = pick(stage, stage.fleet.registries, spared)
    if member is None:
        return None

    kill_member(member)
    wipe_member(member)
    await last(stage)
    restart_member(member)
    await asyncio.sleep(LONGEST_HARM)
    member.busy = False
    return member.record.name


async def stop(stage: Stage) -> str | None:
    """Stop a process as planned, and start it again."""
    member = pick_any(stage)
    return None if member is None else await stop_member(stage, member)


async def stop_member(
    stage: Stage, member: Member, number: signal.Signals = signal.SIGTERM
) -> str:
    """Stop this process as planned, and start it again; return its address."""
    assert member.process is not None
    signal_member(member, number)
    age = read_clock() - member.started_at
    deadline = read_clock() + TERM_SECONDS
    while member.process.poll() is None:
        if read_clock() > deadline:
            state = describe_state(member)
            stage.journal.wrong.append(f"{member.record.name} did not stop: {state}")
            kill_member(member)

        await asyncio.sleep(POLL_SECONDS)

    code = member.process.returncode
    # Until the program's first line the signal's default action holds.
    if code and (age > START_SECONDS or code != -number):
        stage.journal.wrong.append(f"{member.record.name} stopped with {code}")

    restart_member(member)
    member.busy = False
    return member.record.address


async def pause(stage: Stage) -> str | None:
    """Let a process stand still."""
    member = pick_any(stage)
    if member is None:
        return None

    signal_member(member, signal.SIGSTOP)
    await last(stage)
    signal_member(member, signal.SIGCONT)
    member.busy = False
    return member.record.name


async def hang_up(stage: Stage) -> str | None:
    """Tell a process that its settings changed; they are the same."""
    member = stage.random.choice(stage.fleet.members)
    signal_member(member, signal.SIGHUP)
    return member.record.name


async def harm_proxies(stage: Stage, proxies: list[Proxy]) -> None:
    """Harm some connections for a while."""
    chosen = stage.random.sample(proxies, stage.random.randint(1, len(proxies)))
    harm = stage.random.choice([Harm.DELAY, Harm.SILENCE, Harm.ONE_WAY, None])
    for proxy in chosen:
        if harm is None:
            stage.random.choice([reset_pairs, silence_pairs])(proxy)
        else:
            proxy.harm = harm
            proxy.delay = 0.1 * stage.random.random()

    await last(stage)
    for proxy in chosen:
        proxy.harm = Harm.NONE


async def harm_links(stage: Stage) -> str | None:
    """Harm links between gateways and registries."""
    await harm_proxies(stage, stage.links)
    return "links"


async def harm_upstreams(stage: Stage) -> str | None:
    """Harm connections to upstreams."""
    proxies = [one.proxy for one in stage.upstreams if one.proxy is not None]
    await harm_proxies(stage, proxies)
    return "upstreams"


def pick_upstream(stage: Stage) -> Upstream | None:
    """Take an upstream whose service keeps another."""
    serving = [one for one in stage.upstreams if one.up and not one.leaving]
    spare = [
        one
        for one in serving
        if sum(other.service == one.service for other in serving) > 1
    ]
    return stage.random.choice(spare) if spare else None


async def crash_upstream(stage: Stage) -> str | None:
    """Let an upstream crash, and start again under the same id."""
    upstream = pick_upstream(stage)
    if upstream is None:
        return None

    await stop_upstream(upstream)
    await last(stage)
    await start_upstream(upstream)
    return upstream.name


async def leave_upstream(stage: Stage) -> str | None:
    """Let an upstream leave, and come back as another."""
    upstream = pick_upstream(stage)
    if upstream is None:
        return None

    name = upstream.name
    await leave(upstream)
    await last(stage)
    upstream.name = f"{name.partition('+')[0]}+{stage.random.getrandbits(20):x}"
    await start_upstream(upstream)
    return name


async def spoil_answers(stage: Stage) -> str | None:
    """Let the upstreams of a service lose and cut some of their answers."""
    service = stage.random.choice(stage.upstreams).service
    spoiled = [one for one in stage.upstreams if one.service == service]
    for upstream in spoiled:
        upstream.bad = BAD_SHARE

    await last(stage)
    for upstream in spoiled:
        upstream.bad = 0.0

    return service


async def change(stage: Stage) -> str | None:
    """Publish the next document; other changes may be under way."""
    version = max(stage.journal.sent) + stage.random.randint(1, 3)
    await publish(stage.journal, stage.controls, stage.random, version)
    return None


DEEDS: tuple[Deed, ...] = (
    kill,
    kill,
    wipe,
    stop,
    stop,
    pause,
    pause,
    hang_up,
    harm_links,
    harm_upstreams,
    crash_upstream,
    leave_upstream,
    spoil_answers,
    change,
    change,
)
