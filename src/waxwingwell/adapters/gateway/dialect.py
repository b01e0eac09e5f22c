"""Values that a gateway reads from and writes to the headers of requests and responses.

The supplier of the ``Dialect`` defines the header names; the gateway itself knows only
the standard headers.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..http.records import HeaderList


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestFacts:
    """Properties of a request that its caller states in headers."""

    request_id: str
    budget: float | None = None
    """Seconds that the caller waits for the response; None if it does not say."""
    key: str | None = None
    model: str = ""
    """Model that the caller names; ``*`` lets the gateway select one."""
    prompt_tokens: int = 0
    output_tokens: int = 0
    expected_output: int = 0
    """Output tokens that the caller expects; 0 if it does not say."""
    prompt_blocks: tuple[tuple[str, int], ...] = ()
    """Prompt blocks in order, id and tokens; the last one is the request's own."""
    session: str = ""
    resume_after: str = ""
    """Id of the last event that the caller has received."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """Values sent to an upstream in addition to the caller's own headers."""

    upstream: str
    """Id of the only upstream that may run the request."""
    remaining: float | None
    """Seconds that the caller still waits; None if it does not say."""
    workspace: str | None = None
    model: str = ""
    urgency: int | None = None
    """Rank from 0, the most urgent, to 9."""
    resume_after: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class RelayedRequest:
    """Values in which a request to another gateway differs from its caller's."""

    remaining: float | None
    """Seconds that the caller still waits; None if it does not say."""
    model: str = ""
    """Model that has made a part of the response; empty if there is none yet."""
    resume_after: str = ""
    """Id of the last event that the caller has received."""


@dataclass(frozen=True, slots=True, kw_only=True)
class ResponseFacts:
    """Properties of a response that its upstream states in headers."""

    not_run: bool
    """The upstream guarantees that it did not run the request and never will."""
    signed: bool
    """The response carries the mark of a real upstream."""
    request_id: str | None = None
    """Id of the request that this responds to; None if the upstream does not say."""
    encoded: bool = False
    """The body is content-encoded, so it is not as the upstream sent it."""
    confidence: float | None = None
    """The model's confidence in its response, 0 to 1."""
    rate_limit: float | None = None
    """Requests per second that the upstream takes from all gateways together."""
    rejection_limit: float | None = None
    """Rejections per second for lack of room beyond which the upstream crashes."""
    rest: float | None = None
    """Seconds for which the upstream wants no request of this gateway."""
    leaving: bool = False
    """The upstream leaves, and takes no new work."""


@dataclass(frozen=True, slots=True)
class Dialect:
    """Reads and writes the headers of one protocol between callers and upstreams."""

    read_request: Callable[[HeaderList], RequestFacts]
    write_request: Callable[[HeaderList, Dispatch], HeaderList]
    read_response: Callable[[int, HeaderList], ResponseFacts]
    varying: frozenset[bytes]
    """Lower-case names of the headers in which attempts of one request may differ."""
    write_relayed: Callable[[HeaderList, RelayedRequest], HeaderList]
    """Returns a caller's headers for another gateway."""
