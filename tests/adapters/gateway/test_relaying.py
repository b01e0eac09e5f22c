"""Tests of gateways that have lost the path to all upstreams."""

from __future__ import annotations

import unittest
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from functools import partial
from typing import Any

from twisted.internet.error import ConnectionLost
from twisted.python.failure import Failure

from tests.adapters.registry.support import Registry
from tests.adapters.registry.support import make_registry
from tests.routing.factories import make_announcement
from tests.routing.factories import make_rollout
from waxwingwell.adapters.gateway.arrivals import handle_relayed
from waxwingwell.adapters.gateway.probing import list_probed
from waxwingwell.adapters.gateway.probing import probe_path
from waxwingwell.adapters.gateway.probing import record_reached
from waxwingwell.adapters.gateway.probing import record_unanswered
from waxwingwell.adapters.gateway.reporting import make_report
from waxwingwell.adapters.gateway.steering import RELAY_RETENTION_SECONDS
from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.adapters.http.connection import HttpConnection
from waxwingwell.adapters.http.records import HttpLimits
from waxwingwell.adapters.http.server import HttpService
from waxwingwell.adapters.registry import hub
from waxwingwell.routing.fleet import UpstreamState
from waxwingwell.routing.fleet import apply_announcement
from waxwingwell.routing.health import is_backing_off
from waxwingwell.routing.health import record_unreachable
from waxwingwell.routing.limits import record_statement
from waxwingwell.routing.messages import ShareRelays
from waxwingwell.routing.reachability import has_lost_path
from waxwingwell.routing.records import RouteKind
from waxwingwell.routing.retries import list_retries
from waxwingwell.routing.tallies import follow_rollouts

from .support import LAST_CHUNK
from .support import Gateway
from .support import Upstream
from .support import make_chunk
from .support import make_gateway
from .support import make_response
from .support import make_stream_head
from .support import make_transport


ADDRESSES = ("127.0.2.1", "127.0.2.2", "127.0.2.3")
"""Addresses of the gateways; upstreams are at 127.0.0.1."""
RELAY_PORT = 7342


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
        gateway.context.settings = replace(
            settings,
            node=f"gateway-{address}",
            address=address,
            relay=(address, RELAY_PORT),
        )
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


@dataclass(slots=True)
class Relayed:
    """A request on its way from one gateway to another."""

    near: Upstream
    far: HttpConnection
    far_transport: Any
    sent: int = 0
    returned: int = 0

    def pump(self) -> None:
        """Forward the bytes that each side has written since."""
        out = bytes(self.near.transport.value())
        new, self.sent = out[self.sent :], len(out)
        if new:
            self.far.dataReceived(new)

        back = bytes(self.far_transport.value())
        new, self.returned = back[self.returned :], len(back)
        if new and self.near.transport.connected:
            self.near.respond(new)

    def lose(self) -> None:
        """Reset the connection on both sides."""
        self.near.reset()
        self.far_transport.connected = False
        self.far.connectionLost(Failure(ConnectionLost()))


def open_relayed(near: Upstream, gateway: Gateway) -> Relayed:
    """Accept a connection at another gateway and forward its request."""
    service = HttpService(
        reactor=gateway.reactor,
        handle=partial(handle_relayed, gateway.context),
        limits=HttpLimits,
    )
    far: Any = HttpConnection(service)
    transport = make_transport()
    transport.protocol = far
    far.makeConnection(transport)
    near.accept()
    relayed = Relayed(near, far, transport)
    relayed.pump()
    return relayed


def cut_off(gateway: Gateway) -> None:
    """Let a gateway lose its path without a request."""
    now = gateway.reactor.seconds()
    for name in ("u1", "u2", "u3"):
        record_unanswered(gateway.context, name, now)

    gateway.reactor.tcpClients.clear()


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

    def test_an_unstated_end_is_checked_by_the_relay(self) -> None:
        """Guards against broken streams that look complete after the second hop."""
        bare = b"HTTP/1.1 200 OK\r\nX-Id: q1\r\nX-Signed: 1\r\n\r\n"
        for name, body, accepted, whole in (
            ("inside an event", b"id: 1\n\nid: 2", None, False),
            ("process gone", b"id: 1\n\n", False, False),
            ("upstream there", b"id: 1\n\n", True, True),
        ):
            with self.subTest(name):
                [cut, other] = make_fleet(resumable=False).gateways
                cut_off(cut)
                caller = cut.ask()
                relayed = open_relayed(cut.upstreams[-1], other)
                upstream = other.upstreams[-1]
                upstream.accept()
                upstream.respond(bare + body)
                upstream.close()
                check = other.upstreams[-1]
                if accepted is not None:
                    (check.accept if accepted else check.refuse)()

                relayed.pump()
                if relayed.far_transport.aborted:
                    relayed.lose()

                self.assertEqual(caller.received.endswith(LAST_CHUNK), whole)
                self.assertEqual(caller.transport.aborted, not whole)

    def test_a_leave_is_known_at_both_gateways(self) -> None:
        """Guards against a gateway that has passed a leave on and forgets it."""
        for kind, response in (
            (RouteKind.ONCE, make_response(b"fine", 200, "X-Leaving: 1")),
            (RouteKind.IDEMPOTENT, make_response(b"no", 404, "X-Leaving: 1")),
            (
                RouteKind.STREAM,
                make_stream_head("X-Leaving: 1")
                + make_chunk(b"id: 1\n\n")
                + LAST_CHUNK,
            ),
        ):
            with self.subTest(kind=kind):
                [cut, other] = make_fleet(kind=kind).gateways
                cut_off(cut)
                caller = cut.ask()
                relayed = open_relayed(cut.upstreams[0], other)
                [upstream] = other.upstreams
                upstream.accept()
                upstream.respond(response)
                relayed.pump()
                self.assertNotIn(b"x-waxwingwell", caller.received.lower())
                record_reached(cut.context, cut.reactor.seconds())
                for gateway in (cut, other):
                    gateway.reactor.tcpClients.clear()
                    for _ in range(20):
                        gateway.ask()

                    ports = {one.port for one in gateway.upstreams}
                    self.assertNotIn(upstream.port, ports)

    def test_responses_come_back_unchanged(self) -> None:
        stream = make_stream_head() + make_chunk(b"id: 1\n\n") + LAST_CHUNK
        for kind, response, status, body in (
            (RouteKind.STREAM, stream, 200, b"id: 1\n\n"),
            (RouteKind.ONCE, make_response(b"fine"), 200, b"fine"),
            (RouteKind.IDEMPOTENT, make_response(b"no", 409), 409, b"no"),
        ):
            with self.subTest(kind=kind):
                [cut, other] = make_fleet(kind=kind).gateways
                cut_off(cut)
                caller = cut.ask()
                relayed = open_relayed(cut.upstreams[0], other)
                [upstream] = other.upstreams
                self.assertTrue(upstream.accept().endswith(b"\r\n\r\nhi"))
                upstream.respond(response)
                relayed.pump()
                self.assertEqual(caller.status, status)
                self.assertIn(body, caller.received)
                self.assertIn(b"X-Signed", caller.received)

    def test_a_relay_without_a_path_refuses_at_once(self) -> None:
        """Guards against requests that pass from one cut gateway to the next."""
        fleet = make_fleet(3, kind=RouteKind.ONCE)
        cut_off(fleet.gateways[0])
        caller = fleet.gateways[0].ask()
        asked = []
        for _ in range(2):
            near = fleet.gateways[0].upstreams[-1]
            other = fleet.gateways[ADDRESSES.index(near.host)]
            cut_off(other)
            open_relayed(near, other).pump()
            self.assertEqual(other.upstreams, [])
            asked.append(near.host)

        self.assertEqual(set(asked), set(ADDRESSES[1:]))
        self.assertNotEqual(fleet.gateways[0].upstreams[-1].host, ADDRESSES[0])
        self.assertEqual(caller.status, 0)

    def test_a_relay_that_refused_is_asked_again(self) -> None:
        """Guards against back-offs of the only gateway that reaches upstreams."""
        [cut, other] = make_fleet(kind=RouteKind.ONCE).gateways
        cut_off(cut)
        cut_off(other)
        for _ in range(3):
            cut.reactor.tcpClients.clear()
            cut.ask()
            near = cut.upstreams[0]
            self.assertEqual(near.host, ADDRESSES[1])
            open_relayed(near, other).pump()

    def test_an_empty_list_of_relays_counts_after_a_while(self) -> None:
        """Guards against refusals while a control that knows a relay stands still."""
        for name, seconds, asked in (
            ("at once", 0.0, True),
            ("soon", RELAY_RETENTION_SECONDS - 0.1, True),
            ("later", RELAY_RETENTION_SECONDS + 0.1, False),
        ):
            with self.subTest(name):
                [cut, _] = make_fleet(kind=RouteKind.ONCE).gateways
                cut_off(cut)
                cut.context.relays_at = cut.reactor.seconds()
                cut.reactor.advance(seconds)
                cut.reactor.tcpClients.clear()
                handle_cast(cut.context, "127.0.0.1", ShareRelays(relays=()))
                cut.ask()
                hosts = [one.host for one in cut.upstreams]
                self.assertEqual(ADDRESSES[1] in hosts, asked)

    def test_a_relay_that_was_not_reached_is_used_if_it_is_the_only_one(self) -> None:
        """Guards against refusals while the only relay is backing off."""
        [cut, _] = make_fleet(kind=RouteKind.ONCE).gateways
        cut_off(cut)
        cut.ask()
        cut.upstreams[-1].refuse()
        cut.reactor.tcpClients.clear()
        cut.ask()
        self.assertEqual(cut.upstreams[0].host, ADDRESSES[1])

    def test_a_request_that_may_have_run_is_not_repeated(self) -> None:
        """Guards against an order that runs twice after its relay was lost."""
        [cut, other, _] = make_fleet(3, kind=RouteKind.ONCE).gateways
        cut_off(cut)
        caller = cut.ask()
        [near] = cut.upstreams
        open_relayed(near, other).lose()
        self.assertEqual(len(cut.upstreams), 1)
        self.assertEqual(caller.status, 502)

    def test_a_stream_goes_on_through_another_relay(self) -> None:
        """Guards against streams that are cut as their relay is lost."""
        fleet = make_fleet(3)
        cut = fleet.gateways[0]
        cut.context.load.others_at = 0.0
        cut_off(cut)
        caller = cut.ask()
        first = cut.upstreams[0]
        other = fleet.gateways[ADDRESSES.index(first.host)]
        relayed = open_relayed(first, other)
        [upstream] = other.upstreams
        upstream.accept()
        upstream.respond(make_stream_head() + make_chunk(b"id: 1\ndata: a\n\n"))
        relayed.pump()
        relayed.lose()
        second = cut.upstreams[1]
        another = fleet.gateways[ADDRESSES.index(second.host)]
        self.assertNotEqual(second.host, first.host)
        again = open_relayed(second, another)
        [upstream] = another.upstreams
        self.assertIn(b"X-After: 1", upstream.accept())
        upstream.respond(
            make_stream_head() + make_chunk(b"id: 2\ndata: b\n\n") + LAST_CHUNK
        )
        again.pump()
        self.assertTrue(caller.received.endswith(LAST_CHUNK))
        self.assertEqual(caller.received.count(b"data: "), 2)

    def test_a_relay_may_wait_for_its_upstream(self) -> None:
        """Guards against streams that run twice while their engine has a queue."""
        [cut, other] = make_fleet(objective=4.0).gateways
        cut.context.load.others_at = 0.0
        cut_off(cut)
        cut.ask()
        open_relayed(cut.upstreams[0], other)
        cut.reactor.advance(5.0)
        for exchange in list(cut.context.exchanges):
            exchange.check_responsiveness(cut.reactor.seconds())

        relays = [one for one in cut.upstreams if one.host in ADDRESSES]
        self.assertEqual(len(relays), 1)

    def test_a_started_stream_keeps_its_model(self) -> None:
        """Guards against streams that a smaller model goes on with."""
        [cut, _] = make_fleet(models=("small", "large")).gateways
        cut.context.load.others_at = 0.0
        cut.ask(X_Model="*")
        upstream = cut.upstreams[0]
        upstream.accept()
        upstream.respond(make_stream_head() + make_chunk(b"id: 1\ndata: a\n\n"))
        cut_off(cut)
        upstream.reset()
        relayed = cut.calls[0].accept()
        self.assertIn(b"X-Model: small", relayed)
        self.assertNotIn(b"X-Model: *", relayed)

    def test_a_caller_that_leaves_cancels_the_request_everywhere(self) -> None:
        """Guards against upstreams that work for callers that are gone."""
        [cut, other] = make_fleet().gateways
        cut_off(cut)
        caller = cut.ask()
        relayed = open_relayed(cut.upstreams[0], other)
        [upstream] = other.upstreams
        upstream.accept()
        caller.leave()
        self.assertTrue(relayed.near.transport.aborted)
        relayed.lose()
        self.assertTrue(upstream.transport.aborted)

    def test_earlier_runs_count_at_the_relay(self) -> None:
        """Guards against more runs of one request than its route allows."""
        [cut, other] = make_fleet(kind=RouteKind.IDEMPOTENT, max_attempts=2).gateways
        cut.ask()
        first = cut.upstreams[0]
        first.accept()
        first.reset()
        second = cut.calls[1]
        cut_off(cut)
        second.refuse()
        relayed = open_relayed(cut.calls[-1], other)
        upstream = other.upstreams[0]
        upstream.accept()
        upstream.reset()
        relayed.pump()
        self.assertEqual(len(other.calls), 1)

    def test_a_relayed_request_counts_once_for_the_retry_budget(self) -> None:
        """Guards against a budget that grows with the requests of cut gateways."""
        [cut, other] = make_fleet().gateways
        cut_off(cut)
        cut.ask()
        open_relayed(cut.upstreams[0], other)
        for gateway, count in ((cut, 1), (other, 0)):
            context = gateway.context
            limits = context.settings.retries
            counts = list_retries(context.retries, limits, context.clock())
            self.assertEqual(sum(one.requests for one in counts), count)


class PathTest(unittest.TestCase):
    """How a gateway notices that its path is lost, and that it is back."""

    def test_the_relay_counts_the_outcomes_of_a_roll_out(self) -> None:
        """Guards against requests that two gateways count, or that none does."""
        for outcome, respond in (
            ("success", make_response()),
            ("failure", make_response(b"broken", 500)),
        ):
            with self.subTest(outcome):
                fleet = make_fleet(kind=RouteKind.ONCE)
                [cut, other] = fleet.gateways
                for gateway in fleet.gateways:
                    follow_rollouts(gateway.context.tallies, [make_rollout()], 0.0)

                cut_off(cut)
                caller = cut.ask()
                relayed = open_relayed(cut.upstreams[-1], other)
                upstream = other.upstreams[-1]
                upstream.accept()
                upstream.respond(respond)
                relayed.pump()
                self.assertTrue(caller.status)
                self.assertEqual(make_report(cut.context).evidence, ())
                [part] = make_report(other.context).evidence
                self.assertEqual((part.sent, part.answers, part.kind), (1, 1, "r1"))
                self.assertEqual(part.failures, outcome == "failure")

    def test_upstreams_that_fail_while_others_respond(self) -> None:
        """Guards against a detour while only some upstreams are down."""
        for name, steps, lost in (
            ("one fails", ["u1"], False),
            ("one fails again", ["u1", "u1", "u1", "u1"], False),
            ("three of nine fail", ["u1", "u2", "u3"], False),
            ("four fail", ["u1", "u2", "u3", "u4"], True),
            ("another responds in between", ["u1", "u2", "", "u3", "u4"], False),
            ("one responds afterwards", ["u1", "u2", "u3", "u4", ""], False),
        ):
            with self.subTest(name):
                gateway = make_gateway(*(f"u{number}" for number in range(1, 10)))
                for step in steps:
                    if step:
                        record_unanswered(gateway.context, step, 1.0)
                    else:
                        record_reached(gateway.context, 1.0)

                self.assertIs(has_lost_path(gateway.context.path), lost)

    def test_a_suspect_path_is_probed_at_once(self) -> None:
        """Guards against a detour while several upstreams have crashed together."""
        for name, responds in (("others respond", True), ("none responds", False)):
            with self.subTest(name):
                gateway = make_gateway(*(f"u{number}" for number in range(1, 10)))
                for upstream in ("u1", "u2"):
                    record_unanswered(gateway.context, upstream, 1.0)

                probes = gateway.upstreams
                self.assertEqual(len(probes), 3)
                for probe in probes:
                    if responds:
                        probe.accept()
                        probe.respond(make_response())
                    else:
                        probe.refuse()

                self.assertIs(has_lost_path(gateway.context.path), not responds)

    def test_back_offs_of_crashed_upstreams_stay(self) -> None:
        """Guards against requests that return to upstreams that are down."""
        gateway = make_gateway()
        for name in ("u1", "u2"):
            record_unreachable(gateway.context.health, name, 1.0)
            record_unanswered(gateway.context, name, 1.0)

        record_reached(gateway.context, 1.1)
        for name in ("u1", "u2"):
            self.assertTrue(is_backing_off(gateway.context.health, name, 1.2))

    def test_an_old_connection_is_no_path_for_new_requests(self) -> None:
        """Guards against a stream that lives on and hides a lost path."""
        [cut, _] = make_fleet().gateways
        cut.ask()
        old = cut.upstreams[0]
        old.accept()
        old.respond(make_stream_head() + make_chunk(b"id: 1\n\n"))
        cut_off(cut)
        old.respond(make_chunk(b"id: 2\n\n"))
        cut.ask()
        self.assertEqual(cut.upstreams[-1].host, ADDRESSES[1])

    def test_a_probe_finds_the_path_back(self) -> None:
        """Guards against detours, and back-offs, after the path is back."""
        [cut, _] = make_fleet().gateways
        cut_off(cut)
        for name in ("u1", "u2", "u3"):
            record_unreachable(cut.context.health, name, cut.reactor.seconds())

        cut.reactor.advance(0.5)
        probe_path(cut.context)
        [probe] = cut.upstreams
        self.assertTrue(probe.accept().startswith(b"GET "))
        probe.respond(make_response())
        cut.ask()
        self.assertNotIn(cut.upstreams[-1].host, ADDRESSES)
        for name in ("u1", "u2", "u3"):
            now = cut.reactor.seconds()
            self.assertFalse(is_backing_off(cut.context.health, name, now))

    def test_which_upstreams_are_probed(self) -> None:
        """Guards against probes of upstreams that take no, or hardly any, requests."""
        for name, changes, probed in (
            ("all", {}, {"u1", "u2", "u3"}),
            ("cold", {"u1": {"warming": 9.0}}, {"u2", "u3"}),
            ("leaving", {"u1": {"state": UpstreamState.LEAVING}}, {"u2", "u3"}),
            ("evacuated", {"u1": {"data_centre": "south"}}, {"u2", "u3"}),
            (
                "all cold",
                {one: {"warming": 9.0} for one in ("u1", "u2", "u3")},
                {"u1", "u2", "u3"},
            ),
        ):
            with self.subTest(name):
                gateway = make_gateway()
                context = gateway.context
                context.evacuated = frozenset({"south"})
                for upstream, fields in changes.items():
                    changed: Any = {"sequence": 2, **fields}
                    announcement = make_announcement(upstream, **changed)
                    apply_announcement(context.fleet, announcement, 0.0)

                found = {one.upstream for one in list_probed(context, 0.0)}
                self.assertEqual(found, probed)

    def test_a_limited_upstream_is_not_probed(self) -> None:
        context = make_gateway().context
        record_statement(context.limits, "u1", 1, 2.0, sent_at=0.0, now=0.0)
        found = {one.upstream for one in list_probed(context, 0.0)}
        self.assertEqual(found, {"u2", "u3"})

    def test_probes_are_few(self) -> None:
        """Guards against gateways that flood upstreams as their path comes back."""
        [cut, _] = make_fleet().gateways
        cut_off(cut)
        for _ in range(8):
            probe_path(cut.context)
            cut.reactor.advance(0.25)

        self.assertLessEqual(len(cut.upstreams), 4)

    def test_a_gateway_that_is_certainly_cut_off_refuses_at_once(self) -> None:
        """Guards against callers that wait for connections that can't succeed."""
        gateway = make_gateway(kind=RouteKind.ONCE)
        cut_off(gateway)
        caller = gateway.ask()
        self.assertEqual(caller.status, 0)
        gateway.reactor.tcpClients.clear()
        for _ in range(2):
            gateway.reactor.advance(0.5)
            probe_path(gateway.context)
            gateway.upstreams[-1].refuse()

        caller = gateway.ask()
        self.assertEqual(caller.status, 503)
        self.assertIn(b"Retry-After", caller.received)

    def test_a_gateway_that_is_cut_off_is_no_relay(self) -> None:
        fleet = make_fleet(3)
        cut_off(fleet.gateways[1])
        fleet.share(1.5)
        cut_off(fleet.gateways[0])
        fleet.share(0.5)
        [relay] = fleet.gateways[0].context.relays
        self.assertEqual(relay.address, ADDRESSES[2])
