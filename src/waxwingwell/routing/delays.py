"""A gateway's own delay, told by the connections that it opens and by its event loop.

If the link of a gateway is full, its connections to all upstreams are set up late,
while an upstream that is down or slow delays only its own. So the least of the recent
delays counts, as in CoDel: Nichols and Jacobson, "Controlling queue delay", ACM Queue
10 (2012). A link that is cut sets up no connection at all, and shows no delay.
Times are seconds.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field


WINDOW_SECONDS = 0.25
"""Seconds in which several connections have to be late."""
MIN_CONNECTS = 3
"""Connections in that time without which the link's delay is not known."""
MIN_UPSTREAMS = 2
"""Upstreams that these connections lead to at least."""
LATE_SECONDS = 0.05
"""Delay from which a gateway is late: several network delays between data centres."""
TURN_SECONDS = 0.05
"""Interval at which the event loop is timed."""
STRAIN_SECONDS = 1.0
"""Seconds after a delay in which it may come back at once."""
MIN_TURNS = 3
"""Late turns in a row after which the event loop is late for long."""
RETENTION_SECONDS = 10.0
"""Seconds for which delays are kept; longer than any time-out that they may excuse."""
ALIVE_SECONDS = 1.5
"""Seconds without a new connection after which the link counts as cut, not as full."""
DRAINED_PART = 0.75
"""Part of the upstreams that a drained link reaches at once; others may be down."""
EVIDENCE_PART = 0.25
"""Part of a time-out from which the gateway's own delay may have caused it."""


@dataclass(slots=True, eq=False)
class Connect:
    """A connection that is being opened."""

    upstream: str
    data_centre: str
    began_at: float


@dataclass(slots=True)
class DelayTable:
    """Delays of a gateway's connections and of its event loop."""

    usual: dict[str, float] = field(default_factory=dict)
    """Least seconds in which a connection was set up, by data centre."""
    connected: deque[tuple[float, str, float]] = field(default_factory=deque)
    """Time, upstream and delay of the latest connections that were set up."""
    connected_at: float = -math.inf
    """Time at which a connection was set up last."""
    received_at: float = -math.inf
    """Time at which an upstream sent anything last."""
    pending: set[Connect] = field(default_factory=set)
    turned_at: float = math.inf
    """Time of the last turn of the event loop that was timed."""
    turns: deque[float] = field(default_factory=lambda: deque(maxlen=MIN_TURNS))
    """Delays of the latest turns."""
    delay: float = 0.0
    """Present delay, as last measured."""
    late_at: float = -math.inf
    """Time at which the gateway was late last."""
    history: deque[tuple[float, float]] = field(default_factory=deque)
    """Times and amounts of recent delays that are certain."""


def record_connect(
    table: DelayTable, upstream: str, data_centre: str, now: float
) -> Connect:
    """Record that a connection is being opened."""
    connect = Connect(upstream, data_centre, now)
    table.pending.add(connect)
    return connect


def record_connected(table: DelayTable, connect: Connect, now: float) -> None:
    """Record that a connection was set up."""
    if connect not in table.pending:
        return

    table.pending.discard(connect)
    table.connected_at = now
    took = now - connect.began_at
    usual = min(table.usual.get(connect.data_centre, math.inf), took)
    table.usual[connect.data_centre] = usual
    table.connected.append((now, connect.upstream, took - usual))
    while table.connected[0][0] < now - WINDOW_SECONDS:
        table.connected.popleft()


def drop_connect(table: DelayTable, connect: Connect) -> None:
    """Forget a connection that has failed or is no longer wanted."""
    table.pending.discard(connect)


def record_turn(table: DelayTable, now: float) -> None:
    """Time a turn of the event loop, and measure the present delay."""
    late = max(now - table.turned_at - TURN_SECONDS, 0.0)
    table.turned_at = now
    table.turns.append(late)
    certain = max(late, measure_link_delay(table, now))
    if certain >= LATE_SECONDS:
        table.history.append((now, certain))

    while table.history and table.history[0][0] < now - RETENTION_SECONDS:
        table.history.popleft()

    link = measure_link_delay(table, now) or measure_pending_delay(table, now)
    table.delay = max(measure_loop_delay(table), link)
    if is_late(table):
        table.late_at = now


def measure_loop_delay(table: DelayTable) -> float:
    """Return the delay of the event loop that has lasted for several turns."""
    return min(table.turns) if len(table.turns) == MIN_TURNS else 0.0


def measure_link_delay(table: DelayTable, now: float) -> float:
    """Return the least delay of recent connections; 0 if there are too few."""
    found = list_recent(table, now)
    if len(found) < MIN_CONNECTS or len({one for one, _ in found}) < MIN_UPSTREAMS:
        return 0.0

    return min(late for _, late in found)


def measure_pending_delay(table: DelayTable, now: float) -> float:
    """Return a lower bound of the delay, by connections that are not set up yet.

    It tells of a full link sooner, but the link may also be cut.
    """
    if any(late < LATE_SECONDS for _, late in list_recent(table, now)):
        return 0.0

    ages: dict[str, float] = {}
    for one in table.pending:
        age = now - one.began_at
        ages[one.upstream] = max(ages.get(one.upstream, 0.0), age)

    oldest = sorted(ages.values(), reverse=True)
    return oldest[MIN_CONNECTS - 1] if len(oldest) >= MIN_CONNECTS else 0.0


def measure_queue(table: DelayTable, now: float) -> float:
    """Return the delay within which most upstreams are reached on new connections.

    It includes connections that are not set up yet, and counts the latest of each
    upstream. Unlike the least delay, it is small only if the link is drained.
    """
    longest: dict[str, float] = {}
    for upstream, late in (*list_recent(table, now), *list_pending(table, now)):
        longest[upstream] = max(longest.get(upstream, 0.0), late)

    ranked = sorted(longest.values())
    return ranked[math.ceil(DRAINED_PART * len(ranked)) - 1] if ranked else 0.0


def list_pending(table: DelayTable, now: float) -> list[tuple[str, float]]:
    """Return the upstreams and delays so far of connections that are not set up yet."""
    return [
        (one.upstream, now - one.began_at - table.usual.get(one.data_centre, 0.0))
        for one in table.pending
    ]


def list_recent(table: DelayTable, now: float) -> list[tuple[str, float]]:
    """Return the upstreams and delays of recent connections."""
    since = now - WINDOW_SECONDS
    return [(one, late) for at, one, late in table.connected if at >= since]


def is_late(table: DelayTable) -> bool:
    """Return whether the gateway is at the limit of its link or its processor."""
    return table.delay >= LATE_SECONDS


def is_strained(table: DelayTable, now: float) -> bool:
    """Return whether the gateway is or was late a moment ago.

    It then does no work that its callers can do without.
    """
    return now - table.late_at < STRAIN_SECONDS


def explains_timeout(table: DelayTable, timeout: float, now: float) -> bool:
    """Return whether a time-out that ends now may be due to this gateway alone.

    It then says nothing about the other side.
    """
    least = EVIDENCE_PART * timeout
    overdue = now - table.turned_at - TURN_SECONDS
    if overdue >= least:
        return True

    since = now - timeout
    if any(delay >= least for at, delay in table.history if at >= since):
        return True

    return table.delay >= least and is_link_alive(table, now)


def is_link_alive(table: DelayTable, now: float) -> bool:
    """Return whether upstreams were heard, and connected to, a short time ago.

    Old connections may live on while new ones are cut off.
    """
    is_heard = now - table.received_at <= WINDOW_SECONDS
    return is_heard and now - table.connected_at <= ALIVE_SECONDS
