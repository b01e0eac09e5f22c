"""Sampling of responses for the rating service."""

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
"""Number of own ratings below which every response is rated."""
RATING_COST_SHARE = 0.01
"""Share of the responses' cost that ratings may cost, whatever the weights."""
EXPOSURE_COST_SHARE = 0.01
"""Additional share of that cost at an exposure weight of 1."""
BORDERLINE_DEVIATIONS = 2.0
"""Standard errors above the target within which a version is borderline."""
BORDERLINE_FACTOR = 1.5
"""Factor by which responses of a borderline version are rated more often."""
MIN_ESCALATED_SHARE = 0.5
"""Minimum share of escalated responses to rate.

A strong version may serve only escalated responses. Those are few, so with a small
sample a regression would go undetected for thousands of requests.
"""
SECOND_DRAW_FACTOR = 7919.0
"""Factor that derives a second draw from the first, nearly independent of it."""


def get_sample_share(config: WorkspaceConfig, cost: float, price: float) -> float:
    """Return the share of a known version's responses to rate.

    Bad versions are detected as fast as responses are rated, so the exposure weight
    determines the share. Expensive responses are rated more often, since a rating
    adds little to their cost.
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
    """Return whether a response is rated; those of unknown versions always are."""
    if estimate.rated < RATE_ALL_BELOW:
        return True

    share = get_sample_share(context.config, option.cost, tables.rating_price)
    if estimate.mean - context.target < BORDERLINE_DEVIATIONS * estimate.error:
        share *= BORDERLINE_FACTOR

    return derive_draw(draw) < max(min_share, share)


def derive_draw(draw: float) -> float:
    """Return a second draw, uniform in [0, 1), derived from the first."""
    return draw * SECOND_DRAW_FACTOR % 1.0
