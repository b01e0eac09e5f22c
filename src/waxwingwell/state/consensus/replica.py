"""State of one group member, and the state transitions that modules share."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from collections.abc import Collection
from dataclasses import dataclass
from dataclasses import field

import msgspec

from .checks import check_invariant
from .log import Log
from .log import entry_at
from .log import last_index
from .log import truncate_log
from .messages import ConsensusMessage
from .records import Entry
from .records import EntryKind
from .records import Membership
from .records import Role
from .records import Snapshot
from .records import Timing
from .records import name_of


@dataclass(slots=True)
class Progress:
    """Replication progress of another member; times are the leader's clock."""

    next_index: int
    match: int = 0
    acknowledged_at: float = -math.inf
    """Send time of the latest message acknowledged in this term."""
    probing: bool = True
    """The end of the member's log is unknown, so one batch is sent at a time."""
    awaiting_response: bool = False
    snapshot_sent_at: float = -math.inf


@dataclass(slots=True)
class Transfer:
    """A leadership transfer in progress."""

    target: str
    deadline: float
    sent: bool = False


@dataclass(slots=True, kw_only=True)
class Replica:
    """One group member; indexes are log indexes, times are monotonic seconds."""

    group: str
    member: str
    name: str
    names: tuple[str, ...]
    timing: Timing
    random: random.Random
    bootstrap: bool = False
    founded: bool = False
    """Whether this process has founded the group: all configured members were empty."""
    list_contacts: Callable[[], Collection[str]] = tuple
    """Returns the names of the members that can be reached now, in the settings or
    not."""

    term: int = 0
    voted_for: str = ""
    log: Log = field(default_factory=Log)
    snapshot: Snapshot | None = None
    membership: Membership = Membership()
    membership_index: int = 0

    role: Role = Role.FOLLOWER
    leader: str = ""
    heard_at: float = -math.inf
    """Time of a leader's last message; no vote for ``election_min`` after it."""
    election_at: float = math.inf
    votes: set[str] = field(default_factory=set)
    expelled: bool = False

    commit: int = 0
    applied: int = 0
    durable: int = 0
    """Last log index that is synced on this member."""

    progress: dict[str, Progress] = field(default_factory=dict)
    elected_at: float = -math.inf
    heartbeat_at: float = -math.inf
    term_start_index: int = 0
    """Index of the first entry that the leader appended in its term."""
    transfer: Transfer | None = None
    lease_released: bool = False

    probe_at: float = -math.inf
    probe_responses: dict[str, tuple[str, bool]] = field(default_factory=dict)
    """By name: the member's id, and whether it was empty."""

    outbox: list[ConsensusMessage] = field(default_factory=list)
    hard_state_dirty: bool = False
    unwritten_from: int = 1
    """Entries from this index on differ from what the store holds."""
    snapshot_dirty: bool = False
    snapshot_staged: bool = False
    """The snapshot's data is durable, but not yet recorded as the current one."""
    restore_pending: bool = False
    """A received snapshot must still be restored into the state machine."""


def set_term(replica: Replica, term: int, voted_for: str) -> None:
    """Adopt a later term, or vote in the current one."""
    check_invariant(
        term >= replica.term, "the term never decreases", member=replica.member
    )
    if term == replica.term:
        check_invariant(
            replica.voted_for in ("", voted_for),
            "at most one vote per term",
            member=replica.member,
        )

    replica.term = term
    replica.voted_for = voted_for
    replica.hard_state_dirty = True


def become_follower(replica: Replica, term: int, leader: str, now: float) -> None:
    """Become a follower in ``term``, of ``leader`` or of none yet."""
    if term > replica.term:
        set_term(replica, term, "")

    if replica.role is not Role.FOLLOWER or replica.leader != leader:
        reset_election_timer(replica, now)

    replica.role = Role.FOLLOWER
    replica.leader = leader
    replica.votes.clear()
    replica.progress.clear()
    replica.transfer = None


def reset_election_timer(replica: Replica, now: float) -> None:
    """Restart the election timer with a new random timeout."""
    timing = replica.timing
    replica.election_at = now + replica.random.uniform(
        timing.election_min, timing.election_max
    )


def set_commit(replica: Replica, index: int) -> None:
    """Advance the commit index."""
    check_invariant(
        index >= replica.commit,
        "the commit index never decreases",
        member=replica.member,
    )
    check_invariant(
        index <= last_index(replica.log),
        "only entries in the log are committed",
        member=replica.member,
    )
    replica.commit = index


def append_entry(replica: Replica, kind: EntryKind, data: bytes) -> int:
    """Append an entry of the current term; return its index."""
    replica.log.entries.append(Entry(replica.term, kind, data))
    index = last_index(replica.log)
    if kind is EntryKind.MEMBERSHIP:
        set_membership(replica, msgspec.msgpack.decode(data, type=Membership), index)

    return index


def append_received(replica: Replica, entry: Entry) -> None:
    """Append an entry received from the leader."""
    replica.log.entries.append(entry)
    if entry.kind is not EntryKind.MEMBERSHIP:
        return

    membership = msgspec.msgpack.decode(entry.data, type=Membership)
    set_membership(replica, membership, last_index(replica.log))


def set_membership(replica: Replica, membership: Membership, index: int) -> None:
    """Apply a membership; it takes effect on append, not on commit."""
    replica.membership = membership
    replica.membership_index = index


def truncate_entries(replica: Replica, first: int) -> None:
    """Remove the entries from ``first`` on, which conflict with the leader's."""
    check_invariant(
        first > replica.commit,
        "no committed entry is overwritten",
        member=replica.member,
    )
    truncate_log(replica.log, first)
    replica.unwritten_from = min(replica.unwritten_from, first)
    replica.durable = min(replica.durable, first - 1)
    if replica.membership_index >= first:
        restore_membership(replica)


def restore_membership(replica: Replica) -> None:
    """Apply the latest membership in the log, or else in the snapshot."""
    log = replica.log
    for index in range(last_index(log), log.base_index, -1):
        entry = entry_at(log, index)
        if entry.kind is EntryKind.MEMBERSHIP:
            membership = msgspec.msgpack.decode(entry.data, type=Membership)
            set_membership(replica, membership, index)
            return

    if replica.snapshot is None:
        set_membership(replica, Membership(), 0)
        return

    snapshot = replica.snapshot
    set_membership(replica, snapshot.membership, snapshot.membership_index)


def is_voter(replica: Replica) -> bool:
    """Return whether this member is a voter, according to its own log."""
    return replica.member in replica.membership.voters


def other_members(replica: Replica) -> list[str]:
    """Return the ids of all other members, voters first."""
    membership = replica.membership
    everyone = membership.voters + membership.learners
    return [member for member in everyone if member != replica.member]


def leader_name(replica: Replica) -> str:
    """Return the name of the current leader, or the empty string."""
    return name_of(replica.leader)


def follow_leader(replica: Replica, leader: str, term: int, now: float) -> None:
    """Follow ``leader``, and grant no vote for ``election_min`` from now."""
    check_invariant(
        not (replica.role is Role.LEADER and term == replica.term),
        "at most one leader per term",
        member=replica.member,
    )
    become_follower(replica, term, leader, now)
    replica.heard_at = now
    reset_election_timer(replica, now)


def leads_term(replica: Replica, term: int) -> bool:
    """Return whether this member is the leader of a response's term."""
    return replica.role is Role.LEADER and term == replica.term
