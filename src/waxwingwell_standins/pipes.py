"""Pairs of TCP connections that forward bytes both ways, for balancer and relay."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.base import DelayedCall
from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredList
from twisted.internet.defer import maybeDeferred
from twisted.internet.defer import succeed
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

from .listener import get_reactor


if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.python.failure import Failure


CONNECT_TIMEOUT = 5.0
"""Seconds within which the target connection must be established."""


@dataclass(slots=True, eq=False)
class ConnectionPair:
    """A client connection, its target connection and the faults injected into them."""

    connections: list[PairedConnection] = field(default_factory=list)
    blackholed: bool = False
    """Drop all received data and keep both connections open."""
    mute: bool = False
    """Drop data received from the target; data sent to the target still passes."""
    delay: float = 0.0
    """Seconds by which received data and closes are delayed."""
    buffered: list[bytes] = field(default_factory=list)
    """Data received before the target connection was established."""


@dataclass(slots=True)
class PipeTable:
    """All open pairs of one balancer or relay."""

    pairs: list[ConnectionPair] = field(default_factory=list)
    on_closed: dict[PairedConnection, Deferred[None]] = field(default_factory=dict)
    """Open connections; each deferred fires once its connection has closed."""
    timers: set[DelayedCall] = field(default_factory=set)


def call_later(table: PipeTable, delay: float, run: Callable[[], None]) -> None:
    """Call ``run`` after ``delay`` seconds, unless the pipes are stopped first."""

    def fire() -> None:
        table.timers.discard(timer)
        run()

    timer: DelayedCall = get_reactor().callLater(delay, fire)
    table.timers.add(timer)


class PairedConnection(Protocol):
    """A connection of a pair, to the client or to the target."""

    def __init__(self, table: PipeTable, pair: ConnectionPair) -> None:
        """Create a connection of ``pair``."""
        self.table = table
        self.pair = pair

    def connectionMade(self) -> None:  # noqa: N802
        """Join the pair; the target connection first sends the buffered data."""
        self.table.on_closed[self] = Deferred()
        self.pair.connections.append(self)
        if len(self.pair.connections) < 2:
            return

        first: Any = self.pair.connections[0].transport
        second: Any = self.transport
        if self.pair.connections[0] not in self.table.on_closed:
            second.abortConnection()
            return

        if not self.pair.blackholed:
            first.registerProducer(second, True)
            second.registerProducer(first, True)

        second.write(b"".join(self.pair.buffered))
        self.pair.buffered.clear()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward data, unless a fault of the pair drops it."""
        if self.pair.blackholed or (
            self.pair.mute and self is not self.pair.connections[0]
        ):
            return

        if len(self.pair.connections) < 2:
            self.pair.buffered.append(data)
            return

        if self.pair.delay > 0:
            call_later(self.table, self.pair.delay, lambda: forward(self, data))
            return

        forward(self, data)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]  # noqa: N802
        """Close the other connection, unless the pair is blackholed."""
        on_closed = self.table.on_closed.pop(self)
        for connection in self.pair.connections:
            if connection is not self and not self.pair.blackholed:
                call_later(self.table, self.pair.delay, make_closer(connection))

        if all(
            connection not in self.table.on_closed
            for connection in self.pair.connections
        ):
            remove_pair(self.table, self.pair)

        on_closed.callback(None)


def make_closer(connection: PairedConnection) -> Callable[[], None]:
    """Return a function that closes a connection once its buffered data is sent."""

    def close() -> None:
        transport: Any = connection.transport
        if connection in connection.table.on_closed:
            transport.unregisterProducer()
            transport.loseConnection()

    return close


def forward(connection: PairedConnection, data: bytes) -> None:
    """Write data to the other connection of the pair."""
    for other in connection.pair.connections:
        if (
            other is not connection
            and not connection.pair.blackholed
            and other in connection.table.on_closed
        ):
            transport: Any = other.transport
            transport.write(data)


def remove_pair(table: PipeTable, pair: ConnectionPair) -> None:
    """Remove a pair from the table."""
    if pair in table.pairs:
        table.pairs.remove(pair)


def blackhole_pair(pair: ConnectionPair) -> None:
    """Drop all further data and keep both connections open indefinitely.

    A producer that stays registered is stopped, and so closed, when the other
    connection is lost; the caller would then see the connection close instead of
    becoming unresponsive.
    """
    pair.blackholed = True
    for connection in pair.connections:
        transport: Any = connection.transport
        transport.unregisterProducer()
        transport.resumeProducing()


def abort_pair(pair: ConnectionPair) -> None:
    """Abort both connections of a pair."""
    pair.blackholed = False
    for connection in list(pair.connections):
        transport: Any = connection.transport
        transport.abortConnection()


class Connector(ClientFactory):
    """Factory of the target connection of a pair."""

    noisy = False

    def __init__(
        self, table: PipeTable, pair: ConnectionPair, on_failed: Callable[[], None]
    ) -> None:
        """Connect ``pair`` to its target; ``on_failed`` is called if that fails."""
        self.table = table
        self.pair = pair
        self.on_failed = on_failed

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Build the target connection."""
        return PairedConnection(self.table, self.pair)

    def clientConnectionFailed(  # noqa: N802
        self,
        connector: Any,
        reason: Failure,
    ) -> None:
        """Report that the target connection failed."""
        self.on_failed()


class Acceptor(Factory):
    """Factory of the client connection of each pair."""

    noisy = False

    def __init__(
        self, table: PipeTable, on_pair: Callable[[ConnectionPair], None]
    ) -> None:
        """Call ``on_pair`` for each accepted connection."""
        self.table = table
        self.on_pair = on_pair

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Build the client connection and call ``on_pair`` in the next reactor turn."""
        pair = ConnectionPair()
        self.table.pairs.append(pair)
        call_later(self.table, 0, lambda: self.on_pair(pair))
        return PairedConnection(self.table, pair)


def connect_pair(
    table: PipeTable, pair: ConnectionPair, target: str, on_failed: Callable[[], None]
) -> None:
    """Connect a pair to ``host:port``, unless its client has disconnected."""
    if pair not in table.pairs:
        return

    host, _, port = target.rpartition(":")
    factory = Connector(table, pair, on_failed)
    get_reactor().connectTCP(host, int(port), factory, timeout=CONNECT_TIMEOUT)


def stop_pipes(table: PipeTable, listening: Any) -> Deferred[None]:
    """Stop listening and abort every pair; fires once all connections are closed."""
    if listening is None:
        return succeed(None)

    for timer in list(table.timers):
        timer.cancel()

    table.timers.clear()
    pending: list[Deferred[Any]] = [maybeDeferred(listening.stopListening)]
    pending += table.on_closed.values()
    for pair in list(table.pairs):
        abort_pair(pair)

    return DeferredList(pending, consumeErrors=True).addCallback(lambda _: None)
