"""Accounts of served quality, and opinions that forget what was before a change."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .quality import ESCALATED_SUFFIX
from .tables import Opinion
from .tables import QualityAccount


if TYPE_CHECKING:
    from ..records import Evidence
    from ..records import VersionId
    from ..records import WorkspaceId
    from .tables import Tables

    Key = tuple[WorkspaceId, str, VersionId]

CREDIT_CAP = 10.0
"""Most rating points of credit, so that old merit does not pay for a bad turn."""
DEBT_CAP = 50.0
RECENT_MEMORY = 24.0
"""Ratings that ``Opinion.recent_*`` remember, in the mean."""
RECENT_LEAST = 12.0
CHANGE_DEVIATIONS = 4.0
"""Distance, in standard errors, at which the recent mean tells of a change."""
LEAST_DEVIATION = 0.1


def get_account(tables: Tables, workspace: WorkspaceId, kind: str) -> QualityAccount:
    """Return the account of a workspace and kind, opened when missing."""
    account = tables.accounts.get((workspace, kind))
    if account is None:
        account = tables.accounts[workspace, kind] = QualityAccount()

    return account


def add_credit(account: QualityAccount, surplus: float) -> None:
    """Add rating points above the target, or below it, within the caps."""
    account.credit = min(CREDIT_CAP, max(-DEBT_CAP, account.credit + surplus))


def note_opinion(tables: Tables, key: Key, row: Evidence) -> None:
    """Take in the ratings of a row, and see whether they tell of a change."""
    if row.rated <= 0:
        return

    opinion = tables.opinions.get(key)
    if opinion is None:
        opinion = tables.opinions[key] = Opinion()

    kept = (1.0 - 1.0 / RECENT_MEMORY) ** row.rated
    opinion.rated += row.rated
    opinion.total += row.total
    opinion.squares += row.squares
    opinion.recent_rated = opinion.recent_rated * kept + row.rated
    opinion.recent_total = opinion.recent_total * kept + row.total
    drop = _forget_before_change(opinion)
    if drop > 0.0:
        _charge_unrated(tables, key, drop)


def _charge_unrated(tables: Tables, key: Key, drop: float) -> None:
    """Take back what unrated answers were credited since a version turned bad.

    Failure: between the turn and its discovery unrated answers count as good, and
    the account stays rich while the target is missed. ``RECENT_MEMORY`` times the
    drop is the loss of the rated ones; the unrated ones lost in proportion.
    """
    row = tables.evidence.get(key)
    kind = key[1].removesuffix(ESCALATED_SUFFIX)
    account = tables.accounts.get((key[0], kind))
    if row is None or account is None or row.to_rate <= 0:
        return

    unrated = max(0.0, row.sent / row.to_rate - 1.0) / max(1, tables.entries)
    add_credit(account, -drop * RECENT_MEMORY * unrated)


def _forget_before_change(opinion: Opinion) -> float:
    """Drop ratings from before a change for the worse; return the mean's fall.

    Failure: a version turns bad after thousands of good ratings, and their mean
    hides it. The recent mean falls within a dozen ratings. Idea: adaptive
    windowing, Bifet and Gavalda, "Learning from time-changing data", SDM 2007.
    """
    if opinion.recent_rated < RECENT_LEAST or opinion.rated < 2 * RECENT_LEAST:
        return 0.0

    mean = opinion.total / opinion.rated
    variance = max(0.0, opinion.squares / opinion.rated - mean * mean)
    deviation = max(LEAST_DEVIATION, variance**0.5)
    recent = opinion.recent_total / opinion.recent_rated
    if mean - recent < CHANGE_DEVIATIONS * deviation / opinion.recent_rated**0.5:
        return 0.0

    opinion.rated = opinion.recent_rated
    opinion.total = opinion.recent_total
    opinion.squares = opinion.recent_rated * (recent * recent + deviation * deviation)
    return mean - recent
