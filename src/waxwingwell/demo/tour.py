"""Steps of the tour; each uses one feature through the public APIs and checks it."""

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
from .client import read_admin
from .client import send_change
from .client import send_chat
from .client import send_order


if TYPE_CHECKING:
    from collections.abc import Awaitable
    from collections.abc import Callable


STEP_TIMEOUT = 15.0
"""Seconds within which a change must be in force."""
POLL_SECONDS = 0.05
"""Seconds between two checks of whether a change is in force."""
CANDIDATE = VersionId("small@2")
INCUMBENT = VersionId("small@1")


@dataclass(frozen=True, slots=True)
class StepResult:
    """Outcome of one step, shown as one row of the printed table."""

    step: str
    summary: str
    passed: bool


@dataclass(slots=True)
class Tour:
    """A running tour and the results of its finished steps."""

    system: EmbeddedSystem
    results: list[StepResult] = field(default_factory=list)


async def run_tour(system: EmbeddedSystem) -> list[StepResult]:
    """Run every step, even if an earlier one failed, and return the results."""
    tour = Tour(system)
    for name, step in STEPS:
        try:
            summary = await step(tour)
            tour.results.append(StepResult(name, summary, passed=True))
        except (AssertionError, TimeoutError, KeyError) as error:
            tour.results.append(StepResult(name, f"{error!r}", passed=False))

    return tour.results


async def revise_answers(tour: Tour) -> str:
    """Submit revised answers and wait until the new configuration is in force."""
    port = tour.system.admin_port
    current = await read_admin(port, "/admin/v1/answers/demo")
    answers = current["answers"]
    answers["limits"] = {"requests_per_second": 200, "max_in_flight": 100}
    answers["revises"] = current["revision"]
    data = msgspec.json.encode(answers)
    config = generate_config(
        check_answers(data, versions=None).unwrap(), current["revision"] + 1
    )
    change = ApplyAnswers(
        change_id=f"tour-answers-{current['revision']}",
        operator="tour",
        expected_revision=current["revision"],
        at=0.0,
        answers=data,
        config=config,
    )
    return await _submit_change(tour, change)


async def stream_chat(tour: Tour) -> str:
    """Stream a chat response to its end."""
    response = await send_chat(tour.system.port, "Which shaft fits?", stream=True)
    _expect(response.status == 200, f"status {response.status}")
    _expect(
        response.body.endswith(b"data: [DONE]\n\n"), "the stream ended without [DONE]"
    )
    events = response.body.count(b"data: ")
    return f"{events} events from {response.version}, whole"


async def run_cascade(tour: Tour) -> str:
    """Request complete reports, which the router may answer by a cascade.

    Once ratings of the cheap version are good enough, the dearer one is spared.
    """
    used_versions = set()
    for number in range(30):
        response = await send_chat(
            tour.system.port, f"Write fitting report {number}", kind="report"
        )
        _expect(response.status == 200, f"status {response.status}: {response.body!r}")
        used_versions.add(response.version)

    return f"30 whole reports, answered by {', '.join(sorted(used_versions))}"


async def send_order_twice(tour: Tour) -> str:
    """Send an order twice with one idempotency key; check that it runs at most once."""
    before = sum(tour.system.fleet.service.executions.values())
    first = await send_order(tour.system.port, "tour-order-1", "tour-1")
    second = await send_order(tour.system.port, "tour-order-1", "tour-1")
    runs = sum(tour.system.fleet.service.executions.values()) - before
    _expect(first.body == second.body, "the responses to the two orders differ")
    _expect(runs <= 1, f"the order ran {runs} times")
    return f"both answered {second.status}, the order ran {runs} time(s)"


async def check_session_pin(tour: Tour) -> str:
    """Check that a session stays on its version after a roll-out started."""
    port = tour.system.port
    first = await send_chat(port, "hello", session="tour-s1", model="small")
    outcome = await _submit_change(
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
    later_versions = [
        (await send_chat(port, "and now?", session="tour-s1", model="small")).version
        for _ in range(5)
    ]
    _expect(
        set(later_versions) == {first.version},
        f"{first.version} changed to {later_versions}",
    )
    return f"roll-out {outcome}; the session stayed on {first.version}"


async def withdraw_version(tour: Tour) -> str:
    """Withdraw a version at once and check that requests for it are refused."""
    port = tour.system.port
    outcome = await _submit_change(
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


async def summarise_bills(tour: Tour) -> str:
    """Return the number of billed requests per version and of services."""
    bills = await read_admin(tour.system.admin_port, "/admin/v1/bills")
    rows = [f"{row['version'] or 'services'}: {row['requests']}" for row in bills]
    return "requests billed: " + ", ".join(rows)


STEPS: tuple[tuple[str, Callable[[Tour], Awaitable[str]]], ...] = (
    ("answers revised", revise_answers),
    ("streamed chat", stream_chat),
    ("cascade", run_cascade),
    ("order sent twice", send_order_twice),
    ("session in a roll-out", check_session_pin),
    ("withdrawal", withdraw_version),
    ("bills", summarise_bills),
)


async def _submit_change(tour: Tour, change: Any) -> str:
    """Submit a change and wait until it is in force at every entry."""
    response = await send_change(tour.system.admin_port, change)
    _expect(response.status == 200, f"{response.status} {response.body!r}")
    accepted = response.read_json()
    version = accepted["config_version"]
    started = read_clock()
    path = f"/admin/v1/in-force?config_version={version}"
    while not (await read_admin(tour.system.admin_port, path)).get("in_force"):
        if read_clock() > started + STEP_TIMEOUT:
            raise TimeoutError(f"configuration {version} was not in force in time")

        await deferLater(tour.system.reactor, POLL_SECONDS, lambda: None)

    elapsed = read_clock() - started
    return f"accepted as {accepted['revision']}, in force after {elapsed:.2f} s"


async def _find_revision(tour: Tour, subject: str) -> int:
    revisions = await read_admin(tour.system.admin_port, "/admin/v1/revisions")
    return int(revisions.get(subject, 0))


def _expect(condition: bool, message: str) -> None:
    if not condition:
        raise AssertionError(message)
