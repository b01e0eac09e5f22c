"""Tests of how controls learn the speeds of engines and gateways keep them."""

from __future__ import annotations

import math
import unittest
from statistics import median
from typing import Any

import msgspec

from waxwingwell.routing.engine_comparison import RETURN_SECONDS
from waxwingwell.routing.engine_comparison import UNKNOWN_SECONDS
from waxwingwell.routing.engine_comparison import Engine
from waxwingwell.routing.engine_comparison import SpeedChange
from waxwingwell.routing.engine_comparison import compare_engines
from waxwingwell.routing.engine_comparison import count_slow
from waxwingwell.routing.engine_comparison import is_comparison_due
from waxwingwell.routing.engine_comparison import take_speeds
from waxwingwell.routing.engine_comparison import update_deviations
from waxwingwell.routing.engine_speeds import FRESH_SECONDS
from waxwingwell.routing.engine_speeds import RETENTION_SECONDS
from waxwingwell.routing.engine_speeds import EngineSpeedTable
from waxwingwell.routing.engine_speeds import apply_speeds
from waxwingwell.routing.engine_speeds import find_duration_factor
from waxwingwell.routing.messages import ControlReport
from waxwingwell.routing.messages import EnginePace
from waxwingwell.routing.messages import EngineSpeed
from waxwingwell.routing.messages import FleetReport
from waxwingwell.routing.messages import GatewayReport
from waxwingwell.routing.pace_means import MAX_MEANS
from waxwingwell.routing.pace_means import PaceTable
from waxwingwell.routing.pace_means import drop_decayed
from waxwingwell.routing.pace_means import list_shared_paces
from waxwingwell.routing.pace_means import receive_paces
from waxwingwell.routing.pace_means import receive_shared_paces
from waxwingwell.routing.pace_means import take_shared_paces
from waxwingwell.routing.reports import ReportTable

from .pace_plays import Gateway
from .pace_plays import Play


SERVICES = {(f"u{number}", 1): "chat" for number in range(5)}
REPORT_SECONDS = 1.0
"""Greatest age of the samples in a report."""
SHARING_SECONDS = 0.25
"""Interval of the lists of factors."""
INVALID_MS = (0.0, -40.0, math.nan, math.inf, -math.inf, 1e9, 1e-9)


def make_paces(times: dict[str, float], count: int = 40) -> list[EnginePace]:
    """Return the paces of some engines in milliseconds."""
    return [EnginePace(name, 1, "m", count, ms) for name, ms in times.items()]


def make_equal(**times: float) -> list[EnginePace]:
    """Return paces of 40 ms, and of some engines others."""
    return make_paces({**{name: 40.0 for name, _ in SERVICES}, **times})


def compare(
    table: ReportTable, services: dict[Engine, str], now: float
) -> list[SpeedChange]:
    """Compare the engines at a control; return those that have passed a limit."""
    return update_deviations(table.deviations, table.paces, services, now)


def is_due(table: ReportTable, now: float) -> bool:
    """Return whether a control may compare the engines again."""
    return is_comparison_due(table.deviations, table.paces, now)


def find_listed(table: ReportTable, now: float) -> dict[str, float]:
    """Compare the engines, and return the factors for gateways."""
    compare(table, SERVICES, now)
    return {one.upstream: one.factor for one in take_speeds(table.deviations, now)}


class EqualEnginesTest(unittest.TestCase):
    """Engines that are alike."""

    def test_noise_is_not_shared(self) -> None:
        """Guards against factors, and bytes, where engines do not differ."""
        for gateways, requests, noise, delay in (
            (9, 1, 0.3, 0.1),
            (9, 3, 0.3, 0.5),
            (9, 6, 0.5, 1.0),
            (100, 3, 0.3, 1.0),
            (500, 3, 0.3, 0.1),
            (500, 6, 0.5, 0.5),
        ):
            with self.subTest(gateways=gateways, requests=requests, noise=noise):
                play = Play(gateways, requests=requests, noise=noise, delay=delay)
                play.run(10.0)
                self.assertEqual((play.listed, play.changes), ([], []))

    def test_one_slow_stream_changes_nothing(self) -> None:
        """Guards against an engine avoided because of one caller's stream."""
        for gateways in (9, 100):
            with self.subTest(gateways=gateways):
                play = Play(gateways)
                play.run(4.0)
                play.slow_stream(3)
                play.run(6.0)
                self.assertEqual(play.listed, [])

    def test_a_stall_changes_nothing(self) -> None:
        """Guards against an engine avoided after one pause of all of its streams."""
        for gateways in (9, 100):
            for seconds in (0.2, 0.5, 0.9):
                with self.subTest(gateways=gateways, seconds=seconds):
                    play = Play(gateways)
                    play.run(4.0)
                    play.stall_engine(3, seconds)
                    play.run(4.0)
                    self.assertEqual(play.listed, [])


class SlowEnginesTest(unittest.TestCase):
    """Engines that differ, and engines that turn slow."""

    def test_factors_are_found(self) -> None:
        """Guards against factors that are wrong by more than a fifth at any gateway."""
        for gateways, requests, delay in (
            (9, 2, 0.1),
            (9, 6, 1.0),
            (100, 6, 0.5),
            (500, 2, 1.0),
            (500, 6, 0.1),
        ):
            with self.subTest(gateways=gateways, requests=requests, delay=delay):
                slow = {number: 2.0 + number % 3 for number in range(10)}
                play = Play(gateways, requests=requests, delay=delay, slow=slow)
                play.run(8.0)
                for number in range(play.engines):
                    expected = slow.get(number, 1.0)
                    for factor in play.find_factors(number):
                        self.assertLess(abs(factor / expected - 1), 0.2, number)

    def test_an_engine_that_turns_slow_and_back(self) -> None:
        """Guards against a change that is known, or forgotten, too late.

        A report has samples of up to a second; the factor follows within a second of
        the first one that has only new samples, and a second later when it falls, as
        the logarithm has farther to go.
        """
        for gateways, requests, factor, delay in (
            (9, 3, 2.0, 0.1),
            (9, 6, 4.0, 0.5),
            (100, 3, 3.0, 1.0),
            (100, 6, 2.0, 0.1),
            (500, 6, 4.0, 0.1),
        ):
            with self.subTest(gateways=gateways, factor=factor, delay=delay):
                play = Play(gateways, requests=requests, delay=delay)
                play.run(4.0)
                play.slow[3] = factor
                way = 2 * delay + SHARING_SECONDS
                play.run(REPORT_SECONDS + way + 1.0)
                self.assertGreater(median(play.find_factors(3)), 1.25)
                play.run(5.0)
                del play.slow[3]
                play.run(REPORT_SECONDS + way + 2.0)
                self.assertLess(median(play.find_factors(3)), 1.25)
                play.run(2.0)
                self.assertEqual(set(play.find_factors(3)), {1.0})

    def test_fast_engines(self) -> None:
        """Guards against factors only for slow engines."""
        play = Play(9, slow=dict.fromkeys(range(10), 0.5))
        play.run(6.0)
        for number in range(10):
            self.assertAlmostEqual(median(play.find_factors(number)), 0.5, delta=0.1)

    def test_only_engines_that_ran_the_same_model_are_compared(self) -> None:
        """Guards against an engine that counts as slow for running larger models."""
        table = ReportTable()
        small = [EnginePace(f"u{one}", 1, "small", 40, 20.0) for one in range(3)]
        large = [EnginePace(f"u{one}", 1, "large", 40, 90.0) for one in (3, 4)]
        receive_paces(table.paces, [*small, *large], 0.0)
        self.assertEqual(find_listed(table, 0.0), {})

    def test_only_engines_of_the_same_service_are_compared(self) -> None:
        """Guards against services whose engines differ by purpose."""
        table = ReportTable()
        receive_paces(table.paces, make_equal(u3=160.0, u4=160.0), 0.0)
        services = {**SERVICES, ("u3", 1): "other", ("u4", 1): "other"}
        self.assertEqual(compare(table, services, 0.0), [])

    def test_models_count_by_weight(self) -> None:
        """Guards against a model with a few samples that outweighs the others."""
        table = ReportTable()
        rare = [
            EnginePace(name, 1, "rare", 4, 160.0 if name == "u3" else 40.0)
            for name, _ in SERVICES
        ]
        receive_paces(table.paces, [*make_equal(), *rare], 0.0)
        log_factor, _ = compare_engines(table.paces, SERVICES, 0.0)["u3", 1]
        self.assertAlmostEqual(log_factor, math.log(4) * 4 / 44)

    def test_factors_are_bounded(self) -> None:
        table = ReportTable()
        receive_paces(table.paces, make_equal(u3=4000.0, u4=0.4), 0.0)
        self.assertEqual(find_listed(table, 0.0), {"u3": 8.0, "u4": 0.125})

    def test_too_few_samples(self) -> None:
        """Guards against an engine that is judged by a handful of events."""
        for count, listed in ((1, False), (3, False), (4, False), (20, True)):
            with self.subTest(count=count):
                table = ReportTable()
                receive_paces(table.paces, make_equal()[:4], 0.0)
                receive_paces(table.paces, make_paces({"u4": 80.0}, count), 0.0)
                self.assertEqual("u4" in find_listed(table, 0.0), listed)

    def test_an_engine_at_the_limit_does_not_alternate(self) -> None:
        """Guards against a factor that changes between 1 and 1.25 at every report."""
        table = ReportTable()
        changes = []
        for place, ms in enumerate((52.0, 49.0, 51.0, 48.0, 52.0, 49.0)):
            now = place * 5.0
            for _ in range(4):
                receive_paces(table.paces, make_equal(u3=ms), now)

            changes += compare(table, SERVICES, now)

        self.assertEqual([one.factor for one in changes], [1.3])

    def test_one_line_for_each_passed_limit(self) -> None:
        """Guards against a log line for every change of a slow engine's factor."""
        table = ReportTable()
        factors = []
        slow_counts = []
        for place, ms in enumerate((40.0, 80.0, 90.0, 40.0, 40.0, 20.0, 160.0, 40.0)):
            now = place * 10.0
            receive_paces(table.paces, make_equal(u3=ms), now)
            factors += [
                one.factor
                for one in update_deviations(
                    table.deviations, table.paces, SERVICES, now
                )
            ]
            slow_counts.append(count_slow(table.deviations))

        self.assertEqual(factors, [2.0, 1.0, 0.5, 4.0, 1.0])
        self.assertEqual(slow_counts, [0, 1, 1, 0, 0, 0, 1, 0])


class FailureTest(unittest.TestCase):
    """Controls, links and engines that fail, and values that are wrong."""

    def make_play(self, **options: Any) -> Play:
        """Return a play in which one engine is slow and known to be."""
        play = Play(12, slow={3: 3.0}, **options)
        play.run(6.0)
        self.assertGreater(min(play.find_factors(3)), 2.0)
        return play

    def test_a_control_is_lost(self) -> None:
        """Guards against factors that are lost with the control that found them."""
        for controls in (1, 3):
            with self.subTest(controls=controls):
                play = self.make_play(controls=controls)
                play.tables["new"] = ReportTable()
                play.stop_control("control0")
                for _ in range(24):
                    play.run(0.25)
                    self.assertGreater(min(play.find_factors(3)), 2.0)

    def test_all_controls_are_lost(self) -> None:
        """Guards against factors that are kept for ever, or lost at once."""
        play = self.make_play()
        for name in list(play.tables):
            play.stop_control(name)

        before = min(play.find_factors(3))
        play.run(1.0)
        self.assertGreater(min(play.find_factors(3)), 0.95 * before)
        play.run(10.0)
        self.assertLess(max(play.find_factors(3)), 2.0)
        self.assertGreater(min(play.find_factors(3)), 1.25)
        play.run(40.0)
        self.assertLess(max(play.find_factors(3)), 1.05)

    def test_controls_are_cut_off_from_each_other(self) -> None:
        """Guards against a half of a partition that learns nothing."""
        play = Play(12, controls=2)
        play.run(4.0)
        play.cut.add("control0")
        play.slow[3] = 3.0
        play.run(5.0)
        self.assertGreater(min(play.find_factors(3)), 2.0)
        play.cut.clear()
        play.slow.clear()
        play.run(5.0)
        self.assertEqual(set(play.find_factors(3)), {1.0})

    def test_an_engine_restarts_under_the_same_id(self) -> None:
        """Guards against a new process that is judged by the former one."""
        play = self.make_play()
        play.restart_engine(3, 1.0)
        self.assertEqual(set(play.find_factors(3)), {1.0})
        play.run(5.0)
        self.assertEqual(set(play.find_factors(3)), {1.0})
        slow_counts = {count_slow(one.deviations) for one in play.tables.values()}
        self.assertEqual(slow_counts, {0})

    def test_a_late_report_on_a_former_process(self) -> None:
        """Guards against samples of a process that has ended."""
        table = ReportTable()
        receive_paces(table.paces, make_equal(u3=160.0), 0.0)
        services = {**SERVICES, ("u3", 2): "chat"}
        del services["u3", 1]
        self.assertEqual(compare(table, services, 0.0), [])

    def test_a_new_gateway(self) -> None:
        """Guards against a gateway that starts and avoids no slow engine."""
        play = self.make_play()
        gateway = Gateway("new", "control1", play.members[0].paces)
        play.members.append(gateway)
        play.run(1.25)
        engine = play.get_engine(3)
        self.assertGreater(find_duration_factor(gateway.speeds, *engine, play.now), 2.0)

    def test_a_slow_engine_that_gets_no_requests(self) -> None:
        """Guards against a slow engine that is tried again at once.

        Gateways avoid it, so that no sample tells that it is still slow.
        """
        table = ReportTable()
        speeds = EngineSpeedTable()
        receive_paces(table.paces, make_equal(u3=160.0), 0.0)
        factors = {}
        for now in range(50):
            receive_paces(table.paces, make_equal()[:3], float(now))
            compare(table, SERVICES, float(now))
            apply_speeds(speeds, take_speeds(table.deviations, float(now)), float(now))
            factors[now] = find_duration_factor(speeds, "u3", 1, float(now))

        self.assertGreater(factors[5], 2.5)
        self.assertLess(factors[30], 1.3)
        self.assertEqual(count_slow(table.deviations), 0)

    def test_a_slow_engine_that_is_not_seen_any_more_is_forgotten(self) -> None:
        """Guards against a gauge that counts an engine for ever."""
        table = ReportTable()
        receive_paces(table.paces, make_equal(u3=160.0), 0.0)
        compare(table, SERVICES, 0.0)
        later = UNKNOWN_SECONDS + 0.1
        changes = compare(table, SERVICES, later)
        self.assertEqual([one.factor for one in changes], [None])
        self.assertEqual(count_slow(table.deviations), 0)

    def test_invalid_reports_change_nothing(self) -> None:
        """Guards against one broken gateway or control that misleads all others."""
        invalid = [
            *(EnginePace("u3", 1, "m", 40, ms) for ms in INVALID_MS),
            *(EnginePace("u3", 1, "m", count, 160.0) for count in (0, -1, 10**9)),
            EnginePace("u3", 1, "m" * 1000, 40, 160.0),
        ]
        for name in ("gateway", "control"):
            for pace in invalid:
                with self.subTest(name, pace=pace):
                    table = ReportTable()
                    receive_paces(table.paces, make_equal(), 0.0)
                    if name == "gateway":
                        receive_paces(table.paces, [pace], 0.0)
                    else:
                        receive_shared_paces(table.paces, "other", [pace], 0.0)

                    self.assertEqual(table.paces.invalid, 1)
                    self.assertEqual(find_listed(table, 0.0), {})

    def test_one_absurd_report_is_bounded(self) -> None:
        """Guards against one report that moves a mean by its size."""
        table = ReportTable()
        receive_paces(table.paces, make_equal(), 0.0)
        receive_paces(table.paces, [EnginePace("u3", 1, "m", 2, 50_000.0)], 0.0)
        self.assertEqual(find_listed(table, 0.0), {})

    def test_reports_on_many_engines_are_bounded(self) -> None:
        """Guards against a control whose memory is filled by invented engines."""
        table = ReportTable()
        paces = [EnginePace(f"x{n}", 1, "m", 9, 40.0) for n in range(MAX_MEANS + 5)]
        receive_paces(table.paces, paces, 0.0)
        receive_shared_paces(table.paces, "other", paces, 0.0)
        self.assertEqual(len(table.paces.own), MAX_MEANS)
        self.assertEqual(len(table.paces.others["other"]), MAX_MEANS)
        drop_decayed(table.paces, ("other",), 60.0)
        self.assertEqual((table.paces.own, table.paces.others["other"]), ({}, {}))

    def test_large_fleets_are_compared_less_often(self) -> None:
        """Guards against a control that only compares engines."""
        for means, seconds in ((60, 0.01), (5_000, 0.25), (20_000, 1.0)):
            with self.subTest(means=means):
                table = ReportTable()
                paces = [EnginePace(f"u{n}", 1, "m", 9, 40.0) for n in range(means)]
                receive_paces(table.paces, paces, 0.0)
                self.assertTrue(is_due(table, 0.0))
                compare(table, {}, 0.0)
                self.assertFalse(
                    is_comparison_due(
                        table.deviations, table.paces, 0.9 * means / 20_000
                    )
                )
                self.assertTrue(is_due(table, seconds))

    def test_a_message_between_controls_is_repeated_or_lost(self) -> None:
        """Guards against samples that are counted twice, or missing for long."""
        first, second = PaceTable(), PaceTable()
        receive_paces(first, make_equal(u3=160.0), 0.0)
        shared = take_shared_paces(first, 0.0)
        for _ in range(3):
            receive_shared_paces(second, "first", shared, 0.0)

        _, weight = compare_engines(second, SERVICES, 0.0)["u3", 1]
        self.assertEqual(weight, 40)
        self.assertEqual(take_shared_paces(first, 0.1), ())
        receive_paces(first, make_equal(u3=160.0), 1.0)
        self.assertEqual(len(take_shared_paces(first, 1.0)), len(SERVICES))

    def test_a_changed_pace_is_shared_at_once(self) -> None:
        """Guards against a change that waits for the next second at each control."""
        table = ReportTable()
        receive_paces(table.paces, make_equal(), 0.0)
        take_shared_paces(table.paces, 0.0)
        receive_paces(table.paces, make_equal(u3=160.0), 0.1)
        self.assertEqual(
            [one.upstream for one in take_shared_paces(table.paces, 0.1)], ["u3"]
        )

    def test_a_control_that_connects_gets_all_means(self) -> None:
        table = ReportTable()
        receive_paces(table.paces, make_equal(), 0.0)
        take_shared_paces(table.paces, 0.0)
        self.assertEqual(len(list_shared_paces(table.paces, 0.0)), len(SERVICES))

    def test_the_means_of_a_lost_control_are_dropped(self) -> None:
        """Guards against samples of a control that is gone."""
        table = ReportTable()
        receive_shared_paces(table.paces, "other", make_equal(u3=160.0), 0.0)
        drop_decayed(table.paces, (), 0.0)
        self.assertEqual(table.paces.others, {})

    def test_an_engine_that_is_back_is_listed_for_a_while(self) -> None:
        """Guards against gateways that miss one message and keep the factor."""
        table = ReportTable()
        receive_paces(table.paces, make_equal(u3=160.0), 0.0)
        self.assertEqual(find_listed(table, 0.0), {"u3": 4.0})
        for now, listed in (
            (10.0, {"u3": 1.0}),
            (10.5, {}),
            (11.0, {"u3": 1.0}),
            (10.0 + RETURN_SECONDS, {"u3": 1.0}),
            (10.1 + RETURN_SECONDS, {}),
            (20.0, {}),
        ):
            receive_paces(table.paces, make_equal(), now)
            self.assertEqual(find_listed(table, now), listed, now)


class GatewayTableTest(unittest.TestCase):
    """Factors at a gateway."""

    def test_age(self) -> None:
        for age, expected in (
            (0.0, 4.0),
            (FRESH_SECONDS, 4.0),
            (FRESH_SECONDS + 10.0, 4.0 ** math.exp(-1)),
            (FRESH_SECONDS + 50.0, 4.0 ** math.exp(-5)),
        ):
            with self.subTest(age=age):
                table = EngineSpeedTable()
                apply_speeds(table, [EngineSpeed("u1", 1, 4.0)], 5.0)
                found = find_duration_factor(table, "u1", 1, 5.0 + age)
                self.assertAlmostEqual(found, expected)

    def test_unknown_engines(self) -> None:
        table = EngineSpeedTable()
        apply_speeds(table, [EngineSpeed("u1", 1, 4.0)], 0.0)
        for engine in (("u2", 1), ("u1", 2), ("u1", 0)):
            self.assertEqual(find_duration_factor(table, *engine, 0.0), 1.0)

    def test_invalid_factors_are_dropped(self) -> None:
        """Guards against a broken control that makes gateways avoid engines."""
        for factor in (0.0, -2.0, math.nan, math.inf, -math.inf, 8.5, 0.1, 1e300):
            with self.subTest(factor=factor):
                table = EngineSpeedTable()
                apply_speeds(table, [EngineSpeed("u1", 1, 2.0)], 0.0)
                invalid = apply_speeds(table, [EngineSpeed("u1", 1, factor)], 0.0)
                self.assertEqual(invalid, 1)
                self.assertEqual(find_duration_factor(table, "u1", 1, 0.0), 2.0)

    def test_old_factors_are_dropped(self) -> None:
        """Guards against a table that grows with every restart of an engine."""
        table = EngineSpeedTable()
        for incarnation in range(5):
            now = incarnation * (RETENTION_SECONDS + 1)
            apply_speeds(table, [EngineSpeed("u1", incarnation, 4.0)], now)

        self.assertEqual(list(table.factors), [("u1", 4)])


class MessageTest(unittest.TestCase):
    """Messages of former releases, and bytes where engines are alike."""

    def test_messages_without_the_new_fields(self) -> None:
        """Guards against an upgrade in which former releases are not understood."""
        fields: dict[type, dict[str, Any]] = {
            GatewayReport: {"type": "GatewayReport", "gateway": "g", "evidence": []},
            FleetReport: {"type": "FleetReport", "gateways": 1},
            ControlReport: {
                "type": "ControlReport",
                "total": {"type": "FleetReport", "gateways": 1, "use": []},
            },
        }
        for kind, known in fields.items():
            with self.subTest(kind.__name__):
                data = msgspec.msgpack.encode({"use": [], **known})
                body: Any = msgspec.msgpack.decode(data, type=kind)
                field = "speeds" if kind is FleetReport else "paces"
                self.assertIs(getattr(body, field), msgspec.UNSET)

    def test_alike_engines_add_no_bytes(self) -> None:
        """Guards against bytes four times a second at every gateway."""
        table = ReportTable()
        receive_paces(table.paces, make_equal(), 0.0)
        compare(table, SERVICES, 0.0)
        self.assertEqual(take_speeds(table.deviations, 0.0), ())
        body = FleetReport(gateways=1, use=())
        self.assertNotIn(b"speeds", msgspec.msgpack.encode(body))
