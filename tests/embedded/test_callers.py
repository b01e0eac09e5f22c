"""Requests of callers end to end: valid ones succeed, invalid ones get clear errors."""

from __future__ import annotations

import socket
from typing import Any

from openai import OpenAI
from twisted.internet.threads import deferToThread

from tests.standins.support import read_json
from tests.standins.support import read_until_closed
from waxwingwell.embedded.workspace import DEMO_KEY

from .support import CHAT
from .support import EmbeddedTestCase
from .support import make_chat


INVALID_REQUESTS: tuple[tuple[str, str, str, Any, dict[str, str], int, str], ...] = (
    ("no key", "POST", CHAT, make_chat(), {"Authorization": ""}, 401, "missing_key"),
    (
        "wrong key",
        "POST",
        CHAT,
        make_chat(),
        {"Authorization": "Bearer x"},
        401,
        "invalid_api_key",
    ),
    ("no messages", "POST", CHAT, {}, {}, 400, "invalid_request"),
    (
        "unknown model",
        "POST",
        CHAT,
        make_chat(model="gpt"),
        {},
        404,
        "model_not_found",
    ),
    ("unknown kind", "POST", CHAT, make_chat(kind="poem"), {}, 400, "unknown_kind"),
    (
        "body too large",
        "POST",
        CHAT,
        make_chat(pad="x" * 5_000_000),
        {},
        413,
        "body_too_large",
    ),
    (
        "long key",
        "POST",
        CHAT,
        make_chat(),
        {"Idempotency-Key": "k" * 300},
        400,
        "key_too_long",
    ),
    ("unknown path", "GET", "/v2/nothing", None, {}, 404, "unknown_path"),
    (
        "unknown service",
        "GET",
        "/v1/services/taxi/rides",
        None,
        {},
        404,
        "unknown_service",
    ),
    (
        "method not allowed",
        "DELETE",
        "/v1/services/bookings/orders/1",
        None,
        {},
        403,
        "call_not_allowed",
    ),
)


class CallerTest(EmbeddedTestCase):
    """The callers' API, tested over HTTP."""

    async def test_invalid_requests_get_errors(self) -> None:
        for name, method, path, body, headers, status, code in INVALID_REQUESTS:
            with self.subTest(name):
                response = await self.call(path, body, method=method, **headers)
                self.assertEqual(response.code, status)
                error = (await read_json(response))["error"]
                self.assertEqual(error["code"], code)
                self.assertEqual(error["outcome"], "not_run")

    async def test_incomplete_request_affects_no_other(self) -> None:
        with socket.create_connection(("127.0.0.1", self.system.port)) as connection:
            connection.sendall(b"POST /v1/chat/completions HTTP/1.1\r\ncontent-le")
            response = await self.call(CHAT, make_chat())
            self.assertEqual(response.code, 200)

    async def test_header_flood_is_refused(self) -> None:
        headers = {f"x_{number}": "y" * 100 for number in range(600)}
        response = await self.call(CHAT, make_chat(), **headers)
        self.assertEqual(response.code, 400)
        await read_until_closed(response)
        response = await self.call(CHAT, make_chat())
        self.assertEqual(response.code, 200)

    async def test_openai_client_works_unchanged(self) -> None:
        client = OpenAI(base_url=f"{self.base}/v1", api_key=DEMO_KEY)
        messages: Any = [{"role": "user", "content": "which loft?"}]

        def call_api() -> tuple[list[str], str, str]:
            models = [model.id for model in client.models.list()]
            complete = client.chat.completions.create(
                model="auto", messages=messages, max_tokens=5
            )
            chunks = client.chat.completions.create(
                model="large@1", messages=messages, max_tokens=5, stream=True
            )
            text = "".join(
                chunk.choices[0].delta.content or ""
                for chunk in chunks
                if chunk.choices
            )
            return models, complete.choices[0].message.content or "", text

        models, complete, streamed = await deferToThread(call_api)
        self.assertIn("large@1", models)
        self.assertEqual(len(complete.split()), 5)
        self.assertEqual(len(streamed.split()), 5)

    async def test_order_under_one_key_runs_once(self) -> None:
        # A client whose connection drops after sending an order retries with the same
        # idempotency key. The order must run once, and all responses must be the same.
        bodies = []
        for _ in range(3):
            response = await self.call(
                "/v1/services/bookings/orders",
                {"id": "o-1", "club": "putter"},
                Idempotency_Key="key-1",
            )
            bodies.append(await read_until_closed(response))

        self.assertEqual(len(set(bodies)), 1)
        self.assertEqual(self.system.fleet.service.executions["o-1"], 1)

    async def test_key_reused_for_another_request_is_refused(self) -> None:
        path = "/v1/services/bookings/orders"
        await self.call(path, {"id": "o-2"}, Idempotency_Key="key-2")
        response = await self.call(path, {"id": "o-3"}, Idempotency_Key="key-2")
        self.assertEqual(response.code, 422)
        self.assertNotIn("o-3", self.system.fleet.service.executions)

    async def test_keyed_chat_is_replayed(self) -> None:
        first = await self.call(CHAT, make_chat(), Idempotency_Key="chat-1")
        complete = await read_until_closed(first)
        retry = await self.call(CHAT, make_chat(), Idempotency_Key="chat-1")
        self.assertEqual(await read_until_closed(retry), complete)

    async def test_health(self) -> None:
        for path in ("/healthz", "/readyz"):
            response = await self.call(path, method="GET")
            self.assertEqual(response.code, 200)
