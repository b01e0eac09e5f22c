"""Controls that connect the gateways under test, on a simulated clock."""

from __future__ import annotations

import random
import shutil
import tempfile
import weakref
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import partial
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import msgspec
from twisted.internet.defer import Deferred

from waxwingwell.adapters.gateway.steering import handle_cast as handle_gateway_cast
from waxwingwell.adapters.registry.checkpoints import load_checkpoints
from waxwingwell.adapters.registry.context import RegistryContext
from waxwingwell.adapters.registry.hub import handle_cast as handle_control_cast
from waxwingwell.adapters.registry.hub import handle_connection
from waxwingwell.adapters.registry.hub import run_sharing
from waxwingwell.adapters.registry.settings import RegistrySettings
from waxwingwell.routing.messages import RoutingBody

from ..registry.support import requires_key
from ..registry.support import run_now


if TYPE_CHECKING:
    from .engines import EngineReactor
    from .support import Gateway


LINK_SECONDS = 0.005
SHARING_SECONDS = 0.05


@dataclass(eq=False, slots=True)
class LinkEnd:
    """One direction of a link, which delivers messages a moment later."""

    remote: str
    reactor: Any
    receive: Callable[[Any], None]
    up: bool = True
    closed: Deferred[None] = field(default_factory=Deferred)

    def cast(self, body: Any) -> bool:
        """Send a message, unless the link is down."""
        if not self.up:
            return False

        data = msgspec.msgpack.encode(body)
        received: Any = msgspec.msgpack.decode(data, type=cast("Any", RoutingBody))
        self.reactor.callLater(LINK_SECONDS, self._deliver, received)
        return True

    def _deliver(self, body: Any) -> None:
        if self.up:
            self.receive(body)


@dataclass(slots=True)
class OpenLink:
    """A link as a gateway or control holds it."""

    protocol: LinkEnd | None
    stopped: bool = False


@dataclass(slots=True)
class FakeNode:
    """The incoming connections of a control."""

    accepted: set[Any] = field(default_factory=set)


class Hub:
    """Some controls and the links between them and the gateways."""

    def __init__(
        self, gateways: list[Gateway], reactor: EngineReactor, controls: int = 3
    ) -> None:
        self.reactor = reactor
        self.gateways = gateways
        self.controls: dict[str, RegistryContext] = {}
        self.folder = Path(tempfile.mkdtemp())
        weakref.finalize(self, shutil.rmtree, self.folder, ignore_errors=True)
        self.ends: list[tuple[str, str, LinkEnd]] = []
        for index, gateway in enumerate(gateways):
            settings = replace(gateway.context.settings, node=f"g{index}")
            gateway.context.settings = settings
            gateway.context.random = random.Random(index)

        for index in range(controls):
            self.start_control(f"127.0.0.{index + 1}")

        self._share()

    def start_control(self, name: str) -> None:
        """Start a control that knows nothing yet, and connect it."""
        self.stop_control(name)
        context = RegistryContext(
            settings=make_settings(name, self.folder / name),
            reactor=self.reactor,
            clock=self.reactor.seconds,
            wall_clock=self.reactor.seconds,
            requires_key=requires_key,
            boot="boot",
            run_beside=run_now,
        )
        context.settings.data_folder.mkdir(exist_ok=True)
        load_checkpoints(context, self.reactor.seconds())
        accepting: Any = FakeNode()
        context.node = accepting
        for other_name, other in self.controls.items():
            self._connect_controls(name, context, other_name, other)

        self.controls[name] = context
        for gateway in self.gateways:
            self.connect_gateway(gateway, name)

    def stop_control(self, name: str) -> None:
        """End a control and its links."""
        self.controls.pop(name, None)
        for other in self.controls.values():
            other.controls.pop(name, None)

        for gateway in self.gateways:
            gateway.context.controls.pop(name, None)

        self._cut(name)

    def suspend_control(self, name: str) -> None:
        """Let a control stand still: its links stay open, and it reads nothing."""
        for _, receiver, end in self.ends:
            if receiver == name:
                end.receive = lambda _: None

    def disconnect_gateway(self, gateway: Gateway) -> None:
        """Cut a gateway off from all controls."""
        gateway.context.controls.clear()
        name = gateway.context.settings.node
        self._cut(name)
        for control in self.controls.values():
            for protocol in list(control.gateway_links):
                if protocol.remote == name:
                    del control.gateway_links[protocol]

    def connect_gateway(self, gateway: Gateway, control: str) -> None:
        """Connect a gateway to a control."""
        context = self.controls[control]
        name = gateway.context.settings.node
        upward = partial(handle_control_cast, context, name)
        downward = partial(handle_gateway_cast, gateway.context, control)
        link: Any = OpenLink(self._open(name, control, upward))
        gateway.context.controls[control] = link
        protocol: Any = self._open(control, name, downward)
        cast("Any", context.node).accepted.add(protocol)
        handle_connection(context, protocol)

    def _connect_controls(
        self, name: str, context: RegistryContext, other_name: str, other: Any
    ) -> None:
        there: Any = OpenLink(
            self._open(name, other_name, partial(handle_control_cast, other, name))
        )
        back: Any = OpenLink(
            self._open(
                other_name, name, partial(handle_control_cast, context, other_name)
            )
        )
        context.controls[other_name] = there
        other.controls[name] = back

    def _open(
        self, sender: str, receiver: str, receive: Callable[[Any], None]
    ) -> LinkEnd:
        end = LinkEnd(receiver, self.reactor, receive)
        self.ends.append((sender, receiver, end))
        return end

    def _cut(self, name: str) -> None:
        for sender, receiver, end in self.ends:
            if name in (sender, receiver):
                end.up = False

    def _share(self) -> None:
        for context in self.controls.values():
            run_sharing(context, self.reactor.seconds())

        self.reactor.callLater(SHARING_SECONDS, self._share)


def make_settings(name: str, folder: Path) -> RegistrySettings:
    """Return the settings of a control without a port."""
    return RegistrySettings(
        address=name,
        data_centre="north",
        admin=(name, 0),
        link_port=0,
        controls=(),
        data_folder=folder,
        first_start=False,
    )
