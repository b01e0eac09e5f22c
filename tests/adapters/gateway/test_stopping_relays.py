"""Tests of gateways that stop while a request goes through two of them."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from dataclasses import replace
from functools import partial
from typing import Any

from waxwingwell.adapters.gateway.arrivals import handle_relayed
from waxwingwell.adapters.gateway.stopping import BALANCER_SECONDS
from waxwingwell.adapters.gateway.stopping import POLL_SECONDS
from waxwingwell.adapters.gateway.stopping import STOP_MARGIN
from waxwingwell.adapters.http.connection import HttpConnection
from waxwingwell.adapters.http.records import HttpLimits
from waxwingwell.adapters.http.server import HttpService
from waxwingwell.routing.records import RouteKind

from .support import LAST_CHUNK
from .support import Caller
from .support import Gateway
from .support import Upstream
from .support import make_chunk
from .support import make_response
from .support import make_stream_head
from .support import make_transport
from .test_relaying import ADDRESSES
from .test_relaying import Relayed
from .test_relaying import cut_off
from .test_relaying import lose_path
from .test_relaying import make_fleet
from .test_stopping import Shutdown


FIRST_EVENT = make_stream_head() + make_chunk(b"id: 1\ndata: a\n\n")
LAST_EVENT = make_chunk(b"id: 2\ndata: b\n\n") + LAST_CHUNK
LAST_DATA = b"data: b\n\n"
ANSWERS = (
    (RouteKind.STREAM, FIRST_EVENT, LAST_EVENT, LAST_CHUNK),
    (RouteKind.ONCE, make_response(b"all of it")[:-3], b" it", b"all of it"),
)
"""Kind of route; the two parts of an upstream's response; the end that callers get."""
SLOW_SECONDS = 1.0
"""Seconds for which a reader stands still before the end of its response."""


@dataclass(slots=True)
class Hop:
    """A request that a gateway without a path sends through another one."""

    near: Gateway
    far: Gateway
    caller: Caller
    relayed: Relayed
    upstream: Upstream
    service: HttpService

    def stop(self, gateway: Gateway) -> Shutdown:
        """Signal one of the gateways to stop."""
        stop = Shutdown(gateway)
        if gateway is self.far:
            stop.daemon = replace(stop.daemon, relays=self.service)

        stop.signal()
        return stop

    def wait(self, stop: Shutdown, seconds: float) -> None:
        """Let time pass at the stopping gateway, and bytes between the two."""
        for _ in range(round(seconds / POLL_SECONDS)):
            stop.wait(POLL_SECONDS)
            self.pump()

    def pump(self) -> None:
        """Forward bytes and the end of the connection between the gateways."""
        self.relayed.pump()
        if self.relayed.far_transport.aborted and self.relayed.near.transport.connected:
            self.relayed.near.reset()


def open_hop(count: int = 2, **route: Any) -> Hop:
    """Return a request that has reached an upstream through another gateway."""
    gateways = make_fleet(count, **route).gateways
    near = gateways[0]
    cut_off(near)
    caller = near.ask()
    first = near.upstreams[-1]
    return open_far(near, gateways, caller, first)


def open_far(
    near: Gateway, gateways: list[Gateway], caller: Caller, connection: Upstream
) -> Hop:
    """Accept a connection of the near gateway at the one that it is opened to."""
    far = gateways[ADDRESSES.index(connection.host)]
    service = HttpService(
        reactor=far.reactor,
        handle=partial(handle_relayed, far.context),
        limits=HttpLimits,
    )
    accepted: Any = HttpConnection(service)
    transport = make_transport()
    transport.protocol = accepted
    accepted.makeConnection(transport)
    connection.accept()
    relayed = Relayed(connection, accepted, transport)
    relayed.pump()
    upstream = far.upstreams[-1]
    upstream.accept()
    return Hop(near, far, caller, relayed, upstream, service)


class RelayStopTest(unittest.TestCase):
    """One of the two gateways is told to stop while the response arrives."""

    def test_the_response_arrives_whole(self) -> None:
        """Guards against a response cut at the second hop as a gateway stops."""
        for kind, first, last, end in ANSWERS:
            for stops in ("near", "far"):
                with self.subTest(kind=kind, stops=stops):
                    hop = open_hop(kind=kind)
                    hop.upstream.respond(first)
                    stop = hop.stop(hop.near if stops == "near" else hop.far)
                    hop.wait(stop, BALANCER_SECONDS + SLOW_SECONDS)
                    self.assertFalse(stop.ended)
                    hop.upstream.respond(last)
                    hop.pump()
                    self.assertTrue(hop.caller.received.endswith(end))
                    self.assertFalse(hop.caller.transport.aborted)

    def test_the_stop_waits_for_the_last_byte(self) -> None:
        """Guards against a process that ends with the response in its buffer."""
        for kind, first, last, end in ANSWERS:
            for stops in ("near", "far"):
                with self.subTest(kind=kind, stops=stops):
                    hop = open_hop(kind=kind)
                    near = stops == "near"
                    held = hop.caller.transport if near else hop.relayed.far_transport
                    held.held = True
                    stop = hop.stop(hop.near if near else hop.far)
                    hop.wait(stop, BALANCER_SECONDS)
                    hop.upstream.respond(first + last)
                    hop.wait(stop, SLOW_SECONDS)
                    self.assertFalse(stop.ended)
                    held.release()
                    hop.wait(stop, SLOW_SECONDS)
                    self.assertTrue(hop.caller.received.endswith(end))
                    self.assertTrue(stop.ended)

    def test_a_stream_outlasts_the_stop_of_its_relay(self) -> None:
        """Guards against a stream cut at the limit of its relay's stop.

        The gateway that its caller is connected to goes on through another one.
        """
        hop = open_hop(3)
        hop.upstream.respond(FIRST_EVENT)
        stop = hop.stop(hop.far)
        limit = hop.far.context.settings.grace - STOP_MARGIN
        hop.wait(stop, limit + STOP_MARGIN)
        self.assertTrue(stop.ended)
        self.assertFalse(hop.caller.transport.aborted)
        again = hop.near.upstreams[-1]
        self.assertNotEqual(again.host, hop.relayed.near.host)
        self.assertIn(b"X-After: 1", again.accept())
        again.respond(make_stream_head() + LAST_EVENT)
        self.assertTrue(hop.caller.received.endswith(LAST_CHUNK))
        self.assertIn(LAST_DATA, hop.caller.received)

    def test_a_stopping_relay_refuses_what_it_cannot_finish(self) -> None:
        """Guards against requests that a relay takes and cuts at its limit."""
        gateways = make_fleet(3).gateways
        near = gateways[0]
        cut_off(near)
        for gateway in gateways[1:]:
            gateway.context.stopping = True
            gateway.context.exit_at = gateway.context.clock() + 1.0

        caller = near.ask()
        asked = []
        for _ in range(2):
            connection = near.upstreams[-1]
            asked.append(connection.host)
            far = gateways[ADDRESSES.index(connection.host)]
            refuse_at(far, connection)

        self.assertEqual(set(asked), set(ADDRESSES[1:]))
        for _ in range(3):
            lose_path(near)

        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After", caller.received)


def refuse_at(far: Gateway, connection: Upstream) -> None:
    """Let a stopping gateway refuse a relayed request."""
    service = HttpService(
        reactor=far.reactor,
        handle=partial(handle_relayed, far.context),
        limits=HttpLimits,
        stopping=True,
    )
    accepted: Any = HttpConnection(service)
    transport = make_transport()
    transport.protocol = accepted
    accepted.makeConnection(transport)
    connection.accept()
    Relayed(connection, accepted, transport).pump()


if __name__ == "__main__":
    unittest.main()
