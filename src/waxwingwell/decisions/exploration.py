"""Exploration of versions with few ratings, within a budget."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .eligibility import get_exposure_weight
from .evidence import count_cell_outstanding
from .options import MIN_RATINGS
from .options import get_spare_credit


if TYPE_CHECKING:
    from ..records import WorkspaceConfig
    from .options import ChoiceContext
    from .options import Option
    from .tables import QualityAccount
    from .tables import Tables


REJECT_DEVIATIONS = 3.0
"""Standard errors below the target at which a version is no longer explored."""
UNCERTAIN_REJECT_DEVIATIONS = 5.0
"""``REJECT_DEVIATIONS`` for versions whose few ratings may be poor by chance."""
EXPLORE_PROBABILITY = 0.8
"""Probability that a request may explore while the budget lasts."""
EXPLORE_BASE = 300.0
"""Base exploration budget of a workspace and kind, in responses."""
EXPLORE_SHARE = 0.05
"""Additional budget as a share of responses, at an exposure weight of 0."""
PROBE_SHARE = 0.015
"""Share of responses that may probe cheaper versions, even if they seem too poor."""
PROBE_MIN_SPARE_CREDIT = 0.5
"""Spare credit that probing requires, where 1 is the cap."""
PROBE_MAX_RATINGS = 60.0
"""Number of ratings from which a version is no longer probed."""
PROBE_DEVIATIONS = 6.0
"""Standard errors below the target beyond which a version is no longer probed."""
EXPLORE_MIN_CREDIT = -1.5
"""Credit, in rating points, below which exploration is suspended."""
EXPLORE_MAX_OUTSTANDING = 12
"""Cap on a version's outstanding ratings by workspace and kind, since ratings lag."""


def get_exploration_limit(
    config: WorkspaceConfig, account: QualityAccount, entries: int
) -> float:
    """Return the exploration budget of a workspace and kind so far, in responses."""
    risk_tolerance = 1.0 - get_exposure_weight(config)
    base = EXPLORE_BASE * risk_tolerance / max(1, entries)
    return base + (EXPLORE_SHARE * risk_tolerance + PROBE_SHARE) * account.sent


def find_option_to_explore(
    tables: Tables, context: ChoiceContext, primary: Option, now: float, draw: float
) -> Option | None:
    """Return the best version to explore, if the budget and ``draw`` allow it."""
    limit = get_exploration_limit(context.config, context.account, tables.entries)
    explored = context.account.explored + 1
    if draw >= EXPLORE_PROBABILITY or explored > limit:
        return None

    if draw < PROBE_SHARE and get_spare_credit(context) > PROBE_MIN_SPARE_CREDIT:
        return _find_option_to_probe(tables, context, primary, now)

    reserved = PROBE_SHARE * context.account.sent
    if explored > limit - reserved or context.account.credit < EXPLORE_MIN_CREDIT:
        return None

    best: Option | None = None
    best_value = 0.0
    for option in context.options:
        if option.cost >= primary.cost:
            break

        found = (primary.cost - option.cost) * _get_expected_improvement(
            context, option
        )
        if found > best_value and _has_outstanding_capacity(
            tables, context, option, now
        ):
            best = option
            best_value = found

    return best


def _find_option_to_probe(
    tables: Tables, context: ChoiceContext, primary: Option, now: float
) -> Option | None:
    """Return the cheaper version with the largest error, even if it seems too poor.

    A good version whose first ratings are poor by chance would be abandoned, and an
    expensive one would serve all requests permanently. Spare credit pays for testing
    it again.
    """
    found: Option | None = None
    for option in context.options:
        if option.cost >= primary.cost:
            break

        estimate = option.estimate
        distance = (estimate.mean - context.target) / estimate.error
        if estimate.rated >= PROBE_MAX_RATINGS or distance < -PROBE_DEVIATIONS:
            continue

        if found is None or estimate.error > found.estimate.error:
            found = option

    return (
        found
        if found and _has_outstanding_capacity(tables, context, found, now)
        else None
    )


def _get_expected_improvement(context: ChoiceContext, option: Option) -> float:
    """Return the expected improvement of a version over the target.

    See Jones, Schonlau and Welch (1998). It is small for versions known to miss the
    target, and for those close to it whose mean is known precisely.
    """
    estimate = option.estimate
    distance = (estimate.mean - context.target) / estimate.error
    cutoff = (
        REJECT_DEVIATIONS
        if estimate.rated >= MIN_RATINGS
        else UNCERTAIN_REJECT_DEVIATIONS
    )
    if distance < -cutoff:
        return 0.0

    density = math.exp(-0.5 * distance * distance) / math.sqrt(2.0 * math.pi)
    probability = 0.5 * math.erfc(-distance / math.sqrt(2.0))
    return estimate.error * (density + distance * probability)


def _has_outstanding_capacity(
    tables: Tables, context: ChoiceContext, option: Option, now: float
) -> bool:
    """Return whether the outstanding ratings of the option are below the cap."""
    key = (context.work.workspace, context.work.kind.name, option.version)
    return count_cell_outstanding(tables, key, now) < EXPLORE_MAX_OUTSTANDING
