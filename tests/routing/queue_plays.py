"""Gateways that share too little room, on a simulated clock.

They use the functions that decide in the product. An engine runs a request for a time
drawn when it starts; requests beyond its slots queue there by rank, and those beyond
its memory count as preempted.
"""

from __future__ import annotations

import heapq
import random
from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from itertools import count
from typing import TYPE_CHECKING

from waxwingwell.decisions.rates import count_event
from waxwingwell.decisions.rates import decay_rate
from waxwingwell.routing.engine_room import LEAST_URGENT
from waxwingwell.routing.engine_room import DemandTable
from waxwingwell.routing.engine_room import EngineRoom
from waxwingwell.routing.engine_room import RankedDemand
from waxwingwell.routing.engine_room import RoomPool
from waxwingwell.routing.engine_room import apply_demand
from waxwingwell.routing.engine_room import apply_workspaces
from waxwingwell.routing.engine_room import count_left
from waxwingwell.routing.engine_room import find_bound
from waxwingwell.routing.engine_room import fits
from waxwingwell.routing.engine_room import is_short
from waxwingwell.routing.engine_room import make_pool
from waxwingwell.routing.engine_room import measure_room
from waxwingwell.routing.load import LoadTable
from waxwingwell.routing.load import add_running
from waxwingwell.routing.load import apply_totals
from waxwingwell.routing.load import get_total_load
from waxwingwell.routing.load import list_own_load
from waxwingwell.routing.load import remove_running
from waxwingwell.routing.messages import ServiceDemand
from waxwingwell.routing.messages import UpstreamUse
from waxwingwell.routing.messages import WorkspaceUse
from waxwingwell.routing.scheduling import FLOOR_PART
from waxwingwell.routing.scheduling import Waiting
from waxwingwell.routing.scheduling import choose_start
from waxwingwell.routing.scheduling import find_latest
from waxwingwell.routing.scheduling import find_over_share
from waxwingwell.routing.scheduling import list_hopeless
from waxwingwell.routing.scheduling import sort_waiting
from waxwingwell.routing.totals import sum_demand
from waxwingwell.routing.totals import sum_use
from waxwingwell.routing.totals import sum_workspaces


if TYPE_CHECKING:
    from collections.abc import Callable


SERVICE = "chat"
RANKS = (0, 1, 2)
INTERVAL_SECONDS = 0.25
RATE_SECONDS = 2.0
PREFILL_SECONDS = 0.2
OBJECTIVE_SECONDS = 2.0
TIMEOUT_SECONDS = 9.0
REQUEST_SECONDS = 1.5
"""Mean time for which a request holds a slot."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Scenario:
    """Load and size of a play; times in seconds."""

    gateways: int
    load: float
    """Load as a multiple of what the slots serve."""
    engines: int = 16
    slots: int = 12
    memory: int = 60_000
    age: float = 0.25
    """Age of the totals when they arrive."""
    seconds: float = 10.0
    bursts: bool = False
    """Whether the load of the least urgent rank doubles in every second period of two
    seconds."""
    shares: tuple[float, ...] = (0.25, 0.25, 0.5)
    """Shares of the ranks."""
    workspaces: tuple[float, ...] = (1.0, 1.0, 1.0, 1.0)
    """Weights of the workspaces."""
    seed: int = 1
    placed_by_totals: bool = False
    """Whether a gateway places requests by its totals. Otherwise the least loaded
    engine gets them, so that only the effect of the queues is measured."""
    queued: bool = True
    """Whether requests wait at gateways; otherwise each is sent at once."""


@dataclass(eq=False, slots=True)
class Request:
    """One request of a caller."""

    rank: int
    workspace: str
    arrived_at: float
    seconds: float
    tokens: int
    """Tokens of memory that are expected."""
    needed: int
    """Tokens of memory that it needs at last."""
    started_at: float | None = None
    first_at: float | None = None
    ended_at: float | None = None
    refused_at: float | None = None


@dataclass(slots=True)
class Engine:
    """One engine."""

    running: int = 0
    needed: int = 0
    queue: list[tuple[int, int, Request, Gateway]] = field(default_factory=list)


@dataclass(eq=False, slots=True)
class Gateway:
    """One gateway's tables and queue."""

    load: LoadTable = field(default_factory=LoadTable)
    demand: DemandTable = field(default_factory=DemandTable)
    waiting: dict[Waiting, Request] = field(default_factory=dict)
    arrivals: deque[tuple[float, int]] = field(default_factory=deque)
    running: Counter[str] = field(default_factory=Counter)
    short_since: float | None = None
    rate: float = 0.0
    rate_at: float = 0.0
    credit: float = 0.0
    before: Counter[int] = field(default_factory=Counter)
    """Requests that waited at the last totals, by rank."""
    since: Counter[int] = field(default_factory=Counter)
    """Requests that have arrived since."""
    pool: RoomPool | None = None
    """The engines as of the last totals."""
    reported: int = 0
    """Running requests at the last report."""
    use: tuple[UpstreamUse, ...] = ()
    reported_demand: tuple[ServiceDemand, ...] = ()
    reported_workspaces: tuple[WorkspaceUse, ...] = ()


@dataclass(slots=True)
class Result:
    """What came of the requests of a play."""

    requests: list[Request]
    preempted: int
    used: list[float]
    """Room in use, as a part of what the waiting ranks may fill, while some wait."""
    seconds: float

    def list_first(self, rank: int) -> list[float]:
        """Return the sorted times to the first event of a rank."""
        return sorted(
            one.first_at - one.arrived_at
            for one in self.requests
            if one.rank == rank and one.first_at is not None
        )

    def find_p95(self, rank: int) -> float:
        """Return the 95th percentile of the time to the first event of a rank."""
        times = self.list_first(rank)
        return times[int(0.95 * len(times))]

    def count_good(self, **fields: object) -> int:
        """Return how many requests of some kind ended in time."""
        return sum(
            one.ended_at is not None
            and one.ended_at - one.arrived_at <= TIMEOUT_SECONDS
            for one in self.select(**fields)
        )

    def find_served_share(self, **fields: object) -> float:
        """Return the share of the requests of some kind that ended in time."""
        chosen = self.select(**fields)
        return self.count_good(**fields) / max(len(chosen), 1)

    def select(self, **fields: object) -> list[Request]:
        """Return the requests whose fields have the given values.

        Those of the last seconds are left out, as they may run beyond the end.
        """
        latest = self.seconds - TIMEOUT_SECONDS / 3
        return [
            one
            for one in self.requests
            if one.arrived_at < latest
            and all(getattr(one, name) == value for name, value in fields.items())
        ]


class Play:
    """One play."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.random = random.Random(scenario.seed)
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.numbers = count()
        self.requests: list[Request] = []
        self.engines = {f"u{n}": Engine() for n in range(scenario.engines)}
        self.gateways = [Gateway() for _ in range(scenario.gateways)]
        self.preempted = 0
        self.used: list[float] = []

    def run(self) -> Result:
        """Run the play and return its result."""
        self.schedule(0.0, self.arrive)
        self.schedule(0.1, self.share)
        while self.events:
            at, _, action = heapq.heappop(self.events)
            if at > self.scenario.seconds + TIMEOUT_SECONDS:
                break

            action(at)

        return Result(self.requests, self.preempted, self.used, self.scenario.seconds)

    def schedule(self, at: float, action: Callable[[float], None]) -> None:
        """Call an action at a time."""
        heapq.heappush(self.events, (at, next(self.numbers), action))

    # --- callers --------------------------------------------------------------

    def arrive(self, now: float) -> None:
        """Let the next request arrive at some gateway."""
        scenario = self.scenario
        if now >= scenario.seconds:
            return

        draw = self.random
        rank = draw.choices(RANKS, scenario.shares)[0]
        places = range(len(scenario.workspaces))
        workspace = f"w{draw.choices(places, scenario.workspaces)[0]}"
        expected = draw.lognormvariate(0.0, 0.5)
        tokens = round(1_500 + 1_500 * expected)
        needed = round(1_500 + 1_500 * expected * draw.lognormvariate(0.0, 0.6))
        seconds = REQUEST_SECONDS * (0.3 + 0.7 * min(draw.expovariate(1.0), 4.0))
        request = Request(rank, workspace, now, seconds, tokens, needed)
        self.requests.append(request)
        gateway = draw.choice(self.gateways)
        if scenario.queued:
            self.enqueue(gateway, request, now)
        else:
            self.send(gateway, request, now)

        capacity = scenario.engines * scenario.slots / REQUEST_SECONDS
        rate = capacity * scenario.load
        if scenario.bursts and int(now / 2.0) % 2:
            rate *= 2.0

        self.schedule(now + draw.expovariate(rate), self.arrive)

    # --- gateways -------------------------------------------------------------

    def enqueue(self, gateway: Gateway, request: Request, now: float) -> None:
        """Start a request or queue it."""
        room = self.measure(gateway)
        if not is_short(room) and not gateway.waiting:
            gateway.short_since = None
            self.start(gateway, request, now)
            return

        if gateway.short_since is None:
            gateway.short_since = now

        waiting = Waiting(
            number=next(self.numbers),
            rank=request.rank,
            workspace=request.workspace,
            arrived_at=now,
            due_at=now + OBJECTIVE_SECONDS,
            latest=find_latest(now, now + TIMEOUT_SECONDS),
            tokens=request.tokens,
        )
        gateway.waiting[waiting] = request
        gateway.arrivals.append((now, request.rank))
        gateway.since[request.rank] += 1
        self.serve(gateway, now)
        self.refuse(gateway, now)

    def measure(self, gateway: Gateway) -> EngineRoom:
        """Return the room as a gateway knows it."""
        scenario = self.scenario
        if gateway.pool is None:
            upstreams = [(name, scenario.slots) for name in self.engines]
            gateway.pool = make_pool(upstreams, scenario.memory, gateway.load)

        return measure_room(gateway.pool, gateway.load, gateway.demand)

    def count_demand(self, gateway: Gateway, now: float) -> Counter[int]:
        """Return a gateway's demand by rank."""
        recent = now - INTERVAL_SECONDS
        while gateway.arrivals and gateway.arrivals[0][0] < recent:
            gateway.arrivals.popleft()

        demand = Counter(rank for _, rank in gateway.arrivals)
        demand.update(one.rank for one in gateway.waiting if one.arrived_at < recent)
        return demand

    def sort(self, gateway: Gateway, now: float) -> list[Waiting]:
        """Return a gateway's queue in order."""
        running = Counter(gateway.running)
        for name, number in gateway.demand.workspaces.get(SERVICE, {}).items():
            running[name] += number

        for one in gateway.waiting:
            running.setdefault(one.workspace, 0)

        return sort_waiting(gateway.waiting, find_over_share(running), now)

    def serve(self, gateway: Gateway, now: float) -> None:
        """Start the requests that have room."""
        while gateway.waiting:
            chosen, floor = choose_start(
                self.sort(gateway, now),
                lambda _: 0,
                partial(self.has_room, gateway),
                floor_due=gateway.credit >= 1.0,
            )
            if chosen is None:
                break

            gateway.credit -= floor
            self.start(gateway, gateway.waiting.pop(chosen), now)

    def has_room(self, gateway: Gateway, one: Waiting, rank: int) -> bool:
        """Return whether a request may start now as one of a rank."""
        table = gateway.demand
        demand = RankedDemand(
            gateway.before + gateway.since,
            table.others.get(SERVICE) or self.assume_demand(one),
            Counter(one.rank for one in gateway.waiting),
            table.waiting.get(SERVICE, {}),
            table.freed.get(SERVICE, 0.0),
        )
        room = self.measure(gateway)
        left = count_left(room, demand, rank=rank, least=RANKS[-1], draw=table.draw)
        return fits(left, one.tokens, table.draw)

    def assume_demand(self, one: Waiting) -> dict[int, int]:
        """Return the others' demand before they have reported any."""
        scenario = self.scenario
        rate = scenario.engines * scenario.slots / REQUEST_SECONDS * scenario.load
        others = 1.0 - 1.0 / scenario.gateways
        return {one.rank: round(rate * INTERVAL_SECONDS * others)}

    def refuse(self, gateway: Gateway, now: float) -> None:
        """Refuse the requests that can't begin in time."""
        if not gateway.waiting:
            return

        rate = None
        if gateway.short_since is not None and now - gateway.short_since > RATE_SECONDS:
            rate = decay_rate(gateway.rate, gateway.rate_at, RATE_SECONDS, now)

        for one, _ in list_hopeless(self.sort(gateway, now), rate, now):
            gateway.waiting.pop(one).refused_at = now

    def start(self, gateway: Gateway, request: Request, now: float) -> None:
        """Count a start and send the request."""
        gateway.rate = count_event(gateway.rate, gateway.rate_at, RATE_SECONDS, now)
        gateway.rate_at = now
        self.send(gateway, request, now)

    def send(self, gateway: Gateway, request: Request, now: float) -> None:
        """Send a request to an engine that has room, as far as is known."""
        if self.scenario.placed_by_totals:
            sample = self.random.sample(list(self.engines), 3)
            name = min(sample, key=lambda one: get_total_load(gateway.load, one).tokens)
        else:
            name = min(self.engines, key=self.rate_engine)

        add_running(gateway.load, name, 0.0, request.tokens)
        gateway.running[request.workspace] += 1
        engine = self.engines[name]
        engine.queue.append((request.rank, next(self.numbers), request, gateway))
        self.run_engine(name, now)

    def rate_engine(self, name: str) -> tuple[int, int]:
        """Return the queue beyond an engine's slots, and the tokens that it needs."""
        engine = self.engines[name]
        excess = engine.running + len(engine.queue) + 1 - self.scenario.slots
        return max(excess, 0), engine.needed

    # --- engines --------------------------------------------------------------

    def run_engine(self, name: str, now: float) -> None:
        """Start what an engine has slots for."""
        engine = self.engines[name]
        engine.queue.sort(key=lambda item: item[:2])
        while engine.queue and engine.running < self.scenario.slots:
            _, _, request, gateway = engine.queue.pop(0)
            engine.running += 1
            engine.needed += request.needed
            self.preempted += engine.needed > self.scenario.memory
            request.first_at = now + PREFILL_SECONDS

            def end(
                at: float, request: Request = request, gateway: Gateway = gateway
            ) -> None:
                self.end(name, gateway, request, at)

            self.schedule(now + request.seconds, end)

    def end(self, name: str, gateway: Gateway, request: Request, now: float) -> None:
        """End a request at its engine and its gateway."""
        engine = self.engines[name]
        engine.running -= 1
        engine.needed -= request.needed
        request.ended_at = now
        remove_running(gateway.load, name, request.tokens)
        gateway.running[request.workspace] -= 1
        self.run_engine(name, now)
        if gateway.waiting:
            gateway.credit = min(gateway.credit + FLOOR_PART, 1.0)
            self.serve(gateway, now)

    # --- controls -------------------------------------------------------------

    def share(self, now: float) -> None:
        """Sum up what all gateways report, and send the totals."""
        if now < self.scenario.seconds:
            self.schedule(now + INTERVAL_SECONDS, self.share)

        self.measure_use()
        for gateway in self.gateways:
            gateway.use = list_own_load(gateway.load)
            gateway.reported_demand = self.list_demand(gateway, now)
            gateway.reported_workspaces = self.list_workspaces(gateway)

        use = sum_use(one for g in self.gateways for one in g.use)
        demand = sum_demand(one for g in self.gateways for one in g.reported_demand)
        workspaces = sum_workspaces(
            one for g in self.gateways for one in g.reported_workspaces
        )
        reports = [
            (one, one.use, one.reported_demand, one.reported_workspaces)
            for one in self.gateways
        ]

        def deliver(at: float) -> None:
            for gateway, own, own_demand, own_workspaces in reports:
                apply_totals(
                    gateway.load, use, own, work=0.0, gateways=len(reports), now=at
                )
                draw = self.random.random()
                total = demand or ()
                apply_demand(gateway.demand, gateway.load, total, own_demand, draw)
                apply_workspaces(gateway.demand, workspaces or (), own_workspaces)
                gateway.before = Counter(one.rank for one in gateway.waiting)
                gateway.since.clear()
                gateway.pool = None
                if gateway.waiting:
                    self.serve(gateway, at)
                    self.refuse(gateway, at)
                elif not self.count_demand(gateway, at):
                    gateway.short_since = None

        self.schedule(now + self.scenario.age, deliver)

    def list_demand(self, gateway: Gateway, now: float) -> tuple[ServiceDemand, ...]:
        """Return what a gateway reports as its demand."""
        if not is_short(self.measure(gateway)) and not gateway.waiting:
            return ()

        running = sum(one.running for one in gateway.load.own.values())
        freed, gateway.reported = max(gateway.reported - running, 0), running
        demand = self.count_demand(gateway, now)
        waiting = Counter(one.rank for one in gateway.waiting)
        return (
            *(
                ServiceDemand(SERVICE, rank, number, waiting[rank])
                for rank, number in demand.items()
            ),
            ServiceDemand(SERVICE, LEAST_URGENT, 0, 0, freed),
        )

    def list_workspaces(self, gateway: Gateway) -> tuple[WorkspaceUse, ...]:
        """Return what a gateway reports as running by workspace."""
        if gateway.short_since is None:
            return ()

        names = {one.workspace for one in gateway.waiting} | set(gateway.running)
        return tuple(
            WorkspaceUse(SERVICE, name, gateway.running[name]) for name in names
        )

    def measure_use(self) -> None:
        """Measure the use of the room while requests wait."""
        ranks = [one.rank for gateway in self.gateways for one in gateway.waiting]
        if ranks:
            slots = self.scenario.engines * self.scenario.slots
            running = sum(one.running for one in self.engines.values())
            self.used.append(running / (find_bound(min(ranks), RANKS[-1]) * slots))


def play(**fields: object) -> Result:
    """Return the result of a play."""
    return Play(Scenario(**fields)).run()  # type: ignore[arg-type]
