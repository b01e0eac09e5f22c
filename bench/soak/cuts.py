"""Gateways that are cut off from all upstreams, and upstreams that fall silent."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .evacuations import disturb_registries
from .proxies import CutMode
from .proxies import Proxy
from .proxies import ProxyFault
from .proxies import cut_process
from .proxies import rejoin_process
from .records import CutSpan
from .records import read_clock
from .schedule import record_fault


if TYPE_CHECKING:
    from .schedule import SoakEnvironment


CUT_SECONDS = 8.0
"""Seconds of a cut: longer than its gateways may take to find a way round it."""
PAUSE_SECONDS = 2.0
SILENCE_SECONDS = 1.0


async def run_cuts(environment: SoakEnvironment, seconds: float) -> None:
    """Cut gateways off in turn for ``seconds``, while registries fail."""
    until = read_clock() + seconds
    for proxy in list_proxies(environment):
        proxy.list_processes = lambda: list_processes(environment)

    background = [
        asyncio.create_task(disturb_registries(environment, until)),
        asyncio.create_task(silence_upstreams(environment, until)),
    ]
    while read_clock() < until:
        await record_fault(environment, cut_gateways)
        await asyncio.sleep(PAUSE_SECONDS)

    await asyncio.gather(*background)


def list_proxies(environment: SoakEnvironment) -> list[Proxy]:
    """Return the proxies of all upstreams."""
    return [one.proxy for one in environment.upstreams if one.proxy is not None]


def list_processes(environment: SoakEnvironment) -> list[int]:
    """Return the ids of the running gateways."""
    members = environment.fleet.gateways
    return [one.process.pid for one in members if one.process is not None]


async def cut_gateways(environment: SoakEnvironment) -> str | None:
    """Cut some gateways off from all upstreams; at least one reaches them."""
    gateways = environment.fleet.gateways
    count = environment.random.randint(1, len(gateways) - 1)
    chosen = environment.random.sample(gateways, count)
    mode = environment.random.choice(list(CutMode))
    processes = [one.process.pid for one in chosen if one.process is not None]
    began_at = read_clock()
    proxies = list_proxies(environment)
    for proxy in proxies:
        for process in processes:
            cut_process(proxy, process, mode)

    await asyncio.sleep(CUT_SECONDS)
    for proxy in proxies:
        for process in processes:
            rejoin_process(proxy, process)

    addresses = frozenset(one.record.address for one in chosen)
    environment.journal.cut_spans.append(
        CutSpan(gateways=addresses, began_at=began_at, ended_at=read_clock())
    )
    return f"{mode.value}: {', '.join(one.record.name for one in chosen)}"


async def silence_upstreams(environment: SoakEnvironment, until: float) -> None:
    """Let one sound upstream after the other fall silent for a moment."""
    while read_clock() < until:
        await record_fault(environment, silence_upstream)
        await asyncio.sleep(PAUSE_SECONDS)


async def silence_upstream(environment: SoakEnvironment) -> str | None:
    """Hold back all data of an upstream for a second; nothing is lost."""
    upstream = environment.random.choice(environment.upstreams)
    assert upstream.proxy is not None
    upstream.proxy.injected_fault = ProxyFault.HELD
    await asyncio.sleep(SILENCE_SECONDS)
    upstream.proxy.injected_fault = ProxyFault.NONE
    return upstream.name
