"""Tests of the permits that keep a limit over all gateways."""

from __future__ import annotations

import random
import unittest

from waxwingwell.routing.messages import GatewayReport
from waxwingwell.routing.messages import GrantPermits
from waxwingwell.routing.messages import LimitState
from waxwingwell.routing.messages import PermitRequest
from waxwingwell.routing.permits import PermitTable
from waxwingwell.routing.permits import apply_grants
from waxwingwell.routing.permits import compute_permit_rate
from waxwingwell.routing.permits import has_permit
from waxwingwell.routing.permits import take_requests
from waxwingwell.routing.permits import use_permit
from waxwingwell.routing.permits import want_permit
from waxwingwell.routing.reports import ReportTable
from waxwingwell.routing.reports import receive_report
from waxwingwell.routing.reports import respond_to_report

from .permit_plays import Play
from .permit_plays import Scenario
from .permit_plays import count_worst_window


DRAWN_SCENARIOS = 30
"""Number of random scenarios."""


def draw_scenario(seed: int) -> Scenario:
    """Return a scenario with random load, limit and faults."""
    rng = random.Random(seed)
    window, valid_seconds = rng.choice(((4.0, 1.25), (1.0, 0.5)))
    return Scenario(
        gateways=rng.choice((1, 2, 9, 30, 83, 195)),
        rate=rng.choice((0.3, 1.0, 1.7, 4.0, 8.0)),
        demand=rng.choice((0.2, 1.0, 4.0, 20.0)),
        window=window,
        valid_seconds=valid_seconds,
        controls=rng.choice((1, 3, 5)),
        seconds=20.0,
        delay=rng.choice((0.001, 0.005, 0.1)),
        lost=rng.choice((0.0, 0.0, 0.2)),
        killed=rng.choice((0.0, 0.0, 0.3)),
        moving=rng.choice((0.0, 0.0, 0.1)),
        stalled=rng.choice((None, (8.0, 12.0))),
        bursts=rng.choice((False, True)),
        seed=seed,
    )


class LimitTest(unittest.TestCase):
    """The limit holds for all gateways together."""

    def assert_kept(self, scenario: Scenario) -> list[float]:
        """Play a scenario, check its limit, and return the times of the requests."""
        sent = Play(scenario).run()
        worst = count_worst_window(sent, scenario.window)
        self.assertLessEqual(worst, scenario.limit)
        return sent

    def test_no_window_exceeds_the_limit(self) -> None:
        """Guards against gateways that each keep the limit while their sum does not."""
        for gateways in (1, 3, 9, 16, 17, 83, 195, 500):
            for rate in (0.3, 1.7, 8.0):
                with self.subTest(gateways=gateways, rate=rate):
                    self.assert_kept(
                        Scenario(gateways=gateways, rate=rate, seconds=16.0)
                    )

    def test_no_window_exceeds_the_limit_while_messages_and_controls_fail(self) -> None:
        """Guards against permits that count twice after a failure of their control."""
        for seed in range(DRAWN_SCENARIOS):
            scenario = draw_scenario(seed)
            with self.subTest(scenario):
                self.assert_kept(scenario)

    def test_the_upstream_is_used(self) -> None:
        """Guards against a limit that is kept only because nothing is sent."""
        for gateways in (9, 83, 195, 500):
            with self.subTest(gateways=gateways):
                self.assertTrue(self.assert_kept(Scenario(gateways=gateways)))


class PermitTest(unittest.TestCase):
    """Permits of one gateway."""

    def test_a_permit_allows_one_request_for_a_while(self) -> None:
        for name, reported_at, used, now, expected in (
            ("granted", 10.0, 0, 10.1, True),
            ("used", 10.0, 1, 10.1, False),
            ("expired", 10.0, 0, 11.0, False),
            ("arrived too late", 8.0, 0, 10.1, False),
        ):
            with self.subTest(name):
                table = PermitTable()
                want_permit(table, "u1", 2.0, 1.0)
                apply_grants(table, ["u1"], reported_at, 10.05)
                for _ in range(used):
                    use_permit(table, "u1", 10.06)

                self.assertIs(has_permit(table, "u1", now), expected)

    def test_unused_permits_are_returned(self) -> None:
        table = PermitTable()
        want_permit(table, "u1", 2.0, 1.0)
        [asked] = take_requests(table, 10.0)
        self.assertEqual(asked, PermitRequest("u1", 2.0, 1, 0))
        apply_grants(table, ["u1"], 10.0, 10.05)
        self.assertEqual(take_requests(table, 10.25), ())
        self.assertEqual(take_requests(table, 11.0), (PermitRequest("u1", 2.0, 0, 1),))
        self.assertEqual(take_requests(table, 11.25), ())

    def test_the_rate_leaves_room_for_late_permits(self) -> None:
        for limit, window, valid_seconds, controls, rate in (
            (17.0, 4.0, 1.25, 5, 12.0 / 5.5),
            (3.0, 1.0, 0.5, 5, 0.0),
        ):
            with self.subTest(limit=limit):
                found = compute_permit_rate(limit, window, valid_seconds, controls)
                self.assertAlmostEqual(found, rate)


class ResponseTest(unittest.TestCase):
    """What a control responds to a gateway's report."""

    def respond(self, **fields: object) -> GrantPermits | None:
        """Return the response to the second of two reports, 2 s apart."""
        table = ReportTable()
        response = None
        for now in (0.0, 2.0):
            report = GatewayReport(
                gateway="g1",
                use=(),
                evidence=(),
                **{"reported_at": 50.0 + now, "gateways": 1, **fields},  # type: ignore[arg-type]
            )
            receive_report(table, report, now)
            response = respond_to_report(table, report, now)

        return response

    def test_responses(self) -> None:
        wanted = (PermitRequest("u1", 1.0, 1),)
        limits = (LimitState("u1", 1, 2.0, 0.5),)
        granted = GrantPermits(reported_at=52.0, permits=("u1",))
        for name, fields, expected in (
            ("nothing to tell", {}, None),
            ("a permit", {"permits": wanted}, granted),
            (
                "too few of many gateways",
                {"permits": wanted, "gateways": 9},
                GrantPermits(reported_at=52.0),
            ),
            (
                "a gateway that knows of no others",
                {"permits": wanted, "gateways": 0},
                GrantPermits(reported_at=52.0),
            ),
            (
                "limits",
                {"limits": limits},
                GrantPermits(reported_at=52.0, limits=limits),
            ),
            ("an older release", {"reported_at": None, "limits": limits}, None),
        ):
            with self.subTest(name):
                self.assertEqual(self.respond(**fields), expected)
