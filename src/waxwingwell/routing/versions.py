"""Which upstreams a roll-out lets a request use.

Gateways agree without asking: a session's place is a hash against the share that the
roll-out has reached.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .rollouts import hash_share


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from .fleet import Announcement
    from .messages import RolloutState


MAX_SESSIONS = 4_000


@dataclass(slots=True)
class SessionTable:
    """The version that sessions ran on last at this gateway, and when."""

    last: OrderedDict[tuple[str, str], tuple[str, float]] = field(
        default_factory=OrderedDict
    )


def note_session(
    table: SessionTable, service: str, session: str, version: str, now: float
) -> None:
    """Remember the version that a session ran on."""
    key = (service, session)
    table.last[key] = (version, now)
    table.last.move_to_end(key)
    while len(table.last) > MAX_SESSIONS:
        table.last.popitem(last=False)


def list_allowed(
    upstreams: Sequence[Announcement],
    rollout: RolloutState | None,
    *,
    established: Mapping[str, str],
    session: str,
    last: tuple[str, float] | None,
    session_life: float,
    now: float,
    spent: Collection[str] = (),
) -> list[Announcement]:
    """Return the upstreams whose version a session may use.

    Without a roll-out only the established version is used: upstreams of another one
    may announce themselves before the order that names it is known here. While a move
    is under way, a request that can't use the upstreams in ``spent`` any more keeps the
    former version if they are all that the target has.
    """
    if not upstreams:
        return []

    if rollout is None:
        version = established.get(upstreams[0].service, "")
        same = [one for one in upstreams if one.version == version]
        return same or list(upstreams)

    target = [one for one in upstreams if one.version == rollout.target]
    former = [one for one in upstreams if one.version != rollout.target]
    if rollout.state == "completed":
        return target or former

    if rollout.state == "reverted":
        return former

    if all(one.upstream in spent for one in target):
        return former

    if moves(rollout, session, last, session_life, now):
        return target

    return former


def moves(
    rollout: RolloutState,
    session: str,
    last: tuple[str, float] | None,
    session_life: float,
    now: float,
) -> bool:
    """Tell whether a session uses the target of a move under way.

    While the share is small, a session that ran on the former version keeps it.
    """
    if hash_share(f"{rollout.ordered_at}/{session}") >= rollout.share:
        return False

    if rollout.share >= KEEPING_SHARE or last is None:
        return True

    version, at = last
    return version == rollout.target or now - at > session_life


KEEPING_SHARE = 0.2
"""Share from which on sessions under way move too: the second half of a move."""
