"""A seeded schedule of faults over running processes, and what it measured."""

from __future__ import annotations

import base64
import json
import random
import time
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from scripts.faults import CONTROLS
from scripts.faults import ask_admin
from scripts.faults import freeze
from scripts.faults import post_command
from scripts.faults import set_relays
from scripts.faults import thaw
from scripts.launcher import Deployment
from scripts.launcher import get_status
from scripts.launcher import kill_process
from scripts.launcher import start_process
from scripts.topology import WORKSPACE
from scripts.topology import make_answers
from scripts.topology import name_nodes


FROZEN = 1.6
"""Seconds for which a leader is stopped: twice the longest election."""
CUT_OFF = 6.0
"""Seconds for which an entry is cut off: longer than its lease."""
SETTLED = 1.0
"""Seconds of quiet after everything serves again."""
READY_LIMIT = 30.0
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
    """One fault and the time for which it lasted, on the monotonic clock."""

    name: str
    target: str
    began: float
    ended: float


@dataclass(frozen=True, slots=True)
class ChangeSeen:
    """One accepted change as its operator saw it."""

    revision: int
    config_version: int
    accepted_at: float
    """Monotonic seconds."""
    in_force_after: float
    """Seconds from accepted to in force."""
    cut_off: bool
    """An entry was cut off at the time."""


@dataclass(slots=True)
class Schedule:
    """The faults of one run."""

    system: Deployment
    entries: tuple[str, ...]
    random: random.Random
    until: float
    faults: list[Fault] = field(default_factory=list)
    changes: list[ChangeSeen] = field(default_factory=list)
    conflicts: int = 0
    doubtful: int = 0
    """Changes whose outcome no process told."""
    cut_off: str = ""
    stopped: bool = False


def run_schedule(schedule: Schedule) -> None:
    """Make one fault after the other until the time is over; heal at the end."""
    order: list[str] = []
    while time.monotonic() < schedule.until:
        # Each fault comes as often as the list names it, in an order by the seed.
        if not order:
            order = schedule.random.sample(FAULTS, len(FAULTS))

        name = order.pop()
        began = time.monotonic()
        target = _make_fault(schedule, name)
        if target:
            schedule.faults.append(Fault(name, target, began, time.monotonic()))

        _wait_healthy(schedule)

    schedule.stopped = True


def _make_fault(schedule: Schedule, name: str) -> str:
    system = schedule.system
    leader = get_leader(system)
    entry = schedule.random.choice(schedule.entries)
    if not leader:
        return ""

    if name == "kill leader":
        return _kill(system, leader)

    if name == "kill follower":
        others = [node for node in list_controls() if node != leader]
        return _kill(system, schedule.random.choice(others))

    if name == "kill entry":
        return _kill(system, entry)

    if name == "freeze leader":
        freeze(system, leader)
        time.sleep(FROZEN)
        thaw(system, leader)
        return leader

    if name == "cut off entry":
        schedule.cut_off = entry
        set_relays(system, entry, silence=True, blackhole=True)
        time.sleep(CUT_OFF)
        set_relays(system, entry, blackhole=False, cut=True)
        schedule.cut_off = ""
        return entry

    set_relays(system, entry, cut=name == "cut links", silence=name == "silence links")
    return entry


def _kill(system: Deployment, name: str) -> str:
    kill_process(system, name)
    start_process(system, name)
    return name


def _wait_healthy(schedule: Schedule) -> None:
    deadline = time.monotonic() + READY_LIMIT
    while time.monotonic() < deadline and not is_healthy(schedule):
        time.sleep(0.1)

    time.sleep(SETTLED)


def is_healthy(schedule: Schedule) -> bool:
    """Tell whether every process serves and every member is up to date."""
    statuses = [ask_admin(schedule.system, node, "status") for node in list_controls()]
    if any(status is None for status in statuses):
        return False

    if len({status["config_version"] for status in statuses}) > 1:
        return False

    if not any(status["leads"] for status in statuses):
        return False

    return all(is_ready(schedule.system, entry) for entry in schedule.entries)


def is_ready(system: Deployment, entry: str) -> bool:
    """Tell whether an entry's health check is green."""
    port = system.ports[f"{entry}.callers"]
    return get_status(f"http://127.0.0.1:{port}/readyz") == 200


def list_controls() -> tuple[str, ...]:
    """Return the names of the control processes."""
    return name_nodes("control", CONTROLS)


def get_leader(system: Deployment) -> str:
    """Return who leads now, or an empty text."""
    for node in list_controls():
        status = ask_admin(system, node, "status")
        if status is not None and status["leads"]:
            return node

    return ""


def run_changes(schedule: Schedule) -> None:
    """Revise the workspace's answers again and again, as an operator would.

    A change is resent under its id until its outcome is known. Each accepted one is
    the only child of the revision before it; a rival on the same revision must lose.
    """
    revision = 1
    while not schedule.stopped:
        outcome = _send(schedule, revision, "first")
        if outcome is None:
            schedule.doubtful += 1
            continue

        if outcome["type"] != "Accepted":
            raise RuntimeError(f"a lone change was not accepted: {outcome}")

        accepted_at = time.monotonic()
        cut_off = bool(schedule.cut_off)
        rival = _send(schedule, revision, "rival")
        schedule.conflicts += rival is not None and rival["type"] == "Conflict"
        if rival is not None and rival["type"] == "Accepted":
            raise RuntimeError(f"two changes on revision {revision}")

        revision = outcome["revision"]
        version = outcome["config_version"]
        while not is_in_force(schedule.system, version):
            time.sleep(0.02)

        cut_off = cut_off or bool(schedule.cut_off)
        after = time.monotonic() - accepted_at
        schedule.changes.append(
            ChangeSeen(revision, version, accepted_at, after, cut_off)
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
    deadline = time.monotonic() + READY_LIMIT
    while time.monotonic() < deadline:
        for node in list_controls():
            status, outcome = post_command(schedule.system, node, command, 1.0)
            if status in (200, 409, 422):
                return outcome

        time.sleep(0.05)

    return None


def is_in_force(system: Deployment, version: int) -> bool:
    """Ask every control process in turn whether a version is in force."""
    path = f"in-force?config_version={version}"
    for node in list_controls():
        answer = ask_admin(system, node, path, 0.5)
        if answer is not None:
            return bool(answer.get("in_force"))

    return False
