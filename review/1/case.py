"""A core machine whose place was taken while it stood still can't join again.

Five registries, one of which stands still for some seconds while another one is
replaced as planned. Then two disks are lost right after a configuration was
acknowledged, as many as the deployment tolerates.
"""

from __future__ import annotations

import asyncio
import json
import os
import shutil
import signal
import sys
import time
from pathlib import Path


FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common"))

from harness import Member  # noqa: E402
from harness import Record  # noqa: E402
from harness import System  # noqa: E402
from harness import add_registry  # noqa: E402
from harness import call  # noqa: E402
from harness import finish  # noqa: E402
from harness import make_config  # noqa: E402
from harness import make_route  # noqa: E402
from harness import make_system  # noqa: E402
from harness import order  # noqa: E402
from harness import start_member  # noqa: E402
from harness import stop_system  # noqa: E402
from harness import wait_until_ready  # noqa: E402


TROUBLE = os.environ.get("TROUBLE", "1") != "0"
CATCH_UP_SECONDS = 4.0
"""``catch_up_s``: a machine counts as lost for this long after it is back."""
FREEZE_SECONDS = 5.0
REPLACE_SECONDS = 4.0
"""Seconds from the start of a new machine to the SIGTERM of the one it replaces."""
RECOVER_SECONDS = 12.0
"""``recover_s`` of the deployment."""
MAX_RESTARTS = 6
HELD, BROKEN, UNABLE = 0, 1, 2


def find_leader(system: System) -> Member | None:
    """Return the registry that the newest log line of any of them names as leader."""
    newest, leader = 0.0, ""
    for member in system.registries:
        if not member.runs:
            continue

        for line in member.log.read_text().splitlines():
            if '"registry: Leader changed"' not in line:
                continue

            told = json.loads(line)
            if told["leader"] and told["at"] > newest:
                newest, leader = told["at"], told["leader"]

    found = [one for one in system.registries if one.address == leader]
    return found[0] if found else None


async def move_lead(system: System) -> bool:
    """Kill and restart the leader while it is one of the seeds, one at a time."""
    for _ in range(MAX_RESTARTS):
        leader = find_leader(system)
        if leader is not None and leader.address not in system.seeds:
            system.record("platform: leads", process=leader.name)
            return True

        if leader is not None:
            system.record("platform: killed", process=leader.name)
            leader.signal(signal.SIGKILL)
            await asyncio.sleep(0.5)
            start_member(system, leader)

        await asyncio.sleep(CATCH_UP_SECONDS + 1.0)

    return False


async def replace(system: System, old: Member) -> None:
    """Replace a machine as planned: an empty one first, then SIGTERM for the old."""
    fresh = add_registry(system)
    start_member(system, fresh)
    await asyncio.sleep(REPLACE_SECONDS)
    system.record("platform: SIGTERM", process=old.name)
    old.signal(signal.SIGTERM)
    await asyncio.to_thread(old.wait)
    system.record("platform: gone for good", process=old.name)
    system.registries.remove(old)


async def lose_disks(system: System, lost: list[Member]) -> None:
    """Kill processes, empty their disks and start them again a second later."""
    for member in lost:
        system.record("platform: lost its disk", process=member.name)
        member.signal(signal.SIGKILL)

    for member in lost:
        await asyncio.to_thread(member.wait)
        if member.data is not None:
            shutil.rmtree(member.data)

    await asyncio.sleep(1.0)
    for member in lost:
        start_member(system, member)


async def read_back(system: System, seconds: float) -> int:
    """Return the version that the registries tell within some seconds, 0 if none."""
    due_at = time.monotonic() + seconds
    while time.monotonic() < due_at:
        for member in system.registries:
            address = (member.address, system.admin_port)
            answer = await call(address, "GET", "/-/config", {}, limit=1.0)
            system.record("operator: reads", at=member.name, status=answer.status)
            if answer.status == 200:
                return int(json.loads(answer.body)["version"])

        await asyncio.sleep(0.5)

    return 0


async def play(system: System) -> int:
    """Play the case and return the exit status."""
    for member in system.members:
        start_member(system, member, bootstrap=True)

    routes = [make_route("r1", "/puxa403/", "non_idempotent", "wuno96b")]
    first = await order(system, "PUT", "/-/config", make_config(1, routes))
    if first.status != 200 or not await wait_until_ready(system):
        return UNABLE

    await asyncio.sleep(3.0)
    if not await move_lead(system):
        return UNABLE

    await asyncio.sleep(CATCH_UP_SECONDS)
    leader = find_leader(system)
    followers = [one for one in system.registries if one is not leader]
    seeds = [one for one in followers if one.address in system.seeds]
    frozen, old = seeds[0], seeds[1]
    if TROUBLE:
        system.record("platform: frozen", process=frozen.name)
        frozen.signal(signal.SIGSTOP)

    replacing = asyncio.create_task(replace(system, old))
    await asyncio.sleep(FREEZE_SECONDS)
    if TROUBLE:
        system.record("platform: thawed", process=frozen.name)
        frozen.signal(signal.SIGCONT)

    await replacing
    await asyncio.sleep(3 * CATCH_UP_SECONDS)
    leader = find_leader(system)
    second = await order(system, "PUT", "/-/config", make_config(2, routes))
    if leader is None or second.status != 200:
        return UNABLE

    others = [one for one in system.registries if one not in (leader, frozen)]
    await lose_disks(system, [leader, others[-1]])
    version = await read_back(system, 2 * RECOVER_SECONDS)
    system.record("result", acknowledged=2, read_back=version or "nothing")
    return HELD if version == 2 else BROKEN


async def main() -> int:
    """Run the case."""
    system = make_system(Record(FOLDER / "record.txt"), 5, 1)
    try:
        return await play(system)
    finally:
        stop_system(system)


if __name__ == "__main__":
    finish(main())
