"""Cascades: run a cheap version, rate its response, escalate below a threshold.

Ratings are modelled as normally distributed with the estimated mean and deviation,
since only the sums of the ratings and of their squares are stored.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import replace
from typing import TYPE_CHECKING

from .eligibility import get_latency_weight
from .options import Option
from .options import get_spare_credit
from .quality import Estimate
from .quality import estimate_escalated


if TYPE_CHECKING:
    from .options import ChoiceContext
    from .tables import Tables
    from .tables import Work


CASCADE_TARGET_SLACK = 0.02
"""Rating points by which a cascade's target is lowered when credit is at its cap."""
LATENCY_PENALTY = 0.1
"""Share of its cost by which a cascade must be cheaper, at a latency weight of 1.

It makes up for the latency of the second response.
"""
BISECTION_STEPS = 7
"""Bisection steps over the threshold's range; the last is smaller than 0.01."""


@dataclass(frozen=True, slots=True)
class CascadeOption:
    """A cascade's best threshold, with its expected cost and quality."""

    threshold: float
    cost: float
    quality: float


@dataclass(frozen=True, slots=True)
class CascadePlan:
    """The two versions of a cascade, and the rating at which it stops at the first."""

    cheap: Option
    strong: Option
    escalated: Estimate
    """Estimate of the strong version on escalated requests."""
    threshold: float


def may_cascade(work: Work) -> bool:
    """Return whether a response may be rated and replaced before it is served.

    A session keeps one version, and a stream delivers its response at once.
    """
    return work.kind.waits_for_whole and not work.stream and not work.session


def find_cascade(
    tables: Tables, context: ChoiceContext, primary: Option
) -> CascadePlan | None:
    """Return the cascade that is cheaper than ``primary``, if any.

    Pairs are ranked with an optimistic mean of the cheap version: its responses are
    rated before they are served, so that trying it costs little quality. The
    threshold is computed from the mean itself.
    """
    work = context.work
    if not may_cascade(work):
        return None

    lowest_cost = primary.cost / (
        1.0 + LATENCY_PENALTY * get_latency_weight(context.config)
    )
    found: tuple[Option, Option, Estimate] | None = None
    for strong in context.options:
        escalated = estimate_escalated(
            tables, work.workspace, work.kind.name, strong.version, strong.estimate
        )
        for cheap in context.options:
            if (
                cheap.cost + tables.rating_price >= lowest_cost
                or cheap.cost >= strong.cost
            ):
                break

            optimistic = replace(
                cheap.estimate, mean=cheap.estimate.mean + cheap.estimate.error
            )
            option = _evaluate_cascade(
                tables, context, optimistic, escalated, (cheap.cost, strong.cost)
            )
            if option is not None and option.cost < lowest_cost:
                lowest_cost = option.cost
                found = (cheap, strong, escalated)

    if found is None:
        return None

    cheap, strong, escalated = found
    option = _evaluate_cascade(
        tables, context, cheap.estimate, escalated, (cheap.cost, strong.cost)
    )
    threshold = option.threshold if option else escalated.mean
    return CascadePlan(cheap, strong, escalated, threshold)


def _evaluate_cascade(
    tables: Tables,
    context: ChoiceContext,
    cheap: Estimate,
    escalated: Estimate,
    costs: tuple[float, float],
) -> CascadeOption | None:
    return find_threshold(
        cheap,
        escalated.mean,
        cheap_cost=costs[0],
        strong_cost=costs[1],
        rating_price=tables.rating_price,
        target=context.target
        - CASCADE_TARGET_SLACK * get_spare_credit(context)
        + context.caution * escalated.error,
    )


def find_threshold(
    cheap: Estimate,
    strong: float,
    *,
    cheap_cost: float,
    strong_cost: float,
    rating_price: float,
    target: float,
) -> CascadeOption | None:
    """Return the cheapest threshold that meets ``target``, or None if none does.

    ``strong`` is the mean quality of escalated responses. Cost rises with the
    threshold, and so does quality up to ``strong``: the lowest threshold that meets
    the target is the cheapest. All costs are in the same unit; the cheap response and
    its rating are always paid for.
    """
    high = strong
    if _evaluate_threshold(cheap, strong, high)[1] < target:
        return None

    low = 0.0
    for _ in range(BISECTION_STEPS):
        middle = 0.5 * (low + high)
        if _evaluate_threshold(cheap, strong, middle)[1] < target:
            low = middle
        else:
            high = middle

    stop_probability, quality = _evaluate_threshold(cheap, strong, high)
    cost = cheap_cost + rating_price + (1.0 - stop_probability) * strong_cost
    return CascadeOption(high, cost, quality)


def _evaluate_threshold(
    cheap: Estimate, strong: float, threshold: float
) -> tuple[float, float]:
    """Return the probability of serving the cheap response, and the mean quality."""
    stop_probability = _get_stop_probability(cheap, threshold)
    quality = (
        _get_mean_above(cheap, threshold, stop_probability)
        + (1.0 - stop_probability) * strong
    )
    return stop_probability, quality


def _get_stop_probability(estimate: Estimate, threshold: float) -> float:
    """Return the probability that a rating is at or above ``threshold``."""
    deviations = (threshold - estimate.mean) / estimate.deviation
    return 0.5 * math.erfc(deviations / math.sqrt(2.0))


def _get_mean_above(
    estimate: Estimate, threshold: float, stop_probability: float
) -> float:
    """Return the expected rating, counting ratings below ``threshold`` as 0."""
    deviations = (threshold - estimate.mean) / estimate.deviation
    density = math.exp(-0.5 * deviations * deviations) / math.sqrt(2.0 * math.pi)
    return min(
        stop_probability,
        estimate.mean * stop_probability + estimate.deviation * density,
    )
