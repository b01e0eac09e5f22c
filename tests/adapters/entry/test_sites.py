"""Closing of a site's connections: slow callers receive the complete response first."""

from __future__ import annotations

import socket
import unittest
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

from klein import Klein
from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.internet.endpoints import TCP4ClientEndpoint
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.protocol import Factory
from twisted.internet.protocol import connectionDone
from twisted.internet.task import Clock
from twisted.internet.task import deferLater
from zope.interface import implementer

from tests.adapters.callers import LARGE_RESPONSE_BYTES
from tests.adapters.callers import PausedCaller
from tests.adapters.transports import BUFFER_SIZE
from tests.adapters.transports import BufferedTransport
from tests.adapters.transports import Handle
from tests.standins.support import AsyncTestCase
from waxwingwell.adapters.connection_tracking import ConnectionTrackingSite
from waxwingwell.adapters.connection_tracking import close_connections
from waxwingwell.adapters.entry.sites import make_site


if TYPE_CHECKING:
    from twisted.python.failure import Failure


reactor: Any = default_reactor
ADDRESS = "127.0.0.1"
IDLE = 30.0
"""Idle timeout in seconds."""
CLOSE_TIMEOUT_SECONDS = 5.0
"""Seconds after which the test fails because a connection was not closed."""
CLOSED_SECONDS = 0.1
"""Seconds within which a site notices that its caller has closed its side."""
KEPT_SECONDS = 1.5
"""Seconds within which a site disconnects a caller that has its response."""
REQUEST = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n"


@implementer(IHalfCloseableProtocol)
class KeptCaller(PausedCaller):
    """A caller that does not close its side when the other one is closed."""

    def readConnectionLost(self) -> None:  # noqa: N802
        """Report the number of received bytes, and keep the connection."""
        self.ended.callback(self.received)

    def writeConnectionLost(self) -> None:  # noqa: N802
        """Do nothing."""

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Do nothing."""


class CloseTest(AsyncTestCase):
    """A planned stop closes connections after their last byte."""

    async def test_slow_caller_receives_the_complete_response(self) -> None:
        """An entry is stopped while a caller still reads a long response.

        The connection must close once the response was sent. If it stayed open, the
        entry would wait for its limit and report a complete response as cut.
        """
        self.assertGreater(await self.read_slowly(), LARGE_RESPONSE_BYTES)

    async def test_a_request_sent_ahead_does_not_cut_the_response(self) -> None:
        """Guards against a reset that drops the end of a response in the kernel.

        A connection closed with unread bytes is reset.
        """
        self.assertGreater(await self.read_slowly(REQUEST), LARGE_RESPONSE_BYTES)

    async def test_a_caller_that_keeps_its_side_open_is_disconnected(self) -> None:
        """Guards against a stop that waits for a caller that has its response."""
        self.assertGreater(await self.read_slowly(keeps=True), LARGE_RESPONSE_BYTES)

    async def read_slowly(self, ahead: bytes = b"", *, keeps: bool = False) -> int:
        """Return the bytes that a slow caller reads from a site that closes.

        ``ahead`` is sent while the response arrives. A caller that ``keeps`` its side
        open does so until the site closes the other one.
        """
        requested: Deferred[None] = Deferred()
        app = Klein()

        @app.route("/")
        def respond(request: Any) -> bytes:
            reactor.callLater(0, requested.callback, None)
            return b"x" * LARGE_RESPONSE_BYTES

        site = make_site(app, max_body=1, timeout=60.0)
        port = reactor.listenTCP(0, site, interface=ADDRESS)
        self.addCleanup(port.stopListening)
        endpoint = TCP4ClientEndpoint(reactor, ADDRESS, port.getHost().port)
        kind = KeptCaller if keeps else PausedCaller
        caller: Any = await endpoint.connect(Factory.forProtocol(kind))
        self.addCleanup(caller.transport.abortConnection)
        await requested
        close_connections(site)
        caller.transport.write(ahead)
        caller.transport.resumeProducing()
        received: int = await caller.ended.addTimeout(CLOSE_TIMEOUT_SECONDS, reactor)
        await deferLater(reactor, KEPT_SECONDS if keeps else CLOSED_SECONDS)
        self.assertEqual(site.transports, set())
        return received


class IdleTimeoutTest(unittest.TestCase):
    """Conditions under which a connection counts as idle."""

    def test_slow_reader_is_not_idle(self) -> None:
        """A caller reads a long response slowly, and sends nothing meanwhile.

        The request has ended long before. If the connection counted as idle, the
        response would be cut. The idle timeout applies once the response was sent.
        """
        clock = Clock()
        app = Klein()
        app.route("/")(lambda request: b"x" * 8 * BUFFER_SIZE)
        site = ConnectionTrackingSite(app.resource(), reactor=clock, timeout=IDLE)
        channel: Any = site.buildProtocol(None)
        transport = BufferedTransport(channel)
        channel.makeConnection(transport)
        channel.dataReceived(b"GET / HTTP/1.1\r\nHost: a\r\n\r\n")
        for _ in range(10):
            del transport.buffer[: BUFFER_SIZE // 2]
            clock.advance(IDLE)

        self.assertTrue(transport.connected)
        transport.drain()
        clock.advance(IDLE)
        transport.drain()
        self.assertFalse(transport.connected)
        self.assertFalse(transport.aborted)

    def test_kernel_times_out_a_caller_that_reads_nothing(self) -> None:
        """A caller stops reading for good: its response must not be held for ever."""
        options: list[tuple[int, int, int]] = []
        site = ConnectionTrackingSite(Klein().resource(), reactor=Clock(), timeout=IDLE)
        channel: Any = site.buildProtocol(None)
        transport = BufferedTransport(channel)
        with mock.patch.object(
            Handle, "setsockopt", lambda _, *option: options.append(option)
        ):
            channel.makeConnection(transport)

        expected = (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, round(IDLE * 1000))
        self.assertEqual(options, [expected])
