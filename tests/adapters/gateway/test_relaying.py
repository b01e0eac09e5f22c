"""Tests of gateways that have lost the path to all upstreams."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Any

from tests.adapters.registry.support import Registry
from tests.adapters.registry.support import make_registry
from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.adapters.gateway.steering import make_report
from waxwingwell.adapters.registry import hub
from waxwingwell.routing.records import RouteKind

from .support import Gateway
from .support import make_gateway


ADDRESSES = ("127.0.2.1", "127.0.2.2", "127.0.2.3")
"""Addresses of the gateways; upstreams are at 127.0.0.1."""


@dataclass(slots=True)
class Fleet:
    """Gateways that are connected to one control."""

    gateways: list[Gateway]
    registry: Registry = field(default_factory=make_registry)
    connections: list[Any] = field(default_factory=list)

    def share(self, seconds: float = 3.0) -> None:
        """Let the gateways report, and the control share what it knows."""
        for _ in range(round(seconds / 0.25)):
            for gateway, connection in zip(
                self.gateways, self.connections, strict=True
            ):
                report = make_report(gateway.context)
                hub.handle_cast(self.registry.context, connection.remote, report)

            self.registry.clock.advance(0.25)
            hub.run_sharing(self.registry.context, self.registry.clock.seconds())
            for gateway, connection in zip(
                self.gateways, self.connections, strict=True
            ):
                gateway.reactor.advance(0.25)
                for body in connection.sent:
                    handle_cast(gateway.context, "127.0.0.1", body)

                connection.sent.clear()


def make_fleet(count: int = 2, **route: Any) -> Fleet:
    """Return gateways that know of each other through their control."""
    fleet = Fleet([make_gateway(**route) for _ in range(count)])
    for address, gateway in zip(ADDRESSES, fleet.gateways, strict=False):
        settings = gateway.context.settings
        gateway.context.settings = replace(settings, node=address, address=address)
        connection = fleet.registry.accept(f"gateway-{address}")
        hub.handle_connection(fleet.registry.context, connection)
        fleet.connections.append(connection)

    fleet.share()
    return fleet


def lose_path(gateway: Gateway) -> None:
    """Refuse the gateway's connections to upstreams that it opens next."""
    for upstream in gateway.upstreams:
        if upstream.host not in ADDRESSES:
            upstream.refuse()


class RelayTest(unittest.TestCase):
    """Requests go through another gateway that reaches the upstreams."""

    def test_a_gateway_without_a_path_asks_another_gateway(self) -> None:
        """Guards against refusals though other gateways reach all upstreams."""
        for kind in RouteKind:
            with self.subTest(kind=kind):
                fleet = make_fleet(kind=kind)
                [cut, other] = fleet.gateways
                caller = cut.ask()
                for _ in range(3):
                    lose_path(cut)

                self.assertEqual(caller.status, 0)
                self.assertEqual(cut.upstreams[-1].host, ADDRESSES[1])
                self.assertEqual(other.upstreams, [])
