"""Plays of placement on engines of uneven speed, and an oracle to compare them with."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from functools import cache
from statistics import mean
from typing import TYPE_CHECKING

from waxwingwell.experiments.measures import pick_quantile
from waxwingwell.experiments.placement_simulation import Deployment
from waxwingwell.experiments.placement_simulation import PlacementRun
from waxwingwell.experiments.placement_simulation import SpeedChange
from waxwingwell.experiments.placement_simulation import StreamKind
from waxwingwell.experiments.placement_simulation import make_run
from waxwingwell.experiments.placement_simulation import run_events
from waxwingwell.routing.placement import Demand
from waxwingwell.routing.placement import Placement
from waxwingwell.routing.placement import PlacementContext
from waxwingwell.routing.placement import place_request


if TYPE_CHECKING:
    from collections.abc import Callable

    from waxwingwell.experiments.placement_simulation import Engine
    from waxwingwell.routing.fleet import Announcement


ENGINES = 30
SLOTS = 32
MEMORY_TOKENS = 577_711
FACTORS = (2.0, 3.0, 4.0, 2.0, 3.0, 4.0, 2.0, 3.0, 4.0, 2.0)
"""Duration factors of a third of the engines."""
WARM_UP_SECONDS = 4.0
SEEDS = (1, 2)
RANKS = (1, 2, 0)
"""Ranks of the kinds: long answers, answers, and tags, which are short."""
UNRANKED = (None, None, None)


@dataclass(frozen=True)
class Play:
    """The load of the fleet, and what its gateways know."""

    gateways: int
    totals_seconds: float
    """Least age of totals; the greatest is twice that."""
    load: float = 1.5
    """At 1.5 an engine runs ten requests on average."""
    ranks: tuple[int | None, int | None, int | None] = UNRANKED
    seconds: float = 20.0
    factors: tuple[float, ...] = FACTORS
    changes: tuple[SpeedChange, ...] = ()


def make_deployment(play: Play) -> Deployment:
    """Return the fleet of a play and its traffic."""
    long, middle, short = play.ranks
    return Deployment(
        data_centres=3,
        engines=ENGINES,
        slots=SLOTS,
        memory_tokens=MEMORY_TOKENS,
        prefill_ms=(0.009, 0.055),
        decode_ms=(8.0, 16.0),
        kinds=(
            StreamKind(12.0 * play.load, 512, 4_870, 6_610, 300, 384, long),
            StreamKind(18.0 * play.load, 119, 79, 628, 400, 294, middle),
            StreamKind(20.0 * play.load, 341, 227, 1_800, 600, 48, short),
        ),
        factors=play.factors,
        changes=play.changes,
        speed_delay=1.0,
        totals_seconds=play.totals_seconds,
    )


@cache
def play_product(play: Play, seed: int) -> PlacementRun:
    """Return a run of the product's placement."""
    run = make_run(
        make_deployment(play), place_request, gateways=play.gateways, seed=seed
    )
    run_events(run, play.seconds)
    return run


@cache
def play_oracle(load: float, seconds: float, seed: int) -> PlacementRun:
    """Return a run in which the speed and load of each engine are known at once.

    Each request goes to the engine on which it ends soonest.
    """
    deployment = make_deployment(Play(1, 0.25, load=load))
    run = make_run(deployment, place_request, gateways=1, seed=seed)

    def choose(
        demand: Demand,
        candidates: list[Announcement],
        context: PlacementContext,
        now: float,
        draw: Callable[[], float],
    ) -> Placement:
        found = [
            foresee_end(demand, run.engines[one.upstream], now) for one in candidates
        ]
        return min(found, key=lambda placement: placement.cost)

    run.policy = choose
    run_events(run, seconds)
    return run


def foresee_end(demand: Demand, engine: Engine, now: float) -> Placement:
    """Return an engine with the time at which a request ends there as its cost."""
    cached = 0
    for block, tokens in demand.prompt_blocks:
        if (demand.model, block) not in engine.cached:
            break

        cached += tokens

    uncached = demand.prompt_tokens - cached
    work = uncached * demand.token_ms
    wait = max(engine.prefill_done_at - now, 0.0) * 1000 + work * engine.factor
    batch = 1 + (engine.running + 1) / SLOTS
    stay = demand.output_tokens * demand.output_token_ms * engine.factor * batch
    queue = 2_000.0 * max(engine.running + 1 - SLOTS, 0) / SLOTS
    return Placement(
        upstream=engine.announcement,
        cost=wait + stay + queue,
        wait=wait,
        work=work,
        uncached=uncached,
        running=engine.running,
    )


def find_first_p95(runs: list[PlacementRun]) -> float:
    """Return the 95th percentile of the seconds until the first event."""
    waits = [
        one.wait for run in runs for one in run.placed if one.at >= WARM_UP_SECONDS
    ]
    return pick_quantile(waits, 0.95)


def find_event_p95(runs: list[PlacementRun]) -> float:
    """Return the 95th percentile of the milliseconds that an event takes."""
    times = [ms for run in runs for at, ms in run.event_ms if at >= WARM_UP_SECONDS]
    return pick_quantile(times, 0.95)


def compare_with_share(run: PlacementRun) -> dict[str, float]:
    """Return what slow engines run, over the shares of their speeds."""
    running: Counter[str] = Counter()
    for sample in run.samples:
        if sample.at >= WARM_UP_SECONDS:
            running[sample.engine] += sample.running

    capacity = sum(1 / engine.factor for engine in run.engines.values())
    return {
        name: running[name] / running.total() * engine.factor * capacity
        for name, engine in run.engines.items()
        if engine.factor > 1.0
    }


def count_mean_running(
    run: PlacementRun, engine: str, since: float, until: float
) -> float:
    """Return the mean number of requests that an engine runs within a time."""
    return mean(
        one.running
        for one in run.samples
        if one.engine == engine and since <= one.at < until
    )


def find_slow_part(run: PlacementRun, urgency: int) -> float:
    """Return the part of the requests of a rank that are placed on slow engines."""
    slow = [
        run.engines[one.engine].factor > 1.0
        for one in run.placed
        if one.urgency == urgency and one.at >= WARM_UP_SECONDS
    ]
    return mean(slow)
