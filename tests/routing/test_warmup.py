"""Tests of the limit on requests to cold upstreams, over all gateways."""

from __future__ import annotations

import random
import unittest
from typing import Any

from waxwingwell.routing.fleet import FleetTable
from waxwingwell.routing.fleet import apply_announcement
from waxwingwell.routing.fleet import apply_heartbeats
from waxwingwell.routing.health import HealthTable
from waxwingwell.routing.health import record_response
from waxwingwell.routing.health import record_unreachable
from waxwingwell.routing.records import Service
from waxwingwell.routing.warmup import WINDOW_SECONDS
from waxwingwell.routing.warmup import WarmUpLimits
from waxwingwell.routing.warmup import WarmUpTable
from waxwingwell.routing.warmup import compute_limit
from waxwingwell.routing.warmup import is_cold
from waxwingwell.routing.warmup import may_send_alone
from waxwingwell.routing.warmup import record_request
from waxwingwell.routing.warmup import record_return

from .factories import make_announcement


ENGINE = Service(name="chat", warm_up_seconds=3.0, warm_up_rate=7.8)
LIMITS = WarmUpLimits(overshoot=1.5, slack=5.0)
LIMIT = 16.7


def play(
    gateways: int,
    *,
    known: float | None = None,
    seconds: float = 3.0,
    restarts: float = 0.0,
    seed: int = 0,
) -> list[float]:
    """Return the times of all requests to an upstream that everyone wants to use.

    ``known`` is the number of gateways that each of them counts. ``restarts`` is the
    share of gateways that restart each second and forget their requests.
    """
    rng = random.Random(seed)
    tables = [WarmUpTable() for _ in range(gateways)]
    clocks = [rng.random() * 1_000 for _ in range(gateways)]
    times = []
    for step in range(round(seconds * 50)):
        at = step / 50
        for number in rng.sample(range(gateways), gateways):
            if rng.random() < restarts / 50:
                tables[number] = WarmUpTable(began_at=clocks[number] + at)

            now = clocks[number] + at
            if may_send_alone(
                tables[number],
                f"u{seed}",
                compute_limit(ENGINE, LIMITS),
                WINDOW_SECONDS,
                gateway=f"g{number}",
                gateways=gateways if known is None else known,
                now=now,
            ):
                record_request(tables[number], f"u{seed}", now)
                times.append(at)

    return times


def count_worst_second(times: list[float]) -> int:
    """Return the largest number of requests within one second."""
    return max((sum(at <= one < at + 1.0 for one in times) for at in times), default=0)


class LimitTest(unittest.TestCase):
    """The limit holds for all gateways together, without messages between them."""

    def test_no_second_exceeds_the_limit(self) -> None:
        """Guards against a crash of upstreams that all return cold at once.

        Every gateway has requests for the cold upstream all the time.
        """
        for gateways in (1, 3, 9, 16, 17, 30, 88, 200, 500):
            for restarts in (0.0, 0.2):
                with self.subTest(gateways=gateways, restarts=restarts):
                    worst = max(
                        count_worst_second(play(gateways, restarts=restarts, seed=seed))
                        for seed in range(6)
                    )
                    self.assertLessEqual(worst, LIMIT)

    def test_cold_upstreams_get_requests(self) -> None:
        """A service whose upstreams are all cold is still served."""
        for gateways in (3, 9, 88, 200, 500):
            with self.subTest(gateways=gateways):
                sent = sum(len(play(gateways, seed=seed)) for seed in range(10))
                self.assertGreater(sent, 10 * 3.0 * LIMIT / 8)

    def test_nothing_is_sent_while_the_number_of_gateways_is_unknown(self) -> None:
        self.assertEqual(play(200, known=float("inf")), [])

    def test_invalid_limits_are_named(self) -> None:
        for field, value in (("overshoot", -1.0), ("slack", -0.5)):
            with self.subTest(field), self.assertRaisesRegex(ValueError, field):
                WarmUpLimits(**{field: value})


class ColdTest(unittest.TestCase):
    """Upstreams that are cold, or may have become cold unnoticed."""

    def ask(
        self,
        health: HealthTable | None = None,
        service: Service = ENGINE,
        **fields: Any,
    ) -> bool:
        """Return whether an upstream announced at 10 s is cold at 12 s."""
        fleet = FleetTable()
        apply_announcement(fleet, make_announcement(**fields), 10.0)
        return is_cold(
            WarmUpTable(),
            fleet.upstreams["u1"],
            service,
            health or HealthTable(),
            heartbeats_at=10.0,
            now=12.0,
        )

    def test_announced(self) -> None:
        for name, fields, expected in (
            ("warm", {}, False),
            ("cold", {"warming": 3.0}, True),
            ("warm since", {"warming": 1.5}, False),
            (
                "of a service without a limit",
                {"warming": 3.0, "service": Service(name="desk")},
                False,
            ),
        ):
            with self.subTest(name):
                settings: dict[str, Any] = dict(fields)
                service = settings.pop("service", ENGINE)
                self.assertEqual(self.ask(service=service, **settings), expected)

    def test_unreachable_before(self) -> None:
        """An upstream that crashed may be back cold before its heartbeat is known."""
        for name, failed_at, answered, expected in (
            ("a moment ago", 11.5, False, True),
            ("long ago", 6.0, False, False),
            ("and answered since", 11.5, True, False),
        ):
            with self.subTest(name):
                health = HealthTable()
                record_unreachable(health, "u1", failed_at)
                if answered:
                    record_response(health, "u1", 11.9, failed=False)

                self.assertEqual(self.ask(health), expected)

    def test_silent(self) -> None:
        """An upstream without heartbeats may have restarted."""
        for name, heard_at, expected in (
            ("heard", 12.0, False),
            ("silent while others are heard", 10.0, True),
        ):
            with self.subTest(name):
                fleet = FleetTable()
                apply_announcement(fleet, make_announcement(), 10.0)
                apply_heartbeats(fleet, [("u1", 1, 2)], heard_at)
                found = is_cold(
                    WarmUpTable(),
                    fleet.upstreams["u1"],
                    ENGINE,
                    HealthTable(),
                    heartbeats_at=14.0,
                    now=14.0,
                )
                self.assertEqual(found, expected)

    def test_after_an_evacuation(self) -> None:
        """Upstreams become cold before the withdrawal, and their heartbeats lag."""
        for name, data_centre, at, expected in (
            ("withdrawn a moment ago", "north", 10.5, True),
            ("withdrawn long ago", "north", 8.5, False),
            ("of another data centre", "south", 10.5, False),
        ):
            with self.subTest(name):
                table = WarmUpTable()
                record_return(table, data_centre, at)
                fleet = FleetTable()
                apply_announcement(fleet, make_announcement(), 10.0)
                found = is_cold(
                    table,
                    fleet.upstreams["u1"],
                    ENGINE,
                    HealthTable(),
                    heartbeats_at=12.0,
                    now=12.0,
                )
                self.assertEqual(found, expected)
