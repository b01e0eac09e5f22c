"""What the soak's proxies pass on of connections that end."""

from __future__ import annotations

import asyncio
import socket
import struct
import unittest
from typing import TYPE_CHECKING

from bench.soak.proxies import close_proxy
from bench.soak.proxies import open_proxy


if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter


HOST = "127.0.0.1"
RESET = struct.pack("ii", 1, 0)
"""Lingering of no time: a close resets the connection."""


async def end_connection(*, reset: bool) -> bytes:
    """End a connection through a proxy; return what its target reads after that."""
    joined: asyncio.Queue[tuple[StreamReader, StreamWriter]] = asyncio.Queue()

    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        await joined.put((reader, writer))

    server = await asyncio.start_server(serve, HOST, 0)
    target = (HOST, int(server.sockets[0].getsockname()[1]))
    proxy = await open_proxy((HOST, 0), target)
    _, writer = await asyncio.open_connection(HOST, proxy.port)
    writer.write(b"x")
    reader, far = await joined.get()
    await reader.readexactly(1)
    if reset:
        own = writer.get_extra_info("socket")
        own.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)

    writer.close()
    rest = await reader.read()
    far.close()
    server.close()
    await close_proxy(proxy)
    return rest


class ProxyTest(unittest.TestCase):
    """A proxy between a gateway and an upstream."""

    def test_the_target_learns_of_the_end(self) -> None:
        """Guards against upstreams that keep the connections of gateways that left."""
        for name, reset in (("closed", False), ("reset", True)):
            with self.subTest(name):
                self.assertEqual(asyncio.run(end_connection(reset=reset)), b"")
