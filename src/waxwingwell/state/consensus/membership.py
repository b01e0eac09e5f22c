"""Membership changes: one at a time, through the log, learners before voters."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec

from .elections import tell_if_expelled
from .records import REMOVED_KEPT
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
    """Return whether the next change may begin.

    Failure: two changes under way, or one begun before the term's first entry is
    committed, let two majorities without a common member decide apart.
    """
    return (
        replica.role is Role.LEADER
        and replica.transfer is None
        and replica.commit >= replica.first_of_term
        and replica.commit >= replica.membership_index
    )


def with_learner(membership: Membership, member: str) -> Membership:
    """Add a learner; it takes the place of a former learner of its name."""
    name = name_of(member)
    former = tuple(one for one in membership.learners if name_of(one) == name)
    kept = tuple(one for one in membership.learners if one not in former)
    return Membership(
        voters=membership.voters,
        learners=(*kept, member),
        removed=(membership.removed + former)[-REMOVED_KEPT:],
    )


def with_voter(membership: Membership, member: str) -> Membership:
    """Let a learner vote."""
    return Membership(
        voters=(*membership.voters, member),
        learners=tuple(one for one in membership.learners if one != member),
        removed=membership.removed,
    )


def without_member(membership: Membership, member: str) -> Membership:
    """Drop a member for good."""
    return Membership(
        voters=tuple(one for one in membership.voters if one != member),
        learners=tuple(one for one in membership.learners if one != member),
        removed=(*membership.removed, member)[-REMOVED_KEPT:],
    )


def change_membership(replica: Replica, membership: Membership) -> int:
    """Append a membership, which counts from now on; return its index."""
    data = msgspec.msgpack.encode(membership)
    return append_entry(replica, EntryKind.MEMBERSHIP, data)


def receive_join(replica: Replica, request: JoinRequest) -> None:
    """Take an empty member in as a learner, if the settings know its name."""
    member = request.sender
    membership = replica.membership
    if replica.role is not Role.LEADER or tell_if_expelled(replica, member):
        return

    if member in membership.voters or member in membership.learners:
        return

    known = replica.timing.open_to_all or name_of(member) in replica.names
    if not known or not may_change(replica):
        return

    change_membership(replica, with_learner(membership, member))


def tend_members(replica: Replica, now: float) -> None:
    """Repair: let a caught-up learner vote, after removing whom it replaces.

    Failure: a disk is lost and its member returns empty. Its former id is removed
    only once the new one holds the log, so that the time in which a second loss
    stops progress is one round trip; two changes, since exchanging a voter in one
    would leave two majorities without a common member.
    """
    if not replica.timing.repair or not may_change(replica):
        return

    learner = find_caught_up(replica, now)
    if not learner:
        return

    membership = replica.membership
    former = find_former(membership, learner) or find_absent(replica, now)
    if former == replica.member:
        return

    if former:
        change_membership(replica, without_member(membership, former))
        return

    if not is_full(replica):
        change_membership(replica, with_voter(membership, learner))


def is_full(replica: Replica) -> bool:
    """Return whether there are as many voters as the timing allows."""
    most = replica.timing.most_voters
    return most > 0 and len(replica.membership.voters) >= most


def find_absent(replica: Replica, now: float) -> str:
    """Return a voter that a waiting learner may replace, or "".

    Failure: a VM is gone for good and another took over at a new address. Were the
    former voter kept, each exchange would leave one dead voter more, until the dead
    ones are half of the group.
    """
    if not is_full(replica):
        return ""

    for voter in replica.membership.voters:
        progress = replica.progress.get(voter)
        if progress is None:
            continue

        heard_at = max(progress.acknowledged_at, replica.led_at)
        if now > heard_at + replica.timing.absent:
            return voter

    return ""


def find_caught_up(replica: Replica, now: float) -> str:
    """Return a learner that answers and is one batch behind at most, or ""."""
    for learner in replica.membership.learners:
        progress = replica.progress.get(learner)
        if progress is None or not is_caught_up(replica, progress):
            continue

        if now < progress.acknowledged_at + replica.timing.election_min:
            return learner

    return ""


def is_caught_up(replica: Replica, progress: Progress) -> bool:
    """Return whether a learner is one batch behind at most.

    Failure: a learner in a far data centre is always some entries behind under
    load. Were it asked to hold all that is committed, it would never vote.
    """
    if progress.probing or progress.match == 0:
        return False

    return replica.commit - progress.match <= replica.timing.batch_entries


def find_former(membership: Membership, learner: str) -> str:
    """Return the voter of the learner's name, which lost its disk, or ""."""
    name = name_of(learner)
    former = [voter for voter in membership.voters if name_of(voter) == name]
    return former[0] if former else ""
