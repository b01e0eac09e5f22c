"""Why a request is sent to one more upstream, for metrics and the log."""

from __future__ import annotations

from enum import StrEnum
from typing import TYPE_CHECKING

from ..metrics import RETRIES
from .attempts import AttemptOutcome
from .attempts import is_asked_for_rest


if TYPE_CHECKING:
    from .attempts import Attempt
    from .exchange import Exchange


class RetryCause(StrEnum):
    """Why a request arrives at an upstream that is not its first."""

    TIMED_OUT = "timed_out"
    """The attempt before was given up without a response or without more of it."""
    BROKEN = "broken"
    """The response before broke off, with no event of it forwarded."""
    RESUMED = "resumed"
    """The stream before broke off, and goes on after its last event."""
    FAILED = "failed"
    """The upstream before answered with an error of its own."""
    REFUSED = "refused"
    """The upstream before did not run it."""
    RESTED = "rested"
    """The upstream before did not run it, and asked for rest."""
    UNREAD = "unread"
    """The attempt before ended while its caller did not read."""
    ESCALATED = "escalated"
    """The response before was dropped for that of a larger model."""
    RELAYED = "relayed"
    """The gateway that relays it had sent it before."""


ARRIVED_CAUSES = {
    AttemptOutcome.FAILED: RetryCause.FAILED,
    AttemptOutcome.UNREAD: RetryCause.UNREAD,
    AttemptOutcome.DONE: RetryCause.ESCALATED,
}


COUNTERS = {cause: RETRIES.labels(cause.value) for cause in RetryCause}


def find_cause(attempt: Attempt, outcome: AttemptOutcome) -> RetryCause | None:
    """Return why a retry follows an attempt; None if the attempt did not arrive."""
    if outcome is AttemptOutcome.NOT_RUN:
        is_rested = is_asked_for_rest(attempt)
        return RetryCause.RESTED if is_rested else RetryCause.REFUSED

    if outcome is AttemptOutcome.BROKEN:
        if attempt.silent:
            return RetryCause.TIMED_OUT

        return RetryCause.RESUMED if attempt.streaming else RetryCause.BROKEN

    return ARRIVED_CAUSES.get(outcome)


def record_cause(exchange: Exchange, attempt: Attempt, outcome: AttemptOutcome) -> None:
    """Keep why the next arrival of a request is a retry."""
    exchange.retry_cause = find_cause(attempt, outcome) or exchange.retry_cause


def count_retry(exchange: Exchange) -> None:
    """Count a retry that is written to an upstream."""
    cause = exchange.retry_cause
    exchange.retries.append(cause)
    COUNTERS[cause].inc()
