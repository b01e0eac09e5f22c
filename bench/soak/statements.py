"""Upstreams that ask gateways for rest or say that they leave, while processes fail."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .cuts import list_processes
from .cuts import list_proxies
from .evacuations import disturb_registries
from .limits import kill_gateways
from .records import read_clock
from .schedule import crash_upstream
from .schedule import hold_fault
from .schedule import pick_upstream
from .schedule import record_fault
from .upstreams import start_upstream
from .upstreams import stop_upstream


if TYPE_CHECKING:
    from .schedule import SoakEnvironment
    from .upstreams import Upstream


REST_SECONDS = 4.0
"""Seconds for which some upstreams reject requests."""
MAX_REST = 3.0
"""Longest rest, in seconds, that they ask for."""
REJECTED_SHARE = 0.7
LEAVE_SECONDS = 5.0
"""Seconds from an upstream's first statement that it leaves until it exits."""
MAX_GAP_SECONDS = 1.5


async def run_statements(environment: SoakEnvironment, seconds: float) -> None:
    """Let upstreams state rests and leaves for ``seconds``, while processes fail."""
    until = read_clock() + seconds
    for proxy in list_proxies(environment):
        proxy.list_processes = lambda: list_processes(environment)

    tasks = [
        asyncio.create_task(disturb_registries(environment, until)),
        asyncio.create_task(kill_gateways(environment, until)),
    ]
    while read_clock() < until:
        action = environment.random.choice(
            [ask_for_rest, ask_for_rest, say_leaving, crash_upstream]
        )
        tasks.append(asyncio.create_task(record_fault(environment, action)))
        await asyncio.sleep(MAX_GAP_SECONDS * environment.random.random())

    await asyncio.gather(*tasks)


async def ask_for_rest(environment: SoakEnvironment) -> str | None:
    """Let one upstream, or all of its service, reject requests and ask for rest."""
    chosen = [environment.random.choice(environment.upstreams)]
    if environment.random.random() < 0.3:
        service = chosen[0].service
        chosen = [one for one in environment.upstreams if one.service == service]

    for upstream in chosen:
        upstream.rejected_share = REJECTED_SHARE
        upstream.rest = round(0.3 + (MAX_REST - 0.3) * environment.random.random(), 2)

    await asyncio.sleep(REST_SECONDS)
    for upstream in chosen:
        upstream.rejected_share = 0.0

    return ", ".join(one.name for one in chosen)


async def say_leaving(environment: SoakEnvironment) -> str | None:
    """Let an upstream leave that says so in its responses only, and start it anew."""
    upstream = pick_upstream(environment)
    if upstream is None or upstream.says_leaving:
        return None

    upstream.says_leaving = True
    await asyncio.sleep(LEAVE_SECONDS)
    await restart_left(environment, upstream)
    return upstream.name


async def restart_left(environment: SoakEnvironment, upstream: Upstream) -> None:
    """Stop an upstream that leaves, and start it again under the same id."""
    if upstream.up:
        stop_upstream(upstream, resets=False)

    await hold_fault(environment)
    upstream.says_leaving = False
    await start_upstream(upstream)
