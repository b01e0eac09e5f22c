"""Tests of gateways that hand requests on while their processor is short."""

from __future__ import annotations

import unittest
from dataclasses import replace
from typing import Any
from unittest.mock import Mock

import msgspec
from prometheus_client import generate_latest

from waxwingwell.adapters.gateway.arrivals import ELSEWHERE_RETRY_AFTER
from waxwingwell.adapters.gateway.daemon import respond_readiness
from waxwingwell.adapters.gateway.reporting import make_report
from waxwingwell.adapters.gateway.room_checks import check_room
from waxwingwell.adapters.gateway.room_checks import count_link_bytes
from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.adapters.metrics import REGISTRY
from waxwingwell.adapters.registry import hub
from waxwingwell.adapters.traffic import Place
from waxwingwell.adapters.traffic import Traffic
from waxwingwell.adapters.traffic import TrafficKind
from waxwingwell.adapters.traffic import find_traffic
from waxwingwell.adapters.traffic import record_traffic
from waxwingwell.routing.delays import LATE_SECONDS
from waxwingwell.routing.delays import MIN_TURNS
from waxwingwell.routing.gateway_room import LASTING_CHECKS
from waxwingwell.routing.gateway_room import RELAYS_TTL_SECONDS
from waxwingwell.routing.gateway_room import HandOnReason
from waxwingwell.routing.gateway_room import is_handing_on
from waxwingwell.routing.gateway_room import measure_room
from waxwingwell.routing.messages import GatewayReport
from waxwingwell.routing.messages import RelayGateway
from waxwingwell.routing.messages import ShareRelays
from waxwingwell.routing.records import RouteKind
from waxwingwell.routing.retries import list_retries

from .support import LAST_CHUNK
from .support import Gateway
from .support import capture_log
from .support import make_chunk
from .support import make_response
from .support import make_stream_head
from .test_relaying import ADDRESSES
from .test_relaying import cut_off
from .test_relaying import make_fleet
from .test_relaying import open_relayed


def fill(gateway: Gateway, part: HandOnReason = HandOnReason.PROCESSOR) -> None:
    """Leave no room at a gateway, and let it hand on all if that helps."""
    room = gateway.context.room
    room.parts = {part: 0.0}
    room.share = 1.0 if part is HandOnReason.PROCESSOR else 0.0


def delay_loop(gateway: Gateway, late: float) -> None:
    """Let the last turns of a gateway's event loop be late."""
    gateway.context.delays.turns.extend([late] * MIN_TURNS)


def keep_late(gateway: Gateway, late: float) -> None:
    """Let a gateway's event loop be late for as long as counts as lasting."""
    delay_loop(gateway, late)
    for _ in range(LASTING_CHECKS):
        check_room(gateway.context)


def list_hosts(gateway: Gateway) -> list[str]:
    """Return the addresses to which a gateway has opened calls."""
    return [one.host for one in gateway.calls]


def read_metric(name: str, **labels: str) -> float:
    """Return the value of a metric, 0 if it has none yet."""
    return REGISTRY.get_sample_value(name, labels) or 0.0


class HandOnTest(unittest.TestCase):
    """Requests of a gateway that is short of processor time."""

    def test_a_short_gateway_hands_on_all_kinds(self) -> None:
        """Guards against callers who wait for a gateway that has no time for them."""
        for kind in RouteKind:
            with self.subTest(kind=kind):
                [short, other] = make_fleet(kind=kind).gateways
                fill(short)
                before = read_metric(
                    "waxwingwell_requests_handed_on_total", reason="processor"
                )
                caller = short.ask()
                relayed = open_relayed(short.calls[-1], other)
                [upstream] = other.upstreams
                self.assertNotIn(b"x-waxwingwell", upstream.accept().lower())
                stream = make_stream_head() + make_chunk(b"id: 1\n\n") + LAST_CHUNK
                is_stream = kind is RouteKind.STREAM
                upstream.respond(stream if is_stream else make_response())
                relayed.pump()
                self.assertEqual(list_hosts(short), [ADDRESSES[1]])
                self.assertEqual(caller.status, 200)
                after = read_metric(
                    "waxwingwell_requests_handed_on_total", reason="processor"
                )
                self.assertEqual(after, before + 1)

    def test_the_log_tells_the_reason(self) -> None:
        [short, _] = make_fleet().gateways
        fill(short)

        def ask() -> None:
            short.ask()

        lines = capture_log(ask)
        placed = [one["extra"] for one in lines if one["message"] == "gateway: Placed"]
        self.assertEqual(
            [(one["relayed"], one["relay_reason"]) for one in placed],
            [(True, "processor")],
        )

    def test_a_full_link_or_memory_is_not_relieved_by_relays(self) -> None:
        """Guards against a second hop that takes the same bytes here."""
        for part in (HandOnReason.LINK, HandOnReason.MEMORY):
            with self.subTest(part):
                [short, _] = make_fleet().gateways
                fill(short, part)
                short.ask()
                self.assertNotIn(ADDRESSES[1], list_hosts(short))

    def test_a_part_of_the_requests_is_handed_on(self) -> None:
        """Guards against a gateway that serves nothing as it is a little short."""
        [short, _] = make_fleet().gateways
        short.context.room.share = 0.3
        for _ in range(200):
            short.ask()

        handed_on = list_hosts(short).count(ADDRESSES[1])
        self.assertTrue(40 <= handed_on <= 80, handed_on)

    def test_relays_are_drawn_evenly(self) -> None:
        """Guards against many gateways that fill the same one."""
        first = make_fleet(3).gateways[0]
        fill(first)
        for _ in range(200):
            first.ask()

        hosts = list_hosts(first)
        for address in ADDRESSES[1:3]:
            self.assertGreaterEqual(hosts.count(address), 70)

    def test_a_relayed_request_is_never_relayed_again(self) -> None:
        """Guards against requests that pass from one short gateway to the next.

        A relay that hands on refuses requests but for those of a lost path.
        """
        for name, prepare, share in (
            ("lost path", cut_off, 1.0),
            ("handed on", fill, 0.0),
        ):
            with self.subTest(name):
                fleet = make_fleet(3)
                first = fleet.gateways[0]
                prepare(first)
                first.ask()
                near = first.calls[-1]
                far = fleet.gateways[ADDRESSES.index(near.host)]
                self.assertTrue(far.context.room.relays)
                far.context.room.share = share
                open_relayed(near, far)
                far.context.room.share = 1.0
                far.calls[0].refuse()
                self.assertEqual(len(far.calls), 2)
                self.assertFalse(set(list_hosts(far)) & set(ADDRESSES))

    def test_a_retry_is_served_here(self) -> None:
        """Guards against retries that are handed on although a request has begun."""
        [short, _] = make_fleet(kind=RouteKind.IDEMPOTENT).gateways
        short.ask()
        first = short.calls[0]
        first.accept()
        fill(short)
        first.reset()
        self.assertEqual(len(short.calls), 2)
        self.assertNotIn(ADDRESSES[1], list_hosts(short))

    def test_a_relay_in_another_data_centre_is_not_asked(self) -> None:
        """Guards against bytes between data centres without need."""
        fleet = make_fleet()
        short, other = fleet.gateways
        other.context.settings = replace(other.context.settings, data_centre="south")
        fleet.share(0.25)
        short.context.room.relays = ()
        fill(short)
        fleet.share(2.0)
        fill(short)
        short.reactor.tcpClients.clear()
        short.ask()
        self.assertNotIn(ADDRESSES[1], list_hosts(short))

    def test_a_lost_path_comes_first(self) -> None:
        """Guards against a short gateway without a path that tries upstreams."""
        [short, other] = make_fleet(kind=RouteKind.ONCE).gateways
        fill(short)
        fill(other)
        cut_off(short)
        caller = short.ask()
        relayed = open_relayed(short.calls[-1], other)
        upstream = other.upstreams[-1]
        upstream.accept()
        upstream.respond(make_response())
        relayed.pump()
        self.assertEqual(caller.status, 200)

    def test_readiness_does_not_change(self) -> None:
        """Guards against readiness that flaps with the load."""
        [short, _] = make_fleet().gateways
        for part in HandOnReason:
            fill(short, part)
            request: Any = None
            responder = Mock()
            respond_readiness(short.context, request, responder)
            responder.send.assert_called_once_with(200, [])


class FailureTest(unittest.TestCase):
    """Failures of a relay, of a control and of an older release."""

    def test_a_full_relay_refuses_and_the_request_is_served_here(self) -> None:
        """Guards against requests that wait, or are lost, at a relay that is full."""
        for part in (HandOnReason.LINK, HandOnReason.PROCESSOR, HandOnReason.MEMORY):
            for kind in RouteKind:
                with self.subTest(part, kind=kind):
                    [short, other] = make_fleet(kind=kind).gateways
                    fill(short)
                    fill(other, part)
                    caller = short.ask()
                    open_relayed(short.calls[-1], other).pump()
                    self.assertEqual(other.upstreams, [])
                    self.assertEqual(short.context.room.relays, ())
                    self.assertLess(short.context.room.share, 1.0)
                    self.assertEqual(len(short.calls), 2)
                    upstream = short.calls[-1]
                    self.assertNotIn(upstream.host, ADDRESSES)
                    upstream.accept()
                    stream = make_stream_head() + make_chunk(b"id: 1\n\n") + LAST_CHUNK
                    is_stream = kind is RouteKind.STREAM
                    upstream.respond(stream if is_stream else make_response())
                    self.assertEqual(caller.status, 200)
                    context = short.context
                    counts = list_retries(
                        context.retries, context.settings.retries, context.clock()
                    )
                    self.assertEqual(sum(one.repeats for one in counts), 0)

    def test_a_gateway_that_hands_on_takes_nothing(self) -> None:
        """Guards against gateways that hand each other their requests in turn."""
        [short, other] = make_fleet(kind=RouteKind.ONCE).gateways
        fill(short)
        other.context.room.share = 0.1
        short.ask()
        open_relayed(short.calls[-1], other).pump()
        self.assertEqual(other.upstreams, [])
        self.assertNotIn(short.calls[-1].host, ADDRESSES)

    def test_a_full_relay_tells_its_room(self) -> None:
        """Guards against requests that a full relay is handed again and again."""
        fleet = make_fleet(3)
        first, second, third = fleet.gateways
        fill(second, HandOnReason.LINK)
        fill(first)
        fleet.share(1.5)
        names = {one.name for one in first.context.room.relays}
        self.assertEqual(names, {third.context.settings.node})

    def test_a_relay_that_dies_with_a_request(self) -> None:
        """Guards against a request that runs twice although it may run once."""
        for kind, calls, status in (
            (RouteKind.ONCE, 1, 502),
            (RouteKind.IDEMPOTENT, 2, 200),
            (RouteKind.STREAM, 2, 200),
        ):
            with self.subTest(kind=kind):
                [short, other] = make_fleet(kind=kind).gateways
                short.context.load.others_at = 0.0
                fill(short)
                caller = short.ask()
                open_relayed(short.calls[-1], other).lose()
                self.assertEqual(len(short.calls), calls)
                if calls == 2:
                    again = short.calls[-1]
                    self.assertNotIn(again.host, ADDRESSES)
                    again.accept()
                    stream = make_stream_head() + make_chunk(b"id: 1\n\n") + LAST_CHUNK
                    is_stream = kind is RouteKind.STREAM
                    again.respond(stream if is_stream else make_response())

                self.assertEqual(caller.status, status)

    def test_a_relay_that_is_gone(self) -> None:
        """Guards against requests that are lost as their relay takes no connection."""
        [short, _] = make_fleet(kind=RouteKind.ONCE).gateways
        fill(short)
        short.ask()
        short.calls[-1].refuse()
        self.assertNotIn(short.calls[-1].host, ADDRESSES)
        short.reactor.tcpClients.clear()
        short.ask()
        self.assertNotIn(ADDRESSES[1], list_hosts(short))

    def test_a_lost_control(self) -> None:
        """Guards against relays that count for ever once no control lists them."""
        for seconds, asked in (
            (RELAYS_TTL_SECONDS - 0.1, True),
            (RELAYS_TTL_SECONDS + 0.1, False),
        ):
            with self.subTest(seconds=seconds):
                [short, _] = make_fleet().gateways
                fill(short)
                listed_at = short.context.room.relays_at
                short.reactor.advance(listed_at + seconds - short.reactor.seconds())
                short.ask()
                self.assertEqual(ADDRESSES[1] in list_hosts(short), asked)

    def test_a_relay_of_a_former_release(self) -> None:
        """Guards against reports and lists without a room during an upgrade."""
        fleet = make_fleet()
        short, other = fleet.gateways
        report = msgspec.to_builtins(make_report(other.context))
        self.assertNotIn("room", report)
        former = msgspec.convert(report, type=GatewayReport)
        control = fleet.registry.context
        hub.handle_cast(control, other.context.settings.node, former)
        fill(short)
        short.context.room.relays = ()
        fleet.connections[0].sent.clear()
        node = short.context.settings.node
        hub.handle_cast(control, node, make_report(short.context))
        [listed] = fleet.connections[0].sent
        handle_cast(short.context, "127.0.0.1", listed)
        short.ask()
        self.assertEqual(list_hosts(short), [ADDRESSES[1]])

    def test_a_gateway_of_a_former_release_asks_for_its_path_only(self) -> None:
        """Guards against refusals of requests that have no other way."""
        [cut, other] = make_fleet(kind=RouteKind.ONCE).gateways
        fill(other)
        cut_off(cut)
        cut.ask()
        near = cut.calls[-1]
        sent = near.accept()
        lines = [
            line for line in sent.split(b"\r\n") if b"relay-reason" not in line.lower()
        ]
        self.assertLess(len(lines), len(sent.split(b"\r\n")))
        relayed = open_relayed(near, other)
        self.assertEqual(len(other.upstreams), 1)
        del relayed


class RefusalTest(unittest.TestCase):
    """Requests that can't begin in time at a gateway that is late."""

    def test_a_late_gateway_refuses_what_cannot_begin_in_time(self) -> None:
        """Guards against callers who learn only at their deadline to go elsewhere."""
        for late, budget, status in ((0.5, "1", 503), (0.5, "10", 0), (0.0, "1", 0)):
            with self.subTest(late=late, budget=budget):
                [gateway, _] = make_fleet(kind=RouteKind.ONCE).gateways
                keep_late(gateway, late)
                caller = gateway.ask(X_Budget=budget)
                self.assertEqual(caller.status, status)
                if status:
                    pause = f"Retry-After: {ELSEWHERE_RETRY_AFTER:g}".encode()
                    self.assertIn(pause, caller.received)
                    self.assertEqual(gateway.calls, [])

    def test_a_gateway_that_has_just_become_late_refuses_nothing(self) -> None:
        """Guards against refusals on a short spike of the event loop."""
        [gateway, _] = make_fleet(kind=RouteKind.ONCE).gateways
        delay_loop(gateway, 0.5)
        check_room(gateway.context)
        caller = gateway.ask(X_Budget="1")
        self.assertEqual(caller.status, 0)

    def test_a_cut_off_gateway_refuses_nothing_for_its_delay(self) -> None:
        """Guards against refusals though another gateway reaches the upstreams."""
        [cut, _] = make_fleet(kind=RouteKind.ONCE).gateways
        cut_off(cut)
        keep_late(cut, 0.5)
        cut.ask(X_Budget="1")
        self.assertEqual(list_hosts(cut), [ADDRESSES[1]])


class ReportingTest(unittest.TestCase):
    """The room that a gateway measures and tells."""

    def test_with_room_everywhere_no_message_is_added(self) -> None:
        """Guards against bytes and hops where nothing is uneven."""
        fleet = make_fleet(3)
        for gateway in fleet.gateways:
            delay_loop(gateway, LATE_SECONDS / 4)
            check_room(gateway.context)
            self.assertLess(measure_room(gateway.context.room), 1.0)
            encoded = msgspec.to_builtins(make_report(gateway.context))
            self.assertNotIn("room", encoded)

        sent: list[Any] = []
        for gateway, connection in zip(fleet.gateways, fleet.connections, strict=True):
            report = make_report(gateway.context)
            hub.handle_cast(fleet.registry.context, connection.remote, report)
            sent.extend(connection.sent)
            gateway.ask()
            self.assertNotIn(list_hosts(gateway)[0], ADDRESSES)

        self.assertEqual([one for one in sent if isinstance(one, ShareRelays)], [])

    def test_a_gateway_with_little_room_gets_relays_once_a_second(self) -> None:
        """Guards against a list in response to each report over a full link."""
        fleet = make_fleet(3)
        fill(fleet.gateways[0])
        connection = fleet.connections[0]
        lists = 0
        for _ in range(8):
            report = make_report(fleet.gateways[0].context)
            hub.handle_cast(fleet.registry.context, connection.remote, report)
            fleet.registry.clock.advance(0.1)
            lists += sum(isinstance(one, ShareRelays) for one in connection.sent)
            connection.sent.clear()

        self.assertEqual(lists, 1)

    def test_a_list_with_room_keeps_the_relays_for_a_lost_path(self) -> None:
        """Guards against a gateway that knows relays of its data centre only."""
        [gateway, _] = make_fleet().gateways
        known = gateway.context.relays
        relay = RelayGateway("g9", "127.0.0.9", 7, "north")
        handle_cast(gateway.context, "c", ShareRelays(relays=(relay,), ample=True))
        self.assertEqual(gateway.context.relays, known)
        self.assertEqual(gateway.context.room.relays, (relay,))

    def test_begin_and_end_are_logged_once(self) -> None:
        """Guards against a log line for each report or request."""
        [gateway, _] = make_fleet().gateways

        def play() -> None:
            for late, checks in ((2 * LATE_SECONDS, 8), (0.0, 300)):
                delay_loop(gateway, late)
                for _ in range(checks):
                    gateway.reactor.advance(0.25)
                    check_room(gateway.context)

        lines = [
            one["extra"]
            for one in capture_log(play)
            if one["message"] == "gateway: Hand-on changed"
        ]
        self.assertEqual([one["active"] for one in lines], [True, False])
        self.assertEqual(lines[0]["scarcest"], "processor")
        self.assertFalse(is_handing_on(gateway.context.room))

    def test_a_gateway_tells_its_room(self) -> None:
        """Guards against a full link that no other gateway knows of."""
        [gateway, _] = make_fleet().gateways
        context = gateway.context
        context.settings = replace(context.settings, link_bytes_per_second=1_000.0)
        traffic = find_traffic(context.traffic, TrafficKind.CALLERS, Place.UNKNOWN)
        check_room(context)
        for _ in range(4):
            traffic.sent += 100
            traffic.received += 50
            gateway.reactor.advance(0.25)
            check_room(context)

        self.assertEqual(make_report(context).room, 0.4)

    def test_held_bytes_count_against_the_memory(self) -> None:
        """Guards against slow readers that fill the memory unnoticed."""
        [gateway, _] = make_fleet(kind=RouteKind.ONCE).gateways
        context = gateway.context
        context.settings = replace(context.settings, memory_bytes=100_000)
        caller = gateway.ask()
        caller.transport.held = True
        upstream = gateway.calls[0]
        upstream.accept()
        upstream.respond(make_response(b"x" * 40_000))
        check_room(context)
        self.assertLess(measure_room(context.room), 0.25)
        caller.transport.release()
        check_room(context)
        self.assertEqual(measure_room(context.room), 1.0)


class TrafficTest(unittest.TestCase):
    """Bytes by kind, place and direction."""

    def test_bytes_of_a_request(self) -> None:
        """Guards against bytes that no counter includes, or that two do."""
        [gateway, _] = make_fleet(kind=RouteKind.ONCE).gateways
        context = gateway.context
        gateway.service.traffic = find_traffic(
            context.traffic, TrafficKind.CALLERS, Place.UNKNOWN
        )
        caller = gateway.ask()
        upstream = gateway.calls[0]
        request = upstream.accept()
        upstream.respond(make_response())
        counts = context.traffic.counts
        callers = counts[TrafficKind.CALLERS, Place.UNKNOWN]
        self.assertEqual(callers.sent, len(caller.received))
        self.assertGreater(callers.received, 0)
        upstreams = counts[TrafficKind.UPSTREAMS, Place.SAME]
        self.assertEqual(upstreams, Traffic(len(request), len(make_response())))

    def test_bytes_are_told_by_kind_and_place(self) -> None:
        """Guards against bytes between data centres that nobody sees."""
        [gateway, _] = make_fleet().gateways
        context = gateway.context
        context.local_controls = {"c1"}
        before = {
            place: read_metric(
                "waxwingwell_bytes_total",
                kind="controls",
                other_data_centre=place,
                direction="sent",
            )
            for place in ("true", "false")
        }
        count_link_bytes(context, "c1", 10, 0)
        count_link_bytes(context, "c2", 7, 0)
        for _ in range(2):
            record_traffic(context.traffic)

        for place, expected in (("false", 10), ("true", 7)):
            found = read_metric(
                "waxwingwell_bytes_total",
                kind="controls",
                other_data_centre=place,
                direction="sent",
            )
            self.assertEqual(found - before[place], expected)

        self.assertNotIn(b"c2", generate_latest(REGISTRY))


if __name__ == "__main__":
    unittest.main()
