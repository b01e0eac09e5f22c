"""The report of the quality experiment: goals, tables, JSON and a plot."""

from __future__ import annotations

import statistics
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import msgspec
from tabulate import tabulate

from .traffic import POLICIES
from .traffic import REQUESTS


if TYPE_CHECKING:
    from pathlib import Path


WINDOWS = (20_000, 10_000, 5_000)
"""Sessions after which a fixed canary is evaluated; the first is the baseline."""
NOISE = 0.005
"""Shortfall in the mean of 5,000 responses within noise: 2.4 standard errors."""


@dataclass(frozen=True, slots=True)
class TrafficFigures:
    """Figures of one policy over the traffic of one seed."""

    cost: float
    """Mean cost of a request, in units of the cheapest version's price."""
    least_surplus: float
    """Mean quality minus target, in the worst workspace and kind."""
    waits: float
    """Mean number of responses awaited before the served one."""
    bad: int
    """Responses served by the version that degraded."""


@dataclass(frozen=True, slots=True)
class RolloutFigures:
    """Figures of all roll-outs of one seed."""

    good: int
    good_withdrawn: int
    good_completed: int
    bad: int
    bad_withdrawn: int
    bad_completed: int
    bad_answers: int
    canary_answers: tuple[int, ...]
    """Responses served by bad candidates under the canary, for each of ``WINDOWS``."""
    canary_withdrawn: tuple[int, ...]
    turning: int
    turning_withdrawn: int
    turning_answers: int
    good_seconds: float
    """Median seconds until the roll-out of a good candidate ended."""


@dataclass(frozen=True, slots=True)
class SeedFigures:
    """All figures of one seed."""

    seed: int
    traffic: dict[str, TrafficFigures]
    rollouts: RolloutFigures


@dataclass(frozen=True, slots=True)
class Goal:
    """A goal and the values reached."""

    name: str
    goal: str
    median: float
    worst: float
    met: bool


@dataclass(slots=True)
class QualityReport:
    """Figures of all seeds of one profile."""

    profile: str
    seeds: list[SeedFigures] = field(default_factory=list)

    def render(self) -> str:
        """Return tables of the goals and of every policy, for a terminal."""
        return "\n\n".join(
            (
                f"profile {self.profile}, {len(self.seeds)} seeds, "
                f"{REQUESTS} requests of each workspace and kind",
                _render_goals(list_goals(self)),
                _render_policies(self),
                _render_rollouts(self),
            )
        )

    def to_json(self) -> str:
        """Return goals and the figures of each seed as JSON."""
        body = {
            "profile": self.profile,
            "goals": list_goals(self),
            "seeds": self.seeds,
        }
        return msgspec.json.format(msgspec.json.encode(body)).decode()

    def plot(self, path: Path) -> None:
        """Write a plot of the cost and of the exposure to bad versions, by seed."""
        import matplotlib

        matplotlib.use("Agg")
        from matplotlib import pyplot

        figure, (left, right) = pyplot.subplots(1, 2, figsize=(10, 4))
        costs = sorted(_compute_cost_ratios(self, "oracle"))
        left.plot(costs, marker="o")
        left.axhline(1.10, linestyle="--")
        left.set(xlabel="seed, sorted", ylabel="cost / oracle's", title="cost")
        shares = sorted(_compute_exposure_ratios(self, 0))
        right.plot(shares, marker="o")
        right.axhline(0.2, linestyle="--")
        right.set(xlabel="seed, sorted", ylabel="bad answers / canary's")
        figure.suptitle(f"profile {self.profile}")
        figure.tight_layout()
        figure.savefig(path)
        pyplot.close(figure)


def list_goals(report: QualityReport) -> list[Goal]:
    """Return every goal with the values of the median and the worst seed."""
    oracle = _compute_cost_ratios(report, "oracle")
    best = _compute_cost_ratios(report, "always best")
    exposure = _compute_exposure_ratios(report, 0)
    least = [seed.traffic["router"].least_surplus for seed in report.seeds]
    met = statistics.mean(float(item >= -NOISE) for item in least)
    strict = statistics.mean(float(item >= 0.0) for item in least)
    good = sum(seed.rollouts.good for seed in report.seeds)
    wrong = sum(seed.rollouts.good_withdrawn for seed in report.seeds)
    share = wrong / good if good else 0.0
    return [
        _make_goal("cost / oracle's", oracle, 1.10),
        _make_goal("cost / always best's", best, 0.5),
        Goal(
            "seeds with every cell at target, but for noise",
            f">= 0.95 (short by <= {NOISE})",
            met,
            min(least),
            met >= 0.95,
        ),
        Goal(
            "the same without allowance for noise",
            ">= 0.95",
            strict,
            min(least),
            strict >= 0.95,
        ),
        _make_goal("bad answers / canary's", exposure, 0.2),
        Goal(
            f"good candidates withdrawn, of {good}",
            "<= 0.01",
            share,
            share,
            share <= 0.01,
        ),
    ]


def _make_goal(name: str, values: list[float], most: float) -> Goal:
    median = statistics.median(values)
    return Goal(name, f"<= {most}", median, max(values), median <= most)


def _compute_cost_ratios(report: QualityReport, base: str) -> list[float]:
    return [
        seed.traffic["router"].cost / seed.traffic[base].cost for seed in report.seeds
    ]


def _compute_exposure_ratios(report: QualityReport, window: int) -> list[float]:
    return [
        seed.rollouts.bad_answers / max(1, seed.rollouts.canary_answers[window])
        for seed in report.seeds
    ]


def _render_goals(goals: list[Goal]) -> str:
    rows = [
        (goal.name, goal.goal, goal.median, goal.worst, "yes" if goal.met else "NO")
        for goal in goals
    ]
    headers = ("goal", "wanted", "median", "worst seed", "met")
    return tabulate(rows, headers, floatfmt=".4f")


def _render_policies(report: QualityReport) -> str:
    rows = []
    for name in POLICIES:
        found = [seed.traffic[name] for seed in report.seeds]
        rows.append(
            (
                name,
                statistics.median(item.cost for item in found),
                max(item.cost for item in found),
                statistics.median(item.least_surplus for item in found),
                min(item.least_surplus for item in found),
                statistics.median(item.waits for item in found),
                statistics.median(item.bad for item in found),
                max(item.bad for item in found),
            )
        )

    headers = (
        "policy",
        "cost",
        "worst",
        "least surplus",
        "worst",
        "extra answers awaited",
        "answers by the turned version",
        "worst",
    )
    return tabulate(rows, headers, floatfmt=".4f")


def _render_rollouts(report: QualityReport) -> str:
    found = [seed.rollouts for seed in report.seeds]
    staged = (
        "staged",
        f"{sum(item.bad_withdrawn for item in found)} of "
        f"{sum(item.bad for item in found)}",
        statistics.median(item.bad_answers for item in found),
        max(item.bad_answers for item in found),
        f"{sum(item.bad_completed for item in found)}",
        f"{sum(item.turning_withdrawn for item in found)} of "
        f"{sum(item.turning for item in found)}",
        statistics.median(item.turning_answers for item in found),
        statistics.median(item.good_seconds for item in found),
    )
    rows: list[tuple[object, ...]] = [staged]
    for index, window in enumerate(WINDOWS):
        rows.append(
            (
                f"canary, {window} sessions",
                f"{sum(item.canary_withdrawn[index] for item in found)} of "
                f"{sum(item.bad for item in found)}",
                statistics.median(item.canary_answers[index] for item in found),
                max(item.canary_answers[index] for item in found),
                "",
                "",
                "",
                "",
            )
        )

    headers = (
        "roll-out",
        "bad withdrawn",
        "bad answers a seed",
        "worst",
        "bad completed",
        "turned withdrawn",
        "answers after the turn",
        "s until good is done",
    )
    return tabulate(rows, headers, floatfmt=".1f")
