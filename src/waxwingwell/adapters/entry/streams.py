"""Event streams from engines: each event checked, then forwarded as it came.

An event starts with ``id: <request id>:<n>``. Foreign, doubled and missing events
are told apart here; the bytes of good ones are passed on without decoding.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

import msgspec

from ...records import Usage


EVENT_END = b"\n\n"
DATA_MARK = b"data: "
DONE_MARK = b"data: [DONE]"
USAGE_MARK = b'"usage"'
MAX_EVENT = 1_000_000
"""Bytes of one event; a longer one is a fault of the upstream."""


class Fault(Enum):
    """What is wrong with a stream."""

    CROSSED = "an event of another request"
    GAP = "an event is missing"
    MALFORMED = "an event has no number"
    OVERSIZED = "an event is too long"


class TokenCounts(msgspec.Struct):
    """Tokens used, as an engine counts them at the end of an answer."""

    prompt_tokens: int = 0
    completion_tokens: int = 0


class _Delta(msgspec.Struct):
    content: str | None = None


class _Item(msgspec.Struct):
    delta: _Delta


class _Chunk(msgspec.Struct):
    choices: list[_Item] = msgspec.field(default_factory=list)
    usage: TokenCounts | None = None


@dataclass(slots=True)
class EventStream:
    """What was seen of one answer; survives a change of connection."""

    request: str
    last: int = 0
    """Number of the last event forwarded."""
    skip: int = 0
    """Events up to this number are read and not forwarded: the caller has them."""
    done: bool = False
    usage: Usage = field(default_factory=Usage)
    duplicates: int = 0
    """Events dropped because they had been forwarded before."""
    partial_event: bytes = b""
    prefix: bytes = b""

    def __post_init__(self) -> None:
        """Make the prefix that each event of this request starts with."""
        self.prefix = f"id: {self.request}:".encode()


@dataclass(frozen=True, slots=True)
class Taken:
    """Bytes to forward, and the fault that ended them, if any."""

    forward: bytes
    fault: Fault | None = None


def receive_bytes(stream: EventStream, data: bytes) -> Taken:
    """Return the whole new events in ``data``, in order and of this request.

    Events before a faulty one go out; nothing of the faulty one or behind it does:
    the caller drops the connection and resumes after ``stream.last``.
    """
    blocks = (stream.partial_event + data).split(EVENT_END)
    stream.partial_event = blocks.pop()
    good: list[bytes] = []
    for block in blocks:
        number = _read_number(stream, block)
        if isinstance(number, Fault):
            return Taken(_join(good), number)

        # A resumed or doubled delivery repeats events that the caller has.
        if number <= stream.last:
            stream.duplicates += 1
            continue

        if number > stream.last + 1:
            return Taken(_join(good), Fault.GAP)

        stream.last = number
        _record_end(stream, block)
        if number > stream.skip:
            good.append(block)

    fault = Fault.OVERSIZED if len(stream.partial_event) > MAX_EVENT else None
    return Taken(_join(good), fault)


def start_connection(stream: EventStream) -> None:
    """Forget the half event of a connection that is gone."""
    stream.partial_event = b""


def read_text(data: bytes) -> str:
    """Return the answer's text from forwarded events; unreadable ones are skipped."""
    parts = []
    for block in data.split(EVENT_END):
        chunk = _read_chunk(block)
        if chunk is not None and chunk.choices:
            parts.append(chunk.choices[0].delta.content or "")

    return "".join(parts)


def _read_number(stream: EventStream, block: bytes) -> int | Fault:
    if not block.startswith(stream.prefix):
        return Fault.CROSSED if block.startswith(b"id: ") else Fault.MALFORMED

    digits = block[len(stream.prefix) : block.find(b"\n")]
    return int(digits) if digits.isdigit() else Fault.MALFORMED


def _record_end(stream: EventStream, block: bytes) -> None:
    if block.endswith(DONE_MARK):
        stream.done = True
    elif USAGE_MARK in block:
        _record_usage(stream, block)


def _record_usage(stream: EventStream, block: bytes) -> None:
    chunk = _read_chunk(block)
    if chunk is not None and chunk.usage is not None:
        stream.usage = Usage(
            prompt_tokens=chunk.usage.prompt_tokens,
            answer_tokens=chunk.usage.completion_tokens,
        )


def _read_chunk(block: bytes) -> _Chunk | None:
    start = block.find(DATA_MARK)
    if start < 0:
        return None

    try:
        return msgspec.json.decode(block[start + len(DATA_MARK) :], type=_Chunk)
    except msgspec.DecodeError:
        return None


def _join(blocks: list[bytes]) -> bytes:
    if not blocks:
        return b""

    return EVENT_END.join(blocks) + EVENT_END
