"""Benchmark of the whole system under a seeded schedule of faults.

``python -m bench.faults SECONDS SEED RATE [FOLDER]`` runs 3 controls, 3 entries, 3
engines and a service as processes on loopback and checks every request. A run takes at
most 110 s, so that no billing row expires before it is compared. If a folder is given,
the logs are kept there.
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

from scripts.faults import get_admin_view
from scripts.faults import get_execution_counts
from scripts.faults import make_faulty_deployment
from scripts.launcher import stop_all
from scripts.launcher import wait_until
from scripts.topology import WORKSPACE
from scripts.topology import name_nodes
from scripts.topology import start_system

from waxwingwell.state.catalogue import workspace_subject

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
MAX_SECONDS = 110.0
LEASE_SECONDS = 5.0
"""Seconds after a leader's fault during which leases that it granted may hold."""
LEAD_SECONDS = 1.0
"""Seconds before a fault within which an affected request starts.

Older requests that still wait do so for other reasons.
"""
AFFECTED_SECONDS = 2.0
"""Seconds after a leader's fault during which it may affect new requests."""


def run(folder: Path, seconds: float, seed: int, rate: float) -> int:
    """Run once and print the results; return the number of violations and losses."""
    system = make_faulty_deployment(
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
        calls = run_load(system, schedule, seconds, seed, rate)
        wait_until(lambda: all_rows_closed(system), "all rows are closed")
        failed_invariants = list_failed_invariants(system)
        counts = get_execution_counts(system)
    finally:
        codes = stop_all(system)

    states = [read_state(folder / f"{node}.data") for node in list_controls()]
    findings = check_calls(calls, states[0], counts, schedule.faults)
    check_bills(findings, states[0])
    check_changes(findings, schedule, states)
    findings.violations += [f"invariant: {text}" for text in failed_invariants]
    print_report(calls, findings, schedule)
    print("exit codes:", sorted(set(codes.values())))
    return len(findings.violations) + findings.lost + findings.cut


def run_load(
    system: Deployment, schedule: Schedule, seconds: float, seed: int, rate: float
) -> list[Call]:
    """Run traffic, faults and changes concurrently; return the callers' records."""
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


def all_rows_closed(system: Deployment) -> bool:
    """Return whether the leader has no open ledger row."""
    leader = get_leader(system)
    status = get_admin_view(system, leader, "status") if leader else None
    return status is not None and status["open_rows"] == 0


def list_failed_invariants(system: Deployment) -> list[str]:
    """Return the log lines that report a violated invariant or an internal fault."""
    lines = []
    for name, process in system.processes.items():
        for line in process.log.read_text(errors="replace").splitlines():
            if "invariants: " in line or "Stopped by a fault" in line:
                lines.append(f"{name}: {line}")

    return lines


def check_changes(
    findings: Findings, schedule: Schedule, states: list[ControlState]
) -> None:
    """Check that every member has all accepted changes at the end."""
    accepted = [change.revision for change in schedule.changes]
    if accepted != list(range(2, len(accepted) + 2)):
        findings.violations.append(f"revisions are not a chain: {accepted}")

    for state in states:
        revision = state.config.revisions.get(workspace_subject(WORKSPACE), 0)
        if accepted and revision < accepted[-1]:
            findings.violations.append(f"revision {revision} after {accepted[-1]}")


def print_report(calls: list[Call], findings: Findings, schedule: Schedule) -> None:
    """Print all results of a run."""
    billing_violations = sum(
        "billed" in text or "row" in text for text in findings.violations
    )
    print(
        f"requests {len(calls)}, tries {sum(len(call.attempts) for call in calls)}, "
        f"lost {findings.lost}, doubled {findings.duplicated}, cut {findings.cut} "
        f"(and {findings.cut_by_kill} by kill -9 of their entry), "
        f"wrongly billed {billing_violations}, "
        f"wrong in all {len(findings.violations)}, "
        f"compared with their bill {findings.billed}"
    )
    for text in findings.violations[:20]:
        print("WRONG", text)

    print("ends:", dict(sorted(findings.outcomes.items())))
    for fault in schedule.faults:
        started_at = fault.started_at - calls[0].attempts[0].started_at
        print(
            f"at {started_at:.2f} s, {format_start(fault)}: "
            f"{fault.name}, {fault.target}"
        )

    names = [fault.name for fault in schedule.faults]
    print("faults:", {name: names.count(name) for name in sorted(set(names))})
    for name in ("kill leader", "freeze leader"):
        print_seconds(f"longest wait at a '{name}'", list_waits(calls, schedule, name))

    print_changes(schedule)
    print(f"changes {len(schedule.changes)}, rivals refused {schedule.conflicts}")


def format_start(fault: Fault) -> str:
    """Return the wall-clock time of a fault's start, as in the logs."""
    wall_time = time.time() - time.monotonic() + fault.started_at
    return (
        time.strftime("%H:%M:%S", time.localtime(wall_time))
        + f"{wall_time % 1:.2f}"[1:]
    )


def print_changes(schedule: Schedule) -> None:
    """Print the times from acceptance to in force, grouped by concurrent faults.

    A new leader reports nothing as in force before its predecessor's leases have
    expired, so each leader failure meanwhile restarts that wait.
    """
    groups: dict[str, list[float]] = {}
    for change in schedule.changes:
        leader_faults = sum(
            fault.name in ("kill leader", "freeze leader")
            and fault.started_at < change.accepted_at + change.in_force_after
            and fault.ended_at + LEASE_SECONDS > change.accepted_at
            for fault in schedule.faults
        )
        place = "one entry cut off" if change.cut_off else "all entries"
        name = f"{place}, {leader_faults} leader faults before or meanwhile"
        groups.setdefault(name, []).append(change.in_force_after)

    for name, values in sorted(groups.items()):
        print_seconds(f"accepted to in force, {name}", values)

    print_seconds(
        "accepted to in force", [item.in_force_after for item in schedule.changes]
    )


def list_waits(calls: list[Call], schedule: Schedule, name: str) -> list[float]:
    """Return, for each fault of a name, the longest wait of an affected caller.

    A wait lasts from a caller's first attempt to the end of its last one, successful
    or not.
    """
    waits = []
    for fault in schedule.faults:
        if fault.name != name:
            continue

        affected = [
            (call.attempts[-1].ended_at - call.attempts[0].started_at, call)
            for call in calls
            if fault.started_at - LEAD_SECONDS < call.attempts[0].started_at
            and call.attempts[0].started_at < fault.started_at + AFFECTED_SECONDS
            and call.attempts[-1].ended_at > fault.started_at
        ]
        longest, call = max(affected, key=lambda item: item[0])
        waits.append(longest)
        print(
            f"{name} of {fault.target}: {longest:.2f} s, "
            f"{describe_attempts(call, fault)}"
        )

    return waits


def describe_attempts(call: Call, fault: Fault) -> str:
    """Return a call's attempts with times relative to the fault's start."""
    texts = [
        f"{item.entry} {item.started_at - fault.started_at:.2f} to "
        f"{item.ended_at - fault.started_at:.2f} s: {item.status} {item.code}"
        for item in call.attempts
    ]
    return f"{call.name}: " + "; ".join(texts)


def print_seconds(text: str, values: list[float]) -> None:
    """Print the median and maximum of durations in seconds."""
    if not values:
        print(f"{text}: none")
        return

    print(
        f"{text}: p50 {statistics.median(values):.2f} s, "
        f"max {max(values):.2f} s, of {len(values)}"
    )


def main() -> int:
    """Run with the arguments; return 1 for violations, 2 for a run that is too long."""
    seconds, seed, rate = (float(text) for text in sys.argv[1:4])
    if seconds > MAX_SECONDS:
        print(f"at most {MAX_SECONDS:.0f} s: later rows would be gone at the check")
        return 2

    if len(sys.argv) > 4:
        return min(1, run(Path(sys.argv[4]), seconds, int(seed), rate))

    with tempfile.TemporaryDirectory() as folder:
        return min(1, run(Path(folder), seconds, int(seed), rate))


if __name__ == "__main__":
    sys.exit(main())
