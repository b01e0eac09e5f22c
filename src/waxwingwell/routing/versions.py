"""Upstreams that a request may use during a roll-out.

Gateways agree without communication, as each compares a session's hash with the share
of the roll-out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .rollouts import hash_session
from .rollouts import position_to_share
from .sessions import is_early


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from .fleet import Announcement
    from .messages import RolloutState


LEASE_SECONDS = 3.0
"""Seconds without a message of any control for which a share of a roll-out holds. A
gateway whose control stands still needs two to attach to another one; a version that is
rolled back must be left sooner than in five."""


def holds_lease(seen_at: float, now: float) -> bool:
    """Return whether a gateway may use the target of a roll-out in progress.

    ``seen_at`` is the time of the last message of any control: without one, the
    roll-out may have been rolled back in the meantime.
    """
    return now - seen_at <= LEASE_SECONDS


def list_allowed_upstreams(
    upstreams: Sequence[Announcement],
    rollout: RolloutState | None,
    *,
    current: str,
    session: str,
    last: tuple[str, float] | None,
    session_life: float,
    now: float,
    spent: Collection[str] = (),
    kept: Collection[int] = (),
    settled_share: float = 1.0,
    leased: bool = True,
    unreachable: Collection[str] = (),
) -> list[Announcement]:
    """Return the upstreams whose version a session may use.

    ``current`` is the version in use apart from a roll-out; empty if it is not known,
    which admits every version but the target. Without a roll-out no other version is
    used, as its upstreams may be announced before the order that names it is known
    here. During a roll-out, a request that can't use the upstreams in ``spent`` any
    more gets the former version if the target has no other upstreams. ``kept`` holds
    the hash positions of sessions that use the former version at any gateway; it is
    complete for sessions of ``settled_share``. Unless the share is ``leased``, the
    former version is used while any of its upstreams is not ``unreachable``: they end
    once the roll-out is completed.
    """
    if rollout is None:
        return [one for one in upstreams if current in ("", one.version)]

    target = [one for one in upstreams if one.version == rollout.target]
    former = [
        one
        for one in upstreams
        if one.version != rollout.target and current in ("", one.version)
    ]
    if rollout.state == "completed":
        return target or former

    if rollout.state == "reverted":
        return former

    if all(one.upstream in spent for one in target):
        return former

    if not leased:
        is_left = any(one.upstream not in unreachable for one in former)
        return former if is_left or rollout.share <= 0.0 else target

    early = is_early(rollout)
    place = hash_session(rollout, session)
    share = min(rollout.share, settled_share) if early else rollout.share
    if position_to_share(place) >= share:
        return former

    if early and (place in kept or keeps_former(rollout, last, session_life, now)):
        return former

    return target


def keeps_former(
    rollout: RolloutState,
    last: tuple[str, float] | None,
    session_life: float,
    now: float,
) -> bool:
    """Return whether a session is active on another version than the target."""
    if last is None:
        return False

    version, at = last
    return version != rollout.target and now - at <= session_life
