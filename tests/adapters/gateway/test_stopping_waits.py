"""Tests of requests that wait at a gateway for something else as it stops."""

from __future__ import annotations

import unittest

from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.adapters.gateway.stopping import BALANCER_SECONDS
from waxwingwell.adapters.gateway.stopping import POLL_SECONDS
from waxwingwell.adapters.gateway.stopping import STOP_MARGIN
from waxwingwell.routing.limits import record_statement
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import GrantPermits
from waxwingwell.routing.records import RouteKind

from .support import LAST_CHUNK
from .support import Gateway
from .support import Upstream
from .support import make_gateway
from .support import make_response
from .support import make_settings
from .test_stopping import Shutdown
from .test_unstated_ends import BARE_HEAD
from .test_unstated_ends import FIRST_EVENT


KINDS = (
    (RouteKind.STREAM, FIRST_EVENT, LAST_CHUNK),
    (RouteKind.ONCE, b"all of it", b"all of it"),
)
"""Kind of route, body of the response, and the end that its caller gets."""
CHECK_SECONDS = 0.3
"""Seconds until an upstream accepts the connection that checks it."""
RATE = 2.0
"""Requests per second that an upstream takes."""
SHORT_GRACE = STOP_MARGIN + 1.0
"""Grace in seconds that is shorter than the wait for a permit."""


def end_by_close(upstream: Upstream, body: bytes) -> None:
    """End a response by the close of its connection."""
    upstream.respond(BARE_HEAD + body)
    upstream.close()


class UnstatedEndTest(unittest.TestCase):
    """A response has ended with its connection, and its upstream is being checked."""

    def test_the_stop_waits_for_the_check(self) -> None:
        """Guards against a whole response that is dropped before it is checked."""
        for kind, body, end in KINDS:
            with self.subTest(kind=kind):
                gateway = make_gateway(kind=kind)
                stop = Shutdown(gateway)
                caller = gateway.ask()
                [upstream] = gateway.upstreams
                upstream.accept()
                stop.signal()
                stop.wait(BALANCER_SECONDS)
                end_by_close(upstream, body)
                check = gateway.upstreams[-1]
                stop.wait(CHECK_SECONDS)
                self.assertFalse(stop.ended)
                check.accept()
                stop.wait(2 * POLL_SECONDS)
                self.assertTrue(caller.received.endswith(end))
                self.assertTrue(stop.ended)

    def test_an_unchecked_response_never_looks_complete(self) -> None:
        """Guards against a last chunk at the limit of a stop, before the check."""
        for kind, body, end in KINDS:
            with self.subTest(kind=kind):
                gateway = make_gateway(kind=kind)
                stop = Shutdown(gateway)
                caller = gateway.ask()
                [upstream] = gateway.upstreams
                upstream.accept()
                stop.signal()
                limit = gateway.context.settings.grace - STOP_MARGIN
                stop.wait(limit - CHECK_SECONDS)
                end_by_close(upstream, body)
                self.assertEqual(len(gateway.upstreams), 2)
                stop.wait(CHECK_SECONDS + STOP_MARGIN)
                self.assertTrue(stop.ended)
                self.assertFalse(caller.received.endswith(end))
                self.assertTrue(caller.transport.aborted or caller.status == 504)


class PermitTest(unittest.TestCase):
    """A request waits for a permit of the only upstream, which is at its limit."""

    def make_gateway(self) -> Gateway:
        """Return a gateway whose upstream needs permits."""
        gateway = make_gateway("u1", kind=RouteKind.ONCE)
        totals = FleetReport(gateways=9, use=(), grants=True)
        handle_cast(gateway.context, "c1", totals)
        limits = gateway.context.limits
        record_statement(limits, "u1", 1, RATE, sent_at=0.0, now=0.0)
        return gateway

    def test_a_permit_is_used_while_the_gateway_stops(self) -> None:
        """Guards against requests that are dropped because they wait."""
        gateway = self.make_gateway()
        stop = Shutdown(gateway)
        caller = gateway.ask()
        stop.signal()
        stop.wait(1.0)
        self.assertEqual((caller.status, gateway.upstreams), (0, []))
        granted = GrantPermits(
            reported_at=gateway.context.clock(), permits=("u1",), limits=()
        )
        handle_cast(gateway.context, "c1", granted)
        stop.wait(1.0)
        [upstream] = gateway.upstreams
        upstream.accept()
        upstream.respond(make_response(b"fine"))
        self.assertTrue(caller.received.endswith(b"fine"))

    def test_a_request_that_waits_at_the_limit_is_refused(self) -> None:
        """Guards against connections that end without a response."""
        gateway = self.make_gateway()
        gateway.context.settings = make_settings(grace=SHORT_GRACE)
        stop = Shutdown(gateway)
        caller = gateway.ask()
        stop.signal()
        stop.wait(SHORT_GRACE)
        self.assertTrue(stop.ended)
        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After", caller.received)
        self.assertEqual(gateway.upstreams, [])


if __name__ == "__main__":
    unittest.main()
