"""The leader lease, based on followers withholding their votes.

A follower grants no vote for ``election_min`` after it heard from the leader. The
leader's lease lasts ``election_min`` less the drift margin, counted from its own
*sending* of the message that a majority acknowledged, so it expires before any of
those followers may vote again.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from .records import Role
from .records import quorum


if TYPE_CHECKING:
    from .replica import Replica


def must_withhold_vote(replica: Replica, now: float) -> bool:
    """Return whether this member must grant no vote, as a lease may be held."""
    if replica.role is Role.LEADER:
        return now < quorum_acknowledged_at(replica, now) + replica.timing.election_min

    return now < replica.heard_at + replica.timing.election_min


def quorum_acknowledged_at(replica: Replica, now: float) -> float:
    """Return the send time of the latest message that a majority acknowledged."""
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
    """Return whether this member holds the lease, so that no other can hold one now.

    A leader that was suspended or partitioned finds ``now`` past the end of its
    lease, even before it receives any message of a new leader.
    """
    if replica.role is not Role.LEADER or replica.lease_released:
        return False

    if replica.commit < replica.term_start_index:
        return False

    duration = replica.timing.election_min * (1 - replica.timing.drift)
    return now < quorum_acknowledged_at(replica, now) + duration


def lost_quorum(replica: Replica, now: float) -> bool:
    """Return whether a leader must step down, as no majority responds to it.

    A partitioned leader would otherwise keep accepting proposals that can't commit,
    and callers would wait for them.
    """
    since = max(quorum_acknowledged_at(replica, now), replica.elected_at)
    return now >= since + replica.timing.election_max
