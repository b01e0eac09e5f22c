"""Most new connections go to one gateway, while upstreams crash and registries fail."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .evacuations import disturb_registries
from .records import CrowdSpan
from .records import read_clock
from .schedule import crash_upstreams
from .schedule import record_fault


if TYPE_CHECKING:
    from .schedule import SoakEnvironment


CROWD_SECONDS = 8.0
"""Seconds of a crowd: longer than a gateway may take to cope with it."""
PAUSE_SECONDS = 6.0
"""Seconds before each crowd, with which its service is compared."""
CROWDED_SHARE = 0.9
MAX_GAP_SECONDS = 3.0


async def run_crowds(environment: SoakEnvironment, seconds: float) -> None:
    """Crowd one gateway after the other for ``seconds``."""
    until = read_clock() + seconds
    background = [
        asyncio.create_task(disturb_registries(environment, until)),
        asyncio.create_task(crash_upstreams(environment, until, MAX_GAP_SECONDS)),
    ]
    while read_clock() < until:
        await asyncio.sleep(PAUSE_SECONDS)
        await record_fault(environment, crowd_gateway)

    await asyncio.gather(*background)


async def crowd_gateway(environment: SoakEnvironment) -> str | None:
    """Let most callers open a new connection to one gateway for each request."""
    member = environment.random.choice(environment.fleet.gateways)
    address = (member.record.address, member.record.caller_port)
    began_at = read_clock()
    environment.crowd.share = CROWDED_SHARE
    environment.crowd.gateway = address
    await asyncio.sleep(CROWD_SECONDS)
    environment.crowd.share = 0.0
    environment.journal.crowd_spans.append(
        CrowdSpan(gateway=address[0], began_at=began_at, ended_at=read_clock())
    )
    return member.record.name
