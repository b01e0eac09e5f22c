"""Callers of the soak: they keep connections open until the process is gone."""

from __future__ import annotations

import asyncio
import random
from asyncio import StreamReader
from asyncio import StreamWriter
from dataclasses import dataclass

from waxwingwell_standin import wire

from .http import BrokenMessageError
from .http import Message
from .http import read_body
from .http import read_head
from .http import write_message
from .operators import HOST
from .operators import KEYS
from .readers import open_slowly
from .readers import slow_down
from .records import BIG
from .records import BUDGET_SECONDS
from .records import Ask
from .records import Journal
from .records import make_body
from .records import make_stream
from .records import read_clock


PAUSE_SECONDS = 0.05
KINDS = ("stream", "order", "read")


@dataclass(slots=True)
class Caller:
    """One caller with the connection that it keeps."""

    name: str
    gateways: tuple[tuple[str, int], ...]
    journal: Journal
    chooser: random.Random
    connection: tuple[str, StreamReader, StreamWriter] | None = None
    count: int = 0
    slow: bool = False
    """It asks for big answers only, and reads them slowly."""


async def call_forever(caller: Caller) -> None:
    """Send one request after the other."""
    while True:
        await call_once(caller, caller.chooser.choice(KINDS))
        await asyncio.sleep(PAUSE_SECONDS * caller.chooser.random())


async def call_once(
    caller: Caller, kind: str, gateway: tuple[str, int] | None = None
) -> Ask:
    """Send one request, and note how it ended."""
    caller.count += 1
    workspace = caller.chooser.choice(sorted(KEYS))
    ask = Ask(
        request_id=f"{caller.name}-{caller.count}",
        kind=kind,
        path=f"/{kind}/{caller.count}{BIG if caller.slow else ''}",
        workspace=workspace,
        gateway="",
        began_at=read_clock(),
    )
    try:
        async with asyncio.timeout(BUDGET_SECONDS + 1.0):
            await exchange(caller, ask, gateway)
    except (OSError, BrokenMessageError, TimeoutError, ValueError):
        drop_connection(caller)

    ask.ended_at = read_clock()
    caller.journal.asks.append(ask)
    return ask


async def exchange(caller: Caller, ask: Ask, gateway: tuple[str, int] | None) -> None:
    """Write the request and read the answer."""
    ask.read = False
    if gateway is not None or caller.connection is None:
        drop_connection(caller)
        chosen = gateway or caller.chooser.choice(caller.gateways)
        ask.gateway = chosen[0]
        connect = open_slowly if caller.slow else asyncio.open_connection
        reader, writer = await connect(*chosen)
        caller.connection = (chosen[0], reader, writer)

    ask.gateway, reader, writer = caller.connection
    headers = wire.write_request(ask.request_id, KEYS[ask.workspace][0], BUDGET_SECONDS)
    start = f"POST {ask.path} HTTP/1.1"
    writer.write(write_message(start, {"Host": HOST, **headers}, b"please"))
    ask.read = True
    ask.sent_at = read_clock()
    answer = await read_head(reader)
    if answer is None:
        drop_connection(caller)
        return

    ask.status = answer.status
    ask.signature = wire.read_signature(answer.headers)
    body_reader = slow_down(reader, ask.kind, caller.chooser) if caller.slow else reader
    try:
        await read_body(body_reader, answer)
        ask.whole = True
    finally:
        compare_body(ask, answer)

    if answer.headers.get("connection", "").lower() == "close":
        drop_connection(caller)


def compare_body(ask: Ask, answer: Message) -> None:
    """Note whether a body is the right one, in place of keeping it."""
    ask.size = len(answer.body)
    if not 200 <= ask.status < 300:
        return

    make = make_stream if ask.kind == "stream" else make_body
    expected = make(ask.request_id, ask.path)
    ask.intact = expected.startswith(answer.body)
    if ask.whole:
        ask.intact = expected == answer.body


def drop_connection(caller: Caller) -> None:
    """Close the kept connection."""
    if caller.connection is not None:
        caller.connection[2].transport.abort()
        caller.connection = None
