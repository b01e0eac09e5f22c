"""Whether a request may be sent to another upstream.

All gateways draw on one budget: per service, repeats within a window may be a share of
the requests, plus some slack. Each gateway takes its part of the slack.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from dataclasses import field


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
    requests = table.requests.get(service, deque())
    repeats = table.repeats.get(service, deque())
    recent = sum(1 for at in requests if at >= now - limits.window)
    used = sum(1 for at in repeats if at >= now - limits.window)
    allowed = limits.ratio * recent + limits.slack / max(gateways, 1)
    return used + 1 <= part * allowed
