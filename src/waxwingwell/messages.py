"""Messages between the system's processes, and commands of the replicated log.

Every message is a tagged msgspec structure. The state machine applies a ``Command``
and returns an ``Outcome``. Protocol: docs/PROTOCOL.md.
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
from .records import StoredResponse
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
    """Header of a change, a compare-and-swap on the subject's revision.

    A retry with the same ``change_id`` returns the first outcome. ``at`` is the
    proposer's wall clock in seconds. The rule that a revision has one ancestor
    follows the CAS-only key-value store design, see docs/design/configuration.md.
    """

    change_id: str
    operator: str
    expected_revision: int
    at: float


class ApplyAnswers(Change, frozen=True, kw_only=True):
    """Store a workspace's answers and the configuration generated from them."""

    answers: bytes
    """The answers as JSON, stored unmodified."""
    config: WorkspaceConfig


class RegisterVersion(Change, frozen=True, kw_only=True):
    """Add a version to the catalogue, with the status in its ``spec``."""

    spec: VersionSpec


class StartRollout(Change, frozen=True, kw_only=True):
    """Start a staged roll-out of ``candidate`` against ``incumbent``."""

    model: str
    candidate: VersionId
    incumbent: VersionId
    pace: RolloutPace = RolloutPace()


class StepRollout(Change, frozen=True, kw_only=True):
    """Step a roll-out: change its stage, pause, resume, complete or roll it back."""

    model: str
    stage: int
    status: str
    """A ``RolloutStatus`` value."""
    reason: str = ""


class WithdrawVersion(Change, frozen=True, kw_only=True):
    """Withdraw a version, gracefully (its sessions may finish on it) or at once."""

    version: VersionId
    graceful: bool = False


# --- commands: ledger, pins, evidence ----------------------------------------


class Reserve(Message, frozen=True, kw_only=True):
    """Open the ledger row of a request, or return the row that its key already has."""

    row: LedgerRow


class Settle(Message, frozen=True, kw_only=True):
    """Settle the open row of a request id; a second settle changes nothing.

    With ``row``, the row is opened and settled in one command. This suits responses
    that are withheld until then, since nothing is sent that the row doesn't cover.
    """

    workspace: WorkspaceId
    key: str
    request: str
    outcome: OutcomeKind
    at: float
    version: VersionId = VersionId("")
    upstream: UpstreamId = UpstreamId("")
    usage: Usage = Usage()
    answer: StoredResponse | None = None
    row: LedgerRow | None = None


class SettleAbandoned(Message, frozen=True, kw_only=True):
    """Close the rows left open by an entry's incarnations below the given one."""

    entry: EntryId
    below_incarnation: int
    at: float


class PinSession(Message, frozen=True, kw_only=True):
    """Pin a session to a version unless it already has a pin."""

    workspace: WorkspaceId
    session: str
    version: VersionId
    at: float


class RecordEvidence(Message, frozen=True, kw_only=True):
    """Add an entry's increments of evidence; a known sequence changes nothing."""

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
    """A change is committed; ``config_version`` counts all accepted changes."""

    subject: str
    revision: int
    config_version: int


class Conflict(Message, frozen=True, kw_only=True):
    """The expected revision is outdated; ``current`` describes the current state."""

    subject: str
    revision: int
    current: str = ""


class Rejected(Message, frozen=True, kw_only=True):
    """The command was not executed; each finding has a reason and its place."""

    findings: tuple[Finding, ...]


class Reserved(Message, frozen=True, kw_only=True):
    """The row of this request id is open and durable."""


class AlreadyOpen(Message, frozen=True, kw_only=True):
    """Another attempt with the same key is running."""

    row: LedgerRow


class AlreadySettled(Message, frozen=True, kw_only=True):
    """The key's request has ended, or its outcome is unknown."""

    row: LedgerRow


class Settled(Message, frozen=True, kw_only=True):
    """The row after a settle; ``changed`` is false if it was settled before."""

    row: LedgerRow
    changed: bool


class Swept(Message, frozen=True, kw_only=True):
    """Number of rows closed for a dead entry."""

    rows: int


class Pinned(Message, frozen=True, kw_only=True):
    """The version that a session is pinned to, by this command or an earlier one."""

    version: VersionId


class Recorded(Message, frozen=True, kw_only=True):
    """Evidence was added; ``changed`` is false if its sequence was known."""

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
    """The whole configuration at one version, or the changes since an earlier one."""

    config_version: int
    since: int = 0
    """0 for a full snapshot, which replaces an entry's configuration; else merged."""
    workspaces: tuple[WorkspaceConfig, ...] = ()
    versions: tuple[VersionSpec, ...] = ()
    rollouts: tuple[Rollout, ...] = ()


class RenewLease(Message, frozen=True, kw_only=True):
    """Request to renew an entry's configuration lease; it runs from the sending."""

    entry: EntryId
    incarnation: int
    config_version: int
    """Newest configuration version that is in force at this entry."""


class LeaseGranted(Message, frozen=True, kw_only=True):
    """The entry has the newest configuration and may admit requests.

    ``duration`` is in seconds.
    """

    duration: float
    config_version: int
    term: int = 0
    """The granting leader's term; orders with lower fencing numbers are refused."""
    evidence: tuple[Evidence, ...] = ()
    """Totals over all entries, for choosing versions; not sent with every grant."""


class LeaseBehind(Message, frozen=True, kw_only=True):
    """The entry must apply this configuration before it renews its lease again."""

    snapshot: ConfigSnapshot


class NotLeader(Message, frozen=True, kw_only=True):
    """The called control process is not the leader; ``leader`` may name it."""

    leader: str = ""


class Submit(Message, frozen=True, kw_only=True):
    """Ask the leader to commit a command to the log."""

    command: Command


class AskInForce(Message, frozen=True, kw_only=True):
    """Ask whether a configuration version is in force at every entry."""

    config_version: int


class InForce(Message, frozen=True, kw_only=True):
    """Whether the version is in force, and the entries that don't have it yet."""

    in_force: bool
    waiting: tuple[EntryId, ...] = ()


class AskUpstreams(Message, frozen=True, kw_only=True):
    """Ask an entry for the upstreams it has discovered."""


class KnownUpstream(Message, frozen=True, kw_only=True):
    """One upstream, as an entry sees it."""

    announcement: Announcement
    lease_left: float
    """Seconds until the lease expires; 0 or less once it has expired."""
    left: bool
    ejected: bool
    in_flight: int
    """Requests in flight from the entry that sends this."""


class KnownUpstreams(Message, frozen=True, kw_only=True):
    """An entry's upstreams, and the number of its own running requests."""

    upstreams: tuple[KnownUpstream, ...]
    running: int
    draining: bool


class OrderVersions(Message, frozen=True, kw_only=True):
    """Ask an entry to forward an order to an engine: all versions it should hold."""

    upstream: UpstreamId
    versions: tuple[VersionId, ...]
    fencing: int
    """The leader's term."""


class OrderPassed(Message, frozen=True, kw_only=True):
    """Outcome of an order; ``status`` is the engine's HTTP status, or 0 for none."""

    status: int
    reason: str = ""


class Drain(Message, frozen=True, kw_only=True):
    """Ask an entry to start a planned stop."""


class Draining(Message, frozen=True, kw_only=True):
    """The entry has started its planned stop."""

    running: int


class Failed(Message, frozen=True, kw_only=True):
    """A call failed; ``may_have_run`` is true if it may still take effect."""

    reason: str
    may_have_run: bool


# --- exchanged between entries ---------------------------------------------------


class SpreadAnnouncements(Message, frozen=True, kw_only=True):
    """Announcements relayed from one entry to another, each with its age."""

    announcements: tuple[Announcement, ...]
    ages: tuple[float, ...]
    """Seconds since each announcement was received from its upstream."""


class SpreadDemand(Message, frozen=True, kw_only=True):
    """An entry's own requests in flight and request rate for each workspace."""

    entry: EntryId
    incarnation: int
    sequence: int
    workspaces: tuple[WorkspaceId, ...]
    in_flight: tuple[int, ...]
    rates: tuple[float, ...]


# --- streams: framing, calls and heartbeats -------------------------------------


class Hello(Message, frozen=True, kw_only=True):
    """First message in each direction: the sender's name and protocol version."""

    node: str
    protocol: int


class Beat(Message, frozen=True, kw_only=True):
    """Heartbeat; a connection that receives nothing for several of them is replaced."""


class Call(Message, frozen=True, kw_only=True):
    """A request that expects one ``Reply`` with the same number."""

    number: int
    body: Any


class Reply(Message, frozen=True, kw_only=True):
    """The reply to a ``Call``."""

    number: int
    body: Any


class Cast(Message, frozen=True, kw_only=True):
    """A one-way message."""

    body: Any
