"""The table of upstreams, as their announcements tell it.

News of an upstream is ordered by incarnation, then by sequence: a heartbeat that was
held up by a partition may arrive after its sender has left or started anew.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec


if TYPE_CHECKING:
    from collections.abc import Iterable


TOMBSTONE_SECONDS = 60.0
"""How long an upstream that left is remembered, so that late news can't bring it back;
held-up heartbeats were seen tens of seconds late."""
MISSED_HEARTBEATS = 5.0
"""Heartbeats an upstream may miss before it gets no new work: a heartbeat may be
seconds late, and requests to a dead upstream fail fast by themselves."""


class UpstreamState(StrEnum):
    """What an upstream says of itself."""

    SERVING = "serving"
    LEAVING = "leaving"
    GONE = "gone"


class Announcement(msgspec.Struct, frozen=True, kw_only=True):
    """One piece of news about one upstream."""

    upstream: str
    service: str
    host: str
    port: int
    data_centre: str
    version: str
    slots: int
    state: UpstreamState
    incarnation: int
    """Start of the upstream, in milliseconds since the epoch by its own clock."""
    sequence: int
    """Counts the announcements of one incarnation."""
    models: tuple[str, ...] = ()
    warming: float = 0.0
    """Seconds for which it will still be slow after its start."""


@dataclass(slots=True)
class Upstream:
    """The latest announcement of an upstream, and when it came."""

    news: Announcement
    heard_at: float


@dataclass(slots=True)
class FleetTable:
    """All upstreams by id."""

    upstreams: dict[str, Upstream] = field(default_factory=dict)


def is_newer(news: Announcement, held: Announcement) -> bool:
    """Tell whether ``news`` comes after what is held; a leave ends an incarnation."""
    if news.incarnation != held.incarnation:
        return news.incarnation > held.incarnation

    if held.state is UpstreamState.GONE:
        return False

    return news.state is UpstreamState.GONE or news.sequence > held.sequence


def take_news(table: FleetTable, news: Announcement, now: float) -> bool:
    """Take news in; tell whether it changed what requests may use."""
    held = table.upstreams.get(news.upstream)
    if held is None:
        table.upstreams[news.upstream] = Upstream(news, now)
        return True

    if not is_newer(news, held.news):
        return False

    changed = describe(held.news) != describe(news)
    held.news = news
    held.heard_at = now
    return changed


def describe(news: Announcement) -> tuple[object, ...]:
    """Return what placing depends on, without the counters."""
    return (
        news.service,
        news.host,
        news.port,
        news.version,
        news.state,
        news.incarnation,
        news.models,
    )


def refresh(
    table: FleetTable, heard: Iterable[tuple[str, int, int]], now: float
) -> None:
    """Note that upstreams still sent heartbeats: id, incarnation, sequence."""
    for upstream, incarnation, sequence in heard:
        held = table.upstreams.get(upstream)
        if held is None or held.news.incarnation != incarnation:
            continue

        if held.news.state is not UpstreamState.GONE and sequence > held.news.sequence:
            held.news = msgspec.structs.replace(held.news, sequence=sequence)
            held.heard_at = now


def drop_tombstones(table: FleetTable, now: float) -> None:
    """Forget upstreams that left, or that nobody has heard of, long ago."""
    stale = [
        name
        for name, held in table.upstreams.items()
        if now - held.heard_at > TOMBSTONE_SECONDS
    ]
    for name in stale:
        del table.upstreams[name]


def list_serving(
    table: FleetTable, service: str, *, heard_after: float
) -> list[Announcement]:
    """Return the upstreams of a service that take work and were heard of lately.

    An address that two upstreams claim belongs to the one that started last: addresses
    of upstreams that crashed are used again.
    """
    newest: dict[tuple[str, int], Announcement] = {}
    for held in table.upstreams.values():
        news = held.news
        if news.state is UpstreamState.GONE:
            continue

        place = (news.host, news.port)
        known = newest.get(place)
        if known is None or news.incarnation > known.incarnation:
            newest[place] = news

    return [
        news
        for news in newest.values()
        if news.service == service
        and news.state is UpstreamState.SERVING
        and table.upstreams[news.upstream].heard_at >= heard_after
    ]
