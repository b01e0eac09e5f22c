"""Tests of gateways that send to upstreams which state their limits."""

from __future__ import annotations

import unittest
from typing import Any

from tests.routing.factories import make_announcement
from tests.routing.factories import make_document
from tests.routing.factories import make_route
from waxwingwell.adapters.gateway.reporting import make_report
from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.adapters.gateway.upstream_waits import POLL_SECONDS
from waxwingwell.routing.fleet import apply_announcement
from waxwingwell.routing.limits import record_statement
from waxwingwell.routing.lookup import index_document
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import GrantPermits
from waxwingwell.routing.records import RouteKind
from waxwingwell.routing.records import Service
from waxwingwell.routing.retries import list_retries
from waxwingwell.routing.warmup import WarmUpLimits

from .support import LAST_CHUNK
from .support import Gateway
from .support import make_chunk
from .support import make_gateway
from .support import make_response
from .support import make_settings
from .support import make_stream_head


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
    [upstream] = gateway.calls
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


def apply_limit(gateway: Gateway, *names: str) -> None:
    """Let a gateway know of upstreams that each take ``RATE`` requests per second."""
    now = gateway.reactor.seconds()
    for name in names:
        record_statement(gateway.context.limits, name, 1, RATE, sent_at=now, now=now)


class PermitTest(unittest.TestCase):
    """Requests to upstreams at their limits, while a control grants permits."""

    def make_gateway(self, *names: str, **route: Any) -> Gateway:
        """Return one of nine gateways, with limits at all of its upstreams."""
        gateway = make_gateway(*names, **route)
        totals = FleetReport(gateways=9, use=(), grants=True)
        handle_cast(gateway.context, "c1", totals)
        apply_limit(gateway, *names)
        return gateway

    def grant(self, gateway: Gateway, *upstreams: str) -> None:
        """Report the gateway's needs and let the control grant permits."""
        report = make_report(gateway.context)
        assert report.reported_at is not None
        granted = GrantPermits(reported_at=report.reported_at, permits=upstreams)
        handle_cast(gateway.context, "c1", granted)

    def test_an_upstream_without_a_permit_is_left_out(self) -> None:
        for kind in RouteKind:
            with self.subTest(kind=kind):
                gateway = self.make_gateway("u1", "u2", kind=kind)
                gateway.context.limits.upstreams.pop("u2")
                for _ in range(8):
                    gateway.ask()

                sent = [one.accept() for one in gateway.calls]
                self.assertEqual(sum(b"X-Upstream: u2" in one for one in sent), 8)

    def test_a_request_waits_for_a_permit(self) -> None:
        """Guards against refusals although a permit comes in time."""
        gateway = self.make_gateway("u1")
        caller = gateway.ask()
        self.assertEqual(gateway.calls, [])
        self.grant(gateway, "u1")
        gateway.reactor.advance(POLL_SECONDS)
        [upstream] = gateway.calls
        upstream.accept()
        upstream.respond(make_stream_head() + make_chunk(b"id: 1\n\n") + LAST_CHUNK)
        self.assertEqual(caller.status, 200)

    def test_a_request_that_waits_in_vain_is_refused_early(self) -> None:
        """Guards against callers that wait until their deadline for a refusal."""
        gateway = self.make_gateway("u1")
        caller = gateway.ask()
        for _ in range(14):
            gateway.reactor.advance(POLL_SECONDS)

        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After", caller.received)
        self.assertEqual(gateway.calls, [])
        self.assertEqual(len(gateway.context.exchanges), 0)

    def test_a_request_without_a_chance_of_a_permit_is_refused_at_once(self) -> None:
        gateway = self.make_gateway("u1")
        caller = gateway.ask(X_Budget="1")
        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After", caller.received)

    def test_waits_do_not_use_the_retry_budget(self) -> None:
        """Guards against limits that leave no retries for failures."""
        gateway = self.make_gateway("u1")
        gateway.ask()
        gateway.reactor.advance(POLL_SECONDS)
        limits = gateway.context.settings.retries
        [counts] = list_retries(gateway.context.retries, limits, 1.0)
        self.assertEqual(counts.repeats, 0)

    def test_a_retry_needs_a_permit_too(self) -> None:
        """Guards against retries and resumed streams that overrun a limit."""
        gateway = self.make_gateway("u1", "u2")
        gateway.context.limits.upstreams.pop("u2")
        gateway.ask()
        [upstream] = gateway.calls
        upstream.accept()
        upstream.respond(make_stream_head() + make_chunk(b"id: 1\n\n"))
        upstream.reset()
        gateway.reactor.advance(1.0)
        for one in gateway.calls[1:]:
            self.assertIn(b"X-Upstream: u2", one.accept())

    def test_the_first_to_be_told_tells_the_others(self) -> None:
        """Guards against a limit that only the gateways with a response know of."""
        gateway = self.make_gateway("u1", "u2")
        [state] = [
            one for one in make_report(gateway.context).limits if one.upstream == "u1"
        ]
        other = make_gateway("u1", "u2", kind=RouteKind.IDEMPOTENT)
        handle_cast(other.context, "c1", FleetReport(gateways=9, use=(), grants=True))
        handle_cast(other.context, "c1", GrantPermits(reported_at=0.0, limits=(state,)))
        for _ in range(8):
            other.ask()

        sent = [one.accept() for one in other.calls]
        self.assertEqual(sum(b"X-Upstream: u2" in one for one in sent), 8)


class ColdTest(unittest.TestCase):
    """Cold upstreams, whose limit holds for all gateways together."""

    def ask(self, gateways: int, *, grants: bool) -> tuple[int, int]:
        """Return how many of 8 requests are sent, and how many permits are wanted."""
        gateway = make_gateway("u1", kind=RouteKind.IDEMPOTENT)
        service = Service(name="chat", slots=4, warm_up_seconds=3.0, warm_up_rate=7.8)
        document = make_document(
            routes=(make_route(kind=RouteKind.IDEMPOTENT),), services=(service,)
        )
        gateway.context.index = index_document(document)
        gateway.context.settings = make_settings(warm_up=WarmUpLimits(1.5, 5.0))
        gateway.context.warm_up.began_at = -10.0
        cold = make_announcement("u1", warming=30.0, sequence=2)
        apply_announcement(gateway.context.fleet, cold, 0.0)
        totals = FleetReport(gateways=gateways, use=(), grants=grants)
        handle_cast(gateway.context, "c1", totals)
        for _ in range(8):
            gateway.ask()

        wanted = sum(one.wanted for one in make_report(gateway.context).permits)
        return len(gateway.calls), wanted

    def test_cold_upstreams_need_no_permits(self) -> None:
        for gateways, sent in ((2, 8), (8, 2), (88, 0)):
            for grants in (True, False):
                with self.subTest(gateways=gateways, grants=grants):
                    self.assertEqual(self.ask(gateways, grants=grants), (sent, 0))
