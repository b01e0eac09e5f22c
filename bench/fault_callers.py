"""Callers for the run under faults: each keeps what it saw, to be checked later."""

from __future__ import annotations

import asyncio
import json
import random
import time
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import Any

from scripts.launcher import HOST
from scripts.topology import CALLER_KEY
from scripts.topology import SERVICE

from waxwingwell_standins.text import ChatMessage
from waxwingwell_standins.text import make_answer
from waxwingwell_standins.text import read_prompt


LIMIT = 30.0
"""Seconds after which a caller counts its request as lost."""
TRIES = 8
PAUSE = 0.25
"""Seconds between two tries of one caller."""
DOUBLE_SHARE = 0.05
"""Share of orders that go to two entries at once under one key."""
MAX_TOKENS = 12


class Kind(StrEnum):
    """What a caller sends."""

    STREAM = "stream"
    WHOLE = "whole"
    ORDER = "order"


@dataclass(slots=True)
class Attempt:
    """One try of a request, as its caller saw it."""

    entry: str
    began: float
    ended: float = 0.0
    status: int = 0
    """0 stands for a connection that was lost."""
    request: str = ""
    outcome: str = ""
    code: str = ""
    body: bytes = b""
    version: str = ""
    timed_out: bool = False


@dataclass(slots=True)
class Call:
    """One request of a caller with all its tries."""

    kind: Kind
    name: str
    key: str
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def prompt(self) -> str:
        """Prompt, or the order's own id."""
        return self.name


async def run_call(ports: dict[str, int], call: Call, chooser: random.Random) -> None:
    """Send a request until its caller has an end, as a good client would.

    A request with a key is sent again by that key; one without only when it was told
    that nothing had run. A request that is cut counts as ended for a caller without.
    """
    entries = sorted(ports)
    if call.kind is Kind.ORDER and chooser.random() < DOUBLE_SHARE:
        pair = chooser.sample(entries, 2)
        await asyncio.gather(*(try_call(ports, entry, call) for entry in pair))
        if any(attempt.status == 201 for attempt in call.attempts):
            return

    for _ in range(TRIES):
        attempt = await try_call(ports, chooser.choice(entries), call)
        if not may_resend(call, attempt):
            return

        await asyncio.sleep(PAUSE)


def may_resend(call: Call, attempt: Attempt) -> bool:
    """Tell whether the caller sends its request again."""
    if attempt.timed_out:
        return False

    if attempt.code == "key_in_use" or attempt.outcome == "not_run":
        return attempt.status in (409, 429, 503)

    return attempt.status == 0 and bool(call.key)


async def try_call(ports: dict[str, int], entry: str, call: Call) -> Attempt:
    """Send a request once; what happens is noted, never raised."""
    attempt = Attempt(entry, time.monotonic())
    call.attempts.append(attempt)
    try:
        async with asyncio.timeout(LIMIT):
            data = await exchange(ports[entry], make_bytes(call))
            read_reply(attempt, data)
    except TimeoutError:
        attempt.timed_out = True
    except (OSError, ValueError):
        attempt.status = 0

    attempt.ended = time.monotonic()
    return attempt


async def exchange(port: int, request: bytes) -> bytes:
    """Send bytes on a new connection and return all that comes until it closes."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(request)
        return await reader.read(-1)
    finally:
        writer.transport.abort()


def make_bytes(call: Call) -> bytes:
    """Return a request as it goes over the wire."""
    path = f"/v1/services/{SERVICE}/orders"
    body: dict[str, Any] = {"id": call.name}
    if call.kind is not Kind.ORDER:
        path = "/v1/chat/completions"
        body = {
            "messages": [{"role": "user", "content": call.prompt}],
            "stream": call.kind is Kind.STREAM,
            "max_tokens": MAX_TOKENS,
        }

    data = json.dumps(body).encode()
    key = f"idempotency-key: {call.key}\r\n" if call.key else ""
    head = (
        f"POST {path} HTTP/1.1\r\nhost: {HOST}\r\nconnection: close\r\n"
        f"authorization: Bearer {CALLER_KEY}\r\n{key}"
        f"content-type: application/json\r\ncontent-length: {len(data)}\r\n\r\n"
    )
    return head.encode() + data


def read_reply(attempt: Attempt, data: bytes) -> None:
    """Note status, headers and body; ``ValueError`` if the reply is not whole."""
    head, mark, body = data.partition(b"\r\n\r\n")
    if not mark:
        raise ValueError("cut before the body")

    lines = head.decode().split("\r\n")
    fields = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    attempt.request = fields.get("x-request-id", "")
    if fields.get("transfer-encoding") == "chunked":
        body = read_chunks(body)
    elif len(body) != int(fields.get("content-length", "-1")):
        raise ValueError("cut in the body")

    attempt.status = int(lines[0].split()[1])
    attempt.outcome = fields.get("x-outcome", "")
    attempt.version = fields.get("x-version", "")
    attempt.body = body
    if attempt.status >= 400:
        attempt.code = str(json.loads(body)["error"]["code"])


def read_chunks(data: bytes) -> bytes:
    """Return the body of a chunked reply; ``ValueError`` if it has no end."""
    parts: list[bytes] = []
    while True:
        size, mark, rest = data.partition(b"\r\n")
        if not mark:
            raise ValueError("cut between chunks")

        length = int(size, 16)
        if length == 0:
            return b"".join(parts)

        if len(rest) < length + 2:
            raise ValueError("cut in a chunk")

        parts.append(rest[:length])
        data = rest[length + 2 :]


def make_text(version: str, prompt: str) -> str:
    """Return the answer that a version gives to a caller's prompt."""
    text = read_prompt([ChatMessage(role="user", content=prompt)])
    return "".join(make_answer(version, text, MAX_TOKENS))


async def run_traffic(
    ports: dict[str, int], *, seconds: float, rate: float, seed: int
) -> list[Call]:
    """Send requests at a steady rate, whatever becomes of them; return all."""
    chooser = random.Random(seed)
    calls: list[Call] = []
    tasks = []
    began = time.monotonic()
    while (now := time.monotonic()) < began + seconds:
        while len(calls) < (now - began) * rate:
            call = make_call(chooser, seed, len(calls))
            calls.append(call)
            own = random.Random(chooser.random())
            tasks.append(asyncio.create_task(run_call(ports, call, own)))

        await asyncio.sleep(0.005)

    await asyncio.gather(*tasks)
    return calls


def make_call(chooser: random.Random, seed: int, number: int) -> Call:
    """Return the next request: 2 in 5 stream, 2 in 5 whole, 1 in 5 an order."""
    kind = chooser.choice(
        (Kind.STREAM, Kind.STREAM, Kind.WHOLE, Kind.WHOLE, Kind.ORDER)
    )
    name = f"{kind}-{seed}-{number}"
    keyed = kind is Kind.ORDER or chooser.random() < 0.5
    return Call(kind, name, f"key-{name}" if keyed else "")
