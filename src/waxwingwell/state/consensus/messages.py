"""Raft messages between the members of a group.

``sender`` and ``target`` are member ids. A member drops messages for any other
target, so that one whose disk was replaced can't respond for its former id.
"""

from __future__ import annotations

from ...messages import Message
from .records import Entry  # noqa: TC001  # msgspec resolves it at run time
from .records import Snapshot  # noqa: TC001  # msgspec resolves it at run time


class ConsensusMessage(Message, frozen=True, kw_only=True):
    """Base class: the group, the sender and target, and the sender's term."""

    group: str
    sender: str
    target: str
    term: int


class RequestVote(ConsensusMessage, frozen=True, kw_only=True):
    """Request for a vote, or with ``pre`` for a pre-vote."""

    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False
    """The leader requested this election and has released its lease."""


class VoteAnswer(ConsensusMessage, frozen=True, kw_only=True):
    """Response to ``RequestVote``; if granted, ``term`` is the requested one."""

    granted: bool
    pre: bool = False


class AppendEntries(ConsensusMessage, frozen=True, kw_only=True):
    """Log entries that follow ``previous_index``; a heartbeat has none."""

    previous_index: int
    previous_term: int
    commit: int
    sent_at: float
    """The leader's clock; echoed, so that the lease counts from the send time."""
    entries: tuple[Entry, ...] = ()


class AppendAnswer(ConsensusMessage, frozen=True, kw_only=True):
    """Response to ``AppendEntries``: durable up to ``match``, or a conflict hint."""

    sent_at: float
    previous_index: int
    success: bool
    match: int = 0
    conflict_term: int = 0
    conflict_index: int = 0


class InstallSnapshot(ConsensusMessage, frozen=True, kw_only=True):
    """Snapshot for a member whose next entry the leader has compacted away."""

    snapshot: Snapshot
    sent_at: float


class SnapshotAnswer(ConsensusMessage, frozen=True, kw_only=True):
    """Response to ``InstallSnapshot``: the state up to ``match`` is durable."""

    sent_at: float
    match: int


class TimeoutNow(ConsensusMessage, frozen=True, kw_only=True):
    """Request to start an election at once; the sender has released its lease."""


class Probe(ConsensusMessage, frozen=True, kw_only=True):
    """Query of a bootstrapping member whether the target is empty.

    The target is a name, as its id is not known yet.
    """


class ProbeAnswer(ConsensusMessage, frozen=True, kw_only=True):
    """Response to ``Probe``: whether a group may be bootstrapped with the sender."""

    empty: bool


class JoinRequest(ConsensusMessage, frozen=True, kw_only=True):
    """Request of a member with an empty disk to be added as a learner.

    The target is a name, as its id is not known yet.
    """


class Expelled(ConsensusMessage, frozen=True, kw_only=True):
    """Notification that the target's id is no longer a member of the group.

    For example, its disk was replaced, or another member took its place meanwhile.
    """


ConsensusBody = (
    AppendAnswer
    | AppendEntries
    | Expelled
    | InstallSnapshot
    | JoinRequest
    | Probe
    | ProbeAnswer
    | RequestVote
    | SnapshotAnswer
    | TimeoutNow
    | VoteAnswer
)
"""All Raft messages, for the unions of message bodies sent over links."""
