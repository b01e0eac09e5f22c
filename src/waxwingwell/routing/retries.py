"""Whether a request may be sent to another upstream.

All gateways share one budget: per service, repeats within a window may be a share of
the requests, plus some slack. Half of what a gateway's own requests and its share of
the slack allow is its own; it needs no news to be kept. The other half is shared: what
is left of it is known from sums that are a fraction of a second old, and a gateway
draws on it no faster than in proportion to its part, so that all together can't use
the rest up before they hear of it. While no sum comes it keeps to its own part.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .load import FRESH_SECONDS
from .messages import ServiceRepeats


if TYPE_CHECKING:
    from collections.abc import Iterable


FAILURE_PART = 0.9
"""Part of the budget that repeats after failures may use; the rest covers gateways that
count fewer gateways than there are, and traffic that moves to other gateways."""
CHOICE_PART = 0.6
"""Part that we use of our own choice, as to ask a larger model. Failure: with one part
for both, larger models used the budget up, and streams that broke were not resumed."""
SHARED_PART = 0.5
"""Part of the budget on which all gateways draw."""
SUM_SECONDS = 0.5
"""Time for which a sum may be drawn on; the next should come after half of it."""
DRAW_SECONDS = 1.5
"""Time in which all gateways together may draw what is left of the shared part; sums
lag by a fraction of it."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Budget over all gateways."""

    ratio: float = 0.9
    """Repeats for each request within the window."""
    slack: float = 50.0
    window: float = 10.0
    """Seconds."""

    def __post_init__(self) -> None:
        """Check the limits; raises ``ValueError`` that names the field."""
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
    """What one gateway has used of a service's budget."""

    credit: float
    """Repeats that may be drawn from the shared part."""
    requests: deque[float] = field(default_factory=deque)
    """When callers' requests came."""
    repeats: deque[float] = field(default_factory=deque)
    """When repeats were sent."""
    credited_at: float = -math.inf


@dataclass(slots=True)
class RetryTable:
    """Accounts by service, and what the other gateways count."""

    accounts: dict[str, ServiceAccount] = field(default_factory=dict)
    others: dict[str, ServiceRepeats] = field(default_factory=dict)
    """Counts of the other gateways."""
    others_at: float = -math.inf
    """When they came."""
    gateways: int = 1
    """Gateways that share the budget."""
    began_at: float = -math.inf
    """When this gateway started."""
    phase: float = 0.5
    """Credit to begin with, drawn at random below 1. Failure: all gateways would be
    credited a whole repeat at the same moment, or none of them ever."""


def find_account(table: RetryTable, service: str, since: float) -> ServiceAccount:
    """Return a service's account without what came before ``since``."""
    account = table.accounts.get(service)
    if account is None:
        account = table.accounts[service] = ServiceAccount(credit=table.phase)

    for times in (account.requests, account.repeats):
        while times and times[0] < since:
            times.popleft()

    return account


def note_request(
    table: RetryTable, service: str, now: float, limits: RetryLimits
) -> None:
    """Count a caller's request."""
    find_account(table, service, now - limits.window).requests.append(now)


def note_repeat(
    table: RetryTable, service: str, now: float, limits: RetryLimits
) -> None:
    """Count a send beyond the first of a request."""
    account = find_account(table, service, now - limits.window)
    before = count_drawn(table, account, limits, now)
    account.repeats.append(now)
    drawn = count_drawn(table, account, limits, now) - before
    account.credit = max(account.credit - drawn, 0.0)


def list_repeats(
    table: RetryTable, limits: RetryLimits, now: float
) -> tuple[ServiceRepeats, ...]:
    """Return our own counts by service, to be told to others."""
    counts = (count_own(table, service, limits, now) for service in table.accounts)
    return tuple(one for one in counts if one.requests or one.repeats)


def count_own(
    table: RetryTable, service: str, limits: RetryLimits, now: float
) -> ServiceRepeats:
    """Return our own counts of a service within the window."""
    account = find_account(table, service, now - limits.window)
    return ServiceRepeats(
        service,
        len(account.requests),
        len(account.repeats),
        round(count_drawn(table, account, limits, now), 2),
        count_shares(table, limits, now),
    )


def count_shares(table: RetryTable, limits: RetryLimits, now: float) -> int:
    """Return the shares of the slack that this gateway has: one, or none at first.

    Failure: a gateway starts anew and forgets the repeats that it has sent. Its share
    of the slack would be used twice within a window.
    """
    return int(now - table.began_at >= limits.window)


def count_earned(
    table: RetryTable, account: ServiceAccount, limits: RetryLimits, now: float
) -> float:
    """Return the repeats that our requests and our share of the slack allow."""
    slack = limits.slack / table.gateways * count_shares(table, limits, now)
    return limits.ratio * len(account.requests) + slack


def count_drawn(
    table: RetryTable, account: ServiceAccount, limits: RetryLimits, now: float
) -> float:
    """Return the repeats in the window that our own part does not cover."""
    own_part = FAILURE_PART * (1.0 - SHARED_PART)
    earned = count_earned(table, account, limits, now)
    return max(len(account.repeats) - own_part * earned, 0.0)


def add_repeats(parts: Iterable[ServiceRepeats]) -> tuple[ServiceRepeats, ...]:
    """Sum counts by service."""
    totals: dict[str, ServiceRepeats] = {}
    for part in parts:
        held = totals.get(part.service, ServiceRepeats(part.service, 0, 0))
        totals[part.service] = ServiceRepeats(
            part.service,
            held.requests + part.requests,
            held.repeats + part.repeats,
            held.drawn + part.drawn,
            held.shares + part.shares,
        )

    return tuple(totals.values())


def take_repeats(
    table: RetryTable,
    total: Iterable[ServiceRepeats],
    reported: Iterable[ServiceRepeats],
    now: float,
) -> None:
    """Take the counts of all gateways, less those that we reported ourselves."""
    ours = {one.service: one for one in reported}
    table.others = {}
    for one in total:
        mine = ours.get(one.service, ServiceRepeats(one.service, 0, 0))
        table.others[one.service] = ServiceRepeats(
            one.service,
            max(one.requests - mine.requests, 0),
            max(one.repeats - mine.repeats, 0),
            max(one.drawn - mine.drawn, 0),
            max(one.shares - mine.shares, 0),
        )

    table.others_at = now


def may_repeat(
    table: RetryTable,
    service: str,
    limits: RetryLimits,
    *,
    part: float,
    gateways: int,
    now: float,
) -> bool:
    """Tell whether a part of the budget allows one more send."""
    table.gateways = max(gateways, 1)
    account = find_account(table, service, now - limits.window)
    earned = count_earned(table, account, limits, now)
    repeats = len(account.repeats) + 1
    if now - table.others_at > FRESH_SECONDS:
        return repeats <= part * earned

    others = table.others.get(service, ServiceRepeats(service, 0, 0))
    requests = len(account.requests) + others.requests
    allowed = limits.ratio * requests + limits.slack
    if repeats + others.repeats > part * allowed:
        return False

    own_part = part * (1.0 - SHARED_PART) * earned
    if repeats <= own_part:
        return True

    add_credit(table, account, others, limits, now)
    return account.credit >= 1.0


def add_credit(
    table: RetryTable,
    account: ServiceAccount,
    others: ServiceRepeats,
    limits: RetryLimits,
    now: float,
) -> None:
    """Credit our part of what may be drawn since the last time.

    Failure: a service fails at all gateways at once. Each would use up what the last
    sum has left, and together they would send many times that.
    """
    earned = count_earned(table, account, limits, now)
    slack = limits.slack * min(others.shares / table.gateways, 1.0)
    earned_by_all = earned + limits.ratio * others.requests + slack
    if earned_by_all <= 0.0:
        return

    drawn = count_drawn(table, account, limits, now) + others.drawn
    left = max(FAILURE_PART * SHARED_PART * earned_by_all - drawn, 0.0)
    our_part = left * earned / earned_by_all
    # Without a newer sum what is left is not known any more.
    until = min(now, table.others_at + SUM_SECONDS)
    waited = min(max(until - account.credited_at, 0.0) / DRAW_SECONDS, 1.0)
    account.credit = min(account.credit + our_part * waited, max(our_part, 1.0))
    account.credited_at = now
