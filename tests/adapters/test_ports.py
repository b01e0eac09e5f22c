"""Ports that are open before the code that serves them is loaded."""

from __future__ import annotations

import socket
from typing import Any

from twisted.internet import reactor as default_reactor
from twisted.internet.defer import Deferred
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol

from tests.standins.support import AsyncTestCase
from waxwingwell.adapters.ports import adopt_port
from waxwingwell.adapters.ports import close_port
from waxwingwell.adapters.ports import open_port


reactor: Any = default_reactor
ADDRESS = ("127.0.0.1", 0)


def make_factory(received: Deferred[bytes]) -> Factory:
    """Return what passes on the first bytes of a connection."""

    class Reader(Protocol):
        def dataReceived(self, data: bytes) -> None:  # noqa: N802
            received.callback(data)

    factory: Factory = Factory.forProtocol(Reader)
    return factory


class PortTest(AsyncTestCase):
    """What becomes of callers that connect while a process starts."""

    async def test_callers_that_wait_at_the_close_are_served(self) -> None:
        """Guards against resets of connections that the kernel keeps for a port."""
        for adopted in (True, False):
            with self.subTest(adopted=adopted):
                received: Deferred[bytes] = Deferred()
                factory = make_factory(received)
                if adopted:
                    port = adopt_port(reactor, open_port(ADDRESS), factory)
                else:
                    port = reactor.listenTCP(0, factory, interface=ADDRESS[0])

                host = port.getHost()
                caller = socket.create_connection((host.host, host.port))
                self.addCleanup(caller.close)
                closed = close_port(port)
                caller.sendall(b"waiting")
                self.assertEqual(await received, b"waiting")
                await closed
                self.assertRaises(
                    ConnectionRefusedError,
                    socket.create_connection,
                    (host.host, host.port),
                )

    async def test_callers_that_came_early_are_served(self) -> None:
        """All processes start anew, and callers connect before the libraries load."""
        port = open_port(ADDRESS)
        caller = socket.create_connection(port.getsockname())
        caller.sendall(b"early")
        received: Deferred[bytes] = Deferred()
        adopted = adopt_port(reactor, port, make_factory(received))
        self.assertEqual(await received, b"early")
        caller.close()
        await adopted.stopListening()

    def test_a_port_in_use_is_an_error(self) -> None:
        port = open_port(ADDRESS)
        self.addCleanup(port.close)
        self.assertRaises(OSError, open_port, port.getsockname())
