"""Tests of the speeds of engines that a control shares, logs and counts."""

from __future__ import annotations

import math
import unittest
from typing import Any

import msgspec

from tests.adapters.gateway.support import capture_log
from tests.routing.factories import make_announcement
from tests.routing.factories import make_rollout
from waxwingwell.adapters.metrics import REGISTRY
from waxwingwell.adapters.registry.api import announce
from waxwingwell.adapters.registry.hub import handle_cast
from waxwingwell.adapters.registry.hub import handle_connection
from waxwingwell.adapters.registry.hub import run_sharing
from waxwingwell.routing.fleet import UpstreamState
from waxwingwell.routing.messages import ControlReport
from waxwingwell.routing.messages import EnginePace
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import GatewayReport

from .support import Registry
from .support import make_registry


NAMES = ("u1", "u2", "u3")
TICK_SECONDS = 0.125


def start_control() -> tuple[Registry, Any]:
    """Return a control that knows some engines, and the connection of a gateway."""
    registry = make_registry()
    registry.clock.advance(10.0)
    for name in NAMES:
        announce(registry.context, make_announcement(name))

    connection = registry.accept("g1")
    handle_connection(registry.context, connection)
    return registry, connection


def report(registry: Registry, seconds: float, **times: float) -> None:
    """Let a gateway report the paces of all engines four times a second."""
    for tick in range(round(seconds / TICK_SECONDS)):
        if tick % 2 == 0:
            paces = tuple(
                EnginePace(name, 1, "m", 40, times.get(name, 40.0)) for name in NAMES
            )
            body = GatewayReport(gateway="g1", use=(), evidence=(), paces=paces)
            handle_cast(registry.context, "g1", body)

        run_sharing(registry.context, registry.clock.seconds())
        registry.clock.advance(TICK_SECONDS)


def list_totals(connection: Any) -> list[FleetReport]:
    """Return the totals that a gateway received."""
    return [one for one in connection.sent if isinstance(one, FleetReport)]


def count_slow() -> float | None:
    """Return the value of the gauge of slow engines."""
    return REGISTRY.get_sample_value("waxwingwell_slow_engines")


class SpeedTest(unittest.TestCase):
    """Lists of factors for gateways, and what operators see."""

    def test_totals(self) -> None:
        """Guards against factors in each of four totals a second, or in none."""
        registry, connection = start_control()
        report(registry, 2.0)
        self.assertEqual(
            {one.speeds for one in list_totals(connection)}, {msgspec.UNSET}
        )
        connection.sent.clear()
        report(registry, 8.0, u2=120.0)
        lists = [one.speeds for one in list_totals(connection) if one.speeds]
        self.assertIn(len(lists), range(7, 13))
        self.assertEqual([one.upstream for one in lists[-1]], ["u2"])
        self.assertAlmostEqual(lists[-1][0].factor, 3.0, delta=0.05)

    def test_engines_on_trial_are_listed(self) -> None:
        """Guards against engines on trial that look unused, as they are not slow."""
        for share, target, expected in (
            (0.1, "v1", set(NAMES)),
            (0.1, "v2", {"u2"}),
            (1.0, "v1", {"u2"}),
        ):
            with self.subTest(share=share, target=target):
                registry, connection = start_control()
                rollout = make_rollout(target=target, share=share)
                registry.context.state.rollouts["chat"] = rollout
                report(registry, 8.0, u2=120.0)
                lists = [one.speeds for one in list_totals(connection) if one.speeds]
                factors = {one.upstream: one.factor for one in lists[-1]}
                self.assertEqual(factors.keys(), expected)
                self.assertAlmostEqual(factors.pop("u2"), 3.0, delta=0.05)
                self.assertLessEqual(set(factors.values()), {1.0})

    def test_log_and_gauge(self) -> None:
        """Guards against slow engines that nobody sees, or that fill the log."""
        registry, _ = start_control()
        report(registry, 2.0)
        self.assertEqual(count_slow(), 0)
        records = capture_log(lambda: report(registry, 8.0, u2=120.0))
        self.assertEqual(count_slow(), 1)
        records += capture_log(lambda: report(registry, 8.0))
        self.assertEqual(count_slow(), 0)
        found = [
            (one["extra"]["upstream"], one["extra"]["service"])
            for one in records
            if one["message"] == "registry: Engine speed changed"
        ]
        self.assertEqual(found, [("u2", "chat")] * 2)

    def test_other_controls(self) -> None:
        """Guards against controls that know only what their own gateways see."""
        registry, connection = start_control()
        report(registry, 1.0)
        paces = tuple(
            EnginePace(name, 1, "m", 400, 160.0 if name == "u2" else 40.0)
            for name in NAMES
        )
        total = FleetReport(gateways=1, use=())
        body = ControlReport(total=total, paces=paces)
        handle_cast(registry.context, "127.0.0.2", body)
        run_sharing(registry.context, registry.clock.seconds())
        speeds = list_totals(connection)[-1].speeds or ()
        self.assertEqual([one.upstream for one in speeds], ["u2"])
        sent = [one.paces for one in self.list_sent(registry) if one.paces]
        self.assertEqual({one.upstream for one in sent[0] or ()}, set(NAMES))

    def list_sent(self, registry: Registry) -> list[ControlReport]:
        """Return the reports that were sent to the other controls."""
        return [
            body
            for link in registry.context.controls.values()
            if link.protocol is not None
            for body in getattr(link.protocol, "sent", [])
            if isinstance(body, ControlReport)
        ]

    def test_an_engine_that_is_gone(self) -> None:
        """Guards against a gauge that counts engines which do not exist."""
        registry, connection = start_control()
        report(registry, 4.0, u2=120.0)
        gone = make_announcement("u2", state=UpstreamState.GONE, sequence=9)
        announce(registry.context, gone)
        connection.sent.clear()
        report(registry, 1.0, u2=120.0)
        self.assertEqual(count_slow(), 0)
        self.assertEqual(
            {one.speeds for one in list_totals(connection)}, {msgspec.UNSET}
        )

    def test_invalid_paces_are_logged_once_in_a_while(self) -> None:
        """Guards against a broken gateway that fills the log or misleads others."""
        registry, connection = start_control()
        report(registry, 1.0)

        def run() -> None:
            report(registry, 20.0, u2=math.nan)

        records = capture_log(run)
        invalid = [
            one["extra"]["count"]
            for one in records
            if one["message"] == "registry: Invalid paces dropped"
        ]
        self.assertEqual(len(invalid), 2)
        self.assertEqual(
            {one.speeds for one in list_totals(connection)}, {msgspec.UNSET}
        )
