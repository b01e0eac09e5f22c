"""Callers of the fault benchmark; they record each attempt for later checks."""

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
from waxwingwell_standins.text import generate_tokens
from waxwingwell_standins.text import join_messages


CALLER_TIMEOUT_SECONDS = 30.0
"""Seconds after which a caller counts its request as lost."""
MAX_ATTEMPTS = 8
RETRY_PAUSE_SECONDS = 0.25
"""Seconds between two attempts of one caller."""
DUPLICATE_SHARE = 0.05
"""Share of orders that are sent to two entries at once under one key."""
MAX_TOKENS = 12


class Kind(StrEnum):
    """Kind of a request."""

    STREAM = "stream"
    COMPLETE = "whole"
    ORDER = "order"


@dataclass(slots=True)
class Attempt:
    """One attempt of a request, as its caller observed it."""

    entry: str
    started_at: float
    ended_at: float = 0.0
    status: int = 0
    """HTTP status; 0 if the connection was lost."""
    request: str = ""
    outcome: str = ""
    code: str = ""
    body: bytes = b""
    version: str = ""
    timed_out: bool = False


@dataclass(slots=True)
class Call:
    """One request of a caller with all its attempts."""

    kind: Kind
    name: str
    key: str
    attempts: list[Attempt] = field(default_factory=list)

    @property
    def prompt(self) -> str:
        """Text of the prompt, the same as the request's name."""
        return self.name


async def run_call(ports: dict[str, int], call: Call, rng: random.Random) -> None:
    """Send a request and retry it as a correct client would.

    A request with a key is retried under that key. A request without a key is retried
    only if the response states that nothing was executed; if its connection is lost,
    the caller gives up.
    """
    entries = sorted(ports)
    if call.kind is Kind.ORDER and rng.random() < DUPLICATE_SHARE:
        pair = rng.sample(entries, 2)
        await asyncio.gather(*(send_attempt(ports, entry, call) for entry in pair))
        if any(attempt.status == 201 for attempt in call.attempts):
            return

    for _ in range(MAX_ATTEMPTS):
        attempt = await send_attempt(ports, rng.choice(entries), call)
        if not may_retry(call, attempt):
            return

        await asyncio.sleep(RETRY_PAUSE_SECONDS)


def may_retry(call: Call, attempt: Attempt) -> bool:
    """Return whether the caller retries its request after this attempt."""
    if attempt.timed_out:
        return False

    if attempt.code == "key_in_use" or attempt.outcome == "not_run":
        return attempt.status in (409, 429, 503)

    return attempt.status == 0 and bool(call.key)


async def send_attempt(ports: dict[str, int], entry: str, call: Call) -> Attempt:
    """Send a request once; record the result, errors too, in the attempt."""
    attempt = Attempt(entry, time.monotonic())
    call.attempts.append(attempt)
    try:
        async with asyncio.timeout(CALLER_TIMEOUT_SECONDS):
            data = await exchange(ports[entry], encode_request(call))
            parse_response(attempt, data)
    except TimeoutError:
        attempt.timed_out = True
    except (OSError, ValueError):
        attempt.status = 0

    attempt.ended_at = time.monotonic()
    return attempt


async def exchange(port: int, request: bytes) -> bytes:
    """Send bytes on a new connection; return all bytes until the peer closes it."""
    reader, writer = await asyncio.open_connection(HOST, port)
    try:
        writer.write(request)
        return await reader.read(-1)
    finally:
        writer.transport.abort()


def encode_request(call: Call) -> bytes:
    """Return the bytes of a request."""
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


def parse_response(attempt: Attempt, data: bytes) -> None:
    """Record status, headers and body; ``ValueError`` if the response is truncated."""
    head, separator, body = data.partition(b"\r\n\r\n")
    if not separator:
        raise ValueError("response truncated before the body")

    lines = head.decode().split("\r\n")
    headers = dict(line.lower().split(": ", 1) for line in lines[1:] if ": " in line)
    attempt.request = headers.get("x-request-id", "")
    if headers.get("transfer-encoding") == "chunked":
        body = decode_chunks(body)
    elif len(body) != int(headers.get("content-length", "-1")):
        raise ValueError("response truncated in the body")

    attempt.status = int(lines[0].split()[1])
    attempt.outcome = headers.get("x-outcome", "")
    attempt.version = headers.get("x-version", "")
    attempt.body = body
    if attempt.status >= 400:
        attempt.code = str(json.loads(body)["error"]["code"])


def decode_chunks(data: bytes) -> bytes:
    """Return the body of a chunked response; ``ValueError`` if it is truncated."""
    parts: list[bytes] = []
    while True:
        size, separator, rest = data.partition(b"\r\n")
        if not separator:
            raise ValueError("response truncated between chunks")

        length = int(size, 16)
        if length == 0:
            return b"".join(parts)

        if len(rest) < length + 2:
            raise ValueError("response truncated within a chunk")

        parts.append(rest[:length])
        data = rest[length + 2 :]


def make_expected_text(version: str, prompt: str) -> str:
    """Return the text with which a version must respond to a prompt."""
    text = join_messages([ChatMessage(role="user", content=prompt)])
    return "".join(generate_tokens(version, text, MAX_TOKENS))


async def run_traffic(
    ports: dict[str, int], *, seconds: float, rate: float, seed: int
) -> list[Call]:
    """Send requests at a fixed rate, independent of responses; return all calls."""
    rng = random.Random(seed)
    calls: list[Call] = []
    tasks = []
    started_at = time.monotonic()
    while (now := time.monotonic()) < started_at + seconds:
        while len(calls) < (now - started_at) * rate:
            call = make_call(rng, seed, len(calls))
            calls.append(call)
            call_rng = random.Random(rng.random())
            tasks.append(asyncio.create_task(run_call(ports, call, call_rng)))

        await asyncio.sleep(0.005)

    await asyncio.gather(*tasks)
    return calls


def make_call(rng: random.Random, seed: int, number: int) -> Call:
    """Return a random request: 2 in 5 streams, 2 in 5 complete, 1 in 5 an order."""
    kind = rng.choice(
        (Kind.STREAM, Kind.STREAM, Kind.COMPLETE, Kind.COMPLETE, Kind.ORDER)
    )
    name = f"{kind}-{seed}-{number}"
    keyed = kind is Kind.ORDER or rng.random() < 0.5
    return Call(kind, name, f"key-{name}" if keyed else "")
