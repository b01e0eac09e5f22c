"""A configuration takes away the last tenant; its key must not be served any more."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Any


FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "common2"))

import harness  # noqa: E402


UNKNOWN_KEY = "zz9x0unknownkey00000"
"""A key that no configuration holds."""
WAIT_SECONDS = 6.0
"""Seconds after the acknowledgement; ``propagation_ms`` is 2,000."""
REQUESTS = 20


def configure(version: int, tenants: list[dict[str, Any]]) -> dict[str, Any]:
    """Return a configuration with these tenants."""
    route = harness.make_route("order", "/order/", "non_idempotent", 5_000, 400)
    config = harness.make_config(version, [route])
    config["tenants"] = tenants
    return config


async def send_all(
    fleet: harness.Fleet, record: harness.Record, key: str, mark: int
) -> list[tuple[str, int]]:
    """Send requests with a key; return their ids and statuses."""
    results = []
    for number in range(REQUESTS):
        name = f"{mark:08x}{number:08x}"
        gateway = fleet.gateways[number % len(fleet.gateways)]
        headers = {
            "Host": harness.HOST,
            "Api-Key": key,
            "Waxwingwell-Attempt-Id": name,
            "Waxwingwell-Deadline-Ms": "3000",
        }
        record(f"client sends {name} with key {key} to {gateway.name}")
        try:
            answer = await harness.call(
                (gateway.ip, fleet.frontend_port),
                "POST",
                "/order/x",
                b"one",
                headers,
                wait=3.5,
            )
            status = answer.status
        except harness.NO_RESPONSE:
            status = 0

        record(f"client gets {status} for {name}")
        results.append((name, status))

    return results


async def run(fleet: harness.Fleet, record: harness.Record) -> tuple[int, str]:
    """Run the case; return the exit code and its reason."""
    for member in (*fleet.registries, *fleet.gateways):
        harness.start(member)

    await asyncio.sleep(1.0)
    servers = [harness.Server(fleet, record, number) for number in range(3)]
    for server in servers:
        await server.open()

    tenant = {"name": harness.TENANT, "api_keys": [harness.KEY], "priority": 1}
    answer = await harness.order(
        fleet, record, "PUT", "/-/config", configure(1, [tenant])
    )
    if answer is None or not await harness.await_ready(fleet, record):
        return harness.UNUSABLE, "the system did not start"

    await asyncio.sleep(2.0)
    before = await send_all(fleet, record, harness.KEY, 1)
    unknown = await send_all(fleet, record, UNKNOWN_KEY, 2)
    if {status for _, status in before} != {200}:
        return harness.UNUSABLE, f"requests with the key got {before}"

    if {status for _, status in unknown} != {401}:
        return harness.UNUSABLE, f"requests with an unknown key got {unknown}"

    left = [] if harness.has_trouble() else [{**tenant, "api_keys": []}]
    answer = await harness.order(fleet, record, "PUT", "/-/config", configure(2, left))
    if answer is None or answer.status != 200:
        return harness.UNUSABLE, "the second configuration was not acknowledged"

    await asyncio.sleep(WAIT_SECONDS)
    dropped = await send_all(fleet, record, harness.KEY, 3)
    unknown = await send_all(fleet, record, UNKNOWN_KEY, 4)
    runs = {name for server in servers for name in server.runs}
    dropped_runs = sum(name in runs for name, _ in dropped)
    unknown_runs = sum(name in runs for name, _ in unknown)
    reason = (
        f"{dropped_runs} requests ran with a dropped key, {unknown_runs} with a key"
        " that no configuration held"
    )
    is_broken = dropped_runs or unknown_runs
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
