"""Ports that are open before the code that serves them is imported."""

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
    """Return a factory whose protocol passes the first received bytes on."""

    class Reader(Protocol):
        def dataReceived(self, data: bytes) -> None:  # noqa: N802
            received.callback(data)

    factory: Factory = Factory.forProtocol(Reader)
    return factory


class PortTest(AsyncTestCase):
    """Callers that connect while a process starts or stops."""

    async def test_connections_queued_at_the_close_are_served(self) -> None:
        """The kernel would reset connections still queued when a port closes."""
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

    async def test_connections_queued_at_the_start_are_served(self) -> None:
        """All processes restart, and callers connect while libraries are imported."""
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
