"""Data types of the replicated log: entries, membership, snapshots, timing."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from ..exceptions import InvalidMemberError


ID_SEPARATOR = "~"
"""Separates a member's name from the random part of its id."""
ID_BITS = 64
MAX_REMOVED_IDS = 100


class EntryKind(StrEnum):
    """Kind of a log entry; one letter, since every entry stores it."""

    COMMAND = "c"
    NO_OP = "n"
    MEMBERSHIP = "m"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One log entry; its index follows from its position in the log."""

    term: int
    kind: EntryKind
    data: bytes


class Membership(msgspec.Struct, frozen=True):
    """Ids of the voters, and of the learners, which only receive the log."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    """Ids that may never rejoin; the latest ``MAX_REMOVED_IDS`` are kept."""


class Snapshot(msgspec.Struct, frozen=True):
    """State of the state machine after ``index``, and the membership as of then."""

    index: int
    term: int
    membership: Membership
    membership_index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote, which must be durable before any response based on them."""

    term: int = 0
    voted_for: str = ""


class Role(StrEnum):
    """Raft role of a replica; a follower that is not a voter is a learner."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Timeouts in seconds, and limits of batches, log size and group size.

    The lease lasts ``election_min`` less the share ``drift``; a fail-over takes
    about ``election_max`` plus two round trips.
    """

    heartbeat: float = 0.1
    election_min: float = 0.4
    election_max: float = 0.8
    drift: float = 0.1
    """Fraction by which the rates of two members' clocks may differ."""
    probe_interval: float = 0.2
    """Seconds between attempts of an empty member to bootstrap or join a group."""
    snapshot_retry: float = 5.0
    """Seconds after which an unacknowledged snapshot is sent again."""
    batch_entries: int = 512
    batch_bytes: int = 1 << 20
    window_entries: int = 4096
    """Limit of entries in flight to a member: sent and not yet acknowledged."""
    snapshot_bytes: int = 4 << 20
    """Log size that triggers compaction; the last snapshot's size if larger."""
    snapshot_tail: int = 1_000
    """Entries retained before a snapshot, for members that lag slightly."""
    snapshot_tail_bytes: int = 4 << 20
    """Limit of their size; members that lag more get the snapshot."""
    repair: bool = True
    """Whether the leader promotes learners and removes the voters they replace."""
    open_to_all: bool = False
    """Whether members of any name may join, or only those in the settings."""
    max_voters: int = 0
    """Voter count at which learners wait until a voter is absent; 0: no limit."""
    absence_timeout: float = 6.0
    """Seconds without a response after which a waiting learner replaces a voter."""


def make_member_id(name: str, bits: int) -> str:
    """Return the id of a member whose disk was initialised with ``bits``."""
    return f"{name}{ID_SEPARATOR}{bits:016x}"


def name_of(member_id: str) -> str:
    """Return the member name of an id, under which settings give its address."""
    return member_id.partition(ID_SEPARATOR)[0]


def check_name(name: str) -> None:
    """Raise ``InvalidMemberError`` if ``name`` could be mistaken for an id."""
    if not name:
        raise InvalidMemberError("member name must not be empty")

    if ID_SEPARATOR in name:
        raise InvalidMemberError(
            f"member name must not contain {ID_SEPARATOR!r}: {name}"
        )


def quorum(voters: tuple[str, ...]) -> int:
    """Return the number of voters that make a majority."""
    return len(voters) // 2 + 1
