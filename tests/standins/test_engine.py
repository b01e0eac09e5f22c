"""Tests that the stand-in engine behaves like the engines of the platform.

Covers streams, resume, cancel, injected faults and load orders.
"""

from __future__ import annotations

from typing import Any

import msgspec
import treq

from waxwingwell_standins.engine import Engine
from waxwingwell_standins.engine import start_engine
from waxwingwell_standins.faults import EngineFaults
from waxwingwell_standins.jobs import JobStatus
from waxwingwell_standins.settings import EngineSettings
from waxwingwell_standins.text import generate_tokens

from .support import AsyncTestCase
from .support import DisconnectingProtocol
from .support import read_json
from .support import read_until_closed
from .support import send


VERSION = "putter@1"
CHAT_REQUEST = {
    "model": VERSION,
    "messages": [{"role": "user", "content": "which loft?"}],
}
PROMPT = "user: which loft?"
MAX_POLLS = 200
"""Requests within which the engine must detect a lost connection."""


def split_events(data: bytes) -> list[tuple[str, bytes]]:
    """Return the id and data of each complete event."""
    events = []
    for block in data.split(b"\n\n")[:-1]:
        first, second = block.split(b"\n")
        events.append((first.removeprefix(b"id: ").decode(), second[6:]))

    return events


def join_text(events: list[tuple[str, bytes]]) -> str:
    """Return the text of the events of a stream."""
    text = ""
    for _, data in events:
        if data != b"[DONE]":
            for choice in msgspec.json.decode(data)["choices"]:
                text += choice["delta"].get("content", "")

    return text


class EngineTest(AsyncTestCase):
    """Each test sends requests to an engine over loopback."""

    def start(self, **settings: Any) -> Engine:
        engine = start_engine(EngineSettings(versions=(VERSION,), **settings))
        self.addCleanup(engine.stop)
        return engine

    async def test_stream_is_complete(self) -> None:
        engine = self.start()
        chat_request = {**CHAT_REQUEST, "stream": True}
        response = await send(
            "POST",
            engine.url + "/v1/chat/completions",
            chat_request,
            X_Request_Id="r-1",
        )
        events = split_events(await treq.content(response))
        count = len(generate_tokens(VERSION, PROMPT, 0))
        self.assertEqual(
            join_text(events), "".join(generate_tokens(VERSION, PROMPT, 0))
        )
        self.assertEqual(
            [name for name, _ in events], [f"r-1:{n}" for n in range(1, count + 4)]
        )
        self.assertEqual(
            msgspec.json.decode(events[-2][1])["usage"]["completion_tokens"], count
        )
        self.assertEqual(events[-1][1], b"[DONE]")
        self.assertEqual(engine.runs, {"r-1": 1})

    async def test_non_streaming_response(self) -> None:
        engine = self.start()
        chat_request = {**CHAT_REQUEST, "max_tokens": 3}
        response = await send("POST", engine.url + "/v1/chat/completions", chat_request)
        body = await read_json(response)
        self.assertEqual(
            body["choices"][0]["message"]["content"],
            "".join(generate_tokens(VERSION, PROMPT, 3)),
        )
        self.assertEqual(body["choices"][0]["finish_reason"], "length")

    async def test_resume_after_dropped_connection(self) -> None:
        """A stream aborted after event 4 resumes from event 5 on a new connection."""
        engine = self.start(
            token_interval=0.002, faults=EngineFaults(times=1, drop_after=4)
        )
        chat_request = {**CHAT_REQUEST, "stream": True}
        dropped = await send(
            "POST",
            engine.url + "/v1/chat/completions",
            chat_request,
            X_Request_Id="r-2",
        )
        first = split_events(await read_until_closed(dropped))
        resumed = await send("GET", engine.url + "/v1/streams/r-2?after=4")
        second = split_events(await treq.content(resumed))
        self.assertEqual([name for name, _ in first], [f"r-2:{n}" for n in range(1, 5)])
        self.assertEqual(
            join_text(first + second), "".join(generate_tokens(VERSION, PROMPT, 0))
        )
        self.assertEqual(engine.runs, {"r-2": 1})

    async def test_resume_after_unresponsive_connection(self) -> None:
        """A connection stays open but idle after event 2; a new one can resume."""
        engine = self.start(faults=EngineFaults(times=1, silent_after=2))
        chat_request = {**CHAT_REQUEST, "stream": True}
        url = engine.url + "/v1/chat/completions"
        unresponsive = await send("POST", url, chat_request, X_Request_Id="r-4")
        parts: list[bytes] = []
        finished = treq.collect(unresponsive, parts.append)
        finished.addErrback(lambda _: None)
        resumed = await send("GET", engine.url + "/v1/streams/r-4?after=2")
        second = split_events(await treq.content(resumed))
        self.assertFalse(finished.called)
        first = split_events(b"".join(parts))
        self.assertEqual([name for name, _ in first], ["r-4:1", "r-4:2"])
        self.assertEqual(
            join_text(first + second), "".join(generate_tokens(VERSION, PROMPT, 0))
        )

    async def test_job_cancelled_when_caller_disconnects(self) -> None:
        """An engine without resume cancels the job when the caller disconnects."""
        engine = self.start(token_interval=10.0, resume=False)
        chat_request = {**CHAT_REQUEST, "stream": True}
        url = engine.url + "/v1/chat/completions"
        response = await send("POST", url, chat_request, X_Request_Id="r-5")
        response.deliverBody(DisconnectingProtocol())
        for _ in range(MAX_POLLS):
            await treq.content(await send("GET", engine.url + "/v1/load"))
            if not engine.tables.running:
                break

        self.assertEqual(engine.tables.jobs["r-5"].status, JobStatus.CANCELLED)

    async def test_cancel_ends_run(self) -> None:
        engine = self.start(token_interval=10.0)
        chat_request = {**CHAT_REQUEST, "stream": True}
        response = await send(
            "POST",
            engine.url + "/v1/chat/completions",
            chat_request,
            X_Request_Id="r-3",
        )
        cancelled = await send("DELETE", engine.url + "/v1/streams/r-3")
        body = await read_json(cancelled)
        self.assertEqual(body["status"], "cancelled")
        self.assertEqual(await treq.content(response), b"")
        self.assertEqual(engine.tables.running, [])

    async def test_faults(self) -> None:
        cases: tuple[tuple[str, EngineFaults, list[str]], ...] = (
            ("other id", EngineFaults(answer_as="x"), ["x:1", "x:2", "x:3", "x:4"]),
            (
                "duplicate",
                EngineFaults(duplicate_every=2),
                ["r:1", "r:2", "r:2", "r:3", "r:4", "r:4"],
            ),
            ("reorder", EngineFaults(reorder_every=2), ["r:1", "r:3", "r:2", "r:4"]),
        )
        engine = self.start()
        for name, faults, expected in cases:
            with self.subTest(name):
                engine.faults = faults
                response = await send(
                    "POST",
                    engine.url + "/v1/chat/completions",
                    {**CHAT_REQUEST, "stream": True, "max_tokens": 1},
                    X_Request_Id="r",
                )
                events = split_events(await treq.content(response))
                self.assertEqual([name for name, _ in events], expected)

    async def test_refusal_does_not_run(self) -> None:
        engine = self.start(faults=EngineFaults(times=1, refuse=True))
        refused = await send("POST", engine.url + "/v1/chat/completions", CHAT_REQUEST)
        self.assertEqual(refused.code, 503)
        self.assertEqual(refused.headers.getRawHeaders("X-Outcome"), ["not_run"])
        await treq.content(refused)
        self.assertEqual(engine.runs, {})

    async def test_bad_requests(self) -> None:
        cases: tuple[tuple[str, object, int], ...] = (
            ("no model", {"messages": []}, 400),
            ("unknown version", {**CHAT_REQUEST, "model": "driver@9"}, 404),
            ("not an object", [1], 400),
        )
        engine = self.start()
        for name, body, status in cases:
            with self.subTest(name):
                response = await send("POST", engine.url + "/v1/chat/completions", body)
                error = (await read_json(response))["error"]
                self.assertEqual(response.code, status)
                self.assertTrue(error["message"])

        missing = await send("GET", engine.url + "/v1/streams/unknown")
        await treq.content(missing)
        self.assertEqual(missing.code, 404)

    async def test_fencing(self) -> None:
        """A partitioned leader sends an outdated order after that of the new leader."""
        for checks, status, versions in (
            (True, 409, ["new@2"]),
            (False, 200, ["old@1"]),
        ):
            with self.subTest(checks=checks):
                engine = self.start(checks_fencing=checks)
                for fencing, version in ((7, "new@2"), (6, "old@1")):
                    order = {"fencing": fencing, "versions": [version]}
                    response = await send(
                        "PUT",
                        engine.url + "/v1/versions",
                        order,
                        X_Fencing=str(fencing),
                    )
                    await treq.content(response)

                shown = await send("GET", engine.url + "/v1/versions")
                body = await read_json(shown)
                self.assertEqual(response.code, status)
                self.assertEqual(body["versions"], versions)
                self.assertEqual(body["fencing"], 7)
