"""One HTTP request to the administration API, blocking, by the standard library."""

from __future__ import annotations

import ssl
import urllib.error
import urllib.request
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from collections.abc import Callable


MAX_REPLY = 64_000_000
"""Bytes of an answer; a larger one is cut, and then fails to decode."""


@dataclass(frozen=True, slots=True)
class WireRequest:
    """One request."""

    method: str
    url: str
    key: str
    body: bytes | None = None
    timeout: float = 10.0
    """Seconds."""


@dataclass(frozen=True, slots=True)
class WireReply:
    """One answer."""

    status: int
    body: bytes
    retry_after: float | None = None
    """Seconds."""


@dataclass(frozen=True, slots=True)
class Unreachable:
    """No answer came; the request may have been taken in all the same."""

    reason: str


class _NoRedirects(urllib.request.HTTPRedirectHandler):
    """Follows no redirect, since that would carry the operator's key elsewhere."""

    def redirect_request(self, *_: Any, **__: Any) -> None:
        """Return nothing, so that the redirect itself is the answer."""


def make_transport(
    ca_file: str = "",
) -> Callable[[WireRequest], WireReply | Unreachable]:
    """Return a function that sends a request.

    ``ca_file`` holds the certificates to trust; empty trusts the machine's.
    """
    context = ssl.create_default_context(cafile=ca_file or None)
    opener = urllib.request.build_opener(
        urllib.request.ProxyHandler({}),
        urllib.request.HTTPSHandler(context=context),
        _NoRedirects(),
    )

    def send(request: WireRequest) -> WireReply | Unreachable:
        wire = urllib.request.Request(
            request.url,
            data=request.body,
            method=request.method,
            headers={
                "Authorization": f"Bearer {request.key}",
                "Content-Type": "application/json",
            },
        )
        try:
            with opener.open(wire, timeout=request.timeout) as answer:
                return WireReply(answer.status, answer.read(MAX_REPLY))
        except urllib.error.HTTPError as error:
            with error:
                wait = read_seconds(error.headers.get("Retry-After", ""))
                return WireReply(error.code, error.read(MAX_REPLY), wait)
        except (OSError, ValueError) as error:
            return Unreachable(f"{request.url}: {error}")

    return send


def read_seconds(text: str) -> float | None:
    """Return a ``Retry-After`` in seconds, or None if it is none."""
    return float(text) if text.isdigit() else None
