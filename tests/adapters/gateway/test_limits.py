"""Tests of gateways that send to upstreams which state their limits."""

from __future__ import annotations

import unittest

from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.records import RouteKind

from .support import Gateway
from .support import make_gateway
from .support import make_response


RATE = 2.0
WINDOW_SECONDS = 4.0
ALLOWED = 1.5 * RATE * WINDOW_SECONDS + 5
"""Requests that an upstream with this limit may get within the window."""
STEP_SECONDS = 0.25
TOLD_SECONDS = 0.5
"""Seconds after which a gateway that has passed a limit on must keep it."""


def serve(gateway: Gateway, limited: int) -> bool:
    """Serve one request; return whether the limited upstream got it.

    ``limited`` is the port of the upstream that names its limit.
    """
    gateway.ask()
    [upstream] = gateway.upstreams
    gateway.reactor.tcpClients.clear()
    upstream.accept()
    named = [f"X-Limit: {RATE}"] if upstream.port == limited else []
    upstream.respond(make_response(b"fine", 200, *named))
    return upstream.port == limited


def count_worst_window(times: list[float]) -> int:
    """Return the largest number of requests within the window."""
    return max(
        (sum(at <= one < at + WINDOW_SECONDS for one in times) for at in times),
        default=0,
    )


class RateLimitTest(unittest.TestCase):
    """An upstream names the requests per second that it takes from all gateways."""

    def play(self, gateways: int, seconds: float) -> list[float]:
        """Return the times at which the limited upstream gets requests."""
        fleet = [make_gateway(kind=RouteKind.IDEMPOTENT) for _ in range(gateways)]
        [limited] = {
            held.announcement.port
            for held in fleet[0].context.fleet.upstreams.values()
            if held.announcement.upstream == "u1"
        }
        times = []
        for step in range(round(seconds / STEP_SECONDS)):
            for gateway in fleet:
                handle_cast(
                    gateway.context, "c1", FleetReport(gateways=gateways, use=())
                )
                if serve(gateway, limited):
                    times.append(step * STEP_SECONDS)

                gateway.reactor.advance(STEP_SECONDS)

        return times

    def test_gateways_that_were_told_keep_the_limit_together(self) -> None:
        """Guards against an upstream in need that gets more than it can take."""
        for gateways in (1, 9, 83):
            with self.subTest(gateways=gateways):
                times = self.play(gateways, 12.0)
                told = [at for at in times if at >= times[0] + 2 + TOLD_SECONDS]
                self.assertLessEqual(count_worst_window(told), ALLOWED)
