"""Counts of the bytes that a process sends and receives, by kind and place.

Connections add to plain integers, as a Prometheus counter takes a lock for each
increment; they are added to the metrics in periodic tasks.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum

from .metrics import BYTES


class TrafficKind(StrEnum):
    """What is at the other end of a connection."""

    CALLERS = "callers"
    UPSTREAMS = "upstreams"
    RELAYS = "relays"
    """Other gateways, in either direction."""
    CONTROLS = "controls"


class Place(StrEnum):
    """Whether the other end of a connection is in another data centre."""

    SAME = "false"
    OTHER = "true"
    UNKNOWN = "unknown"


@dataclass(slots=True)
class Traffic:
    """Bytes of connections of one kind to one place."""

    sent: int = 0
    received: int = 0
    recorded_sent: int = 0
    """Bytes that the metrics include already."""
    recorded_received: int = 0


@dataclass(slots=True)
class TrafficTable:
    """Bytes of all connections of a process."""

    counts: dict[tuple[TrafficKind, Place], Traffic] = field(default_factory=dict)


def find_traffic(table: TrafficTable, kind: TrafficKind, place: Place) -> Traffic:
    """Return the count for connections of a kind to a place."""
    key = (kind, place)
    found = table.counts.get(key)
    if found is None:
        found = table.counts[key] = Traffic()

    return found


def compare_places(own: str, other: str) -> Place:
    """Return the place of another end, by the names of the data centres."""
    return Place.SAME if own == other else Place.OTHER


def sum_bytes(table: TrafficTable) -> int:
    """Return the bytes sent and received since the start."""
    return sum(one.sent + one.received for one in table.counts.values())


def record_traffic(table: TrafficTable) -> None:
    """Add the bytes that are new since the last call to the metrics."""
    for (kind, place), one in table.counts.items():
        sent = one.sent - one.recorded_sent
        received = one.received - one.recorded_received
        one.recorded_sent = one.sent
        one.recorded_received = one.received
        BYTES.labels(kind.value, place.value, "sent").inc(sent)
        BYTES.labels(kind.value, place.value, "received").inc(received)
