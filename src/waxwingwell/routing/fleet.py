"""Table of upstreams, built from their announcements.

Announcements of an upstream are ordered by incarnation, then by sequence number: a
heartbeat delayed by a partition may arrive after its sender has left or restarted.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable


TOMBSTONE_SECONDS = 60.0
"""Seconds for which an upstream that left is remembered, so that a late announcement
does not restore it; heartbeats have arrived tens of seconds late."""
MISSED_HEARTBEATS = 5.0
"""Heartbeats that an upstream may miss before it gets no new work. A heartbeat may be
seconds late, and requests to a dead upstream fail fast anyway."""
WARM_UP_TOLERANCE_SECONDS = 0.5
"""Change of the expected end of a warm-up that is not broadcast."""


class UpstreamState(StrEnum):
    """State that an upstream announces."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """State and address of one upstream at one time."""

    upstream: str
    service: str
    host: str
    port: int
    data_centre: str
    version: str
    slots: int
    state: UpstreamState
    incarnation: int
    """Start time of the upstream by its own clock, in milliseconds since the epoch."""
    sequence: int
    """Number of the announcement within its incarnation."""
    models: tuple[str, ...] = ()
    warming: float = 0.0
    """Seconds of warm-up left, during which the upstream is slow."""


@dataclass(slots=True)
class Upstream:
    """Latest announcement of an upstream, and when it or a heartbeat was received."""

    announcement: Announcement
    heard_at: float
    cold_until: float = -math.inf
    """End of its warm-up; the receiver's time plus the announced remaining time, so it
    is never too early."""


@dataclass(slots=True)
class FleetTable:
    """All upstreams by id."""

    upstreams: dict[str, Upstream] = field(default_factory=dict)


def is_newer(announcement: Announcement, held: Announcement) -> bool:
    """Return whether ``announcement`` is newer than the one held.

    After ``GONE`` nothing of the same incarnation is newer.
    """
    if announcement.incarnation != held.incarnation:
        return announcement.incarnation > held.incarnation

    if held.state is UpstreamState.GONE:
        return False

    return (
        announcement.state is UpstreamState.GONE
        or announcement.sequence > held.sequence
    )


def apply_announcement(
    table: FleetTable, announcement: Announcement, now: float
) -> bool:
    """Apply an announcement; return whether it has to be broadcast.

    It has if the upstream is new or a field of ``list_broadcast_fields`` has changed.
    """
    held = table.upstreams.get(announcement.upstream)
    if held is None:
        table.upstreams[announcement.upstream] = Upstream(
            announcement, now, find_warm_up_end(announcement, now)
        )
        return True

    if not is_newer(announcement, held.announcement):
        return False

    cold_until = find_warm_up_end(announcement, now)
    changed = list_broadcast_fields(held.announcement) != list_broadcast_fields(
        announcement
    ) or is_warm_up_changed(held.cold_until, cold_until, now)
    held.announcement = announcement
    held.heard_at = now
    held.cold_until = cold_until
    return changed


def find_warm_up_end(announcement: Announcement, now: float) -> float:
    """Return the time at which an upstream is warm, according to an announcement."""
    return now + announcement.warming if announcement.warming > 0 else -math.inf


def is_warm_up_changed(held_until: float, cold_until: float, now: float) -> bool:
    """Return whether an upstream is cold contrary to what is known, or the reverse."""
    if (held_until > now) != (cold_until > now):
        return True

    return cold_until > max(held_until, now) + WARM_UP_TOLERANCE_SECONDS


def describe_upstream(held: Upstream, now: float) -> Announcement:
    """Return an upstream's announcement with the warm-up that is left now."""
    if held.announcement.warming <= 0:
        return held.announcement

    warming = max(held.cold_until - now, 0.0)
    return msgspec.structs.replace(held.announcement, warming=warming)


def list_broadcast_fields(announcement: Announcement) -> tuple[object, ...]:
    """Return the fields whose change is broadcast at once.

    The sequence number and the remaining warm-up are left out, as they may change with
    every announcement; see ``is_warm_up_changed``.
    """
    return (
        announcement.service,
        announcement.host,
        announcement.port,
        announcement.version,
        announcement.state,
        announcement.incarnation,
        announcement.models,
    )


def apply_heartbeats(
    table: FleetTable, heard: Iterable[tuple[str, int, int]], now: float
) -> None:
    """Record heartbeats of upstreams: id, incarnation, sequence number."""
    for upstream, incarnation, sequence in heard:
        held = table.upstreams.get(upstream)
        if held is None or held.announcement.incarnation != incarnation:
            continue

        if (
            held.announcement.state is not UpstreamState.GONE
            and sequence > held.announcement.sequence
        ):
            held.announcement = msgspec.structs.replace(
                held.announcement, sequence=sequence
            )
            held.heard_at = now


def drop_tombstones(table: FleetTable, now: float) -> None:
    """Remove upstreams without an announcement or heartbeat for a long time."""
    stale = [
        name
        for name, held in table.upstreams.items()
        if now - held.heard_at > TOMBSTONE_SECONDS
    ]
    for name in stale:
        del table.upstreams[name]


def list_serving(
    table: FleetTable,
    service: str,
    *,
    heard_after: float,
    now: float,
    evacuated: Collection[str] = (),
) -> list[Announcement]:
    """Return the serving upstreams of a service that were heard after a given time.

    Upstreams in evacuated data centres are left out. ``warming`` is what is left now.
    If two upstreams announce the same address, only the one that started last is
    used: addresses of crashed upstreams are reused.
    """
    newest: dict[tuple[str, int], Announcement] = {}
    for held in table.upstreams.values():
        announcement = held.announcement
        if announcement.state is UpstreamState.GONE:
            continue

        address = (announcement.host, announcement.port)
        known = newest.get(address)
        if known is None or announcement.incarnation > known.incarnation:
            newest[address] = announcement

    return [
        describe_upstream(table.upstreams[announcement.upstream], now)
        for announcement in newest.values()
        if announcement.service == service
        and announcement.state is UpstreamState.SERVING
        and announcement.data_centre not in evacuated
        and table.upstreams[announcement.upstream].heard_at >= heard_after
    ]
