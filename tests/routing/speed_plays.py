"""Plays of placement by the duration factors that the engines' paces give."""

from __future__ import annotations

import random
from collections import defaultdict
from functools import cache
from statistics import mean
from statistics import pstdev
from typing import TYPE_CHECKING

from waxwingwell.experiments.placement_simulation import find_token_interval
from waxwingwell.experiments.placement_simulation import make_run
from waxwingwell.experiments.placement_simulation import run_events
from waxwingwell.experiments.placement_simulation import schedule
from waxwingwell.routing.engine_paces import record_time
from waxwingwell.routing.placement import place_request

from . import pace_plays
from .placement_plays import ENGINES
from .placement_plays import WARM_UP_SECONDS
from .placement_plays import Play
from .placement_plays import make_deployment


if TYPE_CHECKING:
    from collections.abc import Iterable

    from waxwingwell.experiments.placement_simulation import PlacementRun
    from waxwingwell.experiments.placement_simulation import RunningStream


PIECE_SECONDS = 0.0625
"""Interval of the samples of a stream."""
NOISE = 0.4
"""Standard deviation of the logarithm of a sample."""
MIN_LOAD = 0.05
"""Least mean load to which a variation is related."""


class Exchange(pace_plays.Play):
    """Gateways and controls that exchange paces of the engines of a placement run."""

    def get_engine(self, number: int) -> tuple[str, int]:
        """Return an engine's id and incarnation."""
        return f"engine-{number}", 1


@cache
def play_measured(play: Play, seed: int) -> tuple[PlacementRun, Exchange]:
    """Return a run in which gateways know only the factors that controls send."""
    deployment = make_deployment(play)
    run = make_run(deployment, place_request, gateways=play.gateways, seed=seed)
    exchange = Exchange(play.gateways, ENGINES, requests=0, seed=seed)
    noise = random.Random(seed)
    samples = {}
    for gateway, member in zip(run.gateways, exchange.members, strict=True):
        gateway.speeds = member.speeds
        samples[id(gateway)] = member.paces

    def sample(stream: RunningStream, at: float) -> None:
        if at > stream.ends_at:
            return

        key = (stream.engine.announcement.upstream, 1, stream.model)
        interval = find_token_interval(deployment, stream.engine, stream.model) / 1000
        seconds = interval * noise.lognormvariate(0.0, NOISE)
        record_time(samples[id(stream.gateway)], key, seconds, at)
        schedule(run, at + PIECE_SECONDS, lambda later: sample(stream, later))

    def advance(at: float) -> None:
        exchange.run(pace_plays.TICK_SECONDS)
        schedule(run, at + pace_plays.TICK_SECONDS, advance)

    run.watch_stream = sample
    schedule(run, pace_plays.TICK_SECONDS, advance)
    run_events(run, play.seconds)
    return run, exchange


def list_windows(run: PlacementRun) -> dict[str, list[float]]:
    """Return the mean running requests of each engine in each second."""
    windows: defaultdict[tuple[str, int], list[int]] = defaultdict(list)
    for one in run.samples:
        if one.at >= WARM_UP_SECONDS + 1.0:
            windows[one.engine, int(one.at)].append(one.running)

    found: defaultdict[str, list[float]] = defaultdict(list)
    for (engine, _), running in windows.items():
        found[engine].append(mean(running))

    return found


def find_variation(run: PlacementRun, engines: Iterable[str]) -> float:
    """Return the mean over engines of how much their running requests vary."""
    windows = list_windows(run)
    return mean(pstdev(windows[name]) for name in engines)


def find_dispersion(run: PlacementRun, engines: Iterable[str]) -> float:
    """Return the mean variation of some engines over the root of their mean load.

    Requests that arrive independently vary with that root.
    """
    names = list(engines)
    windows = list_windows(run)
    load = mean(mean(windows[name]) for name in names)
    return float(find_variation(run, names) / max(load, MIN_LOAD) ** 0.5)
