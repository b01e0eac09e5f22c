"""Upstreams that send bytes without end."""

from __future__ import annotations

import unittest
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from waxwingwell.adapters.gateway.events import EventSplitter
from waxwingwell.adapters.http.client import MAX_INFORMATIONAL
from waxwingwell.routing.gateway_room import MEMORY_PART
from waxwingwell.routing.records import RouteKind

from .byte_plays import BARE_HEAD
from .byte_plays import CHUNKED_HEAD
from .byte_plays import PIECE_BYTES
from .byte_plays import TOTAL_BYTES
from .byte_plays import count_calls
from .byte_plays import fill
from .byte_plays import fill_chunk
from .byte_plays import measure_peak
from .byte_plays import play
from .support import Gateway
from .support import Upstream
from .support import capture_log
from .support import make_chunk
from .support import make_gateway
from .support import make_response
from .support import make_stream_head


if TYPE_CHECKING:
    from collections.abc import Callable

    from .byte_plays import Outcome


MIB = 1024 * 1024
CALLS_PER_PIECE = 400
"""Calls of functions for 64 KiB, several times what is needed."""
CALLS_PER_REQUEST = 5_000
FAILURE_HEAD = b"HTTP/1.1 500 X\r\nX-Id: q1\r\nX-Signed: 1\r\n"
STREAM = RouteKind.STREAM
CALL = RouteKind.IDEMPOTENT
INFORMATIONAL = fill(b"HTTP/1.1 103 Early Hints\r\n\r\n")
EVENT = b"data: " + b"y" * 56 + b"\n\n"

PLAYS: tuple[tuple[str, RouteKind, bytes, bytes, str], ...] = (
    ("event", STREAM, CHUNKED_HEAD, fill_chunk(b"x"), "event"),
    ("event without chunks", STREAM, BARE_HEAD, fill(b"x"), "event"),
    ("stream", STREAM, CHUNKED_HEAD, fill_chunk(EVENT), "body"),
    ("body without length", CALL, BARE_HEAD, fill(b"x"), "body"),
    ("chunked body", CALL, CHUNKED_HEAD, fill_chunk(b"x"), "body"),
    ("failure", CALL, FAILURE_HEAD + b"\r\n", fill(b"x"), "collected"),
    (
        "failure with a length",
        CALL,
        FAILURE_HEAD + b"Content-Length: 99999999\r\n\r\n",
        fill(b"x"),
        "collected",
    ),
    ("refused resumption", STREAM, FAILURE_HEAD + b"\r\n", fill(b"x"), "collected"),
    ("informational", CALL, b"", INFORMATIONAL, "informational"),
    ("informational of a stream", STREAM, b"", INFORMATIONAL, "informational"),
    ("header", CALL, b"HTTP/1.1 200 OK\r\nX-Long: ", fill(b"x"), "head"),
    ("trailer", CALL, CHUNKED_HEAD + b"0\r\nX-Long: ", fill(b"x"), "head"),
    ("chunk size", CALL, CHUNKED_HEAD, fill(b"0"), "head"),
)


def find_lines(records: list[Any], event: str) -> list[Any]:
    """Return the fields of the log lines of an event."""
    return [one["extra"] for one in records if one["message"] == event]


def run_logged(action: Callable[[], Outcome]) -> tuple[Outcome, list[Any]]:
    """Run a play; return its outcome and the log records."""
    found: list[Outcome] = []
    records = capture_log(lambda: found.append(action()))
    return found[0], records


def open_call(gateway: Gateway) -> Upstream:
    """Send a request, and accept its connection at an upstream."""
    gateway.ask()
    upstream = gateway.calls[-1]
    upstream.accept()
    return upstream


class EndlessBytesTest(unittest.TestCase):
    """What a gateway holds, and how much it works, until it closes the connection."""

    def test_each_bound_ends_the_request(self) -> None:
        """Guards against 48 MiB held, and 83 s of work, for what an upstream sends."""
        for name, kind, head, piece, bound in PLAYS:
            with self.subTest(name):
                action = partial(play, kind, head, piece, max_attempts=2)
                outcome, records = run_logged(partial(count_calls, action))
                self.assertTrue(outcome.ended)
                self.assertLess(outcome.pieces * PIECE_BYTES, TOTAL_BYTES)
                most = CALLS_PER_REQUEST + CALLS_PER_PIECE * outcome.pieces
                self.assertLess(outcome.calls, most)
                lines = find_lines(records, "gateway: Bound passed")
                self.assertEqual({one["bound"] for one in lines}, {bound})
                self.assertTrue(all(one["count"] > one["limit"] for one in lines))
                ends = find_lines(records, "gateway: Attempt ended")
                self.assertEqual({one["fate"] for one in ends}, {"broken"})
                self.assertEqual(outcome.gateway.context.held.total, 0)

    def test_little_is_held(self) -> None:
        """Guards against copies of what has arrived that are kept or made anew."""
        for reads in (True, False):
            for name, kind, head, piece, _ in PLAYS:
                with self.subTest(name, reads=reads):
                    action = partial(
                        play, kind, head, piece, reads=reads, max_attempts=2
                    )
                    action()  # what is made once at first use is no part of the peak
                    outcome = measure_peak(action)
                    self.assertLess(outcome.peak, MIB)
                    self.assertTrue(outcome.ended or outcome.paused)

    def test_an_event_is_copied_and_searched_once(self) -> None:
        """Guards against work that grows with the square of an event's length."""
        searched = 0

        class Buffer(bytearray):
            def rfind(self, sought: Any, start: Any = 0, end: Any = None) -> int:
                nonlocal searched
                searched += len(self) - start
                return super().rfind(sought, start)

        splitter = EventSplitter()
        buffer = Buffer()
        splitter.partial_event = buffer
        count = 4_096
        for _ in range(count):
            self.assertEqual(splitter.feed(b"x" * 64), b"")

        self.assertIs(splitter.partial_event, buffer)
        self.assertLess(searched, 2 * 64 * count)

    def test_events_are_found_wherever_pieces_end(self) -> None:
        """Guards against an event end that is missed between two pieces."""
        stream = b"id: 1\ndata: a\n\nid: 2\n\n\n\nid: 3\ndata: c\n\nid: 4"
        for size in range(1, len(stream) + 1):
            with self.subTest(size=size):
                splitter = EventSplitter()
                pieces = [
                    splitter.feed(stream[start : start + size])
                    for start in range(0, len(stream), size)
                ]
                self.assertEqual(b"".join(pieces), stream[:-5])
                self.assertEqual(splitter.partial_event, b"id: 4")
                self.assertEqual(splitter.last_id, "3")


class BoundTest(unittest.TestCase):
    """What is still accepted, and what happens past a bound."""

    def test_informational_responses_up_to_the_bound_are_accepted(self) -> None:
        """Guards against a bound that refuses what upstreams send in practice."""
        for count, accepted in ((MAX_INFORMATIONAL, True), (1_500, False)):
            with self.subTest(count=count):
                gateway = make_gateway("u1", kind=RouteKind.ONCE)
                caller = gateway.ask()
                upstream = gateway.calls[-1]
                upstream.accept()
                hints = b"HTTP/1.1 103 Early Hints\r\n\r\n" * count
                upstream.respond(hints + make_response())
                self.assertEqual(caller.status, 200 if accepted else 502)

    def test_a_long_success_is_forwarded_whole(self) -> None:
        """Guards against a bound on collected bodies that refuses long answers."""
        body = bytes(number % 251 for number in range(2 * MIB))
        chunked = make_stream_head() + make_chunk(body) + b"0\r\n\r\n"
        for name, response in (
            ("length", make_response(body)),
            ("chunks", chunked),
            ("not found", make_response(body, 404)),
        ):
            with self.subTest(name):
                gateway = make_gateway("u1", kind=CALL)
                caller = gateway.ask()
                upstream = gateway.calls[-1]
                upstream.accept()
                for start in range(0, len(response), PIECE_BYTES):
                    upstream.respond(response[start : start + PIECE_BYTES])

                received = caller.received
                if name == "chunks":
                    self.assertTrue(received.endswith(b"0\r\n\r\n"))
                    self.assertGreater(len(received), len(body))
                else:
                    self.assertIn(b"Content-Length: 2097152", received)
                    self.assertTrue(received.endswith(body))

                self.assertFalse(caller.transport.aborted)
                self.assertEqual(gateway.context.exchanges, set())
                self.assertEqual(gateway.context.held.total, 0)

    def test_a_forwarded_answer_is_not_requested_again(self) -> None:
        """Guards against a second answer after a part of the first."""
        for kind in (CALL, RouteKind.ONCE):
            with self.subTest(kind=kind):
                gateway = make_gateway(kind=kind)
                gateway.context.load.others_at = 0.0
                caller = gateway.ask()
                upstream = gateway.calls[-1]
                upstream.accept()
                response = make_response(b"x" * MIB)
                upstream.respond(response[:-PIECE_BYTES])
                upstream.reset()
                self.assertTrue(caller.transport.aborted)
                self.assertEqual(len(gateway.calls), 1)
                self.assertEqual(gateway.context.exchanges, set())

    def test_a_silent_upstream_keeps_a_forwarded_answer(self) -> None:
        """Guards against answers that are given up though no other can continue them.

        The route is one of streams, whose silent upstreams are left for others.
        """
        gateway = make_gateway(kind=STREAM)
        gateway.context.load.others_at = 0.0
        caller = gateway.ask()
        upstream = gateway.calls[-1]
        upstream.accept()
        body = b"x" * MIB
        response = make_response(body, 404)
        upstream.respond(response[:-PIECE_BYTES])
        [running] = gateway.context.exchanges
        for _ in range(20):
            gateway.reactor.advance(0.25)
            running.check_responsiveness(gateway.reactor.seconds())

        self.assertEqual(len(gateway.calls), 1)
        upstream.respond(response[-PIECE_BYTES:])
        self.assertTrue(caller.received.endswith(body))

    def test_an_answer_that_breaks_off_short_is_requested_again(self) -> None:
        """Guards against a part of an answer that is sent on too soon."""
        gateway = make_gateway(kind=CALL)
        gateway.context.load.others_at = 0.0
        caller = gateway.ask()
        first = gateway.calls[-1]
        first.accept()
        first.respond(make_response(b"x" * 600_000)[:500_000])
        first.reset()
        second = gateway.calls[-1]
        second.accept()
        second.respond(make_response(b"good"))
        self.assertTrue(caller.received.endswith(b"good"))
        self.assertEqual(len(gateway.calls), 2)

    def test_only_answers_are_signs_of_life(self) -> None:
        """Guards against bytes of no event that keep a stream at its upstream."""
        for name, data, kept in (
            ("part of an event", make_chunk(b"xx"), False),
            ("whole event", make_chunk(b"data: a\n\n"), True),
        ):
            with self.subTest(name):
                gateway = make_gateway(kind=STREAM)
                gateway.context.load.others_at = 0.0
                upstream = open_call(gateway)
                upstream.respond(make_stream_head())
                for _ in range(40):
                    gateway.reactor.advance(0.1)
                    upstream.respond(data)
                    for running in tuple(gateway.context.exchanges):
                        running.check_responsiveness(gateway.reactor.seconds())

                self.assertIs(upstream.transport.aborted, not kept)

    def test_slow_answers_are_signs_of_life(self) -> None:
        """Guards against answers served before that fail over in their middle.

        An event may arrive in several pieces, and the answer to a request for a stream
        may be a document of a stated length.
        """
        event = b"data: " + b"x" * 20
        document = b'{"a": 1}'
        for name, head, pieces in (
            (
                "event",
                make_stream_head(),
                [make_chunk(event)] * 2 + [make_chunk(b"\n\n") + b"0\r\n\r\n"],
            ),
            (
                "document",
                make_response(document)[: -len(document)],
                [bytes([byte]) for byte in document],
            ),
        ):
            with self.subTest(name):
                gateway = make_gateway(kind=STREAM)
                gateway.context.load.others_at = 0.0
                caller = gateway.ask(X_Budget="100")
                upstream = gateway.calls[-1]
                upstream.accept()
                upstream.respond(head)
                for piece in pieces:
                    for _ in range(8):
                        gateway.reactor.advance(0.1)
                        for running in tuple(gateway.context.exchanges):
                            running.check_responsiveness(gateway.reactor.seconds())

                    upstream.respond(piece)

                self.assertEqual(len(gateway.calls), 1)
                self.assertEqual(caller.status, 200)
                self.assertFalse(gateway.context.exchanges)
                self.assertFalse(caller.transport.aborted)

    def test_new_requests_are_refused_without_memory(self) -> None:
        """Guards against requests under way that are cut before new ones are refused.

        A body that is still being received belongs to a new request.
        """
        for name, memory, status in (
            ("unknown", 0, 0),
            ("enough", 4 * MIB, 0),
            ("too little", 12_000, 503),
        ):
            with self.subTest(name):
                gateway = make_gateway(kind=CALL)
                gateway.context.held.memory = memory * MEMORY_PART
                running = gateway.ask()
                upstream = gateway.calls[-1]
                upstream.accept()
                upstream.respond(make_response(b"x" * 2_000)[:-1_000])
                refused = gateway.ask()
                self.assertEqual(refused.status, status)
                self.assertEqual(b"Retry-After: 0.5" in refused.received, status > 0)
                self.assertEqual(len(gateway.calls), 1 if status else 2)
                upstream.respond(b"x" * 1_000)
                self.assertEqual(running.status, 200)

    def test_what_is_held_is_counted_down(self) -> None:
        """Guards against counts that stay and close a gateway to all requests."""
        event = make_chunk(b"data: " + b"y" * 1_000)

        def leave(gateway: Gateway, caller: Any, upstream: Upstream) -> None:
            caller.leave()

        def expire(gateway: Gateway, caller: Any, upstream: Upstream) -> None:
            gateway.reactor.advance(60.0)

        def reset(gateway: Gateway, caller: Any, upstream: Upstream) -> None:
            upstream.reset()

        for action in (leave, expire, reset):
            for kind in RouteKind:
                with self.subTest(action=action.__name__, kind=kind):
                    gateway = make_gateway("u1", kind=kind, resumable=False)
                    caller = gateway.ask()
                    upstream = gateway.calls[-1]
                    upstream.accept()
                    upstream.respond(make_stream_head() + event)
                    self.assertGreater(gateway.context.held.total, 1_000)
                    action(gateway, caller, upstream)
                    gateway.reactor.advance(60.0)
                    self.assertEqual(gateway.context.held.total, 0)
