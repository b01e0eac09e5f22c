"""Connections of callers as memory runs short."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.task import Clock

from tests.adapters.gateway.support import make_transport
from waxwingwell.adapters.http.budget import STALL_SECONDS
from waxwingwell.adapters.http.budget import Budget
from waxwingwell.adapters.http.connection import HttpConnection
from waxwingwell.adapters.http.records import HttpLimits
from waxwingwell.adapters.http.records import HttpRequest
from waxwingwell.adapters.http.server import HttpService


if TYPE_CHECKING:
    from waxwingwell.adapters.http.responder import Responder


MEMORY = 1_000_000
LARGE = 800_000
WORK_SECONDS = 10.0
HEAD = "POST /a/ HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"


class Server:
    """A server whose requests are answered by the test."""

    def __init__(self, memory: int = MEMORY) -> None:
        self.clock = Clock()
        self.responders: list[Responder] = []
        self.service = HttpService(
            reactor=self.clock,
            handle=self.handle,
            limits=lambda: HttpLimits(header_timeout=60.0, idle_timeout=60.0),
            held=Budget(memory=memory),
        )

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Record the responder of a request."""
        self.responders.append(responder)

    def connect(self, size: int = 0, missing: int = 0) -> Any:
        """Return a connection that has sent a request but for some bytes."""
        connection: Any = HttpConnection(self.service)
        transport = make_transport()
        transport.protocol = connection
        connection.makeConnection(transport)
        connection.peer = transport
        if size:
            body = b"x" * (size - missing)
            connection.dataReceived((HEAD % size).encode() + body)

        return connection


def read_status(connection: Any) -> int:
    """Return the status that a caller has received, or 0 without any."""
    parts = connection.peer.value().split(b" ", 2)
    return int(parts[1]) if len(parts) > 1 else 0


class ShortageTest(unittest.TestCase):
    """A process that holds nearly all that it may."""

    def test_a_stalled_body_makes_room(self) -> None:
        """Guards against unfinished bodies that keep ordinary ones out."""
        server = Server()
        stalled = server.connect(LARGE - 200_000, missing=1)
        server.clock.advance(STALL_SECONDS)
        ordinary = server.connect(200_000)
        self.assertEqual(read_status(stalled), 503)
        self.assertIn(b"Retry-After: 0.5", stalled.peer.value())
        self.assertEqual(len(server.responders), 1)
        server.responders[0].send(200, [], b"ok")
        self.assertEqual(read_status(ordinary), 200)

    def test_a_request_in_progress_is_kept(self) -> None:
        """Guards against requests that are cut as their server takes its time."""
        server = Server()
        running = server.connect(LARGE - 200_000)
        server.clock.advance(WORK_SECONDS)
        refused = server.connect(300_000)
        self.assertEqual(read_status(refused), 503)
        server.responders[0].send(200, [], b"ok")
        self.assertEqual(read_status(running), 200)

    def test_a_reader_has_time_from_its_first_byte(self) -> None:
        """Guards against a response that is cut for the time its server took."""
        for silent, is_kept in ((0.0, True), (STALL_SECONDS, False)):
            with self.subTest(silent=silent):
                server = Server()
                reader = server.connect(2)
                server.clock.advance(WORK_SECONDS)
                reader.peer.held = True
                server.responders[0].start(200, [])
                server.responders[0].write(b"x" * (LARGE - 100_000))
                server.clock.advance(silent)
                server.connect(200_000)
                self.assertIs(reader.peer.aborted, not is_kept)

    def test_a_caller_that_keeps_up_is_kept(self) -> None:
        """Guards against slow streams that are cut for others' bodies."""
        server = Server()
        reader = server.connect(2)
        server.responders[0].start(200, [])
        for _ in range(100):
            server.clock.advance(0.1)
            server.responders[0].write(b"data: a\n\n")

        reader.peer.held = True
        server.responders[0].write(b"data: a\n\n")
        server.connect(LARGE, missing=1)
        server.connect(200_000)
        self.assertFalse(reader.peer.aborted)

    def test_nothing_is_counted_at_the_end(self) -> None:
        """Guards against counts that stay, and close a process to all callers."""
        server = Server()
        held = server.service.held
        connections = [
            server.connect(),
            server.connect(5_000),
            server.connect(5_000, missing=10),
            server.connect(2),
        ]
        server.responders[0].send(200, [], b"ok")
        for connection in connections:
            connection.peer.abortConnection()

        self.assertEqual((held.total, held.requests), (0, 0))
        self.assertEqual(held.holdings, {})


if __name__ == "__main__":
    unittest.main()
