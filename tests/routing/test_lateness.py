"""Tests of the lateness of messages between gateways and controls."""

from __future__ import annotations

import unittest

from msgspec import UNSET

from waxwingwell.routing.lateness import LatenessTable
from waxwingwell.routing.lateness import estimate_lateness
from waxwingwell.routing.lateness import find_included
from waxwingwell.routing.lateness import record_totals
from waxwingwell.routing.load import LoadTable
from waxwingwell.routing.load import apply_totals
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import GatewayReport
from waxwingwell.routing.messages import IncludedReport
from waxwingwell.routing.reports import ReportTable
from waxwingwell.routing.reports import address_totals
from waxwingwell.routing.reports import make_control_report
from waxwingwell.routing.reports import receive_control_report
from waxwingwell.routing.reports import receive_report
from waxwingwell.routing.reports import stamp_report
from waxwingwell.routing.reports import sum_fleet


CLOCKS = {"near": 1_000.0, "far": 50_000.0}
"""Offsets of the controls' clocks from that of the gateway."""
STEP_SECONDS = 0.25


def play(
    up: float = 0.0, down: float = 0.0, across: float = 0.0, paused: float = 0.0
) -> tuple[LatenessTable, float]:
    """Let a gateway and two controls exchange messages that take some seconds.

    ``up`` and ``down`` are the seconds from and to the gateway, ``across`` those
    between the controls; for ``paused`` seconds at the end the near control receives
    nothing and sends its last totals. Returns the gateway's table and the lateness of
    these.
    """
    near, far = ReportTable(name="near"), ReportTable(name="far")
    gateway = LatenessTable()
    now = late = 0.0
    for _ in range(20):
        now += STEP_SECONDS
        report = GatewayReport(
            gateway="g1",
            use=(),
            evidence=(),
            reported_at=now,
            late=estimate_lateness(gateway, now),
        )
        gateway.sent.append(report)
        receive_report(near, report, now + up + CLOCKS["near"])
        exchange(near, far, now, across)
        exchange(far, near, now, across)

    at = now + max(up, across) + paused
    totals = sum_fleet(near, at + CLOCKS["near"])
    body = address_totals(near, "g1", totals, at + CLOCKS["near"])
    late = record_totals(gateway, body, at + down)
    return gateway, late


def exchange(
    sender: ReportTable, receiver: ReportTable, now: float, way: float
) -> None:
    """Send a control's report to another one."""
    sent_at = now + CLOCKS[sender.name]
    report = make_control_report(sender, sent_at, urgent=False)
    report = stamp_report(sender, report, sent_at)
    receive_control_report(
        receiver, sender.name, report, now + way + CLOCKS[receiver.name]
    )


class LatenessTest(unittest.TestCase):
    """What a gateway knows of the age of its totals."""

    def test_totals_are_as_late_as_their_latest_part(self) -> None:
        """Guards against old totals that look new because they were just received."""
        for name, ways, least in (
            ("in time", {}, 0.0),
            ("usual ways", {"up": 0.01, "down": 0.01, "across": 0.01}, 0.0),
            ("from the gateway", {"up": 1.0}, 1.0),
            ("to the gateway", {"down": 1.0}, 1.0),
            ("between controls", {"across": 0.4}, 0.4),
            ("everywhere", {"up": 0.5, "down": 0.5, "across": 0.4}, 1.4),
            ("a control that stood still", {"paused": 0.9}, 0.6),
        ):
            with self.subTest(name):
                _, late = play(**ways)
                self.assertGreaterEqual(round(late, 3), least)
                self.assertEqual(late > 0.0, least > 0.0)

    def test_a_gateway_without_totals_reports_that_it_is_late(self) -> None:
        """Guards against a link that has become slow and was measured before."""
        gateway, _ = play()
        received_at = gateway.received_at
        self.assertEqual(estimate_lateness(gateway, received_at + STEP_SECONDS), 0.0)
        self.assertEqual(estimate_lateness(gateway, received_at + 2.5), 2.0)

    def test_the_report_in_the_totals_is_known(self) -> None:
        """Guards against retries of others that seem to be fewer than they are."""
        table = LatenessTable()
        reports = [
            GatewayReport(gateway="g1", use=(), evidence=(), reported_at=float(at))
            for at in (1, 2, 3)
        ]
        table.sent.extend(reports)
        for included_at, expected in ((2.0, reports[1]), (9.0, None), (0.0, None)):
            with self.subTest(included_at=included_at):
                included = IncludedReport(included_at, 0.0) if included_at else UNSET
                body = FleetReport(gateways=1, use=(), included=included)
                self.assertIs(find_included(table, body), expected)

    def test_late_load_counts_as_old(self) -> None:
        """Guards against placement by a load that is seconds old."""
        load = LoadTable()
        apply_totals(load, (), (), work=0.0, gateways=1, now=10.0, late=2.0)
        self.assertEqual(load.others_at, 8.0)
