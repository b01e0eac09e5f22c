"""Blocking HTTP requests to the administration API, with the standard library."""

from __future__ import annotations

import ssl
import urllib.error
import urllib.request
from dataclasses import dataclass
from http.client import HTTPException
from typing import TYPE_CHECKING
from typing import Any

from .http.records import STATUSES


if TYPE_CHECKING:
    from collections.abc import Callable


MAX_RESPONSE_BYTES = 64_000_000
"""Bytes of a response's body; a larger one is not read to its end."""


@dataclass(frozen=True, slots=True)
class AdminRequest:
    """An HTTP request with the operator's key."""

    method: str
    url: str
    key: str
    body: bytes | None = None
    timeout: float = 10.0
    """Seconds."""


@dataclass(frozen=True, slots=True)
class AdminResponse:
    """An HTTP response."""

    status: int
    body: bytes
    retry_after: float | None = None
    """Seconds."""


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No response arrived; the request may have been applied all the same."""

    reason: str


class _NoRedirects(urllib.request.HTTPRedirectHandler):
    """Follows no redirect: it would send the operator's key to another server."""

    def redirect_request(self, *_: Any, **__: Any) -> None:
        """Return nothing, so that the redirect itself is the response."""


def make_transport(
    ca_file: str = "",
) -> Callable[[AdminRequest], AdminResponse | Unreachable]:
    """Return a function that sends a request.

    ``ca_file`` holds the trusted certificates; empty for those of the system.
    """
    context = ssl.create_default_context(cafile=ca_file or None)
    opener = urllib.request.build_opener(
        urllib.request.ProxyHandler({}),
        urllib.request.HTTPSHandler(context=context),
        _NoRedirects(),
    )

    def send(request: AdminRequest) -> AdminResponse | Unreachable:
        http_request = urllib.request.Request(
            request.url,
            data=request.body,
            method=request.method,
            headers={
                "Authorization": f"Bearer {request.key}",
                "Content-Type": "application/json",
            },
        )
        try:
            with opener.open(http_request, timeout=request.timeout) as response:
                return AdminResponse(response.status, read_body(response))
        except urllib.error.HTTPError as error:
            return read_failure(request, error)
        except (OSError, ValueError, HTTPException) as error:
            return Unreachable(f"{request.url}: {error}")

    return send


def read_failure(
    request: AdminRequest, error: urllib.error.HTTPError
) -> AdminResponse | Unreachable:
    """Return a response with an error status, if it is complete."""
    if error.code not in STATUSES:
        return Unreachable(f"{request.url}: status {error.code}")

    with error:
        try:
            body = read_body(error)
        except (OSError, HTTPException) as broken:
            return Unreachable(f"{request.url}: {broken}")

        wait = parse_retry_after(error.headers.get("Retry-After", ""))
        return AdminResponse(error.code, body, wait)


def read_body(response: Any) -> bytes:
    """Return a response's body; raises ``ConnectionError`` if it was broken off.

    The standard library takes the end of the connection for the end of the headers, and
    a body without a length for a complete one. The API states all lengths.
    """
    body: bytes = response.read(MAX_RESPONSE_BYTES)
    is_chunked = response.headers.get("Transfer-Encoding", "").lower() == "chunked"
    length = response.headers.get("Content-Length", "")
    if not is_chunked and length != str(len(body)):
        raise ConnectionError(
            f"the response was broken off after {len(body)} of {length or '?'} bytes"
        )

    return body


def parse_retry_after(text: str) -> float | None:
    """Return the seconds of a ``Retry-After`` header, or None if it holds no number."""
    return float(text) if text.isdigit() else None
