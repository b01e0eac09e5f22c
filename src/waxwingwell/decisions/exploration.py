"""Exploring: which unknown version is worth a request, under a budget."""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .eligibility import get_exposure
from .evidence import count_cell_outstanding
from .options import LEAST_RATED
from .options import get_spare


if TYPE_CHECKING:
    from ..records import WorkspaceConfig
    from .options import Case
    from .options import Option
    from .tables import QualityAccount
    from .tables import Tables


REJECT_DEVIATIONS = 3.0
"""Standard errors below the target at which a version is no longer explored."""
DOUBT_DEVIATIONS = 5.0
"""The same for a version with few ratings, whose first ones may have been unlucky."""
EXPLORE_CHANCE = 0.8
EXPLORE_BASE = 300.0
"""Answers for one workspace and kind that may always be explored."""
EXPLORE_SHARE = 0.05
"""Share of later answers that may be explored, if exposure counted for nothing."""
PROBE_SHARE = 0.015
"""Share of answers that may probe versions which seem too poor."""
PROBE_SPARE = 0.5
"""Spare credit, of 1 at its cap, that probing needs."""
PROBE_RATED = 60.0
PROBE_DEVIATIONS = 6.0
EXPLORE_CREDIT = -1.5
"""Rating points of credit below which nothing is explored until the debt is paid."""
EXPLORE_OUTSTANDING = 12
"""Cap on explored answers whose rating is outstanding, since ratings lag."""


def get_explore_limit(
    config: WorkspaceConfig, account: QualityAccount, entries: int
) -> float:
    """Return how many answers of a workspace and kind may have been explored."""
    freedom = 1.0 - get_exposure(config)
    base = EXPLORE_BASE * freedom / max(1, entries)
    return base + (EXPLORE_SHARE * freedom + PROBE_SHARE) * account.sent


def find_explored(
    tables: Tables, case: Case, main: Option, now: float, draw: float
) -> Option | None:
    """Return the version most worth exploring, when budget and draw allow."""
    limit = get_explore_limit(case.config, case.account, tables.entries)
    explored = case.account.explored + 1
    if draw >= EXPLORE_CHANCE or explored > limit:
        return None

    if draw < PROBE_SHARE and get_spare(case) > PROBE_SPARE:
        return _find_probed(tables, case, main, now)

    reserved = PROBE_SHARE * case.account.sent
    if explored > limit - reserved or case.account.credit < EXPLORE_CREDIT:
        return None

    best: Option | None = None
    worth = 0.0
    for option in case.options:
        if option.cost >= main.cost:
            break

        found = (main.cost - option.cost) * _get_promise(case, option)
        if found > worth and _may_wait(tables, case, option, now):
            best = option
            worth = found

    return best


def _find_probed(tables: Tables, case: Case, main: Option, now: float) -> Option | None:
    """Return the least known cheaper version, also one that seems too poor.

    Failure: a good version's first ratings are unlucky, it is given up, and a dear
    one serves everything for good. While credit is to spare it gets another chance.
    """
    found: Option | None = None
    for option in case.options:
        if option.cost >= main.cost:
            break

        estimate = option.estimate
        distance = (estimate.mean - case.target) / estimate.error
        if estimate.rated >= PROBE_RATED or distance < -PROBE_DEVIATIONS:
            continue

        if found is None or estimate.error > found.estimate.error:
            found = option

    return found if found and _may_wait(tables, case, found, now) else None


def _get_promise(case: Case, option: Option) -> float:
    """Return by how much a version is expected to exceed the target, if it does.

    This is the expected improvement (Jones, Schonlau and Welch, 1998): it is small
    for what is known to miss the target and for what is known too well to surprise.
    """
    estimate = option.estimate
    distance = (estimate.mean - case.target) / estimate.error
    cutoff = REJECT_DEVIATIONS if estimate.rated >= LEAST_RATED else DOUBT_DEVIATIONS
    if distance < -cutoff:
        return 0.0

    density = math.exp(-0.5 * distance * distance) / math.sqrt(2.0 * math.pi)
    chance = 0.5 * math.erfc(-distance / math.sqrt(2.0))
    return estimate.error * (density + distance * chance)


def _may_wait(tables: Tables, case: Case, option: Option, now: float) -> bool:
    """Tell whether few enough explored answers wait for their rating."""
    key = (case.work.workspace, case.work.kind.name, option.version)
    return count_cell_outstanding(tables, key, now) < EXPLORE_OUTSTANDING
