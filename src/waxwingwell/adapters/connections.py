"""TCP connections to other processes of the system, without Twisted's endpoints.

Endpoints import TLS among other modules, which takes about 10 MB of resident memory:
too much for a small VM.
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
USER_TIMEOUT_MS = 2_000
"""Milliseconds without an acknowledgement after which the kernel closes a connection.
By default, a dead connection would hold its unacknowledged bytes for minutes."""


class _SingleConnectionFactory(ClientFactory):
    noisy = False

    def __init__(self, factory: Factory, connected: Deferred[Any]) -> None:
        self._factory = factory
        self._connected = connected

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        protocol: Any = self._factory.buildProtocol(addr)
        greeting = protocol.wait_for_greeting()
        greeting.addCallbacks(self._succeed, self._fail)
        return protocol

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self._fail(reason)

    def _succeed(self, protocol: Any) -> None:
        set_user_timeout(protocol.transport)
        if not self._connected.called:
            self._connected.callback(protocol)

    def _fail(self, reason: Failure) -> None:
        if not self._connected.called:
            self._connected.errback(reason)


def make_tcp_connector(
    reactor: Any, host: str, port: int
) -> Callable[[Factory], Deferred[Any]]:
    """Return a function that connects a factory of links to a process of the system.

    The result is the protocol, once the peer's greeting has arrived.
    """

    def connect(factory: Factory) -> Deferred[Any]:
        connected: Deferred[Any] = Deferred(lambda _: connector.disconnect())
        connector = reactor.connectTCP(
            host,
            port,
            _SingleConnectionFactory(factory, connected),
            timeout=CONNECT_SECONDS,
        )
        return connected

    return connect


def set_user_timeout(transport: Any, milliseconds: int = USER_TIMEOUT_MS) -> None:
    """Let the kernel close a connection whose peer acknowledges or reads no bytes."""
    transport.getHandle().setsockopt(
        socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds
    )
