"""Loopback proxies that delay, reset or blackhole connections, also one way only."""

from __future__ import annotations

import asyncio
import contextlib
from asyncio import StreamWriter
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from asyncio import StreamReader


READ_BYTES = 65_536


class ProxyFault(StrEnum):
    """Fault that a proxy injects into the data that it forwards."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    """Drop all data, and keep the connections open."""
    ONE_WAY = "one way"
    """Forward only the data that the connecting side sends."""


@dataclass(slots=True, eq=False)
class Proxy:
    """One listener that forwards connections to one address."""

    target: tuple[str, int]
    injected_fault: ProxyFault = ProxyFault.NONE
    delay: float = 0.0
    """Seconds by which data is delayed while the fault is ``DELAY``."""
    server: asyncio.Server | None = None
    pairs: set[tuple[StreamWriter, StreamWriter]] = field(default_factory=set)
    blackholed: set[StreamWriter] = field(default_factory=set)
    """Connections that drop all further data, though new ones work."""

    @property
    def port(self) -> int:
        """Port on which the proxy listens."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])


async def open_proxy(listen: tuple[str, int], target: tuple[str, int]) -> Proxy:
    """Listen, and forward connections to the target."""
    proxy = Proxy(target)

    async def accept(reader: StreamReader, writer: StreamWriter) -> None:
        # At the end of a run the event loop cancels the forwarding tasks.
        with contextlib.suppress(asyncio.CancelledError):
            await relay_connection(proxy, reader, writer)

    proxy.server = await asyncio.start_server(accept, *listen)
    return proxy


async def relay_connection(
    proxy: Proxy, reader: StreamReader, writer: StreamWriter
) -> None:
    """Connect to the target, and forward data both ways until both sides end."""
    try:
        target_reader, target_writer = await asyncio.open_connection(*proxy.target)
    except OSError:
        writer.transport.abort()
        return

    pair = (writer, target_writer)
    proxy.pairs.add(pair)
    outbound = asyncio.create_task(
        forward(proxy, reader, target_writer, is_inbound=False)
    )
    inbound = asyncio.create_task(
        forward(proxy, target_reader, writer, is_inbound=True)
    )
    try:
        await asyncio.gather(outbound, inbound)
    finally:
        proxy.pairs.discard(pair)
        proxy.blackholed.difference_update(pair)
        for one in pair:
            one.close()


async def forward(
    proxy: Proxy, reader: StreamReader, writer: StreamWriter, *, is_inbound: bool
) -> None:
    """Forward data in one direction, subject to the injected fault."""
    with contextlib.suppress(OSError):
        while data := await reader.read(READ_BYTES):
            if proxy.injected_fault is ProxyFault.DELAY:
                await asyncio.sleep(proxy.delay)

            drops = proxy.injected_fault is ProxyFault.SILENCE or (
                proxy.injected_fault is ProxyFault.ONE_WAY and is_inbound
            )
            if drops or writer in proxy.blackholed:
                # After lost data, TCP never delivers what was sent later.
                proxy.blackholed.add(writer)
                continue

            writer.write(data)
            await writer.drain()

    # A reset by one side also closes the other side.
    if writer not in proxy.blackholed:
        writer.close()


def reset_pairs(proxy: Proxy) -> None:
    """Reset every open connection; new connections work."""
    for pair in list(proxy.pairs):
        for writer in pair:
            writer.transport.abort()


def blackhole_pairs(proxy: Proxy) -> None:
    """Drop all further data on the open connections; new connections work."""
    for pair in proxy.pairs:
        proxy.blackholed.update(pair)


async def close_proxy(proxy: Proxy) -> None:
    """Stop listening and reset all connections."""
    if proxy.server is not None:
        proxy.server.close()

    reset_pairs(proxy)
