"""The whole system under a seeded schedule of faults; every request is checked.

``python -m bench.faults SECONDS SEED RATE [FOLDER]`` runs 3 controls, 3 entries, 3
engines and a service as processes on loopback, bounded by its seconds. Runs stay below
110 s, so that every billing row is still held when it is compared. A folder keeps the
logs.
"""

from __future__ import annotations

import asyncio
import random
import statistics
import sys
import tempfile
import time
from pathlib import Path
from threading import Thread
from typing import TYPE_CHECKING

from scripts.faults import ask_admin
from scripts.faults import make_faulty
from scripts.faults import read_counts
from scripts.launcher import stop_all
from scripts.launcher import wait_until
from scripts.topology import WORKSPACE
from scripts.topology import name_nodes
from scripts.topology import start_system

from waxwingwell.state.catalogue import name_workspace

from .fault_callers import Call
from .fault_callers import run_traffic
from .fault_checks import Findings
from .fault_checks import check_bills
from .fault_checks import check_calls
from .fault_checks import read_state
from .fault_schedule import Fault
from .fault_schedule import Schedule
from .fault_schedule import get_leader
from .fault_schedule import list_controls
from .fault_schedule import run_changes
from .fault_schedule import run_schedule


if TYPE_CHECKING:
    from scripts.launcher import Deployment

    from waxwingwell.state.control import ControlState


ENTRIES = name_nodes("entry", 3)
LONGEST = 110.0
LONGEST_LEASE = 5.0
"""Seconds after a leader's fault in which its leases may still hold."""
LONGEST_BEFORE = 1.0
"""Seconds before a fault: what began earlier waits for something else."""
AFFECTED = 2.0
"""Seconds after a leader's fault within which new requests may meet it."""


def run(folder: Path, seconds: float, seed: int, rate: float) -> int:
    """Run once and print the figures; return the number of wrong requests."""
    system = make_faulty(
        folder,
        entries=3,
        engines=3,
        relayed=ENTRIES,
        interval=0.005,
        separate_processes=True,
    )
    try:
        start_system(system)
        schedule = Schedule(
            system, ENTRIES, random.Random(seed), time.monotonic() + seconds
        )
        calls = drive(system, schedule, seconds, seed, rate)
        wait_until(lambda: has_settled(system), "all rows are closed")
        breaches = list_breaches(system)
        counts = read_counts(system)
    finally:
        codes = stop_all(system)

    states = [read_state(folder / f"{node}.data") for node in list_controls()]
    findings = check_calls(calls, states[0], counts, schedule.faults)
    check_bills(findings, states[0])
    check_changes(findings, schedule, states)
    findings.wrong += [f"invariant: {text}" for text in breaches]
    report(calls, findings, schedule)
    print("exit codes:", sorted(set(codes.values())))
    return len(findings.wrong) + findings.lost + findings.cut


def drive(
    system: Deployment, schedule: Schedule, seconds: float, seed: int, rate: float
) -> list[Call]:
    """Run traffic, faults and changes side by side; return the callers' view."""
    threads = [
        Thread(target=run_schedule, args=(schedule,), daemon=True),
        Thread(target=run_changes, args=(schedule,), daemon=True),
    ]
    for thread in threads:
        thread.start()

    ports = {entry: system.ports[f"{entry}.callers"] for entry in ENTRIES}
    calls = asyncio.run(run_traffic(ports, seconds=seconds, rate=rate, seed=seed))
    for thread in threads:
        thread.join()

    return calls


def has_settled(system: Deployment) -> bool:
    """Tell whether the leader holds no open row."""
    leader = get_leader(system)
    status = ask_admin(system, leader, "status") if leader else None
    return status is not None and status["open_rows"] == 0


def list_breaches(system: Deployment) -> list[str]:
    """Return the invariants that any process found broken."""
    found = []
    for name, process in system.processes.items():
        for line in process.log.read_text(errors="replace").splitlines():
            if "invariants: " in line or "Stopped by a fault" in line:
                found.append(f"{name}: {line}")

    return found


def check_changes(
    findings: Findings, schedule: Schedule, states: list[ControlState]
) -> None:
    """Every accepted change must stand in the end, on every member alike."""
    accepted = [change.revision for change in schedule.changes]
    if accepted != list(range(2, len(accepted) + 2)):
        findings.wrong.append(f"revisions are not a chain: {accepted}")

    for state in states:
        revision = state.config.revisions.get(name_workspace(WORKSPACE), 0)
        if accepted and revision < accepted[-1]:
            findings.wrong.append(f"revision {revision} after {accepted[-1]}")


def report(calls: list[Call], findings: Findings, schedule: Schedule) -> None:
    """Print all figures of a run."""
    billed_wrong = sum("billed" in text or "row" in text for text in findings.wrong)
    print(
        f"requests {len(calls)}, tries {sum(len(call.attempts) for call in calls)}, "
        f"lost {findings.lost}, doubled {findings.doubled}, cut {findings.cut} "
        f"(and {findings.cut_by_kill} by kill -9 of their entry), "
        f"wrongly billed {billed_wrong}, wrong in all {len(findings.wrong)}, "
        f"compared with their bill {findings.billed}"
    )
    for text in findings.wrong[:20]:
        print("WRONG", text)

    print("ends:", dict(sorted(findings.ends.items())))
    for fault in schedule.faults:
        began = fault.began - calls[0].attempts[0].began
        print(f"at {began:.2f} s, {datetime_of(fault)}: {fault.name}, {fault.target}")

    names = [fault.name for fault in schedule.faults]
    print("faults:", {name: names.count(name) for name in sorted(set(names))})
    for name in ("kill leader", "freeze leader"):
        show(f"longest wait at a '{name}'", list_waits(calls, schedule, name))

    show_changes(schedule)
    print(f"changes {len(schedule.changes)}, rivals refused {schedule.conflicts}")


def datetime_of(fault: Fault) -> str:
    """Return a fault's beginning on the wall clock, as the logs have it."""
    at = time.time() - time.monotonic() + fault.began
    return time.strftime("%H:%M:%S", time.localtime(at)) + f"{at % 1:.2f}"[1:]


def show_changes(schedule: Schedule) -> None:
    """Print times from accepted to in force, by what happened meanwhile.

    A new leader claims nothing in force before the old one's leases have run out, so
    each leader that falls meanwhile begins that wait anew.
    """
    groups: dict[str, list[float]] = {}
    for change in schedule.changes:
        falls = sum(
            fault.name in ("kill leader", "freeze leader")
            and fault.began < change.accepted_at + change.in_force_after
            and fault.ended + LONGEST_LEASE > change.accepted_at
            for fault in schedule.faults
        )
        place = "one entry cut off" if change.cut_off else "all entries"
        name = f"{place}, {falls} leader faults before or meanwhile"
        groups.setdefault(name, []).append(change.in_force_after)

    for name, values in sorted(groups.items()):
        show(f"accepted to in force, {name}", values)

    show("accepted to in force", [item.in_force_after for item in schedule.changes])


def list_waits(calls: list[Call], schedule: Schedule, name: str) -> list[float]:
    """Return, for each fault of a name, the longest wait of a caller who met it.

    A wait counts from a caller's first try to its last, whatever became of it.
    """
    waits = []
    for fault in schedule.faults:
        if fault.name != name:
            continue

        met = [
            (call.attempts[-1].ended - call.attempts[0].began, call)
            for call in calls
            if fault.began - LONGEST_BEFORE < call.attempts[0].began
            and call.attempts[0].began < fault.began + AFFECTED
            and call.attempts[-1].ended > fault.began
        ]
        longest, call = max(met, key=lambda item: item[0])
        waits.append(longest)
        print(f"{name} of {fault.target}: {longest:.2f} s, {describe(call, fault)}")

    return waits


def describe(call: Call, fault: Fault) -> str:
    """Return a call's tries, with times from the fault's beginning."""
    tries = [
        f"{item.entry} {item.began - fault.began:.2f} to "
        f"{item.ended - fault.began:.2f} s: {item.status} {item.code}"
        for item in call.attempts
    ]
    return f"{call.name}: " + "; ".join(tries)


def show(text: str, values: list[float]) -> None:
    """Print p50 and maximum of some seconds."""
    if not values:
        print(f"{text}: none")
        return

    print(
        f"{text}: p50 {statistics.median(values):.2f} s, "
        f"max {max(values):.2f} s, of {len(values)}"
    )


def main() -> int:
    """Run with the command line's arguments; 1 if anything was wrong."""
    seconds, seed, rate = (float(text) for text in sys.argv[1:4])
    if seconds > LONGEST:
        print(f"at most {LONGEST:.0f} s: later rows would be gone at the check")
        return 2

    if len(sys.argv) > 4:
        return min(1, run(Path(sys.argv[4]), seconds, int(seed), rate))

    with tempfile.TemporaryDirectory() as folder:
        return min(1, run(Path(folder), seconds, int(seed), rate))


if __name__ == "__main__":
    sys.exit(main())
