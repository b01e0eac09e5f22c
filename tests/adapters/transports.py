"""Transports in memory whose bytes leave only when a test lets them."""

from __future__ import annotations

from typing import Any

from twisted.internet.address import IPv4Address
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.interfaces import IPushProducer
from twisted.python.failure import Failure
from zope.interface import implementer


BUFFER_SIZE = 1 << 16
"""Unsent bytes above which a producer is paused, as on a real connection."""


class Handle:
    """Stands for a socket."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Accept an option."""


@implementer(IPushProducer)
class BufferedTransport:
    """One end of a connection between processes, with a buffer of unsent bytes.

    Closing follows the real transports: bytes first, and never while a producer is
    registered that was paused or is asked for more.
    """

    def __init__(self, protocol: Any) -> None:
        self.protocol = protocol
        self.peer: BufferedTransport | None = None
        self.buffer = bytearray()
        self.sent = bytearray()
        self.connected = True
        self.aborted = False
        self.half_closed = False
        self._half_closing = False
        self.disconnecting = False
        self._producer: Any = None
        self._producer_waits = False
        self._streaming = True

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Accept the option."""

    def getHandle(self) -> Handle:  # noqa: N802
        """Return what stands for the socket."""
        return Handle()

    def getPeer(self) -> IPv4Address:  # noqa: N802
        """Return some address."""
        return IPv4Address("TCP", "127.0.0.1", 1)

    def getHost(self) -> IPv4Address:  # noqa: N802
        """Return some address."""
        return IPv4Address("TCP", "127.0.0.1", 2)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: the tests hand over what is read."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: the tests hand over what is read."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the tests hand over what is read."""

    def registerProducer(self, producer: Any, streaming: bool) -> None:  # noqa: N802
        """Remember whom to pause, or to ask for more."""
        self._producer = producer
        self._streaming = streaming
        self._producer_waits = not streaming
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        """Forget whom to pause."""
        self._producer = None

    def writeSequence(self, data: list[bytes]) -> None:  # noqa: N802
        """Write several pieces."""
        self.write(b"".join(data))

    def write(self, data: bytes) -> None:
        """Keep bytes until the test lets them leave."""
        if not self.connected or self.half_closed or self.disconnecting:
            return

        self.buffer += data
        full = len(self.buffer) > BUFFER_SIZE
        if self._producer is not None and self._streaming and full:
            self._producer_waits = True
            self._producer.pauseProducing()

    def loseConnection(self) -> None:  # noqa: N802
        """Close once the buffer is empty."""
        self.disconnecting = True

    def loseWriteConnection(self) -> None:  # noqa: N802
        """End this direction once the buffer is empty."""
        self._half_closing = True

    def abortConnection(self) -> None:  # noqa: N802
        """Close at once; bytes that have not left are gone."""
        self.aborted = True
        self.buffer.clear()
        self.drop(ConnectionLost())
        if self.peer is not None:
            self.peer.drop(ConnectionLost())

    def drop(self, reason: Exception) -> None:
        """Tell the protocol, once, that its connection is gone."""
        if self.connected:
            self.connected = False
            self.protocol.connectionLost(Failure(reason))

    def drain(self) -> None:
        """Let all unsent bytes leave, and close if that was asked for."""
        if not self.connected:
            return

        data, self.buffer = bytes(self.buffer), bytearray()
        self.sent += data
        peer = self.peer
        if data and peer is not None and peer.connected:
            peer.protocol.dataReceived(data)

        if self._producer is not None and self._producer_waits:
            self._producer_waits = not self._streaming
            self._producer.resumeProducing()
        elif not self.buffer:
            self._end()

    def _end(self) -> None:
        if self.disconnecting:
            self.drop(ConnectionDone())
        elif self._half_closing and not self.half_closed:
            self.half_closed = True
        else:
            return

        if self.peer is not None:
            # The other end reads the end of the stream, and closes.
            self.peer.drop(ConnectionDone())

        self.drop(ConnectionDone())


def join(near: Any, far: Any) -> tuple[BufferedTransport, BufferedTransport]:
    """Connect two protocols; return their transports."""
    one, other = BufferedTransport(near), BufferedTransport(far)
    one.peer, other.peer = other, one
    near.makeConnection(one)
    far.makeConnection(other)
    return one, other


def carry(*transports: BufferedTransport) -> None:
    """Let bytes leave until none is left."""
    for _ in range(10):
        for transport in transports:
            transport.drain()
