"""The stand-ins of a deployment in one process, with a port for faults and counts.

``python -m scripts.world --settings FILE`` runs it. One process for all keeps fault
runs small; what is to be killed alone is given a process of its own.
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
from waxwingwell_standins.relay import obey_faults
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
"""A request of twisted.web, whose methods carry no types."""


class WorldSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """What to run; names are those that the control port uses."""

    port: int
    engines: dict[str, EngineSettings] = msgspec.field(default_factory=dict)
    relays: dict[str, RelaySettings] = msgspec.field(default_factory=dict)
    service: ServiceSettings | None = None
    rating: RatingSettings | None = None
    balancer: BalancerSettings | None = None


class Counts(msgspec.Struct, frozen=True):
    """What ran: by request id at engines and service, by order id at the service."""

    chats: dict[str, int]
    calls: dict[str, int]
    orders: dict[str, int]
    answering: int = 0
    """Calls that the service has run and not yet answered."""


@dataclass(slots=True)
class World:
    """All running stand-ins."""

    engines: dict[str, Engine] = field(default_factory=dict)
    relays: dict[str, Relay] = field(default_factory=dict)
    service: Service | None = None
    others: list[Any] = field(default_factory=list)
    listener: Listener | None = None

    @property
    def port(self) -> int:
        """Port for faults and counts."""
        return self.listener.port if self.listener else 0

    def stop(self) -> Deferred[None]:
        """Stop everything at once."""
        running = [*self.engines.values(), *self.relays.values(), *self.others]
        waits = [item.stop() for item in running]
        if self.listener is not None:
            waits.append(close_listener(self.listener))

        return gatherResults(waits, consumeErrors=True).addCallback(lambda _: None)


def start_world(settings: WorldSettings) -> World:
    """Start what the settings name."""
    world = World()
    for name, item in settings.engines.items():
        world.engines[name] = start_engine(item)

    for name, relay in settings.relays.items():
        world.relays[name] = start_relay(relay)

    if settings.service is not None:
        world.service = start_service(settings.service)
        world.others.append(world.service)

    if settings.rating is not None:
        world.others.append(start_rating(settings.rating))

    if settings.balancer is not None:
        world.others.append(start_balancer(settings.balancer))

    app = Klein()
    add_routes(app, world)
    world.listener = listen(app, port=settings.port)
    return world


def add_routes(app: Klein, world: World) -> None:
    """Add the routes that set faults and give counts."""

    @app.route("/counts", methods=["GET"])
    def show_counts(request: Request) -> bytes:
        return msgspec.json.encode(count_runs(world))

    @app.route("/engines/<name>", methods=["POST"])
    def set_engine(request: Request, name: str) -> bytes:
        body = request.content.read()
        world.engines[name].faults = msgspec.json.decode(body, type=EngineFaults)
        return b"{}"

    @app.route("/relays/<name>", methods=["POST"])
    def set_relay(request: Request, name: str) -> bytes:
        order = msgspec.json.decode(request.content.read(), type=RelayOrder)
        obey_faults(world.relays[name], order)
        return b"{}"

    @app.route("/service", methods=["POST"])
    def set_service(request: Request) -> bytes:
        if world.service is None:
            raise RuntimeError("no service runs here")

        body = request.content.read()
        world.service.faults = msgspec.json.decode(body, type=ServiceFaults)
        return b"{}"


def count_runs(world: World) -> Counts:
    """Return what ran here since the start."""
    chats: dict[str, int] = {}
    for engine in world.engines.values():
        for request, runs in engine.runs.items():
            chats[request] = chats.get(request, 0) + runs

    if world.service is None:
        return Counts(chats, {}, {})

    service = world.service
    return Counts(
        chats, dict(service.requests), dict(service.executions), service.running
    )


if __name__ == "__main__":
    run_program(WorldSettings, start_world)
