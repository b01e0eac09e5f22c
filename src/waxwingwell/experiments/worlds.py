"""Simulated versions whose true quality is hidden from the decisions.

The quality of a response is normally distributed around a hidden mean that depends on
the version, workspace and kind of work, and clipped to 0 to 1. Responses of different
versions to one request share half of their variance: a hard request is hard for all of
them. Prices are per response, in units of the cheapest version's.
"""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from dataclasses import field

from ..decisions.tables import Tables
from ..decisions.tables import Work
from ..records import Priority
from ..records import VersionId
from ..records import VersionSpec
from ..records import Weighing
from ..records import WorkKind
from ..records import WorkspaceConfig
from ..records import WorkspaceId


KINDS = (
    WorkKind("report", Priority.REPORT, quality_target=0.8, waits_for_whole=True),
    WorkKind("question", Priority.QUESTION, quality_target=0.75),
    WorkKind("tag", Priority.TAG, quality_target=0.7),
)
WEIGHINGS = {
    "entoto": Weighing(cost=1.0, latency=3.0, exposure=1.0),
    "frio": Weighing(cost=1.0, latency=1.0, exposure=3.0),
}
PRICES = (1.0, 1.5, 3.0, 5.0, 8.0, 15.0, 30.0)
"""Price of a response by each of the seven versions, cheapest first."""
LEVELS = (0.55, 0.62, 0.68, 0.74, 0.79, 0.84, 0.9)
"""Mean quality of each version over all workspaces and kinds of work, before noise."""
RATING_PRICE = 0.3
STANDARD_DEVIATION = 0.15
SHARED_VARIANCE = 0.5
DEGRADATION_LOSS = 0.3
"""Loss of quality of the version that degrades."""
SAMPLES = 3000

Cell = tuple[WorkspaceId, str]


@dataclass(slots=True)
class World:
    """The hidden quality of one seed, and the tables that the decisions use."""

    rng: random.Random
    tables: Tables
    versions: tuple[VersionId, ...]
    prices: dict[VersionId, float]
    means: dict[tuple[Cell, VersionId], float]
    """Mean quality before clipping."""
    degrading: VersionId = VersionId("")
    degraded: bool = False
    targets: dict[str, float] = field(default_factory=dict)


def make_world(profile: str, seed: int, workspaces: int = 2) -> World:
    """Return a random world, in which the best version meets every target."""
    rng = random.Random(f"{profile}/{seed}")
    versions = tuple(VersionId(f"m{place}@1") for place in range(len(PRICES)))
    names = [WorkspaceId(f"w{place}") for place in range(workspaces)]
    tables = Tables(rating_price=RATING_PRICE)
    for version, price, level in zip(versions, PRICES, LEVELS, strict=True):
        prior = min(0.95, max(0.3, rng.gauss(level, 0.05)))
        tables.versions[version] = VersionSpec(
            version, version.split("@")[0], 0.0, price, prior
        )

    for name in names:
        tables.workspaces[name] = WorkspaceConfig(
            workspace=name,
            revision=1,
            allowed=versions,
            kinds=KINDS,
            weighing=WEIGHINGS[profile],
        )

    means = _draw_means(rng, names, versions)
    return World(
        rng=rng,
        tables=tables,
        versions=versions,
        prices=dict(zip(versions, PRICES, strict=True)),
        means=means,
        degrading=versions[rng.randrange(len(versions) - 1)],
        targets={kind.name: kind.quality_target for kind in KINDS},
    )


def make_request(workspace: WorkspaceId, kind: WorkKind, name: str) -> Work:
    """Return a request whose price at each version is the version's price."""
    return Work(name, workspace, kind, kind.priority, answer_tokens=1)


def draw_qualities(world: World, cell: Cell) -> dict[VersionId, float]:
    """Draw the quality of each version's response to one request."""
    shared = world.rng.gauss(0.0, SHARED_VARIANCE**0.5 * STANDARD_DEVIATION)
    own = (1.0 - SHARED_VARIANCE) ** 0.5 * STANDARD_DEVIATION
    return {
        version: clip(get_mean(world, cell, version) + shared + world.rng.gauss(0, own))
        for version in world.versions
    }


def get_mean(world: World, cell: Cell, version: VersionId) -> float:
    """Return the current mean quality before clipping."""
    mean = world.means[cell, version]
    return (
        mean - DEGRADATION_LOSS
        if world.degraded and version == world.degrading
        else mean
    )


def get_quality(world: World, cell: Cell, version: VersionId) -> float:
    """Return the current true mean quality."""
    return mean_clipped(get_mean(world, cell, version), STANDARD_DEVIATION)


def clip(value: float) -> float:
    """Return the value clipped to 0 to 1."""
    return min(1.0, max(0.0, value))


def mean_clipped(mean: float, deviation: float) -> float:
    """Return the mean of a normal variable clipped to 0 to 1."""
    return (
        mean
        + _compute_shortfall((0.0 - mean) / deviation) * deviation
        - _compute_shortfall((mean - 1.0) / deviation) * deviation
    )


@dataclass(frozen=True, slots=True)
class OraclePlan:
    """The cheapest plan by the true quality: one version, or a cascade."""

    plan: tuple[VersionId, ...]
    threshold: float
    cost: float


def find_oracle_plan(world: World, cell: Cell) -> OraclePlan:
    """Return the cheapest plan whose true mean quality meets the target.

    It rates only what a cascade needs, and detects a degradation at once.
    """
    kind = next(kind for kind in KINDS if kind.name == cell[1])
    target = kind.quality_target
    eligible = [
        version
        for version in world.versions
        if get_quality(world, cell, version) >= target
    ]
    single = min(eligible, key=lambda version: world.prices[version])
    best = OraclePlan((single,), 0.0, world.prices[single])
    if not kind.waits_for_whole:
        return best

    state = world.rng.getstate()
    samples = [draw_qualities(world, cell) for _ in range(SAMPLES)]
    world.rng.setstate(state)
    for strong in world.versions:
        for cheap in world.versions:
            if world.prices[cheap] >= min(world.prices[strong], best.cost):
                continue

            found = _find_cascade(world, samples, cheap, strong, target)
            if found is not None and found.cost < best.cost:
                best = found

    return best


def _find_cascade(
    world: World,
    samples: list[dict[VersionId, float]],
    cheap: VersionId,
    strong: VersionId,
    target: float,
) -> OraclePlan | None:
    """Return the cascade that meets the target with the fewest escalations, or None."""
    ordered = sorted(samples, key=lambda qualities: qualities[cheap])
    total = sum(qualities[cheap] for qualities in ordered)
    for escalated, qualities in enumerate(ordered):
        if total >= target * len(ordered):
            share = escalated / len(ordered)
            cost = world.prices[cheap] + RATING_PRICE + share * world.prices[strong]
            return OraclePlan((cheap, strong), qualities[cheap], cost)

        total += qualities[strong] - qualities[cheap]

    return None


def _draw_means(
    rng: random.Random, names: list[WorkspaceId], versions: tuple[VersionId, ...]
) -> dict[tuple[Cell, VersionId], float]:
    means: dict[tuple[Cell, VersionId], float] = {}
    for name in names:
        for kind in KINDS:
            difficulty = rng.gauss(0.0, 0.05)
            for version, level in zip(versions, LEVELS, strict=True):
                mean = level - difficulty + rng.gauss(0.0, 0.05)
                means[(name, kind.name), version] = min(0.98, mean)

            best = ((name, kind.name), versions[-1])
            means[best] = max(means[best], kind.quality_target + 0.08)

    return means


def _compute_shortfall(point: float) -> float:
    """Return the mean shortfall of a standard normal variable below ``point``."""
    density = math.exp(-0.5 * point * point) / math.sqrt(2.0 * math.pi)
    return point * 0.5 * math.erfc(-point / math.sqrt(2.0)) + density
