"""Records of the replicated log: entries, membership, snapshots, timing."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

import msgspec

from ..exceptions import InvalidMemberError


ID_MARK = "~"
"""Stands between a member's name and the random part of its id."""
ID_BITS = 64
REMOVED_KEPT = 100


class EntryKind(StrEnum):
    """What an entry of the log holds; one letter, since each entry carries it."""

    COMMAND = "c"
    NO_OP = "n"
    MEMBERSHIP = "m"


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """One entry of the log; its index is its place."""

    term: int
    kind: EntryKind
    data: bytes


class Membership(msgspec.Struct, frozen=True):
    """Ids of the members that vote, and of those that only receive the log."""

    voters: tuple[str, ...] = ()
    learners: tuple[str, ...] = ()
    removed: tuple[str, ...] = ()
    """Ids that may never come back, the latest ``REMOVED_KEPT``."""


class Snapshot(msgspec.Struct, frozen=True):
    """State of the machine after ``index``, and what the log said up to there."""

    index: int
    term: int
    membership: Membership
    membership_index: int
    data: bytes


@dataclass(frozen=True, slots=True)
class HardState:
    """Term and vote, which must be durable before any answer that rests on them."""

    term: int = 0
    voted_for: str = ""


class Role(StrEnum):
    """What a replica is doing; a follower that is no voter is a learner."""

    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre-candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, slots=True, kw_only=True)
class Timing:
    """Times in seconds, and bounds of batches.

    The lease is ``election_min`` less ``drift``; a fail-over takes about
    ``election_max`` plus two round trips.
    """

    heartbeat: float = 0.1
    election_min: float = 0.4
    election_max: float = 0.8
    drift: float = 0.1
    """Share by which two members' clocks may differ in speed."""
    probe: float = 0.2
    """Between two tries of an empty member to found or join a group."""
    snapshot_retry: float = 5.0
    """After which an unanswered snapshot is sent again."""
    batch_entries: int = 512
    batch_bytes: int = 1 << 20
    window_entries: int = 4096
    """Entries sent to a member and not yet answered."""
    snapshot_bytes: int = 4 << 20
    """Log after which it is compacted, or the last snapshot's size if larger."""
    snapshot_tail: int = 1_000
    """Entries kept before a snapshot, for members that are a little behind."""
    repair: bool = True
    """The leader promotes caught-up learners and removes what they replace."""
    open_to_all: bool = False
    """Members of any name may join; else only those that the settings name."""
    most_voters: int = 0
    """Learners beyond so many voters wait until one is absent; 0: no bound."""
    absent: float = 6.0
    """Seconds of silence after which a waiting learner takes a voter's place."""


def make_member_id(name: str, bits: int) -> str:
    """Return the id of a member whose disk was initialised with ``bits``."""
    return f"{name}{ID_MARK}{bits:016x}"


def name_of(member_id: str) -> str:
    """Return the name, by which the settings give a member's address."""
    return member_id.partition(ID_MARK)[0]


def check_name(name: str) -> None:
    """Raise ``InvalidMemberError`` if ``name`` could be mistaken for an id."""
    if not name:
        raise InvalidMemberError("a member's name is empty")

    if ID_MARK in name:
        raise InvalidMemberError(f"a member's name may not hold {ID_MARK!r}: {name}")


def quorum(voters: tuple[str, ...]) -> int:
    """Return how many voters are a majority."""
    return len(voters) // 2 + 1
