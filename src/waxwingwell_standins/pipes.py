"""Pairs of TCP connections that pass bytes both ways, for balancer and relay."""

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


@dataclass(slots=True, eq=False)
class Pair:
    """Two joined connections and the faults on them."""

    ends: list[End] = field(default_factory=list)
    silent: bool = False
    """Drop what arrives, and keep both connections open."""
    mute: bool = False
    """Drop what arrives over the second connection; what goes there passes."""
    delay: float = 0.0
    waiting: list[bytes] = field(default_factory=list)
    """Bytes that came before the second connection was made."""


@dataclass(slots=True)
class PipeTable:
    """All open pairs of one balancer or relay."""

    pairs: list[Pair] = field(default_factory=list)
    lost: dict[End, Deferred[None]] = field(default_factory=dict)
    """Fires when the connection has gone, for a clean stop."""
    timers: set[DelayedCall] = field(default_factory=set)


def call_later(table: PipeTable, delay: float, run: Callable[[], None]) -> None:
    """Run something later, unless the pipes are stopped before."""

    def fire() -> None:
        table.timers.discard(timer)
        run()

    timer: DelayedCall = get_reactor().callLater(delay, fire)
    table.timers.add(timer)


class End(Protocol):
    """One connection of a pair."""

    def __init__(self, table: PipeTable, pair: Pair) -> None:
        """Belong to ``pair``."""
        self.table = table
        self.pair = pair

    def connectionMade(self) -> None:  # noqa: N802
        """Join the pair; the second connection takes what has come meanwhile."""
        self.table.lost[self] = Deferred()
        self.pair.ends.append(self)
        if len(self.pair.ends) < 2:
            return

        first: Any = self.pair.ends[0].transport
        second: Any = self.transport
        if self.pair.ends[0] not in self.table.lost:
            second.abortConnection()
            return

        if not self.pair.silent:
            first.registerProducer(second, True)
            second.registerProducer(first, True)

        second.write(b"".join(self.pair.waiting))
        self.pair.waiting.clear()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Pass bytes on, unless the pair is silent."""
        if self.pair.silent or (self.pair.mute and self is not self.pair.ends[0]):
            return

        if len(self.pair.ends) < 2:
            self.pair.waiting.append(data)
            return

        if self.pair.delay > 0:
            call_later(self.table, self.pair.delay, lambda: pass_on(self, data))
            return

        pass_on(self, data)

    def connectionLost(self, reason: Failure) -> None:  # type: ignore[override]  # noqa: N802
        """Close the other connection, unless the pair is silent."""
        lost = self.table.lost.pop(self)
        for end in self.pair.ends:
            if end is not self and not self.pair.silent:
                call_later(self.table, self.pair.delay, closer(end))

        if all(end not in self.table.lost for end in self.pair.ends):
            forget_pair(self.table, self.pair)

        lost.callback(None)


def closer(end: End) -> Callable[[], None]:
    """Return a function that closes a connection after its last bytes."""

    def close() -> None:
        transport: Any = end.transport
        if end in end.table.lost:
            transport.unregisterProducer()
            transport.loseConnection()

    return close


def pass_on(end: End, data: bytes) -> None:
    """Write bytes to the other connection of the pair."""
    for other in end.pair.ends:
        if other is not end and not end.pair.silent and other in end.table.lost:
            transport: Any = other.transport
            transport.write(data)


def forget_pair(table: PipeTable, pair: Pair) -> None:
    """Take a pair off the table."""
    if pair in table.pairs:
        table.pairs.remove(pair)


def silence_pair(pair: Pair) -> None:
    """Let nothing more through, and keep both connections open for good.

    A registered producer would be stopped, and so closed, when the other
    connection is lost; the caller would see an end in place of silence.
    """
    pair.silent = True
    for end in pair.ends:
        transport: Any = end.transport
        transport.unregisterProducer()
        transport.resumeProducing()


def abort_pair(pair: Pair) -> None:
    """Cut both connections of a pair."""
    pair.silent = False
    for end in list(pair.ends):
        transport: Any = end.transport
        transport.abortConnection()


class Connector(ClientFactory):
    """Makes the second connection of a pair."""

    noisy = False

    def __init__(
        self, table: PipeTable, pair: Pair, on_failed: Callable[[], None]
    ) -> None:
        """Join ``pair``, or call ``on_failed``."""
        self.table = table
        self.pair = pair
        self.on_failed = on_failed

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Build the second connection."""
        return End(self.table, self.pair)

    def clientConnectionFailed(  # noqa: N802
        self,
        connector: Any,
        reason: Failure,
    ) -> None:
        """Tell that there is no second connection."""
        self.on_failed()


class Acceptor(Factory):
    """Takes the first connection of each pair."""

    noisy = False

    def __init__(self, table: PipeTable, on_pair: Callable[[Pair], None]) -> None:
        """Call ``on_pair`` for each connection that comes in."""
        self.table = table
        self.on_pair = on_pair

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Build the first connection and look for the second."""
        pair = Pair()
        self.table.pairs.append(pair)
        call_later(self.table, 0, lambda: self.on_pair(pair))
        return End(self.table, pair)


def connect_pair(
    table: PipeTable, pair: Pair, target: str, on_failed: Callable[[], None]
) -> None:
    """Connect a pair to ``host:port``, unless its caller has gone already."""
    if pair not in table.pairs:
        return

    host, _, port = target.rpartition(":")
    factory = Connector(table, pair, on_failed)
    get_reactor().connectTCP(host, int(port), factory, timeout=CONNECT_TIMEOUT)


def stop_pipes(table: PipeTable, listening: Any) -> Deferred[None]:
    """Stop listening and cut every pair; fires once all have gone."""
    if listening is None:
        return succeed(None)

    for timer in list(table.timers):
        timer.cancel()

    table.timers.clear()
    waits: list[Deferred[Any]] = [maybeDeferred(listening.stopListening)]
    waits += table.lost.values()
    for pair in list(table.pairs):
        abort_pair(pair)

    return DeferredList(waits, consumeErrors=True).addCallback(lambda _: None)
