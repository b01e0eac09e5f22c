"""Whether a request may be sent to another upstream.

All gateways draw on one budget: per service, repeats within a window may be a share of
the requests, plus some slack. Each gateway knows its own counts and, through the
controls, the sum of the others'. While no sum comes it keeps to its own part.
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
count fewer gateways than there are."""
CHOICE_PART = 0.6
"""Part that we use of our own choice, as to ask a larger model. Failure: with one part
for both, larger models used the budget up, and streams that broke were not resumed."""


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """Budget over all gateways."""

    ratio: float = 0.9
    """Repeats for each request within the window."""
    slack: float = 50.0
    window: float = 10.0
    """Seconds."""


@dataclass(slots=True)
class RetryTable:
    """Times of requests and of repeats, by service."""

    requests: dict[str, deque[float]] = field(default_factory=dict)
    repeats: dict[str, deque[float]] = field(default_factory=dict)
    others: dict[str, ServiceRepeats] = field(default_factory=dict)
    """Counts of the other gateways."""
    others_at: float = -math.inf
    """When they came."""


def note_request(
    table: RetryTable, service: str, now: float, limits: RetryLimits
) -> None:
    """Count a caller's request."""
    append(table.requests.setdefault(service, deque()), now, limits.window)


def note_repeat(
    table: RetryTable, service: str, now: float, limits: RetryLimits
) -> None:
    """Count a send beyond the first of a request."""
    append(table.repeats.setdefault(service, deque()), now, limits.window)


def append(times: deque[float], now: float, window: float) -> None:
    """Add a time and drop those that left the window."""
    times.append(now)
    while times and times[0] < now - window:
        times.popleft()


def list_repeats(
    table: RetryTable, limits: RetryLimits, now: float
) -> tuple[ServiceRepeats, ...]:
    """Return our own counts by service, to be told to others."""
    counts = (count_own(table, service, limits, now) for service in table.requests)
    return tuple(one for one in counts if one.requests or one.repeats)


def count_own(
    table: RetryTable, service: str, limits: RetryLimits, now: float
) -> ServiceRepeats:
    """Return our own counts of a service within the window."""
    since = now - limits.window
    requests = sum(1 for at in table.requests.get(service, ()) if at >= since)
    repeats = sum(1 for at in table.repeats.get(service, ()) if at >= since)
    return ServiceRepeats(service, requests, repeats)


def add_repeats(parts: Iterable[ServiceRepeats]) -> tuple[ServiceRepeats, ...]:
    """Sum counts by service."""
    totals: dict[str, ServiceRepeats] = {}
    for part in parts:
        held = totals.get(part.service, ServiceRepeats(part.service, 0, 0))
        totals[part.service] = ServiceRepeats(
            part.service, held.requests + part.requests, held.repeats + part.repeats
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
        requests = max(one.requests - mine.requests, 0)
        repeats = max(one.repeats - mine.repeats, 0)
        table.others[one.service] = ServiceRepeats(one.service, requests, repeats)

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
    """Tell whether a part of the budget allows one more send.

    Failure: among hundreds of gateways each has a request a second. Kept to its own
    part of the budget, one whose callers need a repeat now is refused it, though the
    others use a fraction of theirs.
    """
    own = count_own(table, service, limits, now)
    if now - table.others_at > FRESH_SECONDS:
        allowed = limits.ratio * own.requests + limits.slack / max(gateways, 1)
        return own.repeats + 1 <= part * allowed

    others = table.others.get(service, ServiceRepeats(service, 0, 0))
    allowed = limits.ratio * (own.requests + others.requests) + limits.slack
    return own.repeats + others.repeats + 1 <= part * allowed
