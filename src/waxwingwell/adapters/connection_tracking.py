"""HTTP sites that track their open connections, so that a stop can wait for them."""

from __future__ import annotations

from typing import Any

from twisted.internet.interfaces import IPullProducer
from twisted.protocols.policies import ProtocolWrapper
from twisted.web.http import HTTPChannel
from twisted.web.server import Site
from zope.interface import implementer

from .connections import set_user_timeout


LINGER_SECONDS = 1.0
"""Seconds after the last byte in which a caller may close its side of a connection."""


class SlowReaderChannel(HTTPChannel):
    """A connection whose idle timeout runs only while no bytes are left to send.

    A caller that reads a long response slowly sends nothing meanwhile; the plain idle
    timeout would close its connection in the middle of the response. A caller that
    reads nothing at all is disconnected by the kernel.
    """

    _has_unsent_bytes = False

    def pauseProducing(self) -> None:  # noqa: N802
        """Record that the transport buffers bytes."""
        self._has_unsent_bytes = True
        super().pauseProducing()  # type: ignore[no-untyped-call]

    def resumeProducing(self) -> None:  # noqa: N802
        """Record that all bytes were sent; the idle timeout applies again."""
        self._has_unsent_bytes = False
        super().resumeProducing()  # type: ignore[no-untyped-call]

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close the connection unless its caller is still reading."""
        if self._has_unsent_bytes:
            self.setTimeout(self.timeOut)  # type: ignore[no-untyped-call]
            return

        super().timeoutConnection()  # type: ignore[no-untyped-call]


@implementer(IPullProducer)
class ClosingProducer:
    """Closes the write side of a connection once its buffer is empty.

    If both sides were closed, unread bytes such as a request sent ahead would make the
    kernel reset the connection and drop the end of the response that it still holds.
    """

    def __init__(self, transport: Any, reactor: Any) -> None:
        self._transport = transport
        self._reactor = reactor
        self._timer: Any = None

    def resumeProducing(self) -> None:  # noqa: N802
        """Close the write side: the transport has just sent its buffer."""
        if self._timer is not None:
            return

        self._transport.unregisterProducer()
        self._transport.loseWriteConnection()
        close = self._transport.loseConnection
        self._timer = self._reactor.callLater(LINGER_SECONDS, close)

    def cancel(self) -> None:
        """Cancel the limit on the caller's side: the connection is lost."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the connection is lost."""


class ConnectionTrackingSite(Site):
    """A site that tracks its open connections, so that a stop can wait for them.

    After a request has finished, its response may still be buffered for a slow
    reader; a process that only waits for running requests would truncate it.
    """

    protocol = SlowReaderChannel  # type: ignore[assignment]

    def __init__(self, resource: Any, **options: Any) -> None:
        """Serve ``resource``."""
        super().__init__(resource, **options)  # type: ignore[no-untyped-call]
        self.transports: set[Any] = set()
        self.closing: dict[Any, ClosingProducer] = {}
        """By transport whose incoming bytes are discarded: what closes it."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Build a channel whose transport is tracked until the connection is lost."""
        channel: Any = super().buildProtocol(addr)  # type: ignore[no-untyped-call]
        make_connection, lose_connection = (
            channel.makeConnection,
            channel.connectionLost,
        )
        receive_data = channel.dataReceived

        def receive(data: bytes) -> None:
            if channel.tracked_transport not in self.closing:
                receive_data(data)

        def track(transport: Any) -> None:
            self.transports.add(transport)
            if self.timeOut is not None:
                set_user_timeout(
                    _get_socket_transport(transport), round(self.timeOut * 1000)
                )

            channel.tracked_transport = transport
            make_connection(transport)

        def untrack(reason: Any) -> None:
            self.transports.discard(channel.tracked_transport)
            closing = self.closing.pop(channel.tracked_transport, None)
            if closing is not None:
                closing.cancel()

            lose_connection(reason)

        channel.makeConnection = track
        channel.dataReceived = receive
        channel.connectionLost = untrack
        return channel


def _get_socket_transport(transport: Any) -> Any:
    """Return the transport that owns the socket, below any TLS wrapper."""
    while isinstance(transport, ProtocolWrapper):
        transport = transport.transport

    return transport


def close_connections(site: ConnectionTrackingSite) -> None:
    """Close every connection once all bytes written to it were sent.

    The producer is unregistered first: if a slow reader has paused it, the transport
    would resume the producer after the last byte instead of closing, and the stop
    would wait for a connection that has nothing left to send. TLS has no half-closed
    connections, so both sides are closed.
    """
    for transport in site.transports - site.closing.keys():
        transport.unregisterProducer()
        if _get_socket_transport(transport) is not transport:
            transport.loseConnection()
            continue

        closing = ClosingProducer(transport, site.reactor)
        site.closing[transport] = closing
        transport.resumeProducing()
        transport.registerProducer(closing, False)
