"""A process that hosts a deployment's stand-ins, with a port for faults and counts.

``python -m scripts.world --settings FILE`` runs it. A single process keeps fault runs
small; a stand-in that must be killed alone gets a process of its own.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults

from waxwingwell_standins.balancer import start_balancer
from waxwingwell_standins.engine import Engine
from waxwingwell_standins.engine import start_engine
from waxwingwell_standins.faults import EngineFaults
from waxwingwell_standins.listener import Listener
from waxwingwell_standins.listener import close_listener
from waxwingwell_standins.listener import listen
from waxwingwell_standins.program import run_program
from waxwingwell_standins.rating import start_rating
from waxwingwell_standins.relay import Relay
from waxwingwell_standins.relay import RelayOrder
from waxwingwell_standins.relay import apply_faults
from waxwingwell_standins.relay import start_relay
from waxwingwell_standins.service import Service
from waxwingwell_standins.service import start_service
from waxwingwell_standins.settings import BalancerSettings
from waxwingwell_standins.settings import EngineSettings
from waxwingwell_standins.settings import RatingSettings
from waxwingwell_standins.settings import RelaySettings
from waxwingwell_standins.settings import ServiceFaults
from waxwingwell_standins.settings import ServiceSettings


Request = Any
"""A request of twisted.web, whose methods are untyped."""


class WorldSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Stand-ins to run, by the names that the control port uses."""

    port: int
    engines: dict[str, EngineSettings] = msgspec.field(default_factory=dict)
    relays: dict[str, RelaySettings] = msgspec.field(default_factory=dict)
    service: ServiceSettings | None = None
    rating: RatingSettings | None = None
    balancer: BalancerSettings | None = None


class Counts(msgspec.Struct, frozen=True):
    """Executions by request id at engines and service, by order id at the service."""

    chats: dict[str, int]
    calls: dict[str, int]
    orders: dict[str, int]
    answering: int = 0
    """Calls that the service has executed and not yet responded to."""


@dataclass(slots=True)
class Standins:
    """All running stand-ins of this process."""

    engines: dict[str, Engine] = field(default_factory=dict)
    relays: dict[str, Relay] = field(default_factory=dict)
    service: Service | None = None
    others: list[Any] = field(default_factory=list)
    listener: Listener | None = None

    @property
    def port(self) -> int:
        """Port that serves faults and counts; 0 if it is not open."""
        return self.listener.port if self.listener else 0

    def stop(self) -> Deferred[None]:
        """Stop all stand-ins and the control port concurrently."""
        running = [*self.engines.values(), *self.relays.values(), *self.others]
        waits = [item.stop() for item in running]
        if self.listener is not None:
            waits.append(close_listener(self.listener))

        return gatherResults(waits, consumeErrors=True).addCallback(lambda _: None)


def start_standins(settings: WorldSettings) -> Standins:
    """Start the stand-ins that the settings name."""
    standins = Standins()
    for name, item in settings.engines.items():
        standins.engines[name] = start_engine(item)

    for name, relay in settings.relays.items():
        standins.relays[name] = start_relay(relay)

    if settings.service is not None:
        standins.service = start_service(settings.service)
        standins.others.append(standins.service)

    if settings.rating is not None:
        standins.others.append(start_rating(settings.rating))

    if settings.balancer is not None:
        standins.others.append(start_balancer(settings.balancer))

    app = Klein()
    add_routes(app, standins)
    standins.listener = listen(app, port=settings.port)
    return standins


def add_routes(app: Klein, standins: Standins) -> None:
    """Add the routes that set faults and return counts."""

    @app.route("/counts", methods=["GET"])
    def show_counts(request: Request) -> bytes:
        return msgspec.json.encode(count_runs(standins))

    @app.route("/engines/<name>", methods=["POST"])
    def set_engine(request: Request, name: str) -> bytes:
        body = request.content.read()
        standins.engines[name].faults = msgspec.json.decode(body, type=EngineFaults)
        return b"{}"

    @app.route("/relays/<name>", methods=["POST"])
    def set_relay(request: Request, name: str) -> bytes:
        order = msgspec.json.decode(request.content.read(), type=RelayOrder)
        apply_faults(standins.relays[name], order)
        return b"{}"

    @app.route("/service", methods=["POST"])
    def set_service(request: Request) -> bytes:
        if standins.service is None:
            raise RuntimeError("this process hosts no service")

        body = request.content.read()
        standins.service.faults = msgspec.json.decode(body, type=ServiceFaults)
        return b"{}"


def count_runs(standins: Standins) -> Counts:
    """Return the executions since the start of the process."""
    chats: dict[str, int] = {}
    for engine in standins.engines.values():
        for request, runs in engine.runs.items():
            chats[request] = chats.get(request, 0) + runs

    if standins.service is None:
        return Counts(chats, {}, {})

    service = standins.service
    return Counts(
        chats, dict(service.requests), dict(service.executions), service.running
    )


if __name__ == "__main__":
    run_program(WorldSettings, start_standins)
