"""Records of a group member and of the outcomes of proposals."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

from .consensus.messages import ConsensusMessage
from .consensus.records import Snapshot
from .consensus.replica import Replica
from .storage_records import Store


@dataclass(frozen=True, slots=True)
class Machine:
    """Functions of the state machine that the log drives; must be deterministic.

    ``apply(index, command)`` returns the command's outcome, ``save()`` returns the
    whole state, and ``restore(data)`` replaces it by a saved one.
    """

    apply: Callable[[int, bytes], bytes]
    save: Callable[[], bytes]
    restore: Callable[[bytes], None]


@dataclass(frozen=True, slots=True)
class Committed:
    """The command is durable on a majority and applied on this member."""

    index: int
    result: bytes


@dataclass(frozen=True, slots=True)
class ProposalLost:
    """The outcome is unknown; the command may still be committed."""


@dataclass(frozen=True, slots=True)
class NotLeading:
    """The command was not accepted; ``leader`` is the leader's name, if known."""

    leader: str


ProposalOutcome = Committed | ProposalLost | NotLeading


@dataclass(slots=True)
class Pending:
    """A proposal waiting for its commit."""

    term: int
    done: Callable[[ProposalOutcome], None]


@dataclass(slots=True, kw_only=True)
class Group:
    """A member of a group; ``halted`` is the reason why it stopped, if it did."""

    replica: Replica
    store: Store
    machine: Machine
    send: Callable[[str, ConsensusMessage], None]
    pending: dict[int, Pending] = field(default_factory=dict)
    bytes_since_snapshot: int = 0
    staging: Snapshot | None = None
    """A snapshot that is being written piece by piece."""
    staged_parts: int = 0
    halted: str = ""
    expulsion_logged: bool = False
