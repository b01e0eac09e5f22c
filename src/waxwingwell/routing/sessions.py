"""Versions that sessions use, at this gateway and at the others.

A session's requests may reach any gateway. During the first share of a roll-out, the
active sessions of that share keep their version, so each gateway has to know the
active sessions of the others.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .rollouts import MIGRATION_SHARE
from .rollouts import find_next_limit
from .rollouts import hash_session
from .rollouts import position_to_share


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Iterator

    from .messages import RolloutState


MAX_SESSIONS = 4_000

SessionKey = tuple[str, str]
"""Names of a service and a session."""


@dataclass(slots=True)
class SessionTable:
    """Sessions that used this gateway, and those that other gateways reported."""

    last: OrderedDict[SessionKey, tuple[str, float]] = field(
        default_factory=OrderedDict
    )
    """Last version of each session and time of its use, least recent first."""
    running: dict[SessionKey, int] = field(default_factory=dict)
    """Number of a session's requests in flight."""
    kept: frozenset[int] = frozenset()
    """Hash positions of sessions that any gateway keeps on a former version."""
    first_share_index: dict[float, int] = field(default_factory=dict)
    """Index in the controls' log at which this gateway learned of a roll-out's first
    share, by the time of its order."""
    settled: set[float] = field(default_factory=set)
    """Roll-outs, by the time of order, for which ``kept`` is complete: every gateway
    knew their first share before ``kept`` was reported."""


def start_session(
    table: SessionTable, service: str, session: str, version: str, now: float
) -> None:
    """Record that a session's request is sent to a version."""
    key = (service, session)
    table.running[key] = table.running.get(key, 0) + 1
    record_session(table, key, version, now)


def finish_session(
    table: SessionTable, service: str, session: str, version: str, now: float
) -> None:
    """Record that a session's request has ended."""
    key = (service, session)
    count = table.running.pop(key, 0) - 1
    if count > 0:
        table.running[key] = count

    record_session(table, key, version, now)


def record_session(
    table: SessionTable, key: SessionKey, version: str, now: float
) -> None:
    """Store a session's latest version, and evict the oldest sessions."""
    table.last[key] = (version, now)
    table.last.move_to_end(key)
    while len(table.last) > MAX_SESSIONS:
        table.last.popitem(last=False)


def find_last_version(
    table: SessionTable, key: SessionKey, now: float
) -> tuple[str, float] | None:
    """Return a session's last version at this gateway, and the time of its last use.

    That time is ``now`` while a request of the session is in flight.
    """
    last = table.last.get(key)
    if last is None or key not in table.running:
        return last

    return last[0], now


def list_kept_sessions(
    table: SessionTable,
    rollouts: Iterable[RolloutState],
    session_life: float,
    now: float,
) -> tuple[int, ...]:
    """Return hash positions of sessions that keep their version in an early share.

    Those of the next share are known before it is in use.
    """
    early = {one.service: one for one in rollouts if is_early(one)}
    if not early:
        return ()

    positions = set()
    for key in list_live_sessions(table, session_life, now):
        service, session = key
        rollout = early.get(service)
        if rollout is None or key not in table.last:
            continue

        position = hash_session(rollout, session)
        if table.last[key][0] != rollout.target and position_to_share(
            position
        ) < find_next_limit(rollout.share):
            positions.add(position)

    return tuple(positions)


def list_live_sessions(
    table: SessionTable, session_life: float, now: float
) -> Iterator[SessionKey]:
    """Yield the sessions that are still active at this gateway.

    A session is active while a request is in flight, and for ``session_life`` seconds
    after the last one; a request in that time belongs to the same session.
    """
    yield from table.running
    for key in reversed(table.last):
        if now - table.last[key][1] > session_life:
            return

        yield key


def is_early(rollout: RolloutState) -> bool:
    """Return whether active sessions still keep their version in a roll-out."""
    return rollout.state == "in_progress" and rollout.share < MIGRATION_SHARE


def record_rollouts(
    table: SessionTable, rollouts: Iterable[RolloutState], index: int
) -> None:
    """Record the index in the controls' log at which first shares became known."""
    active = {
        one.ordered_at
        for one in rollouts
        if one.state == "in_progress" and one.share > 0.0
    }
    table.first_share_index = {
        at: table.first_share_index.get(at, index) for at in active
    }
    table.settled &= active


def apply_kept_sessions(table: SessionTable, kept: Iterable[int], held: int) -> None:
    """Store the sessions that all gateways together keep on a former version.

    ``held`` is the lowest index in the controls' log among the gateways. A roll-out is
    settled only once all gateways have its first share: if a gateway moved that share
    before the others have reported their sessions, one of these could run on the new
    version in between.
    """
    table.kept = frozenset(kept)
    table.settled |= {
        at for at, index in table.first_share_index.items() if index <= held
    }
