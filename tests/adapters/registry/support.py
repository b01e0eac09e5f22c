"""Registry contexts without a network: what is sent is kept in lists."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import Any
from typing import cast

from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from waxwingwell.adapters.links import LinkNode
from waxwingwell.adapters.registry.context import RegistryContext
from waxwingwell.adapters.registry.settings import RegistrySettings


@dataclass(eq=False, slots=True)
class Connection:
    """A link's connection that keeps what is sent on it, unless it is full."""

    remote: str
    full: bool = False
    sent: list[Any] = field(default_factory=list)
    closed: Deferred[None] = field(default_factory=Deferred)

    def cast(self, body: Any) -> bool:
        """Keep a message."""
        if self.full:
            return False

        self.sent.append(body)
        return True


@dataclass(slots=True)
class Registry:
    """A registry's context, its clock, and connections that others opened."""

    context: RegistryContext
    clock: Clock

    def accept(self, remote: str) -> Any:
        """Return a connection that another process opened."""
        connection = Connection(remote)
        node = cast("Any", self.context.node)
        node.accepted.add(connection)
        return connection


def make_registry(address: str = "127.0.0.1", *, first_start: bool = False) -> Registry:
    """Return a registry that has no group and no links yet."""
    clock = Clock()
    settings = RegistrySettings(
        address=address,
        data_centre="north",
        admin=(address, 0),
        link_port=0,
        controls=(),
        data_folder=Path(),
        first_start=first_start,
    )
    context = RegistryContext(
        settings=settings,
        reactor=clock,
        clock=clock.seconds,
        wall_clock=clock.seconds,
    )
    node: Any = LinkNode(
        name=address,
        reactor=clock,
        handlers=cast("Any", None),
        timing=cast("Any", None),
    )
    context.node = node
    # A link that is known is not opened again, and the tests have no network.
    context.controls = cast("Any", {"127.0.0.2": Peer()})
    return Registry(context, clock)


@dataclass(slots=True)
class Peer:
    """Stands for a link to another control."""

    protocol: Connection = field(default_factory=lambda: Connection("127.0.0.2"))
