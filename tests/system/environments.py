"""A small deployment of the soak test's processes, for tests of single cases."""

from __future__ import annotations

import asyncio
import contextlib
import random
from typing import TYPE_CHECKING

from bench.soak.__main__ import close_all
from bench.soak.__main__ import open_environment
from bench.soak.__main__ import start_traffic
from bench.soak.http import write_message
from bench.soak.operators import HOST
from bench.soak.operators import KEYS
from bench.soak.processes import stop_fleet
from bench.soak.records import BUDGET_SECONDS

from waxwingwell_standin import wire


if TYPE_CHECKING:
    from collections.abc import AsyncIterator
    from pathlib import Path

    from bench.soak.schedule import SoakEnvironment


SEED = 1


def write_request(
    request_id: str,
    path: str,
    body: bytes = b"please",
    budget: float = BUDGET_SECONDS,
) -> bytes:
    """Return an encoded request in the platform's format; ``budget`` in seconds."""
    key = next(iter(KEYS.values()))[0]
    headers = wire.write_request(request_id, key, budget)
    return write_message(f"POST {path} HTTP/1.1", {"Host": HOST, **headers}, body)


@contextlib.asynccontextmanager
async def open_small_environment(
    folder: Path, *, memory_mb: int = 0, descriptors: int | None = None
) -> AsyncIterator[SoakEnvironment]:
    """Run one gateway, one registry and one upstream per service, without callers."""
    rng = random.Random(SEED)
    environment = await open_environment(
        folder,
        rng,
        registries=1,
        gateways=1,
        upstreams_per_service=1,
        memory_mb=memory_mb,
        descriptors=descriptors,
    )
    background: list[asyncio.Task[None]] = []
    try:
        await start_traffic(environment, background, callers_per_gateway=0)
        yield environment
    finally:
        for task in background:
            task.cancel()

        await asyncio.gather(*background, return_exceptions=True)
        stop_fleet(environment.fleet)
        await close_all(environment.links, environment.upstreams)
