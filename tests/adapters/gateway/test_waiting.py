"""Tests of requests that arrive before the gateway's first configuration."""

from __future__ import annotations

import unittest
import zlib
from typing import Any

import msgspec

from tests.adapters.http.test_server import make_request
from tests.routing.factories import make_document
from waxwingwell.adapters.gateway import waiting
from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.routing.messages import ShareRouting

from .support import Caller
from .support import make_gateway
from .support import make_response


def raise_error() -> None:
    """Raise an error."""
    raise RuntimeError


class StartupQueueTest(unittest.TestCase):
    """A gateway that has just started, while the controls elect a leader."""

    def setUp(self) -> None:
        self.gateway = make_gateway()
        self.gateway.context.index = None

    def configure(self, version: int = 1, **fields: Any) -> None:
        """Share a document from a control."""
        encoded = msgspec.msgpack.encode(make_document(version=version, **fields))
        body = ShareRouting(
            index=version, version=version, document=zlib.compress(encoded), rollouts=()
        )
        handle_cast(self.gateway.context, "control", body)

    def pass_time(self, seconds: float) -> None:
        """Advance the clock."""
        self.gateway.reactor.advance(seconds)

    def test_requests_are_served_once_there_is_a_configuration(self) -> None:
        """Refused twice before the configuration arrives, callers would give up."""
        callers = [self.gateway.ask(X_Id="q1") for _ in range(3)]
        self.pass_time(0.7)
        self.assertEqual([caller.status for caller in callers], [0, 0, 0])
        self.configure()
        for upstream in self.gateway.upstreams:
            upstream.accept()
            upstream.respond(make_response())

        self.assertEqual([caller.status for caller in callers], [200, 200, 200])

    def test_a_control_without_a_document_does_not_end_the_wait(self) -> None:
        caller = self.gateway.ask()
        body = ShareRouting(index=0, version=-1, document=b"", rollouts=())
        handle_cast(self.gateway.context, "control", body)
        self.assertEqual(caller.status, 0)

    def test_an_error_in_one_request_does_not_affect_the_others(self) -> None:
        """The first queued request can't be served; the others must not be lost."""
        startup_queue = self.gateway.context.startup_queue
        self.gateway.ask()
        served = self.gateway.ask()
        first = next(iter(startup_queue.waiting))
        first.serve = raise_error
        self.configure()
        [upstream] = self.gateway.upstreams
        upstream.accept()
        upstream.respond(make_response())
        self.assertEqual(served.status, 200)

    def test_the_wait_counts_towards_the_callers_deadline(self) -> None:
        self.gateway.ask(X_Budget="6")
        self.pass_time(1.5)
        self.configure()
        [exchange] = self.gateway.context.exchanges
        self.assertEqual(exchange.deadline, 6.0)

    def test_how_long_a_request_waits(self) -> None:
        for name, budget, early, late in (
            ("a caller with little time", "1.5", 0.45, 0.1),
            ("a caller with much time", "30", 1.9, 0.2),
        ):
            with self.subTest(name):
                self.setUp()
                caller = self.gateway.ask(X_Budget=budget)
                self.pass_time(early)
                self.assertEqual(caller.status, 0)
                self.pass_time(late)
                self.assertEqual(caller.status, 503)
                self.configure()
                self.assertEqual(self.gateway.upstreams, [])

    def test_the_queue_is_bounded(self) -> None:
        callers = [self.gateway.ask() for _ in range(waiting.MAX_WAITING + 1)]
        refused = [caller for caller in callers if caller.status == 503]
        self.assertEqual(refused, callers[-1:])

    def test_a_disconnected_caller_is_not_served(self) -> None:
        caller: Caller = self.gateway.ask()
        caller.leave()
        self.configure()
        self.pass_time(3.0)
        self.assertEqual(self.gateway.upstreams, [])

    def test_pipelined_requests_are_served_in_order(self) -> None:
        """Guards against a wait that outlives its request on an open connection."""
        caller = self.gateway.ask(X_Id="q1")
        caller.send(make_request("/chat/x", b"hi", "X-Key: k1", "X-Id: q1"))
        self.assertEqual(len(self.gateway.context.startup_queue.waiting), 1)
        self.configure()
        for _ in range(2):
            upstream = self.gateway.upstreams[-1]
            upstream.accept()
            upstream.respond(make_response())
            self.pass_time(0.0)

        self.assertEqual(caller.received.count(b"HTTP/1.1 200"), 2)

    def test_the_next_request_of_a_refused_caller_is_queued(self) -> None:
        """Guards against the end of one wait that also ends the next one."""
        caller = self.gateway.ask(X_Budget="1.5")
        self.pass_time(0.5)
        self.assertEqual(caller.status, 503)
        caller.send(make_request("/chat/x", b"hi", "X-Key: k1", "X-Budget: 9"))
        self.pass_time(0.5)
        self.assertEqual(len(self.gateway.context.startup_queue.waiting), 1)
        caller.leave()
        self.assertEqual(len(self.gateway.context.startup_queue.waiting), 0)
        self.configure()
        self.assertEqual(self.gateway.upstreams, [])

    def test_a_document_replaced_at_once_serves_queued_requests(self) -> None:
        """Guards against requests that are lost between two documents in succession."""
        caller = self.gateway.ask()
        self.configure(version=1)
        self.configure(version=2, routes=())
        [upstream] = self.gateway.upstreams
        upstream.accept()
        upstream.respond(make_response())
        self.assertEqual(caller.status, 200)
        self.assertEqual(self.gateway.ask().status, 404)

    def test_a_stopping_gateway_refuses_at_once(self) -> None:
        context: Any = self.gateway.context
        context.stopping = True
        self.assertEqual(self.gateway.ask().status, 503)


if __name__ == "__main__":
    unittest.main()
