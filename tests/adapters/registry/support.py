"""Registry contexts without a network; sent messages are recorded in lists."""

from __future__ import annotations

import random
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.task import Clock

from waxwingwell.adapters.links import LinkNode
from waxwingwell.adapters.registry.context import RegistryContext
from waxwingwell.adapters.registry.settings import RegistrySettings
from waxwingwell.routing.records import Document
from waxwingwell.state.consensus.records import Timing
from waxwingwell.state.consensus.replica import Replica


if TYPE_CHECKING:
    from collections.abc import Callable


@dataclass(eq=False, slots=True)
class Connection:
    """A fake link connection that records sent messages unless it is at capacity."""

    remote: str
    at_capacity: bool = False
    sent: list[Any] = field(default_factory=list)
    closed: Deferred[None] = field(default_factory=Deferred)

    def cast(self, body: Any) -> bool:
        """Record a message; return false if the link is at capacity."""
        if self.at_capacity:
            return False

        self.sent.append(body)
        return True


@dataclass(slots=True)
class Registry:
    """A registry's context and its clock."""

    context: RegistryContext
    clock: Clock

    def accept(self, remote: str) -> Any:
        """Return an incoming connection from another process."""
        connection = Connection(remote)
        node = cast("Any", self.context.node)
        node.accepted.add(connection)
        return connection


def requires_key(source: bytes) -> bool:
    """Return whether a document of these tests requires keys."""
    return msgspec.json.decode(source, type=Document).needs_key


def run_now(run: Callable[[], None]) -> None:
    """Run at once what waits for the disk in a thread otherwise."""
    run()


def drop_write(_: Callable[[], None]) -> None:
    """Stand for a disk whose writes are not looked at."""


def make_registry(
    address: str = "127.0.0.1",
    *,
    seeds: tuple[str, ...] = (),
    data_folder: Path | None = None,
    first_start: bool = False,
) -> Registry:
    """Return a registry without a group, linked to one fake control."""
    clock = Clock()
    settings = RegistrySettings(
        address=address,
        data_centre="north",
        admin=(address, 0),
        link_port=0,
        controls=seeds,
        data_folder=data_folder or Path(),
        first_start=first_start,
    )
    context = RegistryContext(
        settings=settings,
        reactor=clock,
        clock=clock.seconds,
        wall_clock=clock.seconds,
        requires_key=requires_key,
        boot="boot",
        run_beside=run_now if data_folder else drop_write,
    )
    node: Any = LinkNode(
        name=address,
        reactor=clock,
        handlers=cast("Any", None),
        timing=cast("Any", None),
    )
    context.node = node
    # A known link is not opened again, so the tests need no network.
    context.controls = cast("Any", {"127.0.0.2": Peer()})
    return Registry(context, clock)


def make_replica(names: tuple[str, ...] = ("127.0.0.1",)) -> Replica:
    """Return an empty replica of the first of the names, which is not started."""
    return Replica(
        group="routing",
        member=f"{names[0]}~1",
        name=names[0],
        names=names,
        timing=Timing(),
        random=random.Random(1),
    )


@dataclass(slots=True)
class Peer:
    """A fake link to another control."""

    protocol: Connection = field(default_factory=lambda: Connection("127.0.0.2"))
