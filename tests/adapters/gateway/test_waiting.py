"""Requests that reach a gateway before its first configuration."""

from __future__ import annotations

import unittest
import zlib
from typing import Any

import msgspec

from tests.adapters.http.test_server import make_request
from tests.routing.factories import make_document
from waxwingwell.adapters.gateway import waiting
from waxwingwell.adapters.gateway.steering import take_cast
from waxwingwell.routing.messages import ShareRouting

from .support import Caller
from .support import make_answer
from .support import make_gateway


def raise_error() -> None:
    """Fail."""
    raise RuntimeError


class WaitingTest(unittest.TestCase):
    """A gateway that has just started, as the controls elect a leader."""

    def setUp(self) -> None:
        self.gateway = make_gateway()
        self.gateway.context.index = None

    def configure(self, version: int = 1, **fields: Any) -> None:
        """Let a control tell of a document."""
        encoded = msgspec.msgpack.encode(make_document(version=version, **fields))
        body = ShareRouting(
            index=version, version=version, document=zlib.compress(encoded), rollouts=()
        )
        take_cast(self.gateway.context, "control", body)

    def pass_time(self, seconds: float) -> None:
        """Let time pass."""
        self.gateway.reactor.advance(seconds)

    def test_requests_are_served_once_there_is_a_configuration(self) -> None:
        """Callers are refused twice in the second before, and are lost."""
        callers = [self.gateway.ask(X_Id="q1") for _ in range(3)]
        self.pass_time(0.7)
        self.assertEqual([caller.status for caller in callers], [0, 0, 0])
        self.configure()
        for upstream in self.gateway.upstreams:
            upstream.accept()
            upstream.answer(make_answer())

        self.assertEqual([caller.status for caller in callers], [200, 200, 200])

    def test_a_control_without_a_document_ends_no_wait(self) -> None:
        caller = self.gateway.ask()
        body = ShareRouting(index=0, version=-1, document=b"", rollouts=())
        take_cast(self.gateway.context, "control", body)
        self.assertEqual(caller.status, 0)

    def test_a_fault_with_one_request_is_none_of_the_others(self) -> None:
        """The first of those that wait can't be served; the rest must not be lost."""
        startup_queue = self.gateway.context.startup_queue
        self.gateway.ask()
        served = self.gateway.ask()
        first = next(iter(startup_queue.waiting))
        first.serve = raise_error
        self.configure()
        [upstream] = self.gateway.upstreams
        upstream.accept()
        upstream.answer(make_answer())
        self.assertEqual(served.status, 200)

    def test_the_wait_counts_as_a_part_of_the_callers_time(self) -> None:
        self.gateway.ask(X_Budget="6")
        self.pass_time(1.5)
        self.configure()
        [exchange] = self.gateway.context.exchanges
        self.assertEqual(exchange.deadline, 6.0)

    def test_how_long_a_request_waits(self) -> None:
        for name, budget, early, late in (
            ("a caller with little time", "1.5", 0.45, 0.1),
            ("a caller with much", "30", 1.9, 0.2),
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

    def test_few_wait_at_a_time(self) -> None:
        callers = [self.gateway.ask() for _ in range(waiting.MAX_WAITING + 1)]
        refused = [caller for caller in callers if caller.status == 503]
        self.assertEqual(refused, callers[-1:])

    def test_whoever_leaves_is_not_served(self) -> None:
        caller: Caller = self.gateway.ask()
        caller.leave()
        self.configure()
        self.pass_time(3.0)
        self.assertEqual(self.gateway.upstreams, [])

    def test_requests_that_were_sent_ahead_are_served_in_turn(self) -> None:
        """Guards against a wait that outlives its request on a kept connection."""
        caller = self.gateway.ask(X_Id="q1")
        caller.send(make_request("/chat/x", b"hi", "X-Key: k1", "X-Id: q1"))
        self.assertEqual(len(self.gateway.context.startup_queue.waiting), 1)
        self.configure()
        for _ in range(2):
            upstream = self.gateway.upstreams[-1]
            upstream.accept()
            upstream.answer(make_answer())
            self.pass_time(0.0)

        self.assertEqual(caller.received.count(b"HTTP/1.1 200"), 2)

    def test_the_next_request_of_a_refused_caller_waits_anew(self) -> None:
        """Guards against the end of one wait that ends the next one, too."""
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

    def test_a_document_that_is_replaced_at_once_serves_who_waited(self) -> None:
        """Guards against requests that are lost between two documents."""
        caller = self.gateway.ask()
        self.configure(version=1)
        self.configure(version=2, routes=())
        [upstream] = self.gateway.upstreams
        upstream.accept()
        upstream.answer(make_answer())
        self.assertEqual(caller.status, 200)
        self.assertEqual(self.gateway.ask().status, 404)

    def test_a_stopping_gateway_refuses_at_once(self) -> None:
        context: Any = self.gateway.context
        context.stopping = True
        self.assertEqual(self.gateway.ask().status, 503)


if __name__ == "__main__":
    unittest.main()
