"""HTTP sites that know their open connections, so that a stop can wait for them."""

from __future__ import annotations

from typing import Any

from twisted.web.server import Site


class CountingSite(Site):
    """A site that knows its open connections, so that a stop can wait for them.

    Failure guarded against: a request has ended, its answer waits in memory for a
    slow reader, and the process leaves; the answer is cut, though nothing runs.
    """

    def __init__(self, resource: Any, **options: Any) -> None:
        """Serve ``resource``."""
        super().__init__(resource, **options)  # type: ignore[no-untyped-call]
        self.transports: set[Any] = set()

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Build a channel whose transport is known until it is lost."""
        channel: Any = super().buildProtocol(addr)  # type: ignore[no-untyped-call]
        connect, lose = channel.makeConnection, channel.connectionLost

        def remember(transport: Any) -> None:
            self.transports.add(transport)
            channel.kept_transport = transport
            connect(transport)

        def forget(reason: Any) -> None:
            self.transports.discard(channel.kept_transport)
            lose(reason)

        channel.makeConnection = remember
        channel.connectionLost = forget
        return channel


def close_connections(site: CountingSite) -> None:
    """Close every connection once all that was written to it has gone out.

    Failure: a caller reads slowly, so that the transport has paused its producer. It
    would ask it for more after the last byte instead of closing, and the stop would
    wait on a connection that has nothing left to send.
    """
    for transport in list(site.transports):
        transport.unregisterProducer()
        transport.loseConnection()
