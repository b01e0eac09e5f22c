"""Resident memory of a gateway process with 0, 200 and 800 concurrent streams.

``python -m bench gateway``, with the adapter's folder on the path. The gateway runs in
its own process; upstreams and callers are those of the fault soak.
"""

from __future__ import annotations

import asyncio
import random
import tempfile
from pathlib import Path
from typing import TYPE_CHECKING

from .soak.__main__ import list_gateway_addresses
from .soak.__main__ import open_environment
from .soak.__main__ import start_traffic
from .soak.callers import Caller
from .soak.callers import call_once
from .soak.processes import Fleet
from .soak.processes import stop_fleet


if TYPE_CHECKING:
    from .soak.records import Journal


STREAMS = (0, 200, 800)
EVENT_INTERVAL_SECONDS = 0.35
"""Seconds between two events: twelve of them fit into a caller's 5 s budget."""
SETTLE_SECONDS = 2.0
"""Seconds after which all streams have started and none has ended."""
KB_PER_MB = 1024


def read_memory(fleet: Fleet) -> float:
    """Return the gateway's resident memory in MB."""
    process = fleet.gateways[0].process
    assert process is not None
    for line in Path(f"/proc/{process.pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / KB_PER_MB

    raise RuntimeError("the gateway process has exited")


async def measure(folder: Path) -> None:
    """Print the memory use for each number of streams."""
    environment = await open_environment(
        folder,
        random.Random(1),
        registries=3,
        gateways=1,
        upstreams_per_service=1,
        event_interval=EVENT_INTERVAL_SECONDS,
    )
    background: list[asyncio.Task[None]] = []
    try:
        await start_traffic(environment, background, callers_per_gateway=0)
        for count in STREAMS:
            await measure_streams(environment.fleet, environment.journal, count)
    finally:
        stop_fleet(environment.fleet)
        for task in background:
            task.cancel()


async def measure_streams(fleet: Fleet, journal: Journal, count: int) -> None:
    """Print the memory use with ``count`` streams open."""
    gateways = list_gateway_addresses(fleet)
    callers = [
        Caller(f"stream{count}-{number}", gateways, journal, random.Random(number))
        for number in range(count)
    ]
    calls = [asyncio.create_task(call_once(one, "stream")) for one in callers]
    await asyncio.sleep(SETTLE_SECONDS)
    memory = read_memory(fleet)
    requests = await asyncio.gather(*calls)
    complete = sum(request.complete for request in requests)
    print(
        f"{count} streams: {memory:.1f} MB resident, {complete} came whole", flush=True
    )


def main() -> None:
    """Run the benchmark in a temporary folder."""
    with tempfile.TemporaryDirectory() as folder:
        asyncio.run(measure(Path(folder)))


if __name__ == "__main__":
    main()
