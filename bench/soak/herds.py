"""Groups of processes that are killed at the same moment, several times in a row."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from .outages import kill_all
from .outages import kill_gateways
from .outages import kill_half
from .outages import kill_registries
from .records import read_clock
from .schedule import record_fault


if TYPE_CHECKING:
    from .schedule import SoakEnvironment


PAUSE_SECONDS = (1.0, 7.0)
"""Bounds of the seconds between two kills: within a window of the retry budget, and
long enough for processes to serve in between."""
HERDS = {
    "half": kill_half,
    "gateways": kill_gateways,
    "registries": kill_registries,
    "all": kill_all,
}


async def run_herds(environment: SoakEnvironment, seconds: float) -> None:
    """Kill one group of processes after the other for ``seconds``."""
    until = read_clock() + seconds
    while read_clock() < until:
        await asyncio.sleep(environment.random.uniform(*PAUSE_SECONDS))
        await record_fault(environment, kill_herd)


async def kill_herd(environment: SoakEnvironment) -> str | None:
    """Kill a random group of processes at once, and restart them."""
    name = environment.random.choice(list(HERDS))
    await HERDS[name](environment)
    return name
