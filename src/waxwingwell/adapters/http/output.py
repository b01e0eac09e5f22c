"""Send buffer of a connection, which knows how many bytes are still unsent."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer

from .pieces import CHUNK_BYTES


if TYPE_CHECKING:
    from collections.abc import Callable


HIGH_WATER_BYTES = 262_144
"""Unsent bytes of a connection above which no more are produced for it: 4 s of a stream
of 60 KB/s."""
LOW_WATER_BYTES = 65_536
"""Unsent bytes down to which they are sent before more are produced: one chunk, so that
the connection does not run dry meanwhile."""


@dataclass(slots=True)
class HeldBytes:
    """Number of bytes that a process holds for its callers and upstreams."""

    total: int = 0


@implementer(IPullProducer)
class SendBuffer:
    """Bytes written to a connection that the kernel has not accepted yet.

    A transport does not report how much it buffers, and drops its buffer when the
    reactor stops or the connection is aborted. So it gets one chunk at a time and
    requests the next when its buffer is empty. ``on_progress`` is called then. The
    unsent bytes are counted in ``held``.
    """

    def __init__(
        self,
        transport: Any,
        on_progress: Callable[[], None],
        held: HeldBytes | None = None,
    ) -> None:
        self._transport = transport
        self._on_progress = on_progress
        self._held = held or HeldBytes()
        self._is_counted = True
        self._pending = bytearray()
        self._in_transport = 0
        self.unsent = 0
        """Upper bound on the bytes that have not been sent."""
        self._finishing = False
        transport.registerProducer(self, False)

    def write(self, data: bytes) -> None:
        """Append bytes to the buffer and send as many as possible."""
        size = len(data)
        self.unsent += size
        if self._is_counted:
            self._held.total += size

        if not self._pending and self._in_transport + size <= CHUNK_BYTES:
            self._in_transport += size
            self._transport.write(data)
            return

        self._pending += data
        if self._in_transport < CHUNK_BYTES:
            self._send_chunk()

    def release(self) -> None:
        """Stop to count the unsent bytes, as the connection is lost."""
        if self._is_counted:
            self._is_counted = False
            self._held.total -= self.unsent

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

        if self._is_counted:
            self._held.total -= self._in_transport

        self.unsent -= self._in_transport
        self._in_transport = 0
        self._on_progress()
        if self._pending:
            self._send_chunk()
        elif self._finishing and not self.unsent:
            self._half_close()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the protocol's ``connectionLost`` handles the loss."""

    def _send_chunk(self) -> None:
        size = CHUNK_BYTES - self._in_transport
        chunk = bytes(self._pending[:size])
        del self._pending[:size]
        self._in_transport += len(chunk)
        self._transport.write(chunk)

    def _half_close(self) -> None:
        self._transport.unregisterProducer()
        self._transport.loseWriteConnection()
