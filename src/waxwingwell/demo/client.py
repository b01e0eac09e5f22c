"""HTTP client of the demo for the callers' and the administration API."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec
import treq
from twisted.web.http_headers import Headers

from ..embedded.workspace import DEMO_KEY
from ..embedded.workspace import OPERATOR_KEY


@dataclass(frozen=True, slots=True)
class Response:
    """The fields of an HTTP response that the tour checks."""

    status: int
    version: str
    outcome: str
    retry_after: str
    body: bytes

    def read_json(self) -> Any:
        """Return the decoded JSON body."""
        return msgspec.json.decode(self.body)


async def send_chat(
    port: int,
    prompt: str,
    *,
    stream: bool = False,
    session: str = "",
    kind: str = "",
    model: str = "auto",
) -> Response:
    """Send a chat completion request to the callers' API."""
    body = {
        "model": model,
        "messages": [{"role": "user", "content": prompt}],
        "stream": stream,
        "max_tokens": 12,
        "session": session,
        "kind": kind,
    }
    return await _send(port, "POST", "/v1/chat/completions", body=body)


async def send_order(port: int, key: str, order: str) -> Response:
    """Send an order, a non-idempotent call, with an idempotency key."""
    return await _send(
        port,
        "POST",
        "/v1/services/bookings/orders",
        body={"id": order, "club": "driver"},
        key=key,
    )


async def read_admin(port: int, path: str) -> Any:
    """Return a decoded view of the administration API."""
    response = await _send(port, "GET", path, secret=OPERATOR_KEY)
    return response.read_json()


async def send_change(port: int, change: Any) -> Response:
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
) -> Response:
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

    def read_header(name: str) -> str:
        values = response.headers.getRawHeaders(name)
        return str(values[0]) if values else ""

    return Response(
        status=response.code,
        version=read_header("x-version"),
        outcome=read_header("x-outcome"),
        retry_after=read_header("retry-after"),
        body=data,
    )
