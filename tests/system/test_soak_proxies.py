"""How the soak test's proxies forward the end of a connection."""

from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

from bench.soak.proxies import close_pairs
from bench.soak.proxies import close_proxy
from bench.soak.proxies import find_inode
from bench.soak.proxies import listen_at
from bench.soak.proxies import open_proxy
from bench.soak.proxies import refuse_connections
from bench.soak.proxies import reset_connection
from bench.soak.proxies import reset_pairs


if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter
    from collections.abc import Callable

    from bench.soak.proxies import Proxy


HOST = "127.0.0.1"


async def end_connection(*, reset: bool) -> bytes:
    """End a connection through a proxy; return what its target reads until the end."""
    accepted: asyncio.Queue[tuple[StreamReader, StreamWriter]] = asyncio.Queue()

    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        await accepted.put((reader, writer))

    server = await asyncio.start_server(serve, HOST, 0)
    target = (HOST, int(server.sockets[0].getsockname()[1]))
    proxy = await open_proxy((HOST, 0), target)
    _, writer = await asyncio.open_connection(HOST, proxy.port)
    writer.write(b"x")
    reader, target_writer = await accepted.get()
    await reader.readexactly(1)
    if reset:
        reset_connection(writer)

    writer.close()
    received = await reader.read()
    target_writer.close()
    server.close()
    await close_proxy(proxy)
    return received


async def crash_target(end_pairs: Callable[[Proxy], None]) -> tuple[bytes, bool, bool]:
    """End a response in its middle, as a crash does.

    Returns what its reader gets, whether it is reset, and whether connections are
    refused then and accepted later.
    """

    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        writer.write(b"half")
        await reader.read()
        writer.close()

    server = await asyncio.start_server(serve, HOST, 0)
    target = (HOST, int(server.sockets[0].getsockname()[1]))
    proxy = await open_proxy((HOST, 0), target)
    port = proxy.port
    reader, writer = await asyncio.open_connection(HOST, port)
    received = await reader.readexactly(4)
    refuse_connections(proxy)
    end_pairs(proxy)
    try:
        received += await reader.read()
        was_reset = False
    except ConnectionResetError:
        was_reset = True

    writer.close()
    refused = False
    try:
        await asyncio.open_connection(HOST, port)
    except ConnectionRefusedError:
        refused = True

    await listen_at(proxy, proxy.address)
    _, again = await asyncio.open_connection(HOST, port)
    again.close()
    server.close()
    await close_proxy(proxy)
    return received, was_reset, refused


TABLE = """\
  sl  local_address rem_address   st tx_queue rx_queue tr tm->when retrnsmt   uid  timeout inode
   0: 0100007F:1F90 0201007F:0050 01 00000000:00000000 00:00000000 00000000     0        0 11
   1: 0100007F:1F90 0301007F:0051 01 00000000:00000000 00:00000000 00000000     0        0 12
   2: 0301007F:0051 0100007F:1F90 01 00000000:00000000 00:00000000 00000000     0        0 13
"""  # noqa: E501


class ProxyTest(unittest.TestCase):
    """A proxy between a gateway and an upstream."""

    def test_connections_that_share_a_local_port_are_told_apart(self) -> None:
        """Guards against a cut that misses some connections of its process."""
        for ports, inode in (((8080, 80), "11"), ((8080, 81), "12"), ((9, 80), "")):
            with self.subTest(ports=ports):
                self.assertEqual(find_inode(TABLE, ports), inode)

    def test_the_end_of_a_connection_reaches_the_target(self) -> None:
        """Guards against upstreams that keep connections of exited gateways."""
        for name, reset in (("closed", False), ("reset", True)):
            with self.subTest(name):
                self.assertEqual(asyncio.run(end_connection(reset=reset)), b"")

    def test_a_crash_ends_responses_and_refuses_connections(self) -> None:
        """Guards against crashed upstreams that still seem to be there."""
        for name, end_pairs, was_reset in (
            ("clean close", close_pairs, False),
            ("reset", reset_pairs, True),
        ):
            with self.subTest(name):
                outcome = asyncio.run(crash_target(end_pairs))
                self.assertEqual(outcome, (b"half", was_reset, True))
