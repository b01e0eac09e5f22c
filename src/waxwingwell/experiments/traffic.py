"""Traffic of one world under one policy: cost, quality and exposure."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from ..decisions.evidence import record_rating
from ..decisions.evidence import record_sent
from ..decisions.evidence import record_unrated
from ..decisions.tables import Refusal
from ..decisions.versions import choose_version
from ..records import VersionId
from .worlds import KINDS
from .worlds import RATING_PRICE
from .worlds import Cell
from .worlds import World
from .worlds import draw_qualities
from .worlds import find_oracle_plan
from .worlds import make_request


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.tables import Work

    Policy = Callable[[World, Work, Cell, float, dict[VersionId, float]], "Served"]

REQUESTS = 5000
"""Requests of each workspace and kind of work."""
REQUEST_INTERVAL_SECONDS = 0.05
"""Seconds between two requests of the deployment."""
MEAN_RATING_DELAY_SECONDS = 10.0
"""Mean seconds until a rating arrives; the delay is exponentially distributed."""
MISSING_SHARE = 0.05
"""Share of ratings that never arrive."""
SESSION_LENGTH = 4


@dataclass(frozen=True, slots=True)
class Served:
    """The cost of one request, and the quality and version of its response."""

    cost: float
    quality: float
    version: VersionId


@dataclass(frozen=True, order=True, slots=True)
class PendingRating:
    """A rating that has not arrived yet, ordered by the time at which it is due."""

    due: float
    number: int
    cell: Cell
    version: VersionId
    rating: float
    missing: bool
    escalated: bool


@dataclass(slots=True)
class TrafficTotals:
    """Totals over the traffic of one policy."""

    cost: float = 0.0
    exposed: int = 0
    """Responses served by the degraded version after it degraded."""
    waits: float = 0.0
    """Responses awaited before the served one, summed over requests."""
    requests: int = 0
    quality: dict[Cell, list[float]] = field(default_factory=dict)
    """Total quality and number of responses."""
    ratings: list[PendingRating] = field(default_factory=list)
    plans: dict[Cell, tuple[bool, tuple[VersionId, ...], float]] = field(
        default_factory=dict
    )
    """Cached oracle plan of each cell, with the degradation state it was made for."""
    targets: dict[str, float] = field(default_factory=dict)
    policy_rng: random.Random = field(default_factory=random.Random)


def run_traffic(
    world: World, name: str, seed: int, requests: int = REQUESTS
) -> TrafficTotals:
    """Send the same requests through the policy called ``name``.

    ``requests`` is the number for each workspace and kind of work.
    """
    totals = TrafficTotals(
        targets=world.targets, policy_rng=random.Random(f"{name}/{seed}")
    )
    world.degraded = False
    world.rng.seed(f"traffic/{seed}")
    cells = [
        (workspace, kind) for workspace in world.tables.workspaces for kind in KINDS
    ]
    total = requests * len(cells)
    degrade_at = int(total * world.rng.uniform(0.3, 0.7))
    pins: dict[str, VersionId] = {}
    for number in range(total):
        now = 1000.0 + number * REQUEST_INTERVAL_SECONDS
        world.degraded = number >= degrade_at
        workspace, kind = cells[number % len(cells)]
        cell = (workspace, kind.name)
        qualities = draw_qualities(world, cell)
        work = make_request(workspace, kind, str(number))
        if kind.name == "question":
            session = f"{workspace}/{number // (len(cells) * SESSION_LENGTH)}"
            work = replace(work, session=session, stream=True)
            if session in pins:
                work = replace(work, pinned=pins[session])

        _deliver_ratings(world, totals, now)
        served = POLICIES[name](world, totals, work, cell, now, qualities)
        if work.session:
            pins.setdefault(work.session, served.version)

        _record_served(world, totals, cell, served)

    return totals


def _serve_router(
    world: World,
    totals: TrafficTotals,
    work: Work,
    cell: Cell,
    now: float,
    qualities: dict[VersionId, float],
) -> Served:
    tables = world.tables
    choice = choose_version(tables, work, now=now, draw=totals.policy_rng.random())
    if isinstance(choice, Refusal):
        raise AssertionError(choice.message)

    totals.waits += len(choice.plan) - 1
    cost = 0.0
    for version in choice.plan[:-1]:
        cost += world.prices[version] + RATING_PRICE
        record_sent(tables, work, version, rate=True, now=now, served=False)
        if totals.policy_rng.random() < MISSING_SHARE:
            record_unrated(tables, work.workspace, work.kind, version)
            continue

        accepted = qualities[version] >= choice.threshold
        record_rating(
            tables,
            work.workspace,
            work.kind,
            version,
            qualities[version],
            now,
            served=accepted,
        )
        if accepted:
            totals.waits -= 1.0
            return Served(cost, qualities[version], version)

    last = choice.plan[-1]
    cost += world.prices[last]
    escalated = len(choice.plan) > 1
    record_sent(
        tables,
        work,
        last,
        rate=choice.rate,
        now=now,
        explored=choice.explored,
        escalated=escalated,
    )
    if choice.rate:
        cost += RATING_PRICE
        due = now + totals.policy_rng.expovariate(1.0 / MEAN_RATING_DELAY_SECONDS)
        missing = totals.policy_rng.random() < MISSING_SHARE
        rating = PendingRating(
            due, totals.requests, cell, last, qualities[last], missing, escalated
        )
        heapq.heappush(totals.ratings, rating)

    return Served(cost, qualities[last], last)


def _serve_best(
    world: World,
    totals: TrafficTotals,
    work: Work,
    cell: Cell,
    now: float,
    qualities: dict[VersionId, float],
) -> Served:
    best = world.versions[-1]
    return Served(world.prices[best], qualities[best], best)


def _serve_cheapest(
    world: World,
    totals: TrafficTotals,
    work: Work,
    cell: Cell,
    now: float,
    qualities: dict[VersionId, float],
) -> Served:
    cheapest = world.versions[0]
    return Served(world.prices[cheapest], qualities[cheapest], cheapest)


def _serve_oracle(
    world: World,
    totals: TrafficTotals,
    work: Work,
    cell: Cell,
    now: float,
    qualities: dict[VersionId, float],
) -> Served:
    known = totals.plans.get(cell)
    if known is None or known[0] != world.degraded:
        found = find_oracle_plan(world, cell)
        known = totals.plans[cell] = (world.degraded, found.plan, found.threshold)

    _, plan, threshold = known
    cost = 0.0
    for version in plan[:-1]:
        cost += world.prices[version] + RATING_PRICE
        if qualities[version] >= threshold:
            return Served(cost, qualities[version], version)

        totals.waits += 1.0

    last = plan[-1]
    return Served(cost + world.prices[last], qualities[last], last)


POLICIES = {
    "router": _serve_router,
    "always best": _serve_best,
    "always cheapest": _serve_cheapest,
    "oracle": _serve_oracle,
}


def _deliver_ratings(world: World, totals: TrafficTotals, now: float) -> None:
    kinds = {kind.name: kind for kind in KINDS}
    while totals.ratings and totals.ratings[0].due <= now:
        item = heapq.heappop(totals.ratings)
        workspace, name = item.cell
        if item.missing:
            record_unrated(
                world.tables,
                workspace,
                kinds[name],
                item.version,
                escalated=item.escalated,
            )
            continue

        record_rating(
            world.tables,
            workspace,
            kinds[name],
            item.version,
            item.rating,
            item.due,
            escalated=item.escalated,
        )


def _record_served(
    world: World, totals: TrafficTotals, cell: Cell, served: Served
) -> None:
    totals.requests += 1
    totals.cost += served.cost
    totals.exposed += int(world.degraded and served.version == world.degrading)
    quality_total = totals.quality.setdefault(cell, [0.0, 0.0])
    quality_total[0] += served.quality
    quality_total[1] += 1.0
