"""Plays of calls at the upstreams of both versions of a service."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

from tests.routing.factories import make_announcement
from tests.routing.factories import make_rollout
from waxwingwell.adapters.gateway.choice import choose_upstream
from waxwingwell.adapters.gateway.dialect import RequestFacts
from waxwingwell.routing.fleet import apply_announcement
from waxwingwell.routing.load import add_running
from waxwingwell.routing.load import apply_totals
from waxwingwell.routing.load import list_own_load
from waxwingwell.routing.load import remove_running
from waxwingwell.routing.messages import UpstreamUse
from waxwingwell.routing.records import RouteKind

from .support import Gateway
from .support import make_gateway


if TYPE_CHECKING:
    from waxwingwell.routing.fleet import Announcement


DATA_CENTRES = ("north", "south", "west")
GATEWAYS = 9
SLOTS = 4
BUSY_SLOTS = 3
"""Slots in use, the new call's included, from which an upstream counts as busy."""
CALL_SECONDS = 0.025
TOTALS_SECONDS = 0.25
VERSIONS = ("v1", "v2")


@dataclass(slots=True)
class Tally:
    """Calls of one version."""

    waits: list[float] = field(default_factory=list)
    """Seconds for which each call waited for a slot."""
    busy: int = 0
    """Calls that found most slots of their upstream in use."""
    upstreams: dict[str, int] = field(default_factory=dict)
    """Calls by upstream."""

    @property
    def busy_part(self) -> float:
        """Part of the calls that found most slots in use."""
        return self.busy / max(sum(self.upstreams.values()), 1)

    @property
    def mean_wait(self) -> float:
        """Mean wait for a slot in seconds."""
        return sum(self.waits) / max(len(self.waits), 1)


@dataclass(slots=True)
class Queue:
    """The calls at one upstream."""

    running: int = 0
    waiting: list[tuple[float, int, str]] = field(default_factory=list)
    """Arrival, gateway and version of calls that wait for a slot."""


@dataclass(slots=True)
class Play:
    """Gateways that share their load a few times a second, and upstreams."""

    gateways: list[Gateway]
    rate: float
    """Calls per second."""
    draw: random.Random
    queues: dict[str, Queue] = field(default_factory=dict)
    events: list[tuple[float, int, Any]] = field(default_factory=list)
    count: int = 0
    tallies: dict[str, Tally] = field(
        default_factory=lambda: {version: Tally() for version in VERSIONS}
    )

    def schedule(self, at: float, event: Any) -> None:
        """Call ``event`` with the time ``at``."""
        self.count += 1
        heapq.heappush(self.events, (at, self.count, event))

    def run(self, seconds: float) -> None:
        """Run all events of some seconds."""
        self.schedule(0.0, self.arrive)
        self.schedule(0.0, self.share_totals)
        while self.events[0][0] < seconds:
            at, _, event = heapq.heappop(self.events)
            event(at)

    def arrive(self, now: float) -> None:
        """Place one call, and schedule the next."""
        self.schedule(now + self.draw.expovariate(self.rate), self.arrive)
        gateway = self.draw.randrange(len(self.gateways))
        upstream = self.place(gateway, now)
        name, version = upstream.upstream, upstream.version
        add_running(self.gateways[gateway].context.load, name, 0.0)
        queue = self.queues.setdefault(name, Queue())
        tally = self.tallies[version]
        tally.upstreams[name] = tally.upstreams.get(name, 0) + 1
        tally.busy += queue.running + 1 >= BUSY_SLOTS
        queue.waiting.append((now, gateway, version))
        self.begin_calls(name, now)

    def place(self, gateway: int, now: float) -> Announcement:
        """Return the upstream that a gateway chooses for a call."""
        context = self.gateways[gateway].context
        context.control_seen_at = now
        facts = RequestFacts(
            request_id=str(self.draw.random()),
            budget=10.0,
            key="k1",
            model="",
            prompt_tokens=0,
            prompt_blocks=(),
            resume_after="",
        )
        choice = choose_upstream(
            context,
            context.index,
            context.index.document.routes[0],
            facts,
            model="",
            excluded=set(),
            response_started=False,
            limit=1.0,
            now=now,
        )
        assert choice is not None
        return choice.placement.upstream

    def begin_calls(self, name: str, now: float) -> None:
        """Begin the calls for which an upstream has a slot."""
        queue = self.queues[name]
        while queue.waiting and queue.running < SLOTS:
            arrived_at, gateway, version = queue.waiting.pop(0)
            self.tallies[version].waits.append(now - arrived_at)
            queue.running += 1
            end = now + self.draw.expovariate(1 / CALL_SECONDS)
            self.schedule(end, lambda at, gateway=gateway: self.end(name, gateway, at))

    def end(self, name: str, gateway: int, now: float) -> None:
        """End a call, and begin the next one that waits."""
        remove_running(self.gateways[gateway].context.load, name)
        self.queues[name].running -= 1
        self.begin_calls(name, now)

    def share_totals(self, now: float) -> None:
        """Share the load of all gateways with each."""
        self.schedule(now + TOTALS_SECONDS, self.share_totals)
        loads = [gateway.context.load for gateway in self.gateways]
        reports = [list_own_load(load) for load in loads]
        running: dict[str, int] = {}
        for use in (use for report in reports for use in report):
            running[use.upstream] = running.get(use.upstream, 0) + use.running

        total = [
            UpstreamUse(upstream=name, running=number, backlog=0)
            for name, number in running.items()
        ]
        for load, report in zip(loads, reports, strict=True):
            apply_totals(load, total, report, work=0.0, gateways=len(loads), now=now)


def play_rollout(
    upstreams: int, share: float, usage: float, seconds: float, seed: int = 1
) -> dict[str, Tally]:
    """Return the calls of each version while a share of the sessions uses the target.

    ``usage`` is the part of one version's slots that all calls together need.
    """
    rollout = make_rollout(share=share)
    gateways = []
    for number in range(GATEWAYS):
        gateway = make_gateway(kind=RouteKind.IDEMPOTENT)
        context = gateway.context
        context.fleet.upstreams.clear()
        context.random = random.Random(seed * 1_000 + number)
        context.settings = replace(
            context.settings,
            node=f"g{number}",
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
        )
        for version in VERSIONS:
            add_version(gateway, version, upstreams)

        context.rollouts = {"chat": rollout}
        context.sessions.settled_shares = {rollout.ordered_at: share}
        gateways.append(gateway)

    rate = usage * upstreams * SLOTS / CALL_SECONDS
    play = Play(gateways, rate, random.Random(seed))
    play.run(seconds)
    return play.tallies


def add_version(gateway: Gateway, version: str, upstreams: int) -> None:
    """Let the upstreams of a version announce themselves."""
    first_port = 9_000 + 1_000 * VERSIONS.index(version)
    for number in range(upstreams):
        announcement = make_announcement(
            f"{version}-{number}",
            version=version,
            port=first_port + number,
            data_centre=DATA_CENTRES[number % len(DATA_CENTRES)],
            slots=SLOTS,
        )
        apply_announcement(gateway.context.fleet, announcement, 0.0)
