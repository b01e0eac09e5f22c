"""Connecting to other processes of ours by address, without endpoints.

Twisted's endpoints import TLS and more, about 10 MB of resident memory that a small
VM does not have to spare.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.protocol import ClientFactory


if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.protocol import Factory
    from twisted.python.failure import Failure


CONNECT_SECONDS = 1.0
UNACKNOWLEDGED_MS = 2_000
"""Bytes that stay unacknowledged for so long end a connection: one that went silent
would otherwise hold them for minutes."""


class _OneConnection(ClientFactory):
    noisy = False

    def __init__(self, factory: Factory, connected: Deferred[Any]) -> None:
        self._factory = factory
        self._connected = connected

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        protocol: Any = self._factory.buildProtocol(addr)
        greet = protocol.wait_greeted()
        greet.addCallbacks(self._succeed, self._fail)
        return protocol

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self._fail(reason)

    def _succeed(self, protocol: Any) -> None:
        limit_silence(protocol.transport)
        if not self._connected.called:
            self._connected.callback(protocol)

    def _fail(self, reason: Failure) -> None:
        if not self._connected.called:
            self._connected.errback(reason)


def make_tcp_connector(
    reactor: Any, host: str, port: int
) -> Callable[[Factory], Deferred[Any]]:
    """Return a function that connects a factory of links to a process of ours.

    The result is the protocol once the other end has greeted.
    """

    def connect(factory: Factory) -> Deferred[Any]:
        connected: Deferred[Any] = Deferred(lambda _: connector.disconnect())
        connector = reactor.connectTCP(
            host, port, _OneConnection(factory, connected), timeout=CONNECT_SECONDS
        )
        return connected

    return connect


def limit_silence(transport: Any, milliseconds: int = UNACKNOWLEDGED_MS) -> None:
    """Let the kernel end a connection whose bytes nobody acknowledges or takes."""
    transport.getHandle().setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds
    )
