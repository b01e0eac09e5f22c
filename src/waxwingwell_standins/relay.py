"""TCP relay that makes faults: cut, silent for good, mute, refuse, delay."""

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
from .pipes import Pair
from .pipes import PipeTable
from .pipes import abort_pair
from .pipes import connect_pair
from .pipes import silence_pair
from .pipes import stop_pipes
from .program import run_program
from .settings import RelaySettings


@dataclass(slots=True)
class Relay:
    """A running relay; its fields may be changed while it runs."""

    settings: RelaySettings
    delay: float
    refuse: bool = False
    """Cut each new connection at once."""
    blackhole: bool = False
    """Take new connections, and let nothing through on them."""
    mute: bool = False
    """Let nothing through that comes from the target; what goes there passes."""
    pipes: PipeTable = field(default_factory=PipeTable)
    listening: Any = None
    control: Listener | None = None

    @property
    def port(self) -> int:
        """TCP port that is relayed to the target."""
        return int(self.listening.getHost().port)

    @property
    def url(self) -> str:
        """Base address."""
        return f"http://{self.settings.host}:{self.port}"

    def silence(self) -> None:
        """Let nothing more through on the open connections; new ones work."""
        for pair in self.pipes.pairs:
            silence_pair(pair)

    def set_mute(self, mute: bool) -> None:
        """Drop all answers from now on, or let them through again."""
        self.mute = mute
        for pair in self.pipes.pairs:
            pair.mute = mute

    def cut(self) -> None:
        """Cut every open connection; new ones work."""
        for pair in list(self.pipes.pairs):
            abort_pair(pair)

    def stop(self) -> Deferred[None]:
        """Stop at once."""
        waits = [stop_pipes(self.pipes, self.listening)]
        if self.control is not None:
            waits.append(close_listener(self.control))

        return gatherResults(waits).addCallback(lambda _: None)


def start_relay(settings: RelaySettings) -> Relay:
    """Listen, and open the control port if the settings name one."""
    relay = Relay(settings, settings.delay)
    acceptor = Acceptor(relay.pipes, lambda pair: join_target(relay, pair))
    relay.listening = get_reactor().listenTCP(
        settings.port, acceptor, interface=settings.host
    )
    if settings.control_port is not None:
        app = Klein()
        add_control_route(app, relay)
        relay.control = listen(app, port=settings.control_port, host=settings.host)

    return relay


def join_target(relay: Relay, pair: Pair) -> None:
    """Join a new connection to the target, under the faults of now."""
    if relay.refuse:
        abort_pair(pair)
        return

    pair.silent = relay.blackhole
    pair.mute = relay.mute
    pair.delay = relay.delay
    connect_pair(relay.pipes, pair, relay.settings.target, lambda: abort_pair(pair))


class RelayOrder(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """An order over the control port; what is None stays as it is."""

    silence: bool = False
    cut: bool = False
    delay: float | None = None
    refuse: bool | None = None
    blackhole: bool | None = None
    mute: bool | None = None


def add_control_route(app: Klein, relay: Relay) -> None:
    """Add ``POST /faults`` with a ``RelayOrder``."""

    @app.route("/faults", methods=["POST"])
    def make_faults(request: Request) -> bytes:
        try:
            order = msgspec.json.decode(read_body(request), type=RelayOrder)
        except msgspec.DecodeError as error:
            return reply_error(
                request, status=400, code="bad_order", message=str(error)
            )

        obey_faults(relay, order)
        return reply_json(request, {"open": len(relay.pipes.pairs)})


def obey_faults(relay: Relay, order: RelayOrder) -> None:
    """Make the faults that an order asks for."""
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
