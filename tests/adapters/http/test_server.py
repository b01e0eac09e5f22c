"""Tests of the HTTP server: valid and invalid requests, timeouts, closing."""

from __future__ import annotations

import unittest
from dataclasses import replace
from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.task import Clock

from tests.adapters.gateway.support import capture_log
from tests.adapters.gateway.support import make_transport
from waxwingwell.adapters.http.connection import FIRST_BYTES_SECONDS
from waxwingwell.adapters.http.connection import HttpConnection
from waxwingwell.adapters.http.pieces import CHUNK_BYTES
from waxwingwell.adapters.http.records import HttpLimits
from waxwingwell.adapters.http.records import HttpRequest
from waxwingwell.adapters.http.records import strip_hop_headers
from waxwingwell.adapters.http.server import HttpService
from waxwingwell.adapters.http.server import close_idle
from waxwingwell.adapters.http.server import is_drained


if TYPE_CHECKING:
    from waxwingwell.adapters.http.responder import Responder


LIMITS = HttpLimits(
    header_bytes=500, body_bytes=100, header_timeout=2.0, idle_timeout=5.0
)


class Server:
    """A server with one connection, which records its requests."""

    def __init__(self, *, respond: bool = True) -> None:
        self.clock = Clock()
        self.requests: list[HttpRequest] = []
        self.responders: list[Responder] = []
        self.respond = respond
        self.service = HttpService(
            reactor=self.clock, handle=self.handle, limits=lambda: LIMITS
        )
        self.connection: Any = HttpConnection(self.service)
        self.transport: Any = make_transport()
        self.transport.protocol = self.connection
        connection: Any = self.connection
        connection.makeConnection(self.transport)

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Record a request, and respond to it if the test says so."""
        self.requests.append(request)
        self.responders.append(responder)
        if self.respond:
            responder.send(200, [(b"X-Path", request.target)], b"ok")

    def send(self, data: bytes) -> None:
        """Receive bytes and run the calls that are due."""
        self.connection.dataReceived(data)
        for _ in range(20):
            self.clock.advance(0)

    @property
    def received(self) -> bytes:
        """Bytes that the caller has received."""
        return bytes(self.transport.value())


def make_request(path: str = "/a/", body: bytes = b"", *headers: str) -> bytes:
    """Return the bytes of a request."""
    lines = [f"POST {path} HTTP/1.1", "Host: a.example", *headers]
    if body:
        lines.append(f"Content-Length: {len(body)}")

    return "\r\n".join(lines).encode() + b"\r\n\r\n" + body


class RequestTest(unittest.TestCase):
    """Requests that are accepted."""

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
                self.assertEqual(request.body.join(), body)
                self.assertIn(b"200 OK", server.received)

    def test_pipelined_requests_get_responses_in_order(self) -> None:
        server = Server()
        server.send(b"".join(make_request(f"/{number}/") for number in range(8)))
        paths = [request.target for request in server.requests]
        self.assertEqual(paths, [f"/{number}/".encode() for number in range(8)])
        self.assertEqual(server.received.count(b"HTTP/1.1 200"), 8)

    def test_one_request_at_a_time(self) -> None:
        server = Server(respond=False)
        server.send(make_request("/1/") + make_request("/2/"))
        self.assertEqual(len(server.requests), 1)

    def test_a_caller_that_expects_100_continue_gets_it(self) -> None:
        server = Server()
        data = make_request("/a/", b"hello", "Expect: 100-continue")
        server.send(data[:-5])
        self.assertIn(b"HTTP/1.1 100", server.received)
        server.send(data[-5:])
        self.assertIn(b"HTTP/1.1 200", server.received)

    def test_the_handler_is_notified_of_a_lost_caller(self) -> None:
        server = Server(respond=False)
        server.send(make_request())
        lost: list[bool] = []
        server.responders[0].on_lost = lambda: lost.append(True)
        server.transport.abortConnection()
        self.assertEqual(lost, [True])

    def test_a_limit_that_changes_holds_for_the_next_request(self) -> None:
        """Guards against heads that a kept connection denies by a former limit."""
        for bound, size, status in ((500, 800, b"431"), (1_000, 800, b"200")):
            with self.subTest(bound=bound):
                server = Server()
                server.send(make_request())
                limits = replace(LIMITS, header_bytes=bound)
                server.service.limits = partial(replace, limits)
                head = make_request("/b/", b"", "X: " + "y" * size)
                server.send(head[:600])
                server.send(head[600:])
                last = server.received.rpartition(b"HTTP/1.1 ")[2]
                self.assertTrue(last.startswith(status))


class BadRequestTest(unittest.TestCase):
    """Requests that are rejected unread."""

    def test_rejections(self) -> None:
        """Guards against request smuggling by bytes that can be parsed in two ways.

        A request hidden in the body of another could reach an upstream that its caller
        may not use. Anything ambiguous is rejected, and the connection is closed.
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

    def test_timeouts(self) -> None:
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

    def test_persistent_connections_close_after_their_response(self) -> None:
        server = Server()
        server.send(make_request())
        self.assertTrue(server.transport.connected)
        server.service.stopping = True
        server.send(make_request())
        self.assertIn(b"Connection: close", server.received)
        self.assertFalse(server.transport.connected)

    def test_only_idle_connections_are_closed(self) -> None:
        for respond in (True, False):
            with self.subTest(respond=respond):
                server = Server(respond=respond)
                server.send(make_request())
                close_idle(server.service)
                self.assertIs(server.transport.connected, not respond)

    def test_a_new_connection_is_kept_for_a_moment(self) -> None:
        """A caller connects a moment before idle connections are closed.

        Its request may be on its way and would find the connection closed.
        """
        server = Server()
        server.service.stopping = True
        close_idle(server.service)
        self.assertTrue(server.transport.connected)
        server.send(make_request())
        self.assertIn(b"HTTP/1.1 200", server.received)
        self.assertFalse(server.transport.connected)
        idle = Server()
        idle.clock.advance(FIRST_BYTES_SECONDS)
        close_idle(idle.service)
        self.assertFalse(idle.transport.connected)


class TruncatedResponseTest(unittest.TestCase):
    """Responses that were written completely but not sent completely."""

    def test_the_log_names_only_the_truncated_response(self) -> None:
        for name, data, requests in (
            ("a rejection", b"no request\r\n\r\n", [""]),
            ("the next in progress", make_request("/b/"), ["q1"]),
        ):
            with self.subTest(name):
                server = Server(respond=False)
                server.send(make_request())
                server.transport.held = requests == ["q1"]
                server.responders[0].request_id = "q1"
                server.responders[0].send(200, [])
                server.transport.held = True
                server.send(data)
                found = capture_log(server.transport.abortConnection)
                named = [record["extra"]["request"] for record in found]
                self.assertEqual(named, requests)

    def test_the_log_names_truncated_responses(self) -> None:
        """A caller gets only part of a response.

        The connection is lost while the last bytes wait to be sent. Without this event
        the log would say only that the request was completed.
        """
        for held, lines in ((True, 1), (False, 0)):
            with self.subTest(held=held):
                server = Server(respond=False)
                server.send(make_request())
                server.transport.held = held
                server.responders[0].request_id = "q1"
                server.responders[0].send(200, [], b"the response")
                found = capture_log(server.transport.abortConnection)
                self.assertEqual(len(found), lines)
                for record in found:
                    self.assertEqual(record["message"], "http: Answer cut")
                    self.assertEqual(record["extra"]["request"], "q1")
                    self.assertGreater(record["extra"]["unsent"], len(b"the response"))


class SlowReaderTest(unittest.TestCase):
    """Callers that read slowly.

    A large response on a connection that closes after it must not be reset in the
    middle. The timeout for reading the rest restarts whenever the caller reads.
    """

    def test_a_response_completes_while_it_is_read(self) -> None:
        for name, headers in (("closed", ("Connection: close",)), ("kept", ())):
            with self.subTest(name):
                server = Server(respond=False)
                server.send(make_request("/a/", b"", *headers))
                server.transport.held = True
                body = b"x" * (4 * CHUNK_BYTES)
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

    def test_an_incomplete_next_request_truncates_nothing(self) -> None:
        """The head of a next request arrives while a long response is being read.

        Its body does not arrive in time. The connection must not be reset in the middle
        of the first response; the error response follows that instead.
        """
        server = Server(respond=False)
        server.send(make_request())
        server.transport.held = True
        body = b"x" * (4 * CHUNK_BYTES)
        server.responders[0].send(200, [], body)
        server.send(make_request("/b/", b"hello")[:-5])
        while server.connection.unsent:
            server.clock.advance(LIMITS.header_timeout)
            self.assertTrue(server.transport.connected)
            server.transport.flush()

        self.assertIn(body, server.received)
        self.assertIn(b"HTTP/1.1 408", server.received)

    def test_a_caller_that_reads_nothing_is_dropped(self) -> None:
        for name, headers in (("closed", ("Connection: close",)), ("kept", ())):
            with self.subTest(name):
                server = Server(respond=False)
                server.send(make_request("/a/", b"", *headers))
                server.transport.held = True
                server.responders[0].send(200, [], b"x")
                server.clock.advance(LIMITS.idle_timeout - 0.1)
                self.assertFalse(server.transport.aborted)
                server.clock.advance(0.2)
                self.assertTrue(server.transport.aborted)


class PipelinedRequestTest(unittest.TestCase):
    """Requests that arrive as their connection is closed."""

    def test_the_end_of_a_response_is_not_reset(self) -> None:
        """A pipelined request arrives before the end of a long response was sent.

        Bytes that arrive for a closed socket make the kernel reset it and drop the
        bytes it still has to send, so that the caller would lose the end of the
        response. So only the write side is closed, and input is read and dropped until
        the caller closes its side.
        """
        for name, closes in (("a caller that closes", True), ("one that stays", False)):
            with self.subTest(name):
                server = Server()
                server.transport.keeps_sending = True
                server.send(make_request("/1/", b"", "Connection: close"))
                self.assertTrue(server.transport.half_closed)
                server.send(make_request("/2/"))
                self.assertTrue(server.transport.connected)
                self.assertEqual(len(server.requests), 1)
                self.assertTrue(is_drained(server.service))
                if closes:
                    server.transport.loseConnection()
                else:
                    server.clock.advance(LIMITS.idle_timeout + 0.1)

                self.assertFalse(server.transport.connected)
                self.assertFalse(server.transport.aborted)
                self.assertEqual(server.service.connections, set())

    def test_an_idle_connection_is_closed_for_both_directions(self) -> None:
        """A request arrives just after an idle connection was closed.

        If it were read and dropped, the caller could not tell that it has not run. The
        kernel's reset says so, and the request can be retried.
        """
        for how in ("a stop", "its time"):
            with self.subTest(how):
                server = Server()
                server.transport.keeps_sending = True
                server.send(make_request())
                if how == "a stop":
                    close_idle(server.service)
                else:
                    server.clock.advance(LIMITS.idle_timeout + 0.1)

                self.assertFalse(server.transport.connected)
                self.assertFalse(server.transport.half_closed)

    def test_a_pipelined_request_gets_a_response_or_does_not_run(self) -> None:
        """Idle connections are closed between two requests that arrived together.

        The first has its response, the second is received but not parsed. If the
        connection were taken for idle and closed, the second would run later without a
        response to its caller.
        """
        for stopping, run in ((False, 2), (True, 1)):
            with self.subTest(stopping=stopping):
                server = Server(respond=False)
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
    """Hop-by-hop headers."""

    def test_hop_headers_are_stripped(self) -> None:
        headers = [
            (b"Connection", b"close, X-Own"),
            (b"Keep-Alive", b"timeout=5"),
            (b"X-Own", b"1"),
            (b"X-Kept", b"2"),
            (b"TE", b"trailers"),
        ]
        self.assertEqual(strip_hop_headers(headers), [(b"X-Kept", b"2")])
