"""Member of a replicated group: combines the log, its store and the state machine.

All messages and proposals of a reactor turn are processed first; ``flush_group`` then
makes their effects durable in one write, and only then sends messages and applies
entries. ``now`` must be read after a message has arrived, never before.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from .consensus.dispatch import receive
from .consensus.dispatch import tick
from .consensus.lease import holds_lease
from .consensus.records import EntryKind
from .consensus.records import Membership
from .consensus.records import Role
from .consensus.records import name_of
from .consensus.replica import append_entry
from .group_changes import add_learner
from .group_changes import allow_name
from .group_changes import forbid_name
from .group_changes import leader_of
from .group_changes import promote_learner
from .group_changes import remove_member
from .group_changes import transfer_leadership
from .group_flush import flush_group
from .group_flush import needs_flush
from .group_flush import run_checked
from .group_opening import open_group
from .group_records import Committed
from .group_records import Group
from .group_records import Machine
from .group_records import NotLeading
from .group_records import Pending
from .group_records import ProposalLost
from .group_records import ProposalOutcome


if TYPE_CHECKING:
    from collections.abc import Callable

    from .consensus.messages import ConsensusMessage


__all__ = [
    "Committed",
    "Group",
    "Machine",
    "NotLeading",
    "ProposalLost",
    "ProposalOutcome",
    "add_learner",
    "allow_name",
    "confirm_read",
    "flush_group",
    "forbid_name",
    "leader_of",
    "leads",
    "members_of",
    "needs_flush",
    "open_group",
    "promote_learner",
    "propose",
    "receive_message",
    "remove_member",
    "term_of",
    "tick_group",
    "transfer_leadership",
]


def tick_group(group: Group, now: float) -> None:
    """Run the timers; call every few tens of milliseconds, followed by a flush."""
    if group.halted:
        return

    run_checked(group, lambda: tick(group.replica, now))


def receive_message(
    group: Group, sender: str, message: ConsensusMessage, now: float
) -> None:
    """Handle a message received on the stream of the member named ``sender``."""
    if group.halted or name_of(message.sender) != sender:
        return

    run_checked(group, lambda: receive(group.replica, message, now))


def propose(
    group: Group,
    command: bytes,
    done: Callable[[ProposalOutcome], None],
    now: float,
) -> None:
    """Append a command to the log; ``done`` is called once with the outcome.

    It is called at once if this member can't accept proposals, otherwise when the
    command is applied or its commit can't be observed any more.
    """
    replica = group.replica
    if group.halted or replica.role is not Role.LEADER:
        done(NotLeading(leader_of(group)))
        return

    if replica.transfer is not None:
        done(NotLeading(name_of(replica.transfer.target)))
        return

    index = append_entry(replica, EntryKind.COMMAND, command)
    group.pending[index] = Pending(replica.term, done)


def leads(group: Group, now: float) -> bool:
    """Return whether this member holds the leader lease at ``now``."""
    return not group.halted and holds_lease(group.replica, now)


def term_of(group: Group) -> int:
    """Return the current term, which is the fencing number of a leader's orders."""
    return group.replica.term


def members_of(group: Group) -> Membership:
    """Return the current membership."""
    return group.replica.membership


def confirm_read(
    group: Group, done: Callable[[ProposalOutcome], None], now: float
) -> None:
    """Report whether the machine's state is up to date, without sending a message.

    The leader lease proves that no other member has committed anything, and every
    command whose outcome was reported is applied here.
    """
    if not leads(group, now):
        done(NotLeading(leader_of(group)))
        return

    done(Committed(group.replica.applied, b""))
