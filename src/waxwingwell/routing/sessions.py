"""Which version sessions run on, at this gateway and at the others.

A session's requests reach any gateway. While a roll-out moves its first share, the
sessions of that share that are under way keep their version, so every gateway has to
know those that run at another one.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .rollouts import FIRST_SHARE
from .rollouts import KEEPING_SHARE
from .rollouts import hash_place
from .rollouts import share_of


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from .messages import RolloutState


MAX_SESSIONS = 4_000

Key = tuple[str, str]
"""Service and session."""


@dataclass(slots=True)
class SessionTable:
    """Sessions that ran at this gateway, and those that others told of."""

    last: OrderedDict[Key, tuple[str, float]] = field(default_factory=OrderedDict)
    """Version that a session ran on last, and when; the latest one at the end."""
    running: dict[Key, int] = field(default_factory=dict)
    """Requests under way."""
    kept: frozenset[int] = frozenset()
    """Places of sessions that any gateway runs on a former version."""
    heard: dict[float, int] = field(default_factory=dict)
    """By time of order of a move: place in the controls' log at which its first share
    was known here."""
    settled: set[float] = field(default_factory=set)
    """Moves whose first share every gateway knew before ``kept`` was told."""


def begin_session(
    table: SessionTable, service: str, session: str, version: str, now: float
) -> None:
    """Note that a request of a session is sent to a version."""
    key = (service, session)
    table.running[key] = table.running.get(key, 0) + 1
    note_session(table, key, version, now)


def end_session(
    table: SessionTable, service: str, session: str, version: str, now: float
) -> None:
    """Note that a request of a session is over."""
    key = (service, session)
    count = table.running.pop(key, 0) - 1
    if count > 0:
        table.running[key] = count

    note_session(table, key, version, now)


def note_session(table: SessionTable, key: Key, version: str, now: float) -> None:
    """Remember the version that a session ran on."""
    table.last[key] = (version, now)
    table.last.move_to_end(key)
    while len(table.last) > MAX_SESSIONS:
        table.last.popitem(last=False)


def find_last(table: SessionTable, key: Key, now: float) -> tuple[str, float] | None:
    """Return the version that a session ran on last here, and until when."""
    last = table.last.get(key)
    if last is None or key not in table.running:
        return last

    return last[0], now


def list_kept(
    table: SessionTable,
    rollouts: Iterable[RolloutState],
    session_life: float,
    now: float,
) -> tuple[int, ...]:
    """Return the places of sessions that keep their version in a move's first share."""
    early = {one.service: one for one in rollouts if is_early(one)}
    if not early:
        return ()

    places = set()
    for key in list_alive(table, session_life, now):
        service, session = key
        move = early.get(service)
        if move is None or key not in table.last:
            continue

        place = hash_place(move, session)
        if table.last[key][0] != move.target and share_of(place) < FIRST_SHARE:
            places.add(place)

    return tuple(places)


def list_alive(table: SessionTable, session_life: float, now: float) -> Iterator[Key]:
    """Yield the sessions whose next request would belong to one that ran here."""
    yield from table.running
    for key in reversed(table.last):
        if now - table.last[key][1] > session_life:
            return

        yield key


def is_early(rollout: RolloutState) -> bool:
    """Tell whether a move is in the part in which sessions keep their version."""
    return rollout.state == "in_progress" and rollout.share < KEEPING_SHARE


def note_moves(
    table: SessionTable, rollouts: Iterable[RolloutState], index: int
) -> None:
    """Remember at which place of the controls' log a move's share was known here."""
    begun = {
        one.ordered_at
        for one in rollouts
        if one.state == "in_progress" and one.share > 0.0
    }
    table.heard = {at: table.heard.get(at, index) for at in begun}
    table.settled &= begun


def take_kept(table: SessionTable, kept: Iterable[int], held: int) -> None:
    """Take the sessions that all gateways keep on a former version.

    ``held`` is the oldest place in the controls' log that one of them has reached.
    Failure: a gateway moves the first share before the others have told of their
    sessions, and one of these runs on the new version in between.
    """
    table.kept = frozenset(kept)
    table.settled |= {at for at, index in table.heard.items() if index <= held}
