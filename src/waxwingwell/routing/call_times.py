"""How long calls take at the upstreams of a service, as one gateway sees it.

A call that is given up and sent again is of use only if another upstream answers
sooner. If all upstreams are slow, sending calls again multiplies the load on them, and
no response is waited for until it arrives. So a call leaves its upstream only for one
that has answered a later call in less time, or that nothing is known against; for the
latter, one call at a time tries whether it does.

Times are kept by route, as the routes of a service may differ. Times are seconds.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterator


MEMORY_SECONDS = 10.0
"""Seconds for which a call's time is known: longer than calls of a route are apart."""
USUAL_FACTOR = 1.5
"""Multiple of the longest known time that a call may take: few of the times are known
where calls are rare."""
MAX_KNOWN_CALLS = 16
"""Calls whose times are known for each route and upstream."""


@dataclass(frozen=True, slots=True)
class CallTime:
    """The time of a call that has ended."""

    began_at: float
    ended_at: float
    is_answered: bool
    """Whether it ended with a response; it would have taken longer otherwise."""

    @property
    def seconds(self) -> float:
        """How long it took."""
        return self.ended_at - self.began_at


@dataclass(slots=True, eq=False)
class Call:
    """A call that was sent to an upstream and has no response yet."""

    route: str
    upstream: str
    began_at: float
    times: UpstreamTimes
    is_moved: bool = False
    """Whether it has left another upstream that had not answered in time."""


@dataclass(slots=True, eq=False)
class UpstreamTimes:
    """Calls of one route to one upstream."""

    pending: set[Call] = field(default_factory=set)
    recent: deque[CallTime] = field(default_factory=deque)


@dataclass(slots=True)
class CallTimeTable:
    """Times of calls by route and upstream."""

    routes: dict[str, dict[str, UpstreamTimes]] = field(default_factory=dict)


def begin_call(
    table: CallTimeTable,
    route: str,
    upstream: str,
    now: float,
    *,
    is_moved: bool = False,
) -> Call:
    """Record that a call is sent to an upstream."""
    upstreams = table.routes.setdefault(route, {})
    if upstream not in upstreams:
        upstreams[upstream] = UpstreamTimes()

    call = Call(route, upstream, now, upstreams[upstream], is_moved)
    call.times.pending.add(call)
    return call


def end_call(call: Call, now: float, *, is_answered: bool) -> None:
    """Record the end of a call, once."""
    times = call.times
    if call not in times.pending:
        return

    times.pending.discard(call)
    times.recent.append(CallTime(call.began_at, now, is_answered))
    if len(times.recent) > MAX_KNOWN_CALLS:
        times.recent.popleft()


def drop_call(call: Call) -> None:
    """Forget a call whose time says nothing about its upstream."""
    call.times.pending.discard(call)


def drop_expired_times(table: CallTimeTable, now: float) -> None:
    """Drop the upstreams and routes without a call that is known."""
    for route, upstreams in list(table.routes.items()):
        kept = {
            name: times
            for name, times in upstreams.items()
            if times.pending or any(list_recent(times, now))
        }
        table.routes[route] = kept
        if not kept:
            del table.routes[route]


def list_recent(times: UpstreamTimes, now: float) -> Iterator[CallTime]:
    """Yield the calls that ended within the memory."""
    since = now - MEMORY_SECONDS
    return (one for one in times.recent if one.ended_at >= since)


def find_longest(times: UpstreamTimes, now: float) -> float:
    """Return the longest known time of a call; 0 if none is known.

    Calls without a response count with what they have taken so far, and those that were
    given up with more, as they would have taken longer.
    """
    recent = (
        one.seconds if one.is_answered else one.seconds * USUAL_FACTOR
        for one in list_recent(times, now)
    )
    pending = (now - one.began_at for one in times.pending)
    return max((*recent, *pending), default=0.0)


def list_too_slow(
    table: CallTimeTable, route: str, now: float, remaining: float
) -> frozenset[str]:
    """Return the upstreams at which most calls of a route take longer than is left.

    Those that were given up may have taken any time.
    """
    return frozenset(
        name
        for name, times in table.routes.get(route, {}).items()
        if find_median(times, now) > remaining
    )


def find_median(times: UpstreamTimes, now: float) -> float:
    """Return the median time of the recent calls; 0 if none is known.

    It is infinite if most of them were given up.
    """
    seconds = sorted(
        one.seconds if one.is_answered else math.inf for one in list_recent(times, now)
    )
    return seconds[len(seconds) // 2] if seconds else 0.0


def list_faster(
    table: CallTimeTable,
    call: Call,
    candidates: Collection[str],
    now: float,
    remaining: float,
    *,
    may_try: bool,
) -> list[str]:
    """Return the candidates that probably answer sooner than a call's upstream does.

    ``remaining`` is the time left to the caller. With ``may_try``, and if nothing is
    known that speaks against it, these are candidates to be tried.
    """
    known = table.routes.get(call.route, {})
    waited = now - call.began_at
    others = [one for one in candidates if one != call.upstream]
    sound = [
        one
        for one in others
        if find_longest(known.get(one, UpstreamTimes()), now) < min(waited, remaining)
    ]
    proven = [one for one in sound if has_answered(known.get(one), call.began_at)]
    if proven:
        return proven

    if not may_try or remaining < waited or is_usual(table, call, now):
        return []

    if any(one.is_moved for times in known.values() for one in times.pending):
        return []

    return prefer_answering(known, others, sound, now)


def has_answered(times: UpstreamTimes | None, since: float) -> bool:
    """Return whether an upstream has answered a call that began since a time."""
    if times is None:
        return False

    return any(one.is_answered and one.began_at >= since for one in times.recent)


def is_usual(table: CallTimeTable, call: Call, now: float) -> bool:
    """Return whether responses of the route have lately taken as long as a call has."""
    waited = now - call.began_at
    return any(
        one.is_answered and one.seconds * USUAL_FACTOR >= waited
        for times in table.routes.get(call.route, {}).values()
        for one in list_recent(times, now)
    )


def prefer_answering(
    known: dict[str, UpstreamTimes],
    others: list[str],
    sound: list[str],
    now: float,
) -> list[str]:
    """Return the sound upstreams that have answered lately, or those to be tried.

    If another upstream is as slow as the call's, one of which nothing is known is
    probably slow as well.
    """
    since = now - MEMORY_SECONDS
    answering = [one for one in sound if has_answered(known.get(one), since)]
    if answering:
        return answering

    return sound if len(sound) == len(others) else []
