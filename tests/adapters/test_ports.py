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
from waxwingwell.adapters.ports import open_port


reactor: Any = default_reactor
ADDRESS = ("127.0.0.1", 0)


class PortTest(AsyncTestCase):
    """What becomes of callers that connect while a process starts."""

    async def test_callers_that_came_early_are_served(self) -> None:
        """All processes start anew, and callers connect before the libraries load."""
        port = open_port(ADDRESS)
        caller = socket.create_connection(port.getsockname())
        caller.sendall(b"early")
        received: Deferred[bytes] = Deferred()

        class Reader(Protocol):
            def dataReceived(self, data: bytes) -> None:  # noqa: N802
                received.callback(data)

        adopted = adopt_port(reactor, port, Factory.forProtocol(Reader))
        self.assertEqual(await received, b"early")
        caller.close()
        await adopted.stopListening()

    def test_a_port_in_use_is_an_error(self) -> None:
        port = open_port(ADDRESS)
        self.addCleanup(port.close)
        self.assertRaises(OSError, open_port, port.getsockname())
