"""Simulation of permits: gateways, controls and links on one clock.

Uses the same functions as gateways and controls. Each gateway reports at its usual
period, with a random phase, and messages take time on the links.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from dataclasses import field
from itertools import count
from typing import TYPE_CHECKING
from typing import Any

from waxwingwell.adapters.gateway.daemon import REPORT_SECONDS
from waxwingwell.routing.permits import GrantTable
from waxwingwell.routing.permits import PermitTable
from waxwingwell.routing.permits import apply_grants
from waxwingwell.routing.permits import compute_permit_rate
from waxwingwell.routing.permits import grant_permits
from waxwingwell.routing.permits import has_permit
from waxwingwell.routing.permits import take_requests
from waxwingwell.routing.permits import use_permit
from waxwingwell.routing.permits import want_permit


if TYPE_CHECKING:
    from collections.abc import Callable


UPSTREAM = "u1"


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Load, limit and faults of one simulation; times in seconds."""

    gateways: int
    rate: float = 1.7
    """Requests per second that the upstream takes."""
    demand: float = 2.0
    """Requests per second that each gateway would send to the upstream."""
    overshoot: float = 1.5
    slack: float = 5.0
    window: float = 4.0
    """Seconds in which the upstream may get ``limit`` requests."""
    valid_seconds: float = 1.25
    controls: int = 5
    seconds: float = 40.0
    delay: float = 0.005
    """Mean delay of a message on its link."""
    lost: float = 0.0
    """Share of messages that are lost."""
    killed: float = 0.0
    """Share of the controls that are killed per second; each restarts at once."""
    moving: float = 0.0
    """Share of the gateways per second that attach to another control."""
    stalled: tuple[float, float] | None = None
    """Interval in which control 0 handles no message; they arrive afterwards."""
    bursts: bool = False
    """Whether there is demand only in every second period of two seconds."""
    seed: int = 1

    @property
    def limit(self) -> float:
        """Requests that the upstream may get within the window."""
        return self.overshoot * self.rate * self.window + self.slack


@dataclass(slots=True)
class Gateway:
    """State of one gateway; ``offset`` is its clock's difference."""

    offset: float
    control: int
    permits: PermitTable = field(default_factory=PermitTable)


class Play:
    """One simulation; ``sent`` holds the times of the requests to the upstream."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = random.Random(scenario.seed)
        self.queue: list[tuple[float, int, Callable[[float], None]]] = []
        self.numbers = count()
        self.sent: list[float] = []
        self.rate = min(
            scenario.rate,
            compute_permit_rate(
                scenario.limit,
                scenario.window,
                scenario.valid_seconds,
                scenario.controls,
            ),
        )
        self.grants = [GrantTable() for _ in range(scenario.controls)]
        self.gateways = [
            Gateway(self.random.random() * 1_000, number % scenario.controls)
            for number in range(scenario.gateways)
        ]

    def run(self) -> list[float]:
        """Run the simulation and return the times of the requests."""
        for gateway in self.gateways:
            self.schedule(self.random.random() * REPORT_SECONDS, self.report, gateway)
            self.schedule(self.random.random(), self.request, gateway)

        for number in range(self.scenario.controls):
            self.schedule(self.random.random(), self.maybe_kill, number)

        while self.queue[0][0] < self.scenario.seconds:
            at, _, action = heapq.heappop(self.queue)
            action(at)

        return self.sent

    def schedule(
        self, at: float, action: Callable[[Any, float], None], argument: Any
    ) -> None:
        """Run an action at a time."""
        entry = (at, next(self.numbers), lambda now: action(argument, now))
        heapq.heappush(self.queue, entry)

    def delay(self, at: float) -> float:
        """Return the arrival time of a message."""
        return at + self.random.expovariate(1 / self.scenario.delay)

    def request(self, gateway: Gateway, at: float) -> None:
        """Send a request to the upstream if the gateway has a permit."""
        following = at + self.random.expovariate(self.scenario.demand)
        self.schedule(following, self.request, gateway)
        if self.scenario.bursts and int(at / 2) % 2:
            return

        now = at + gateway.offset
        if not has_permit(gateway.permits, UPSTREAM, now):
            want_permit(
                gateway.permits, UPSTREAM, self.rate, self.scenario.valid_seconds
            )
            return

        use_permit(gateway.permits, UPSTREAM, now)
        self.sent.append(at)

    def report(self, gateway: Gateway, at: float) -> None:
        """Send a gateway's report to its control."""
        self.schedule(at + REPORT_SECONDS, self.report, gateway)
        if self.random.random() < self.scenario.moving * REPORT_SECONDS:
            gateway.control = self.random.randrange(self.scenario.controls)

        now = at + gateway.offset
        requests = take_requests(gateway.permits, now)
        if not requests or self.random.random() < self.scenario.lost:
            return

        def receive(control: int, at: float) -> None:
            stalled = self.scenario.stalled
            if control == 0 and stalled and stalled[0] <= at < stalled[1]:
                self.schedule(stalled[1], receive, control)
                return

            attached = sum(one.control == control for one in self.gateways)
            part = attached / len(self.gateways)
            granted = grant_permits(self.grants[control], requests, part, at)
            if self.random.random() >= self.scenario.lost:
                self.schedule(self.delay(at), apply, granted)

        def apply(granted: tuple[str, ...], at: float) -> None:
            apply_grants(gateway.permits, granted, now, at + gateway.offset)

        self.schedule(self.delay(at), receive, gateway.control)

    def maybe_kill(self, number: int, at: float) -> None:
        """Forget a control's state at the scenario's rate."""
        if self.random.random() < self.scenario.killed:
            self.grants[number] = GrantTable()

        self.schedule(at + 1.0, self.maybe_kill, number)


def count_worst_window(times: list[float], window: float) -> int:
    """Return the largest number of requests within a window."""
    first = worst = 0
    for last, at in enumerate(times):
        while times[first] <= at - window:
            first += 1

        worst = max(worst, last - first + 1)

    return worst
