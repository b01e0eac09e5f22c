"""Records of HTTP requests and limits, and helpers for headers."""

from __future__ import annotations

from dataclasses import dataclass

from .pieces import BodyPieces  # a dataclass's field


HeaderList = list[tuple[bytes, bytes]]
"""Names and values in the order in which they were received or are to be sent."""

STATUSES = range(100, 600)
"""Statuses of responses (RFC 9110, 15). Libraries accept others too."""
HOP_BY_HOP = frozenset(
    {
        b"connection",
        b"content-length",
        b"expect",
        b"keep-alive",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"proxy-connection",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
    }
)
"""Lower-case names of hop-by-hop headers (RFC 9110, 7.6.1)."""


@dataclass(frozen=True, slots=True)
class HttpLimits:
    """Limits on requests of callers; times in seconds."""

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    header_timeout: float = 5.0
    idle_timeout: float = 30.0


WITHOUT_BODIES = HttpLimits(body_bytes=0)
"""Limits of ports whose requests need no body."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """A request that was received completely."""

    method: bytes
    target: bytes
    headers: HeaderList
    body: BodyPieces


def strip_hop_headers(headers: HeaderList) -> HeaderList:
    """Return the headers that are forwarded to the next hop."""
    named = set()
    for name, value in headers:
        if name.lower() == b"connection":
            named |= {part.strip().lower() for part in value.split(b",")}

    dropped = HOP_BY_HOP | named
    return [pair for pair in headers if pair[0].lower() not in dropped]


def find_header(headers: HeaderList, name: bytes) -> bytes | None:
    """Return the first value of the header with this lower-case name."""
    for known, value in headers:
        if known.lower() == name:
            return value

    return None


def find_framing(headers: HeaderList) -> str:
    """Return what ends a response with these headers: its length, chunks or the close.

    Responses to ``HEAD`` and those without a body are not considered.
    """
    if find_header(headers, b"transfer-encoding") is not None:
        return "chunks"

    return "close" if find_header(headers, b"content-length") is None else "length"
