"""In-memory transports that deliver their bytes only when a test drains them."""

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
    """A fake socket."""

    def setsockopt(self, level: int, option: int, value: int) -> None:
        """Ignore the option."""


@implementer(IPushProducer)
class BufferedTransport:
    """One end of a connection between processes, with a buffer of unsent bytes.

    Closing behaves as in the real transports: buffered bytes are sent first, and the
    connection stays open while a paused or pull producer is registered.
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
        """Ignore the option."""

    def getHandle(self) -> Handle:  # noqa: N802
        """Return a fake socket."""
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
        """Register the producer; a pull producer is resumed at once."""
        self._producer = producer
        self._streaming = streaming
        self._producer_waits = not streaming
        if not streaming:
            producer.resumeProducing()

    def unregisterProducer(self) -> None:  # noqa: N802
        """Unregister the producer."""
        self._producer = None

    def writeSequence(self, data: list[bytes]) -> None:  # noqa: N802
        """Write several chunks."""
        self.write(b"".join(data))

    def write(self, data: bytes) -> None:
        """Buffer bytes until the test drains them."""
        if not self.connected or self.half_closed or self.disconnecting:
            return

        self.buffer += data
        is_over_limit = len(self.buffer) > BUFFER_SIZE
        if self._producer is not None and self._streaming and is_over_limit:
            self._producer_waits = True
            self._producer.pauseProducing()

    def loseConnection(self) -> None:  # noqa: N802
        """Close once the buffer is empty."""
        self.disconnecting = True

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Close this direction once the buffer is empty."""
        self._half_closing = True

    def abortConnection(self) -> None:  # noqa: N802
        """Close at once and discard unsent bytes."""
        self.aborted = True
        self.buffer.clear()
        self.drop(ConnectionLost())
        if self.peer is not None:
            self.peer.drop(ConnectionLost())

    def drop(self, reason: Exception) -> None:
        """Notify the protocol, once, that its connection is lost."""
        if self.connected:
            self.connected = False
            self.protocol.connectionLost(Failure(reason))

    def drain(self) -> None:
        """Deliver all buffered bytes, and close if that was requested."""
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
            # The peer reads the end of the stream and closes.
            self.peer.drop(ConnectionDone())

        self.drop(ConnectionDone())


def connect_protocols(
    near: Any, far: Any
) -> tuple[BufferedTransport, BufferedTransport]:
    """Connect two protocols; return their transports."""
    one, other = BufferedTransport(near), BufferedTransport(far)
    one.peer, other.peer = other, one
    near.makeConnection(one)
    far.makeConnection(other)
    return one, other


def deliver_bytes(*transports: BufferedTransport) -> None:
    """Deliver bytes until none is buffered."""
    for _ in range(10):
        for transport in transports:
            transport.drain()
