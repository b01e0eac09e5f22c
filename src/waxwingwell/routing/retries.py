"""Retry budget that all gateways share.

For each service, the retries within a window are limited to a ratio of the requests,
plus a slack. Half of the retries that a gateway's own requests and its share of the
slack allow are its own part, which it may use without knowing of the others. The other
half is shared. Its remainder is known from totals that are a fraction of a second old,
so a gateway draws on it no faster than in proportion to its own requests and slack;
otherwise all gateways together could overdraw it before the next totals. Without recent
totals a gateway is limited to its own allowance: the retries that its own requests and
its share of the slack allow.

Retries are counted by the process that sends them and by the controls that get its
reports. If all of these end together, the retries are still within the window, and
nobody knows of them, unless a control finds them in its checkpoint. Until some control
has counted for a whole window, a gateway that has started within it retries nothing
that has failed, and the others assume that nothing of what was counted before the loss
has left the window.

Requests of gateways that have ended allow retries until their window is over, which all
gateways share.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import msgspec

from .load import MAX_TOTAL_AGE_SECONDS
from .messages import ServiceRepeats


if TYPE_CHECKING:
    from collections.abc import Iterable


FAILURE_PART = 0.9
"""Part of the budget that retries after failures may use. The rest covers gateways that
know of too few other gateways, and traffic that shifts between gateways."""
OPTIONAL_PART = 0.6
"""Part of the budget that optional retries may use, such as escalations to a larger
model. With one part for both, escalations use up the budget, and broken streams are not
resumed."""
SHARED_PART = 0.5
"""Part of the budget that all gateways share."""
TOTAL_VALID_SECONDS = 0.5
"""Seconds for which totals grant credit; the next ones should come after half of
that."""
DRAW_SECONDS = 1.5
"""Seconds in which all gateways together may draw the remainder of the shared part;
totals lag by a fraction of that."""
LATE_DRAW_FACTOR = 1.5
"""Seconds by which that takes longer for each second by which totals may be late.
Feedback that lags overshoots if it acts within less than *e* times the lag, and a lag
that is measured by round trips is half of what is measured."""


FORMER_PART = 0.9
"""Part of the former requests that allows retries, as they may have been early in the
window."""


UNREPORTED_SECONDS = 0.4
"""Seconds before the end of a process of which nobody knows: most of those between two
reports and between two checkpoints. Those beyond are known by the checkpoint's age."""
UNREPORTED_RETRIES = 2.0
"""Retries that are assumed for each request within that time."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Limits of the retry budget over all gateways."""

    ratio: float = 0.9
    """Retries per request within the window."""
    slack: float = 50.0
    """Retries within the window in addition to the ratio."""
    window: float = 10.0
    """Length of the window in seconds."""

    def __post_init__(self) -> None:
        """Check the limits; raise ``ValueError`` with the field's name."""
        for name, valid, bound in (
            ("ratio", self.ratio >= 0.0, "not be negative"),
            ("slack", self.slack >= 0.0, "not be negative"),
            ("window", self.window > 0.0, "be above zero"),
        ):
            if not valid:
                value = getattr(self, name)
                raise ValueError(f"retries.{name} is {value} and must {bound}")


@dataclass(slots=True)
class ServiceAccount:
    """One gateway's use of a service's budget."""

    credit: float
    """Retries that may be drawn from the shared part."""
    requests: deque[float] = field(default_factory=deque)
    """Times of callers' requests within the window."""
    retries: deque[float] = field(default_factory=deque)
    """Times at which retries within the window were sent."""
    reserved: int = 0
    """Retries that may be sent at any moment."""
    credited_at: float = -math.inf
    """Time of the last credit."""

    @property
    def used(self) -> int:
        """Retries within the window, with those that may be sent at any moment."""
        return len(self.retries) + self.reserved


@dataclass(slots=True)
class RetryTable:
    """This gateway's accounts by service, and the other gateways' counts."""

    accounts: dict[str, ServiceAccount] = field(default_factory=dict)
    others: dict[str, ServiceRepeats] = field(default_factory=dict)
    """Totals of the other gateways, by service."""
    others_at: float = -math.inf
    """Time at which the totals were received."""
    is_partial: bool = False
    """Whether the totals miss retries of processes that have ended."""
    earlier: dict[str, ServiceRepeats] = field(default_factory=dict)
    """The last totals of the others that missed none."""
    earlier_at: float = -math.inf
    """Time at which these were received."""
    late: float = 0.0
    """Seconds by which a part of the totals may have been late."""
    gateways: int = 1
    """Gateways that share the budget."""
    began_at: float = -math.inf
    """Start time of this gateway."""
    initial_credit: float = 0.5
    """Initial credit, chosen at random below 1. With equal values all gateways would
    reach the credit of a whole retry at the same time, or none of them ever."""


def find_account(table: RetryTable, service: str, since: float) -> ServiceAccount:
    """Return a service's account after removing entries older than ``since``."""
    account = table.accounts.get(service)
    if account is None:
        account = table.accounts[service] = ServiceAccount(credit=table.initial_credit)

    for times in (account.requests, account.retries):
        while times and times[0] < since:
            times.popleft()

    return account


def record_request(
    table: RetryTable, service: str, now: float, limits: RetryLimits
) -> None:
    """Record a caller's request."""
    find_account(table, service, now - limits.window).requests.append(now)


def record_retry(
    table: RetryTable, service: str, now: float, limits: RetryLimits
) -> None:
    """Record a retry that is sent at once."""
    reserve_retry(table, service, now, limits)
    record_reserved_retry(table, service, now, limits)


def reserve_retry(
    table: RetryTable, service: str, now: float, limits: RetryLimits
) -> None:
    """Reserve a retry, and charge it to the credit if the own part is used up."""
    account = find_account(table, service, now - limits.window)
    before = count_drawn(table, account, limits, now)
    account.reserved += 1
    drawn = count_drawn(table, account, limits, now) - before
    account.credit = max(account.credit - drawn, 0.0)


def record_reserved_retry(
    table: RetryTable, service: str, now: float, limits: RetryLimits
) -> None:
    """Record that a reserved retry is sent; its window begins now."""
    account = find_account(table, service, now - limits.window)
    account.reserved -= 1
    account.retries.append(now)


def release_retry(
    table: RetryTable, service: str, now: float, limits: RetryLimits
) -> None:
    """Release a reserved retry that is not sent, and return its credit."""
    account = find_account(table, service, now - limits.window)
    before = count_drawn(table, account, limits, now)
    account.reserved -= 1
    account.credit += before - count_drawn(table, account, limits, now)


def list_retries(
    table: RetryTable, limits: RetryLimits, now: float
) -> tuple[ServiceRepeats, ...]:
    """Return this gateway's counts by service, to be reported to the others."""
    counts = (count_own(table, service, limits, now) for service in table.accounts)
    return tuple(one for one in counts if one.requests or one.repeats)


def count_requests(
    table: RetryTable, service: str, limits: RetryLimits, gateways: int, now: float
) -> float:
    """Return the callers' requests for a service at all gateways within the window.

    Without recent totals, each other gateway is assumed to have as many as this one.
    """
    own = len(find_account(table, service, now - limits.window).requests)
    if now - table.others_at > MAX_TOTAL_AGE_SECONDS or service not in table.others:
        return own * gateways

    return own + table.others[service].requests


def count_own(
    table: RetryTable, service: str, limits: RetryLimits, now: float
) -> ServiceRepeats:
    """Return this gateway's counts of a service within the window."""
    account = find_account(table, service, now - limits.window)
    return ServiceRepeats(
        service,
        len(account.requests),
        account.used,
        round(count_drawn(table, account, limits, now), 2),
        count_slack_shares(table, limits, now),
    )


def count_slack_shares(table: RetryTable, limits: RetryLimits, now: float) -> int:
    """Return this gateway's shares of the slack: none in the first window, then one.

    After a restart a gateway does not know the retries that it has sent, and would use
    its share of the slack twice within a window.
    """
    return int(now - table.began_at >= limits.window)


def count_allowance(
    table: RetryTable, account: ServiceAccount, limits: RetryLimits, now: float
) -> float:
    """Return the retries that this gateway's requests and share of the slack allow."""
    slack = limits.slack / table.gateways * count_slack_shares(table, limits, now)
    return limits.ratio * len(account.requests) + slack


def count_drawn(
    table: RetryTable, account: ServiceAccount, limits: RetryLimits, now: float
) -> float:
    """Return the retries in the window that this gateway's own part does not cover."""
    own_part = FAILURE_PART * (1.0 - SHARED_PART)
    allowance = count_allowance(table, account, limits, now)
    return max(account.used - own_part * allowance, 0.0)


def sum_retries(parts: Iterable[ServiceRepeats]) -> tuple[ServiceRepeats, ...]:
    """Return the sums of counts by service."""
    totals: dict[str, ServiceRepeats] = {}
    for part in parts:
        previous = totals.get(part.service, ServiceRepeats(part.service, 0, 0))
        totals[part.service] = ServiceRepeats(
            part.service,
            previous.requests + part.requests,
            previous.repeats + part.repeats,
            previous.drawn + part.drawn,
            previous.shares + part.shares,
            previous.former + part.former,
        )

    return tuple(totals.values())


def apply_retry_totals(
    table: RetryTable,
    total: Iterable[ServiceRepeats],
    reported: Iterable[ServiceRepeats],
    now: float,
    *,
    late: float = 0.0,
    is_partial: bool = False,
) -> None:
    """Store the totals over all gateways, less what they include of this gateway.

    ``late`` is the number of seconds by which a part of the totals may be late, and
    ``is_partial`` says that they miss a part of the window.
    """
    own_counts = {one.service: one for one in reported}
    table.others = {}
    for one in total:
        own = own_counts.get(one.service, ServiceRepeats(one.service, 0, 0))
        table.others[one.service] = ServiceRepeats(
            one.service,
            max(one.requests - own.requests, 0),
            max(one.repeats - own.repeats, 0),
            max(one.drawn - own.drawn, 0),
            max(one.shares - own.shares, 0),
            one.former,
        )

    table.others_at = now
    table.late = late
    table.is_partial = is_partial
    if not is_partial:
        table.earlier, table.earlier_at = table.others, now


def find_others(
    table: RetryTable, service: str, limits: RetryLimits, now: float
) -> ServiceRepeats:
    """Return the other gateways' counts of a service.

    Where the totals miss a part of the window, what was known before the loss counts
    until it has left the window, and requests of ended gateways allow no retries.
    """
    known = table.others.get(service, ServiceRepeats(service, 0, 0))
    one = add_unreported(known, limits)
    if table.is_partial:
        one = msgspec.structs.replace(one, former=0)

    if not table.is_partial or now - table.earlier_at > limits.window:
        return one

    before = table.earlier.get(service, one)
    return ServiceRepeats(
        service,
        one.requests,
        max(one.repeats, before.repeats),
        max(one.drawn, before.drawn),
        one.shares,
        one.former,
    )


def add_unreported(one: ServiceRepeats, limits: RetryLimits) -> ServiceRepeats:
    """Return counts with the retries that ended processes may not have reported."""
    if not one.former:
        return one

    unreported = estimate_unreported(one.former, UNREPORTED_SECONDS, limits.window)
    return msgspec.structs.replace(
        one,
        repeats=one.repeats + math.ceil(unreported),
        drawn=one.drawn + unreported,
    )


def estimate_unreported(former: int, seconds: float, window: float) -> float:
    """Return the most retries that ended processes sent in the time not reported.

    ``former`` is their requests within the window.
    """
    return UNREPORTED_RETRIES * seconds / window * former


def knows_window(table: RetryTable, limits: RetryLimits, now: float) -> bool:
    """Return whether all retries that this gateway has sent in the window are known.

    Its earlier process may have sent some, of which only controls know. Whole totals
    have told of them, and count until the window is over.
    """
    was_told = table.earlier_at > -math.inf
    return was_told or now - table.began_at >= limits.window


def may_retry(
    table: RetryTable,
    service: str,
    limits: RetryLimits,
    *,
    part: float,
    gateways: int,
    now: float,
    is_choice: bool = False,
) -> bool:
    """Return whether the given part of the budget, 0 to 1, allows one more retry.

    ``is_choice`` says that the retry follows a good response: a service that fails, and
    may have used up the budget, gives none.
    """
    table.gateways = max(gateways, 1)
    if not (is_choice or knows_window(table, limits, now)):
        return False

    account = find_account(table, service, now - limits.window)
    allowance = count_allowance(table, account, limits, now)
    retries = account.used + 1
    own_part = part * (1.0 - SHARED_PART) * allowance
    others = find_others(table, service, limits, now)
    if now - table.others_at > MAX_TOTAL_AGE_SECONDS:
        left = estimate_left(table, others, allowance, limits, part, now)
        return retries <= own_part + left

    if retries + others.repeats > part * sum_allowed(account, others, limits):
        return False

    if retries <= own_part:
        return True

    accrue_credit(table, account, others, limits, now)
    return account.credit >= 1.0


def sum_allowed(
    account: ServiceAccount, others: ServiceRepeats, limits: RetryLimits
) -> float:
    """Return the retries that the budget allows all gateways within the window."""
    running = len(account.requests) + others.requests
    return limits.ratio * (running + FORMER_PART * others.former) + limits.slack


def estimate_left(
    table: RetryTable,
    others: ServiceRepeats,
    allowance: float,
    limits: RetryLimits,
    part: float,
    now: float,
) -> float:
    """Return this gateway's share of the shared part, without recent totals.

    What the others had drawn by the last ones is in the window for as long as that.
    """
    if now - table.others_at > limits.window:
        return part * SHARED_PART * allowance

    total = sum_allowances(table, others, allowance, limits)
    left = max(part * SHARED_PART * total - others.drawn, 0.0)
    return left * allowance / total if total > 0.0 else 0.0


def sum_allowances(
    table: RetryTable, others: ServiceRepeats, allowance: float, limits: RetryLimits
) -> float:
    """Return the allowances of all gateways, of which one is given."""
    slack = limits.slack * min(others.shares / table.gateways, 1.0)
    return allowance + limits.ratio * others.requests + slack


def count_former_allowance(
    table: RetryTable, others: ServiceRepeats, limits: RetryLimits, now: float
) -> float:
    """Return the retries that the requests of ended gateways allow.

    That includes the slack of gateways in their first window.
    """
    if not others.former:
        return 0.0

    shares = count_slack_shares(table, limits, now) + others.shares
    slack = limits.slack * max(1.0 - shares / table.gateways, 0.0)
    return limits.ratio * FORMER_PART * others.former + slack


def accrue_credit(
    table: RetryTable,
    account: ServiceAccount,
    others: ServiceRepeats,
    limits: RetryLimits,
    now: float,
) -> None:
    """Add this gateway's part of what may be drawn since the last credit.

    If a service fails at all gateways at once and credit were not limited over time,
    each gateway would use up what the last totals leave, and together they would send
    many times that.
    """
    allowance = count_allowance(table, account, limits, now)
    total_allowance = sum_allowances(table, others, allowance, limits)
    former = count_former_allowance(table, others, limits, now)
    allowance += former / table.gateways
    total_allowance += former
    if total_allowance <= 0.0:
        return

    drawn = count_drawn(table, account, limits, now) + others.drawn
    remainder = FAILURE_PART * SHARED_PART * total_allowance - drawn
    if former:
        # Ended gateways may have used less than their own parts, or more.
        used = account.used + others.repeats
        left = FAILURE_PART * sum_allowed(account, others, limits) - used
        remainder = min(remainder, left)

    remainder = max(remainder, 0.0)
    own_remainder = remainder * allowance / total_allowance
    # Without newer totals the remainder is not known any more.
    valid_until = min(now, table.others_at + TOTAL_VALID_SECONDS)
    draw_seconds = DRAW_SECONDS + LATE_DRAW_FACTOR * table.late
    # What is drawn at once is known to the others only as late as the totals are.
    elapsed = min(max(valid_until - account.credited_at, 0.0), DRAW_SECONDS)
    most = own_remainder * DRAW_SECONDS / draw_seconds
    account.credit = min(
        account.credit + own_remainder * elapsed / draw_seconds, max(most, 1.0)
    )
    account.credited_at = now
