"""The tour: each step does one thing through the public APIs and checks it."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

import msgspec
from twisted.internet.task import deferLater

from ..adapters.clock import read_clock
from ..answers.findings import check_answers
from ..answers.generation import generate_config
from ..embedded.system import EmbeddedSystem
from ..messages import ApplyAnswers
from ..messages import StartRollout
from ..messages import WithdrawVersion
from ..records import VersionId
from .caller import read_admin
from .caller import send_change
from .caller import send_chat
from .caller import send_order


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


STEP_LIMIT = 15.0
"""Seconds that a condition of the tour may take."""
POLL = 0.05
CANDIDATE = VersionId("small@2")
INCUMBENT = VersionId("small@1")


@dataclass(frozen=True, slots=True)
class StepResult:
    """One line of the tour's table."""

    step: str
    happened: str
    good: bool


@dataclass(slots=True)
class Tour:
    """A tour under way."""

    system: EmbeddedSystem
    results: list[StepResult] = field(default_factory=list)


async def run_tour(system: EmbeddedSystem) -> list[StepResult]:
    """Run every step, also after one that failed, and return the results."""
    tour = Tour(system)
    for name, step in STEPS:
        try:
            happened = await step(tour)
            tour.results.append(StepResult(name, happened, good=True))
        except (AssertionError, TimeoutError, KeyError) as error:
            tour.results.append(StepResult(name, f"{error!r}", good=False))

    return tour.results


async def revise_answers(tour: Tour) -> str:
    """Revise the answers and wait until the new configuration is in force."""
    port = tour.system.admin_port
    present = await read_admin(port, "/admin/v1/answers/demo")
    answers = present["answers"]
    answers["limits"] = {"requests_per_second": 200, "max_in_flight": 100}
    answers["revises"] = present["revision"]
    data = msgspec.json.encode(answers)
    config = generate_config(
        check_answers(data, versions=None).unwrap(), present["revision"] + 1
    )
    change = ApplyAnswers(
        change_id=f"tour-answers-{present['revision']}",
        operator="tour",
        expected_revision=present["revision"],
        at=0.0,
        answers=data,
        config=config,
    )
    return await _change(tour, change)


async def stream_chat(tour: Tour) -> str:
    """Stream an answer."""
    answer = await send_chat(tour.system.port, "Which shaft fits?", stream=True)
    _expect(answer.status == 200, f"status {answer.status}")
    _expect(answer.body.endswith(b"data: [DONE]\n\n"), "the stream is not whole")
    events = answer.body.count(b"data: ")
    return f"{events} events from {answer.version}, whole"


async def run_cascade(tour: Tour) -> str:
    """Ask for whole reports, until the cheap version's rating spares the dear one."""
    used = set()
    for number in range(30):
        answer = await send_chat(
            tour.system.port, f"Write fitting report {number}", kind="report"
        )
        _expect(answer.status == 200, f"status {answer.status}: {answer.body!r}")
        used.add(answer.version)

    return f"30 whole reports, answered by {', '.join(sorted(used))}"


async def order_twice(tour: Tour) -> str:
    """Send one order twice under one key."""
    before = sum(tour.system.fleet.service.executions.values())
    first = await send_order(tour.system.port, "tour-order-1", "tour-1")
    second = await send_order(tour.system.port, "tour-order-1", "tour-1")
    runs = sum(tour.system.fleet.service.executions.values()) - before
    _expect(first.body == second.body, "the answers differ")
    _expect(runs <= 1, f"the order ran {runs} times")
    return f"both answered {second.status}, the order ran {runs} time(s)"


async def keep_session(tour: Tour) -> str:
    """Start a session, a roll-out beside it, and go on with the session."""
    port = tour.system.port
    first = await send_chat(port, "hello", session="tour-s1", model="small")
    outcome = await _change(
        tour,
        StartRollout(
            change_id="tour-rollout",
            operator="tour",
            expected_revision=await _find_revision(tour, "rollout:small"),
            at=0.0,
            model="small",
            candidate=CANDIDATE,
            incumbent=INCUMBENT,
        ),
    )
    later = [
        (await send_chat(port, "and now?", session="tour-s1", model="small")).version
        for _ in range(5)
    ]
    _expect(set(later) == {first.version}, f"{first.version} became {later}")
    return f"roll-out {outcome}; the session stayed on {first.version}"


async def withdraw_version(tour: Tour) -> str:
    """Withdraw a version at once; nothing new runs on it."""
    port = tour.system.port
    outcome = await _change(
        tour,
        WithdrawVersion(
            change_id="tour-withdraw",
            operator="tour",
            expected_revision=await _find_revision(tour, f"version:{CANDIDATE}"),
            at=0.0,
            version=CANDIDATE,
        ),
    )
    refused = await send_chat(port, "on the old one", model=str(CANDIDATE))
    _expect(refused.status == 410, f"status {refused.status}")
    _expect(refused.outcome == "not_run", refused.outcome)
    return f"{outcome}; asked for by name: {refused.status}, {refused.outcome}"


async def show_bills(tour: Tour) -> str:
    """Read the bills."""
    bills = await read_admin(tour.system.admin_port, "/admin/v1/bills")
    rows = [f"{row['version'] or 'services'}: {row['requests']}" for row in bills]
    return "requests billed: " + ", ".join(rows)


STEPS: tuple[tuple[str, Callable[[Tour], Awaitable[str]]], ...] = (
    ("answers revised", revise_answers),
    ("streamed chat", stream_chat),
    ("cascade", run_cascade),
    ("order sent twice", order_twice),
    ("session in a roll-out", keep_session),
    ("withdrawal", withdraw_version),
    ("bills", show_bills),
)


async def _change(tour: Tour, change: Any) -> str:
    """Send a change and wait until it is in force at every entry."""
    answer = await send_change(tour.system.admin_port, change)
    _expect(answer.status == 200, f"{answer.status} {answer.body!r}")
    accepted = answer.read_json()
    version = accepted["config_version"]
    started = read_clock()
    path = f"/admin/v1/in-force?config_version={version}"
    while not (await read_admin(tour.system.admin_port, path)).get("in_force"):
        if read_clock() > started + STEP_LIMIT:
            raise TimeoutError(f"configuration {version} is not in force")

        await deferLater(tour.system.reactor, POLL, lambda: None)

    took = read_clock() - started
    return f"accepted as {accepted['revision']}, in force after {took:.2f} s"


async def _find_revision(tour: Tour, subject: str) -> int:
    revisions = await read_admin(tour.system.admin_port, "/admin/v1/revisions")
    return int(revisions.get(subject, 0))


def _expect(holds: bool, detail: str) -> None:
    if not holds:
        raise AssertionError(detail)
