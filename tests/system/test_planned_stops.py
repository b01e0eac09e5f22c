"""Planned stops of a gateway process whose callers have not read their answers yet."""

from __future__ import annotations

import asyncio
import contextlib
import signal
import tempfile
import unittest
from pathlib import Path
from typing import TYPE_CHECKING
from typing import ClassVar

from bench.soak.http import BrokenMessageError
from bench.soak.http import Message
from bench.soak.http import read_body
from bench.soak.http import read_head
from bench.soak.http import write_message
from bench.soak.operators import HOST
from bench.soak.operators import KEYS
from bench.soak.processes import signal_member
from bench.soak.readers import open_slowly
from bench.soak.records import BUDGET_SECONDS
from bench.soak.records import make_body
from bench.soak.records import make_stream

from waxwingwell_standin import wire

from .stages import open_small_stage


if TYPE_CHECKING:
    from bench.soak.records import Run
    from bench.soak.schedule import Stage


POLL_SECONDS = 0.02
REQUEST = "unread-1"


class PlannedStopsTest(unittest.TestCase):
    """One gateway and one registry; the answer is larger than the kernel's buffers."""

    CASES: ClassVar = {
        "the answer is given before the signal": ("order", "answered"),
        "the answer is given before new connections end": ("order", "running"),
        "the answer is given after new connections ended": ("stream", "running"),
    }

    def test_an_unread_answer_outlasts_the_stop(self) -> None:
        """Story: a caller gets status 200, and its connection ends in mid-answer.

        Its upstream has served the answer to the end, and the gateway holds what the
        caller has not read. The gateway is told to stop, sees no request under way,
        and ends long before it must. Only then the caller reads on.
        """
        for name, (kind, moment) in self.CASES.items():
            with self.subTest(name), tempfile.TemporaryDirectory() as folder:
                path = f"/{kind}/1/big"
                make = make_stream if kind == "stream" else make_body
                body = asyncio.run(play(Path(folder), path, moment))
                self.assertEqual(len(body), len(make(REQUEST, path)))
                self.assertEqual(body, make(REQUEST, path))


async def play(folder: Path, path: str, moment: str) -> bytes:
    """Start the processes, and return what a caller gets of its answer."""
    async with open_small_stage(folder) as stage:
        return await read_late(stage, path, moment)


async def read_late(stage: Stage, path: str, moment: str) -> bytes:
    """Stop the gateway, and read when it has looked for requests under way."""
    gateway = stage.fleet.gateways[0]
    gateway_address = (gateway.record.address, gateway.record.caller_port)
    reader, writer = await open_slowly(*gateway_address)
    writer.write(write_request(path))
    run = await await_run(stage)
    response: Message | None = None
    if moment == "answered":
        response = await read_head(reader)

    signal_member(gateway, signal.SIGTERM)
    response = response or await read_head(reader)
    while run.ended_at == float("inf"):
        await asyncio.sleep(POLL_SECONDS)

    await await_look(gateway_address)
    assert response is not None
    with contextlib.suppress(OSError, BrokenMessageError):
        await read_body(reader, response)

    writer.transport.abort()
    return bytes(response.body)


def write_request(path: str) -> bytes:
    """Return a request in the platform's words."""
    key = next(iter(KEYS.values()))[0]
    headers = wire.write_request(REQUEST, key, BUDGET_SECONDS)
    return write_message(f"POST {path} HTTP/1.1", {"Host": HOST, **headers}, b"please")


async def await_run(stage: Stage) -> Run:
    """Wait until an upstream works on the request."""
    while True:
        for run in stage.journal.runs:
            if run.request_id == REQUEST:
                return run

        await asyncio.sleep(POLL_SECONDS)


async def await_look(gateway_address: tuple[str, int]) -> None:
    """Wait until the stopping gateway closes, or refuses, an idle connection.

    It does so only where it also looks whether requests are under way.
    """
    with contextlib.suppress(OSError):
        reader, writer = await asyncio.open_connection(*gateway_address)
        await reader.read()
        writer.transport.abort()


if __name__ == "__main__":
    unittest.main()
