"""Closing the connections of a site: callers that read slowly get all, then it ends."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from klein import Klein
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone

from tests.standins.support import AsyncTestCase
from waxwingwell.adapters.counting import close_connections
from waxwingwell.adapters.entry.sites import make_site


if TYPE_CHECKING:
    from twisted.python.failure import Failure


reactor: Any = default_reactor
ADDRESS = "127.0.0.1"
LARGE = 24 << 20
"""Bytes; more than the buffers of both kernels hold."""
CLOSE_LIMIT = 5.0
"""Seconds after which a connection counts as never closed; no pass mark."""


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


class CloseTest(AsyncTestCase):
    """A planned stop closes connections after their last byte."""

    async def test_a_caller_that_reads_slowly(self) -> None:
        """An entry is stopped while a caller still reads a long answer.

        The connection must close once the answer has left. If it stays open the entry
        waits until its time is over, and reports an answer cut that was whole.
        """
        asked: Deferred[None] = Deferred()
        app = Klein()

        @app.route("/")
        def answer(request: Any) -> bytes:
            reactor.callLater(0, asked.callback, None)
            return b"x" * LARGE

        site = make_site(app, max_body=1, timeout=60.0)
        port = reactor.listenTCP(0, site, interface=ADDRESS)
        self.addCleanup(port.stopListening)
        endpoint = TCP4ClientEndpoint(reactor, ADDRESS, port.getHost().port)
        caller: Any = await endpoint.connect(Factory.forProtocol(Caller))
        self.addCleanup(caller.transport.abortConnection)
        await asked
        close_connections(site)
        caller.transport.resumeProducing()
        received = await caller.ended.addTimeout(CLOSE_LIMIT, reactor)
        self.assertGreater(received, LARGE)
        self.assertEqual(site.transports, set())
