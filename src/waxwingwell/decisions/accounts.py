"""Quality accounts, and rating statistics with change detection."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .quality import ESCALATED_SUFFIX
from .tables import QualityAccount
from .tables import RatingStats


if TYPE_CHECKING:
    from ..records import Evidence
    from ..records import VersionId
    from ..records import WorkspaceId
    from .tables import Tables

    Key = tuple[WorkspaceId, str, VersionId]

CREDIT_CAP = 10.0
"""Maximum credit in rating points, so that old surplus can't offset a regression."""
DEBT_CAP = 50.0
"""Maximum debt in rating points."""
RECENT_WINDOW_RATINGS = 24.0
"""Time constant, in ratings, of the decay of ``RatingStats.recent_*``."""
MIN_RECENT_RATINGS = 12.0
"""Decayed number of recent ratings below which no change is detected."""
CHANGE_STANDARD_ERRORS = 4.0
"""Standard errors by which the recent mean must fall to count as a change."""
MIN_DEVIATION = 0.1
"""Lower bound of a rating's standard deviation in change detection."""


def get_account(tables: Tables, workspace: WorkspaceId, kind: str) -> QualityAccount:
    """Return the account of a workspace and kind; create it if it is missing."""
    account = tables.accounts.get((workspace, kind))
    if account is None:
        account = tables.accounts[workspace, kind] = QualityAccount()

    return account


def add_credit(account: QualityAccount, surplus: float) -> None:
    """Add the surplus over the target, negative if below it, within the caps."""
    account.credit = min(CREDIT_CAP, max(-DEBT_CAP, account.credit + surplus))


def update_rating_stats(tables: Tables, key: Key, row: Evidence) -> None:
    """Add a row's ratings to the statistics and react to a detected fall in quality."""
    if row.rated <= 0:
        return

    stats = tables.rating_stats.get(key)
    if stats is None:
        stats = tables.rating_stats[key] = RatingStats()

    kept = (1.0 - 1.0 / RECENT_WINDOW_RATINGS) ** row.rated
    stats.rated += row.rated
    stats.total += row.total
    stats.squares += row.squares
    stats.recent_rated = stats.recent_rated * kept + row.rated
    stats.recent_total = stats.recent_total * kept + row.total
    drop = _discard_before_drop(stats)
    if drop > 0.0:
        _charge_unrated(tables, key, drop)


def _charge_unrated(tables: Tables, key: Key, drop: float) -> None:
    """Revoke the credit of unrated responses served since a version's quality fell.

    Until the fall is detected, unrated responses are credited at the old mean, and
    the account would keep its credit while the target is missed. The rated responses
    lost about ``RECENT_WINDOW_RATINGS`` times the drop, the unrated ones in proportion.
    """
    row = tables.evidence.get(key)
    kind = key[1].removesuffix(ESCALATED_SUFFIX)
    account = tables.accounts.get((key[0], kind))
    if row is None or account is None or row.to_rate <= 0:
        return

    unrated = max(0.0, row.sent / row.to_rate - 1.0) / max(1, tables.entries)
    add_credit(account, -drop * RECENT_WINDOW_RATINGS * unrated)


def _discard_before_drop(stats: RatingStats) -> float:
    """Discard ratings from before a fall in quality; return the fall of the mean.

    If a version regresses after thousands of good ratings, their mean hides it for
    long; the recent mean falls within a dozen ratings. After adaptive windowing: Bifet
    and Gavalda, "Learning from time-changing data", SDM 2007.
    """
    if stats.recent_rated < MIN_RECENT_RATINGS or stats.rated < 2 * MIN_RECENT_RATINGS:
        return 0.0

    mean = stats.total / stats.rated
    variance = max(0.0, stats.squares / stats.rated - mean * mean)
    deviation = max(MIN_DEVIATION, variance**0.5)
    recent = stats.recent_total / stats.recent_rated
    if mean - recent < CHANGE_STANDARD_ERRORS * deviation / stats.recent_rated**0.5:
        return 0.0

    stats.rated = stats.recent_rated
    stats.total = stats.recent_total
    stats.squares = stats.recent_rated * (recent * recent + deviation * deviation)
    return mean - recent
