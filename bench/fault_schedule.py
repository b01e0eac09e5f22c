"""A seeded schedule of faults and configuration changes in running processes."""

from __future__ import annotations

import base64
import json
import random
import time
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from scripts.faults import CONTROLS
from scripts.faults import get_admin_view
from scripts.faults import post_command
from scripts.faults import resume_process
from scripts.faults import set_relays
from scripts.faults import suspend_process
from scripts.launcher import Deployment
from scripts.launcher import get_status
from scripts.launcher import kill_process
from scripts.launcher import start_process
from scripts.topology import WORKSPACE
from scripts.topology import make_answers
from scripts.topology import name_nodes


PAUSE_SECONDS = 1.6
"""Seconds for which a leader is suspended: twice the longest election."""
CUT_OFF_SECONDS = 6.0
"""Seconds for which an entry is cut off from control: longer than its lease."""
STABLE_SECONDS = 1.0
"""Seconds without faults after all processes are ready again."""
READY_TIMEOUT_SECONDS = 30.0
FAULTS = (
    "kill leader",
    "kill leader",
    "kill leader",
    "freeze leader",
    "kill follower",
    "kill entry",
    "cut links",
    "silence links",
    "cut off entry",
)


@dataclass(frozen=True, slots=True)
class Fault:
    """One fault with its start and end on the monotonic clock."""

    name: str
    target: str
    started_at: float
    ended_at: float


@dataclass(frozen=True, slots=True)
class ObservedChange:
    """One accepted change as its operator observed it."""

    revision: int
    config_version: int
    accepted_at: float
    """Time of acceptance in seconds of the monotonic clock."""
    in_force_after: float
    """Seconds from acceptance until the change is in force."""
    cut_off: bool
    """Whether an entry was cut off meanwhile."""


@dataclass(slots=True)
class Schedule:
    """The schedule of one run, and the faults and changes that it made."""

    system: Deployment
    entries: tuple[str, ...]
    random: random.Random
    until: float
    faults: list[Fault] = field(default_factory=list)
    changes: list[ObservedChange] = field(default_factory=list)
    conflicts: int = 0
    unresolved: int = 0
    """Number of changes for which no process reported an outcome in time."""
    cut_off: str = ""
    stopped: bool = False


def run_schedule(schedule: Schedule) -> None:
    """Inject faults one at a time until the time is over; recover after each."""
    pending: list[str] = []
    while time.monotonic() < schedule.until:
        # Each fault occurs as often as it is listed, in an order drawn by the seed.
        if not pending:
            pending = schedule.random.sample(FAULTS, len(FAULTS))

        name = pending.pop()
        started_at = time.monotonic()
        target = _inject_fault(schedule, name)
        if target:
            schedule.faults.append(Fault(name, target, started_at, time.monotonic()))

        _wait_healthy(schedule)

    schedule.stopped = True


def _inject_fault(schedule: Schedule, name: str) -> str:
    system = schedule.system
    leader = get_leader(system)
    entry = schedule.random.choice(schedule.entries)
    if not leader:
        return ""

    if name == "kill leader":
        return _restart(system, leader)

    if name == "kill follower":
        others = [node for node in list_controls() if node != leader]
        return _restart(system, schedule.random.choice(others))

    if name == "kill entry":
        return _restart(system, entry)

    if name == "freeze leader":
        suspend_process(system, leader)
        time.sleep(PAUSE_SECONDS)
        resume_process(system, leader)
        return leader

    if name == "cut off entry":
        schedule.cut_off = entry
        set_relays(system, entry, silence=True, blackhole=True)
        time.sleep(CUT_OFF_SECONDS)
        set_relays(system, entry, blackhole=False, cut=True)
        schedule.cut_off = ""
        return entry

    set_relays(system, entry, cut=name == "cut links", silence=name == "silence links")
    return entry


def _restart(system: Deployment, name: str) -> str:
    kill_process(system, name)
    start_process(system, name)
    return name


def _wait_healthy(schedule: Schedule) -> None:
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while time.monotonic() < deadline and not is_healthy(schedule):
        time.sleep(0.1)

    time.sleep(STABLE_SECONDS)


def is_healthy(schedule: Schedule) -> bool:
    """Return whether all processes are ready and all members are up to date."""
    statuses = [
        get_admin_view(schedule.system, node, "status") for node in list_controls()
    ]
    if any(status is None for status in statuses):
        return False

    if len({status["config_version"] for status in statuses}) > 1:
        return False

    if not any(status["leads"] for status in statuses):
        return False

    return all(is_ready(schedule.system, entry) for entry in schedule.entries)


def is_ready(system: Deployment, entry: str) -> bool:
    """Return whether an entry's readiness check succeeds."""
    port = system.ports[f"{entry}.callers"]
    return get_status(f"http://127.0.0.1:{port}/readyz") == 200


def list_controls() -> tuple[str, ...]:
    """Return the names of the control processes."""
    return name_nodes("control", CONTROLS)


def get_leader(system: Deployment) -> str:
    """Return the current leader's name, or an empty string if there is none."""
    for node in list_controls():
        status = get_admin_view(system, node, "status")
        if status is not None and status["leads"]:
            return node

    return ""


def run_changes(schedule: Schedule) -> None:
    """Change the workspace's answers repeatedly, as an operator would.

    A change is sent again under its id until its outcome is known. For each revision,
    exactly one change may be accepted; a competing one must be refused.
    """
    revision = 1
    while not schedule.stopped:
        outcome = _send(schedule, revision, "first")
        if outcome is None:
            schedule.unresolved += 1
            continue

        if outcome["type"] != "Accepted":
            raise RuntimeError(
                f"a change without competitor was not accepted: {outcome}"
            )

        accepted_at = time.monotonic()
        cut_off = bool(schedule.cut_off)
        rival = _send(schedule, revision, "rival")
        schedule.conflicts += rival is not None and rival["type"] == "Conflict"
        if rival is not None and rival["type"] == "Accepted":
            raise RuntimeError(f"two changes were accepted for revision {revision}")

        revision = outcome["revision"]
        version = outcome["config_version"]
        while not is_in_force(schedule.system, version):
            time.sleep(0.02)

        cut_off = cut_off or bool(schedule.cut_off)
        after = time.monotonic() - accepted_at
        schedule.changes.append(
            ObservedChange(revision, version, accepted_at, after, cut_off)
        )


def _send(schedule: Schedule, revision: int, name: str) -> Any:
    answers = make_answers()
    answers["limits"]["requests_per_second"] = 5000 + revision
    command = {
        "type": "ApplyAnswers",
        "change_id": f"{name}-{revision}",
        "operator": "bench",
        "expected_revision": revision,
        "at": 0.0,
        "answers": base64.b64encode(json.dumps(answers).encode()).decode(),
        "config": {"workspace": WORKSPACE, "revision": 1, "allowed": [], "kinds": []},
    }
    deadline = time.monotonic() + READY_TIMEOUT_SECONDS
    while time.monotonic() < deadline:
        for node in list_controls():
            status, outcome = post_command(schedule.system, node, command, 1.0)
            if status in (200, 409, 422):
                return outcome

        time.sleep(0.05)

    return None


def is_in_force(system: Deployment, version: int) -> bool:
    """Return whether a version is in force, by the first control that responds."""
    path = f"in-force?config_version={version}"
    for node in list_controls():
        response = get_admin_view(system, node, path, 0.5)
        if response is not None:
            return bool(response.get("in_force"))

    return False
