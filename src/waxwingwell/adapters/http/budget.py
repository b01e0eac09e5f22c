"""Memory and connections that a process spends on its peers, and their bounds.

Every byte that is held for a peer is counted once, in the holding of its connection.
When memory or connections run short, one rule decides who is given up first: whoever
takes up most and has not moved for longest, as long as it is the peer's turn to move.
A peer that waits for this system is never given up.
"""

from __future__ import annotations

import math
import resource
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from enum import IntEnum

from ...routing.gateway_room import MEMORY_PART
from ..events import log_event
from ..metrics import GIVEN_UP_CONNECTIONS


STALL_SECONDS = 1.0
"""Seconds without progress after which a peer counts as stalled: a lost packet takes
less."""
BUSY_SECONDS = 0.1
"""The same where more than the bound is held already."""
PROGRESS_BYTES = 16_384
"""Bytes of a body or response that count as progress; a few at a time do not."""
CONNECTION_BYTES = 12_288
"""Memory of a connection besides the bytes that are held for it."""
REQUEST_BYTES = 40_960
"""Memory of a request in progress and of its call to an upstream, besides their
bytes."""
OWN_BYTES = 1_048_576
"""Memory of connections and requests that belongs to the process itself: that of a
few is always there."""
HEADROOM_FACTOR = 3
"""Multiple of its own bytes that must be left free for a peer to hold more, so that
large bodies are refused before small ones."""
HEADROOM_PART = 0.25
"""Part of the memory that must be left free at most."""
GRACE_SECONDS = 0.1
"""Seconds for which a silent connection is kept before it may give way."""
MAX_ACCEPTS = 100
"""Most connections that are accepted in one turn of the event loop."""
OWN_DESCRIPTORS = 32
"""Descriptors for files, listening ports and links of a process."""
CONNECTIONS_PART = 0.75
"""Part of the other descriptors for connections that peers open."""
RELIEF_PART = 0.125
"""Part of the memory that is freed beyond what is needed, so that peers are compared
only now and then."""
COMPARE_SECONDS = 0.1
"""Least seconds between two comparisons of all peers that gave none up."""


class Standing(IntEnum):
    """Whose turn it is on a connection, in the order in which they are given up."""

    IDLE = 0
    """No request is in progress."""
    SENDING = 1
    """The peer has to send the rest of a request."""
    READING = 2
    """The peer has to read more of a response."""
    WAITING = 3
    """The peer waits for this system."""


class Shortage(Enum):
    """What a process lacks as it gives a connection up."""

    MEMORY = "memory"
    CONNECTIONS = "connections"


@dataclass(slots=True, eq=False)
class Holding:
    """What one connection takes up."""

    budget: Budget
    stand: Callable[[], Standing]
    give_up: Callable[[Shortage], None]
    """Ends the connection or its request, and stops to count what that holds."""
    moved_at: float
    """Time of the last progress."""
    size: int = 0
    """Bytes held."""
    moved: int = 0
    """Bytes that have moved since the last progress."""


@dataclass(slots=True)
class Budget:
    """What all connections of a process take up, and the bounds."""

    memory: float = 0.0
    """Most bytes that may be held; 0 without a bound."""
    max_connections: int = 0
    """Most connections of peers; 0 without a bound."""
    total: int = 0
    """Bytes held for all peers."""
    requests: int = 0
    """Requests in progress."""
    holdings: dict[Holding, None] = field(default_factory=dict)
    """Open connections, those first that have been silent for longest."""
    compared_at: float = -math.inf


def make_budget(memory_bytes: int) -> Budget:
    """Return the budget of a process with this memory; 0 if the memory is unknown."""
    return Budget(
        memory=memory_bytes * MEMORY_PART, max_connections=limit_connections()
    )


def limit_connections() -> int:
    """Return the most connections of peers by the limit on open descriptors."""
    soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft == resource.RLIM_INFINITY:
        return 0

    return max(int(CONNECTIONS_PART * (soft - OWN_DESCRIPTORS)), 1)


def open_holding(
    budget: Budget,
    stand: Callable[[], Standing],
    give_up: Callable[[Shortage], None],
    now: float,
) -> Holding:
    """Count a new connection."""
    holding = Holding(budget, stand, give_up, now)
    budget.holdings[holding] = None
    return holding


def close_holding(holding: Holding) -> None:
    """Stop to count a connection and what it holds."""
    if holding in holding.budget.holdings:
        del holding.budget.holdings[holding]
        holding.budget.total -= holding.size
        holding.size = 0
        # Otherwise the connection would be freed by the garbage collector only.
        holding.stand = lambda: Standing.WAITING
        holding.give_up = lambda _: None


def add_bytes(holding: Holding, count: int) -> None:
    """Count bytes that are held for a peer, or no longer if ``count`` is negative."""
    if holding in holding.budget.holdings:
        holding.size += count
        holding.budget.total += count


def record_moved(holding: Holding, count: int, now: float) -> None:
    """Record bytes that a peer has sent or read."""
    holding.moved += count
    if holding.moved >= PROGRESS_BYTES:
        record_progress(holding, now)


def record_progress(holding: Holding, now: float) -> None:
    """Record that a peer gets on, such as with a new request."""
    holding.moved = 0
    holding.moved_at = now
    holdings = holding.budget.holdings
    if holding in holdings:
        del holdings[holding]
        holdings[holding] = None


def count_used(budget: Budget) -> int:
    """Return the bytes that all peers take up."""
    connections = len(budget.holdings) * CONNECTION_BYTES
    overhead = connections + budget.requests * REQUEST_BYTES
    return budget.total + max(overhead - OWN_BYTES, 0)


def make_room(holding: Holding, now: float, expected: int = 0) -> bool:
    """Return whether a peer may hold more, after giving up others if need be.

    ``expected`` is the bytes that it has announced.
    """
    budget = holding.budget
    if fits(holding, expected):
        return True

    if now - budget.compared_at < COMPARE_SECONDS:
        return False

    is_over = count_used(budget) > budget.memory
    stalled = list_stalled(budget, BUSY_SECONDS if is_over else STALL_SECONDS, now)
    relief = RELIEF_PART * budget.memory
    for one in stalled:
        if fits(holding, expected + int(relief)):
            break

        if one is not holding:
            give_up(one, Shortage.MEMORY, now)

    if not fits(holding, expected):
        budget.compared_at = now
        return False

    return True


def fits(holding: Holding, expected: int) -> bool:
    """Return whether a peer may hold what it does, and ``expected`` bytes more."""
    budget = holding.budget
    if not budget.memory:
        return True

    size = holding.size + expected
    headroom = min(HEADROOM_FACTOR * size, HEADROOM_PART * budget.memory)
    return count_used(budget) + expected + headroom <= budget.memory


def list_stalled(budget: Budget, seconds: float, now: float) -> list[Holding]:
    """Return the peers that keep this system waiting, the most wasteful first."""
    stalled = [
        one
        for one in budget.holdings
        if now - one.moved_at >= seconds and one.stand() is not Standing.WAITING
    ]
    return sorted(stalled, key=lambda one: measure_waste(one, now), reverse=True)


def measure_waste(holding: Holding, now: float) -> float:
    """Return what a peer takes up without progress, in byte-seconds."""
    return (holding.size + CONNECTION_BYTES) * (now - holding.moved_at)


def count_acceptable(budget: Budget, now: float) -> int:
    """Return how many connections may be opened at once.

    A connection that may give way is kept for a moment, as its request may be on its
    way. Without any, one connection is accepted, to be closed at once.
    """
    if not budget.max_connections:
        return MAX_ACCEPTS

    free = budget.max_connections - len(budget.holdings)
    if free > 0:
        return min(free, MAX_ACCEPTS)

    replaceable = [one for one in budget.holdings if one.stand() < Standing.READING]
    silent = sum(now - one.moved_at >= GRACE_SECONDS for one in replaceable)
    return min(silent, MAX_ACCEPTS) if replaceable else 1


def admit_connection(budget: Budget, now: float) -> bool:
    """Return whether a connection may be opened, after giving up one if need be.

    Connections without a request go first, the one that has been silent for longest
    before the others.
    """
    if not budget.max_connections or len(budget.holdings) < budget.max_connections:
        return True

    chosen: Holding | None = None
    standing = Standing.READING
    for one in budget.holdings:
        stands = one.stand()
        if stands < standing:
            chosen, standing = one, stands

        if standing is Standing.IDLE:
            break

    if chosen is None:
        return False

    give_up(chosen, Shortage.CONNECTIONS, now)
    return True


def give_up(holding: Holding, cause: Shortage, now: float) -> None:
    """End a connection or its request for lack of memory or connections."""
    GIVEN_UP_CONNECTIONS.labels(cause.value).inc()
    log_event(
        "http: Connection given up",
        cause=cause.value,
        standing=holding.stand().name.lower(),
        size=holding.size,
        silent_ms=round((now - holding.moved_at) * 1000),
        held=holding.budget.total,
        connections=len(holding.budget.holdings),
    )
    holding.give_up(cause)
