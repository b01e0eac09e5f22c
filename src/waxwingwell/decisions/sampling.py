"""Which answers go to the rating service."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .eligibility import get_exposure_weight


if TYPE_CHECKING:
    from ..records import WorkspaceConfig
    from .options import ChoiceContext
    from .options import Option
    from .quality import Estimate
    from .tables import Tables


RATE_ALL_BELOW = 30.0
"""Own ratings below which every answer is rated."""
RATING_COST_SHARE = 0.01
"""Share of an answer's cost that its ratings may always cost."""
EXPOSURE_COST_SHARE = 0.01
"""What is added to it if exposure is all that counts."""
BORDERLINE_DEVIATIONS = 2.0
"""Standard errors above the target within which a version is a close call."""
BORDERLINE_FACTOR = 1.5
"""How much more often the answers of a close call are rated."""
MIN_ESCALATED_SHARE = 0.5
"""Least share of escalated answers to rate.

Failure: a strong version turns bad and serves nothing but escalated answers; there
are few of them, and a small sample would take thousands of requests to tell.
"""
SECOND_DRAW_FACTOR = 7919.0
"""Factor that turns one draw into a second one, independent enough for sampling."""


def get_sample_share(config: WorkspaceConfig, cost: float, price: float) -> float:
    """Return the share of a known version's answers to rate.

    Exposure is found as fast as answers are rated, so its weight sets the share;
    dear answers are rated more often, since a rating adds little to their cost.
    """
    exposure = get_exposure_weight(config)
    share = 0.05 + 0.15 * exposure
    if price <= 0.0:
        return share

    cost_share = RATING_COST_SHARE + EXPOSURE_COST_SHARE * exposure
    return min(1.0, max(share, cost_share * cost / price))


def should_rate(
    tables: Tables,
    context: ChoiceContext,
    option: Option,
    estimate: Estimate,
    draw: float,
    *,
    min_share: float = 0.0,
) -> bool:
    """Draw whether an answer is rated; unknown versions always are."""
    if estimate.rated < RATE_ALL_BELOW:
        return True

    share = get_sample_share(context.config, option.cost, tables.rating_price)
    if estimate.mean - context.target < BORDERLINE_DEVIATIONS * estimate.error:
        share *= BORDERLINE_FACTOR

    return derive_draw(draw) < max(min_share, share)


def derive_draw(draw: float) -> float:
    """Return a second draw, uniform in 0 to 1, made from the first."""
    return draw * SECOND_DRAW_FACTOR % 1.0
