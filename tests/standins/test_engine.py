"""The stand-in engine streams, resumes, cancels and obeys as the platform does."""

from __future__ import annotations

from typing import Any

import msgspec
import treq

from waxwingwell_standins.engine import Engine
from waxwingwell_standins.engine import start_engine
from waxwingwell_standins.faults import EngineFaults
from waxwingwell_standins.jobs import JobStatus
from waxwingwell_standins.settings import EngineSettings
from waxwingwell_standins.text import make_answer

from .support import AsyncTestCase
from .support import Dropping
from .support import read_cut
from .support import read_json
from .support import send


VERSION = "putter@1"
ASK = {"model": VERSION, "messages": [{"role": "user", "content": "which loft?"}]}
PROMPT = "user: which loft?"
MANY = 200
"""Requests within which a lost connection is noticed."""


def split_events(data: bytes) -> list[tuple[str, bytes]]:
    """Return id and data of each whole event."""
    events = []
    for block in data.split(b"\n\n")[:-1]:
        first, second = block.split(b"\n")
        events.append((first.removeprefix(b"id: ").decode(), second[6:]))

    return events


def join_text(events: list[tuple[str, bytes]]) -> str:
    """Return the text that a stream's events carry."""
    text = ""
    for _, data in events:
        if data != b"[DONE]":
            for choice in msgspec.json.decode(data)["choices"]:
                text += choice["delta"].get("content", "")

    return text


class EngineTest(AsyncTestCase):
    """Each test talks to an engine over loopback."""

    def start(self, **settings: Any) -> Engine:
        engine = start_engine(EngineSettings(versions=(VERSION,), **settings))
        self.addCleanup(engine.stop)
        return engine

    async def test_stream_is_whole(self) -> None:
        engine = self.start()
        ask = {**ASK, "stream": True}
        response = await send(
            "POST", engine.url + "/v1/chat/completions", ask, X_Request_Id="r-1"
        )
        events = split_events(await treq.content(response))
        count = len(make_answer(VERSION, PROMPT, 0))
        self.assertEqual(join_text(events), "".join(make_answer(VERSION, PROMPT, 0)))
        self.assertEqual(
            [name for name, _ in events], [f"r-1:{n}" for n in range(1, count + 4)]
        )
        self.assertEqual(
            msgspec.json.decode(events[-2][1])["usage"]["completion_tokens"], count
        )
        self.assertEqual(events[-1][1], b"[DONE]")
        self.assertEqual(engine.runs, {"r-1": 1})

    async def test_whole_answer(self) -> None:
        engine = self.start()
        ask = {**ASK, "max_tokens": 3}
        response = await send("POST", engine.url + "/v1/chat/completions", ask)
        body = await read_json(response)
        self.assertEqual(
            body["choices"][0]["message"]["content"],
            "".join(make_answer(VERSION, PROMPT, 3)),
        )
        self.assertEqual(body["choices"][0]["finish_reason"], "length")

    async def test_resume_after_a_cut(self) -> None:
        """A stream cut after event 4 goes on from event 5 on a new connection."""
        engine = self.start(
            token_interval=0.002, faults=EngineFaults(times=1, drop_after=4)
        )
        ask = {**ASK, "stream": True}
        cut = await send(
            "POST", engine.url + "/v1/chat/completions", ask, X_Request_Id="r-2"
        )
        first = split_events(await read_cut(cut))
        resumed = await send("GET", engine.url + "/v1/streams/r-2?after=4")
        second = split_events(await treq.content(resumed))
        self.assertEqual([name for name, _ in first], [f"r-2:{n}" for n in range(1, 5)])
        self.assertEqual(
            join_text(first + second), "".join(make_answer(VERSION, PROMPT, 0))
        )
        self.assertEqual(engine.runs, {"r-2": 1})

    async def test_resume_after_silence(self) -> None:
        """A connection goes silent after event 2 and stays open; a new one works."""
        engine = self.start(faults=EngineFaults(times=1, silent_after=2))
        ask = {**ASK, "stream": True}
        url = engine.url + "/v1/chat/completions"
        silent = await send("POST", url, ask, X_Request_Id="r-4")
        parts: list[bytes] = []
        over = treq.collect(silent, parts.append)
        over.addErrback(lambda _: None)
        resumed = await send("GET", engine.url + "/v1/streams/r-4?after=2")
        second = split_events(await treq.content(resumed))
        self.assertFalse(over.called)
        first = split_events(b"".join(parts))
        self.assertEqual([name for name, _ in first], ["r-4:1", "r-4:2"])
        self.assertEqual(
            join_text(first + second), "".join(make_answer(VERSION, PROMPT, 0))
        )

    async def test_caller_gone_without_resume(self) -> None:
        """An engine that can't resume stops when its caller has gone."""
        engine = self.start(token_interval=10.0, resume=False)
        ask = {**ASK, "stream": True}
        url = engine.url + "/v1/chat/completions"
        response = await send("POST", url, ask, X_Request_Id="r-5")
        response.deliverBody(Dropping())
        for _ in range(MANY):
            await treq.content(await send("GET", engine.url + "/v1/load"))
            if not engine.tables.running:
                break

        self.assertEqual(engine.tables.jobs["r-5"].status, JobStatus.CANCELLED)

    async def test_cancel_ends_the_run(self) -> None:
        engine = self.start(token_interval=10.0)
        ask = {**ASK, "stream": True}
        response = await send(
            "POST", engine.url + "/v1/chat/completions", ask, X_Request_Id="r-3"
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
                    {**ASK, "stream": True, "max_tokens": 1},
                    X_Request_Id="r",
                )
                events = split_events(await treq.content(response))
                self.assertEqual([name for name, _ in events], expected)

    async def test_refusal_does_not_run(self) -> None:
        engine = self.start(faults=EngineFaults(times=1, refuse=True))
        refused = await send("POST", engine.url + "/v1/chat/completions", ASK)
        self.assertEqual(refused.code, 503)
        self.assertEqual(refused.headers.getRawHeaders("X-Outcome"), ["not_run"])
        await treq.content(refused)
        self.assertEqual(engine.runs, {})

    async def test_bad_requests(self) -> None:
        cases: tuple[tuple[str, object, int], ...] = (
            ("no model", {"messages": []}, 400),
            ("unknown version", {**ASK, "model": "driver@9"}, 404),
            ("not an object", [1], 400),
        )
        engine = self.start()
        for name, body, status in cases:
            with self.subTest(name):
                answer = await send("POST", engine.url + "/v1/chat/completions", body)
                error = (await read_json(answer))["error"]
                self.assertEqual(answer.code, status)
                self.assertTrue(error["message"])

        lost = await send("GET", engine.url + "/v1/streams/unknown")
        await treq.content(lost)
        self.assertEqual(lost.code, 404)

    async def test_fencing(self) -> None:
        """A leader behind a partition sends an old order after the new leader's."""
        for checks, status, versions in (
            (True, 409, ["new@2"]),
            (False, 200, ["old@1"]),
        ):
            with self.subTest(checks=checks):
                engine = self.start(checks_fencing=checks)
                for fencing, version in ((7, "new@2"), (6, "old@1")):
                    order = {"fencing": fencing, "versions": [version]}
                    answer = await send(
                        "PUT",
                        engine.url + "/v1/versions",
                        order,
                        X_Fencing=str(fencing),
                    )
                    await treq.content(answer)

                shown = await send("GET", engine.url + "/v1/versions")
                body = await read_json(shown)
                self.assertEqual(answer.code, status)
                self.assertEqual(body["versions"], versions)
                self.assertEqual(body["fencing"], 7)
