"""State of one member of one group, and the changes that every part needs."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass
from dataclasses import field

import msgspec

from .checks import check
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
    """What the leader knows of another member; times are the leader's clock."""

    next_index: int
    match: int = 0
    acknowledged_at: float = -math.inf
    """Sending time of the latest message that was answered in this term."""
    probing: bool = True
    """The member's log end is unknown: one batch at a time."""
    waiting: bool = False
    snapshot_sent_at: float = -math.inf


@dataclass(slots=True)
class Transfer:
    """A hand-over of leadership that has begun."""

    target: str
    deadline: float
    sent: bool = False


@dataclass(slots=True, kw_only=True)
class Replica:
    """One member of one group; indexes are of log entries, times are monotonic."""

    group: str
    member: str
    name: str
    names: tuple[str, ...]
    timing: Timing
    random: random.Random
    bootstrap: bool = False

    term: int = 0
    voted_for: str = ""
    log: Log = field(default_factory=Log)
    snapshot: Snapshot | None = None
    membership: Membership = Membership()
    membership_index: int = 0

    role: Role = Role.FOLLOWER
    leader: str = ""
    heard_at: float = -math.inf
    """Last message of a leader; no vote is given for ``election_min`` after it."""
    election_at: float = math.inf
    votes: set[str] = field(default_factory=set)
    expelled: bool = False

    commit: int = 0
    applied: int = 0
    durable: int = 0
    """Last index that is synced here."""

    progress: dict[str, Progress] = field(default_factory=dict)
    led_at: float = -math.inf
    heartbeat_at: float = -math.inf
    first_of_term: int = 0
    """Index of the entry that the leader opened its term with."""
    transfer: Transfer | None = None
    lease_given_up: bool = False

    probe_at: float = -math.inf
    probe_answers: dict[str, tuple[str, bool]] = field(default_factory=dict)
    """By name: the id, and whether that member was empty."""

    outbox: list[ConsensusMessage] = field(default_factory=list)
    hard_state_dirty: bool = False
    unwritten_from: int = 1
    """Entries from here on differ from what the store holds."""
    snapshot_dirty: bool = False
    snapshot_staged: bool = False
    """The snapshot's data is durable already; only its use is not."""
    machine_stale: bool = False
    """A received snapshot must be given to the machine."""


def set_term(replica: Replica, term: int, voted_for: str) -> None:
    """Move to a later term, or vote in this one."""
    check(term >= replica.term, "terms never fall", member=replica.member)
    if term == replica.term:
        check(
            replica.voted_for in ("", voted_for),
            "one vote a term",
            member=replica.member,
        )

    replica.term = term
    replica.voted_for = voted_for
    replica.hard_state_dirty = True


def become_follower(replica: Replica, term: int, leader: str, now: float) -> None:
    """Follow ``leader``, or nobody yet, in ``term``."""
    if term > replica.term:
        set_term(replica, term, "")

    if replica.role is not Role.FOLLOWER or replica.leader != leader:
        draw_election_time(replica, now)

    replica.role = Role.FOLLOWER
    replica.leader = leader
    replica.votes.clear()
    replica.progress.clear()
    replica.transfer = None


def draw_election_time(replica: Replica, now: float) -> None:
    """Wait a random election timeout from ``now`` on."""
    timing = replica.timing
    replica.election_at = now + replica.random.uniform(
        timing.election_min, timing.election_max
    )


def set_commit(replica: Replica, index: int) -> None:
    """Move the committed index forward."""
    check(
        index >= replica.commit,
        "the committed index never goes back",
        member=replica.member,
    )
    check(
        index <= last_index(replica.log),
        "only held entries are committed",
        member=replica.member,
    )
    replica.commit = index


def append_entry(replica: Replica, kind: EntryKind, data: bytes) -> int:
    """Append an entry of the present term; return its index."""
    replica.log.entries.append(Entry(replica.term, kind, data))
    index = last_index(replica.log)
    if kind is EntryKind.MEMBERSHIP:
        use_membership(replica, msgspec.msgpack.decode(data, type=Membership), index)

    return index


def append_received(replica: Replica, entry: Entry) -> None:
    """Append an entry that the leader sent."""
    replica.log.entries.append(entry)
    if entry.kind is not EntryKind.MEMBERSHIP:
        return

    membership = msgspec.msgpack.decode(entry.data, type=Membership)
    use_membership(replica, membership, last_index(replica.log))


def use_membership(replica: Replica, membership: Membership, index: int) -> None:
    """Take a membership into use; it counts from its append, not its commit."""
    replica.membership = membership
    replica.membership_index = index


def truncate_entries(replica: Replica, first: int) -> None:
    """Drop entries that another leader's entries replace."""
    check(
        first > replica.commit,
        "no committed entry is overwritten",
        member=replica.member,
    )
    truncate_log(replica.log, first)
    replica.unwritten_from = min(replica.unwritten_from, first)
    replica.durable = min(replica.durable, first - 1)
    if replica.membership_index >= first:
        find_membership(replica)


def find_membership(replica: Replica) -> None:
    """Take the latest membership that the log or the snapshot holds."""
    log = replica.log
    for index in range(last_index(log), log.base_index, -1):
        entry = entry_at(log, index)
        if entry.kind is EntryKind.MEMBERSHIP:
            membership = msgspec.msgpack.decode(entry.data, type=Membership)
            use_membership(replica, membership, index)
            return

    if replica.snapshot is None:
        use_membership(replica, Membership(), 0)
        return

    snapshot = replica.snapshot
    use_membership(replica, snapshot.membership, snapshot.membership_index)


def is_voter(replica: Replica) -> bool:
    """Return whether this member votes, as far as its log says."""
    return replica.member in replica.membership.voters


def other_members(replica: Replica) -> list[str]:
    """Return the ids of all other members, voters first."""
    membership = replica.membership
    everyone = membership.voters + membership.learners
    return [member for member in everyone if member != replica.member]


def leader_name(replica: Replica) -> str:
    """Return the name of the leader followed, or the empty string."""
    return name_of(replica.leader)


def follow_leader(replica: Replica, leader: str, term: int, now: float) -> None:
    """Follow the sender, and promise it no vote for a while."""
    check(
        not (replica.role is Role.LEADER and term == replica.term),
        "one leader a term",
        member=replica.member,
    )
    become_follower(replica, term, leader, now)
    replica.heard_at = now
    draw_election_time(replica, now)


def leads_term(replica: Replica, term: int) -> bool:
    """Return whether we lead the term that an answer was given in."""
    return replica.role is Role.LEADER and term == replica.term
