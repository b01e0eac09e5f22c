"""Ratings aggregated over all entries, counting each increment once."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

from ..messages import Recorded
from ..records import EntryId
from ..records import Evidence
from ..records import VersionId
from ..records import WorkspaceId


if TYPE_CHECKING:
    from ..messages import RecordEvidence


MAX_SENDERS = 4096
"""Maximum entries whose last sequence is kept; the least recent ones are dropped."""

EvidenceKey = tuple[WorkspaceId, str, VersionId]
"""Workspace, kind of work, version."""


@dataclass(frozen=True, slots=True)
class Sender:
    """Incarnation and sequence of the last increments applied from an entry."""

    incarnation: int
    sequence: int


@dataclass(slots=True)
class EvidenceTable:
    """Totals by (workspace, kind, version), and the last increments per entry."""

    totals: dict[EvidenceKey, Evidence] = field(default_factory=dict)
    senders: dict[EntryId, Sender] = field(default_factory=dict)
    """Last increments by entry, least recently received first."""


def record_evidence(table: EvidenceTable, command: RecordEvidence) -> Recorded:
    """Add an entry's increments unless they were applied before.

    An entry sends one set of increments at a time and resends it with the same sequence
    until it receives a response, so that a lower or equal sequence is always a
    duplicate.
    """
    sender = Sender(command.incarnation, command.sequence)
    last = table.senders.pop(command.entry, None)
    if last is not None and _rank(sender) <= _rank(last):
        table.senders[command.entry] = last
        return Recorded(changed=False)

    table.senders[command.entry] = sender
    while len(table.senders) > MAX_SENDERS:
        del table.senders[next(iter(table.senders))]

    for row in command.rows:
        _add_row(table, row)

    return Recorded(changed=True)


def _rank(sender: Sender) -> tuple[int, int]:
    """Return the sort key of increments: incarnation, then sequence."""
    return sender.incarnation, sender.sequence


def _add_row(table: EvidenceTable, row: Evidence) -> None:
    """Add one increment to its total."""
    key = (row.workspace, row.kind, row.version)
    existing = table.totals.get(key)
    if existing is None:
        table.totals[key] = row
        return

    table.totals[key] = replace(
        existing,
        rated=existing.rated + row.rated,
        total=existing.total + row.total,
        squares=existing.squares + row.squares,
        sent=existing.sent + row.sent,
        to_rate=existing.to_rate + row.to_rate,
    )


def list_evidence(table: EvidenceTable) -> tuple[Evidence, ...]:
    """Return all totals, which entries use to choose versions."""
    return tuple(table.totals.values())
