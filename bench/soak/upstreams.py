"""Upstreams of the soak test: they serve, send heartbeats, leave, crash and fail."""

from __future__ import annotations

import asyncio
import contextlib
import random
import socket
import time
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from waxwingwell_standin import wire

from .http import IncompleteMessageError
from .http import read_body
from .http import read_head
from .http import write_chunk
from .http import write_message
from .operators import call_control
from .proxies import Proxy
from .proxies import close_pairs
from .proxies import listen_at
from .proxies import open_proxy
from .proxies import refuse_connections
from .proxies import reset_connection
from .proxies import reset_pairs
from .readers import LARGE_STREAM_SECONDS
from .readers import SlowReader
from .records import CRASHING_SUFFIX
from .records import EARLY_SUFFIX
from .records import POISONED_BLOCK
from .records import Arrival
from .records import Crash
from .records import Journal
from .records import Rest
from .records import Run
from .records import count_events
from .records import is_large
from .records import is_long
from .records import make_body
from .records import make_event
from .records import read_clock
from .rollout_records import BadResponse
from .versions import NO_EFFECT
from .versions import NO_TROUBLE
from .versions import Effect
from .versions import Trouble
from .versions import Version
from .versions import draw_effect


if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter

    from .http import ByteReader
    from .http import Message


FLOOD_HEAD = b"HTTP/1.1 200 OK\r\nSIGNATURE"
CHUNKED_HEAD = FLOOD_HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
FLOODS = {
    "head": (FLOOD_HEAD + b"X-Long: ", b"x" * 65_536),
    "informational": (b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 2_000),
    "body": (FLOOD_HEAD + b"\r\n", b"x" * 65_536),
    "chunks": (CHUNKED_HEAD, write_chunk(b"x" * 65_536)),
    "chunk size": (CHUNKED_HEAD, b"0" * 65_536),
    "event": (CHUNKED_HEAD, write_chunk(b"data: " + b"y" * 65_536)),
    "no response": (b"", b"\x00\x01" * 32_768),
}
"""First bytes of endless bytes, and what follows again and again."""
MAX_FLOOD_BYTES = 67_108_864
HEARTBEAT_SECONDS = 0.6
EVENT_SECONDS = 0.05
WORK_SECONDS = 0.02
MAX_LARGE_WORK_SECONDS = 2.0
"""Maximum seconds of work on a large response."""
UNFRAMED_SHARE = 0.25
RESET_SHARE = 0.5
"""Share of truncated responses that end by a reset, and not by a close."""
CUT_HEAD_SHARE = 0.1
"""Share of truncated streams that end within their head."""
MAX_CRASH_SECONDS = 0.08
"""Longest time from the start of a response to a poisoned prompt until the crash."""
SMALL_BUFFER_BYTES = 16_384
SMALL_SEGMENT_BYTES = 1_400
LEAVE_SECONDS = 2.5
"""Seconds for which an upstream keeps serving after its leave was acknowledged."""


@dataclass(slots=True, eq=False)
class Upstream:
    """One server behind a proxy, whose address it announces."""

    name: str
    service: str
    host: str
    journal: Journal
    rng: random.Random
    controls: tuple[tuple[str, int], ...]
    proxy: Proxy | None = None
    server: asyncio.Server | None = None
    born: int = 0
    sequence: int = 0
    event_interval: float = EVENT_SECONDS
    """Seconds between two events of a stream."""
    work: float = WORK_SECONDS
    """Seconds of work on a small response."""
    is_slow: bool = False
    """Whether it takes longer than usual for a while."""
    first_byte: float = 0.0
    """Seconds from a request to the first byte of its stream."""
    version: Version = field(default_factory=Version)
    trouble: Trouble = NO_TROUBLE
    truncated_share: float = 0.0
    """Share of responses that are truncated, possibly to nothing."""
    unframed_share: float = UNFRAMED_SHARE
    """Share of responses with neither a length nor chunks."""
    data_centre: str = wire.DATA_CENTRES[0]
    cold_until: float = 0.0
    rate_limit: float | None = None
    """Requests per second that it names as its limit."""
    rejection_limit: int | None = None
    """Rejections per second beyond which it crashes, as it states."""
    rejected_share: float = 0.0
    """Share of requests that it rejects, each time asking for rest."""
    rest: float = 0.0
    """Seconds of rest that it asks for."""
    says_leaving: bool = False
    """Whether it says in its responses that it leaves, without announcing it."""
    slots: int = 64
    """Requests that it serves at once; it rejects more only while it is brittle."""
    running: int = 0
    rejected: deque[float] = field(default_factory=deque)
    """Times of rejections within the last second."""
    leaving: bool = False
    up: bool = False
    starting: asyncio.Lock = field(default_factory=asyncio.Lock)
    """Held by the schedule that starts it."""
    unsure_models: tuple[str, ...] = ()
    """Models whose responses have a random confidence."""
    flood: str = ""
    """What it sends without end in place of responses, by name; empty for none."""
    read_rate: float | None = None
    """Bytes per second at which it reads the bodies of requests; its connections have
    small buffers then."""
    unread_limit: float | None = None
    """Seconds after which it cuts off a response of which nothing could be sent; its
    connections have small buffers then."""

    @property
    def identity(self) -> tuple[str, int]:
        """Id and start of the upstream's process."""
        return self.name, self.born


async def start_upstream(upstream: Upstream) -> None:
    """Listen behind a proxy, and enable heartbeats; one start at a time."""
    async with upstream.starting:
        if not upstream.up:
            await open_upstream(upstream)


async def open_upstream(upstream: Upstream) -> None:
    """Listen behind a proxy, and enable heartbeats."""

    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        # At the end of a run the event loop cancels the open connections' tasks.
        with contextlib.suppress(
            OSError, IncompleteMessageError, asyncio.CancelledError
        ):
            await serve_connection(upstream, reader, writer)

        writer.close()

    upstream.server = await asyncio.start_server(serve, upstream.host, 0)
    target = (upstream.host, int(upstream.server.sockets[0].getsockname()[1]))
    if upstream.proxy is None:
        upstream.proxy = await open_proxy((upstream.host, 0), target)

    upstream.proxy.target = target
    if upstream.proxy.server is None:
        await listen_at(upstream.proxy, upstream.proxy.address)

    for server in (upstream.server, upstream.proxy.server):
        if server is not None and upstream.unread_limit is not None:
            limit_buffers(server)

        if server is not None and upstream.read_rate is not None:
            limit_receive_buffers(server)

    upstream.born = time.time_ns() // 1_000_000
    upstream.sequence = 0
    upstream.leaving = False
    upstream.up = True


def limit_buffers(server: asyncio.Server) -> None:
    """Give the connections that a listener accepts small buffers in the kernel."""
    for listener in server.sockets:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SMALL_BUFFER_BYTES)
        listener.setsockopt(socket.IPPROTO_TCP, socket.TCP_MAXSEG, SMALL_SEGMENT_BYTES)


def limit_receive_buffers(server: asyncio.Server) -> None:
    """Give the connections that a listener accepts small buffers of unread bytes."""
    for listener in server.sockets:
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)


def stop_upstream(upstream: Upstream, *, resets: bool = True) -> None:
    """Crash an upstream without announcing a leave.

    Its connections are reset or, as those of a killed process, closed cleanly in the
    middle of its responses. New connections are refused.
    """
    upstream.up = False
    if upstream.server is not None:
        upstream.server.close()

    if upstream.proxy is not None:
        refuse_connections(upstream.proxy)
        (reset_pairs if resets else close_pairs)(upstream.proxy)


async def send_heartbeats(upstream: Upstream) -> None:
    """Send heartbeats while the upstream is up."""
    while True:
        if upstream.up:
            await send_heartbeat(upstream)

        await asyncio.sleep(HEARTBEAT_SECONDS)


async def send_heartbeat(upstream: Upstream) -> bool:
    """Send one heartbeat to the first control that acknowledges it.

    Returns whether there was one.
    """
    upstream.sequence += 1
    body = make_heartbeat(upstream)
    path = wire.instance_path(upstream.name)
    for control in upstream.rng.sample(upstream.controls, len(upstream.controls)):
        response = await call_control(control, "PUT", path, body)
        if response is not None and response.status == 200:
            return True

    return False


def make_heartbeat(upstream: Upstream) -> bytes:
    """Return the body of an upstream's heartbeat."""
    assert upstream.proxy is not None
    return wire.write_heartbeat(
        service=upstream.service,
        address=f"{upstream.host}:{upstream.proxy.port}",
        born=upstream.born,
        sequence=upstream.sequence,
        leaving=upstream.leaving,
        data_centre=upstream.data_centre,
        warming=max(upstream.cold_until - read_clock(), 0.0),
        slots=upstream.slots,
        version=upstream.version.name,
    )


async def leave(upstream: Upstream) -> None:
    """Leave gracefully: announce it, keep serving for a while, then stop."""
    upstream.leaving = True
    if await send_heartbeat(upstream):
        upstream.journal.leave_acknowledged_at[upstream.name] = read_clock()

    await asyncio.sleep(LEAVE_SECONDS)
    path = wire.instance_path(upstream.name)
    for control in upstream.controls:
        await call_control(control, "DELETE", path, wire.write_leave(upstream.born))

    stop_upstream(upstream)


async def serve_connection(
    upstream: Upstream, reader: StreamReader, writer: StreamWriter
) -> None:
    """Serve one request after the other."""
    assert upstream.proxy is not None
    port = int(writer.get_extra_info("peername")[1])
    source: ByteReader = reader
    if upstream.read_rate is not None:
        source = SlowReader(reader, read_clock(), upstream.read_rate)

    while (request := await read_head(reader)) is not None:
        await read_body(source, request)
        process = upstream.proxy.peers.get(port, 0)
        if not await serve_request(upstream, request, reader, writer, process):
            return


async def serve_request(
    upstream: Upstream,
    request: Message,
    reader: StreamReader,
    writer: StreamWriter,
    process: int,
) -> bool:
    """Process a request of a gateway's process, unless it is meant for another server.

    Returns False if the connection has to be closed.
    """
    sent = wire.read_received_request(request.headers)
    if sent.expected_upstream not in ("", upstream.name) or not upstream.up:
        refusal = wire.write_refusal(sent.request_id)
        writer.write(write_message("HTTP/1.1 421 Misdirected", refusal))
        return True

    record_arrival(upstream, sent, process)
    if upstream.flood:
        await send_flood(upstream.flood, sent, writer)
        return False

    if upstream.rng.random() < upstream.rejected_share:
        ask_for_rest(upstream, sent, writer, process)
        return True

    if upstream.rejection_limit is not None and upstream.running >= upstream.slots:
        reject(upstream, sent, writer)
        return upstream.up

    path = request.start.split()[1]
    run = Run(
        request_id=sent.request_id,
        upstream=upstream.name,
        path=path,
        workspace=sent.workspace,
        saw_key=sent.key != "",
        at=read_clock(),
    )
    upstream.journal.runs.append(run)
    upstream.running += 1
    identity, leaves = upstream.identity, says_leave(upstream)
    effect = draw_effect(
        upstream.version,
        upstream.trouble,
        path,
        upstream.running,
        run.at,
        upstream.rng,
    )
    try:
        served = await process_request(upstream, sent, run, writer, effect)
        # A gateway that has closed the connection gets no response.
        if leaves and not reader.at_eof():
            record_leave(upstream, identity, process)

        if effect.is_flawed:
            bad = BadResponse(upstream=upstream.name, at=read_clock())
            upstream.journal.bad_responses.append(bad)

        return served
    finally:
        upstream.running -= 1
        run.ended_at = read_clock()


async def send_flood(
    name: str, sent: wire.ReceivedRequest, writer: StreamWriter
) -> None:
    """Send bytes that are no response, until the gateway closes the connection."""
    head, piece = FLOODS[name]
    signed = wire.write_response(sent.request_id, "flood")
    lines = "".join(f"{key}: {value}\r\n" for key, value in signed.items())
    writer.write(head.replace(b"SIGNATURE", lines.encode()))
    for _ in range(MAX_FLOOD_BYTES // len(piece)):
        writer.write(piece)
        await writer.drain()

    reset_connection(writer)


def record_arrival(
    upstream: Upstream, sent: wire.ReceivedRequest, process: int
) -> None:
    """Record a request that has arrived."""
    upstream.journal.arrivals.append(
        Arrival(
            request_id=sent.request_id,
            process=process,
            upstream=upstream.identity,
            at=read_clock(),
            service=upstream.service,
            remaining=sent.remaining,
        )
    )


def ask_for_rest(
    upstream: Upstream, sent: wire.ReceivedRequest, writer: StreamWriter, process: int
) -> None:
    """Reject a request, and ask its gateway for rest."""
    headers = {
        **wire.write_refusal(sent.request_id),
        **wire.write_rest(upstream.rest),
        **write_statements(upstream),
    }
    writer.write(write_message("HTTP/1.1 503 Busy", headers))
    rest = Rest(
        process=process,
        upstream=upstream.identity,
        at=read_clock(),
        seconds=upstream.rest,
    )
    upstream.journal.rests.append(rest)
    if says_leave(upstream):
        record_leave(upstream, upstream.identity, process)


def says_leave(upstream: Upstream) -> bool:
    """Return whether responses that begin now say that the upstream leaves."""
    return upstream.leaving or upstream.says_leaving


def record_leave(upstream: Upstream, identity: tuple[str, int], process: int) -> None:
    """Record that a response to a gateway's process has said so."""
    upstream.journal.left_at.setdefault((process, identity), read_clock())


def reject(
    upstream: Upstream, sent: wire.ReceivedRequest, writer: StreamWriter
) -> None:
    """Reject a request for lack of room; too many rejections crash the upstream."""
    now = read_clock()
    upstream.rejected.append(now)
    while upstream.rejected[0] < now - 1.0:
        upstream.rejected.popleft()

    headers = {**wire.write_refusal(sent.request_id), **write_statements(upstream)}
    writer.write(write_message("HTTP/1.1 503 Full", headers))
    assert upstream.rejection_limit is not None
    if len(upstream.rejected) > upstream.rejection_limit:
        upstream.rejected.clear()
        crash = Crash(at=now, upstream=upstream.name, service=upstream.service)
        upstream.journal.crashes.append(crash)


def write_statements(upstream: Upstream) -> dict[str, str]:
    """Return the headers by which an upstream states what it takes."""
    return wire.write_statements(
        upstream.rate_limit,
        upstream.rejection_limit,
        leaving=says_leave(upstream),
    )


async def process_request(
    upstream: Upstream,
    sent: wire.ReceivedRequest,
    run: Run,
    writer: StreamWriter,
    effect: Effect = NO_EFFECT,
) -> bool:
    """Process a request and send its response; return False after an abort."""
    signature = wire.write_response(sent.request_id, upstream.name)
    headers = {**signature, **write_statements(upstream)}
    if run.path.endswith(EARLY_SUFFIX):
        await crash_on_prompt(upstream, run.path, writer)
        return False

    if effect.fails:
        await asyncio.sleep(upstream.work)
        writer.write(write_message("HTTP/1.1 500 Failed", headers, b"failed"))
        await writer.drain()
        return True

    if run.path.startswith("/stream/") or is_long(run.path):
        await asyncio.sleep(upstream.first_byte * effect.slowdown)
        return await send_stream(upstream, sent, run, effect, headers, writer)

    work = upstream.work
    if is_large(run.path):
        work = MAX_LARGE_WORK_SECONDS * upstream.rng.random()

    await asyncio.sleep(work * effect.slowdown)
    body = make_body(sent.request_id, run.path)
    response = write_message("HTTP/1.1 200 OK", headers, body)
    if upstream.rng.random() < upstream.truncated_share:
        writer.write(response[: upstream.rng.randrange(len(response))])
        if upstream.rng.random() < RESET_SHARE:
            reset_connection(writer)

        return False

    unframed = upstream.rng.random() < upstream.unframed_share
    writer.write(write_head(headers) + body if unframed else response)
    await writer.drain()
    return not unframed


async def crash_on_prompt(upstream: Upstream, path: str, writer: StreamWriter) -> None:
    """Crash an upstream that has begun to serve a request that does so."""
    identity = upstream.identity
    await writer.drain()
    await asyncio.sleep(MAX_CRASH_SECONDS * upstream.rng.random())
    if upstream.up and upstream.identity == identity:
        crash = Crash(
            at=read_clock(), upstream=upstream.name, service=upstream.service, path=path
        )
        upstream.journal.poisoned_crashes.append(crash)
        stop_upstream(upstream, resets=upstream.rng.random() < 0.5)


def write_head(headers: dict[str, str]) -> bytes:
    """Return the head of a success; without further headers it has no framing."""
    lines = [f"{name}: {value}" for name, value in headers.items()]
    return "\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode()


async def send_stream(
    upstream: Upstream,
    sent: wire.ReceivedRequest,
    run: Run,
    effect: Effect,
    headers: dict[str, str],
    writer: StreamWriter,
) -> bool:
    """Send the events after the last one that the caller has received."""
    head = {**headers, "Content-Type": "text/event-stream"}
    if sent.model in upstream.unsure_models:
        head |= wire.write_confidence(upstream.rng.random())

    unframed = upstream.rng.random() < upstream.unframed_share
    framing = {} if unframed else {"Transfer-Encoding": "chunked"}
    stream_head = write_head({**head, **framing})
    truncated = upstream.rng.random() < upstream.truncated_share
    if truncated and upstream.rng.random() < CUT_HEAD_SHARE:
        writer.write(stream_head[: upstream.rng.randrange(len(stream_head))])
        return False

    writer.write(stream_head)
    encode = bytes if unframed else write_chunk
    is_poisoned = POISONED_BLOCK in sent.prompt_blocks[:-1]
    if is_poisoned or run.path.endswith(CRASHING_SUFFIX):
        await crash_on_prompt(upstream, run.path, writer)
        return False

    events = count_events(run.path)
    event_interval = (
        LARGE_STREAM_SECONDS / events if is_large(run.path) else upstream.event_interval
    )
    for number in range(sent.resume_after + 1, events + 1):
        event = make_event(sent.request_id, run.path, number)
        if truncated and upstream.rng.random() < 0.3:
            # Truncate the stream within an event, like a server that crashes.
            writer.write(encode(event[: len(event) // 2]))
            await writer.drain()
            if not unframed:
                reset_connection(writer)

            return False

        writer.write(encode(event))
        try:
            await asyncio.wait_for(writer.drain(), upstream.unread_limit)
        except TimeoutError:
            reset_connection(writer)
            return False

        if not is_long(run.path):
            await asyncio.sleep(event_interval * effect.slowdown)

    if not unframed:
        writer.write(b"0\r\n\r\n")

    await writer.drain()
    return not unframed
