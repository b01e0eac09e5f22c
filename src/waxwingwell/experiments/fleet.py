"""The fleet experiment: upstream choice, priorities and overload against baselines."""

from __future__ import annotations

import json
from dataclasses import asdict
from dataclasses import dataclass
from dataclasses import fields
from typing import TYPE_CHECKING

from tabulate import tabulate

from .entries import LEAST_IN_FLIGHT
from .entries import REAL
from .fleet_traffic import PROFILES
from .measures import Measures
from .measures import Spread
from .measures import spread_values
from .scenarios import DOUBLE_LOAD
from .scenarios import LIGHT_LOAD
from .scenarios import SATURATION
from .scenarios import SCENARIOS
from .scenarios import SESSION_LOAD
from .scenarios import STORM_LOAD
from .scenarios import SWEEP_LOADS
from .scenarios import run_scenario


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


HIGHER_IS_BETTER = frozenset({"goodput", "answers"})
MIN_SEEDS = 20
"""Number of seeds below which a report is marked as a trial."""
COLUMNS = (
    ("first p50", "first_p50"),
    ("first p95", "first_p95"),
    ("order first p99", "order_first_p99"),
    ("order p99", "order_p99"),
    ("tokens/s", "goodput"),
    ("unserved", "refused"),
    ("orders unserved", "order_refused"),
    ("reports unserved", "report_refused"),
    ("sends", "sends"),
    ("read", "read_share"),
    ("remote", "remote_share"),
)

Runs = dict[tuple[str, float, str], list[Measures]]
"""Measures by scenario, load and policy; one item for each seed, in order."""


@dataclass(frozen=True, slots=True)
class Row:
    """One policy in one scenario, over all seeds."""

    scenario: str
    load: float
    policy: str
    figures: dict[str, Spread]


@dataclass(frozen=True, slots=True)
class Goal:
    """A goal and the value reached, over all seeds."""

    name: str
    policy: str
    limit: float
    is_ceiling: bool
    reached: Spread

    @property
    def is_met(self) -> bool:
        """Return whether the median meets the limit."""
        if self.is_ceiling:
            return self.reached.median <= self.limit

        return self.reached.median >= self.limit


@dataclass(frozen=True, slots=True)
class FleetReport:
    """All figures of one run of the experiment."""

    profile: str
    seeds: int
    goals: tuple[Goal, ...]
    rows: tuple[Row, ...]

    def render(self) -> str:
        """Return the report as tables of plain text."""
        title = f"fleet experiment, {self.profile}, {self.seeds} seeds"
        if self.seeds < MIN_SEEDS:
            title += f" (a trial: fewer than {MIN_SEEDS})"

        parts = [title, render_goals(self.goals)]
        parts.append("Medians over seeds (worst seed in brackets); seconds and shares.")
        parts.append(render_rows(self.rows))
        return "\n\n".join(parts)

    def to_json(self) -> str:
        """Return the report as JSON."""
        return json.dumps(asdict(self), indent=1)


def run_fleet(
    profile: str, seeds: int, *, report_progress: Callable[[str], None] | None = None
) -> FleetReport:
    """Run every scenario with every policy over ``seeds`` seeds.

    ``report_progress`` is called with a line of text after each scenario. An unknown
    profile, or fewer than one seed, raises ``ValueError``.
    """
    if profile not in PROFILES:
        known = ", ".join(sorted(PROFILES))
        raise ValueError(f"profile: {profile!r} is not one of {known}")

    if seeds < 1:
        raise ValueError("seeds: at least 1 is needed")

    runs: Runs = {}
    for scenario in SCENARIOS:
        for policy in scenario.policies:
            runs[scenario.name, scenario.load, policy.name] = [
                run_scenario(PROFILES[profile], scenario, policy, seed)
                for seed in range(seeds)
            ]

        if report_progress is not None:
            report_progress(f"{profile}: {scenario.name} at {scenario.load:g} done")

    rows = tuple(
        Row(*key, figures=spread_figures(measures)) for key, measures in runs.items()
    )
    return FleetReport(profile, seeds, evaluate_goals(runs), rows)


def spread_figures(measures: Sequence[Measures]) -> dict[str, Spread]:
    """Return the median and the worst value of every figure."""
    return {
        item.name: spread_values(
            [getattr(one, item.name) for one in measures],
            higher_is_better=item.name in HIGHER_IS_BETTER,
        )
        for item in fields(Measures)
    }


def evaluate_goals(runs: Runs) -> tuple[Goal, ...]:
    """Return the goals with the values reached; each ratio is taken within a seed."""
    goals = []
    sessions = runs["sessions", SESSION_LOAD, LEAST_IN_FLIGHT.name]
    for (scenario, _, policy), measures in runs.items():
        if scenario != "sessions" or policy == LEAST_IN_FLIGHT.name:
            continue

        ratios = [
            one.first_p95 / base.first_p95
            for one, base in zip(measures, sessions, strict=True)
        ]
        name = "p95 first token over least in flight"
        goals.append(Goal(name, policy, 0.7, True, spread_values(ratios)))

    for policy in (REAL.name, LEAST_IN_FLIGHT.name):
        goals += evaluate_overload(runs, policy)

    return tuple(goals)


def evaluate_overload(runs: Runs, policy: str) -> list[Goal]:
    """Return the goals about orders and goodput for one policy."""
    light = runs["light", LIGHT_LOAD, policy]
    double = runs["sweep", DOUBLE_LOAD, policy]
    goals = []
    for name, figure in (
        ("p99 of orders, twice the load over light", "order_p99"),
        ("p99 first token of orders, twice over light", "order_first_p99"),
    ):
        ratios = [
            getattr(overloaded, figure) / getattr(baseline, figure)
            for overloaded, baseline in zip(double, light, strict=True)
        ]
        goals.append(Goal(name, policy, 1.5, True, spread_values(ratios)))

    sweeps = [runs["sweep", load, policy] for load in SWEEP_LOADS]
    by_seed = [[one.goodput for one in seed] for seed in zip(*sweeps, strict=True)]
    below_saturation = sum(1 for load in SWEEP_LOADS if load <= SATURATION)
    goodput_ratios = [min(row[below_saturation:]) / max(row) for row in by_seed]
    storm_ratios = [
        one.goodput / max(row)
        for one, row in zip(
            runs["retry storm", STORM_LOAD, policy], by_seed, strict=True
        )
    ]
    for name, values in (
        ("goodput past saturation over its peak", goodput_ratios),
        ("goodput in a retry storm over the peak", storm_ratios),
    ):
        reached = spread_values(values, higher_is_better=True)
        goals.append(Goal(name, policy, 0.95, False, reached))

    return goals


def render_goals(goals: Sequence[Goal]) -> str:
    """Return the table of goals."""
    table = [
        (
            goal.name,
            goal.policy,
            f"{'<=' if goal.is_ceiling else '>='} {goal.limit:g}",
            f"{goal.reached.median:.3f}",
            f"{goal.reached.worst:.3f}",
            "met" if goal.is_met else "missed",
        )
        for goal in goals
    ]
    headers = ("goal", "policy", "limit", "median", "worst seed", "verdict")
    return tabulate(table, headers=headers, disable_numparse=True)


def render_rows(rows: Sequence[Row]) -> str:
    """Return the table of figures."""
    table = [
        (
            row.scenario,
            f"{row.load:g}",
            row.policy,
            *(render_spread(row.figures[name]) for _, name in COLUMNS),
        )
        for row in rows
    ]
    headers = ("scenario", "load", "policy", *(title for title, _ in COLUMNS))
    return tabulate(table, headers=headers, disable_numparse=True)


def render_spread(spread: Spread) -> str:
    """Return a median with the worst value in brackets."""
    if spread.median >= 100.0:
        return f"{spread.median:.0f} ({spread.worst:.0f})"

    return f"{spread.median:.3f} ({spread.worst:.3f})"
