"""The body of a request or response that is held in memory."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Iterator


CHUNK_BYTES = 65_536
"""Most bytes of a piece, and most given to a transport at a time."""


class BodyPieces:
    """Bytes in pieces of up to ``CHUNK_BYTES``.

    Many small chunks would take a multiple of their bytes as objects of their own. One
    buffer would be held as a whole until its last byte is sent.
    """

    __slots__ = ("_pieces", "size")

    def __init__(self, data: bytes = b"") -> None:
        self._pieces: deque[bytearray] = deque()
        self.size = 0
        if data:
            self.add(data)

    def __iter__(self) -> Iterator[bytes]:
        """Yield the pieces in order."""
        return map(bytes, self._pieces)

    def add(self, data: bytes) -> None:
        """Add bytes at the end."""
        self.size += len(data)
        pieces = self._pieces
        if pieces and len(pieces[-1]) + len(data) <= CHUNK_BYTES:
            pieces[-1].extend(data)
            return

        for start in range(0, len(data), CHUNK_BYTES):
            pieces.append(bytearray(data[start : start + CHUNK_BYTES]))

    def join(self) -> bytes:
        """Return all bytes."""
        return b"".join(self._pieces)

    def take(self) -> Iterator[bytes]:
        """Remove and return the pieces in order."""
        while self._pieces:
            yield self.take_first()

    def take_first(self) -> bytes:
        """Remove and return the first piece; there must be one."""
        piece = self._pieces.popleft()
        self.size -= len(piece)
        return bytes(piece)

    def clear(self) -> None:
        """Remove all bytes."""
        self._pieces.clear()
        self.size = 0
