"""Engines that crash, on the simulated clock of a gateway under test."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

from twisted.internet.testing import MemoryReactorClock

from tests.routing.factories import make_announcement
from waxwingwell.adapters.gateway.crashes import confirm_replaced
from waxwingwell.adapters.gateway.daemon import run_tick
from waxwingwell.routing.fleet import apply_announcement

from .support import LAST_CHUNK
from .support import Gateway
from .support import Upstream
from .support import make_chunk
from .support import make_gateway
from .support import make_stream_head


POISON = "bad"
"""Block that crashes an engine which begins a response to it."""
STEP_SECONDS = 0.01
TICK_SECONDS = 0.25
LINK_SECONDS = 0.002
FIRST_EVENT_SECONDS = 0.05
EVENT_SECONDS = 0.1
EVENTS = 12
CRASH_SECONDS = 0.05
"""Seconds from the first event of a response to the crash."""
CRASHING_HEADER = b"X-Crash"
"""Header of requests that crash engines without a prompt block that does."""
DOWN_SECONDS = 3.0


class EngineReactor(MemoryReactorClock):
    """A reactor that connects calls to engines."""

    engines: Engines | None = None

    def connectTCP(self, *args: Any, **options: Any) -> Any:  # noqa: N802
        """Open a connection, which an engine accepts or refuses a moment later."""
        maker: Any = super()
        connector = maker.connectTCP(*args, **options)
        host, port, factory, timeout, _ = self.tcpClients.pop()
        upstream = Upstream(factory, host, port, timeout)
        if self.engines is not None:
            self.callLater(LINK_SECONDS, self.engines.connect, upstream)

        return connector


@dataclass(slots=True)
class Engine:
    """One engine, its process and its connections."""

    name: str
    port: int
    incarnation: int = 1
    up: bool = True
    queued_until: float = 0.0
    """Time before which the engine begins no response."""
    calls: list[Upstream] = field(default_factory=list)


@dataclass(slots=True)
class Engines:
    """All engines of one or more gateways."""

    gateways: list[Gateway]
    reactor: EngineReactor
    engines: dict[int, Engine] = field(default_factory=dict)
    poisoned: list[float] = field(default_factory=list)
    """Times at which requests with the poisoned block arrived."""
    begun: list[float] = field(default_factory=list)
    """Times at which an engine began a response to one."""
    crashes: list[float] = field(default_factory=list)
    statements: tuple[str, ...] = ()
    """Header lines of all responses."""
    closes_cleanly: bool = False
    """Whether the connections of an engine that crashes are closed, not reset."""
    falls_silent: bool = False
    """Whether the connections of an engine that crashes stay open without an end."""
    crash_seconds: float = CRASH_SECONDS
    fails_until: float = 0.0
    """Time until which engines break off all responses, and live."""
    crashes_early: bool = False
    """Whether such a request crashes the engine before the first byte."""

    def connect(self, call: Upstream) -> None:
        """Accept a connection and serve its request, or refuse it."""
        engine = self.engines[call.port]
        if not engine.up:
            if not self.falls_silent:
                call.refuse()

            return

        request = call.accept()
        if not call.transport.connected:
            return

        engine.calls.append(call)
        if not request.startswith(b"POST"):
            call.respond(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            return

        if is_poisoned(request):
            self.poisoned.append(self.reactor.seconds())

        wait = max(engine.queued_until - self.reactor.seconds(), FIRST_EVENT_SECONDS)
        self.reactor.callLater(wait, self.begin, engine, call, request)

    def begin(self, engine: Engine, call: Upstream, request: bytes) -> None:
        """Send the head and the first event of a response."""
        if call not in engine.calls or not call.transport.connected:
            return

        if self.crashes_early and is_poisoned(request):
            self.begun.append(self.reactor.seconds())
            self.crash(engine)
            return

        first = read_next_event(request)
        request_id = read_header(request, b"X-Id").decode()
        head = make_stream_head(f"X-Id: {request_id}", *self.statements)
        call.respond(head + make_event(first))
        if self.reactor.seconds() < self.fails_until:
            engine.calls.remove(call)
            call.reset()
            return

        if is_poisoned(request):
            self.begun.append(self.reactor.seconds())
            self.reactor.callLater(self.crash_seconds, self.crash_running, engine, call)
            return

        self.reactor.callLater(EVENT_SECONDS, self.go_on, engine, call, first + 1)

    def go_on(self, engine: Engine, call: Upstream, event: int) -> None:
        """Send the next event of a response, or its end."""
        if call not in engine.calls or not call.transport.connected:
            return

        if event > EVENTS:
            call.respond(LAST_CHUNK)
            return

        call.respond(make_event(event))
        self.reactor.callLater(EVENT_SECONDS, self.go_on, engine, call, event + 1)

    def crash_running(self, engine: Engine, call: Upstream) -> None:
        """Crash an engine if it still serves a call."""
        if call in engine.calls:
            self.crash(engine)

    def crash(self, engine: Engine) -> None:
        """End an engine's process; another one starts later."""
        if not engine.up:
            return

        engine.up = False
        calls, engine.calls = engine.calls, []
        self.crashes.append(self.reactor.seconds())
        for call in calls:
            if self.falls_silent:
                continue

            if call.transport.connected and self.closes_cleanly:
                call.close()
            elif call.transport.connected:
                call.reset()

        self.reactor.callLater(DOWN_SECONDS, self.start, engine)

    def start(self, engine: Engine) -> None:
        """Start an engine's next process, which announces itself."""
        engine.up = True
        engine.incarnation += 1
        announcement = make_announcement(engine.name, incarnation=engine.incarnation)
        for gateway in self.gateways:
            now = self.reactor.seconds()
            apply_announcement(gateway.context.fleet, announcement, now)
            confirm_replaced(gateway.context, (announcement,), now)

    def run(self, seconds: float) -> None:
        """Advance the clock in small steps, with the gateways' periodic tasks."""
        for _ in range(round(seconds / STEP_SECONDS)):
            before = self.reactor.seconds()
            self.reactor.advance(STEP_SECONDS)
            if int(before / TICK_SECONDS) != int(self.reactor.seconds() / TICK_SECONDS):
                for gateway in self.gateways:
                    run_tick(gateway.context)


def make_engines(count: int = 12, gateways: int = 1, **route: Any) -> Engines:
    """Return engines and the gateways in front of them."""
    names = [f"e{'abcdefghijklmnopqrstuvwx'[index]}" for index in range(count)]
    make_reactor: Any = EngineReactor
    reactor = make_reactor()
    made = []
    for _ in range(gateways):
        gateway = make_gateway(*names, **route)
        gateway.reactor = reactor
        gateway.service.reactor = reactor
        gateway.context.reactor = reactor
        gateway.context.clock = reactor.seconds
        gateway.context.load.others_at = 0.0
        made.append(gateway)

    engines = Engines(made, reactor)
    reactor.engines = engines
    for name in names:
        port = make_announcement(name).port
        engines.engines[port] = Engine(name, port)

    return engines


def read_header(request: bytes, name: bytes) -> bytes:
    """Return the last value of a request's header, or an empty one."""
    value = b""
    for line in request.partition(b"\r\n\r\n")[0].split(b"\r\n"):
        found, _, text = line.partition(b": ")
        if found == name:
            value = text

    return value


def is_poisoned(request: bytes) -> bool:
    """Return whether a request holds the poisoned block, or is marked as crashing."""
    if read_header(request, CRASHING_HEADER):
        return True

    return POISON.encode() in read_header(request, b"X-Blocks").split(b",")


def read_next_event(request: bytes) -> int:
    """Return the number of the first event that a request still needs."""
    value = read_header(request, b"X-After")
    return int(value) + 1 if value.isdigit() else 1


def make_event(number: int) -> bytes:
    """Return one event in a chunk."""
    return make_chunk(f"id: {number}\ndata: a\n\n".encode())
