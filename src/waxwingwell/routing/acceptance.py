"""Rate at which a gateway accepts connections, by its own delay.

The rate grows while it is used up and the gateway is not late, and falls by a factor
once it is. Connections beyond it are refused, so that their callers try another gateway
at once. What a request costs need not be known.

Connections are accepted in batches: the kernel refuses a connection cheaply only while
no socket listens. Those that it has set up when the port is closed have sent their
requests over the link for nothing, so that few are set up at the same time once the
gateway is late: a window, as in TCP, which the link's own pace then drains.
Times are seconds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from .delays import LATE_SECONDS


FIRST_RATE = 256.0
"""Connections per second accepted at first; a batch of them fills no link for long."""
MIN_RATE = 8.0
"""Lowest rate: a gateway that is ready always takes some connections."""
BATCH_SECONDS = 0.25
"""Seconds of the rate that are accepted at once."""
MIN_BATCH = 8.0
"""Smallest batch, so that most of the connections that are set up are accepted."""
FAST_DOUBLING_SECONDS = 0.5
"""Seconds in which the rate doubles while it is used up and was never too high."""
SLOW_DOUBLING_SECONDS = 4.0
"""The same soon after it was lowered."""
CAUTION_SECONDS = 2.0
"""Seconds for which a rate that was lowered grows slowly."""
DECREASE = 0.7
"""Factor of the rate when the gateway is late for long."""
SUSTAINED_SECONDS = 0.2
"""Seconds for which it is late until then, as a batch alone makes it late."""
DECREASE_SECONDS = 0.5
"""Least time between two decreases: the effect of one shows after a batch."""
MAX_WINDOW = 1_024.0
"""Most connections that the kernel sets up ahead."""
SETUP_SECONDS = 0.02
"""Seconds in which a connection is set up, between data centres as well."""
WINDOW_DOUBLING_SECONDS = 1.0
"""Seconds in which the window doubles while the gateway is not late."""
DRAIN_SECONDS = 0.15
"""Delay from which a batch is cut short."""
DRAINED_SECONDS = 0.02
"""Delay below which a batch may begin."""
MAX_PAUSE_SECONDS = 3.0
"""Longest time without a batch, also for a gateway that stays late."""


@dataclass(slots=True)
class AcceptTable:
    """The rate, and the connections that may be accepted now."""

    rate: float = FIRST_RATE
    tokens: float = FIRST_RATE * BATCH_SECONDS
    updated_at: float = -math.inf
    window: float = MAX_WINDOW
    """Connections that may be set up at the same time."""
    decreased_at: float = -math.inf
    late_since: float = math.inf
    """Time since which the gateway is late; infinite while it is not."""
    paused_at: float = math.inf
    """Time since which connections are refused; infinite while they are accepted."""


def take_connection(table: AcceptTable, now: float) -> bool:
    """Return whether a connection may be accepted; if so, record it."""
    if table.tokens < 1.0 or is_paused(table):
        return False

    table.tokens -= 1.0
    if table.tokens < 1.0:
        table.paused_at = now

    return True


def find_queue(table: AcceptTable) -> int:
    """Return the number of connections that the kernel may set up ahead."""
    return max(int(min(table.window, table.tokens)), 1)


def is_paused(table: AcceptTable) -> bool:
    """Return whether all connections are refused at present."""
    return table.paused_at < math.inf


def update_rate(table: AcceptTable, delay: float, queue: float, now: float) -> None:
    """Adapt the rate to the gateway's own delay, and start or end a batch.

    ``queue`` is the delay of most of its new connections, in seconds.
    """
    elapsed = min(now - table.updated_at, BATCH_SECONDS)
    table.updated_at = now
    if delay < LATE_SECONDS:
        table.late_since = math.inf
        grow_rate(table, elapsed, now)
        grow_window(table, elapsed)
    else:
        table.late_since = min(table.late_since, now)
        table.window = max(min(table.window, table.rate * SETUP_SECONDS), 1.0)
        if now - table.late_since >= SUSTAINED_SECONDS:
            decrease_rate(table, delay, now)

    batch = find_batch(table)
    table.tokens = min(table.tokens + table.rate * elapsed, batch)
    if not is_paused(table):
        if delay >= DRAIN_SECONDS:
            table.paused_at = now

        return

    is_ready = max(delay, queue) < DRAINED_SECONDS and table.tokens >= batch
    if is_ready or now - table.paused_at >= MAX_PAUSE_SECONDS:
        table.paused_at = math.inf


def grow_rate(table: AcceptTable, elapsed: float, now: float) -> None:
    """Raise the rate if it is used up; slowly if it was too high a moment ago."""
    if table.tokens >= find_batch(table) / 2:
        return

    is_near = now - table.decreased_at < CAUTION_SECONDS
    doubling = SLOW_DOUBLING_SECONDS if is_near else FAST_DOUBLING_SECONDS
    table.rate *= 2.0 ** (elapsed / doubling)


def grow_window(table: AcceptTable, elapsed: float) -> None:
    """Let more connections be set up at the same time."""
    growth = 2.0 ** (elapsed / WINDOW_DOUBLING_SECONDS)
    table.window = min(table.window * growth, MAX_WINDOW)


def find_batch(table: AcceptTable) -> float:
    """Return the number of connections that are accepted at once."""
    return max(table.rate * BATCH_SECONDS, MIN_BATCH)


def decrease_rate(table: AcceptTable, delay: float, now: float) -> None:
    """Lower the rate, unless that was done a moment ago."""
    if now - table.decreased_at >= max(DECREASE_SECONDS, 2.0 * delay):
        table.decreased_at = now
        table.rate = max(DECREASE * table.rate, MIN_RATE)
