"""HTTP sites that know their open connections, so that a stop can wait for them."""

from __future__ import annotations

from typing import Any

from twisted.protocols.policies import ProtocolWrapper
from twisted.web.http import HTTPChannel
from twisted.web.server import Site

from .connections import limit_silence


class PatientChannel(HTTPChannel):
    """A connection on which silence counts only once every answer has left.

    Failure: a request has ended, and its caller reads the answer slowly. It sends
    nothing meanwhile, so that the connection would count as idle and be cut in the
    middle of the answer. A caller that takes no bytes at all is ended by the kernel.
    """

    _is_behind = False

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the transport holds bytes back."""
        self._is_behind = True
        super().pauseProducing()  # type: ignore[no-untyped-call]

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that all bytes have left; from now on silence counts."""
        self._is_behind = False
        super().resumeProducing()  # type: ignore[no-untyped-call]

    def timeoutConnection(self) -> None:  # noqa: N802
        """Close the connection, unless its caller is still taking bytes."""
        if self._is_behind:
            self.setTimeout(self.timeOut)  # type: ignore[no-untyped-call]
            return

        super().timeoutConnection()  # type: ignore[no-untyped-call]


class CountingSite(Site):
    """A site that knows its open connections, so that a stop can wait for them.

    Failure guarded against: a request has ended, its answer waits in memory for a
    slow reader, and the process leaves; the answer is cut, though nothing runs.
    """

    protocol = PatientChannel  # type: ignore[assignment]

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
            if self.timeOut is not None:
                limit_silence(_get_lowest(transport), round(self.timeOut * 1000))

            channel.kept_transport = transport
            connect(transport)

        def forget(reason: Any) -> None:
            self.transports.discard(channel.kept_transport)
            lose(reason)

        channel.makeConnection = remember
        channel.connectionLost = forget
        return channel


def _get_lowest(transport: Any) -> Any:
    """Return the transport that has the socket, below TLS."""
    while isinstance(transport, ProtocolWrapper):
        transport = transport.transport

    return transport


def close_connections(site: CountingSite) -> None:
    """Close every connection once all that was written to it has gone out.

    Failure: a caller reads slowly, so that the transport has paused its producer. It
    would ask it for more after the last byte instead of closing, and the stop would
    wait on a connection that has nothing left to send.
    """
    for transport in list(site.transports):
        transport.unregisterProducer()
        transport.loseConnection()
