"""Demand of workspaces at the other entries, so that limits are shared."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..decisions.tables import WorkspaceDemand
from ..messages import SpreadDemand
from ..records import EntryId


if TYPE_CHECKING:
    from ..decisions.tables import Tables


DEMAND_KEPT = 5.0
"""Seconds after which a silent entry's demand no longer counts."""

SENDER_KEPT = 600.0
"""Seconds for which a silent entry's place in its sequence is remembered."""

MAX_SENDERS = 4096
"""Entries remembered; beyond it the one heard longest ago is dropped."""


@dataclass(slots=True)
class EntryDemand:
    """What one other entry last told of its workspaces."""

    message: SpreadDemand
    heard_at: float


@dataclass(slots=True)
class DemandMemory:
    """The last word of each other entry, the one heard longest ago first."""

    rows: dict[EntryId, EntryDemand] = field(default_factory=dict)


def take_demand(
    memory: DemandMemory, tables: Tables, message: SpreadDemand, now: float
) -> bool:
    """Take in another entry's demand; false if a newer one was heard before."""
    row = memory.rows.get(message.entry)
    if row is not None and _rank(message) <= _rank(row.message):
        return False

    memory.rows.pop(message.entry, None)
    memory.rows[message.entry] = EntryDemand(message, now)
    while len(memory.rows) > MAX_SENDERS:
        del memory.rows[next(iter(memory.rows))]

    sum_demand(memory, tables, now)
    return True


def _rank(message: SpreadDemand) -> tuple[int, int]:
    """Return the order of one entry's messages."""
    return message.incarnation, message.sequence


def sum_demand(memory: DemandMemory, tables: Tables, now: float) -> None:
    """Write the other entries' demand into the tables; to be run each tick.

    An entry that was cut off or died stops counting after ``DEMAND_KEPT``, so that
    what it last used doesn't block a workspace for good.
    """
    for demand in tables.demand.values():
        demand.elsewhere_in_flight = 0
        demand.elsewhere_rate = 0.0

    forgotten = []
    for entry, row in memory.rows.items():
        silent = now - row.heard_at
        if silent >= SENDER_KEPT:
            forgotten.append(entry)

        if silent < DEMAND_KEPT:
            _add_demand(tables, row.message)

    for entry in forgotten:
        del memory.rows[entry]


def _add_demand(tables: Tables, message: SpreadDemand) -> None:
    """Add one entry's demand to the sums."""
    triples = zip(message.workspaces, message.in_flight, message.rates, strict=True)
    for workspace, in_flight, rate in triples:
        demand = tables.demand.setdefault(workspace, WorkspaceDemand())
        demand.elsewhere_in_flight += in_flight
        demand.elsewhere_rate += rate


def make_demand(
    tables: Tables, *, entry: EntryId, incarnation: int, sequence: int
) -> SpreadDemand:
    """Return this entry's own demand; ``sequence`` must rise with each message."""
    busy = [
        (workspace, demand)
        for workspace, demand in tables.demand.items()
        if demand.in_flight or demand.rate > 0
    ]
    return SpreadDemand(
        entry=entry,
        incarnation=incarnation,
        sequence=sequence,
        workspaces=tuple(workspace for workspace, _ in busy),
        in_flight=tuple(demand.in_flight for _, demand in busy),
        rates=tuple(demand.rate for _, demand in busy),
    )
