"""A configuration with many routes that changes often; registries must stay in memory.

The stand-in of the platform kills a process that uses more memory than its settings
allow, and starts it again.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from pathlib import Path
from typing import Any


FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

import harness  # noqa: E402


MEMORY_MB = 296
MEGABYTE = 1 << 20
FIRST_ROUTES = 8
ADDED_ROUTES = 1_400
"""Routes by which the configuration grows at a time."""
GROWTHS = 7
CHANGES = 200
CHANGE_SECONDS = 0.33
"""Least time between two changes."""
CHANGING_SECONDS = 75.0
ENDS = 3
"""Ends of its process for which a machine counts; half of the core at least."""


def make_routes(count: int) -> list[dict[str, Any]]:
    """Return that many routes."""
    routes = []
    for number in range(count):
        route = harness.make_route(
            f"r-{number:07d}", f"/p{number:07d}/", "streaming", 20_000, 1_500
        )
        route["sizes"] = ["daka510000", "rada7437b5", "ravo486f6a"]
        routes.append(route)

    return routes


def read_folder(fleet: harness.Fleet, member: harness.Member) -> float:
    """Return the megabytes that a process has in its data folder."""
    folder = fleet.folder / f"{member.name}.data"
    try:
        used = sum(path.stat().st_blocks * 512 for path in folder.iterdir())
    except OSError:
        return 0.0

    return used / MEGABYTE


async def watch_memory(
    fleet: harness.Fleet,
    record: harness.Record,
    member: harness.Member,
    ends: dict[str, int],
    peaks: dict[str, float],
    disks: dict[str, float],
) -> None:
    """Kill a process that uses more memory than it may, and start it again."""
    noted = 0.0
    while True:
        await asyncio.sleep(0.05)
        if member.process is not None and member.process.poll() is not None:
            record(f"{member.name} has ended by itself")
            ends[member.name] += 1
            harness.start(member)

        disks[member.name] = max(disks[member.name], read_folder(fleet, member))
        used = harness.read_memory(member) * 1_000_000 / MEGABYTE
        peaks[member.name] = max(peaks[member.name], used)
        if used > noted + 20.0:
            noted = used
            record(f"{member.name} uses {used:.0f} MB")

        if used <= MEMORY_MB:
            continue

        record(f"platform kills {member.name}: {used:.0f} MB of {MEMORY_MB}")
        harness.send_signal(member, signal.SIGKILL)
        ends[member.name] += 1
        noted = 0.0
        await asyncio.sleep(0.5)
        harness.start(member)


async def change_often(fleet: harness.Fleet, record: harness.Record) -> int:
    """Publish the changes; return the newest version that was acknowledged."""
    count = FIRST_ROUTES
    routes = make_routes(count)
    newest = 0
    until = time.monotonic() + CHANGING_SECONDS
    for version in range(1, CHANGES + 1):
        if version <= GROWTHS + 1 and version > 1 and harness.has_trouble():
            count += ADDED_ROUTES
            routes = make_routes(count)

        began_at = time.monotonic()
        if began_at >= until:
            break

        routes[version % count]["timeout_ms"] += 1
        config = harness.make_config(version, routes)
        answer = await harness.order(
            fleet, record, "PUT", "/-/config", config, seconds=10.0
        )
        if answer is not None and answer.status == 200:
            newest = version

        record(f"operator: version {version} with {count} routes, newest {newest}")
        left = CHANGE_SECONDS - (time.monotonic() - began_at)
        await asyncio.sleep(max(left, 0.0))

    return newest


async def read_back(fleet: harness.Fleet, record: harness.Record) -> int:
    """Return the version that is read back, 0 if none comes within 12 s."""
    until = time.monotonic() + 12.0
    place = 0
    while time.monotonic() < until:
        member = fleet.registries[place % len(fleet.registries)]
        place += 1
        try:
            answer = await harness.call(
                (member.ip, fleet.admin_port), "GET", "/-/config", wait=2.0
            )
            if answer.status == 200:
                return int(json.loads(answer.body)["version"])

            record(f"operator: read at {member.name}: {answer.status}")
        except harness.NO_RESPONSE as error:
            record(f"operator: read at {member.name}: {error!r}")

        await asyncio.sleep(0.2)

    return 0


async def run(fleet: harness.Fleet, record: harness.Record) -> tuple[int, str]:
    """Run the case; return the exit code and its reason."""
    for member in (*fleet.registries, *fleet.gateways):
        harness.start(member)

    await asyncio.sleep(1.5)
    ends = {member.name: 0 for member in fleet.registries}
    peaks = {member.name: 0.0 for member in fleet.registries}
    disks = dict(peaks)
    watches = [
        asyncio.create_task(watch_memory(fleet, record, member, ends, peaks, disks))
        for member in fleet.registries
    ]
    newest = await change_often(fleet, record)
    if not newest:
        return harness.UNUSABLE, "no configuration was acknowledged"

    held = await read_back(fleet, record)
    for task in watches:
        task.cancel()

    counts = ", ".join(
        f"{name} {count} ({peaks[name]:.0f} MB, disk {disks[name]:.0f} MB)"
        for name, count in ends.items()
    )
    reason = (
        f"ends over the memory (peaks): {counts}; acknowledged {newest}, read {held}"
    )
    ended = sum(count >= ENDS for count in ends.values())
    is_broken = held < newest or 2 * ended >= len(ends)
    return (harness.BROKEN if is_broken else harness.HELD), reason


def main() -> None:
    """Run the case and end with its exit code."""
    record = harness.Record(FOLDER / "record.txt")
    fleet = harness.make_fleet(5, 2)
    try:
        code, reason = asyncio.run(run(fleet, record))
    except (OSError, RuntimeError) as error:
        code, reason = harness.UNUSABLE, repr(error)
    finally:
        harness.stop_fleet(fleet)

    harness.finish(record, code, reason)


if __name__ == "__main__":
    main()
