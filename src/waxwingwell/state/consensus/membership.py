"""Membership changes: one at a time through the log; members join as learners."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .elections import notify_if_expelled
from .records import MAX_REMOVED_IDS
from .records import EntryKind
from .records import Membership
from .records import Role
from .records import name_of
from .replica import append_entry


if TYPE_CHECKING:
    from .messages import JoinRequest
    from .replica import Progress
    from .replica import Replica


def may_change(replica: Replica) -> bool:
    """Return whether the next membership change may start.

    With two changes in progress, or one started before the term's first entry is
    committed, two majorities without a common member could decide independently.
    """
    return (
        replica.role is Role.LEADER
        and replica.transfer is None
        and replica.commit >= replica.term_start_index
        and replica.commit >= replica.membership_index
    )


def with_learner(membership: Membership, member: str) -> Membership:
    """Return ``membership`` with a learner; it replaces a learner of its name."""
    name = name_of(member)
    former = tuple(one for one in membership.learners if name_of(one) == name)
    kept = tuple(one for one in membership.learners if one not in former)
    return Membership(
        voters=membership.voters,
        learners=(*kept, member),
        removed=(membership.removed + former)[-MAX_REMOVED_IDS:],
    )


def with_voter(membership: Membership, member: str) -> Membership:
    """Return ``membership`` with a learner promoted to voter."""
    return Membership(
        voters=(*membership.voters, member),
        learners=tuple(one for one in membership.learners if one != member),
        removed=membership.removed,
    )


def without_member(membership: Membership, member: str) -> Membership:
    """Return ``membership`` without a member, whose id is recorded as removed."""
    return Membership(
        voters=tuple(one for one in membership.voters if one != member),
        learners=tuple(one for one in membership.learners if one != member),
        removed=(*membership.removed, member)[-MAX_REMOVED_IDS:],
    )


def change_membership(replica: Replica, membership: Membership) -> int:
    """Append a membership, effective from its append; return its index."""
    data = msgspec.msgpack.encode(membership)
    return append_entry(replica, EntryKind.MEMBERSHIP, data)


def receive_join_request(replica: Replica, request: JoinRequest) -> None:
    """Add a member as a learner, if its name is allowed to join.

    Every member notifies one that was removed, so that it can join with a new id.
    """
    member = request.sender
    membership = replica.membership
    if notify_if_expelled(replica, member) or replica.role is not Role.LEADER:
        return

    if member in membership.voters or member in membership.learners:
        return

    allowed = replica.timing.open_to_all or name_of(member) in replica.names
    if not allowed or not may_change(replica):
        return

    change_membership(replica, with_learner(membership, member))


def repair_membership(replica: Replica, now: float) -> None:
    """Promote a caught-up learner, after removing the voter that it replaces.

    When a member returns with an empty disk, its former id is removed only once the
    new id holds the log, so that a second loss can stop progress for only one round
    trip. These are two changes, since replacing a voter in one change would allow
    two majorities without a common member.
    """
    if not replica.timing.repair or not may_change(replica):
        return

    learner = find_caught_up_learner(replica, now)
    if not learner:
        return

    membership = replica.membership
    former = find_replaced_voter(membership, learner) or find_unresponsive_voter(
        replica, now
    )
    if former == replica.member:
        return

    if former:
        change_membership(replica, without_member(membership, former))
        return

    if not is_at_capacity(replica):
        change_membership(replica, with_voter(membership, learner))


def is_at_capacity(replica: Replica) -> bool:
    """Return whether the group has ``max_voters`` voters, if that is bounded."""
    limit = replica.timing.max_voters
    return limit > 0 and len(replica.membership.voters) >= limit


def find_unresponsive_voter(replica: Replica, now: float) -> str:
    """Return a voter that a waiting learner may replace, or "".

    If a VM is lost and another replaces it at a new address, the former voter must
    go. Otherwise each replacement would leave one more dead voter, until half of the
    group is dead.
    """
    if not is_at_capacity(replica):
        return ""

    unresponsive = list_unresponsive_voters(replica, now)
    return unresponsive[0] if unresponsive else ""


def list_unresponsive_voters(replica: Replica, now: float) -> list[str]:
    """Return the voters without contact to this leader for ``absence_timeout``."""
    unresponsive = []
    for voter in replica.membership.voters:
        progress = replica.progress.get(voter)
        if progress is None:
            continue

        heard_at = max(progress.acknowledged_at, replica.elected_at)
        if now > heard_at + replica.timing.absence_timeout:
            unresponsive.append(voter)

    return unresponsive


def find_caught_up_learner(replica: Replica, now: float) -> str:
    """Return a responding learner that is at most one batch behind, or ""."""
    for learner in replica.membership.learners:
        progress = replica.progress.get(learner)
        if progress is None or not is_caught_up(replica, progress):
            continue

        if now < progress.acknowledged_at + replica.timing.election_min:
            return learner

    return ""


def is_caught_up(replica: Replica, progress: Progress) -> bool:
    """Return whether a learner is at most one batch behind the commit index.

    Under load a learner in a distant data centre always lags by some entries. If it
    had to hold all committed entries, it would never be promoted.
    """
    if progress.probing or progress.match == 0:
        return False

    return replica.commit - progress.match <= replica.timing.batch_entries


def find_replaced_voter(membership: Membership, learner: str) -> str:
    """Return the voter with the learner's name, whose disk was lost, or ""."""
    name = name_of(learner)
    former = [voter for voter in membership.voters if name_of(voter) == name]
    return former[0] if former else ""
