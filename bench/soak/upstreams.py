"""Upstreams of the soak: they serve, beat, leave, crash and answer badly."""

from __future__ import annotations

import asyncio
import contextlib
import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING

from waxwingwell_standin import wire

from .http import BrokenMessageError
from .http import read_body
from .http import read_head
from .http import write_chunk
from .http import write_message
from .operators import send_order
from .proxies import Proxy
from .proxies import open_proxy
from .readers import BIG_STREAM_SECONDS
from .records import EVENTS
from .records import Journal
from .records import Run
from .records import is_big
from .records import make_body
from .records import make_event
from .records import read_clock


if TYPE_CHECKING:
    from asyncio import StreamReader
    from asyncio import StreamWriter

    from .http import Message


BEAT_SECONDS = 0.6
EVENT_SECONDS = 0.05
WORK_SECONDS = 0.02
BIG_WORK_SECONDS = 2.0
"""The longest work on a big answer."""
LEAVE_SECONDS = 2.5
"""For which a leaving upstream goes on serving after its leave was acknowledged."""


@dataclass(slots=True, eq=False)
class Upstream:
    """One server behind a proxy, whose address it announces."""

    name: str
    service: str
    host: str
    journal: Journal
    chooser: random.Random
    controls: tuple[tuple[str, int], ...]
    proxy: Proxy | None = None
    server: asyncio.Server | None = None
    born: int = 0
    sequence: int = 0
    pace: float = EVENT_SECONDS
    """Seconds between two events of a stream."""
    work: float = WORK_SECONDS
    """Seconds on a small answer."""
    bad: float = 0.0
    """Share of answers that are lost or cut."""
    leaving: bool = False
    up: bool = False


async def start_upstream(upstream: Upstream) -> None:
    """Listen behind a proxy, and begin to beat."""

    async def serve(reader: StreamReader, writer: StreamWriter) -> None:
        # At the end of a run the loop cancels what is still under way.
        with contextlib.suppress(OSError, BrokenMessageError, asyncio.CancelledError):
            await serve_connection(upstream, reader, writer)

        writer.close()

    upstream.server = await asyncio.start_server(serve, upstream.host, 0)
    target = (upstream.host, int(upstream.server.sockets[0].getsockname()[1]))
    if upstream.proxy is None:
        upstream.proxy = await open_proxy((upstream.host, 0), target)

    upstream.proxy.target = target
    upstream.born = time.time_ns() // 1_000_000
    upstream.sequence = 0
    upstream.leaving = False
    upstream.up = True


async def stop_upstream(upstream: Upstream) -> None:
    """Crash: nothing is said, and all connections are reset."""
    upstream.up = False
    if upstream.server is not None:
        upstream.server.close()

    if upstream.proxy is not None:
        for pair in list(upstream.proxy.pairs):
            for writer in pair:
                writer.transport.abort()


async def beat_forever(upstream: Upstream) -> None:
    """Send heartbeats to any control that takes them."""
    while True:
        if upstream.up:
            await beat(upstream)

        await asyncio.sleep(BEAT_SECONDS)


async def beat(upstream: Upstream) -> bool:
    """Send one heartbeat; tell whether it was acknowledged."""
    assert upstream.proxy is not None
    upstream.sequence += 1
    body = wire.write_heartbeat(
        service=upstream.service,
        address=f"{upstream.host}:{upstream.proxy.port}",
        born=upstream.born,
        sequence=upstream.sequence,
        leaving=upstream.leaving,
    )
    path = wire.instance_path(upstream.name)
    for control in upstream.chooser.sample(upstream.controls, len(upstream.controls)):
        answer = await send_order(control, "PUT", path, body)
        if answer is not None and answer.status == 200:
            return True

    return False


async def leave(upstream: Upstream) -> None:
    """Leave as planned: say so, serve on for a while, then end."""
    upstream.leaving = True
    if await beat(upstream):
        upstream.journal.left[upstream.name] = read_clock()

    await asyncio.sleep(LEAVE_SECONDS)
    path = wire.instance_path(upstream.name)
    for control in upstream.controls:
        await send_order(control, "DELETE", path, wire.write_leave(upstream.born))

    await stop_upstream(upstream)


async def serve_connection(
    upstream: Upstream, reader: StreamReader, writer: StreamWriter
) -> None:
    """Serve one request after the other."""
    while (request := await read_head(reader)) is not None:
        await read_body(reader, request)
        if not await serve_request(upstream, request, writer):
            return


async def serve_request(
    upstream: Upstream, request: Message, writer: StreamWriter
) -> bool:
    """Run one request, unless it is for another server; false ends the connection."""
    sent = wire.read_sent(request.headers)
    if sent.expected_upstream not in ("", upstream.name) or not upstream.up:
        refusal = wire.write_refusal(sent.request_id)
        writer.write(write_message("HTTP/1.1 421 Misdirected", refusal))
        return True

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
    try:
        return await work_on(upstream, sent, run, writer)
    finally:
        run.ended_at = read_clock()


async def work_on(
    upstream: Upstream, sent: wire.SentRequest, run: Run, writer: StreamWriter
) -> bool:
    """Work, and send the answer; false ends the connection."""
    headers = wire.write_answer(sent.request_id, upstream.name)
    if run.path.startswith("/stream/"):
        return await answer_stream(upstream, sent, run, headers, writer)

    work = upstream.work
    if is_big(run.path):
        work = BIG_WORK_SECONDS * upstream.chooser.random()

    await asyncio.sleep(work)
    body = make_body(sent.request_id, run.path)
    answer = write_message("HTTP/1.1 200 OK", headers, body)
    if upstream.chooser.random() < upstream.bad:
        writer.write(answer[: upstream.chooser.randrange(len(answer))])
        writer.transport.abort()
        return False

    writer.write(answer)
    await writer.drain()
    return True


async def answer_stream(
    upstream: Upstream,
    sent: wire.SentRequest,
    run: Run,
    headers: dict[str, str],
    writer: StreamWriter,
) -> bool:
    """Send the events after the one that the caller has."""
    head = {**headers, "Content-Type": "text/event-stream"}
    lines = [f"{name}: {value}" for name, value in head.items()]
    lines.append("Transfer-Encoding: chunked")
    writer.write("\r\n".join(["HTTP/1.1 200 OK", *lines, "", ""]).encode())
    pace = BIG_STREAM_SECONDS / EVENTS if is_big(run.path) else upstream.pace
    cut = upstream.chooser.random() < upstream.bad
    for number in range(sent.resume_after + 1, EVENTS + 1):
        event = make_event(sent.request_id, run.path, number)
        if cut and upstream.chooser.random() < 0.3:
            # In the middle of an event, as servers that crash do.
            writer.write(write_chunk(event[: len(event) // 2]))
            await writer.drain()
            writer.transport.abort()
            return False

        writer.write(write_chunk(event))
        await writer.drain()
        await asyncio.sleep(pace)

    writer.write(b"0\r\n\r\n")
    await writer.drain()
    return True
