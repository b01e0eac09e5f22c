"""Tests of upstreams that reject a request and ask this gateway for rest."""

from __future__ import annotations

import unittest

from tests.routing.factories import make_announcement
from tests.routing.factories import make_document
from tests.routing.factories import make_route
from waxwingwell.adapters.gateway.exchange import RETRY_DELAY_SECONDS
from waxwingwell.adapters.gateway.probing import list_probed
from waxwingwell.routing.fleet import apply_announcement
from waxwingwell.routing.lookup import index_document
from waxwingwell.routing.records import RouteKind
from waxwingwell.routing.records import Service
from waxwingwell.routing.retries import RetryLimits
from waxwingwell.routing.retries import list_retries

from .paths import PATHS
from .paths import PORTS
from .paths import add_upstream
from .paths import count_asked
from .paths import make_sole_gateway
from .paths import probe_upstreams
from .support import LAST_CHUNK
from .support import Caller
from .support import Gateway
from .support import Upstream
from .support import make_chunk
from .support import make_response
from .support import make_settings
from .support import make_stream_head


REST_SECONDS = 3.0
RESTING = make_response(b"", 503, "X-Not-Run: 1", f"X-Rest: {REST_SECONDS}")
SHORT_REST = make_response(b"", 503, "X-Not-Run: 1", "X-Rest: 0.4")
EVENT = make_chunk(b"id: 1\ndata: a\n\n")


def reject(gateway: Gateway, response: bytes = RESTING) -> Upstream:
    """Let the upstream asked last reject its request."""
    upstream = gateway.calls[-1]
    upstream.accept()
    upstream.respond(response)
    return upstream


def make_resting(**route: object) -> Gateway:
    """Return a gateway that u1, then its only upstream, has asked for rest."""
    gateway = make_sole_gateway("u1", **route)
    gateway.ask()
    reject(gateway)
    gateway.reactor.tcpClients.clear()
    add_upstream(gateway, "u2")
    return gateway


class RestTest(unittest.TestCase):
    """One upstream rests; what leads to it on other days must not."""

    def test_an_upstream_that_rests_gets_no_request(self) -> None:
        """Guards against requests on any path to an upstream that asked for rest."""
        for name, act, route in (*PATHS, ("probe", probe_upstreams, {})):
            with self.subTest(name):
                gateway = make_resting(**route)
                while gateway.reactor.seconds() < REST_SECONDS - 0.5:
                    act(gateway)
                    gateway.reactor.advance(0.2)

                self.assertEqual(count_asked(gateway, "u1"), 0)

    def test_an_upstream_is_used_again_after_its_rest(self) -> None:
        """Guards against upstreams that are left unused once they have rested."""
        gateway = make_resting()
        gateway.reactor.advance(REST_SECONDS)
        for _ in range(20):
            gateway.ask()

        self.assertGreater(count_asked(gateway, "u1"), 0)

    def test_a_rest_may_be_that_of_a_process_not_known_yet(self) -> None:
        """Guards against a late announcement that ends the rest of its own process."""
        gateway = make_resting()
        apply_announcement(
            gateway.context.fleet, make_announcement("u1", incarnation=2), 0.0
        )
        for _ in range(20):
            gateway.ask()

        self.assertEqual(count_asked(gateway, "u1"), 0)

    def test_the_longest_rest_counts(self) -> None:
        """Guards against a later, shorter rest that ends a longer one."""
        gateway = make_sole_gateway("u1")
        asked = [gateway.ask() for _ in range(2)]
        self.assertEqual(len(asked), 2)
        for upstream, response in zip(
            gateway.calls, (RESTING, SHORT_REST), strict=True
        ):
            upstream.accept()
            upstream.respond(response)

        gateway.reactor.tcpClients.clear()
        gateway.reactor.advance(REST_SECONDS - 0.5)
        gateway.ask(X_Budget="0.2")
        self.assertEqual(gateway.calls, [])

    def test_a_rejected_probe_counts_as_well(self) -> None:
        """Guards against requests to an upstream that has rejected a probe."""
        gateway = make_sole_gateway("u1", "u2")
        probe_upstreams(gateway)
        for probe in gateway.calls:
            if probe.port == PORTS["u1"]:
                probe.accept()
                probe.respond(RESTING)
            else:
                probe.refuse()

        asked = count_asked(gateway, "u1")
        self.assertGreater(asked, 0)
        for _ in range(6):
            gateway.ask()

        self.assertEqual(count_asked(gateway, "u1"), asked)

    def test_probes_prefer_no_resting_upstream(self) -> None:
        """Guards against probes as requests that an upstream does not want."""
        gateway = make_resting()
        probed = list_probed(gateway.context, gateway.reactor.seconds())
        self.assertEqual([one.upstream for one in probed], ["u2"])


class AllRestTest(unittest.TestCase):
    """All upstreams of a service rest."""

    def rest_all(self, response: bytes = RESTING, **route: object) -> Gateway:
        """Return a gateway whose only upstream rests."""
        gateway = make_sole_gateway("u1", **route)
        gateway.ask()
        reject(gateway, response)
        gateway.reactor.tcpClients.clear()
        return gateway

    def test_a_request_is_refused_with_the_end_of_the_rest(self) -> None:
        """Guards against callers that come back before an upstream may serve them."""
        gateway = self.rest_all()
        caller = gateway.ask(X_Budget="6")
        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After: 1.98\r\n", caller.received)
        self.assertEqual(gateway.calls, [])

    def test_a_short_rest_is_waited_for(self) -> None:
        """Guards against refusals of requests that could be served in time."""
        for kind in RouteKind:
            with self.subTest(kind=kind):
                gateway = self.rest_all(SHORT_REST, kind=kind)
                caller = gateway.ask()
                self.assertEqual(caller.status, 0)
                gateway.reactor.advance(0.35)
                self.assertEqual(gateway.calls, [])
                gateway.reactor.advance(0.3)
                self.assertEqual(len(gateway.calls), 1)

    def test_waiting_requests_do_not_arrive_together(self) -> None:
        """Guards against a crowd at an upstream that has just rested."""
        gateway = self.rest_all(SHORT_REST)
        waiting = 30
        for _ in range(waiting):
            gateway.ask()

        arrived = []
        for _ in range(30):
            before = len(gateway.calls)
            gateway.reactor.advance(0.025)
            arrived.append(len(gateway.calls) - before)

        self.assertEqual(sum(arrived), waiting)
        self.assertLess(max(arrived), waiting / 2)

    def test_the_caller_of_the_rejected_request_learns_the_rest(self) -> None:
        """Guards against a Retry-After that ignores the rest just asked for."""
        gateway = make_sole_gateway("u1")
        caller = gateway.ask(X_Budget="6")
        reject(gateway)
        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After: 1.98\r\n", caller.received)

    def test_a_started_stream_waits_for_the_rest(self) -> None:
        """Guards against a resumed stream that asks its only upstream again at once."""
        gateway = make_sole_gateway("u1")
        caller, upstream = self.start_stream(gateway)
        upstream.reset()
        gateway.reactor.advance(RETRY_DELAY_SECONDS)
        reject(gateway)
        asked = len(gateway.calls)
        for _ in range(14):
            gateway.reactor.advance(RETRY_DELAY_SECONDS)

        self.assertEqual(len(gateway.calls), asked)
        gateway.reactor.advance(3 * RETRY_DELAY_SECONDS)
        self.assertEqual(len(gateway.calls), asked + 1)
        last = gateway.calls[-1]
        last.accept()
        last.respond(
            make_stream_head() + make_chunk(b"id: 2\ndata: b\n\n") + LAST_CHUNK
        )
        self.assertTrue(caller.received.endswith(LAST_CHUNK))

    def start_stream(self, gateway: Gateway) -> tuple[Caller, Upstream]:
        """Request a stream and forward its first event."""
        caller = gateway.ask()
        upstream = gateway.calls[-1]
        upstream.accept()
        upstream.respond(make_stream_head() + EVENT)
        return caller, upstream


class BudgetTest(unittest.TestCase):
    """Rejections that ask for rest, and the retry budget."""

    def test_rounds_over_resting_upstreams_leave_budget_for_failures(self) -> None:
        """Guards against rejections that use up the retries of failed requests."""
        limits = RetryLimits(ratio=0.0, slack=10.0, window=10.0)
        gateway = make_sole_gateway(*(f"u{number}" for number in range(1, 40)))
        gateway.context.settings = make_settings(retries=limits)
        gateway.context.index = index_document(
            make_document(
                routes=(make_route(max_attempts=6),),
                services=(Service(name="chat", slots=4),),
            )
        )
        for _ in range(12):
            gateway.ask()
            asked = 0
            while len(gateway.calls) > asked:
                asked = len(gateway.calls)
                reject(gateway)

            gateway.reactor.tcpClients.clear()

        [counts] = list_retries(gateway.context.retries, limits, 0.0)
        self.assertLessEqual(counts.repeats, 6)
        gateway.ask()
        upstream = gateway.calls[-1]
        upstream.accept()
        upstream.reset()
        self.assertEqual(len(gateway.calls), 2)
