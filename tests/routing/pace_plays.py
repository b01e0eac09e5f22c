"""Simulated engines, gateways and controls that exchange paces, without a network."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from dataclasses import field

from waxwingwell.routing.engine_comparison import Engine
from waxwingwell.routing.engine_comparison import SpeedChange
from waxwingwell.routing.engine_comparison import take_speeds
from waxwingwell.routing.engine_comparison import update_deviations
from waxwingwell.routing.engine_paces import PaceSampleTable
from waxwingwell.routing.engine_paces import StreamPace
from waxwingwell.routing.engine_paces import forget_reported
from waxwingwell.routing.engine_paces import list_paces
from waxwingwell.routing.engine_paces import record_events
from waxwingwell.routing.engine_speeds import EngineSpeedTable
from waxwingwell.routing.engine_speeds import apply_speeds
from waxwingwell.routing.engine_speeds import find_duration_factor
from waxwingwell.routing.messages import EngineSpeed
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import GatewayReport
from waxwingwell.routing.reports import ReportTable
from waxwingwell.routing.reports import drop_expired
from waxwingwell.routing.reports import make_control_report
from waxwingwell.routing.reports import receive_control_report
from waxwingwell.routing.reports import receive_report


TICK_SECONDS = 0.125
"""Interval of the controls' exchange; every second one brings reports and factors."""
EVENT_SECONDS = 0.04
MODELS = {"m-small": 0.5, "m-large": 1.0}
"""Time of an event by model, relative to ``EVENT_SECONDS``."""
STREAM_EVENTS = 80
LAG_FACTOR = 4.0
STALL_SHARE = 0.003
"""Share of events that come late, as if a packet was lost or a prefill intervened."""
STALL_SECONDS = 0.6


@dataclass(slots=True)
class Gateway:
    """A gateway with its samples and the factors that it knows."""

    name: str
    control: str
    paces: PaceSampleTable
    speeds: EngineSpeedTable = field(default_factory=EngineSpeedTable)


@dataclass(slots=True)
class Play:
    """Gateways, engines and controls on a simulated clock."""

    gateways: int
    engines: int = 30
    requests: int = 6
    """Streams that run at each engine at any time."""
    controls: int = 3
    noise: float = 0.3
    """Standard deviation of the logarithm of the time of an event."""
    delay: float = 0.0
    """Seconds that a report or a list of factors takes to its receiver."""
    seed: int = 1
    slow: dict[int, float] = field(default_factory=dict)
    """Duration factors by the engine's number."""
    lagging: StreamPace | None = None
    """A stream whose events take four times as long."""
    cut: set[str] = field(default_factory=set)
    """Controls that exchange nothing with the others."""
    now: float = 0.0
    listed: list[tuple[float, EngineSpeed]] = field(default_factory=list)
    """Every factor that was sent to the gateways of a control, and when."""
    changes: list[SpeedChange] = field(default_factory=list)
    incarnations: dict[int, int] = field(default_factory=dict)
    tables: dict[str, ReportTable] = field(default_factory=dict)
    members: list[Gateway] = field(default_factory=list)
    _events: list[tuple[float, int, int, int, Gateway, StreamPace]] = field(
        default_factory=list
    )
    _deliveries: list[tuple[float, int, Gateway, object]] = field(default_factory=list)
    _count: int = 0
    _random: random.Random = field(default_factory=random.Random)

    def __post_init__(self) -> None:
        self._random = random.Random(self.seed)
        names = [f"control{number}" for number in range(self.controls)]
        self.tables = {name: ReportTable() for name in names}
        for number in range(self.gateways):
            paces = PaceSampleTable(reported_at=-self._random.random())
            control = names[number % self.controls]
            self.members.append(Gateway(f"gateway{number}", control, paces))

        for engine in range(self.engines):
            for _ in range(self.requests):
                self._start_stream(engine, self._random.random())

    def get_engine(self, number: int) -> Engine:
        """Return an engine's id and incarnation."""
        return f"u{number}", self.incarnations.get(number, 1)

    def find_factors(self, number: int) -> list[float]:
        """Return an engine's factor as each gateway knows it."""
        engine = self.get_engine(number)
        return [
            find_duration_factor(one.speeds, *engine, self.now) for one in self.members
        ]

    def stop_control(self, name: str) -> None:
        """End a control; its gateways attach to the others."""
        del self.tables[name]
        rest = sorted(self.tables)
        for place, one in enumerate(self.members):
            if one.control == name and rest:
                one.control = rest[place % len(rest)]

    def restart_engine(self, number: int, factor: float) -> None:
        """Start an engine anew under the same id; its streams go on at the new one."""
        self.incarnations[number] = self.incarnations.get(number, 1) + 1
        self.slow[number] = factor

    def slow_stream(self, number: int) -> None:
        """Let one stream of an engine lag, as if its way to the gateway was bad."""
        streams = [one for *_, engine, _, _, one in self._events if engine == number]
        self.lagging = streams[0]

    def stall_engine(self, number: int, seconds: float) -> None:
        """Delay the next events of all streams of an engine."""
        self._events = [
            (one[0] + seconds, *one[1:]) if one[2] == number else one
            for one in self._events
        ]
        heapq.heapify(self._events)

    def run(self, seconds: float) -> None:
        """Advance the clock."""
        end = self.now + seconds
        while self.now < end - 1e-9:
            tick = round(self.now / TICK_SECONDS) + 1
            self.now = tick * TICK_SECONDS
            self._send_events()
            self._exchange()
            if tick % 2 == 0:
                self._report()
                self._share()

            self._deliver()

    def _start_stream(self, engine: int, pause: float) -> None:
        model = self._random.choice(sorted(MODELS))
        gateway = self._random.choice(self.members)
        stream = StreamPace((*self.get_engine(engine), model))
        self._push_event(self.now + pause, engine, STREAM_EVENTS, gateway, stream)

    def _push_event(
        self, at: float, engine: int, left: int, gateway: Gateway, stream: StreamPace
    ) -> None:
        self._count += 1
        heapq.heappush(self._events, (at, self._count, engine, left, gateway, stream))

    def _send_events(self) -> None:
        while self._events and self._events[0][0] <= self.now:
            at, _, engine, left, gateway, stream = heapq.heappop(self._events)
            if stream.key[:2] != self.get_engine(engine) or left == 0:
                self._start_stream(engine, self._random.uniform(0.1, 0.5))
                continue

            record_events(gateway.paces, stream, 1, at)
            pause = EVENT_SECONDS * MODELS[stream.key[2]] * self.slow.get(engine, 1.0)
            if stream is self.lagging:
                pause *= LAG_FACTOR

            pause *= self._random.lognormvariate(0.0, self.noise)
            if self._random.random() < STALL_SHARE:
                pause += STALL_SECONDS

            self._push_event(at + pause, engine, left - 1, gateway, stream)

    def _report(self) -> None:
        for one in self.members:
            paces = list_paces(one.paces, self.now)
            forget_reported(one.paces, paces, self.now)
            report = GatewayReport(gateway=one.name, use=(), evidence=(), paces=paces)
            self._push_delivery(one, report)

    def _exchange(self) -> None:
        for name, table in self.tables.items():
            report = make_control_report(table, self.now, urgent=False)
            if name in self.cut:
                continue

            for other_name, other in self.tables.items():
                if other_name not in {name, *self.cut}:
                    receive_control_report(other, name, report, self.now)

    def _share(self) -> None:
        services = {self.get_engine(one): "chat" for one in range(self.engines)}
        for name, table in self.tables.items():
            drop_expired(table, self.now)
            self.changes += update_deviations(
                table.deviations, table.paces, services, self.now
            )
            speeds = take_speeds(table.deviations, self.now)
            self.listed += [(self.now, one) for one in speeds]
            for gateway in self.members:
                if gateway.control == name:
                    body = FleetReport(gateways=1, use=(), speeds=speeds)
                    self._push_delivery(gateway, body)

    def _push_delivery(self, gateway: Gateway, body: object) -> None:
        self._count += 1
        delivery = (self.now + self.delay, self._count, gateway, body)
        heapq.heappush(self._deliveries, delivery)

    def _deliver(self) -> None:
        while self._deliveries and self._deliveries[0][0] <= self.now:
            _, _, gateway, body = heapq.heappop(self._deliveries)
            if isinstance(body, FleetReport):
                apply_speeds(gateway.speeds, body.speeds or (), self.now)
            elif isinstance(body, GatewayReport) and gateway.control in self.tables:
                receive_report(self.tables[gateway.control], body, self.now)
