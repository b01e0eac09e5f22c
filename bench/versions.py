"""Time to choose a version, with few and with many workspaces.

Run as ``python -m bench.versions``. The baseline of the same run is a linear search for
the cheapest allowed version. Each result is the median of several rounds in
microseconds.
"""

from __future__ import annotations

import time
from random import Random
from statistics import median
from typing import TYPE_CHECKING

from tabulate import tabulate

from waxwingwell.decisions.evidence import record_rating
from waxwingwell.decisions.evidence import record_sent
from waxwingwell.decisions.versions import choose_version
from waxwingwell.experiments.worlds import KINDS
from waxwingwell.experiments.worlds import World
from waxwingwell.experiments.worlds import draw_qualities
from waxwingwell.experiments.worlds import make_request
from waxwingwell.experiments.worlds import make_world


if TYPE_CHECKING:
    from waxwingwell.records import WorkKind


SIZES = (10, 1000)
ROUNDS = 7
CHOICES = 2000
RATINGS = 40
"""Number of ratings of each version for each workspace and kind."""
NOW = 10.0


def make_rated_world(size: int) -> World:
    """Return a world with ratings of each version for each workspace and kind."""
    world = make_world("entoto", 0, workspaces=size)
    for name in world.tables.workspaces:
        for kind in KINDS:
            work = make_request(name, kind, "r")
            answers = draw_qualities(world, (name, kind.name))
            for version, rating in answers.items():
                for _ in range(RATINGS):
                    record_sent(world.tables, work, version, rate=True, now=NOW)
                    record_rating(world.tables, name, kind, version, rating, NOW)

    return world


def time_choices(world: World, kind: WorkKind, rng: Random) -> float:
    """Return the mean microseconds of one choice."""
    names = list(world.tables.workspaces)
    works = [
        make_request(rng.choice(names), kind, str(number)) for number in range(CHOICES)
    ]
    draws = [rng.random() for _ in works]
    started = time.perf_counter()
    for work, draw in zip(works, draws, strict=True):
        choose_version(world.tables, work, now=NOW, draw=draw)

    return (time.perf_counter() - started) / CHOICES * 1e6


def time_cheapest(world: World) -> float:
    """Return the mean microseconds of a search for the cheapest allowed version."""
    configs = list(world.tables.workspaces.values())
    started = time.perf_counter()
    for number in range(CHOICES):
        config = configs[number % len(configs)]
        min(config.allowed, key=lambda item: world.tables.versions[item].price_out)

    return (time.perf_counter() - started) / CHOICES * 1e6


def main() -> None:
    """Measure each number of workspaces and print the table."""
    rows = []
    for size in SIZES:
        world = make_rated_world(size)
        plain = median(time_cheapest(world) for _ in range(ROUNDS))
        for kind in KINDS:
            rng = Random(size)
            rounds = [time_choices(world, kind, rng) for _ in range(ROUNDS)]
            rows.append((size, kind.name, median(rounds), max(rounds), plain))

    headers = ("workspaces", "kind", "choice", "slowest round", "plain search")
    print("microseconds of one choice among 7 versions, median of rounds")
    print("reports may cascade, the other kinds may not")
    print(tabulate(rows, headers=headers, floatfmt=".1f"))


if __name__ == "__main__":
    main()
