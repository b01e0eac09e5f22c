"""Whether a request may be retried, by its kind, its attempts and the retry budget."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.load import count_gateways
from ...routing.records import RouteKind
from ...routing.retries import FAILURE_PART
from ...routing.retries import OPTIONAL_PART
from ...routing.retries import knows_window
from ...routing.retries import may_retry
from ...routing.retries import record_reserved_retry
from ...routing.retries import reserve_retry
from ..metrics import REFUSED_RETRIES
from ..metrics import RETRY_SECONDS
from .attempts import AttemptOutcome
from .attempts import is_asked_for_rest
from .causes import count_retry
from .crashes import has_crashed_enough
from .crashes import must_refuse


if TYPE_CHECKING:
    from ...routing.records import Route
    from .attempts import Attempt
    from .exchange import Exchange


UNSENT_OUTCOMES = frozenset(
    {AttemptOutcome.UNREACHED, AttemptOutcome.DELAYED, AttemptOutcome.WITHHELD}
)
RUN_OUTCOMES = frozenset(
    {
        AttemptOutcome.BROKEN,
        AttemptOutcome.FAILED,
        AttemptOutcome.UNREAD,
        AttemptOutcome.DONE,
    }
)
"""Outcomes of attempts that may have run."""
MAX_ATTEMPTS = 6
"""Maximum attempts of one request, including those that an upstream refused to run."""


def is_retryable(route: Route) -> bool:
    """Return whether a route's requests may be retried after they may have run."""
    if route.kind is RouteKind.IDEMPOTENT:
        return True

    return route.kind is RouteKind.STREAM and route.resumable


def is_resumed(exchange: Exchange, attempt: Attempt) -> bool:
    """Return whether the response of an attempt is a stream that may be resumed."""
    return attempt.streaming and is_retryable(exchange.route)


def may_run_again(exchange: Exchange) -> bool:
    """Return whether the request may run again if the current attempt has run."""
    if is_forwarding(exchange):
        return False

    route = exchange.route
    return is_retryable(route) and exchange.runs + 1 < exchange.max_runs


def is_forwarding(exchange: Exchange) -> bool:
    """Return whether the caller has a part of a response that can't be resumed."""
    return exchange.attempt is not None and exchange.attempt.forwarding


def can_fail_over(exchange: Exchange, now: float) -> bool:
    """Return whether another upstream could take the request over now."""
    if exchange.is_trial:
        return False

    if exchange.attempt_count >= MAX_ATTEMPTS or not may_run_again(exchange):
        return False

    if not has_retry_budget(exchange, now, FAILURE_PART):
        return False

    choice = exchange.choose_upstream(now)
    return choice is not None and exchange.is_in_time(choice, now)


def may_retry_after(exchange: Exchange, outcome: AttemptOutcome, now: float) -> bool:
    """Return whether the request may be retried after ``outcome``.

    A request that may run only once is retried only if the last attempt provably did
    not run: it was never connected, or the upstream said so.
    """
    attempts_left = exchange.attempt_count < MAX_ATTEMPTS
    if not attempts_left or now >= exchange.deadline or exchange.finished:
        return False

    if exchange.is_trial and outcome not in UNSENT_OUTCOMES:
        return False

    retryable = is_retryable(exchange.route) and not is_forwarding(exchange)
    if outcome in RUN_OUTCOMES:
        if not retryable or exchange.runs >= exchange.max_runs:
            return False
    elif exchange.runs and not retryable:
        return False

    if outcome in (AttemptOutcome.BROKEN, AttemptOutcome.FAILED):
        if exchange.attempt is not None and has_crashed_enough(
            exchange, exchange.attempt, now
        ):
            return False

        if must_refuse(exchange):
            return False

    if outcome in UNSENT_OUTCOMES:
        return True

    # Slow callers must leave retries for requests that fail.
    is_optional = outcome is AttemptOutcome.UNREAD
    is_optional = is_optional or is_asked_for_rest(exchange.attempt)
    exchange.retry_part = OPTIONAL_PART if is_optional else FAILURE_PART
    exchange.follows_good = outcome is AttemptOutcome.UNREAD
    return has_retry_budget(
        exchange, now, exchange.retry_part, is_choice=exchange.follows_good
    )


def has_retry_budget(
    exchange: Exchange, now: float, part: float, *, is_choice: bool = False
) -> bool:
    """Return whether the retry budget of all gateways allows one more retry.

    ``is_choice`` says that the last response was good: a better one is wanted, or its
    caller did not read it.
    """
    context = exchange.context
    limits = context.settings.retries
    allowed = may_retry(
        context.retries,
        exchange.find_service(),
        limits,
        part=part,
        gateways=count_gateways(context.load),
        now=now,
        is_choice=is_choice,
    )
    if not allowed:
        is_known = is_choice or knows_window(context.retries, limits, now)
        REFUSED_RETRIES.labels("budget" if is_known else "counts_lost").inc()

    return allowed


def reserve_attempt(
    exchange: Exchange, attempt: Attempt, now: float, *, is_choice: bool = False
) -> bool:
    """Reserve a retry for an attempt that needs one; return False if none is left.

    The first attempt that reaches an upstream is no retry. A relay reserves the retries
    that it sends.
    """
    if attempt.relayed or not exchange.arrivals:
        return True

    part = exchange.retry_part
    is_choice = is_choice or exchange.follows_good
    if not has_retry_budget(exchange, now, part, is_choice=is_choice):
        return False

    context = exchange.context
    limits = context.settings.retries
    reserve_retry(context.retries, attempt.choice.service, now, limits)
    attempt.holds_retry = True
    return True


def record_arrival(exchange: Exchange, attempt: Attempt, now: float) -> None:
    """Count an attempt that is written to an upstream; its retry begins to count now.

    What a relay sends is counted there, and told with its response.
    """
    if attempt.relayed:
        return

    exchange.arrivals += 1
    if not attempt.holds_retry:
        return

    attempt.holds_retry = False
    context = exchange.context
    limits = context.settings.retries
    record_reserved_retry(context.retries, attempt.choice.service, now, limits)
    count_retry(exchange)
    RETRY_SECONDS.observe(now - exchange.retried_at)


def count_runs(exchange: Exchange, attempt: Attempt, outcome: AttemptOutcome) -> None:
    """Count the runs and arrivals of an attempt that has ended.

    A relay that breaks off has not told what it has sent last: all the runs that it was
    granted count.
    """
    if not attempt.relayed:
        exchange.runs += outcome in RUN_OUTCOMES
        return

    exchange.arrivals = max(exchange.arrivals, attempt.told_arrivals)
    if outcome in (AttemptOutcome.BROKEN, AttemptOutcome.UNREAD):
        exchange.arrivals += 1
        exchange.runs += attempt.granted_runs
    elif attempt.told_runs is not None:
        exchange.runs = max(exchange.runs, attempt.told_runs)
    else:
        exchange.runs += outcome in RUN_OUTCOMES
