"""Clients that stall, send bytes in the worst pieces, or hardly read."""

from __future__ import annotations

import asyncio
import contextlib
import os
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from bench.soak.http import IncompleteMessageError
from bench.soak.http import read_body
from bench.soak.http import read_head
from bench.soak.readers import open_slowly
from bench.soak.upstreams import start_upstream
from bench.soak.upstreams import stop_upstream

from waxwingwell.adapters.links import PROTOCOL_VERSION
from waxwingwell.messages import Hello

from .environments import open_small_environment
from .environments import write_request


if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter
    from collections.abc import AsyncIterator

    from bench.soak.processes import Member
    from bench.soak.schedule import SoakEnvironment


Address = tuple[str, int]
Client = Callable[[Address, str], Awaitable[None]]
"""Connects to an address once, under a name, and returns when it is turned away."""

MEBIBYTE = 1_048_576
CROWD_SECONDS = 6.0
"""Seconds for which a crowd is there at least."""
ANSWER_SECONDS = 30.0
"""Watch against a process that answers no more; not a target time."""
SAMPLE_SECONDS = 0.05
PIECE_BYTES = 65_536
TRICKLE_SECONDS = 0.5
FRAME_BYTES = 60_000_000
"""Announced size of a link's frame, below the longest that is accepted."""
PIPELINED_BYTES = 131_072
READ_SECONDS = 1.0
"""Pause between two reads of a few bytes."""
CALL_PATH = "/order/1"
LONG_STREAM_PATH = "/long/1"


class Door(StrEnum):
    """A port of a process that clients may reach."""

    CALLERS = "callers"
    RELAYS = "relays"
    READINESS = "readiness"
    GATEWAY_METRICS = "gateway metrics"
    OPERATORS = "operators"
    LINKS = "links"
    REGISTRY_METRICS = "registry metrics"


@dataclass(frozen=True, slots=True, kw_only=True)
class Crowd:
    """Equal clients at one port, each of which connects again and again."""

    door: Door
    count: int
    client: Client


@dataclass(slots=True)
class Measurement:
    """What a crowd did to the processes."""

    peaks: dict[str, int]
    """Most resident memory in bytes, by process."""
    descriptors: dict[str, int]
    """Most open descriptors, by process."""
    ended: list[str]
    """Processes that have ended."""
    answered_during: bool
    answered_after: bool


def find_address(environment: SoakEnvironment, door: Door) -> Address:
    """Return the address of a port."""
    gateway = environment.fleet.gateways[0].record
    registry = environment.fleet.registries[0].record
    return {
        Door.CALLERS: (gateway.address, gateway.caller_port),
        Door.RELAYS: (gateway.address, gateway.link_port + 2),
        Door.READINESS: (gateway.address, gateway.ready_port),
        Door.GATEWAY_METRICS: (gateway.address, gateway.link_port + 1),
        Door.OPERATORS: (registry.address, registry.admin_port),
        Door.LINKS: (registry.address, registry.link_port),
        Door.REGISTRY_METRICS: (registry.address, registry.link_port + 1),
    }[door]


async def play_crowds(
    folder: Path,
    crowds: tuple[Crowd, ...],
    *,
    memory_mb: int,
    descriptors: int | None = None,
    read_rate: float | None = None,
) -> Measurement:
    """Let crowds loose on a small system; ``read_rate`` is that of its upstreams."""
    async with open_small_environment(
        folder, memory_mb=memory_mb, descriptors=descriptors
    ) as environment:
        # Upstreams listen anew with the buffers of slow ones.
        await slow_down_upstreams(environment, read_rate)
        members = environment.fleet.members
        opened = dict.fromkeys((one.record.name for one in members), 0)
        sampler = asyncio.create_task(sample_descriptors(members, opened))
        tasks = [
            asyncio.create_task(
                call_forever(crowd.client, find_address(environment, crowd.door), name)
            )
            for number, crowd in enumerate(crowds)
            for name in (f"{number}-{place}" for place in range(crowd.count))
        ]
        await asyncio.sleep(CROWD_SECONDS)
        during = await is_answered_at_last(environment, "during")
        for task in (*tasks, sampler):
            task.cancel()

        await asyncio.gather(*tasks, sampler, return_exceptions=True)
        return Measurement(
            peaks={one.record.name: read_peak(one) for one in members},
            descriptors=opened,
            ended=[one.record.name for one in members if has_ended(one)],
            answered_during=during,
            answered_after=await is_answered_at_last(environment, "after"),
        )


async def slow_down_upstreams(
    environment: SoakEnvironment, read_rate: float | None
) -> None:
    """Let upstreams read requests slowly, through small buffers, from now on."""
    if read_rate is None:
        return

    for upstream in environment.upstreams:
        stop_upstream(upstream)
        upstream.read_rate = read_rate
        await start_upstream(upstream)


async def sample_descriptors(members: list[Member], opened: dict[str, int]) -> None:
    """Record the most descriptors that each process has open."""
    while True:
        for member in members:
            if not has_ended(member):
                name = member.record.name
                opened[name] = max(opened[name], count_descriptors(member))

        await asyncio.sleep(SAMPLE_SECONDS)


def count_descriptors(member: Member) -> int:
    """Return the number of open descriptors of a process."""
    assert member.process is not None
    return len(os.listdir(f"/proc/{member.process.pid}/fd"))


def has_ended(member: Member) -> bool:
    """Return whether a process has ended by itself."""
    return member.process is None or member.process.poll() is not None


def read_peak(member: Member) -> int:
    """Return the most memory that a process has had, in bytes; 0 if it has ended."""
    if has_ended(member):
        return 0

    assert member.process is not None
    status = Path(f"/proc/{member.process.pid}/status").read_text()
    [line] = [one for one in status.splitlines() if one.startswith("VmHWM")]
    return int(line.split()[1]) * 1_024


async def is_answered_at_last(environment: SoakEnvironment, name: str) -> bool:
    """Return whether an ordinary caller that returns after refusals is answered."""
    address = find_address(environment, Door.CALLERS)
    with contextlib.suppress(TimeoutError):
        async with asyncio.timeout(ANSWER_SECONDS):
            number = 0
            while not await is_answered(address, f"{name}-{number}"):
                number += 1
                await asyncio.sleep(0.2)

            return True

    return False


async def is_answered(address: Address, name: str) -> bool:
    """Return whether an ordinary request on a new connection is served."""
    with contextlib.suppress(OSError, IncompleteMessageError, ValueError):
        async with asyncio.timeout(ANSWER_SECONDS / 3):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(write_request(name, CALL_PATH))
                response = await read_head(reader)
                if response is not None:
                    await read_body(reader, response)
                    return response.status == 200
            finally:
                writer.transport.abort()

    return False


async def call_forever(client: Client, address: Address, name: str) -> None:
    """Let a client connect again whenever it is turned away."""
    number = 0
    while True:
        number += 1
        with contextlib.suppress(OSError, IncompleteMessageError):
            await client(address, f"{name}-{number}")

        await asyncio.sleep(SAMPLE_SECONDS)


def make_head(name: str, door: Door, *lines: str) -> bytes:
    """Return the head of a request that a port accepts, with further fields."""
    start = {
        Door.OPERATORS: "PUT /-/config HTTP/1.1\r\nHost: a\r\n",
        Door.READINESS: "GET /-/readyz HTTP/1.1\r\nHost: a\r\n",
        Door.GATEWAY_METRICS: "GET /metrics HTTP/1.1\r\nHost: a\r\n",
        Door.REGISTRY_METRICS: "GET /metrics HTTP/1.1\r\nHost: a\r\n",
    }.get(door)
    if start is None:
        whole = write_request(name, CALL_PATH, b"").decode("latin-1")
        start = "".join(
            f"{line}\r\n"
            for line in whole.split("\r\n")
            if line and not line.lower().startswith("content-length")
        )

    return (start + "".join(f"{line}\r\n" for line in lines) + "\r\n").encode()


def make_body_client(door: Door, size: int, missing: int) -> Client:
    """Return a client that sends a body but for its last ``missing`` bytes.

    It keeps its connection open until the port closes it.
    """

    async def send(address: Address, name: str) -> None:
        head = make_head(name, door, f"Content-Length: {size}")
        async with open_client(address) as (reader, writer):
            writer.write(head)
            await write_pieces(writer, size - missing)
            await reader.read()

    return send


def make_chunk_client(door: Door) -> Client:
    """Return a client that sends a body in chunks of two bytes, without an end."""
    piece = b"2\r\nab\r\n" * 8_192

    async def send(address: Address, name: str) -> None:
        head = make_head(name, door, "Transfer-Encoding: chunked")
        async with open_client(address) as (_, writer):
            writer.write(head)
            while True:
                writer.write(piece)
                await writer.drain()

    return send


def make_field_client(door: Door, size: int) -> Client:
    """Return a client whose head has as many fields as fit, before a missing body."""
    fields = ["a:b"] * (size // len("a:b\r\n"))

    async def send(address: Address, name: str) -> None:
        head = make_head(name, door, *fields, "Content-Length: 10")
        async with open_client(address) as (reader, writer):
            writer.write(head)
            await reader.read()

    return send


def make_pipelining_client() -> Client:
    """Return a client that sends much behind a request that is still running."""

    async def send(address: Address, name: str) -> None:
        async with open_client(address) as (reader, writer):
            writer.write(write_request(name, LONG_STREAM_PATH))
            writer.write(write_request(name, CALL_PATH, b"x" * PIPELINED_BYTES))
            while await reader.read(1):
                await asyncio.sleep(READ_SECONDS)

    return send


def make_reading_client() -> Client:
    """Return a client that hardly reads a long response."""

    async def send(address: Address, name: str) -> None:
        reader, writer = await open_slowly(*address)
        try:
            writer.write(write_request(name, LONG_STREAM_PATH, budget=20.0))
            while await reader.read(1):
                await asyncio.sleep(READ_SECONDS)
        finally:
            writer.transport.abort()

    return send


def make_silent_client() -> Client:
    """Return a client that sends nothing."""

    async def send(address: Address, name: str) -> None:
        async with open_client(address) as (reader, _):
            await reader.read()

    return send


def make_frame_client(size: int, *, greets: bool = False) -> Client:
    """Return a client that sends the beginning of a frame, then a byte at times."""

    async def send(address: Address, name: str) -> None:
        async with open_client(address) as (_, writer):
            if greets:
                hello = Hello(node=name, protocol=PROTOCOL_VERSION)
                writer.write(msgspec.msgpack.encode(hello))

            writer.write(b"\xc6" + FRAME_BYTES.to_bytes(4, "big"))
            await write_pieces(writer, size)
            while not writer.is_closing():
                writer.write(b"x")
                await writer.drain()
                await asyncio.sleep(TRICKLE_SECONDS)

    return send


@contextlib.asynccontextmanager
async def open_client(
    address: Address,
) -> AsyncIterator[tuple[StreamReader, StreamWriter]]:
    """Connect, and abort the connection at the end."""
    reader, writer = await asyncio.open_connection(*address)
    try:
        yield reader, writer
    finally:
        writer.transport.abort()


async def write_pieces(writer: StreamWriter, size: int) -> None:
    """Write a number of bytes as the peer takes them."""
    piece = b"x" * PIECE_BYTES
    while size > 0:
        writer.write(piece[:size])
        size -= len(piece)
        await writer.drain()
