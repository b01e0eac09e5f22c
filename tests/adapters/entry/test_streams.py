"""Event streams: which events are forwarded, and which are faults."""

from __future__ import annotations

import unittest
from dataclasses import dataclass

from hypothesis import given
from hypothesis import strategies as st

from waxwingwell.adapters.entry.streams import MAX_EVENT
from waxwingwell.adapters.entry.streams import EventStream
from waxwingwell.adapters.entry.streams import StreamFault
from waxwingwell.adapters.entry.streams import read_text
from waxwingwell.adapters.entry.streams import receive_bytes
from waxwingwell.adapters.entry.streams import start_connection


NAME = "req-1"
DONE = b"[DONE]"


def make_event(number: int, data: bytes = b"{}", *, name: str = NAME) -> bytes:
    """Return one event as an engine sends it."""
    return b"id: %s:%d\ndata: %s\n\n" % (name.encode(), number, data)


@dataclass(frozen=True)
class Case:
    name: str
    data: bytes
    forward: bytes
    fault: StreamFault | None = None
    last: int = 0
    done: bool = False


CASES = (
    Case(
        "in order", make_event(1) + make_event(2), make_event(1) + make_event(2), last=2
    ),
    Case("partial event is kept", make_event(1) + b"id: re", make_event(1), last=1),
    Case("duplicate", make_event(1) + make_event(1), make_event(1), last=1),
    Case("gap", make_event(1) + make_event(3), make_event(1), StreamFault.GAP, last=1),
    Case(
        "event of another request",
        make_event(1) + make_event(2, name="req-2"),
        make_event(1),
        StreamFault.CROSSED,
        last=1,
    ),
    Case(
        "request id with a common prefix",
        make_event(1, name="req-11"),
        b"",
        StreamFault.CROSSED,
    ),
    Case("no number", b"data: {}\n\n", b"", StreamFault.MALFORMED),
    Case("no digits", b"id: req-1:x\ndata: {}\n\n", b"", StreamFault.MALFORMED),
    Case(
        "oversized",
        b"id: req-1:1\ndata: " + b"x" * MAX_EVENT,
        b"",
        StreamFault.OVERSIZED,
    ),
    Case(
        "end",
        make_event(1) + make_event(2, DONE),
        make_event(1) + make_event(2, DONE),
        last=2,
        done=True,
    ),
)


class ReceiveBytesTest(unittest.TestCase):
    """A single call with each kind of input."""

    def test_cases(self) -> None:
        for case in CASES:
            with self.subTest(case.name):
                stream = EventStream(request=NAME)
                received = receive_bytes(stream, case.data)
                self.assertEqual(received.forward, case.forward)
                self.assertEqual(received.fault, case.fault)
                self.assertEqual(stream.last, case.last)
                self.assertEqual(stream.done, case.done)

    def test_usage_is_parsed(self) -> None:
        stream = EventStream(request=NAME)
        usage = b'{"choices":[],"usage":{"prompt_tokens":3,"completion_tokens":4}}'
        receive_bytes(stream, make_event(1, usage))
        self.assertEqual(stream.usage.prompt_tokens, 3)
        self.assertEqual(stream.usage.answer_tokens, 4)

    def test_text_is_extracted(self) -> None:
        chunk = b'{"choices":[{"delta":{"content":"%s"}}]}'
        data = make_event(1, chunk % b"a ") + make_event(2, chunk % b"b")
        self.assertEqual(read_text(data + make_event(3, DONE)), "a b")


class ConnectionTest(unittest.TestCase):
    """A response over several connections."""

    @given(
        count=st.integers(1, 30),
        pieces=st.lists(st.integers(1, 60), min_size=1, max_size=40),
        cut=st.integers(0, 400),
        repeated=st.integers(0, 30),
    )
    def test_caller_sees_each_event_once(
        self, count: int, pieces: list[int], cut: int, repeated: int
    ) -> None:
        # A connection is cut in the middle of an event, and the next one repeats some
        # events that the caller has. The caller must see each event once, in order.
        events = [make_event(n) for n in range(1, count)] + [make_event(count, DONE)]
        stream = EventStream(request=NAME)
        seen = self._feed(stream, b"".join(events)[:cut], pieces)
        start_connection(stream)
        start = max(0, stream.last - repeated)
        seen += self._feed(stream, b"".join(events[start:]), pieces)
        self.assertEqual(seen, b"".join(events))
        self.assertTrue(stream.done)

    def _feed(self, stream: EventStream, data: bytes, pieces: list[int]) -> bytes:
        seen, position, index = b"", 0, 0
        while position < len(data):
            size = pieces[index % len(pieces)]
            received = receive_bytes(stream, data[position : position + size])
            self.assertIsNone(received.fault)
            seen += received.forward
            position, index = position + size, index + 1

        return seen
