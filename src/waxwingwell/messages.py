"""Messages between our own processes, and commands of the replicated log.

Every message is a tagged msgspec structure; ``Command`` and ``Outcome`` are the
unions that the state machine takes and gives. Protocol: docs/PROTOCOL.md.
"""

from __future__ import annotations

from typing import Any

import msgspec

from .records import Announcement
from .records import EntryId
from .records import Evidence
from .records import Finding
from .records import LedgerRow
from .records import OutcomeKind
from .records import Rollout
from .records import RolloutPace
from .records import StoredAnswer
from .records import UpstreamId
from .records import Usage
from .records import VersionId
from .records import VersionSpec
from .records import WorkspaceConfig
from .records import WorkspaceId


class Message(msgspec.Struct, frozen=True, tag=True, kw_only=True):
    """Base of all messages; the class name is the tag on the wire."""


# --- commands: changes of configuration -------------------------------------


class Change(Message, frozen=True, kw_only=True):
    """Header of a change: compare-and-swap on the subject's revision.

    ``change_id`` makes a resend answer with the first outcome. ``at`` is the
    proposer's wall clock in seconds. Source of the one-ancestor rule: the CAS-only
    key-value store design, see docs/design/configuration.md.
    """

    change_id: str
    operator: str
    expected_revision: int
    at: float


class ApplyAnswers(Change, frozen=True, kw_only=True):
    """Store a workspace's answers and the configuration generated from them."""

    answers: bytes
    """The answers as JSON, kept as they were given."""
    config: WorkspaceConfig


class RegisterVersion(Change, frozen=True, kw_only=True):
    """Add a version to the catalogue; it starts with the status it names."""

    spec: VersionSpec


class StartRollout(Change, frozen=True, kw_only=True):
    """Begin a staged roll-out of ``candidate`` against ``incumbent``."""

    model: str
    candidate: VersionId
    incumbent: VersionId
    pace: RolloutPace = RolloutPace()


class StepRollout(Change, frozen=True, kw_only=True):
    """Move a roll-out: another stage, pause, resume, complete or roll back."""

    model: str
    stage: int
    status: str
    """A ``RolloutStatus`` value."""
    reason: str = ""


class WithdrawVersion(Change, frozen=True, kw_only=True):
    """Withdraw a version, gracefully (sessions end on it) or at once."""

    version: VersionId
    graceful: bool = False


# --- commands: ledger, pins, evidence ----------------------------------------


class Reserve(Message, frozen=True, kw_only=True):
    """Open the ledger row of a request, or learn what became of its key."""

    row: LedgerRow


class Settle(Message, frozen=True, kw_only=True):
    """Close an open row of the same request id; a second settle changes nothing.

    With ``row`` it opens the row first, for an answer that was kept back until now:
    one command instead of two, and nothing went out that it doesn't cover.
    """

    workspace: WorkspaceId
    key: str
    request: str
    outcome: OutcomeKind
    at: float
    version: VersionId = VersionId("")
    upstream: UpstreamId = UpstreamId("")
    usage: Usage = Usage()
    answer: StoredAnswer | None = None
    row: LedgerRow | None = None


class SettleAbandoned(Message, frozen=True, kw_only=True):
    """Close the rows that a dead entry's incarnations below this one left open."""

    entry: EntryId
    below_incarnation: int
    at: float


class PinSession(Message, frozen=True, kw_only=True):
    """Pin a session to a version unless it has a pin already."""

    workspace: WorkspaceId
    session: str
    version: VersionId
    at: float


class RecordEvidence(Message, frozen=True, kw_only=True):
    """Add an entry's increments; a sequence seen before changes nothing."""

    entry: EntryId
    incarnation: int
    sequence: int
    rows: tuple[Evidence, ...]


Command = (
    ApplyAnswers
    | RegisterVersion
    | StartRollout
    | StepRollout
    | WithdrawVersion
    | Reserve
    | Settle
    | SettleAbandoned
    | PinSession
    | RecordEvidence
)


# --- outcomes of commands -----------------------------------------------------


class Accepted(Message, frozen=True, kw_only=True):
    """A change is committed; ``config_version`` counts all changes ever accepted."""

    subject: str
    revision: int
    config_version: int


class Conflict(Message, frozen=True, kw_only=True):
    """Another change came first; ``current`` describes what stands there now."""

    subject: str
    revision: int
    current: str = ""


class Rejected(Message, frozen=True, kw_only=True):
    """The command was not carried out, with every reason and its place."""

    findings: tuple[Finding, ...]


class Reserved(Message, frozen=True, kw_only=True):
    """The row is open and durable for this request id."""


class AlreadyOpen(Message, frozen=True, kw_only=True):
    """Another attempt under the key is running."""

    row: LedgerRow


class AlreadySettled(Message, frozen=True, kw_only=True):
    """The key's request has ended, or its outcome is unknown."""

    row: LedgerRow


class Settled(Message, frozen=True, kw_only=True):
    """The row as it stands after a settle; ``changed`` is false for a repeat."""

    row: LedgerRow
    changed: bool


class Swept(Message, frozen=True, kw_only=True):
    """Number of rows closed for a dead entry."""

    rows: int


class Pinned(Message, frozen=True, kw_only=True):
    """The version a session is pinned to, old or new."""

    version: VersionId


class Recorded(Message, frozen=True, kw_only=True):
    """Evidence taken in; ``changed`` is false for a repeat."""

    changed: bool


Outcome = (
    Accepted
    | Conflict
    | Rejected
    | Reserved
    | AlreadyOpen
    | AlreadySettled
    | Settled
    | Swept
    | Pinned
    | Recorded
)


# --- configuration as entries receive it --------------------------------------


class ConfigSnapshot(Message, frozen=True, kw_only=True):
    """All configuration at one version, or what changed since an earlier one."""

    config_version: int
    since: int = 0
    """0 for everything, which replaces what an entry has; else it is merged."""
    workspaces: tuple[WorkspaceConfig, ...] = ()
    versions: tuple[VersionSpec, ...] = ()
    rollouts: tuple[Rollout, ...] = ()


class RenewLease(Message, frozen=True, kw_only=True):
    """An entry asks for its configuration lease; it counts from the sending."""

    entry: EntryId
    incarnation: int
    config_version: int
    """The newest configuration that this entry has in force."""


class LeaseGranted(Message, frozen=True, kw_only=True):
    """The entry has the newest configuration and may admit for ``duration``."""

    duration: float
    config_version: int
    term: int = 0
    """The granting leader's term; orders with lower fencing numbers are refused."""
    evidence: tuple[Evidence, ...] = ()
    """Sums over all entries, for version choice; sent now and then."""


class LeaseBehind(Message, frozen=True, kw_only=True):
    """The entry must first take this configuration and renew again."""

    snapshot: ConfigSnapshot


class NotLeader(Message, frozen=True, kw_only=True):
    """The asked control process does not lead; ``leader`` may know better."""

    leader: str = ""


class Submit(Message, frozen=True, kw_only=True):
    """Ask the leader to put a command through the log."""

    command: Command


class AskInForce(Message, frozen=True, kw_only=True):
    """Ask whether a configuration version is in force everywhere."""

    config_version: int


class InForce(Message, frozen=True, kw_only=True):
    """Whether it is, and the entries that are still behind."""

    in_force: bool
    waiting: tuple[EntryId, ...] = ()


class AskUpstreams(Message, frozen=True, kw_only=True):
    """Ask an entry for the upstreams that it knows."""


class KnownUpstream(Message, frozen=True, kw_only=True):
    """One upstream as an entry knows it."""

    announcement: Announcement
    lease_left: float
    """Seconds; 0 or less once it has run out."""
    left: bool
    ejected: bool
    in_flight: int
    """Requests of the asked entry."""


class KnownUpstreams(Message, frozen=True, kw_only=True):
    """An entry's upstreams, and how much it has in hand itself."""

    upstreams: tuple[KnownUpstream, ...]
    running: int
    draining: bool


class OrderVersions(Message, frozen=True, kw_only=True):
    """Ask an entry to pass an order on to an engine: all versions it should hold."""

    upstream: UpstreamId
    versions: tuple[VersionId, ...]
    fencing: int
    """The leader's term."""


class OrderPassed(Message, frozen=True, kw_only=True):
    """What became of an order; ``status`` is the engine's HTTP status, 0 if none."""

    status: int
    reason: str = ""


class Drain(Message, frozen=True, kw_only=True):
    """Tell an entry to stop gracefully, as a planned stop does."""


class Draining(Message, frozen=True, kw_only=True):
    """The entry has begun its planned stop."""

    running: int


class Failed(Message, frozen=True, kw_only=True):
    """A call failed; ``may_have_run`` tells whether it could still take effect."""

    reason: str
    may_have_run: bool


# --- spread between entries -----------------------------------------------------


class SpreadAnnouncements(Message, frozen=True, kw_only=True):
    """Announcements relayed from one entry to another, each with its age."""

    announcements: tuple[Announcement, ...]
    ages: tuple[float, ...]
    """Seconds since each was heard from the upstream itself."""


class SpreadDemand(Message, frozen=True, kw_only=True):
    """An entry's own in-flight counts and request rate of each workspace."""

    entry: EntryId
    incarnation: int
    sequence: int
    workspaces: tuple[WorkspaceId, ...]
    in_flight: tuple[int, ...]
    rates: tuple[float, ...]


# --- streams: framing, calls and heartbeats -------------------------------------


class Hello(Message, frozen=True, kw_only=True):
    """First message both ways: who speaks, and the protocol's version."""

    node: str
    protocol: int


class Beat(Message, frozen=True, kw_only=True):
    """Heartbeat; a stream silent for several beats is replaced."""


class Call(Message, frozen=True, kw_only=True):
    """A question that expects one ``Reply`` with the same number."""

    number: int
    body: Any


class Reply(Message, frozen=True, kw_only=True):
    """The answer to a ``Call``."""

    number: int
    body: Any


class Cast(Message, frozen=True, kw_only=True):
    """A message without an answer."""

    body: Any
