"""Event streams from engines: each event is checked, then forwarded unchanged.

An event starts with ``id: <request id>:<n>``. This detects foreign, duplicate and
missing events; the bytes of valid ones are forwarded without decoding.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import Enum

import msgspec

from ...records import Usage
from ..decoding import decode_json


EVENT_END = b"\n\n"
DATA_MARK = b"data: "
DONE_MARK = b"data: [DONE]"
USAGE_MARK = b'"usage"'
MAX_EVENT = 1_000_000
"""Largest event in bytes; a longer one is a fault of the upstream."""


class StreamFault(Enum):
    """Faults that end the relay of a stream."""

    CROSSED = "an event of another request"
    GAP = "an event is missing"
    MALFORMED = "an event has no number"
    OVERSIZED = "an event is too long"


class TokenCounts(msgspec.Struct):
    """Token usage, as an engine reports it at the end of a response."""

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
    """State of one event stream, kept when the connection changes."""

    request: str
    last: int = 0
    """Number of the last event received; up to ``skip`` they are not forwarded."""
    skip: int = 0
    """Events up to this number are not forwarded, since the caller has them."""
    done: bool = False
    usage: Usage = field(default_factory=Usage)
    duplicates: int = 0
    """Events dropped because they had already been received."""
    partial_event: bytes = b""
    prefix: bytes = b""

    def __post_init__(self) -> None:
        """Build the prefix with which each event of this request starts."""
        self.prefix = f"id: {self.request}:".encode()


@dataclass(frozen=True, slots=True)
class ReceivedEvents:
    """Bytes to forward, and the fault that ended them, if any."""

    forward: bytes
    fault: StreamFault | None = None


def receive_bytes(stream: EventStream, data: bytes) -> ReceivedEvents:
    """Return the complete new events of this request in ``data``, in order.

    Events before an invalid one are returned, the invalid one and all later ones are
    not. The calling code then closes the connection and resumes after ``stream.last``.
    """
    blocks = (stream.partial_event + data).split(EVENT_END)
    stream.partial_event = blocks.pop()
    valid: list[bytes] = []
    for block in blocks:
        number = _read_number(stream, block)
        if isinstance(number, StreamFault):
            return ReceivedEvents(_join(valid), number)

        # A resumed or duplicate delivery contains events that were already received.
        if number <= stream.last:
            stream.duplicates += 1
            continue

        if number > stream.last + 1:
            return ReceivedEvents(_join(valid), StreamFault.GAP)

        stream.last = number
        _record_end(stream, block)
        if number > stream.skip:
            valid.append(block)

    fault = StreamFault.OVERSIZED if len(stream.partial_event) > MAX_EVENT else None
    return ReceivedEvents(_join(valid), fault)


def start_connection(stream: EventStream) -> None:
    """Discard the partial event of the previous connection."""
    stream.partial_event = b""


def read_text(data: bytes) -> str:
    """Return the text of forwarded events; malformed ones are skipped."""
    parts = []
    for block in data.split(EVENT_END):
        chunk = _read_chunk(block)
        if chunk is not None and chunk.choices:
            parts.append(chunk.choices[0].delta.content or "")

    return "".join(parts)


def _read_number(stream: EventStream, block: bytes) -> int | StreamFault:
    if not block.startswith(stream.prefix):
        return (
            StreamFault.CROSSED if block.startswith(b"id: ") else StreamFault.MALFORMED
        )

    digits = block[len(stream.prefix) : block.find(b"\n")]
    return int(digits) if digits.isdigit() else StreamFault.MALFORMED


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
        return decode_json(block[start + len(DATA_MARK) :], _Chunk)
    except msgspec.DecodeError:
        return None


def _join(blocks: list[bytes]) -> bytes:
    if not blocks:
        return b""

    return EVENT_END.join(blocks) + EVENT_END
