"""The operator of the soak: publishes documents, and reads the newest back."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from waxwingwell_standin import wire

from .http import BrokenMessageError
from .http import Message
from .http import read_body
from .http import read_head
from .http import write_message
from .records import Journal
from .records import read_clock


if TYPE_CHECKING:
    import random


HOST = "soak.example"
ANSWER_SECONDS = 1.0
PUBLISH_SECONDS = 20.0
"""Bound of the tries for one document: longer than any fault lasts."""
ROUTES = (
    wire.RouteRecord(prefix="/stream/", kind="stream", service="chat"),
    wire.RouteRecord(prefix="/order/", kind="once", service="desk"),
    wire.RouteRecord(prefix="/read/", kind="idempotent", service="desk"),
)
KEYS = {"team-a": ["key-a"], "team-b": ["key-b"]}


async def send_order(
    control: tuple[str, int], method: str, path: str, body: bytes = b""
) -> Message | None:
    """Call a control; None if it doesn't answer in time."""
    try:
        async with asyncio.timeout(ANSWER_SECONDS):
            reader, writer = await asyncio.open_connection(*control)
            try:
                start = f"{method} {path} HTTP/1.1"
                writer.write(write_message(start, {"Host": HOST}, body))
                answer = await read_head(reader)
                if answer is not None:
                    await read_body(reader, answer)
            finally:
                writer.transport.abort()
    except (OSError, BrokenMessageError, TimeoutError):
        return None

    return answer


def make_document(version: int) -> bytes:
    """Return a document; each version has one route of its own beside the lasting."""
    own = wire.RouteRecord(prefix=f"/own-{version}/", kind="idempotent", service="desk")
    return wire.write_document(version, HOST, [*ROUTES, own], KEYS)


async def publish(
    journal: Journal,
    controls: tuple[tuple[str, int], ...],
    chooser: random.Random,
    version: int,
) -> bool:
    """Send a document to one control after the other until it is acknowledged."""
    body = make_document(version)
    journal.sent[version] = body
    deadline = read_clock() + PUBLISH_SECONDS
    while read_clock() < deadline:
        answer = await send_order(
            chooser.choice(controls), "PUT", wire.DOCUMENT_PATH, body
        )
        if answer is not None and answer.status == 200:
            journal.accepted.append((read_clock(), version))
            return True

        if answer is not None and 400 <= answer.status < 500:
            journal.wrong.append(
                f"document {version} was refused: {bytes(answer.body)!r}"
            )
            return False

        await asyncio.sleep(0.1)

    return False


async def read_newest(journal: Journal, control: tuple[str, int]) -> int | None:
    """Read the newest document from one control, and note its version."""
    sent_at = read_clock()
    answer = await send_order(control, "GET", wire.DOCUMENT_PATH)
    if answer is None or answer.status != 200:
        return None

    version = wire.read_version(bytes(answer.body))
    journal.read_back.append((sent_at, version))
    if bytes(answer.body) != journal.sent.get(version):
        journal.wrong.append(f"document {version} is read back with other content")

    return version


async def look_forever(
    journal: Journal, controls: tuple[tuple[str, int], ...], chooser: random.Random
) -> None:
    """Read the newest document now and then, from any control."""
    while True:
        await read_newest(journal, chooser.choice(controls))
        await asyncio.sleep(0.3)
