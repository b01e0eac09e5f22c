"""Demand of workspaces at other entries, so that limits apply to all entries."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from ..decisions.tables import WorkspaceDemand
from ..messages import SpreadDemand
from ..records import EntryId


if TYPE_CHECKING:
    from ..decisions.tables import Tables


DEMAND_TIMEOUT = 5.0
"""Seconds without a message after which an entry's demand is ignored."""

SENDER_RETENTION = 600.0
"""Seconds without a message after which an entry's last sequence is forgotten."""

MAX_SENDERS = 4096
"""Maximum entries tracked; beyond it the least recent ones are dropped."""


@dataclass(slots=True)
class EntryDemand:
    """The latest demand message of another entry."""

    message: SpreadDemand
    received_at: float


@dataclass(slots=True)
class DemandTable:
    """The latest message of each other entry, least recently received first."""

    rows: dict[EntryId, EntryDemand] = field(default_factory=dict)


def apply_demand(
    table: DemandTable, tables: Tables, message: SpreadDemand, now: float
) -> bool:
    """Store another entry's demand; return false if a newer message is stored."""
    row = table.rows.get(message.entry)
    if row is not None and _rank(message) <= _rank(row.message):
        return False

    table.rows.pop(message.entry, None)
    table.rows[message.entry] = EntryDemand(message, now)
    while len(table.rows) > MAX_SENDERS:
        del table.rows[next(iter(table.rows))]

    update_total_demand(table, tables, now)
    return True


def _rank(message: SpreadDemand) -> tuple[int, int]:
    """Return the sort key that orders messages of one entry."""
    return message.incarnation, message.sequence


def update_total_demand(table: DemandTable, tables: Tables, now: float) -> None:
    """Write the other entries' total demand into the tables; called on each tick.

    The demand of an entry that crashed or is partitioned off is ignored after
    ``DEMAND_TIMEOUT``, so that its last report doesn't block a workspace for good.
    """
    for demand in tables.demand.values():
        demand.other_entries_in_flight = 0
        demand.other_entries_rate = 0.0

    expired = []
    for entry, row in table.rows.items():
        idle = now - row.received_at
        if idle >= SENDER_RETENTION:
            expired.append(entry)

        if idle < DEMAND_TIMEOUT:
            _add_demand(tables, row.message)

    for entry in expired:
        del table.rows[entry]


def _add_demand(tables: Tables, message: SpreadDemand) -> None:
    """Add one entry's demand to the totals."""
    triples = zip(message.workspaces, message.in_flight, message.rates, strict=True)
    for workspace, in_flight, rate in triples:
        demand = tables.demand.setdefault(workspace, WorkspaceDemand())
        demand.other_entries_in_flight += in_flight
        demand.other_entries_rate += rate


def make_demand(
    tables: Tables, *, entry: EntryId, incarnation: int, sequence: int
) -> SpreadDemand:
    """Return this entry's own demand; ``sequence`` must increase with each message."""
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
