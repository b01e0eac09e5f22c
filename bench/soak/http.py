"""Plain HTTP/1.1 over asyncio streams, for the soak's callers and upstreams.

Not the product's own: a fault in that would hide from itself.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import Protocol


class ByteReader(Protocol):
    """What a message is read from."""

    async def readline(self) -> bytes:
        """Return the next line, or what there is of it at the end."""
        ...

    async def read(self, n: int = -1, /) -> bytes:
        """Return some bytes; none at the end."""
        ...


class BrokenMessageError(Exception):
    """A message ended before it was whole."""


@dataclass(slots=True)
class Message:
    """A request or an answer; header names are in lower case."""

    start: str
    headers: dict[str, str] = field(default_factory=dict)
    body: bytearray = field(default_factory=bytearray)

    @property
    def status(self) -> int:
        """Status of an answer."""
        return int(self.start.split()[1])


async def read_head(reader: ByteReader) -> Message | None:
    """Return the head of the next message, or None at the end of the connection."""
    data = await reader.readline()
    if not data:
        return None

    message = Message(data.decode("latin-1").strip())
    while (line := await reader.readline()).strip():
        name, _, value = line.decode("latin-1").partition(":")
        message.headers[name.strip().lower()] = value.strip()

    if not line:
        raise BrokenMessageError("the head is cut")

    return message


async def read_body(reader: ByteReader, message: Message) -> None:
    """Read the whole body; what has come of a broken one stays in ``message``."""
    if message.headers.get("transfer-encoding", "").lower() == "chunked":
        await read_chunks(reader, message)
        return

    wanted = int(message.headers.get("content-length", "0"))
    while len(message.body) < wanted:
        data = await reader.read(wanted - len(message.body))
        if not data:
            raise BrokenMessageError("the body is cut")

        message.body += data


async def read_chunks(reader: ByteReader, message: Message) -> None:
    """Read a body in chunks."""
    while True:
        line = await reader.readline()
        if not line.endswith(b"\r\n"):
            raise BrokenMessageError("the chunks are cut")

        size = int(line, 16)
        data = await read_exactly(reader, size)
        message.body += data
        end = await reader.readline()
        if not end.endswith(b"\r\n"):
            raise BrokenMessageError("the chunks are cut")

        if size == 0:
            return


async def read_exactly(reader: ByteReader, size: int) -> bytes:
    """Return just so many bytes."""
    data = bytearray()
    while len(data) < size:
        part = await reader.read(size - len(data))
        if not part:
            raise BrokenMessageError("the chunks are cut")

        data += part

    return bytes(data)


def write_message(start: str, headers: dict[str, str], body: bytes = b"") -> bytes:
    """Return a message with a body of known length."""
    lines = [start, *(f"{name}: {value}" for name, value in headers.items())]
    lines.append(f"Content-Length: {len(body)}")
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def write_chunk(data: bytes) -> bytes:
    """Return one chunk."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
