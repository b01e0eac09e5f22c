"""Opening a member of a group: loading its store and resuming after a restart."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger

from .consensus.bootstrap import bootstrap_or_join
from .consensus.bootstrap import is_empty
from .consensus.elections import start_election
from .consensus.log import Log
from .consensus.log import last_index
from .consensus.records import ID_BITS
from .consensus.records import check_name
from .consensus.records import make_member_id
from .consensus.records import name_of
from .consensus.replica import Replica
from .consensus.replica import reset_election_timer
from .consensus.replica import restore_membership
from .exceptions import CorruptStorageError
from .exceptions import InvalidMemberError
from .group_flush import flush_group
from .group_records import Group
from .storage_records import Batch


if TYPE_CHECKING:
    import random
    from collections.abc import Callable
    from collections.abc import Collection

    from .consensus.messages import ConsensusMessage
    from .consensus.records import Timing
    from .group_records import Machine
    from .storage_records import Store


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
    heard_at: float | None = None,
    bootstrap: bool = False,
    list_contacts: Callable[[], Collection[str]] = tuple,
) -> Group:
    """Load a member and start it.

    ``member`` and ``members`` are names from the settings; ``send`` receives the name
    of the target. ``random`` must be seeded by the system, because the member's id is
    generated from it. ``heard_at`` is the latest time at which an earlier run of this
    member may have responded to a leader; it defaults to ``now``. ``bootstrap`` allows
    the member to found a group (see ``consensus/bootstrap.py``); without it a member
    with an empty store joins one. ``list_contacts`` returns the names of the members
    that can be reached now; a member that waits to join asks these, too. Raises
    ``InvalidMemberError`` or ``CorruptStorageError``.
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
        list_contacts=list_contacts,
    )
    group = Group(replica=replica, store=store, machine=machine, send=send)
    if replica.snapshot is not None:
        machine.restore(replica.snapshot.data)

    start_replica(replica, now, now if heard_at is None else heard_at)
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
    """Raise ``InvalidMemberError`` if the names don't form a valid group."""
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
    list_contacts: Callable[[], Collection[str]],
) -> Replica:
    """Build the replica from its store; initialise an empty store with a new id."""
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
        list_contacts=list_contacts,
        term=loaded.hard_state.term,
        voted_for=loaded.hard_state.voted_for,
        log=Log(loaded.base_index, loaded.base_term, list(loaded.entries)),
        snapshot=loaded.snapshot,
    )
    if loaded.snapshot is not None:
        replica.commit = replica.applied = loaded.snapshot.index

    replica.durable = last_index(replica.log)
    replica.unwritten_from = replica.durable + 1
    restore_membership(replica)
    return replica


def start_replica(replica: Replica, now: float, heard_at: float) -> None:
    """Start an election at once in a group of one; else wait for a leader.

    A member that restarts within a leader's lease must not vote, or two leaders would
    hold a lease. It doesn't know whether a lease is valid, so it behaves as if it had
    received a message from a leader at ``heard_at``.
    """
    if is_empty(replica):
        bootstrap_or_join(replica, now)
        return

    if replica.membership.voters == (replica.member,):
        start_election(replica, now)
        return

    replica.heard_at = heard_at
    reset_election_timer(replica, heard_at)
    # Jitter, so that members that start together don't all start an election at once.
    jitter = replica.random.uniform(0.0, 2 * replica.timing.heartbeat)
    replica.election_at = max(replica.election_at, now + jitter)
