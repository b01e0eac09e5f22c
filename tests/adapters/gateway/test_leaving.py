"""Tests of upstreams that say in their responses that they leave."""

from __future__ import annotations

import unittest
from typing import Any

from tests.routing.factories import make_announcement
from waxwingwell.routing.fleet import UpstreamState
from waxwingwell.routing.fleet import apply_announcement
from waxwingwell.routing.limits import drop_limits
from waxwingwell.routing.records import RouteKind

from .paths import PATHS
from .paths import add_upstream
from .paths import count_asked
from .paths import make_sole_gateway
from .support import LAST_CHUNK
from .support import Gateway
from .support import make_chunk
from .support import make_response
from .support import make_stream_head


LEAVING = "X-Leaving: 1"
DRAIN_SECONDS = 2.0
STREAM = make_stream_head(LEAVING) + make_chunk(b"id: 1\ndata: a\n\n") + LAST_CHUNK


def make_left(response: bytes = STREAM, **route: Any) -> Gateway:
    """Return a gateway to which u1, then its only upstream, has said that it leaves."""
    gateway = make_sole_gateway("u1", **route)
    gateway.ask()
    [upstream] = gateway.upstreams
    upstream.accept()
    upstream.respond(response)
    gateway.reactor.tcpClients.clear()
    add_upstream(gateway, "u2")
    return gateway


def announce(gateway: Gateway, **fields: object) -> None:
    """Let u1 announce itself."""
    announcement = make_announcement("u1", **fields)
    apply_announcement(gateway.context.fleet, announcement, gateway.reactor.seconds())
    drop_limits(
        gateway.context.limits,
        gateway.context.fleet.upstreams,
        gateway.reactor.seconds(),
    )


def ask_often(gateway: Gateway) -> int:
    """Send some requests; return how many reach the upstream that had left."""
    for _ in range(20):
        gateway.ask()

    return count_asked(gateway, "u1")


class LeavingTest(unittest.TestCase):
    """One upstream leaves, another is there."""

    def test_an_upstream_that_leaves_gets_no_request(self) -> None:
        """Guards against requests on any path to an upstream that said it leaves."""
        for name, act, route in PATHS:
            with self.subTest(name):
                gateway = make_left(STREAM, **route)
                for _ in range(6):
                    act(gateway)
                    gateway.reactor.advance(0.8)

                self.assertEqual(count_asked(gateway, "u1"), 0)

    def test_any_response_may_say_so(self) -> None:
        """Guards against statements that only successes are read for."""
        rejection = make_response(b"", 503, "X-Not-Run: 1", LEAVING)
        for name, kind, response in (
            ("error", RouteKind.IDEMPOTENT, make_response(b"no", 500, LEAVING)),
            ("not found", RouteKind.ONCE, make_response(b"no", 404, LEAVING)),
            ("rejection", RouteKind.ONCE, rejection),
            ("success", RouteKind.ONCE, make_response(b"fine", 200, LEAVING)),
            ("unsigned", RouteKind.ONCE, rejection.replace(b"X-Signed: 1\r\n", b"")),
        ):
            with self.subTest(name):
                self.assertEqual(ask_often(make_left(response, kind=kind)), 0)

    def test_closing_a_connection_is_not_leaving(self) -> None:
        """Guards against sound upstreams that are left unused."""
        response = make_response(b"fine", 200, "Connection: close")
        gateway = make_left(response, kind=RouteKind.IDEMPOTENT)
        self.assertGreater(ask_often(gateway), 0)

    def test_requests_are_refused_if_no_other_upstream_is_there(self) -> None:
        """Guards against requests that wait for an upstream that will not serve."""
        gateway = make_sole_gateway("u1", kind=RouteKind.ONCE)
        gateway.ask()
        [upstream] = gateway.upstreams
        upstream.accept()
        upstream.respond(make_response(b"fine", 200, LEAVING))
        gateway.reactor.tcpClients.clear()
        self.assertEqual(gateway.ask().status, 503)
        self.assertEqual(gateway.upstreams, [])

    def test_only_a_newer_statement_ends_it(self) -> None:
        """Guards against late heartbeats that bring a leaving upstream back."""
        serving = UpstreamState.SERVING
        for name, seconds, fields, used in (
            ("late heartbeat", 1.0, {"sequence": 2}, False),
            ("later heartbeats", 59.0, {"sequence": 40}, False),
            ("still serving after a minute", 61.0, {"sequence": 50}, True),
            ("leave announced", 61.0, {"state": UpstreamState.LEAVING}, False),
            ("new incarnation", 1.0, {"incarnation": 2, "state": serving}, True),
            ("older incarnation", 61.0, {"incarnation": 0, "sequence": 9}, False),
        ):
            with self.subTest(name):
                gateway = make_left()
                gateway.reactor.advance(seconds)
                announce(gateway, **{"sequence": 2, **fields})
                self.assertEqual(ask_often(gateway) > 0, used)
