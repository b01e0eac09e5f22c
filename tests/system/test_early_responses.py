"""Upstreams that respond before they have read a long request."""

from __future__ import annotations

import asyncio
import contextlib
import socket
import struct
import tempfile
import unittest
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

from bench.soak.http import IncompleteMessageError
from bench.soak.http import read_body
from bench.soak.http import read_head
from bench.soak.proxies import refuse_connections

from waxwingwell_standin import wire

from .crowds import Door
from .crowds import find_address
from .environments import open_small_environment
from .environments import write_request


if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter

    from bench.soak.schedule import SoakEnvironment
    from bench.soak.upstreams import Upstream


UPLOAD_BYTES = 2_000_000
BUFFER_BYTES = 16_384
BODY = b"id: 1\ndata: whole\n\n"
PART = BODY[:7]
RESET = struct.pack("ii", 1, 0)
"""SO_LINGER by which a close resets the connection."""
REPEATS = 5
RESPONSE_SECONDS = 20.0
"""Watch against a gateway that does not respond; not a target time."""
PATHS = ("/order/1", "/read/1", "/stream/1")


@dataclass(frozen=True, slots=True, kw_only=True)
class EarlyResponse:
    """What an upstream does once it has read the head of a request."""

    name: str
    fields: str = ""
    body: bytes = PART
    pause: float = 0.0
    """Seconds between the head and the body of the response."""
    half_closes: bool = False
    reset_after: float | None = None
    """Seconds until the connection is reset; None if it is closed."""
    reads_on: bool = False
    """Whether the whole request is read before the close."""
    is_sound: bool = False


RESPONSES = (
    EarlyResponse(name="reset at once", reset_after=0.0),
    EarlyResponse(name="reset later", reset_after=0.05),
    EarlyResponse(name="closed with the request unread"),
    EarlyResponse(name="half-closed, then reset", half_closes=True, reset_after=0.05),
    EarlyResponse(
        name="half-closed after 5 ms, then reset",
        pause=0.005,
        half_closes=True,
        reset_after=0.05,
    ),
    EarlyResponse(
        name="half-closed after 300 ms, then reset",
        pause=0.3,
        half_closes=True,
        reset_after=0.05,
    ),
    EarlyResponse(name="half-closed, then closed unread", half_closes=True),
    EarlyResponse(
        name="sound, with a length",
        fields=f"Content-Length: {len(BODY)}\r\n",
        body=BODY,
        reset_after=0.05,
        is_sound=True,
    ),
    EarlyResponse(
        name="sound, in chunks",
        fields="Transfer-Encoding: chunked\r\n",
        body=b"%x\r\n%b\r\n0\r\n\r\n" % (len(BODY), BODY),
        reset_after=0.05,
        is_sound=True,
    ),
    EarlyResponse(
        name="sound, without a length",
        body=BODY,
        half_closes=True,
        reads_on=True,
        is_sound=True,
    ),
)


class EarlyResponseTest(unittest.TestCase):
    """One gateway and one upstream for each service."""

    def test_a_part_is_not_a_complete_response(self) -> None:
        """Guards against a part that is passed on as the whole of a response."""
        with tempfile.TemporaryDirectory() as folder:
            results = asyncio.run(play_responses(Path(folder)))

        for response, path, ends in results:
            with self.subTest(response.name, path=path):
                if response.is_sound:
                    self.assertEqual(ends, [(200, BODY)] * REPEATS)
                else:
                    self.assertEqual([one for one in ends if one[0] == 200], [])


async def play_responses(
    folder: Path,
) -> list[tuple[EarlyResponse, str, list[tuple[int, bytes]]]]:
    """Return how long requests end for each early response of their upstream."""
    results = []
    async with open_small_environment(folder) as environment:
        current = [RESPONSES[0]]
        servers = [
            await replace_upstream(one, current) for one in environment.upstreams
        ]
        for response in RESPONSES:
            current[0] = response
            for path in PATHS:
                ends = [
                    await upload(environment, path, f"{response.name}-{number}")
                    for number in range(REPEATS)
                ]
                results.append((response, path, ends))

        for server in servers:
            server.close()

    return results


async def replace_upstream(
    upstream: Upstream, current: list[EarlyResponse]
) -> asyncio.Server:
    """Respond early at the address of an upstream, as the current response says."""

    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            await respond(reader, writer, current[0])

        writer.close()

    assert upstream.proxy is not None
    refuse_connections(upstream.proxy)
    host, port = upstream.proxy.address
    listener = socket.socket()
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    listener.bind((host, port))
    return await asyncio.start_server(serve, sock=listener, limit=BUFFER_BYTES)


async def respond(
    reader: StreamReader, writer: StreamWriter, response: EarlyResponse
) -> None:
    """Read the head of a request, and respond before its body is read."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    lines = [line.partition(":") for line in head.split("\r\n")[1:]]
    fields = {name.lower(): value.strip() for name, _, value in lines}
    sent = wire.read_received_request(fields)
    signature = "".join(
        f"{name}: {value}\r\n"
        for name, value in wire.write_response(sent.request_id, "early").items()
    )
    writer.write(f"HTTP/1.1 200 OK\r\n{signature}{response.fields}\r\n".encode())
    await asyncio.sleep(response.pause)
    writer.write(response.body)
    await writer.drain()
    if response.half_closes:
        writer.write_eof()

    if response.reads_on:
        await reader.readexactly(int(fields["content-length"]))

    if response.reset_after is not None:
        await asyncio.sleep(response.reset_after)
        connection = writer.get_extra_info("socket")
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        writer.transport.abort()


async def upload(
    environment: SoakEnvironment, path: str, name: str
) -> tuple[int, bytes]:
    """Return the status and body of a response; the status is 0 if it was cut off."""
    address = find_address(environment, Door.CALLERS)
    reader, writer = await asyncio.open_connection(*address)
    request_id = f"{path}{name}".replace(" ", "-")
    try:
        async with asyncio.timeout(RESPONSE_SECONDS):
            writer.write(write_request(request_id, path, b"x" * UPLOAD_BYTES))
            response = await read_head(reader)
            if response is None:
                return 0, b""

            await read_body(reader, response)
            return response.status, bytes(response.body)
    except (OSError, IncompleteMessageError):
        return 0, b""
    finally:
        writer.transport.abort()


if __name__ == "__main__":
    unittest.main()
