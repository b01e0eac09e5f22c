"""``waxwingwell experiment gateways``: how many gateways balance over few engines."""

from __future__ import annotations

import json
from dataclasses import asdict
from dataclasses import dataclass
from statistics import mean
from typing import TYPE_CHECKING

from ..routing.load import get_total_load
from ..routing.placement import Demand
from ..routing.placement import Placement
from ..routing.placement import PlacementContext
from ..routing.placement import choose_preferred
from ..routing.placement import draw_jitter
from ..routing.placement import estimate_cost
from ..routing.placement import list_pool_members
from ..routing.placement import place_request
from .measures import pick_quantile
from .placement_simulation import Deployment
from .placement_simulation import PlacementPolicy
from .placement_simulation import PlacementRun
from .placement_simulation import StreamKind
from .placement_simulation import simulate_placement


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..routing.fleet import Announcement


SIMULATED_SECONDS = 30.0
WARM_UP_SECONDS = 6.0
GATEWAY_COUNTS = (6, 195, 1_000)
PROFILES = {
    "entoto": Deployment(
        data_centres=5,
        engines=39,
        slots=32,
        memory_tokens=505_000,
        prefill_ms=(0.009, 0.055),
        decode_ms=(3.1, 6.2),
        kinds=(
            StreamKind(42.0, 512, 4_870, 6_610, 437, 384),
            StreamKind(58.0, 119, 79, 628, 609, 294),
            StreamKind(65.0, 341, 227, 1_800, 1_019, 24),
        ),
    ),
    "frio": Deployment(
        data_centres=3,
        engines=45,
        slots=64,
        memory_tokens=455_000,
        prefill_ms=(0.009, 0.055),
        decode_ms=(3.8, 7.6),
        kinds=(
            StreamKind(45.0, 512, 4_870, 6_610, 300, 380),
            StreamKind(70.0, 119, 79, 628, 500, 290),
            StreamKind(64.0, 341, 227, 1_800, 800, 25),
        ),
    ),
}


def place_at_random(
    demand: Demand,
    candidates: list[Announcement],
    context: PlacementContext,
    now: float,
    draw: Callable[[], float],
) -> Placement | None:
    """Choose any engine of the pool at random."""
    pool = list_pool_members(demand, candidates)
    chosen = pool[int(draw() * len(pool))]
    return estimate_cost(demand, chosen, context, now, preferred="")


def place_least_running(
    demand: Demand,
    candidates: list[Announcement],
    context: PlacementContext,
    now: float,
    draw: Callable[[], float],
) -> Placement | None:
    """Choose the engine of the pool with the fewest requests by the totals."""
    pool = list_pool_members(demand, candidates)
    chosen = min(
        pool, key=lambda one: get_total_load(context.load, one.upstream).running
    )
    return estimate_cost(demand, chosen, context, now, preferred="")


def place_by_sample(
    demand: Demand,
    candidates: list[Announcement],
    context: PlacementContext,
    now: float,
    draw: Callable[[], float],
) -> Placement | None:
    """Choose between two random engines of the pool by the product's rule."""
    pool = list_pool_members(demand, candidates)
    pair = [pool[int(draw() * len(pool))] for _ in range(2)]
    return place_request(demand, pair, context, now, draw)


def place_at_lowest_cost(
    demand: Demand,
    candidates: list[Announcement],
    context: PlacementContext,
    now: float,
    draw: Callable[[], float],
) -> Placement | None:
    """Choose the engine with the lowest cost of all, with jitter on each cost."""
    preferred = choose_preferred(demand, candidates, context.data_centre)
    estimates = [
        estimate_cost(demand, one, context, now, preferred=preferred)
        for one in candidates
    ]
    return min(estimates, key=lambda placement: placement.cost * draw_jitter(draw))


POLICIES: dict[str, PlacementPolicy] = {
    "random": place_at_random,
    "least running": place_least_running,
    "sample of two": place_by_sample,
    "best of all": place_at_lowest_cost,
    "product": place_request,
}


@dataclass(frozen=True, slots=True)
class Row:
    """Means over the seeds for one policy and number of gateways."""

    policy: str
    gateways: int
    busiest: float
    """Requests to the busiest engine, over the mean of all engines."""
    first_p50: float
    """Seconds until the first event of a request."""
    first_p95: float
    first_p99: float
    found: float
    """Share of the shared prompt tokens that engines had cached."""
    far: float
    """Share of requests placed in another data centre."""


@dataclass(frozen=True, slots=True)
class GatewaysReport:
    """All rows of the experiment."""

    profile: str
    seeds: int
    rows: tuple[Row, ...]

    def render(self) -> str:
        """Return the report as text."""
        lines = [
            f"{self.profile}, {self.seeds} seeds",
            "policy          gateways  busiest  p50 s  p95 s  p99 s  found    far",
        ]
        lines += [
            f"{row.policy:15} {row.gateways:8}  {row.busiest:7.2f}"
            f"  {row.first_p50:5.3f}  {row.first_p95:5.3f}  {row.first_p99:5.3f}"
            f"  {row.found:5.3f}  {row.far:5.3f}"
            for row in self.rows
        ]
        return "\n".join(lines)

    def to_json(self) -> str:
        """Return the report as JSON."""
        return json.dumps(asdict(self), indent=2)


def run_gateways(profile: str, seeds: int) -> GatewaysReport:
    """Simulate each policy with each number of gateways.

    Raises ``ValueError`` for an unknown profile or fewer than one seed.
    """
    if profile not in PROFILES:
        raise ValueError(f"profile: {profile!r} is not one of {sorted(PROFILES)}")

    if seeds < 1:
        raise ValueError(f"seeds: {seeds} is not above 0")

    rows = tuple(
        measure_policy(PROFILES[profile], name, gateways, seeds)
        for gateways in GATEWAY_COUNTS
        for name in POLICIES
    )
    return GatewaysReport(profile, seeds, rows)


def measure_policy(
    deployment: Deployment, policy: str, gateways: int, seeds: int
) -> Row:
    """Simulate a policy with every seed; return the means."""
    runs = [
        simulate_placement(
            deployment,
            POLICIES[policy],
            gateways=gateways,
            seconds=SIMULATED_SECONDS,
            seed=seed,
        )
        for seed in range(seeds)
    ]
    return Row(
        policy=policy,
        gateways=gateways,
        busiest=mean(map(compute_busiest_ratio, runs)),
        first_p50=mean(compute_wait(run, 0.5) for run in runs),
        first_p95=mean(compute_wait(run, 0.95) for run in runs),
        first_p99=mean(compute_wait(run, 0.99) for run in runs),
        found=mean(map(compute_cached_share, runs)),
        far=mean(map(compute_remote_share, runs)),
    )


def compute_busiest_ratio(run: PlacementRun) -> float:
    """Return the requests to the busiest engine over the mean of all engines."""
    sends = [engine.sends for engine in run.engines.values()]
    return max(sends) / max(mean(sends), 1.0)


def compute_wait(run: PlacementRun, share: float) -> float:
    """Return a quantile of the seconds until the first event, after the warm-up."""
    return pick_quantile(
        [one.wait for one in run.placed if one.at >= WARM_UP_SECONDS], share
    )


def compute_cached_share(run: PlacementRun) -> float:
    """Return the share of shared prompt tokens that were cached, after the warm-up."""
    late = [one for one in run.placed if one.at >= WARM_UP_SECONDS]
    return sum(one.found for one in late) / max(sum(one.shared for one in late), 1)


def compute_remote_share(run: PlacementRun) -> float:
    """Return the share of requests placed in another data centre."""
    return sum(one.far for one in run.placed) / max(len(run.placed), 1)
