"""Roll-outs of good and bad versions, while gateways and registries fail."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Iterator
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from waxwingwell_standin import wire

from .cuts import list_processes
from .operators import call_control
from .records import read_clock
from .rollout_faults import BLAMELESS_TROUBLES
from .rollout_faults import TROUBLES
from .rollout_faults import disturb_gateways
from .rollout_faults import disturb_registries
from .rollout_records import RolloutRecord
from .rollout_records import StateReading
from .schedule import SoakEnvironment
from .schedule import record_fault
from .stops import fork_random
from .upstreams import Upstream
from .upstreams import leave
from .upstreams import send_heartbeats
from .upstreams import start_upstream
from .upstreams import stop_upstream
from .versions import draw_version
from .versions import repair


if TYPE_CHECKING:
    from .schedule import FaultAction
    from .versions import Version


DURATIONS = (8.0, 16.0)
"""Bounds of the seconds within which a roll-out has to end."""
POLL_SECONDS = 0.25
"""Seconds between two questions of the operator."""
RESEND_SECONDS = 4.0
"""Seconds for which the operator sends an order again that is not acknowledged."""
OVERTIME_SECONDS = 8.0
"""Seconds after the deadline for which the operator asks for the end."""
READ_TIMEOUT_SECONDS = 12.0
"""Timeout of a control that has to report the state of a roll-out after all faults."""
MAX_START_SECONDS = 0.5
"""Longest time from an order to the start of an upstream of the target."""
DRAIN_DELAYS = (0.5, 2.5)
"""Bounds of the seconds after which the upstreams of a reverted version leave."""
EVENT_SECONDS = 0.03
FIRST_BYTE_SECONDS = 0.1


@dataclass(slots=True)
class Operation:
    """The roll-outs of a run."""

    until: float
    """Time after which no roll-out is ordered."""
    hosts: Iterator[str]
    """Addresses of further upstreams."""


def prepare_rollouts(environment: SoakEnvironment) -> None:
    """Let links know their gateways, which may be cut off, and set the pace."""
    for link in environment.links:
        link.list_processes = lambda: list_processes(environment)

    for upstream in environment.upstreams:
        set_pace(upstream)


async def run_rollouts(environment: SoakEnvironment, seconds: float) -> None:
    """Order roll-outs of all services for ``seconds``, while processes fail."""
    await await_contact(environment)
    network = environment.fleet.network
    hosts = (f"{network}.4.{place}" for place in itertools.count(1))
    operation = Operation(read_clock() + seconds, hosts)
    planned = replace(environment, random=random.Random(environment.seed))
    services = sorted({one.service for one in environment.upstreams})
    over = asyncio.Event()
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(disturb_gateways(fork_random(planned), over))
        tasks.create_task(disturb_registries(fork_random(planned), over))
        try:
            await asyncio.gather(
                *[
                    roll_out_service(operation, fork_random(planned), service)
                    for service in services
                ]
            )
        finally:
            over.set()

    for record in {one.service: one for one in environment.journal.rollouts}.values():
        await read_everywhere(environment, record)


async def await_contact(environment: SoakEnvironment) -> None:
    """Wait until time limits hold after the start of the processes."""
    started_at = max(one.started_at for one in environment.fleet.members)
    await asyncio.sleep(max(started_at + wire.CONTACT_SECONDS - read_clock(), 0.0))


def set_pace(upstream: Upstream) -> None:
    """Set the pace of an upstream such that slow streams still end in time."""
    upstream.event_interval = EVENT_SECONDS
    upstream.first_byte = FIRST_BYTE_SECONDS


async def roll_out_service(
    operation: Operation, environment: SoakEnvironment, service: str
) -> None:
    """Order one roll-out of a service after the other."""
    number = 2
    while number == 2 or read_clock() < operation.until:
        forked = fork_random(environment)
        await record_fault(forked, make_rollout(operation, service, f"v{number}"))
        number += 1


def make_rollout(operation: Operation, service: str, name: str) -> FaultAction:
    """Return the roll-out of a version as a planned operation."""

    async def roll_out(environment: SoakEnvironment) -> str | None:
        rng = environment.random
        duration = round(rng.uniform(*DURATIONS), 1)
        version = draw_version(rng, name, service, duration, read_clock())
        names = BLAMELESS_TROUBLES if version.flaw else tuple(TROUBLES)
        trouble = rng.choice(names)
        former = [one for one in environment.upstreams if one.service == service]
        target = make_upstreams(operation, environment, version, former)
        record = RolloutRecord(
            service=service,
            target=name,
            flaw=version.flaw,
            trouble=trouble,
            former_upstreams=frozenset(one.name for one in former),
            target_upstreams=frozenset(one.name for one in target),
            ordered_at=read_clock(),
            duration=duration,
        )
        environment.journal.rollouts.append(record)
        over = asyncio.Event()
        async with asyncio.TaskGroup() as tasks:
            cause_trouble = TROUBLES[trouble]
            forked = fork_random(environment)
            tasks.create_task(cause_trouble(forked, [*former, *target], over))
            try:
                await follow_rollout(environment, record, former, target)
            finally:
                over.set()

        return f"{service} {name} {version.flaw or 'good'}, {trouble}"

    return roll_out


def make_upstreams(
    operation: Operation,
    environment: SoakEnvironment,
    version: Version,
    former: list[Upstream],
) -> list[Upstream]:
    """Return as many upstreams of a version as of the former; none is started."""
    upstreams = [
        Upstream(
            f"{one.service}-{version.name}-{number}",
            one.service,
            next(operation.hosts),
            environment.journal,
            random.Random(environment.random.getrandbits(64)),
            environment.controls,
            version=version,
        )
        for number, one in enumerate(former)
    ]
    for upstream in upstreams:
        set_pace(upstream)

    return upstreams


async def follow_rollout(
    environment: SoakEnvironment,
    record: RolloutRecord,
    former: list[Upstream],
    target: list[Upstream],
) -> None:
    """Order a roll-out, ask for its end, and stop one of the versions then."""
    starts = [start_late(environment, upstream) for upstream in target]
    await asyncio.gather(order_rollout(environment, record), *starts)
    while not is_ended(record) and read_clock() < record.deadline + OVERTIME_SECONDS:
        await asyncio.sleep(POLL_SECONDS)
        await read_state(environment, record)

    if record.completed_at < float("inf"):
        retire(environment, former)
        await repair_at_deadline(record, target)
        return

    if not is_ended(record):
        environment.journal.violations.append(
            f"{record.service} {record.target}: neither completed nor reverted "
            f"{OVERTIME_SECONDS} s after the deadline"
        )

    await drain(environment, record, target)


def is_ended(record: RolloutRecord) -> bool:
    """Return whether the operator knows the end of a roll-out."""
    return min(record.completed_at, record.reverted_at) < float("inf")


async def start_late(environment: SoakEnvironment, upstream: Upstream) -> None:
    """Start an upstream of a target within a moment after the order."""
    await asyncio.sleep(MAX_START_SECONDS * upstream.rng.random())
    await start_upstream(upstream)
    environment.upstreams.append(upstream)
    environment.background.append(asyncio.create_task(send_heartbeats(upstream)))


def retire(environment: SoakEnvironment, upstreams: list[Upstream]) -> None:
    """Stop the upstreams of a former version at once."""
    for upstream in upstreams:
        environment.upstreams.remove(upstream)
        if upstream.up:
            stop_upstream(upstream, resets=environment.random.random() < 0.5)


async def repair_at_deadline(record: RolloutRecord, target: list[Upstream]) -> None:
    """Free a completed version of its flaw once its exposure is no longer limited."""
    if not record.flaw:
        return

    await asyncio.sleep(max(record.deadline - read_clock(), 0.0))
    for upstream in target:
        upstream.version = repair(upstream.version)


async def drain(
    environment: SoakEnvironment, record: RolloutRecord, target: list[Upstream]
) -> None:
    """Let the upstreams of a target leave some seconds later, and ask meanwhile."""
    leaves_at = read_clock() + environment.random.uniform(*DRAIN_DELAYS)
    while read_clock() < leaves_at:
        await read_state(environment, record)
        await asyncio.sleep(POLL_SECONDS)

    for upstream in target:
        environment.upstreams.remove(upstream)

    await asyncio.gather(*[leave(upstream) for upstream in target if upstream.up])


async def order_rollout(environment: SoakEnvironment, record: RolloutRecord) -> None:
    """Send the order to random controls until one acknowledges it."""
    body = wire.write_rollout(record.service, record.target, record.duration)
    while read_clock() < record.ordered_at + RESEND_SECONDS:
        control = environment.random.choice(environment.controls)
        sent_at = read_clock()
        response = await call_control(control, "POST", wire.rollout_path(), body)
        if response is not None and response.status == 200:
            record.sent_at = sent_at
            record.acknowledged_at = read_clock()
            return

        if response is not None and 400 <= response.status < 500:
            environment.journal.violations.append(
                f"the roll-out of {record.service} {record.target} was refused: "
                f"{bytes(response.body)!r}"
            )
            return

        await asyncio.sleep(POLL_SECONDS)


async def read_state(
    environment: SoakEnvironment,
    record: RolloutRecord,
    control: tuple[str, int] | None = None,
) -> bool:
    """Ask a control, by default a random one, for the state; return whether it told."""
    asked = control or environment.random.choice(environment.controls)
    sent_at = read_clock()
    response = await call_control(asked, "GET", wire.rollout_path(record.service))
    if response is None or response.status not in (200, 404):
        return False

    state, target = "", ""
    if response.status == 200:
        state, target = wire.read_rollout(bytes(response.body))

    now = read_clock()
    record.readings.append(
        StateReading(sent_at=sent_at, received_at=now, state=state, target=target)
    )
    if target == record.target and state == "completed":
        record.completed_at = min(record.completed_at, now)

    if target == record.target and state == "reverted":
        record.reverted_at = min(record.reverted_at, now)

    return True


async def read_everywhere(environment: SoakEnvironment, record: RolloutRecord) -> None:
    """Read the state of a roll-out at every control."""
    deadline = read_clock() + READ_TIMEOUT_SECONDS
    for control in environment.controls:
        while not await read_state(environment, record, control):
            if read_clock() > deadline:
                environment.journal.violations.append(
                    f"{control[0]} reads no roll-out of {record.service} back"
                )
                break

            await asyncio.sleep(POLL_SECONDS)
