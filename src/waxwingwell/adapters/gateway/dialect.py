"""What a gateway needs to read from, and write into, the headers of a request.

How these are named on the wire is up to whoever supplies the ``Dialect``; the gateway
knows no header but the standard ones.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from ..http.records import HeaderList


@dataclass(frozen=True, slots=True, kw_only=True)
class RequestFacts:
    """What a caller says of its request."""

    request_id: str
    budget: float | None = None
    """Seconds that the caller will wait."""
    key: str | None = None
    model: str = ""
    """The model that the caller names, or ``*``."""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[tuple[str, int], ...] = ()
    """Parts of the prompt in order, id and tokens; the last is the request's own."""
    session: str = ""
    resume_after: str = ""
    """Id of the last event that the caller has."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Dispatch:
    """What an upstream is told beside the caller's own headers."""

    upstream: str
    """Only the upstream of this id may run the request."""
    remaining: float | None
    """Seconds that the caller will still wait."""
    workspace: str | None = None
    model: str = ""
    urgency: int | None = None
    """0 comes first, 9 last."""
    resume_after: str = ""


@dataclass(frozen=True, slots=True, kw_only=True)
class AnswerFacts:
    """What an upstream says of its answer."""

    not_run: bool
    """The upstream proves that it did not run the request and never will."""
    signed: bool
    """The answer bears the mark of a real upstream."""
    request_id: str | None = None
    """The request that this answers; None if it does not say."""
    encoded: bool = False
    """The body is not in the form that the upstream made."""
    confidence: float | None = None
    """The model's own opinion of its answer, 0 to 1."""


@dataclass(frozen=True, slots=True)
class Dialect:
    """Reads and writes the headers of one way of speaking."""

    read_request: Callable[[HeaderList], RequestFacts]
    write_request: Callable[[HeaderList, Dispatch], HeaderList]
    read_answer: Callable[[int, HeaderList], AnswerFacts]
