"""Bytes on their way to the other end of a connection, until the last one has left."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.interfaces import IPullProducer
from zope.interface import implementer


if TYPE_CHECKING:
    from collections.abc import Callable


PIECE_BYTES = 65_536
"""Handed to the transport at a time: it asks for more when it holds nothing."""


@implementer(IPullProducer)
class Output:
    """What was written to a connection and the kernel has not taken yet.

    A transport tells nothing of what it holds back, yet it drops it when the reactor
    stops or the connection is aborted. So it gets a piece at a time, and asks for the
    next one when it holds nothing any more. ``on_progress`` is called then.
    """

    def __init__(self, transport: Any, on_progress: Callable[[], None]) -> None:
        self._transport = transport
        self._on_progress = on_progress
        self._waiting = bytearray()
        self._handed = 0
        self._finishing = False
        transport.registerProducer(self, False)

    @property
    def unsent(self) -> int:
        """Bytes that may not have left, at most."""
        return self._handed + len(self._waiting)

    def write(self, data: bytes) -> None:
        """Send bytes after all that were written before."""
        self._waiting += data
        if self._handed < PIECE_BYTES:
            self._hand_over()

    def finish(self) -> None:
        """Close our side when everything has left; the other end closes its own.

        Failure: bytes that came after a connection was closed for both directions, such
        as a request sent ahead, made the kernel reset it and drop what it still held.
        """
        self._finishing = True
        if not self.unsent:
            self._half_close()

    def close(self) -> None:
        """Close both sides at once."""
        # A transport with a producer waits for more instead of closing.
        self._transport.unregisterProducer()
        self._transport.loseConnection()

    def resumeProducing(self) -> None:  # noqa: N802
        """Go on: the transport has sent what it had. It also asks at the start."""
        if not self._handed:
            return

        self._handed = 0
        self._on_progress()
        if self._waiting:
            self._hand_over()
        elif self._finishing:
            self._half_close()

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: the connection's protocol is told that it was lost."""

    def _hand_over(self) -> None:
        size = PIECE_BYTES - self._handed
        piece = bytes(self._waiting[:size])
        del self._waiting[:size]
        self._handed += len(piece)
        self._transport.write(piece)

    def _half_close(self) -> None:
        self._transport.unregisterProducer()
        self._transport.loseWriteConnection()
