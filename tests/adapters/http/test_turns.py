"""Turns of the event loop among connections that have much to parse."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING
from typing import Any
from unittest import mock

import h11
from twisted.internet.task import Clock

from tests.adapters.gateway.support import make_transport
from waxwingwell.adapters.http.connection import HttpConnection
from waxwingwell.adapters.http.records import HttpLimits
from waxwingwell.adapters.http.records import HttpRequest
from waxwingwell.adapters.http.server import HttpService


if TYPE_CHECKING:
    from waxwingwell.adapters.http.responder import Responder


MAX_EVENTS = 500
"""Events of the parser in one turn, for all connections: some milliseconds of work."""
READ_BYTES = 65_536
CHUNK = b"2\r\nab\r\n"
HEAD = b"POST /a/ HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"


class TurningClock(Clock):
    """A clock that runs one turn of an event loop at a time."""

    def run_turn(self) -> None:
        """Run the calls that are due, but none that they schedule."""
        now = self.seconds()
        due = [call for call in self.calls if call.getTime() <= now]
        self.calls = [call for call in self.calls if call not in due]
        for call in due:
            call.called = 1
            call.func(*call.args, **call.kw)


class Server:
    """A server that answers each request at once."""

    def __init__(self) -> None:
        self.clock: Any = TurningClock()
        self.bodies: list[bytes] = []
        self.service = HttpService(
            reactor=self.clock, handle=self.handle, limits=HttpLimits
        )

    def handle(self, request: HttpRequest, responder: Responder) -> None:
        """Record a request's body, and respond."""
        self.bodies.append(request.body.join())
        responder.send(200, [], b"ok")

    def connect(self) -> Any:
        """Return a new connection with its transport."""
        connection: Any = HttpConnection(self.service)
        transport = make_transport()
        transport.protocol = connection
        connection.makeConnection(transport)
        return connection


class TurnTest(unittest.TestCase):
    """Callers that send their bodies in the smallest chunks."""

    def test_a_turn_is_short(self) -> None:
        """Guards against a loop that is taken up by chunks of two bytes."""
        server = Server()
        crowd = [server.connect() for _ in range(20)]
        parse = h11.Connection.next_event
        with mock.patch.object(
            h11.Connection, "next_event", autospec=True, side_effect=parse
        ) as counted:
            for connection in crowd:
                counted.reset_mock()
                connection.dataReceived(HEAD + CHUNK * (READ_BYTES // len(CHUNK)))
                self.assertLess(counted.call_count, MAX_EVENTS)

            for _ in range(50):
                counted.reset_mock()
                server.clock.run_turn()
                self.assertLess(counted.call_count, MAX_EVENTS)

    def test_others_are_served_meanwhile(self) -> None:
        """Guards against callers that wait until all chunks of others are parsed."""
        server = Server()
        busy = server.connect()
        busy.dataReceived(HEAD + CHUNK * (READ_BYTES // len(CHUNK)))
        self.assertEqual(busy.transport.producerState, "paused")
        ordinary = server.connect()
        ordinary.dataReceived(HEAD + b"2\r\nhi\r\n0\r\n\r\n")
        server.clock.run_turn()
        self.assertEqual(server.bodies, [b"hi"])

    def test_a_body_in_small_chunks_arrives_whole(self) -> None:
        """Guards against bodies that lose a chunk between two turns."""
        server = Server()
        connection = server.connect()
        connection.dataReceived(HEAD + CHUNK * 1_000)
        for _ in range(100):
            server.clock.run_turn()

        self.assertEqual(connection.transport.producerState, "producing")
        connection.dataReceived(CHUNK * 1_000 + b"0\r\n\r\n")
        for _ in range(100):
            server.clock.run_turn()

        self.assertEqual(server.bodies, [b"ab" * 2_000])
        self.assertIn(b"200 OK", connection.transport.value())

    def test_a_caller_that_leaves_between_turns(self) -> None:
        """Guards against a turn of a connection that is gone."""
        server = Server()
        connection = server.connect()
        connection.dataReceived(HEAD + CHUNK * 1_000)
        connection.transport.abortConnection()
        for _ in range(10):
            server.clock.run_turn()

        self.assertEqual(server.service.held.total, 0)
        self.assertEqual(server.bodies, [])


if __name__ == "__main__":
    unittest.main()
