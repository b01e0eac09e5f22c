"""Outcomes of a gateway's requests, counted while a roll-out is in progress.

All versions of a service are counted from the moment at which the gateway learns of the
roll-out, so that their rates cover the same time. Requests that were sent before it are
not counted.

Times are divided by the slowness of the engine, so that a slow engine does not look
like a slow version.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING

from .messages import VersionEvidence
from .outcomes import find_bucket
from .pace_loads import find_cell


if TYPE_CHECKING:
    from collections.abc import Iterable

    from .messages import RolloutState
    from .outcomes import SparseHistogram


MAX_KINDS = 32
"""Kinds of requests of one version that are counted apart."""
MIN_PACE_EVENTS = 3
"""Events from which a stream has a pace."""
OTHER_KINDS = ""
"""Kind under which all further kinds are counted."""


class Ending(Enum):
    """How a request ended for which the version is accountable."""

    SUCCESS = "success"
    DROPPED = "dropped"
    """The gateway did not wait for the end of a successful response."""
    FAILURE = "failure"
    """The upstream responded with a failure of its own."""
    BREAK = "break"
    """The connection or the response broke off."""


@dataclass(slots=True, eq=False)
class Tally:
    """Outcomes of the requests of one kind that were sent to one version."""

    sent: int = 0
    answers: int = 0
    failures: int = 0
    breaks: int = 0
    crashes: int = 0
    """Breaks after which the upstream took no connection."""
    first_bytes: Counter[int] = field(default_factory=Counter)
    """Times to the first byte, by histogram bucket."""
    durations: Counter[int] = field(default_factory=Counter)
    """Times to the end of successful responses, by histogram bucket."""
    abandoned: Counter[int] = field(default_factory=Counter)
    """Waits of requests that ended without a first byte, by histogram bucket."""
    waiting: set[CountedRequest] = field(default_factory=set)
    """Running requests without a first byte."""
    paces: Counter[int] = field(default_factory=Counter)
    """Times per event of streams that ended, by histogram bucket."""
    loaded_paces: Counter[int] = field(default_factory=Counter)
    """The same by the load of the engine, too; see ``pace_loads``."""
    streaming: set[CountedRequest] = field(default_factory=set)
    """Running streams that have started."""


@dataclass(slots=True, eq=False)
class CountedRequest:
    """A request that was sent to an upstream and is counted."""

    tally: Tally
    sent_at: float
    streaming_since: float = 0.0
    """Time of a stream's first byte."""
    events: int = 0
    """Events of the stream so far."""
    pieces: int = 0
    """Pieces in which the events have arrived."""
    running: int = 0
    """Sum over the pieces of the requests that the engine was running."""
    slowness: float = 1.0
    """Duration factor of its engine, over the median of the engines of the version."""


@dataclass(slots=True)
class RolloutTally:
    """Outcomes of a service's requests since a roll-out became known."""

    ordered_at: float
    """Time of the order, which identifies the roll-out."""
    began_at: float
    """Time at which the roll-out became known, by the gateway's clock."""
    kinds: dict[tuple[str, str], Tally] = field(default_factory=dict)
    """Outcomes by version and kind of request."""


def follow_rollouts(
    tallies: dict[str, RolloutTally], rollouts: Iterable[RolloutState], now: float
) -> None:
    """Start to count for new roll-outs, and drop the counts of those that ended."""
    active = {
        one.service: one.ordered_at for one in rollouts if one.state == "in_progress"
    }
    for service, held in tuple(tallies.items()):
        if active.get(service) != held.ordered_at:
            del tallies[service]

    for service, ordered_at in active.items():
        tallies.setdefault(service, RolloutTally(ordered_at, now))


def find_tally(held: RolloutTally, version: str, kind: str) -> Tally:
    """Return the counts of a kind, or of the further kinds if there are too many."""
    known = held.kinds.get((version, kind))
    if known is not None:
        return known

    kinds = sum(of_version == version for of_version, _ in held.kinds)
    name = kind if kinds < MAX_KINDS else OTHER_KINDS
    return held.kinds.setdefault((version, name), Tally())


def record_sent(
    tallies: dict[str, RolloutTally],
    service: str,
    version: str,
    kind: str,
    now: float,
    *,
    slowness: float = 1.0,
) -> CountedRequest | None:
    """Count a request that is sent; return None without a roll-out of its service."""
    held = tallies.get(service)
    if held is None:
        return None

    tally = find_tally(held, version, kind)
    tally.sent += 1
    request = CountedRequest(tally, now, slowness=slowness)
    tally.waiting.add(request)
    return request


def record_first_byte(request: CountedRequest, now: float, *, success: bool) -> None:
    """Count the time to the first byte if the response is a success so far."""
    request.tally.waiting.discard(request)
    if success:
        request.tally.first_bytes[find_bucket(find_age(request, now))] += 1


def start_stream(request: CountedRequest, now: float) -> None:
    """Record that a response is a stream."""
    request.streaming_since = now
    request.tally.streaming.add(request)


def record_piece(request: CountedRequest, events: int, running: int) -> None:
    """Record the events of a stream so far, and the requests that its engine runs."""
    request.events = events
    request.pieces += 1
    request.running += running


def find_load(request: CountedRequest) -> float:
    """Return the mean number of requests that the engine of a stream ran."""
    return request.running / max(request.pieces, 1)


def has_pace(request: CountedRequest) -> bool:
    """Return whether a stream has enough events to tell how fast they come."""
    return request.events >= MIN_PACE_EVENTS


def find_pace(request: CountedRequest, now: float) -> float:
    """Return the time per event of a stream so far."""
    return (now - request.streaming_since) / request.events / request.slowness


def find_age(request: CountedRequest, now: float) -> float:
    """Return the time since a request was sent."""
    return (now - request.sent_at) / request.slowness


def stop_waiting(request: CountedRequest, now: float) -> None:
    """Count how long a request that ends has waited for its first byte, or its pace.

    The slowest responses are those that nobody waits for to the end.
    """
    tally = request.tally
    if request in tally.streaming:
        tally.streaming.discard(request)
        if has_pace(request):
            pace = find_pace(request, now)
            tally.paces[find_bucket(pace)] += 1
            tally.loaded_paces[find_cell(find_load(request), pace)] += 1

    if request in tally.waiting:
        tally.waiting.discard(request)
        tally.abandoned[find_bucket(find_age(request, now))] += 1


def record_ending(request: CountedRequest, ending: Ending, now: float) -> None:
    """Count the end of a request."""
    stop_waiting(request, now)
    tally = request.tally
    tally.answers += 1
    tally.failures += ending is Ending.FAILURE
    tally.breaks += ending is Ending.BREAK
    if ending is Ending.SUCCESS:
        tally.durations[find_bucket(find_age(request, now))] += 1


def drop_pace(request: CountedRequest) -> None:
    """Take a stream out of those whose pace is counted, as its caller sets it."""
    request.tally.streaming.discard(request)


def record_crash(request: CountedRequest) -> None:
    """Count the break of a request as that of an upstream that has ended."""
    request.tally.crashes += 1


def list_evidence(
    tallies: dict[str, RolloutTally], now: float
) -> tuple[VersionEvidence, ...]:
    """Return the counts for a report."""
    return tuple(
        VersionEvidence(
            service=service,
            version=version,
            answers=tally.answers,
            failures=tally.failures,
            ordered_at=held.ordered_at,
            age=now - held.began_at,
            kind=kind,
            sent=tally.sent,
            breaks=tally.breaks,
            crashes=tally.crashes,
            abandoned=pack_counts(tally.abandoned),
            first_bytes=pack_counts(tally.first_bytes),
            durations=pack_counts(tally.durations),
            waiting=pack_counts(
                Counter(find_bucket(find_age(one, now)) for one in tally.waiting)
            ),
            paces=pack_counts(tally.paces),
            pacing=pack_counts(
                Counter(
                    find_bucket(find_pace(one, now))
                    for one in tally.streaming
                    if has_pace(one)
                )
            ),
            loaded_paces=pack_counts(tally.loaded_paces),
            loaded_pacing=pack_counts(
                Counter(
                    find_cell(find_load(one), find_pace(one, now))
                    for one in tally.streaming
                    if has_pace(one)
                )
            ),
        )
        for service, held in tallies.items()
        for (version, kind), tally in held.kinds.items()
    )


def pack_counts(counts: Counter[int]) -> SparseHistogram:
    """Return the counts by bucket, in order."""
    return tuple(sorted(counts.items()))
