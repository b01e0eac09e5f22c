"""Fault-injecting TCP relay: aborts, blackholes, one-way loss, refusals, delays."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Any

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults

from .listener import Listener
from .listener import Request
from .listener import close_listener
from .listener import get_reactor
from .listener import listen
from .listener import read_body
from .listener import reply_error
from .listener import reply_json
from .pipes import Acceptor
from .pipes import ConnectionPair
from .pipes import PipeTable
from .pipes import abort_pair
from .pipes import blackhole_pair
from .pipes import connect_pair
from .pipes import stop_pipes
from .program import run_program
from .settings import RelaySettings


@dataclass(slots=True)
class Relay:
    """A running relay; its fields may be changed while it runs."""

    settings: RelaySettings
    delay: float
    """Seconds by which each chunk of data on new connections is delayed."""
    refuse: bool = False
    """Abort each new connection immediately."""
    blackhole: bool = False
    """Accept new connections and drop all data on them."""
    mute: bool = False
    """Drop data from the target; data sent to the target still passes."""
    pipes: PipeTable = field(default_factory=PipeTable)
    listening: Any = None
    control: Listener | None = None

    @property
    def port(self) -> int:
        """TCP port whose connections are relayed to the target."""
        return int(self.listening.getHost().port)

    @property
    def url(self) -> str:
        """Base URL."""
        return f"http://{self.settings.host}:{self.port}"

    def silence(self) -> None:
        """Drop all further data on the open connections; new ones are unaffected."""
        for pair in self.pipes.pairs:
            blackhole_pair(pair)

    def set_mute(self, mute: bool) -> None:
        """Drop all data from the target, or forward it again."""
        self.mute = mute
        for pair in self.pipes.pairs:
            pair.mute = mute

    def cut(self) -> None:
        """Abort every open connection; new ones are unaffected."""
        for pair in list(self.pipes.pairs):
            abort_pair(pair)

    def stop(self) -> Deferred[None]:
        """Stop immediately and abort open connections."""
        pending = [stop_pipes(self.pipes, self.listening)]
        if self.control is not None:
            pending.append(close_listener(self.control))

        return gatherResults(pending).addCallback(lambda _: None)


def start_relay(settings: RelaySettings) -> Relay:
    """Listen, and open the control port if one is configured."""
    relay = Relay(settings, settings.delay)
    acceptor = Acceptor(relay.pipes, lambda pair: connect_target(relay, pair))
    relay.listening = get_reactor().listenTCP(
        settings.port, acceptor, interface=settings.host
    )
    if settings.control_port is not None:
        app = Klein()
        add_control_route(app, relay)
        relay.control = listen(app, port=settings.control_port, host=settings.host)

    return relay


def connect_target(relay: Relay, pair: ConnectionPair) -> None:
    """Connect a new pair to the target with the current faults."""
    if relay.refuse:
        abort_pair(pair)
        return

    pair.blackholed = relay.blackhole
    pair.mute = relay.mute
    pair.delay = relay.delay
    connect_pair(relay.pipes, pair, relay.settings.target, lambda: abort_pair(pair))


class RelayOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Fault settings sent to the control port; None leaves a setting unchanged."""

    silence: bool = False
    cut: bool = False
    delay: float | None = None
    refuse: bool | None = None
    blackhole: bool | None = None
    mute: bool | None = None


def add_control_route(app: Klein, relay: Relay) -> None:
    """Add ``POST /faults``, which takes a ``RelayOrder``."""

    @app.route("/faults", methods=["POST"])
    def set_faults(request: Request) -> bytes:
        try:
            order = msgspec.json.decode(read_body(request), type=RelayOrder)
        except msgspec.DecodeError as error:
            return reply_error(
                request, status=400, code="bad_order", message=str(error)
            )

        apply_faults(relay, order)
        return reply_json(request, {"open": len(relay.pipes.pairs)})


def apply_faults(relay: Relay, order: RelayOrder) -> None:
    """Apply the faults of an order."""
    if order.silence:
        relay.silence()

    if order.cut:
        relay.cut()

    relay.delay = relay.delay if order.delay is None else order.delay
    relay.refuse = relay.refuse if order.refuse is None else order.refuse
    relay.blackhole = relay.blackhole if order.blackhole is None else order.blackhole
    if order.mute is not None:
        relay.set_mute(order.mute)


if __name__ == "__main__":
    run_program(RelaySettings, start_relay)
