"""``waxwingwell experiment gateways``: how evenly many gateways use a few engines."""

from __future__ import annotations

import json
from dataclasses import asdict
from dataclasses import dataclass
from statistics import mean
from typing import TYPE_CHECKING

from ..routing.load import read_use
from ..routing.placement import Demand
from ..routing.placement import Placement
from ..routing.placement import Surroundings
from ..routing.placement import list_kept
from ..routing.placement import place_request
from ..routing.placement import prefer_for
from ..routing.placement import scatter
from ..routing.placement import weigh_upstream
from .measures import pick_quantile
from .placing import Choose
from .placing import Deployment
from .placing import Kind
from .placing import Play
from .placing import play_placing


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..routing.fleet import Announcement


SECONDS = 30.0
WARM_UP = 6.0
GATEWAYS = (6, 195, 1_000)
PROFILES = {
    "entoto": Deployment(
        data_centres=5,
        engines=39,
        slots=32,
        memory_tokens=505_000,
        read_ms=(0.009, 0.055),
        step_ms=(3.1, 6.2),
        kinds=(
            Kind(42.0, 512, 4_870, 6_610, 437, 384),
            Kind(58.0, 119, 79, 628, 609, 294),
            Kind(65.0, 341, 227, 1_800, 1_019, 24),
        ),
    ),
    "frio": Deployment(
        data_centres=3,
        engines=45,
        slots=64,
        memory_tokens=455_000,
        read_ms=(0.009, 0.055),
        step_ms=(3.8, 7.6),
        kinds=(
            Kind(45.0, 512, 4_870, 6_610, 300, 380),
            Kind(70.0, 119, 79, 628, 500, 290),
            Kind(64.0, 341, 227, 1_800, 800, 25),
        ),
    ),
}


def place_at_random(
    demand: Demand,
    candidates: list[Announcement],
    around: Surroundings,
    now: float,
    draw: Callable[[], float],
) -> Placement | None:
    """Take any engine of the pool."""
    kept = list_kept(demand, candidates)
    chosen = kept[int(draw() * len(kept))]
    return weigh_upstream(demand, chosen, around, now, preferred="")


def place_least_running(
    demand: Demand,
    candidates: list[Announcement],
    around: Surroundings,
    now: float,
    draw: Callable[[], float],
) -> Placement | None:
    """Take the engine of the pool with the fewest requests, by the sums."""
    kept = list_kept(demand, candidates)
    chosen = min(kept, key=lambda one: read_use(around.load, one.upstream).running)
    return weigh_upstream(demand, chosen, around, now, preferred="")


def place_by_sample(
    demand: Demand,
    candidates: list[Announcement],
    around: Surroundings,
    now: float,
    draw: Callable[[], float],
) -> Placement | None:
    """Choose between two engines of the pool, drawn by lot."""
    kept = list_kept(demand, candidates)
    pair = [kept[int(draw() * len(kept))] for _ in range(2)]
    return place_request(demand, pair, around, now, draw)


def place_at_best_of_all(
    demand: Demand,
    candidates: list[Announcement],
    around: Surroundings,
    now: float,
    draw: Callable[[], float],
) -> Placement | None:
    """Take the engine with the least cost of all, scattered by a tenth."""
    preferred = prefer_for(demand, candidates, around.data_centre)
    weighed = [
        weigh_upstream(demand, one, around, now, preferred=preferred)
        for one in candidates
    ]
    return min(weighed, key=lambda placement: placement.cost * scatter(draw))


POLICIES: dict[str, Choose] = {
    "random": place_at_random,
    "least running": place_least_running,
    "sample of two": place_by_sample,
    "best of all": place_at_best_of_all,
    "product": place_request,
}


@dataclass(frozen=True, slots=True)
class Row:
    """Means over the seeds of one policy with a number of gateways."""

    policy: str
    gateways: int
    busiest: float
    """Sends to the busiest engine of a pool, over the pool's mean."""
    first_p50: float
    """Seconds until the first event of a send."""
    first_p95: float
    first_p99: float
    found: float
    """Share of the shared tokens of prompts that engines had kept."""
    far: float
    """Share of sends to another data centre."""


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
    """Play each policy with each number of gateways; ``ValueError``: bad argument."""
    if profile not in PROFILES:
        raise ValueError(f"profile: {profile!r} is not one of {sorted(PROFILES)}")

    if seeds < 1:
        raise ValueError(f"seeds: {seeds} is not above 0")

    rows = tuple(
        measure_policy(PROFILES[profile], name, gateways, seeds)
        for gateways in GATEWAYS
        for name in POLICIES
    )
    return GatewaysReport(profile, seeds, rows)


def measure_policy(
    deployment: Deployment, policy: str, gateways: int, seeds: int
) -> Row:
    """Return the means over the seeds."""
    plays = [
        play_placing(
            deployment,
            POLICIES[policy],
            gateways=gateways,
            seconds=SECONDS,
            seed=seed,
        )
        for seed in range(seeds)
    ]
    return Row(
        policy=policy,
        gateways=gateways,
        busiest=mean(map(find_busiest, plays)),
        first_p50=mean(find_wait(play, 0.5) for play in plays),
        first_p95=mean(find_wait(play, 0.95) for play in plays),
        first_p99=mean(find_wait(play, 0.99) for play in plays),
        found=mean(map(find_found, plays)),
        far=mean(map(find_far, plays)),
    )


def find_busiest(play: Play) -> float:
    """Return the sends to the busiest engine over the mean of all."""
    sends = [engine.sends for engine in play.engines.values()]
    return max(sends) / max(mean(sends), 1.0)


def find_wait(play: Play, share: float) -> float:
    """Return a quantile of the waits for first events, in seconds."""
    return pick_quantile([one.wait for one in play.sent if one.at >= WARM_UP], share)


def find_found(play: Play) -> float:
    """Return the share of shared tokens that were kept."""
    late = [one for one in play.sent if one.at >= WARM_UP]
    return sum(one.found for one in late) / max(sum(one.shared for one in late), 1)


def find_far(play: Play) -> float:
    """Return the share of sends to another data centre."""
    return sum(one.far for one in play.sent) / max(len(play.sent), 1)
