"""Run seeds of the soak test: ``python -m bench.soak --seeds 50 --seconds 15``."""

from __future__ import annotations

import asyncio
import contextlib
import gc
import random
import shutil
import signal
import sys
import tempfile
from collections import Counter
from dataclasses import replace
from pathlib import Path
from typing import TYPE_CHECKING

import fire

from .callers import Caller
from .callers import call_forever
from .callers import call_once
from .checks import check_journal
from .crowds import run_crowds
from .cuts import run_cuts
from .deployments import prepare_deployment
from .deployments import run_deployment
from .disks import run_disks
from .evacuations import prepare_evacuations
from .evacuations import run_evacuations
from .herds import run_herds
from .limits import run_limits
from .operators import publish
from .operators import read_documents_forever
from .operators import read_newest
from .outages import run_outages
from .processes import Fleet
from .processes import make_fleet
from .processes import start_member
from .processes import stop_fleet
from .prompts import run_prompts
from .prompts import run_requests
from .proxies import Proxy
from .proxies import close_proxy
from .proxies import open_proxy
from .records import Journal
from .records import is_served
from .records import read_clock
from .records import watch_stalls
from .retries import prepare_retries
from .retries import run_retries
from .retry_checks import describe_causes
from .retry_checks import describe_use
from .rollout_checks import RolloutCounts
from .rollout_checks import add_counts
from .rollout_checks import count_ends
from .rollout_checks import describe_counts
from .rollout_checks import describe_end
from .rollout_checks import misses_too_many
from .rollouts import prepare_rollouts
from .rollouts import run_rollouts
from .schedule import SoakEnvironment
from .schedule import run_faults
from .seeds import KEPT_SEEDS
from .seeds import SoakCase
from .slow import run_slow
from .starts import run_starts
from .statements import run_statements
from .stops import fork_random
from .stops import run_stops
from .stops import start_slow_callers
from .upstreams import EVENT_SECONDS
from .upstreams import Upstream
from .upstreams import send_heartbeats
from .upstreams import start_upstream


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable
    from collections.abc import Sequence


RECOVERY_TIMEOUT_SECONDS = 12.0
"""Seconds after the last fault within which every gateway must serve again."""
CALLERS_PER_GATEWAY = 6
SERVICES = ("chat", "desk")
UPSTREAMS_PER_SERVICE = 3
UPSTREAMS_OF_MODES = {"retries": 6, "outages": 6}
"""Upstreams of each service in modes that need more of them."""
START_SECONDS = 60.0
"""Timeout of the first start, which is slow on a loaded machine."""


SCHEDULES: dict[str, Callable[[SoakEnvironment, float], Awaitable[None]]] = {
    "planned": run_stops,
    "starts": run_starts,
    "evacuations": run_evacuations,
    "limits": run_limits,
    "cuts": run_cuts,
    "statements": run_statements,
    "prompts": run_prompts,
    "requests": run_requests,
    "crowds": run_crowds,
    "rollouts": run_rollouts,
    "retries": run_retries,
    "outages": run_outages,
    "herds": run_herds,
    "slow": run_slow,
    "disks": run_disks,
    "deployment": run_deployment,
}
PREPARATIONS: dict[str, Callable[[SoakEnvironment], None]] = {
    "evacuations": prepare_evacuations,
    "rollouts": prepare_rollouts,
    "retries": prepare_retries,
    "outages": prepare_retries,
    "deployment": prepare_deployment,
}
SLOW_CALLER_MODES = frozenset({"planned", "starts"})


async def run_seed(
    folder: Path,
    seed: int,
    seconds: float,
    registries: int,
    gateways: int,
    *,
    keeps_settings: bool = False,
    **modes: bool,
) -> tuple[Journal, list[str]]:
    """Run one seed; return its journal and the guarantees that were violated.

    Those of ``modes`` that are true, which ``SCHEDULES`` names, run side by side;
    without one, all faults are injected. With ``keeps_settings`` processes are
    restarted with the settings of their first start.
    """
    chosen = [name for name, is_chosen in modes.items() if is_chosen]
    counts = [UPSTREAMS_OF_MODES.get(name, UPSTREAMS_PER_SERVICE) for name in chosen]
    environment = await open_environment(
        folder,
        random.Random(seed),
        registries=registries,
        gateways=gateways,
        upstreams_per_service=max(counts, default=UPSTREAMS_PER_SERVICE),
        keeps_settings=keeps_settings,
    )
    environment.seed = seed
    journal = environment.journal
    for prepare in dict.fromkeys(map(PREPARATIONS.get, chosen)):
        if prepare is not None:
            prepare(environment)

    background = environment.background
    background.append(asyncio.create_task(watch_stalls(journal)))
    # Garbage collection of a run's records pauses callers and upstreams up to 0.7 s.
    gc.disable()
    try:
        count = 0 if "deployment" in chosen else CALLERS_PER_GATEWAY
        await start_traffic(environment, background, callers_per_gateway=count)
        if SLOW_CALLER_MODES.intersection(chosen):
            background += start_slow_callers(environment)

        await run_schedules(environment, seconds, chosen)
        await check_recovery(environment)
    finally:
        gc.enable()
        for task in background:
            task.cancel()

        await asyncio.gather(*background, return_exceptions=True)
        findings = [*check_journal(journal), *check_exits(environment.fleet)]
        stop_fleet(environment.fleet)
        await close_all(environment.links, environment.upstreams)

    return journal, findings


async def run_schedules(
    environment: SoakEnvironment, seconds: float, chosen: Sequence[str]
) -> None:
    """Run the chosen schedules side by side, each with its own random generator."""
    if len(chosen) < 2:
        schedule = SCHEDULES[chosen[0]] if chosen else run_faults
        await schedule(environment, seconds)
        return

    await asyncio.gather(
        *[SCHEDULES[name](fork_random(environment), seconds) for name in chosen]
    )


async def open_environment(
    folder: Path,
    rng: random.Random,
    *,
    registries: int,
    gateways: int,
    upstreams_per_service: int,
    event_interval: float = EVENT_SECONDS,
    keeps_settings: bool = False,
    memory_mb: int = 0,
    descriptors: int | None = None,
) -> SoakEnvironment:
    """Start the product's processes behind proxies, without starting upstreams.

    Each process gets a limit on its memory and on its descriptors if they are given.
    """
    fleet = make_fleet(folder, registries, gateways, keeps_settings=keeps_settings)
    for member in fleet.members:
        member.record = replace(member.record, memory_mb=memory_mb)
        member.descriptors = descriptors

    links = [
        await open_proxy(
            (member.record.address, fleet.proxy_port),
            (member.record.address, fleet.link_port),
        )
        for member in fleet.registries
    ]
    for member in fleet.members:
        start_member(member)

    controls = tuple((m.record.address, m.record.admin_port) for m in fleet.registries)
    journal = Journal()
    names = [
        (one, number) for one in SERVICES for number in range(upstreams_per_service)
    ]
    upstreams = [
        Upstream(
            f"{service}-{number}",
            service,
            f"{fleet.network}.3.{place}",
            journal,
            random.Random(rng.getrandbits(64)),
            controls,
            event_interval=event_interval,
        )
        for place, (service, number) in enumerate(names, start=1)
    ]
    return SoakEnvironment(fleet, journal, upstreams, links, controls, rng)


async def start_traffic(
    environment: SoakEnvironment,
    background: list[asyncio.Task[None]],
    *,
    callers_per_gateway: int = CALLERS_PER_GATEWAY,
) -> None:
    """Start the upstreams, wait until the system serves, then start the callers."""
    for upstream in environment.upstreams:
        await start_upstream(upstream)
        background.append(asyncio.create_task(send_heartbeats(upstream)))

    deadline = read_clock() + START_SECONDS
    while not await publish(
        environment.journal, environment.controls, environment.random, 1
    ):
        if read_clock() > deadline:
            raise TimeoutError("no control accepted the first document in time")

    await await_service(environment, Journal(), START_SECONDS)
    gateways = list_gateway_addresses(environment.fleet)
    for number in range(callers_per_gateway * len(gateways)):
        rng = random.Random(environment.random.getrandbits(64))
        caller = Caller(f"caller{number}", gateways, environment.journal, rng)
        caller.crowd = environment.crowd
        background.append(asyncio.create_task(call_forever(caller)))

    rng = random.Random(environment.random.getrandbits(64))
    reader = read_documents_forever(environment.journal, environment.controls, rng)
    background.append(asyncio.create_task(reader))


def list_gateway_addresses(fleet: Fleet) -> tuple[tuple[str, int], ...]:
    """Return the addresses at which gateways accept callers."""
    return tuple((m.record.address, m.record.caller_port) for m in fleet.gateways)


async def await_service(
    environment: SoakEnvironment, journal: Journal, limit: float, name: str = "first"
) -> str:
    """Wait until every gateway serves every kind of request of a caller.

    Returns an empty text, or the first gateway and kind that is not served in time.
    """
    deadline = read_clock() + limit
    prober = Caller(name, (), journal, random.Random(0))
    for gateway in list_gateway_addresses(environment.fleet):
        for kind in ("stream", "order", "read"):
            while not is_served(await call_once(prober, kind, gateway)):
                if read_clock() > deadline:
                    return f"{gateway[0]} does not serve {kind}"

                await asyncio.sleep(0.1)

    return ""


async def check_recovery(environment: SoakEnvironment) -> None:
    """Check that all gateways serve again and all controls return a document."""
    missing = await await_service(
        environment, Journal(), RECOVERY_TIMEOUT_SECONDS, "last"
    )
    if missing:
        environment.journal.violations.append(
            f"{RECOVERY_TIMEOUT_SECONDS} s after the faults {missing}"
        )

    deadline = read_clock() + RECOVERY_TIMEOUT_SECONDS
    for control in environment.controls:
        while await read_newest(environment.journal, control) is None:
            if read_clock() > deadline:
                environment.journal.violations.append(
                    f"{control[0]} reads no document back"
                )
                break

            await asyncio.sleep(0.1)


def check_exits(fleet: Fleet) -> list[str]:
    """Return the processes that exited unexpectedly."""
    return [
        f"{member.record.name} ended by itself with {member.process.returncode}"
        for member in fleet.members
        if member.process is not None and member.process.poll() is not None
    ]


async def close_all(links: list[Proxy], upstreams: list[Upstream]) -> None:
    """Close the listeners of the soak test's proxies and upstreams."""
    for proxy in [*links, *(one.proxy for one in upstreams if one.proxy is not None)]:
        await close_proxy(proxy)

    for upstream in upstreams:
        if upstream.server is not None:
            upstream.server.close()


def soak(
    seeds: int = 3,
    first: int | None = None,
    seconds: float = 12.0,
    registries: int = 3,
    gateways: int = 3,
    keep: str = "",
    *,
    planned: bool = False,
    starts: bool = False,
    evacuations: bool = False,
    limits: bool = False,
    cuts: bool = False,
    statements: bool = False,
    prompts: bool = False,
    requests: bool = False,
    crowds: bool = False,
    rollouts: bool = False,
    retries: bool = False,
    outages: bool = False,
    herds: bool = False,
    slow: bool = False,
    disks: bool = False,
    deployment: bool = False,
    keeps_settings: bool = False,
    kept: bool = False,
) -> None:
    """Run seeds one after the other; exit 1 if a guarantee was violated.

    Several modes run side by side.

    With ``planned`` there are only planned stops, and some callers read slowly; with
    ``starts`` processes are also signalled while they restart. With ``evacuations``
    data centres are evacuated while registries fail; with ``limits`` upstreams name
    limits or are brittle, with ``cuts`` gateways are cut off from all upstreams, with
    ``statements`` upstreams ask for rest or say that they leave, with ``prompts`` some
    prompts crash upstreams by a block that they share, with ``requests`` each by its
    own content, with ``crowds`` most new connections go to one gateway, with
    ``rollouts`` versions are rolled out, some of them bad, with ``retries`` services
    fail as a whole, callers stand still, and messages and processes are late, with
    ``outages`` both services fail at once, and processes are killed meanwhile, with
    ``herds`` groups of processes are killed at once, with ``slow`` all upstreams of a
    service are slow, and one is silent, with ``disks`` disks of registries hang, with
    ``deployment`` a deployment's calls, models and troubles are played. With
    ``keeps_settings`` processes are restarted with the settings of their first start.
    Without ``first`` the seeds are random; with ``kept`` they are those that have
    failed before. The logs of failed seeds, and of those with a roll-out that ended
    wrongly, are copied to ``keep``.
    """
    # Otherwise the product's processes would outlive a terminated soak test.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    start = random.SystemRandom().getrandbits(31) if first is None else first
    cases: Sequence[SoakCase] = [
        SoakCase(
            seed,
            seconds=seconds,
            planned=planned,
            starts=starts,
            evacuations=evacuations,
            limits=limits,
            cuts=cuts,
            statements=statements,
            prompts=prompts,
            requests=requests,
            crowds=crowds,
            rollouts=rollouts,
            retries=retries,
            outages=outages,
            herds=herds,
            slow=slow,
            disks=disks,
            deployment=deployment,
            keeps_settings=keeps_settings,
        )
        for seed in range(start, start + seeds)
    ]
    if kept:
        cases = KEPT_SEEDS

    failed = 0
    counts = RolloutCounts()
    for case in cases:
        with tempfile.TemporaryDirectory(prefix="soak-") as name:
            journal, findings = asyncio.run(
                run_case(Path(name), case, registries, gateways)
            )
            report(case.seed, journal, findings)
            print(f"  {describe_causes(Path(name))}", flush=True)
            failed += bool(findings)
            ends = count_ends(journal)
            counts = add_counts([counts, ends])
            if keep and (findings or ends.good_missed or ends.bad_completed):
                with contextlib.suppress(FileExistsError):
                    shutil.copytree(name, Path(keep) / str(case.seed))

    print(
        f"{len(cases) - failed} seeds kept every promise, {failed} did not", flush=True
    )
    if counts.good + counts.bad:
        print(describe_counts(counts), flush=True)

    sys.exit(1 if failed or misses_too_many(counts) else 0)


async def run_case(
    folder: Path, case: SoakCase, registries: int, gateways: int
) -> tuple[Journal, list[str]]:
    """Run a seed with its schedule."""
    return await run_seed(
        folder,
        case.seed,
        case.seconds,
        registries,
        gateways,
        keeps_settings=case.keeps_settings,
        **{name: getattr(case, name) for name in SCHEDULES},
    )


def report(seed: int, journal: Journal, findings: list[str]) -> None:
    """Print the summary of a seed and, if it failed, its violations and faults."""
    served = sum(is_served(request) for request in journal.requests)
    faults = Counter(fault.name for fault in journal.faults)
    print(
        f"seed {seed}: {len(journal.requests)} requests, {served} served, "
        f"{len(journal.accepted)} documents, faults {dict(faults)}",
        flush=True,
    )
    print(f"  {describe_use(journal)}", flush=True)
    for record in journal.rollouts:
        print(f"  {describe_end(journal, record)}", flush=True)

    for line in findings:
        print(f"  BROKEN {line}", flush=True)

    for stall in journal.stalls if findings else ():
        since = stall.began_at - journal.faults[0].began_at if journal.faults else 0.0
        print(
            f"  at {since:.3f} s: soak stalled for "
            f"{stall.ended_at - stall.began_at:.3f} s, "
            f"worked {stall.cpu_seconds:.3f} s, "
            f"machine without {stall.steal_seconds:.2f} processor seconds"
        )

    for fault in journal.faults if findings else ():
        since = fault.began_at - journal.faults[0].began_at
        lasted = fault.ended_at - fault.began_at
        target = f"{fault.name} {fault.target}"
        print(f"  at {since:.3f} s: {target} for {lasted:.3f} s", flush=True)


if __name__ == "__main__":
    fire.Fire(soak)
