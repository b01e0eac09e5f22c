"""Large requests to servers that read slowly; gateways must stay within their memory.

The stand-in of the platform kills a process that uses more memory than its settings
allow, and starts it again.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import time
from pathlib import Path


FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

import harness  # noqa: E402


MEMORY_MB = 150
MEGABYTE = 1 << 20
BODY_BYTES = 4_000_000
"""The configuration allows 4,194,304."""
CLIENTS = 20
"""Clients of each gateway, which send one request after the other."""
PAUSE_SECONDS = 5.0
DEADLINE_SECONDS = 20.0
QUIET_SECONDS = 8.0
SLOW_SECONDS = 70.0
BYTES_PER_SECOND = 200_000
"""Pace at which a slow server reads each request."""
ENDS = 3
"""Ends of its process for which a machine counts; two machines at least."""


class Trouble:
    """Whether servers read slowly at present."""

    slow = False


class ReadingServer(harness.Server):
    """A server that may read slowly."""

    async def handle(
        self,
        request: harness.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Read the body, run the request and respond."""
        left = int(request.headers.get("content-length", "0"))
        while left:
            data = await reader.read(min(left, 16_384))
            if not data:
                raise EOFError

            left -= len(data)
            if Trouble.slow:
                await asyncio.sleep(len(data) / BYTES_PER_SECOND)

        self.note_run(request)
        await self.respond(writer, 200, b"done", self.sign(request))


async def send_requests(
    fleet: harness.Fleet, record: harness.Record, gateway: harness.Member, place: int
) -> None:
    """Send one large request after the other to a gateway."""
    await asyncio.sleep(PAUSE_SECONDS * place / CLIENTS)
    number = 0
    while True:
        number += 1
        name = f"{place:04x}{gateway.ip[-1]:>04}{number:08x}"
        headers = {
            "Host": harness.HOST,
            "Api-Key": harness.KEY,
            "Waxwingwell-Attempt-Id": name,
            "Waxwingwell-Deadline-Ms": str(int(DEADLINE_SECONDS * 1000)),
        }
        record(f"client sends {name} to {gateway.name}")
        try:
            answer = await harness.call(
                (gateway.ip, fleet.frontend_port),
                "POST",
                "/upload/x",
                bytes(BODY_BYTES),
                headers,
                wait=DEADLINE_SECONDS,
            )
            record(f"client gets {answer.status} for {name}")
        except harness.NO_RESPONSE as error:
            record(f"client gets no answer for {name}: {type(error).__name__}")

        await asyncio.sleep(PAUSE_SECONDS)


async def watch_memory(
    record: harness.Record, gateway: harness.Member, ends: dict[str, int]
) -> None:
    """Kill a gateway that uses more memory than it may, and start it again."""
    peak = 0.0
    while True:
        await asyncio.sleep(0.02)
        if gateway.process is not None and gateway.process.poll() is not None:
            record(f"{gateway.name} has ended by itself")
            ends[gateway.name] += 1
            harness.start(gateway)

        used = harness.read_memory(gateway) * 1_000_000 / MEGABYTE
        if used > peak + 10.0:
            peak = used
            record(f"{gateway.name} uses {used:.0f} MB")

        if used <= MEMORY_MB:
            continue

        record(f"platform kills {gateway.name}: {used:.0f} MB of {MEMORY_MB}")
        harness.send_signal(gateway, signal.SIGKILL)
        ends[gateway.name] += 1
        peak = 0.0
        await asyncio.sleep(0.5)
        harness.start(gateway)


async def run(fleet: harness.Fleet, record: harness.Record) -> tuple[int, str]:
    """Run the case; return the exit code and its reason."""
    for member in (*fleet.registries, *fleet.gateways):
        harness.start(member)

    await asyncio.sleep(1.0)
    servers = [
        ReadingServer(fleet, record, number, slots=64, buffer=65_536)
        for number in range(3)
    ]
    for server in servers:
        await server.open()

    route = harness.make_route("upload", "/upload/", "non_idempotent", 25_000, 4_000)
    config = harness.make_config(1, [route])
    answer = await harness.order(fleet, record, "PUT", "/-/config", config)
    if answer is None or not await harness.await_ready(fleet, record):
        return harness.UNUSABLE, "the system did not start"

    await asyncio.sleep(2.0)
    ends = {gateway.name: 0 for gateway in fleet.gateways}
    tasks = [
        asyncio.create_task(send_requests(fleet, record, gateway, place))
        for gateway in fleet.gateways
        for place in range(CLIENTS)
    ]
    watches = [
        asyncio.create_task(watch_memory(record, gateway, ends))
        for gateway in fleet.gateways
    ]
    await asyncio.sleep(QUIET_SECONDS)
    Trouble.slow = harness.has_trouble()
    record(f"servers read slowly: {Trouble.slow}")
    until = time.monotonic() + SLOW_SECONDS
    while time.monotonic() < until and min(ends.values()) < ENDS:
        await asyncio.sleep(0.2)

    for task in (*tasks, *watches):
        task.cancel()

    text = ", ".join(f"{name} {count}" for name, count in ends.items())
    reason = f"processes that ended over their memory: {text}"
    is_broken = sum(count >= ENDS for count in ends.values()) >= 2
    return (harness.BROKEN if is_broken else harness.HELD), reason


def main() -> None:
    """Run the case and end with its exit code."""
    record = harness.Record(FOLDER / "record.txt")
    fleet = harness.make_fleet(5, 2, memory=MEMORY_MB)
    try:
        code, reason = asyncio.run(run(fleet, record))
    except (OSError, RuntimeError) as error:
        code, reason = harness.UNUSABLE, repr(error)
    finally:
        harness.stop_fleet(fleet)

    harness.finish(record, code, reason)


if __name__ == "__main__":
    main()
