"""What callers may send, and what they get when they send something else."""

from __future__ import annotations

import unittest
from typing import Any

from twisted.internet.task import Clock

from tests.adapters.gateway.support import make_transport
from tests.adapters.gateway.support import note_lines
from waxwingwell.adapters.http.output import PIECE_BYTES
from waxwingwell.adapters.http.records import HttpLimits
from waxwingwell.adapters.http.records import HttpRequest
from waxwingwell.adapters.http.records import strip_hop_headers
from waxwingwell.adapters.http.server import FRESH_SECONDS
from waxwingwell.adapters.http.server import HttpConnection
from waxwingwell.adapters.http.server import HttpService
from waxwingwell.adapters.http.server import Responder
from waxwingwell.adapters.http.server import close_idle
from waxwingwell.adapters.http.server import is_settled


LIMITS = HttpLimits(
    header_bytes=500, body_bytes=100, header_timeout=2.0, idle_timeout=5.0
)


class Server:
    """A server with one connection, whose requests are kept."""

    def __init__(self, *, answer: bool = True) -> None:
        self.clock = Clock()
        self.requests: list[HttpRequest] = []
        self.responders: list[Responder] = []
        self.answer = answer
        self.service = HttpService(
            reactor=self.clock, handle=self.handle, limits=lambda: LIMITS
        )
        self.connection: Any = HttpConnection(self.service)
        self.transport: Any = make_transport()
        self.transport.protocol = self.connection
        connection: Any = self.connection
        connection.makeConnection(self.transport)

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Keep a request, and answer it if that is wanted."""
        self.requests.append(request)
        self.responders.append(responder)
        if self.answer:
            responder.send(200, [(b"X-Path", request.target)], b"ok")

    def send(self, data: bytes) -> None:
        """Take bytes in and let what is due run."""
        self.connection.dataReceived(data)
        for _ in range(20):
            self.clock.advance(0)

    @property
    def received(self) -> bytes:
        """What the caller got."""
        return bytes(self.transport.value())


def make_request(path: str = "/a/", body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of a request."""
    lines = [f"POST {path} HTTP/1.1", "Host: a.example", *headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")

    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class RequestTest(unittest.TestCase):
    """Requests that are read."""

    def test_bodies(self) -> None:
        chunked = make_request("/a/", b"", "Transfer-Encoding: chunked")
        for name, data, body in (
            ("none", make_request(), b""),
            ("with a length", make_request("/a/", b"hello"), b"hello"),
            ("in chunks", chunked + b"5\r\nhello\r\n0\r\n\r\n", b"hello"),
        ):
            with self.subTest(name):
                server = Server()
                server.send(data)
                [request] = server.requests
                self.assertEqual(request.body, body)
                self.assertIn(b"200 OK", server.received)

    def test_requests_sent_ahead_are_answered_in_order(self) -> None:
        server = Server()
        server.send(b"".join(make_request(f"/{number}/") for number in range(8)))
        paths = [request.target for request in server.requests]
        self.assertEqual(paths, [f"/{number}/".encode() for number in range(8)])
        self.assertEqual(server.received.count(b"HTTP/1.1 200"), 8)

    def test_one_request_at_a_time(self) -> None:
        server = Server(answer=False)
        server.send(make_request("/1/") + make_request("/2/"))
        self.assertEqual(len(server.requests), 1)

    def test_a_caller_that_waits_for_leave_gets_it(self) -> None:
        server = Server()
        data = make_request("/a/", b"hello", "Expect: 100-continue")
        server.send(data[:-5])
        self.assertIn(b"HTTP/1.1 100", server.received)
        server.send(data[-5:])
        self.assertIn(b"HTTP/1.1 200", server.received)

    def test_a_caller_that_leaves_is_noticed(self) -> None:
        server = Server(answer=False)
        server.send(make_request())
        left: list[bool] = []
        server.responders[0].on_lost = lambda: left.append(True)
        server.transport.abortConnection()
        self.assertEqual(left, [True])


class BadRequestTest(unittest.TestCase):
    """Requests that are refused unread."""

    def test_refusals(self) -> None:
        """Bytes that could be read in two ways.

        A request within another's body would reach an upstream that its caller may not
        use. Whatever is not one clear request is refused, and the connection ends.
        """
        both = ("Content-Length: 5", "Transfer-Encoding: chunked")
        for name, data, status in (
            ("no HTTP", b"\x16\x03\x01 hello\r\n\r\n", b"400"),
            ("no host", b"GET / HTTP/1.1\r\n\r\n", b"400"),
            (
                "two lengths",
                make_request("/a/", b"", "Content-Length: 5", "Content-Length: 6"),
                b"400",
            ),
            ("a space before the colon", make_request("/a/", b"", "X : y"), b"400"),
            ("long headers", make_request("/a/", b"", "X: " + "y" * 600), b"431"),
            ("a long body", make_request("/a/", b"x" * 101), b"413"),
            (
                "an unknown coding",
                make_request("/a/", b"", "Transfer-Encoding: gzip"),
                b"501",
            ),
        ):
            with self.subTest(name):
                server = Server()
                server.send(data)
                self.assertEqual(server.requests, [])
                self.assertIn(b"HTTP/1.1 " + status, server.received)
                self.assertFalse(server.transport.connected)

        with self.subTest("both framings"):
            server = Server()
            server.send(make_request("/a/", b"", *both) + b"0\r\n\r\nGET /b/ HTTP/1.1")
            self.assertLessEqual(len(server.requests), 1)
            self.assertNotIn(b"/b/", server.received)

    def test_times(self) -> None:
        for name, data, seconds, received in (
            ("nothing sent", b"", 2.1, b""),
            ("half a request", make_request()[:-4], 2.1, b""),
            ("half a body", make_request("/a/", b"hello")[:-2], 2.1, b"408"),
            ("idle", make_request(), 5.1, b"200"),
        ):
            with self.subTest(name):
                server = Server()
                if data:
                    server.send(data)

                server.clock.advance(seconds)
                self.assertFalse(server.transport.connected)
                self.assertIn(received, server.received)


class StopTest(unittest.TestCase):
    """A planned stop."""

    def test_kept_connections_end_with_their_answer(self) -> None:
        server = Server()
        server.send(make_request())
        self.assertTrue(server.transport.connected)
        server.service.stopping = True
        server.send(make_request())
        self.assertIn(b"Connection: close", server.received)
        self.assertFalse(server.transport.connected)

    def test_only_idle_connections_are_closed(self) -> None:
        for answer in (True, False):
            with self.subTest(answer=answer):
                server = Server(answer=answer)
                server.send(make_request())
                close_idle(server.service)
                self.assertIs(server.transport.connected, not answer)

    def test_a_caller_that_has_just_connected_is_waited_for(self) -> None:
        """A connection made a moment before idle ones are closed.

        Its caller's request was on its way, and met a closed connection.
        """
        server = Server()
        server.service.stopping = True
        close_idle(server.service)
        self.assertTrue(server.transport.connected)
        server.send(make_request())
        self.assertIn(b"HTTP/1.1 200", server.received)
        self.assertFalse(server.transport.connected)
        silent = Server()
        silent.clock.advance(FRESH_SECONDS)
        close_idle(silent.service)
        self.assertFalse(silent.transport.connected)


class CutAnswerTest(unittest.TestCase):
    """Answers that were given whole and did not leave whole."""

    def test_only_the_answer_that_was_cut_is_named(self) -> None:
        for name, data, requests in (
            ("a refusal", b"no request\r\n\r\n", [""]),
            ("the next under way", make_request("/b/"), ["q1"]),
        ):
            with self.subTest(name):
                server = Server(answer=False)
                server.send(make_request())
                server.transport.held = requests == ["q1"]
                server.responders[0].request_id = "q1"
                server.responders[0].send(200, [])
                server.transport.held = True
                server.send(data)
                found = note_lines(server.transport.abortConnection)
                named = [record["extra"]["request"] for record in found]
                self.assertEqual(named, requests)

    def test_the_log_names_them(self) -> None:
        """A caller with half an answer.

        The gateway's log said that its request was answered. Nothing told that the
        connection ended while the last bytes waited to be sent.
        """
        for held, lines in ((True, 1), (False, 0)):
            with self.subTest(held=held):
                server = Server(answer=False)
                server.send(make_request())
                server.transport.held = held
                server.responders[0].request_id = "q1"
                server.responders[0].send(200, [], b"the answer")
                found = note_lines(server.transport.abortConnection)
                self.assertEqual(len(found), lines)
                for record in found:
                    self.assertEqual(record["message"], "http: Answer cut")
                    self.assertEqual(record["extra"]["request"], "q1")
                    self.assertGreater(record["extra"]["unsent"], len(b"the answer"))


class SlowReaderTest(unittest.TestCase):
    """Callers that take their time to read.

    An answer was larger than a caller's network took in a second. Its connection was to
    close after it, and was reset in the middle: the time to read the rest was bounded
    however well the reading went on.
    """

    def test_an_answer_ends_whole_while_it_is_read(self) -> None:
        for name, headers in (("closed", ("Connection: close",)), ("kept", ())):
            with self.subTest(name):
                server = Server(answer=False)
                server.send(make_request("/a/", b"", *headers))
                server.transport.held = True
                body = b"x" * (4 * PIECE_BYTES)
                server.responders[0].send(200, [], body)
                while server.connection.unsent:
                    server.clock.advance(LIMITS.idle_timeout - 0.1)
                    self.assertTrue(server.transport.connected)
                    server.transport.flush()

                self.assertTrue(server.received.endswith(body))
                self.assertIs(server.transport.connected, name == "kept")
                server.clock.advance(LIMITS.idle_timeout - 0.1)
                self.assertIs(server.transport.connected, name == "kept")
                server.clock.advance(0.2)
                self.assertFalse(server.transport.connected)
                self.assertFalse(server.transport.aborted)

    def test_half_a_next_request_cuts_nothing(self) -> None:
        """The head of a next request came while a long answer was read.

        Its body did not come in time, and the connection was reset in the middle of the
        answer before. The refusal follows that answer instead.
        """
        server = Server(answer=False)
        server.send(make_request())
        server.transport.held = True
        body = b"x" * (4 * PIECE_BYTES)
        server.responders[0].send(200, [], body)
        server.send(make_request("/b/", b"hello")[:-5])
        while server.connection.unsent:
            server.clock.advance(LIMITS.header_timeout)
            self.assertTrue(server.transport.connected)
            server.transport.flush()

        self.assertIn(body, server.received)
        self.assertIn(b"HTTP/1.1 408", server.received)

    def test_a_caller_that_reads_nothing_is_left(self) -> None:
        for name, headers in (("closed", ("Connection: close",)), ("kept", ())):
            with self.subTest(name):
                server = Server(answer=False)
                server.send(make_request("/a/", b"", *headers))
                server.transport.held = True
                server.responders[0].send(200, [], b"x")
                server.clock.advance(LIMITS.idle_timeout - 0.1)
                self.assertFalse(server.transport.aborted)
                server.clock.advance(0.2)
                self.assertTrue(server.transport.aborted)


class SentAheadTest(unittest.TestCase):
    """Requests that cross the end of a connection."""

    def test_the_end_of_an_answer_is_not_reset(self) -> None:
        """A request sent ahead of a long answer's end.

        The answer ended with its connection, and its last bytes were still on their way
        in the kernel. Bytes that come for a closed socket make the kernel reset it and
        drop them: the caller lost the end of its answer. So only our side is closed,
        and what still comes is read and dropped until the caller closes too.
        """
        for name, closes in (("a caller that closes", True), ("one that stays", False)):
            with self.subTest(name):
                server = Server()
                server.transport.stays = True
                server.send(make_request("/1/", b"", "Connection: close"))
                self.assertTrue(server.transport.half_closed)
                server.send(make_request("/2/"))
                self.assertTrue(server.transport.connected)
                self.assertEqual(len(server.requests), 1)
                self.assertTrue(is_settled(server.service))
                if closes:
                    server.transport.loseConnection()
                else:
                    server.clock.advance(LIMITS.idle_timeout + 0.1)

                self.assertFalse(server.transport.connected)
                self.assertFalse(server.transport.aborted)
                self.assertEqual(server.service.connections, set())

    def test_an_idle_connection_is_closed_for_both_directions(self) -> None:
        """A request that crosses the close of an idle connection.

        Were it still read and dropped, its caller could not tell that it was not: the
        kernel's reset says so, and an order can be sent again.
        """
        for how in ("a stop", "its time"):
            with self.subTest(how):
                server = Server()
                server.transport.stays = True
                server.send(make_request())
                if how == "a stop":
                    close_idle(server.service)
                else:
                    server.clock.advance(LIMITS.idle_timeout + 0.1)

                self.assertFalse(server.transport.connected)
                self.assertFalse(server.transport.half_closed)

    def test_a_request_sent_ahead_is_answered_or_not_run(self) -> None:
        """Idle connections are closed between two requests that came in one piece.

        The first was answered and the second read, yet not looked at. Its connection
        seemed idle and was closed, and then it was run: its caller got no answer.
        """
        for stopping, run in ((False, 2), (True, 1)):
            with self.subTest(stopping=stopping):
                server = Server(answer=False)
                server.connection.dataReceived(
                    make_request("/1/") + make_request("/2/")
                )
                server.service.stopping = stopping
                server.transport.held = True
                server.responders[0].send(200, [])
                close_idle(server.service)
                server.clock.advance(0)
                self.assertEqual(len(server.requests), run)
                server.transport.release()
                server.responders[-1].send(200, [])
                self.assertEqual(server.received.count(b"HTTP/1.1 200"), run)


class HeaderTest(unittest.TestCase):
    """Headers that concern one connection."""

    def test_hop_headers_are_stripped(self) -> None:
        headers = [
            (b"Connection", b"close, X-Own"),
            (b"Keep-Alive", b"timeout=5"),
            (b"X-Own", b"1"),
            (b"X-Kept", b"2"),
            (b"TE", b"trailers"),
        ]
        self.assertEqual(strip_hop_headers(headers), [(b"X-Kept", b"2")])
