"""Loopback proxies that delay, reset, silence, or cut connections one way."""

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


PIECE = 65_536


class Harm(StrEnum):
    """What a proxy does to what it passes on."""

    NONE = "none"
    DELAY = "delay"
    SILENCE = "silence"
    """Nothing passes, and all connections stay open."""
    ONE_WAY = "one way"
    """Only what the connecting side sends passes."""


@dataclass(slots=True, eq=False)
class Proxy:
    """One listener that passes connections on to one address."""

    target: tuple[str, int]
    harm: Harm = Harm.NONE
    delay: float = 0.0
    server: asyncio.Server | None = None
    pairs: set[tuple[StreamWriter, StreamWriter]] = field(default_factory=set)
    dead: set[StreamWriter] = field(default_factory=set)
    """Connections that stay silent for good, though new ones work."""

    @property
    def port(self) -> int:
        """Port on which the proxy listens."""
        assert self.server is not None
        return int(self.server.sockets[0].getsockname()[1])


async def open_proxy(listen: tuple[str, int], target: tuple[str, int]) -> Proxy:
    """Listen, and pass connections on."""
    proxy = Proxy(target)

    async def join(reader: StreamReader, writer: StreamWriter) -> None:
        # At the end of a run the loop cancels what still passes bytes on.
        with contextlib.suppress(asyncio.CancelledError):
            await join_target(proxy, reader, writer)

    proxy.server = await asyncio.start_server(join, *listen)
    return proxy


async def join_target(proxy: Proxy, reader: StreamReader, writer: StreamWriter) -> None:
    """Connect to the target, and pass bytes both ways until one side ends."""
    try:
        far_reader, far_writer = await asyncio.open_connection(*proxy.target)
    except OSError:
        writer.transport.abort()
        return

    pair = (writer, far_writer)
    proxy.pairs.add(pair)
    there = asyncio.create_task(pump(proxy, reader, far_writer, back=False))
    here = asyncio.create_task(pump(proxy, far_reader, writer, back=True))
    try:
        await asyncio.gather(there, here)
    finally:
        proxy.pairs.discard(pair)
        proxy.dead.difference_update(pair)
        for one in pair:
            one.close()


async def pump(
    proxy: Proxy, reader: StreamReader, writer: StreamWriter, *, back: bool
) -> None:
    """Pass bytes one way, as the proxy's harm allows."""
    with contextlib.suppress(OSError):
        while data := await reader.read(PIECE):
            if proxy.harm is Harm.DELAY:
                await asyncio.sleep(proxy.delay)

            muted = proxy.harm is Harm.SILENCE or (proxy.harm is Harm.ONE_WAY and back)
            if muted or writer in proxy.dead:
                # What was lost on the way can't be followed by what came later.
                proxy.dead.add(writer)
                continue

            writer.write(data)
            await writer.drain()

    # A side that is reset has ended, too.
    if writer not in proxy.dead:
        writer.close()


def reset_pairs(proxy: Proxy) -> None:
    """Reset every open connection; new ones work."""
    for pair in list(proxy.pairs):
        for writer in pair:
            writer.transport.abort()


def silence_pairs(proxy: Proxy) -> None:
    """Let nothing more through on the open connections; new ones work."""
    for pair in proxy.pairs:
        proxy.dead.update(pair)


async def close_proxy(proxy: Proxy) -> None:
    """Stop listening and cut everything."""
    if proxy.server is not None:
        proxy.server.close()

    reset_pairs(proxy)
