"""Group changes requested by operators: leadership transfer and membership."""

from __future__ import annotations

from typing import TYPE_CHECKING

from .consensus.membership import change_membership
from .consensus.membership import may_change
from .consensus.membership import with_learner
from .consensus.membership import with_voter
from .consensus.membership import without_member
from .consensus.records import Role
from .consensus.records import check_name
from .consensus.records import name_of
from .consensus.replica import Transfer
from .consensus.replica import leader_name
from .exceptions import InvalidMemberError
from .group_records import NotLeading
from .group_records import Pending


if TYPE_CHECKING:
    from collections.abc import Callable

    from .consensus.records import Membership
    from .group_records import Group
    from .group_records import ProposalOutcome


def leader_of(group: Group) -> str:
    """Return the name of the leader, or the empty string if it is not known."""
    return leader_name(group.replica)


def transfer_leadership(group: Group, target: str, now: float) -> bool:
    """Start a leadership transfer to the voter ``target``; return False if impossible.

    Proposals get ``NotLeading`` from then on. If the target hasn't taken over within an
    election timeout, this member steps down.
    """
    replica = group.replica
    voters = [voter for voter in replica.membership.voters if name_of(voter) == target]
    if group.halted or replica.role is not Role.LEADER or not voters:
        return False

    if voters[0] == replica.member or replica.transfer is not None:
        return False

    deadline = now + replica.timing.election_max
    replica.transfer = Transfer(target=voters[0], deadline=deadline)
    return True


def change_group(
    group: Group,
    membership: Membership,
    done: Callable[[ProposalOutcome], None],
) -> None:
    """Start a membership change, or report ``NotLeading`` if it can't start now."""
    replica = group.replica
    if group.halted or not may_change(replica):
        done(NotLeading(leader_of(group)))
        return

    index = change_membership(replica, membership)
    group.pending[index] = Pending(replica.term, done)


def add_learner(
    group: Group, member_id: str, done: Callable[[ProposalOutcome], None], now: float
) -> None:
    """Add a member that receives the log but doesn't vote."""
    change_group(group, with_learner(group.replica.membership, member_id), done)


def promote_learner(
    group: Group, member_id: str, done: Callable[[ProposalOutcome], None], now: float
) -> None:
    """Make a learner a voter; the leader does so itself once it has caught up."""
    membership = group.replica.membership
    if member_id not in membership.learners:
        raise InvalidMemberError(f"{member_id} is not a learner")

    change_group(group, with_voter(membership, member_id), done)


def remove_member(
    group: Group, member: str, done: Callable[[ProposalOutcome], None], now: float
) -> None:
    """Permanently remove a member, given by id or by name."""
    membership = group.replica.membership
    member_id = find_member(membership, member)
    if not member_id:
        raise InvalidMemberError(f"{member} is not a member")

    if membership.voters == (member_id,):
        raise InvalidMemberError(f"{member} is the only voter")

    change_group(group, without_member(membership, member_id), done)


def find_member(membership: Membership, member: str) -> str:
    """Return the id of a member given by id or by name, or the empty string."""
    for candidate in membership.voters + membership.learners:
        if member in (candidate, name_of(candidate)):
            return candidate

    return ""


def allow_name(group: Group, name: str) -> None:
    """Allow an empty member of that name to join while this process runs.

    The names in the settings are allowed from the start. The name must be allowed on
    each member that may become leader, because the leader adds new members.
    """
    check_name(name)
    if name not in group.replica.names:
        group.replica.names += (name,)


def forbid_name(group: Group, name: str) -> None:
    """Stop allowing members of that name to join."""
    names = group.replica.names
    group.replica.names = tuple(candidate for candidate in names if candidate != name)
