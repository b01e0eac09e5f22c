"""A caller over real sockets that reads when the test says so."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone


if TYPE_CHECKING:
    from twisted.python.failure import Failure


LARGE = 24 << 20
"""Bytes; more than the buffers of both kernels hold."""


class Caller(Protocol):
    """Sends one request and reads only once it is told to."""

    def __init__(self) -> None:
        self.received = 0
        self.ended: Deferred[int] = Deferred()

    def connectionMade(self) -> None:  # noqa: N802
        """Ask, and read nothing yet."""
        transport: Any = self.transport
        transport.pauseProducing()
        transport.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count what came."""
        self.received += len(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Tell how much came."""
        self.ended.callback(self.received)
