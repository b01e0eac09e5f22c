"""Send buffer of a connection, which knows how many bytes are still unsent."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.error import ConnectionAborted
from twisted.internet.error import ConnectionDone
from twisted.internet.interfaces import IPullProducer
from twisted.internet.tcp import Connection
from twisted.python.failure import Failure
from zope.interface import implementer

from .budget import add_bytes
from .pieces import CHUNK_BYTES
from .pieces import BodyPieces


if TYPE_CHECKING:
    from collections.abc import Callable

    from .budget import Holding


HIGH_WATER_BYTES = 262_144
"""Unsent bytes of a connection above which no more are produced for it: 4 s of a stream
of 60 KB/s."""
LOW_WATER_BYTES = 65_536
"""Unsent bytes down to which they are sent before more are produced: one chunk, so that
the connection does not run dry meanwhile."""


@implementer(IPullProducer)
class SendBuffer:
    """Bytes written to a connection that the kernel has not accepted yet.

    A transport does not report how much it buffers, and drops its buffer when the
    reactor stops or the connection is aborted. So it gets one chunk at a time and
    requests the next when its buffer is empty. ``on_progress`` is called then. The
    unsent bytes are counted in ``holding``.
    """

    def __init__(
        self,
        transport: Any,
        on_progress: Callable[[], None],
        holding: Holding | None = None,
    ) -> None:
        self._transport = transport
        self._on_progress = on_progress
        self._holding = holding
        self._pending = BodyPieces()
        self._in_transport = 0
        self.unsent = 0
        """Upper bound on the bytes that have not been sent."""
        self.sent = 0
        """Bytes that have been sent."""
        self._finishing = False
        transport.registerProducer(self, False)

    def write(self, data: bytes) -> None:
        """Append bytes to the buffer and send as many as possible."""
        size = len(data)
        self._count(size)
        if not self._pending.size and self._in_transport + size <= CHUNK_BYTES:
            self._in_transport += size
            self._transport.write(data)
            return

        self._pending.add(data)
        if not self._in_transport:
            self._send_chunk()

    def finish(self) -> None:
        """Close the write side once everything was sent; the peer closes its own.

        If both directions were closed, bytes that arrive later, such as a pipelined
        request, would make the kernel reset the connection and drop its unsent data.
        """
        self._finishing = True
        if not self.unsent:
            self._half_close()

    def close(self) -> None:
        """Close both sides at once."""
        # A transport with a registered producer waits for data instead of closing.
        self._transport.unregisterProducer()
        self._transport.loseConnection()

    def resumeProducing(self) -> None:  # noqa: N802
        """Continue: the transport has sent its buffer, or was just registered with."""
        if not self._in_transport:
            return

        sent, self._in_transport = self._in_transport, 0
        self._count(-sent)
        self.sent += sent
        self._on_progress()
        if self._pending.size and not self._in_transport:
            self._send_chunk()
        elif self._finishing and not self.unsent:
            self._half_close()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the protocol's ``connectionLost`` handles the loss."""

    def _count(self, size: int) -> None:
        self.unsent += size
        if self._holding is not None:
            add_bytes(self._holding, size)

    def _send_chunk(self) -> None:
        chunk = self._pending.take_first()
        self._in_transport = len(chunk)
        self._transport.write(chunk)

    def _half_close(self) -> None:
        self._transport.unregisterProducer()
        self._transport.loseWriteConnection()


def close_at_once(transport: Any, *, is_clean: bool) -> None:
    """Close a connection and free its descriptor, without another turn of the loop.

    A connection that is not closed cleanly is reset, as its response is not complete.
    """
    if not isinstance(transport, Connection):
        transport.abortConnection()
        return

    transport.stopReading()
    transport.stopWriting()
    reason = ConnectionDone() if is_clean else ConnectionAborted()
    transport.connectionLost(Failure(reason))
