"""A caller of the demo: small HTTP calls with a key."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
import treq
from twisted.web.http_headers import Headers

from ..embedded.workspace import DEMO_KEY
from ..embedded.workspace import OPERATOR_KEY


@dataclass(frozen=True, slots=True)
class Answer:
    """What came back, as far as the tour looks at it."""

    status: int
    version: str
    outcome: str
    retry_after: str
    body: bytes

    def read_json(self) -> Any:
        """Return the decoded body."""
        return msgspec.json.decode(self.body)


async def send_chat(
    port: int,
    prompt: str,
    *,
    stream: bool = False,
    session: str = "",
    kind: str = "",
    model: str = "auto",
) -> Answer:
    """Send a chat to the callers' API."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
        "max_tokens": 12,
        "session": session,
        "kind": kind,
    }
    return await _send(port, "POST", "/v1/chat/completions", body=body)


async def send_order(port: int, key: str, order: str) -> Answer:
    """Send a club order, which must not run twice."""
    return await _send(
        port,
        "POST",
        "/v1/services/bookings/orders",
        body={"id": order, "club": "driver"},
        key=key,
    )


async def read_admin(port: int, path: str) -> Any:
    """Return a view of the administration API."""
    answer = await _send(port, "GET", path, secret=OPERATOR_KEY)
    return answer.read_json()


async def send_change(port: int, change: Any) -> Answer:
    """Send a change to the administration API."""
    body = msgspec.to_builtins(change)
    return await _send(
        port, "POST", "/admin/v1/commands", body=body, secret=OPERATOR_KEY
    )


async def _send(
    port: int,
    method: str,
    path: str,
    *,
    body: Any = None,
    key: str = "",
    secret: str = DEMO_KEY,
) -> Answer:
    headers = {"Authorization": f"Bearer {secret}", "Content-Type": "application/json"}
    if key:
        headers["Idempotency-Key"] = key

    response: Any = await treq.request(
        method,
        f"http://127.0.0.1:{port}{path}",
        headers=Headers({name: [value] for name, value in headers.items()}),
        data=None if body is None else msgspec.json.encode(body),
    )
    data = await treq.content(response)

    def read(name: str) -> str:
        values = response.headers.getRawHeaders(name)
        return str(values[0]) if values else ""

    return Answer(
        status=response.code,
        version=read("x-version"),
        outcome=read("x-outcome"),
        retry_after=read("retry-after"),
        body=data,
    )
