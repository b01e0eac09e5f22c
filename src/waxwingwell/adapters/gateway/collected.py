"""The body of a response that is collected before it is sent."""

from __future__ import annotations

from collections import deque
from typing import TYPE_CHECKING

from ..http.output import CHUNK_BYTES


if TYPE_CHECKING:
    from collections.abc import Iterator


class CollectedBody:
    """Bytes in pieces of up to ``CHUNK_BYTES``.

    Many small chunks would take a multiple of their bytes as objects of their own. One
    buffer would be held as a whole until its last byte is sent.
    """

    __slots__ = ("_pieces", "size")

    def __init__(self) -> None:
        self._pieces: deque[bytearray] = deque()
        self.size = 0

    def add(self, data: bytes) -> None:
        """Add bytes at the end."""
        self.size += len(data)
        pieces = self._pieces
        if pieces and len(pieces[-1]) + len(data) <= CHUNK_BYTES:
            pieces[-1].extend(data)
        else:
            pieces.append(bytearray(data))

    def join(self) -> bytes:
        """Return all bytes."""
        return b"".join(self._pieces)

    def take(self) -> Iterator[bytes]:
        """Remove and return the pieces in order."""
        while self._pieces:
            piece = self._pieces.popleft()
            self.size -= len(piece)
            yield bytes(piece)

    def clear(self) -> None:
        """Remove all bytes."""
        self._pieces.clear()
        self.size = 0
