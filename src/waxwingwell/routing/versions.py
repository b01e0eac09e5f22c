"""Which upstreams a roll-out lets a request use.

Gateways agree without asking: a session's place is a hash against the share that the
roll-out has reached.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .rollouts import KEEPING_SHARE
from .rollouts import hash_place
from .rollouts import share_of
from .sessions import is_early


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Mapping
    from collections.abc import Sequence

    from .fleet import Announcement
    from .messages import RolloutState


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
    kept: Collection[int] = (),
    settled: bool = True,
) -> list[Announcement]:
    """Return the upstreams whose version a session may use.

    Without a roll-out only the established version is used: upstreams of another one
    may announce themselves before the order that names it is known here. While a move
    is under way, a request that can't use the upstreams in ``spent`` any more keeps the
    former version if they are all that the target has. ``kept`` are the places of
    sessions that run on the former version at any gateway; unless ``settled``, these
    are not all known yet.
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

    if is_early(rollout) and not settled:
        return former

    if moves(rollout, session, last, session_life, now, kept):
        return target

    return former


def moves(
    rollout: RolloutState,
    session: str,
    last: tuple[str, float] | None,
    session_life: float,
    now: float,
    kept: Collection[int],
) -> bool:
    """Tell whether a session uses the target of a move under way.

    While the share is small, a session that runs on the former version keeps it.
    """
    place = hash_place(rollout, session)
    if share_of(place) >= rollout.share:
        return False

    if rollout.share >= KEEPING_SHARE:
        return True

    if place in kept:
        return False

    if last is None:
        return True

    version, at = last
    return version == rollout.target or now - at > session_life
