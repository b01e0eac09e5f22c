"""Upstreams that a request may use during a roll-out.

Gateways agree without communication, as each compares a session's hash with the share
of the roll-out.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .rollouts import MIGRATION_SHARE
from .rollouts import hash_session
from .rollouts import position_to_share
from .sessions import is_early


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Sequence

    from .fleet import Announcement
    from .messages import RolloutState


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
    settled: bool = True,
) -> list[Announcement]:
    """Return the upstreams whose version a session may use.

    ``current`` is the version in use apart from a roll-out; empty if it is not known,
    which admits every version but the target. Without a roll-out no other version is
    used, as its upstreams may be announced before the order that names it is known
    here. During a roll-out, a request that can't use the upstreams in ``spent`` any
    more gets the former version if the target has no other upstreams. ``kept`` holds
    the hash positions of sessions that use the former version at any gateway; it is
    complete only if ``settled``.
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

    if is_early(rollout) and not settled:
        return former

    if uses_target(rollout, session, last, session_life, now, kept):
        return target

    return former


def uses_target(
    rollout: RolloutState,
    session: str,
    last: tuple[str, float] | None,
    session_life: float,
    now: float,
    kept: Collection[int],
) -> bool:
    """Return whether a session uses the target of a roll-out in progress.

    While the share is small, an active session keeps the former version.
    """
    place = hash_session(rollout, session)
    if position_to_share(place) >= rollout.share:
        return False

    if rollout.share >= MIGRATION_SHARE:
        return True

    if place in kept:
        return False

    if last is None:
        return True

    version, at = last
    return version == rollout.target or now - at > session_life
