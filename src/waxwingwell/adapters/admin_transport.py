"""Blocking HTTP requests to the administration API, with the standard library."""

from __future__ import annotations

import ssl
import urllib.error
import urllib.request
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from collections.abc import Callable


MAX_RESPONSE_BYTES = 64_000_000
"""Bytes read of a response; a larger one is truncated and then fails to decode."""


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
                return AdminResponse(response.status, response.read(MAX_RESPONSE_BYTES))
        except urllib.error.HTTPError as error:
            with error:
                wait = parse_retry_after(error.headers.get("Retry-After", ""))
                return AdminResponse(error.code, error.read(MAX_RESPONSE_BYTES), wait)
        except (OSError, ValueError) as error:
            return Unreachable(f"{request.url}: {error}")

    return send


def parse_retry_after(text: str) -> float | None:
    """Return the seconds of a ``Retry-After`` header, or None if it holds no number."""
    return float(text) if text.isdigit() else None
