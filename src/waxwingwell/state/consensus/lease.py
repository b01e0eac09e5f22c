"""The leader lease, and the promise of the followers that it rests on.

A follower that answered the leader gives no vote for ``election_min`` after it
heard it. The leader counts ``election_min`` less the drift margin from its own
*sending* of what a majority answered, so its lease ends before any promise does.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .records import Role
from .records import quorum


if TYPE_CHECKING:
    from .replica import Replica


def promises_leader(replica: Replica, now: float) -> bool:
    """Return whether this member must not vote, since a leader may hold a lease."""
    if replica.role is Role.LEADER:
        return now < confirmed_at(replica, now) + replica.timing.election_min

    return now < replica.heard_at + replica.timing.election_min


def confirmed_at(replica: Replica, now: float) -> float:
    """Return the sending time of the latest message that a majority answered."""
    times = []
    for voter in replica.membership.voters:
        if voter == replica.member:
            times.append(now)
            continue

        progress = replica.progress.get(voter)
        times.append(progress.acknowledged_at if progress else -math.inf)

    times.sort(reverse=True)
    return times[quorum(replica.membership.voters) - 1]


def holds_lease(replica: Replica, now: float) -> bool:
    """Return whether no other member can lead at this instant.

    A process that was frozen, or cut off, wakes with ``now`` past the end of its
    lease and learns here that others may have taken over.
    """
    if replica.role is not Role.LEADER or replica.lease_given_up:
        return False

    if replica.commit < replica.first_of_term:
        return False

    length = replica.timing.election_min * (1 - replica.timing.drift)
    return now < confirmed_at(replica, now) + length


def lost_quorum(replica: Replica, now: float) -> bool:
    """Return whether a leader must step down, as no majority answers it.

    Failure: a leader cut off for long would go on taking proposals that can't
    commit, and callers would wait on it.
    """
    since = max(confirmed_at(replica, now), replica.led_at)
    return now >= since + replica.timing.election_max
