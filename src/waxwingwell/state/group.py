"""One member of one replicated group: log, store and machine together.

All of a turn's messages and proposals are taken in first; ``flush_group`` then
makes them durable in one write, and only after that sends and applies. The
present time must be read after a message has arrived, never before.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING

from loguru import logger

from .consensus.dispatch import receive
from .consensus.dispatch import tick
from .consensus.elections import stand_for_election
from .consensus.founding import is_empty
from .consensus.founding import tend_founding
from .consensus.lease import holds_lease
from .consensus.log import Log
from .consensus.log import last_index
from .consensus.records import ID_BITS
from .consensus.records import EntryKind
from .consensus.records import Membership
from .consensus.records import Role
from .consensus.records import Timing
from .consensus.records import check_name
from .consensus.records import make_member_id
from .consensus.records import name_of
from .consensus.replica import Replica
from .consensus.replica import append_entry
from .consensus.replica import draw_election_time
from .consensus.replica import find_membership
from .exceptions import CorruptStorageError
from .exceptions import InvalidMemberError
from .group_changes import add_learner
from .group_changes import allow_name
from .group_changes import forbid_name
from .group_changes import leader_of
from .group_changes import promote_learner
from .group_changes import remove_member
from .group_changes import transfer_leadership
from .group_flush import flush_group
from .group_flush import needs_flush
from .group_flush import with_invariants
from .group_records import Committed
from .group_records import Group
from .group_records import Machine
from .group_records import NotLeading
from .group_records import Pending
from .group_records import ProposalLost
from .group_records import ProposalOutcome
from .storage_records import Batch


if TYPE_CHECKING:
    import random
    from collections.abc import Callable

    from .consensus.messages import ConsensusMessage
    from .storage_records import Store


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


def open_group(
    *,
    group_id: str,
    member: str,
    members: tuple[str, ...],
    store: Store,
    machine: Machine,
    send: Callable[[str, ConsensusMessage], None],
    timing: Timing,
    random: random.Random,
    now: float,
    bootstrap: bool = False,
) -> Group:
    """Load a member and let it take part.

    ``member`` and ``members`` are names from the settings; ``send`` gets a name.
    ``random`` must be seeded by the system, as the member's id is drawn from it.
    ``bootstrap`` allows to found a group (see ``consensus/founding.py``); without
    it an empty store joins. Raises ``InvalidMemberError`` or ``CorruptStorageError``.
    """
    check_members(member, members)
    replica = load_replica(
        group_id=group_id,
        member=member,
        members=members,
        store=store,
        timing=timing,
        random=random,
        bootstrap=bootstrap,
    )
    group = Group(replica=replica, store=store, machine=machine, send=send)
    if replica.snapshot is not None:
        machine.restore(replica.snapshot.data)

    start_replica(replica, now)
    flush_group(group, now)
    logger.info(
        "consensus: group {} opened as {}, term {}, log to {}",
        group_id,
        replica.member,
        replica.term,
        last_index(replica.log),
    )
    return group


def check_members(member: str, members: tuple[str, ...]) -> None:
    """Raise ``InvalidMemberError`` if the names can't make a group."""
    for name in members:
        check_name(name)

    if member not in members:
        raise InvalidMemberError(
            f"{member} is not among the members {', '.join(members)}"
        )

    if len(set(members)) < len(members):
        raise InvalidMemberError(f"a member is named twice: {', '.join(members)}")


def load_replica(
    *,
    group_id: str,
    member: str,
    members: tuple[str, ...],
    store: Store,
    timing: Timing,
    random: random.Random,
    bootstrap: bool,
) -> Replica:
    """Build the replica from its store; initialise an empty one with a fresh id."""
    loaded = store.load()
    member_id = loaded.member
    if not member_id:
        member_id = make_member_id(member, random.getrandbits(ID_BITS))
        store.write(Batch(member=member_id))

    if name_of(member_id) != member:
        raise CorruptStorageError(
            f"the data folder belongs to member {name_of(member_id)}, not to {member}"
        )

    replica = Replica(
        group=group_id,
        member=member_id,
        name=member,
        names=members,
        timing=timing,
        random=random,
        bootstrap=bootstrap,
        term=loaded.hard_state.term,
        voted_for=loaded.hard_state.voted_for,
        log=Log(loaded.base_index, loaded.base_term, list(loaded.entries)),
        snapshot=loaded.snapshot,
    )
    if loaded.snapshot is not None:
        replica.commit = replica.applied = loaded.snapshot.index

    replica.durable = last_index(replica.log)
    replica.unwritten_from = replica.durable + 1
    find_membership(replica)
    return replica


def start_replica(replica: Replica, now: float) -> None:
    """Lead at once if alone; else keep the promises that a restart forgot.

    Failure: a member that restarts within a leader's lease would vote, and two
    leaders would hold a lease. It can't know, so it counts as having heard one.
    """
    if is_empty(replica):
        tend_founding(replica, now)
        return

    if replica.membership.voters == (replica.member,):
        stand_for_election(replica, now)
        return

    replica.heard_at = now
    draw_election_time(replica, now)


def tick_group(group: Group, now: float) -> None:
    """Do what is due; call every few tens of milliseconds, then flush."""
    if group.halted:
        return

    with_invariants(group, lambda: tick(group.replica, now))


def receive_message(
    group: Group, sender: str, message: ConsensusMessage, now: float
) -> None:
    """Take in a message that came on the stream of the member named ``sender``."""
    if group.halted or name_of(message.sender) != sender:
        return

    with_invariants(group, lambda: receive(group.replica, message, now))


def propose(
    group: Group,
    command: bytes,
    done: Callable[[ProposalOutcome], None],
    now: float,
) -> None:
    """Put a command to the log; ``done`` is called once, during a flush at latest."""
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
    """Return the term, which serves as fencing number of a leader's orders."""
    return group.replica.term


def members_of(group: Group) -> Membership:
    """Return the member ids in use."""
    return group.replica.membership


def confirm_read(
    group: Group, done: Callable[[ProposalOutcome], None], now: float
) -> None:
    """Tell whether the machine's state is the newest; costs no message.

    The lease proves that nobody else has committed anything, and every command
    that was answered is applied here.
    """
    if not leads(group, now):
        done(NotLeading(leader_of(group)))
        return

    done(Committed(group.replica.applied, b""))
