"""Retries: which requests may be retried, and the retry budget.

The budget is a share of recent requests, not a number of retries per request: when
all requests fail, retries add only that share to the load instead of multiplying it.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from .rates import decay_rate


RETRY_SHARE = 0.1
"""Retries allowed per recent request."""
RETRY_FLOOR = 3.0
"""Retries always allowed within the window, for entries with few requests."""
RETRY_WINDOW = 10.0
"""Time constant in seconds with which recent requests and retries decay."""


class DispatchState(StrEnum):
    """The progress of an attempt before it failed."""

    NOT_SENT = "not_sent"
    """No byte was sent: the connection could not be established."""
    REFUSED = "refused"
    """The upstream reported that it did not run the request."""
    SENT = "sent"
    """The request may have run: no response arrived."""
    RESPONDING = "answering"
    """The caller has received a part of the response."""


@dataclass(slots=True)
class RetryBudget:
    """Recent requests and retries, both decaying exponentially."""

    requests: float = 0.0
    retries: float = 0.0
    updated_at: float = 0.0


def record_request(budget: RetryBudget, now: float) -> None:
    """Record the first attempt of a request."""
    decay_budget(budget, now)
    budget.requests += 1.0


def may_retry(budget: RetryBudget, now: float) -> bool:
    """Return whether the budget allows one more retry, and count it if so."""
    decay_budget(budget, now)
    if budget.retries + 1.0 > RETRY_FLOOR + RETRY_SHARE * budget.requests:
        return False

    budget.retries += 1.0
    return True


def decay_budget(budget: RetryBudget, now: float) -> None:
    """Decay both counts to ``now``; a clock that steps back changes nothing."""
    at = budget.updated_at
    budget.requests = decay_rate(budget.requests, at, RETRY_WINDOW, now)
    budget.retries = decay_rate(budget.retries, at, RETRY_WINDOW, now)
    budget.updated_at = max(now, at)


def is_retry_safe(repeatable: bool, dispatch_state: DispatchState) -> bool:
    """Return whether a retry can neither run work twice nor corrupt a response.

    A request that provably did not run may always be retried. One that may have run
    may be retried only if it is idempotent and the caller has received no part of the
    response.
    """
    if dispatch_state in (DispatchState.NOT_SENT, DispatchState.REFUSED):
        return True

    return repeatable and dispatch_state is DispatchState.SENT
