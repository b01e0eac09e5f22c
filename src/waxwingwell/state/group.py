"""One member of one replicated group: log, store and machine together.

All of a turn's messages and proposals are taken in first; ``flush_group`` then
makes them durable in one write, and only after that sends and applies. The
present time must be read after a message has arrived, never before.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from loguru import logger

from .consensus.checks import InvariantError
from .consensus.checks import check
from .consensus.dispatch import receive
from .consensus.dispatch import tick
from .consensus.elections import stand_for_election
from .consensus.founding import is_empty
from .consensus.founding import tend_founding
from .consensus.lease import holds_lease
from .consensus.log import Log
from .consensus.log import entry_at
from .consensus.log import last_index
from .consensus.membership import change_membership
from .consensus.membership import may_change
from .consensus.membership import with_learner
from .consensus.membership import with_voter
from .consensus.membership import without_member
from .consensus.messages import ConsensusMessage
from .consensus.records import ID_BITS
from .consensus.records import EntryKind
from .consensus.records import HardState
from .consensus.records import Membership
from .consensus.records import Role
from .consensus.records import Timing
from .consensus.records import check_name
from .consensus.records import make_member_id
from .consensus.records import name_of
from .consensus.replica import Replica
from .consensus.replica import Transfer
from .consensus.replica import append_entry
from .consensus.replica import draw_election_time
from .consensus.replica import find_membership
from .consensus.replica import leader_name
from .consensus.replication import advance_commit
from .consensus.replication import leave_if_removed
from .consensus.replication import replicate
from .consensus.snapshots import take_snapshot
from .exceptions import CorruptStorageError
from .exceptions import InvalidMemberError
from .exceptions import StorageError
from .storage import Batch
from .storage import Store


if TYPE_CHECKING:
    import random


@dataclass(frozen=True, slots=True)
class Machine:
    """Closures over the state that the log drives; all must be deterministic.

    ``apply(index, command)`` returns the command's outcome, ``save()`` the whole
    state, ``restore(data)`` replaces it by a saved one.
    """

    apply: Callable[[int, bytes], bytes]
    save: Callable[[], bytes]
    restore: Callable[[bytes], None]


@dataclass(frozen=True, slots=True)
class Committed:
    """The command is durable on a majority and applied here."""

    index: int
    result: bytes


@dataclass(frozen=True, slots=True)
class ProposalLost:
    """The outcome is unknown; the command may still be committed."""


@dataclass(frozen=True, slots=True)
class NotLeading:
    """The command did not run; ``leader`` is the name to ask, if known."""

    leader: str


ProposalOutcome = Committed | ProposalLost | NotLeading


@dataclass(slots=True)
class Pending:
    """A proposal that awaits its commit."""

    term: int
    done: Callable[[ProposalOutcome], None]


@dataclass(slots=True, kw_only=True)
class Group:
    """A member of a group; ``halted`` tells why it stopped, if it did."""

    replica: Replica
    store: Store
    machine: Machine
    send: Callable[[str, ConsensusMessage], None]
    pending: dict[int, Pending] = field(default_factory=dict)
    bytes_since_snapshot: int = 0
    halted: str = ""
    told_expelled: bool = False


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


def with_invariants(group: Group, step: Callable[[], None]) -> None:
    """Run a step; if it breaks an invariant, stop promising anything for good."""
    try:
        step()
    except InvariantError as error:
        halt(group, str(error))
        raise

    settle_lost(group)


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


def flush_group(group: Group, now: float) -> None:
    """Make all since the last flush durable in one write, then send and apply."""
    if group.halted:
        return

    replica = group.replica
    if replica.role is Role.LEADER:
        replicate(replica, now)

    if not write_changes(group):
        return

    with_invariants(group, lambda: take_effect(group, now))


def take_effect(group: Group, now: float) -> None:
    """Send and apply what is durable now."""
    replica = group.replica
    advance_commit(replica)
    outbox, replica.outbox = replica.outbox, []
    for message in outbox:
        group.send(name_of(message.target), message)

    restore_machine(group)
    apply_committed(group)
    leave_if_removed(replica, now)
    compact_if_due(group)
    report_expelled(group)


def needs_flush(group: Group) -> bool:
    """Return whether a flush would do anything."""
    replica = group.replica
    return not group.halted and (
        bool(replica.outbox)
        or replica.hard_state_dirty
        or replica.snapshot_dirty
        or replica.unwritten_from <= last_index(replica.log)
        or replica.applied < replica.commit
    )


def write_changes(group: Group) -> bool:
    """Write what changed; on failure halt and return False."""
    replica = group.replica
    batch = collect_batch(replica)
    if batch is None:
        return True

    try:
        group.store.write(batch)
    except StorageError as error:
        halt(group, str(error))
        return False

    replica.hard_state_dirty = False
    replica.snapshot_dirty = False
    replica.durable = last_index(replica.log)
    replica.unwritten_from = replica.durable + 1
    return True


def collect_batch(replica: Replica) -> Batch | None:
    """Return what the store lacks, or None."""
    log = replica.log
    entries_dirty = replica.unwritten_from <= last_index(log)
    shortened = replica.durable + 1 > replica.unwritten_from
    if not (
        replica.hard_state_dirty or replica.snapshot_dirty or entries_dirty or shortened
    ):
        return None

    first = replica.unwritten_from
    return Batch(
        hard_state=HardState(replica.term, replica.voted_for)
        if replica.hard_state_dirty
        else None,
        first=first if entries_dirty or replica.snapshot_dirty else None,
        entries=tuple(log.entries[first - log.base_index - 1 :]),
        snapshot=replica.snapshot if replica.snapshot_dirty else None,
        base_index=log.base_index,
        base_term=log.base_term,
    )


def halt(group: Group, reason: str) -> None:
    """Stop for good: what is in memory may differ from what is on the disk.

    Failure: the disk is full or a sync failed. After that no answer may rest on
    what is in memory, so nothing queued leaves, leadership is given up and the
    process must be started anew, which reads what is truly on the disk.
    """
    replica = group.replica
    group.halted = reason
    replica.outbox.clear()
    replica.role = Role.FOLLOWER
    replica.leader = ""
    replica.progress.clear()
    logger.error("consensus: group {} stopped: {}", replica.group, reason)
    settle_lost(group)


def settle_lost(group: Group) -> None:
    """Tell proposers whose commit we can't watch any more."""
    replica = group.replica
    if not group.pending:
        return

    lost = [
        index
        for index, pending in group.pending.items()
        if replica.role is not Role.LEADER or pending.term != replica.term
    ]
    for index in lost:
        group.pending.pop(index).done(ProposalLost())


def restore_machine(group: Group) -> None:
    """Give a received snapshot, which is durable now, to the machine."""
    replica = group.replica
    if not replica.machine_stale or replica.snapshot is None:
        return

    group.machine.restore(replica.snapshot.data)
    replica.applied = replica.snapshot.index
    replica.machine_stale = False
    group.bytes_since_snapshot = 0


def apply_committed(group: Group) -> None:
    """Apply what is committed and held durably, in order and without a gap."""
    replica = group.replica
    while replica.applied < min(replica.commit, replica.durable):
        index = replica.applied + 1
        check(
            index > replica.log.base_index,
            "entries are applied without a gap",
            member=replica.member,
        )
        apply_entry(group, index)


def apply_entry(group: Group, index: int) -> None:
    """Apply one entry and tell its proposer."""
    replica = group.replica
    entry = entry_at(replica.log, index)
    result = b""
    if entry.kind is EntryKind.COMMAND:
        result = group.machine.apply(index, entry.data)
        group.bytes_since_snapshot += len(entry.data)

    replica.applied = index
    pending = group.pending.pop(index, None)
    if pending is None:
        return

    same = pending.term == entry.term
    pending.done(Committed(index, result) if same else ProposalLost())


def compact_if_due(group: Group) -> None:
    """Take a snapshot once the log since the last one is long or large."""
    replica = group.replica
    timing = replica.timing
    snapshot = replica.snapshot
    since = replica.applied - (snapshot.index if snapshot else 0)
    size = max(timing.snapshot_bytes, len(snapshot.data) if snapshot else 0)
    if since < timing.snapshot_entries and group.bytes_since_snapshot < size:
        return

    take_snapshot(replica, group.machine.save())
    group.bytes_since_snapshot = 0


def report_expelled(group: Group) -> None:
    """Log once that this member is out of the group."""
    replica = group.replica
    if not replica.expelled or group.told_expelled:
        return

    group.told_expelled = True
    logger.error(
        "consensus: {} was removed from group {}; empty its data folder to rejoin",
        replica.member,
        replica.group,
    )


def leads(group: Group, now: float) -> bool:
    """Return whether this member holds the leader lease at ``now``."""
    return not group.halted and holds_lease(group.replica, now)


def leader_of(group: Group) -> str:
    """Return the name of the leader as far as known, or the empty string."""
    return leader_name(group.replica)


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


def transfer_leadership(group: Group, target: str, now: float) -> bool:
    """Begin to hand leadership to the voter named ``target``; False if we can't.

    Proposals are answered with ``NotLeading`` from now on. If the target hasn't
    taken over within an election timeout, we step down.
    """
    replica = group.replica
    voters = [one for one in replica.membership.voters if name_of(one) == target]
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
    """Begin a membership change, or answer ``NotLeading`` if it can't begin now."""
    replica = group.replica
    if group.halted or not may_change(replica):
        done(NotLeading(leader_of(group)))
        return

    index = change_membership(replica, membership)
    group.pending[index] = Pending(replica.term, done)


def add_learner(
    group: Group, member_id: str, done: Callable[[ProposalOutcome], None], now: float
) -> None:
    """Add a member that receives the log and doesn't vote."""
    change_group(group, with_learner(group.replica.membership, member_id), done)


def promote_learner(
    group: Group, member_id: str, done: Callable[[ProposalOutcome], None], now: float
) -> None:
    """Let a learner vote; the leader does so by itself once it has caught up."""
    membership = group.replica.membership
    if member_id not in membership.learners:
        raise InvalidMemberError(f"{member_id} is not a learner")

    change_group(group, with_voter(membership, member_id), done)


def remove_member(
    group: Group, member_id: str, done: Callable[[ProposalOutcome], None], now: float
) -> None:
    """Remove a member's id for good."""
    membership = group.replica.membership
    if member_id not in membership.voters + membership.learners:
        raise InvalidMemberError(f"{member_id} is not a member")

    if membership.voters == (member_id,):
        raise InvalidMemberError(f"{member_id} is the only voter")

    change_group(group, without_member(membership, member_id), done)
