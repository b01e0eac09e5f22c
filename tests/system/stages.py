"""A small deployment of the soak test's processes, for tests of single cases."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

from bench.soak.__main__ import begin
from bench.soak.__main__ import close_all
from bench.soak.__main__ import open_stage
from bench.soak.processes import stop_fleet


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from bench.soak.schedule import Stage


SEED = 1


@contextlib.asynccontextmanager
async def open_small_stage(folder: Path) -> AsyncIterator[Stage]:
    """Run one gateway, one registry and one upstream per service, without callers."""
    rng = random.Random(SEED)
    stage = await open_stage(folder, rng, registries=1, gateways=1, upstreams_each=1)
    background: list[asyncio.Task[None]] = []
    try:
        await begin(stage, background, callers_each=0)
        yield stage
    finally:
        for task in background:
            task.cancel()

        await asyncio.gather(*background, return_exceptions=True)
        stop_fleet(stage.fleet)
        await close_all(stage.links, stage.upstreams)
