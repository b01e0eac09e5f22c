"""Tests of placement by the capacity of engines."""

from __future__ import annotations

import random
import unittest
import zlib
from collections import Counter
from itertools import pairwise
from typing import Any

from waxwingwell.experiments.placement_simulation import PlacementRun
from waxwingwell.experiments.placement_simulation import SpeedChange
from waxwingwell.routing.capacity import EVEN
from waxwingwell.routing.capacity import EngineFactors
from waxwingwell.routing.capacity import draw_by_capacity
from waxwingwell.routing.capacity import find_slowness
from waxwingwell.routing.capacity import limit_slots
from waxwingwell.routing.capacity import list_factors
from waxwingwell.routing.capacity import sum_capacity
from waxwingwell.routing.engine_speeds import EngineSpeedTable
from waxwingwell.routing.engine_speeds import apply_speeds
from waxwingwell.routing.health import HealthTable
from waxwingwell.routing.load import LoadTable
from waxwingwell.routing.load import add_running
from waxwingwell.routing.load import estimate_usage
from waxwingwell.routing.load import record_prefill
from waxwingwell.routing.messages import EngineSpeed
from waxwingwell.routing.output_pace import OutputPaceTable
from waxwingwell.routing.output_pace import estimate_output_token_ms
from waxwingwell.routing.output_pace import record_output_time
from waxwingwell.routing.placement import Demand
from waxwingwell.routing.placement import PlacementContext
from waxwingwell.routing.placement import estimate_cost
from waxwingwell.routing.placement import place_request
from waxwingwell.routing.placement_cost import LATE_MS
from waxwingwell.routing.placement_cost import QUEUED_BATCH_MS
from waxwingwell.routing.placement_cost import estimate_late_cost
from waxwingwell.routing.placement_cost import estimate_memory_cost
from waxwingwell.routing.placement_cost import estimate_rank_cost
from waxwingwell.routing.placement_cost import estimate_share_cost
from waxwingwell.routing.pools import SMALL_SHARE
from waxwingwell.routing.pools import Pool
from waxwingwell.routing.pools import list_pool
from waxwingwell.routing.prefixes import PrefixTable
from waxwingwell.routing.prefixes import prefer_upstream
from waxwingwell.routing.prefixes import record_blocks
from waxwingwell.routing.records import Service
from waxwingwell.routing.tallies import Ending
from waxwingwell.routing.tallies import RolloutTally
from waxwingwell.routing.tallies import list_evidence
from waxwingwell.routing.tallies import record_ending
from waxwingwell.routing.tallies import record_first_byte
from waxwingwell.routing.tallies import record_sent
from waxwingwell.routing.tallies import start_stream

from .factories import make_announcement
from .placement_plays import ENGINES
from .placement_plays import FACTORS
from .placement_plays import RANKS
from .placement_plays import SEEDS
from .placement_plays import UNRANKED
from .placement_plays import Play
from .placement_plays import compare_with_share
from .placement_plays import count_mean_running
from .placement_plays import find_event_p95
from .placement_plays import find_first_p95
from .placement_plays import find_slow_part
from .placement_plays import play_oracle
from .placement_plays import play_product


FLEETS = ((9, 0.05), (95, 0.25), (500, 0.5))
"""Numbers of gateways, with the least ages of their totals."""
TARGET = 1.15
SECONDS = 10.0
ENGINE = Service(name="chat", slots=16, memory_tokens=100_000)
DESK = Service(name="desk", slots=4)
CHOICES_BEFORE = "c41b7235"
"""Checksum of choices and costs, recorded on 823a563, which knows no speeds."""


def make_table(factors: dict[str, float]) -> EngineSpeedTable:
    """Return a table of the factors of engines in their first incarnation."""
    table = EngineSpeedTable()
    for name, factor in factors.items():
        table.factors[name, 1] = factor

    return table


def make_context(factors: dict[str, float], **around: Any) -> PlacementContext:
    """Return the state of a gateway that knows some factors."""
    known: dict[str, Any] = {
        "data_centre": "north",
        "load": LoadTable(),
        "health": HealthTable(),
        "prefixes": PrefixTable(),
        "engine_speeds": make_table(factors),
    }
    return PlacementContext(**{**known, **around})


def find_cost(demand: Demand, factor: float, *, slowest: float = 4.0) -> float:
    """Return the cost of an idle engine of a factor, beside a median and a slow one."""
    upstreams = [make_announcement(name) for name in ("one", "median", "slow")]
    context = make_context({"one": factor, "slow": slowest})
    factors = list_factors(context.engine_speeds, upstreams, 10.0)
    found = estimate_cost(
        demand, upstreams[0], context, 10.0, preferred="", factors=factors
    )
    return found.cost


class OracleTest(unittest.TestCase):
    """Many gateways on engines of which a third are two to four times slower."""

    def test_first_events_and_events_are_near_those_of_an_oracle(self) -> None:
        """Guards against streams on slow engines beside fast ones with room."""
        oracle = [play_oracle(1.5, SECONDS, seed) for seed in SEEDS]
        for gateways, age in FLEETS[:2]:
            for ranks in (UNRANKED, RANKS):
                with self.subTest(gateways=gateways, ranks=ranks):
                    runs = play_seeds(gateways, age, ranks)
                    first = find_first_p95(runs) / find_first_p95(oracle)
                    event = find_event_p95(runs) / find_event_p95(oracle)
                    self.assertLessEqual(first, TARGET, "first event")
                    self.assertLessEqual(event, TARGET, "time of an event")

    def test_events_of_many_gateways_are_near_those_of_an_oracle(self) -> None:
        """Guards against slow events where totals are a second old."""
        oracle = [play_oracle(1.5, SECONDS, seed) for seed in SEEDS]
        for ranks in (UNRANKED, RANKS):
            with self.subTest(ranks=ranks):
                runs = play_seeds(*FLEETS[2], ranks)
                event = find_event_p95(runs) / find_event_p95(oracle)
                self.assertLessEqual(event, TARGET)

    def test_first_events_of_many_gateways_are_near_those_of_an_oracle(self) -> None:
        """Guards against waits at the same engines where totals are a second old."""
        oracle = [play_oracle(1.5, SECONDS, seed) for seed in SEEDS]
        for ranks in (UNRANKED, RANKS):
            with self.subTest(ranks=ranks):
                runs = play_seeds(*FLEETS[2], ranks)
                first = find_first_p95(runs) / find_first_p95(oracle)
                self.assertLessEqual(first, TARGET)

    def test_slow_engines_run_at_most_the_share_of_their_speed(self) -> None:
        """Guards against slow engines that collect requests as these stay longer."""
        for gateways, age in FLEETS:
            for load in (1.5, 3.0):
                with self.subTest(gateways=gateways, load=load):
                    play = Play(gateways, age, load, RANKS, SECONDS)
                    shares = compare_with_share(play_product(play, 1))
                    self.assertLessEqual(max(shares.values()), TARGET)

    def test_least_urgent_and_long_requests_use_slow_engines(self) -> None:
        """Guards against urgent short requests that wait at slow engines."""
        for load in (1.5, 3.0):
            with self.subTest(load=load):
                run = play_product(Play(95, 0.25, load, RANKS, SECONDS), 1)
                urgent = find_slow_part(run, min(RANKS))
                self.assertGreater(find_slow_part(run, max(RANKS)), 2 * urgent)

    def test_an_engine_that_turns_slow_gets_less_and_comes_back(self) -> None:
        """Guards against requests that go to an engine for what it did before."""
        name = "engine-20"
        peers = list_peers(name)
        changes = (SpeedChange(7.0, 20, 3.0), SpeedChange(14.0, 20, 1.0))
        for gateways, age in FLEETS:
            with self.subTest(gateways=gateways):
                play = Play(gateways, age, seconds=21.0, changes=changes)
                run = play_product(play, 1)
                sends = Counter(
                    (one.engine, int(one.at)) for one in run.placed if one.at >= 0.0
                )

                def count(engine: str, since: int, until: int) -> int:
                    seconds = range(since, until)
                    return sum(sends[engine, second] for second in seconds)  # noqa: B023

                usual = sum(count(peer, 8, 15) for peer in peers) / len(peers)
                self.assertLess(count(name, 8, 15), usual / 3)
                usual = sum(count(peer, 15, 21) for peer in peers) / len(peers)
                self.assertGreater(count(name, 15, 21), usual / 2)
                # An engine that returned idle may get more, but no burst that makes it
                # the busiest one.
                for since in (15.0, 17.0, 19.0):
                    own = count_mean_running(run, name, since, since + 2.0)
                    most = max(
                        count_mean_running(run, peer, since, since + 2.0)
                        for peer in peers
                    )
                    self.assertLess(own, 1.5 * most)


def play_seeds(
    gateways: int, age: float, ranks: tuple[int | None, int | None, int | None]
) -> list[PlacementRun]:
    """Return runs of a play with each seed."""
    play = Play(gateways, age, ranks=ranks, seconds=SECONDS)
    return [play_product(play, seed) for seed in SEEDS]


def list_peers(engine: str) -> list[str]:
    """Return the other engines of a factor of 1 in the pool of an engine."""
    names = [f"engine-{number}" for number in range(ENGINES)]
    slow = dict(zip(names, FACTORS, strict=False))
    pools = [list_pool(names, kind, EngineFactors(slow, 1.0)) for kind in Pool]
    pool = next(one for one in pools[1:] if engine in one)
    return sorted(pool - set(slow) - {engine})


class EqualEnginesTest(unittest.TestCase):
    """Engines of equal speed."""

    def test_choices_and_costs_are_those_of_before(self) -> None:
        """Guards against a change of placement where no speed differs."""
        for name, factors in (
            ("no factors", {}),
            ("all median", {f"e{number}": 1.0 for number in range(12)}),
            ("factors that were lost", {f"e{number}": 1.01 for number in range(12)}),
        ):
            with self.subTest(name):
                self.assertEqual(record_choices(factors), CHOICES_BEFORE)

    def test_each_choice_takes_the_same_number_of_draws(self) -> None:
        upstreams = [make_announcement(f"e{number}") for number in range(8)]
        for name, point, expected in (
            ("first", 0.0, 0),
            ("middle", 0.5, 4),
            ("last", 0.999, 7),
            ("beyond", 1.0, 7),
        ):
            with self.subTest(name):
                found = draw_by_capacity(upstreams, EVEN, lambda: point)  # noqa: B023
                self.assertEqual(found.upstream, f"e{expected}")


def record_choices(factors: dict[str, float]) -> str:
    """Return a checksum of drawn placements on twelve engines."""
    draw = random.Random(5)
    upstreams = [
        make_announcement(
            f"e{number}", slots=16, data_centre=("north", "south")[number % 2]
        )
        for number in range(12)
    ]
    context = make_context(factors)
    lines = []
    for turn in range(400):
        now = turn / 20
        blocks = (("all", 400), (f"s{turn % 9}", 2_000), (f"o{turn}", 100))
        demand = Demand(
            DESK if turn % 7 == 0 else ENGINE,
            "large",
            prompt_tokens=draw.choice((0, 2_500, 50_000)),
            prompt_blocks=blocks if turn % 3 else (),
            token_ms=0.05,
            pause_ms=draw.choice((0.0, 2_000.0)),
            pool=frozenset(draw.sample([f"e{n}" for n in range(12)], turn % 5)),
        )
        candidates = draw.sample(upstreams, draw.choice((3, 9, 12)))
        found = place_request(demand, candidates, context, now, draw.random)
        assert found is not None
        chosen = found.upstream.upstream
        lines.append(f"{chosen} {found.cost!r} {found.wait!r} {found.work!r}")
        add_running(context.load, chosen, found.work)
        record_blocks(context.prefixes, chosen, "large", demand.prompt_blocks, now)

    return f"{zlib.crc32(chr(10).join(lines).encode()):08x}"


class CostTest(unittest.TestCase):
    """Costs of the speed and the memory of an engine."""

    def test_cost_rises_with_the_factor_in_small_steps(self) -> None:
        """Guards against requests that flap as a measured factor varies."""
        for name, demand in (
            ("stream", Demand(ENGINE, prompt_tokens=4_000, output_tokens=400)),
            (
                "paced stream",
                Demand(
                    ENGINE,
                    prompt_tokens=4_000,
                    output_tokens=400,
                    output_token_ms=10.0,
                    time_left_ms=9_000.0,
                ),
            ),
            (
                "ranked stream",
                Demand(ENGINE, output_tokens=40, output_token_ms=10.0, urgency=0),
            ),
            ("call", Demand(DESK)),
        ):
            with self.subTest(name):
                costs = [find_cost(demand, 1.0 + step / 50) for step in range(150)]
                pairs = list(pairwise(costs))
                self.assertTrue(all(before <= after for before, after in pairs))
                steps = [after - before for before, after in pairs]
                self.assertLess(max(steps), 0.1 * (costs[-1] - costs[0]))

    def test_an_end_beyond_the_deadline_costs_a_failure(self) -> None:
        for name, end, left, expected in (
            ("unknown deadline", 9_000.0, 0.0, 0.0),
            ("in time", 3_000.0, 9_000.0, 0.0),
            ("at the deadline", 9_000.0, 9_000.0, LATE_MS / 2),
            ("late", 20_000.0, 9_000.0, LATE_MS),
        ):
            with self.subTest(name):
                self.assertAlmostEqual(estimate_late_cost(end, left), expected)

    def test_slow_engines_cost_less_for_less_urgent_and_longer_requests(self) -> None:
        for name, lower, higher in (
            ("rank", (2, 100, 3.0), (0, 100, 3.0)),
            ("length", (1, 900, 3.0), (1, 50, 3.0)),
            ("speed", (1, 100, 2.0), (1, 100, 4.0)),
        ):
            with self.subTest(name):
                self.assertLess(estimate_rank_cost(*lower), estimate_rank_cost(*higher))

        self.assertEqual(estimate_rank_cost(0, 100, 1.0), 0.0)

    def test_requests_beyond_the_share_of_a_speed_cost(self) -> None:
        """Guards against full slots of an engine that is slow."""
        for name, running, factor, costs in (
            ("median with room", 31, 1.0, False),
            ("median beyond its slots", 40, 1.0, False),
            ("fast", 31, 0.5, False),
            ("slow with room", 3, 3.0, False),
            ("slow at its share", 11, 3.0, True),
        ):
            with self.subTest(name):
                self.assertEqual(estimate_share_cost(running, 32, factor) > 0, costs)

    def test_a_slow_upstream_is_used_before_others_exceed_their_slots(self) -> None:
        """Guards against calls that are refused while a slow upstream is idle."""
        names = ("slow", "two", "three")
        upstreams = [make_announcement(name, slots=4) for name in names]
        for factor in (2.4, 4.0, 8.0):
            for seed in range(20):
                with self.subTest(factor=factor, seed=seed):
                    load = LoadTable()
                    context = make_context({"slow": factor}, load=load)
                    draw = random.Random(seed).random
                    running: Counter[str] = Counter()
                    while not running["slow"]:
                        found = place_request(
                            Demand(DESK), upstreams, context, 10.0, draw
                        )
                        assert found is not None
                        running[found.upstream.upstream] += 1
                        add_running(load, found.upstream.upstream, 0.0)

                    self.assertLessEqual(max(running["two"], running["three"]), 4)

    def test_an_engine_without_memory_costs_a_full_queue(self) -> None:
        """Guards against prompts that make an engine preempt running requests."""
        for name, service, tokens, expected in (
            ("room", ENGINE, 80_000, 0.0),
            ("just enough", ENGINE, 89_000, 0.0),
            ("too little", ENGINE, 89_001, QUEUED_BATCH_MS),
            ("no engine", DESK, 500_000, 0.0),
        ):
            with self.subTest(name):
                demand = Demand(service, prompt_tokens=10_000, output_tokens=1_000)
                found = estimate_memory_cost(demand, tokens, 1.0)
                self.assertEqual(found, expected)

        load = LoadTable()
        add_running(load, "full", 0.0, 95_000)
        upstreams = [make_announcement(name) for name in ("full", "free")]
        demand = Demand(ENGINE, prompt_tokens=10_000)
        context = make_context({}, load=load)
        for seed in range(20):
            draw = random.Random(seed).random
            placement = place_request(demand, upstreams, context, 10.0, draw)
            assert placement is not None
            self.assertEqual(placement.upstream.upstream, "free")


class CapacityTest(unittest.TestCase):
    """Capacity in place of the count of engines."""

    def test_samples_are_drawn_by_capacity(self) -> None:
        upstreams = [make_announcement(name) for name in ("slow", "median", "fast")]
        factors = EngineFactors({"slow": 4.0, "fast": 0.5}, 0.5)
        found = Counter(
            draw_by_capacity(upstreams, factors, lambda: (point + 0.5) / 1_300).upstream  # noqa: B023
            for point in range(1_300)
        )
        self.assertEqual(found, {"slow": 100, "median": 400, "fast": 800})

    def test_another_incarnation_has_no_factor(self) -> None:
        """Guards against an engine that restarted and counts as slow."""
        table = make_table({"one": 3.0})
        restarted = make_announcement("one", incarnation=2)
        self.assertIs(list_factors(table, [restarted], 10.0), EVEN)

    def test_pools_have_the_share_of_the_capacity(self) -> None:
        """Guards against a small pool of slow engines."""
        names = [f"engine-{number}" for number in range(30)]
        for seed in range(20):
            with self.subTest(seed=seed):
                slow = random.Random(seed).sample(names, 10)
                factors = EngineFactors(dict.fromkeys(slow, 4.0), 1.0)
                small = list_pool(names, Pool.SMALL, factors)
                large = list_pool(names, Pool.LARGE, factors)
                self.assertEqual(small | large, set(names))
                self.assertFalse(small & large)
                part = sum_capacity(factors, small) / sum_capacity(factors, names)
                self.assertAlmostEqual(part, SMALL_SHARE, delta=0.025)

    def test_pools_stay_while_no_capacity_is_a_step_away(self) -> None:
        """Guards against pools that change as the first factor becomes known."""
        for count in range(2, 50):
            with self.subTest(engines=count):
                names = [f"engine-{number}" for number in range(count)]
                factors = EngineFactors({"engine-0": 1.1}, 1.0)
                self.assertEqual(
                    list_pool(names, Pool.SMALL, factors), list_pool(names, Pool.SMALL)
                )

    def test_pools_of_few_engines_have_one_each(self) -> None:
        for name, slow in (("first slow", "engine-0"), ("second slow", "engine-1")):
            with self.subTest(name):
                names = ["engine-0", "engine-1"]
                factors = EngineFactors({slow: 8.0}, 1.0)
                self.assertEqual(len(list_pool(names, Pool.SMALL, factors)), 1)
                self.assertEqual(len(list_pool(names, Pool.LARGE, factors)), 1)

    def test_homes_are_shared_out_by_capacity(self) -> None:
        """Guards against slow engines that are the home of as many prompts as others.

        A changed speed moves only homes of its own engine.
        """
        names = [f"engine-{number}" for number in range(4)]
        keys = [str(number) for number in range(4_000)]
        plain = {key: prefer_upstream(names, key) for key in keys}
        slow = {key: prefer_upstream(names, key, {"engine-0": 0.25}) for key in keys}
        self.assertAlmostEqual(
            Counter(slow.values())["engine-0"] / len(keys), 0.25 / 3.25, delta=0.015
        )
        moved = [key for key in keys if plain[key] != slow[key]]
        self.assertEqual({plain[key] for key in moved}, {"engine-0"})
        same = {key: prefer_upstream(names, key, {"engine-0": 1.0}) for key in keys}
        self.assertEqual(same, plain)

    def test_homes_stay_while_a_speed_varies(self) -> None:
        factors = [EngineFactors({"one": 3.0 + step / 10}, 1.0) for step in range(3)]
        self.assertEqual(len({one.find_coarse_capacity("one") for one in factors}), 1)

    def test_steps_stay_while_a_factor_varies_or_ages(self) -> None:
        """Guards against homes that move as a factor varies around a limit."""
        table = EngineSpeedTable()
        upstreams = [make_announcement("one")]
        for name, factor, expected in (
            ("near the limit of listing", 1.35, 1.0),
            ("slow", 1.9, 0.5),
            ("varies", 1.5, 0.5),
            ("varies more", 2.7, 0.5),
            ("slower", 2.9, 2**-1.5),
            ("back", 1.06, 1.0),
        ):
            with self.subTest(name):
                apply_speeds(table, [EngineSpeed("one", 1, factor)], 10.0)
                for now in (10.0, 13.0):
                    factors = list_factors(table, upstreams, now)
                    self.assertAlmostEqual(
                        factors.find_coarse_capacity("one"), expected
                    )

    def test_usage_counts_capacity(self) -> None:
        table = LoadTable()
        record_prefill(table, 600.0, 9.0)
        half = estimate_usage(table, 0.5, 10.0)
        self.assertAlmostEqual(half, 2 * estimate_usage(table, 1.0, 10.0))

    def test_slots_of_slow_engines(self) -> None:
        for factor, expected in ((0.5, 32.0), (1.0, 32.0), (4.0, 8.0)):
            with self.subTest(factor=factor):
                self.assertEqual(limit_slots(32, factor), expected)


class VersionTest(unittest.TestCase):
    """Times of versions that a roll-out compares."""

    def test_slowness_is_relative_to_the_engines_of_the_version(self) -> None:
        """Guards against a slow canary that counts as a slow version.

        A version that makes all of its engines slow is not excused.
        """
        for name, slow, peers, expected in (
            ("equal", {}, ["one", "two", "three"], 1.0),
            ("slow canary", {"one": 3.0}, ["one", "two", "three"], 3.0),
            ("slow version", dict.fromkeys(("one", "two"), 3.0), ["one", "two"], 1.0),
            ("beside a slow one", {"two": 3.0}, ["one", "two", "three"], 1.0),
            ("only engine", {"one": 3.0}, ["one"], 1.0),
            ("left", {"one": 3.0}, [], 1.0),
        ):
            with self.subTest(name):
                factors = EngineFactors(slow, 1.0)
                self.assertAlmostEqual(find_slowness(factors, "one", peers), expected)

    def test_times_on_a_slow_engine_are_those_of_the_median(self) -> None:
        times = []
        for slowness in (1.0, 3.0):
            held = RolloutTally(100.0, 0.0)
            for ending, first in ((Ending.SUCCESS, True), (Ending.DROPPED, False)):
                request = record_sent(
                    {"chat": held}, "chat", "v2", "kind", 0.0, slowness=slowness
                )
                assert request is not None
                if first:
                    record_first_byte(request, 0.2 * slowness, success=True)
                    start_stream(request, 0.2 * slowness)
                    request.events = 10

                record_ending(request, ending, 1.0 * slowness)

            waiting = record_sent(
                {"chat": held}, "chat", "v2", "kind", 0.0, slowness=slowness
            )
            assert waiting is not None
            (one,) = list_evidence({"chat": held}, 2.0 * slowness)
            times.append(
                (one.first_bytes, one.durations, one.abandoned, one.waiting, one.paces)
            )

        self.assertEqual(times[0], times[1])
        self.assertTrue(all(times[0]))


class PaceTest(unittest.TestCase):
    """Time of an output token by model."""

    def test_paces_are_those_of_the_median_engine(self) -> None:
        """Guards against a model that counts as slow for the engines it ran on."""
        table = OutputPaceTable()
        self.assertEqual(estimate_output_token_ms(table, "large"), 0.0)
        for _ in range(50):
            record_output_time(table, "large", 100, 4_000.0, 1.0)
            record_output_time(table, "large", 100, 12_000.0, 3.0)

        self.assertAlmostEqual(estimate_output_token_ms(table, "large"), 40.0)
        record_output_time(table, "large", 1, 60_000.0, 1.0)
        self.assertLess(estimate_output_token_ms(table, "large"), 45.0)

    def test_streams_without_output_are_no_sample(self) -> None:
        for tokens, took in ((0, 100.0), (100, 0.0)):
            with self.subTest(tokens=tokens, took=took):
                table = OutputPaceTable()
                record_output_time(table, "large", tokens, took, 1.0)
                self.assertEqual(table, OutputPaceTable())


if __name__ == "__main__":
    unittest.main()
