"""Ratings summed over all entries, each entry's increments taken in once."""

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
"""Entries whose last sequence is remembered; those heard last."""

EvidenceKey = tuple[WorkspaceId, str, VersionId]
"""Workspace, kind of work, version."""


@dataclass(frozen=True, slots=True)
class Sender:
    """How far the increments of one entry were taken in."""

    incarnation: int
    sequence: int


@dataclass(slots=True)
class EvidenceTable:
    """Sums by (workspace, kind, version), and how far each entry was heard."""

    sums: dict[EvidenceKey, Evidence] = field(default_factory=dict)
    senders: dict[EntryId, Sender] = field(default_factory=dict)
    """By entry, the one heard longest ago first."""


def record_evidence(table: EvidenceTable, command: RecordEvidence) -> Recorded:
    """Add an entry's increments unless they were taken in before.

    An entry sends one set at a time and resends it under the same sequence until it
    is answered, so that a lower or equal sequence is always a repeat.
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
    """Return the order of increments: by incarnation, then by sequence."""
    return sender.incarnation, sender.sequence


def _add_row(table: EvidenceTable, row: Evidence) -> None:
    """Add one increment to its sum."""
    place = (row.workspace, row.kind, row.version)
    present = table.sums.get(place)
    if present is None:
        table.sums[place] = row
        return

    table.sums[place] = replace(
        present,
        rated=present.rated + row.rated,
        total=present.total + row.total,
        squares=present.squares + row.squares,
        sent=present.sent + row.sent,
        to_rate=present.to_rate + row.to_rate,
    )


def list_evidence(table: EvidenceTable) -> tuple[Evidence, ...]:
    """Return all sums, for the entries' version choice."""
    return tuple(table.sums.values())
