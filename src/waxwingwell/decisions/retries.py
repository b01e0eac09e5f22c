"""Retries: what may be retried, and how much of it.

The budget is a share of recent requests, not a count for each one: when everything
fails, retries stay at that share instead of multiplying the load by their count.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .rates import decay_rate


RETRY_SHARE = 0.1
"""Retries allowed for each recent request."""
RETRY_FLOOR = 3.0
"""Retries allowed in a window even without requests, for entries with few callers."""
RETRY_WINDOW = 10.0
"""Seconds over which requests and retries count as recent."""


class DispatchState(StrEnum):
    """How far an attempt came before it failed."""

    NOT_SENT = "not_sent"
    """No byte of it left: the connection could not be made."""
    REFUSED = "refused"
    """The upstream said that it did not run it."""
    SENT = "sent"
    """It may have run: no answer came."""
    RESPONDING = "answering"
    """The caller has had a part of the answer."""


@dataclass(slots=True)
class RetryBudget:
    """Requests and retries of late, both decaying over the window."""

    requests: float = 0.0
    retries: float = 0.0
    updated_at: float = 0.0


def note_request(budget: RetryBudget, now: float) -> None:
    """Count a first attempt."""
    decay_budget(budget, now)
    budget.requests += 1.0


def may_retry(budget: RetryBudget, now: float) -> bool:
    """Return whether one more retry is within the budget, and take it if so."""
    decay_budget(budget, now)
    if budget.retries + 1.0 > RETRY_FLOOR + RETRY_SHARE * budget.requests:
        return False

    budget.retries += 1.0
    return True


def decay_budget(budget: RetryBudget, now: float) -> None:
    """Let both counts decay up to ``now``; time that steps back changes nothing."""
    at = budget.updated_at
    budget.requests = decay_rate(budget.requests, at, RETRY_WINDOW, now)
    budget.retries = decay_rate(budget.retries, at, RETRY_WINDOW, now)
    budget.updated_at = max(now, at)


def is_retry_safe(repeatable: bool, dispatch_state: DispatchState) -> bool:
    """Return whether a retry can neither run work twice nor garble an answer.

    What provably did not run may always be retried. What may have run may be retried
    only if it is idempotent and the caller has seen nothing of the answer yet.
    """
    if dispatch_state in (DispatchState.NOT_SENT, DispatchState.REFUSED):
        return True

    return repeatable and dispatch_state is DispatchState.SENT
