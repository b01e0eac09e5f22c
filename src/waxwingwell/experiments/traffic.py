"""One policy over one world's traffic: cost, quality and exposure."""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from ..decisions.evidence import note_rating
from ..decisions.evidence import note_sent
from ..decisions.evidence import note_unrated
from ..decisions.tables import Refusal
from ..decisions.versions import choose_version
from ..records import VersionId
from .worlds import KINDS
from .worlds import RATING_PRICE
from .worlds import Cell
from .worlds import World
from .worlds import draw_answers
from .worlds import find_oracle_plan
from .worlds import make_request


if TYPE_CHECKING:
    from collections.abc import Callable

    from ..decisions.tables import Work

    Policy = Callable[[World, Work, Cell, float, dict[VersionId, float]], "Served"]

REQUESTS = 5000
"""Requests of each workspace and kind."""
GAP = 0.05
"""Seconds between two requests of the deployment."""
RATING_LAG = 10.0
"""Mean seconds until a rating arrives; exponential."""
MISSING = 0.05
"""Share of ratings that never arrive."""
SESSION_LENGTH = 4


@dataclass(frozen=True, slots=True)
class Served:
    """What one request cost, and the answer that was served."""

    cost: float
    quality: float
    version: VersionId


@dataclass(frozen=True, order=True, slots=True)
class UnderWay:
    """A rating under way, ordered by the time when it is due."""

    due: float
    number: int
    cell: Cell
    version: VersionId
    rating: float
    missing: bool
    escalated: bool


@dataclass(slots=True)
class Tally:
    """Sums over the traffic of one policy."""

    cost: float = 0.0
    exposed: int = 0
    """Answers by the version that turned bad, after its turn."""
    waits: float = 0.0
    """Answers awaited one after the other, summed over requests."""
    requests: int = 0
    quality: dict[Cell, list[float]] = field(default_factory=dict)
    """Sum and number of answers."""
    ratings: list[UnderWay] = field(default_factory=list)
    plans: dict[Cell, tuple[bool, tuple[VersionId, ...], float]] = field(
        default_factory=dict
    )
    """The oracle's plan of each cell, with the world's state it holds for."""
    targets: dict[str, float] = field(default_factory=dict)
    chance: random.Random = field(default_factory=random.Random)


def run_traffic(world: World, name: str, seed: int, requests: int = REQUESTS) -> Tally:
    """Send the same requests through the policy called ``name``.

    ``requests`` counts those of each workspace and kind.
    """
    tally = Tally(targets=world.targets, chance=random.Random(f"{name}/{seed}"))
    world.turned = False
    world.rng.seed(f"traffic/{seed}")
    cells = [
        (workspace, kind) for workspace in world.tables.workspaces for kind in KINDS
    ]
    total = requests * len(cells)
    turn_at = int(total * world.rng.uniform(0.3, 0.7))
    pins: dict[str, VersionId] = {}
    for number in range(total):
        now = 1000.0 + number * GAP
        world.turned = number >= turn_at
        workspace, kind = cells[number % len(cells)]
        cell = (workspace, kind.name)
        answers = draw_answers(world, cell)
        work = make_request(workspace, kind, str(number))
        if kind.name == "question":
            session = f"{workspace}/{number // (len(cells) * SESSION_LENGTH)}"
            work = replace(work, session=session, stream=True)
            if session in pins:
                work = replace(work, pinned=pins[session])

        _deliver_ratings(world, tally, now)
        served = POLICIES[name](world, tally, work, cell, now, answers)
        if work.session:
            pins.setdefault(work.session, served.version)

        _count(world, tally, cell, served)

    return tally


def _serve_router(
    world: World,
    tally: Tally,
    work: Work,
    cell: Cell,
    now: float,
    answers: dict[VersionId, float],
) -> Served:
    tables = world.tables
    choice = choose_version(tables, work, now=now, draw=tally.chance.random())
    if isinstance(choice, Refusal):
        raise AssertionError(choice.message)

    tally.waits += len(choice.plan) - 1
    cost = 0.0
    for version in choice.plan[:-1]:
        cost += world.prices[version] + RATING_PRICE
        note_sent(tables, work, version, rate=True, now=now, served=False)
        if tally.chance.random() < MISSING:
            note_unrated(tables, work.workspace, work.kind, version)
            continue

        stops = answers[version] >= choice.threshold
        note_rating(
            tables,
            work.workspace,
            work.kind,
            version,
            answers[version],
            now,
            served=stops,
        )
        if stops:
            tally.waits -= 1.0
            return Served(cost, answers[version], version)

    last = choice.plan[-1]
    cost += world.prices[last]
    escalated = len(choice.plan) > 1
    note_sent(
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
        due = now + tally.chance.expovariate(1.0 / RATING_LAG)
        missing = tally.chance.random() < MISSING
        rating = UnderWay(
            due, tally.requests, cell, last, answers[last], missing, escalated
        )
        heapq.heappush(tally.ratings, rating)

    return Served(cost, answers[last], last)


def _serve_best(
    world: World,
    tally: Tally,
    work: Work,
    cell: Cell,
    now: float,
    answers: dict[VersionId, float],
) -> Served:
    best = world.versions[-1]
    return Served(world.prices[best], answers[best], best)


def _serve_cheapest(
    world: World,
    tally: Tally,
    work: Work,
    cell: Cell,
    now: float,
    answers: dict[VersionId, float],
) -> Served:
    cheapest = world.versions[0]
    return Served(world.prices[cheapest], answers[cheapest], cheapest)


def _serve_oracle(
    world: World,
    tally: Tally,
    work: Work,
    cell: Cell,
    now: float,
    answers: dict[VersionId, float],
) -> Served:
    known = tally.plans.get(cell)
    if known is None or known[0] != world.turned:
        found = find_oracle_plan(world, cell)
        known = tally.plans[cell] = (world.turned, found.plan, found.threshold)

    _, plan, threshold = known
    cost = 0.0
    for version in plan[:-1]:
        cost += world.prices[version] + RATING_PRICE
        if answers[version] >= threshold:
            return Served(cost, answers[version], version)

        tally.waits += 1.0

    last = plan[-1]
    return Served(cost + world.prices[last], answers[last], last)


POLICIES = {
    "router": _serve_router,
    "always best": _serve_best,
    "always cheapest": _serve_cheapest,
    "oracle": _serve_oracle,
}


def _deliver_ratings(world: World, tally: Tally, now: float) -> None:
    kinds = {kind.name: kind for kind in KINDS}
    while tally.ratings and tally.ratings[0].due <= now:
        item = heapq.heappop(tally.ratings)
        workspace, name = item.cell
        if item.missing:
            note_unrated(
                world.tables,
                workspace,
                kinds[name],
                item.version,
                escalated=item.escalated,
            )
            continue

        note_rating(
            world.tables,
            workspace,
            kinds[name],
            item.version,
            item.rating,
            item.due,
            escalated=item.escalated,
        )


def _count(world: World, tally: Tally, cell: Cell, served: Served) -> None:
    tally.requests += 1
    tally.cost += served.cost
    tally.exposed += int(world.turned and served.version == world.turning)
    sums = tally.quality.setdefault(cell, [0.0, 0.0])
    sums[0] += served.quality
    sums[1] += 1.0
