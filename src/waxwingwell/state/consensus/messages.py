"""Messages between the members of a group.

``sender`` and ``target`` are member ids. A member drops what names another
target, so that one whose disk was replaced can't answer for its former id.
"""

from __future__ import annotations

from ...messages import Message
from .records import Entry  # noqa: TC001  # msgspec reads it
from .records import Snapshot  # noqa: TC001  # msgspec reads it


class ConsensusMessage(Message, frozen=True, kw_only=True):
    """Base: group, both ends, and the sender's term."""

    group: str
    sender: str
    target: str
    term: int


class RequestVote(ConsensusMessage, frozen=True, kw_only=True):
    """Ask for a vote, or with ``pre`` whether one would be given."""

    last_index: int
    last_term: int
    pre: bool = False
    transfer: bool = False
    """The leader asked for this election and has given its lease up."""


class VoteAnswer(ConsensusMessage, frozen=True, kw_only=True):
    """A vote; ``term`` is the one asked about if granted."""

    granted: bool
    pre: bool = False


class AppendEntries(ConsensusMessage, frozen=True, kw_only=True):
    """Entries after ``previous_index``, none in a heartbeat."""

    previous_index: int
    previous_term: int
    commit: int
    sent_at: float
    """The leader's clock; echoed, so that the lease counts from the sending."""
    entries: tuple[Entry, ...] = ()


class AppendAnswer(ConsensusMessage, frozen=True, kw_only=True):
    """Entries up to ``match`` are durable here, or where to go on from."""

    sent_at: float
    previous_index: int
    success: bool
    match: int = 0
    conflict_term: int = 0
    conflict_index: int = 0


class InstallSnapshot(ConsensusMessage, frozen=True, kw_only=True):
    """Replace a member's state, whose next entry the leader has compacted away."""

    snapshot: Snapshot
    sent_at: float


class SnapshotAnswer(ConsensusMessage, frozen=True, kw_only=True):
    """State up to ``match`` is durable here."""

    sent_at: float
    match: int


class TimeoutNow(ConsensusMessage, frozen=True, kw_only=True):
    """Stand for election at once; the sender has given its lease up."""


class Probe(ConsensusMessage, frozen=True, kw_only=True):
    """An empty founder asks whether a member belongs to a group already.

    The target is a name, as the id is not known yet.
    """


class ProbeAnswer(ConsensusMessage, frozen=True, kw_only=True):
    """Whether this member is free to be founded with."""

    empty: bool


class JoinRequest(ConsensusMessage, frozen=True, kw_only=True):
    """A member with an empty disk asks the leader to take it in as a learner.

    The target is a name, as the id is not known yet.
    """


class Expelled(ConsensusMessage, frozen=True, kw_only=True):
    """The target's id is no longer a member; its disk was replaced meanwhile."""


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
"""All messages of the log, for the unions of what travels over links."""
