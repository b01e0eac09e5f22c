"""Callers that read slowly: small buffers, and pauses between reads."""

from __future__ import annotations

import asyncio
import socket
from asyncio import StreamReader
from asyncio import StreamWriter
from typing import TYPE_CHECKING

from .records import BIG_BYTES
from .records import read_clock


if TYPE_CHECKING:
    import random


BUFFER = 32_768
"""Bytes that wait at the caller's side, in the kernel and once more beside it."""
BIG_STREAM_SECONDS = 3.0
"""How long an upstream takes for a big stream."""
LAG_SECONDS = 0.8
"""The longest that a reader goes on after its upstream has ended: a stopping gateway
has about so much time left after the last stream that it takes."""


class SlowReader:
    """Reads nothing for a while, then no more bytes than a rate allows."""

    def __init__(self, reader: StreamReader, begin_at: float, rate: float) -> None:
        self._reader = reader
        self._begin_at = begin_at
        self._rate = rate
        self._count = 0

    async def readline(self) -> bytes:
        """Return the next line."""
        return await self._reader.readline()

    async def read(self, size: int = -1, /) -> bytes:
        """Return some bytes, when they are due."""
        due = self._begin_at + self._count / self._rate
        await asyncio.sleep(max(due - read_clock(), 0.0))
        data = await self._reader.read(min(size, BUFFER))
        self._count += len(data)
        return data


def slow_down(reader: StreamReader, kind: str, chooser: random.Random) -> SlowReader:
    """Return a reader that begins when the upstream of a big answer ends."""
    begin_at = read_clock() + (BIG_STREAM_SECONDS if kind == "stream" else 0.0)
    seconds = LAG_SECONDS * (0.1 + 0.9 * chooser.random())
    return SlowReader(reader, begin_at, BIG_BYTES / seconds)


async def open_slowly(host: str, port: int) -> tuple[StreamReader, StreamWriter]:
    """Connect with a small buffer."""
    caller = socket.socket()
    try:
        caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER)
        caller.setblocking(False)
        await asyncio.get_running_loop().sock_connect(caller, (host, port))
    except BaseException:
        caller.close()
        raise

    return await asyncio.open_connection(sock=caller, limit=BUFFER)
