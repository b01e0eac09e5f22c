"""Tests of upstreams that crash if they have to reject many requests."""

from __future__ import annotations

import unittest

from waxwingwell.adapters.gateway.reporting import make_report
from waxwingwell.adapters.gateway.steering import handle_cast
from waxwingwell.adapters.gateway.upstream_waits import POLL_SECONDS
from waxwingwell.routing.limits import REJECTION_SECONDS
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import GrantPermits
from waxwingwell.routing.messages import UpstreamUse
from waxwingwell.routing.records import RouteKind
from waxwingwell.routing.reports import ReportTable
from waxwingwell.routing.reports import respond_to_report
from waxwingwell.routing.room import LAG_SECONDS

from .support import Gateway
from .support import make_gateway
from .support import make_response


SLOTS = 4
"""Slots of the upstreams of these tests."""
REJECTIONS = 3
"""Rejections per second beyond which an upstream crashes."""
STATED = f"X-Brittle: {REJECTIONS}"


def make_fleet(count: int, *names: str) -> list[Gateway]:
    """Return gateways that know that their upstreams are brittle."""
    fleet = [make_gateway(*names, kind=RouteKind.IDEMPOTENT) for _ in range(count)]
    for gateway in fleet:
        gateway.ask()
        [upstream] = gateway.upstreams
        gateway.reactor.tcpClients.clear()
        upstream.accept()
        upstream.respond(make_response(b"fine", 200, STATED))

    return fleet


def share_totals(fleet: list[Gateway], running: dict[str, int]) -> None:
    """Send the totals of running requests, by upstream, to all gateways."""
    use = tuple(
        UpstreamUse(upstream=name, running=one, backlog=0)
        for name, one in running.items()
    )
    totals = FleetReport(gateways=len(fleet), use=use, grants=True)
    for gateway in fleet:
        handle_cast(gateway.context, "c1", totals)


def count_sent(fleet: list[Gateway]) -> int:
    """Return how many gateways send a request to an upstream."""
    for gateway in fleet:
        gateway.ask()

    return sum(len(gateway.upstreams) for gateway in fleet)


def reject_request(gateway: Gateway) -> None:
    """Let the only upstream reject the next request, though its slots seem free."""
    share_totals([gateway], {})
    gateway.ask()
    [upstream] = gateway.upstreams
    upstream.accept()
    upstream.respond(make_response(b"", 503, "X-Not-Run: 1", STATED))


class BrittleTest(unittest.TestCase):
    """A full upstream gets few requests from all gateways together."""

    def test_a_full_upstream_gets_no_requests(self) -> None:
        """Guards against upstreams that crash as each gateway sends them one more."""
        for count in (1, 9, 83, 500):
            with self.subTest(gateways=count):
                fleet = make_fleet(count, "u1")
                share_totals(fleet, {"u1": SLOTS})
                self.assertEqual(count_sent(fleet), 0)

    def test_gateways_do_not_all_take_the_last_slot(self) -> None:
        """Guards against totals by which every gateway sees the same free slot."""
        for count in (9, 83, 500):
            with self.subTest(gateways=count):
                fleet = make_fleet(count, "u1")
                for number, gateway in enumerate(fleet):
                    gateway.context.random.seed(number)

                share_totals(fleet, {"u1": SLOTS - 1})
                self.assertLessEqual(count_sent(fleet), 1 + REJECTIONS)

    def test_slots_are_kept_free_for_permits_of_several_controls(self) -> None:
        """Guards against permits of two controls that meet at the last slot."""
        for controls, running, sent in ((1, 3, 1), (3, 3, 0), (3, 2, 1)):
            with self.subTest(controls=controls, running=running):
                [gateway] = make_fleet(1, "u1")
                names = [f"c{number}" for number in range(controls)]
                gateway.context.controls = dict.fromkeys(names)
                share_totals([gateway], {"u1": running})
                gateway.ask()
                granted = GrantPermits(
                    reported_at=gateway.reactor.seconds(), permits=("u1",)
                )
                handle_cast(gateway.context, "c1", granted)
                gateway.reactor.advance(POLL_SECONDS)
                self.assertEqual(len(gateway.upstreams), sent)

    def test_old_totals_show_no_room(self) -> None:
        """Guards against requests that meet because a control stands still."""
        for count, sent in ((1, 4), (4, 4), (9, 0), (83, 0)):
            with self.subTest(gateways=count):
                fleet = make_fleet(count, "u1")
                for gateway in fleet:
                    gateway.context.warm_up.began_at = -10.0

                share_totals(fleet, {})
                for gateway in fleet:
                    gateway.reactor.advance(LAG_SECONDS + 0.8)
                    for _ in range(SLOTS):
                        gateway.ask()

                    gateway.reactor.advance(0.01)

                total = sum(len(gateway.upstreams) for gateway in fleet)
                self.assertLessEqual(total, sent)

    def test_a_rejection_limits_the_requests_of_all_gateways(self) -> None:
        """Guards against an upstream that rejects though its slots seem to be free."""
        [gateway] = make_fleet(1, "u1")
        reject_request(gateway)
        [state] = make_report(gateway.context).limits
        self.assertEqual(state.upstream, "u1")
        self.assertLessEqual(state.rate, REJECTIONS)

    def test_a_gateway_without_a_response_learns_of_the_end(self) -> None:
        """Guards against refusals by a gateway that finds no room and gets no response.

        The others' requests fill the slots, which does no harm any more.
        """
        fleet = make_fleet(2, "u1")
        told = fleet[0]
        told.reactor.advance(1.0)
        share_totals(fleet, {})
        told.ask()
        upstream = told.upstreams[-1]
        upstream.accept()
        upstream.respond(make_response())
        reports = ReportTable()
        report = make_report(told.context)
        respond_to_report(reports, report, 100.0)
        response = respond_to_report(reports, make_report(fleet[1].context), 100.0)
        share_totals(fleet, {"u1": SLOTS})
        fleet[1].reactor.advance(1.0)
        handle_cast(fleet[1].context, "c1", response)
        self.assertEqual(count_sent([fleet[1]]), 1)

    def test_a_rejection_limits_only_for_a_while(self) -> None:
        """Guards against refusals by upstreams that are not brittle any more."""
        [gateway] = make_fleet(1, "u1")
        reject_request(gateway)
        gateway.reactor.advance(REJECTION_SECONDS)
        share_totals([gateway], {})
        gateway.reactor.tcpClients.clear()
        self.assertEqual(count_sent([gateway]), 1)

    def test_a_request_waits_for_room(self) -> None:
        """Guards against refusals although a request of others ends in time."""
        for name, running, status in (
            ("room in time", 0, 200),
            ("no room", SLOTS, 503),
        ):
            with self.subTest(name):
                [gateway] = make_fleet(1, "u1")
                share_totals([gateway], {"u1": SLOTS})
                caller = gateway.ask()
                self.assertEqual((gateway.upstreams, caller.status), ([], 0))
                share_totals([gateway], {"u1": running})
                for _ in range(14):
                    gateway.reactor.advance(0.25)

                for upstream in gateway.upstreams:
                    upstream.accept()
                    upstream.respond(make_response())

                self.assertEqual(caller.status, status)
                self.assertEqual(gateway.context.waiting, 0)

    def test_upstreams_that_are_brittle_no_more_are_used_as_before(self) -> None:
        [gateway] = make_fleet(1, "u1")
        share_totals([gateway], {})
        gateway.ask()
        [upstream] = gateway.upstreams
        upstream.accept()
        upstream.respond(make_response())
        share_totals([gateway], {"u1": SLOTS})
        self.assertEqual(count_sent([gateway]), 2)
