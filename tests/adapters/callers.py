"""A caller over real sockets that reads only when the test resumes it."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone


if TYPE_CHECKING:
    from twisted.python.failure import Failure


LARGE_RESPONSE_BYTES = 24 << 20
"""Bytes of a response that does not fit in the socket buffers of both ends."""


class PausedCaller(Protocol):
    """Sends one request and does not read until its transport is resumed."""

    def __init__(self) -> None:
        self.received = 0
        self.ended: Deferred[int] = Deferred()

    def connectionMade(self) -> None:  # noqa: N802
        """Send the request with reading paused."""
        transport: Any = self.transport
        transport.pauseProducing()
        transport.write(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Count the received bytes."""
        self.received += len(data)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report the number of received bytes."""
        self.ended.callback(self.received)
