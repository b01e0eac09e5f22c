"""Room of a service, and the part of it that one gateway may use.

Gateways know what the others run from totals that are a fraction of a second old. While
a service is short of room, a gateway starts only its part of the room that was free at
the last totals, and what its own requests free.
"""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .load import MAX_TOTAL_AGE_SECONDS
from .load import count_gateways
from .room import INTERVAL_SECONDS
from .room import LAG_SECONDS


if TYPE_CHECKING:
    from collections.abc import Iterable

    from .load import LoadTable
    from .messages import ServiceDemand
    from .messages import WorkspaceUse


SHORT_PART = 0.8
"""Part of the slots or of the memory from which a service is short of room."""
LEAST_BOUND = 0.85
"""Part of the slots and of the memory that the least urgent rank may fill. The rest is
reserved, so that urgent requests find room at once."""
FILL_PART = INTERVAL_SECONDS / LAG_SECONDS
"""Part of the free room that is used until the next totals, as what is started now is
included in all gateways' totals only with the third ones."""
FREED_SMOOTHING = 0.3
"""Weight of new totals in the moving average of the slots that are freed."""
MOST_URGENT = 0
LEAST_URGENT = 9
"""Greatest rank of urgency."""
MAX_COUNT = 1_000_000
"""Largest number of requests that is accepted from a report."""


@dataclass(frozen=True, slots=True)
class RoomPool:
    """Upstreams that some requests may use, and what the other gateways run there."""

    names: frozenset[str]
    slots: int
    """Slots of them all; 0 if one of them does not state any."""
    memory: int
    """Tokens of engine memory of them all; 0 if they are no engines."""
    others_running: int
    others_tokens: int


@dataclass(frozen=True, slots=True)
class EngineRoom:
    """Slots and memory of some upstreams against what runs there."""

    slots: int
    memory: int
    running: int
    """Requests of all gateways."""
    tokens: int
    """Tokens of memory that they need."""
    own_running: int
    own_tokens: int
    new_running: int = 0
    """Requests that this gateway runs more than at the last totals; negative if it
    runs fewer."""
    new_tokens: int = 0


@dataclass(frozen=True, slots=True)
class RankedDemand:
    """Demand for a service by rank, of one gateway and of the others."""

    own: Mapping[int, int]
    """Requests that waited at the last totals or have arrived since."""
    others: Mapping[int, int] = field(default_factory=dict)
    own_waiting: Mapping[int, int] = field(default_factory=dict)
    """Those of them that wait."""
    others_waiting: Mapping[int, int] = field(default_factory=dict)
    freed: float = 0.0
    """Slots that the others are expected to free until the next totals and not to use
    themselves."""

    def count(self, rank: int) -> int:
        """Return the requests of a rank at all gateways."""
        return self.own.get(rank, 0) + self.others.get(rank, 0)

    def count_more_urgent(self, rank: int) -> int:
        """Return the requests more urgent than a rank that wait at any gateway."""
        return sum(
            self.own_waiting.get(one, 0) + self.others_waiting.get(one, 0)
            for one in range(rank)
        )

    def find_share(self, rank: int) -> float:
        """Return this gateway's share of the requests that are as urgent as a rank."""
        own = sum(count for one, count in self.own.items() if one <= rank)
        others = sum(count for one, count in self.others.items() if one <= rank)
        return 1.0 if others <= 0 else own / (own + others)


@dataclass(slots=True)
class DemandTable:
    """What gateways run and want of services that are short, as of the last totals."""

    own: dict[str, tuple[int, int]] = field(default_factory=dict)
    """Requests and tokens of this gateway at the totals, by upstream."""
    others: dict[str, dict[int, int]] = field(default_factory=dict)
    """Requests of the other gateways that wait or have just arrived, by service and
    rank."""
    waiting: dict[str, dict[int, int]] = field(default_factory=dict)
    """Those of them that wait."""
    workspaces: dict[str, dict[str, int]] = field(default_factory=dict)
    """Running requests of the other gateways, by service and workspace."""
    freed: dict[str, float] = field(default_factory=dict)
    """Slots by service that the others free between two totals and do not use at
    once."""
    draw: float = 0.0
    """Random number from 0 to 1 that rounds parts until the next totals."""


def make_pool(
    upstreams: Iterable[tuple[str, int]], memory_tokens: int, load: LoadTable
) -> RoomPool:
    """Return the pool of some upstreams, given by id and slots.

    ``memory_tokens`` is the memory of one upstream. Without known slots nobody can tell
    whether a service is short, so it never counts as short.
    """
    slots = dict(upstreams)
    others = [load.others[name] for name in slots if name in load.others]
    return RoomPool(
        names=frozenset(slots),
        slots=sum(slots.values()) if all(one > 0 for one in slots.values()) else 0,
        memory=memory_tokens * len(slots),
        others_running=sum(one.running for one in others),
        others_tokens=sum(one.tokens for one in others),
    )


def measure_room(pool: RoomPool, load: LoadTable, demand: DemandTable) -> EngineRoom:
    """Return the room of a pool by the totals and this gateway's own requests."""
    own = [use for name, use in load.own.items() if name in pool.names]
    before = [use for name, use in demand.own.items() if name in pool.names]
    running = sum(use.running for use in own)
    tokens = sum(use.tokens for use in own)
    return EngineRoom(
        slots=pool.slots,
        memory=pool.memory,
        running=pool.others_running + running,
        tokens=pool.others_tokens + tokens,
        own_running=running,
        own_tokens=tokens,
        new_running=running - sum(count for count, _ in before),
        new_tokens=tokens - sum(amount for _, amount in before),
    )


def is_short(room: EngineRoom) -> bool:
    """Return whether so little room is left that requests have to be ordered."""
    if room.slots <= 0:
        return False

    if room.running > SHORT_PART * room.slots:
        return True

    return room.memory > 0 and room.tokens > SHORT_PART * room.memory


def find_bound(rank: int, least: int) -> float:
    """Return the part of slots and memory that a rank may fill.

    ``least`` is the least urgent rank in use.
    """
    if least <= MOST_URGENT:
        return 1.0

    return 1.0 - (1.0 - LEAST_BOUND) * min(rank, least) / least


def count_left(
    room: EngineRoom, demand: RankedDemand, *, rank: int, least: int, draw: float
) -> tuple[float, float]:
    """Return the slots and tokens that this gateway may still take for a rank.

    What its own requests have freed counts, with a probability that falls to 0 as more
    runs than the rank may fill; ``draw`` is the same until the next totals.
    """
    kept = draw <= find_reuse(room, rank, least)
    # Urgent requests may also take what less urgent ones of this gateway may.
    entitled = sum(
        count_part(room, demand, one, least)
        for one in demand.own
        if one <= rank or rank == MOST_URGENT
    )
    slots = entitled - (room.new_running if kept else max(room.new_running, 0))
    if room.memory <= 0:
        return slots, math.inf

    bound = find_bound(rank, least) * room.memory
    unused = bound - (room.tokens - room.new_tokens)
    tokens = find_fill_part(demand, rank) * max(unused, 0.0)
    if unused > 0.0:
        tokens += demand.freed * room.tokens / max(room.running, 1)

    used = room.new_tokens if kept else max(room.new_tokens, 0)
    return slots, tokens * demand.find_share(rank) - used


def count_part(room: EngineRoom, demand: RankedDemand, rank: int, least: int) -> float:
    """Return the slots that this gateway may take for one rank until the next totals.

    What more urgent requests of all gateways take is left to them.
    """
    own = demand.own.get(rank, 0)
    if own <= 0:
        return 0.0

    taken = 0.0
    for urgent in range(rank):
        left = count_fleet_part(room, demand, urgent, least) - taken
        taken += min(max(left, 0.0), demand.count(urgent))

    left = count_fleet_part(room, demand, rank, least) - taken
    return max(left, 0.0) * own / demand.count(rank)


def count_fleet_part(
    room: EngineRoom, demand: RankedDemand, rank: int, least: int
) -> float:
    """Return the slots that all gateways may take for a rank and more urgent ones."""
    free = max(find_free_slots(room, find_bound(rank, least)), 0.0)
    return find_fill_part(demand, rank) * free + demand.freed * find_reuse(
        room, rank, least
    )


def find_reuse(room: EngineRoom, rank: int, least: int) -> float:
    """Return the part of the freed slots that a rank may use again.

    It falls from 1 at the bound of the rank. A step would make all gateways stop at
    once, and start again at once.
    """
    free = find_free_slots(room, find_bound(rank, least))
    return min(max(1.0 + free / ((1.0 - LEAST_BOUND) * room.slots), 0.0), 1.0)


def find_fill_part(demand: RankedDemand, rank: int) -> float:
    """Return the part of the free room that is used until the next totals.

    The room reserved for the most urgent rank is there to be used at once.
    """
    return FILL_PART if demand.others and rank > MOST_URGENT else 1.0


def find_free_slots(room: EngineRoom, bound: float) -> float:
    """Return the slots that were free up to a bound at the last totals."""
    return bound * room.slots - (room.running - room.new_running)


def count_equal_part(
    room: EngineRoom, load: LoadTable, *, rank: int, least: int
) -> tuple[float, float]:
    """Return the slots and tokens left for a rank without recent totals.

    All gateways that were known recently get an equal part.
    """
    bound = find_bound(rank, least) / count_gateways(load)
    if room.memory <= 0:
        return bound * room.slots - room.own_running, math.inf

    return (
        bound * room.slots - room.own_running,
        bound * room.memory - room.own_tokens,
    )


def has_old_totals(load: LoadTable, now: float) -> bool:
    """Return whether this gateway had totals, and the last ones are too old to use."""
    return load.others_at > -math.inf and now - load.others_at > MAX_TOTAL_AGE_SECONDS


def fits(left: tuple[float, float], tokens: int, draw: float) -> bool:
    """Return whether one more request fits into what is left; ``draw`` rounds it.

    Without the draw, gateways whose part is below one request would never start any.
    """
    slots, memory = left
    if slots + draw < 1.0:
        return False

    return tokens <= 0 or memory / tokens + draw >= 1.0


def apply_demand(
    table: DemandTable,
    load: LoadTable,
    total: Iterable[ServiceDemand],
    reported: Iterable[ServiceDemand],
    draw: float,
) -> None:
    """Store the demand over all gateways, less what this gateway reported itself."""
    table.own = {name: (use.running, use.tokens) for name, use in load.own.items()}
    table.draw = draw
    table.others = {}
    table.waiting = {}
    known = {
        (one.service, one.rank): (one.requests, one.waiting, one.freed)
        for one in reported
    }
    freed: Counter[str] = Counter()
    for one in total:
        if not is_valid_demand(one):
            continue

        requests, waiting, own_freed = known.get((one.service, one.rank), (0, 0, 0))
        freed[one.service] += max(one.freed - own_freed, 0)
        if one.requests > requests:
            others = table.others.setdefault(one.service, {})
            others[one.rank] = one.requests - requests

        if one.waiting > waiting:
            others = table.waiting.setdefault(one.service, {})
            others[one.rank] = one.waiting - waiting

    table.freed = {
        service: smooth_freed(table.freed.get(service, 0.0), count)
        for service, count in freed.items()
    }


def smooth_freed(mean: float, count: int) -> float:
    """Return the moving average of the slots that are freed between two totals."""
    return mean + FREED_SMOOTHING * (count - mean)


def apply_workspaces(
    table: DemandTable,
    total: Iterable[WorkspaceUse],
    reported: Iterable[WorkspaceUse],
) -> None:
    """Store running requests by workspace, less what this gateway reported itself."""
    known = {(one.service, one.workspace): one.running for one in reported}
    table.workspaces = {}
    for one in total:
        if is_valid_use(one):
            count = one.running - known.get((one.service, one.workspace), 0)
            uses = table.workspaces.setdefault(one.service, {})
            uses[one.workspace] = max(count, 0)


def is_valid_demand(one: ServiceDemand) -> bool:
    """Return whether a reported demand is within bounds."""
    counts = (one.requests, one.waiting, one.freed)
    return MOST_URGENT <= one.rank <= LEAST_URGENT and all(
        0 <= count <= MAX_COUNT for count in counts
    )


def is_valid_use(one: WorkspaceUse) -> bool:
    """Return whether a reported use by a workspace is within bounds."""
    return 0 <= one.running <= MAX_COUNT
