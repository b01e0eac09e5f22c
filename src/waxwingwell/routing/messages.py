"""Messages between gateways and the controls of a routing group.

They use the same links as all other messages; see docs/PROTOCOL.md.
"""

from __future__ import annotations

import msgspec

from ..messages import Message
from .fleet import Announcement  # noqa: TC001  # msgspec reads it
from .outcomes import SparseHistogram  # msgspec reads it
from .records import Document  # noqa: TC001  # msgspec reads it


class Publish(Message, frozen=True, kw_only=True):
    """Activate a document, unless an equal or higher version is active already."""

    document: Document
    source: bytes
    """The document as the operator sent it, returned unchanged when it is read."""


class BeginRollout(Message, frozen=True, kw_only=True):
    """Start a roll-out of the version ``target`` of a service."""

    service: str
    target: str
    duration: float
    """Seconds within which the roll-out must finish."""
    ordered_at: float
    """Wall-clock time at which a member accepted the order; identifies duplicates."""
    revision: int | None = None
    """Number of the service's roll-outs known to the member that received the order; an
    order that a later roll-out has overtaken is rejected. None: not checked, as the
    order was received by an earlier release."""


class EndRollout(Message, frozen=True, kw_only=True):
    """Finish a roll-out: the target is established, or rolled back."""

    service: str
    target: str
    ordered_at: float
    completed: bool


class GrowRollout(Message, frozen=True, kw_only=True):
    """Raise the share of sessions that use the target of a roll-out."""

    service: str
    target: str
    ordered_at: float
    share: float


class SetEvacuation(Message, frozen=True, kw_only=True):
    """Evacuate a data centre, or withdraw its evacuation."""

    data_centre: str
    active: bool
    revision: int
    """Revision of the data centre's evacuation known to the member that received the
    order; an order that later changes have overtaken is rejected."""


RoutingCommand = Publish | BeginRollout | GrowRollout | EndRollout | SetEvacuation


class RolloutState(Message, frozen=True, kw_only=True):
    """State of a service's roll-out, as agreed by the members."""

    service: str
    target: str
    former: str
    """Version in use before the roll-out; empty if none had been agreed on."""
    duration: float
    ordered_at: float
    share: float
    state: str
    """``in_progress``, ``completed`` or ``reverted``."""
    revision: int = 0
    """Number of roll-outs of this service so far."""


class EvacuationState(Message, frozen=True, kw_only=True):
    """Whether a data centre is evacuated, as agreed by the members."""

    data_centre: str
    active: bool
    revision: int
    """Number of orders accepted for this data centre so far, without resends."""


class SubmitRouting(Message, frozen=True, kw_only=True):
    """Ask the leader to append a command to the log."""

    command: RoutingCommand


class Accepted(Message, frozen=True, kw_only=True):
    """The command has been stored durably on a majority of the members."""


class NotAccepted(Message, frozen=True, kw_only=True):
    """The command was not confirmed; it may or may not take effect."""

    reason: str


class ReadRouting(Message, frozen=True, kw_only=True):
    """Ask the leader for the latest state."""


class RoutingNow(Message, frozen=True, kw_only=True):
    """The latest state; the leader's lease guarantees that it is current."""

    version: int
    source: bytes
    rollouts: tuple[RolloutState, ...] = ()
    evacuations: tuple[EvacuationState, ...] = ()


class ShareRouting(Message, frozen=True, kw_only=True):
    """The active state, from a control to its gateways.

    ``document`` is compressed msgpack; empty if the receiver has this version.
    """

    index: int
    """Index in the log; a receiver ignores a state whose index is not higher."""
    version: int
    document: bytes
    rollouts: tuple[RolloutState, ...]
    evacuated: tuple[str, ...] = ()
    """Data centres whose upstreams get no requests."""


class CrashEvidence(msgspec.Struct, frozen=True, array_like=True):
    """A prompt block in a request that a crashed upstream was starting to serve.

    Or the request itself, by the hash of its content, which is negative.
    """

    block: int
    """Hash of service and block, or of the request's content."""
    crash: int
    """Hash of the upstream's id and incarnation."""
    request: int
    """Hash of the request, which all of its attempts share."""
    lag: float | None
    """Longest time from the start of a response to the crash, in seconds; None if none
    had started."""
    cleared: bool = False
    """Whether the block can't be the cause: an upstream has responded and lives."""
    age: float = 0.0
    """Seconds since the crash."""


class TrialState(msgspec.Struct, frozen=True, array_like=True):
    """Permission to send one request with a quarantined prompt block."""

    block: int
    """Hash of service and block; the first one of a group."""
    number: int
    """Counts the trials of the block."""
    gateway: str
    age: float = 0.0
    """Seconds since the permission."""


class ShareNews(Message, frozen=True, kw_only=True):
    """Announcements of upstreams whose state changed, and evidence on crashes."""

    news: tuple[Announcement, ...]
    crashes: tuple[CrashEvidence, ...] = ()
    trials: tuple[TrialState, ...] = ()


class ShareHeartbeats(Message, frozen=True, kw_only=True):
    """Heartbeats received from upstreams: id, incarnation, sequence number."""

    heard: tuple[tuple[str, int, int], ...]


class ShareMembers(Message, frozen=True, kw_only=True):
    """Names of the controls that a process may connect to."""

    controls: tuple[str, ...]
    data_centre: str = ""
    """Data centre of the control that sends this."""


class UpstreamUse(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Load that gateways have at an upstream."""

    upstream: str
    running: int
    backlog: int
    """Milliseconds of prefill for requests that have no first event yet."""
    tokens: int = 0
    """Tokens of engine memory that the requests need."""


class EnginePace(msgspec.Struct, frozen=True, array_like=True):
    """Time that an engine takes for an event of a model, or for a whole call."""

    upstream: str
    incarnation: int
    model: str
    """The route for a service without models."""
    count: int
    """Samples behind the time."""
    ms: float
    """Median of the samples at a gateway, mean over gateways at a control."""


class EngineSpeed(msgspec.Struct, frozen=True, array_like=True):
    """How many times as long as the median engine of its service an engine takes."""

    upstream: str
    incarnation: int
    factor: float


class ServiceRepeats(msgspec.Struct, frozen=True, array_like=True):
    """Requests and retries of a service within the window of the retry budget."""

    service: str
    requests: int
    """Requests of callers."""
    repeats: int
    """Retries: attempts after the first one of a request."""
    drawn: float = 0.0
    """Retries that the gateways' own parts of the budget do not cover."""
    shares: int = 0
    """Gateways whose share of the slack is included."""
    former: int = 0
    """Requests of processes that have ended; their retries are in ``repeats``."""


class VersionEvidence(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Outcomes of one kind of requests to a version, since a roll-out became known.

    The fields of the same names in ``Outcomes`` say what is counted.
    """

    service: str
    version: str
    answers: int
    failures: int
    seconds: float = 0.0
    """Total of the times to the first byte, from older releases only."""
    ordered_at: float = 0.0
    """Time of the order, which identifies the roll-out; 0 from older releases, which
    count since their start."""
    kind: str = ""
    """Name of the route; empty for all routes beyond the number counted apart."""
    sent: int = 0
    breaks: int = 0
    first_bytes: SparseHistogram = ()
    durations: SparseHistogram = ()
    waiting: SparseHistogram = ()
    crashes: int = 0
    abandoned: SparseHistogram = ()
    paces: SparseHistogram = ()
    pacing: SparseHistogram = ()
    age: float = 0.0
    """Seconds since the gateway learned of the roll-out."""
    loaded_paces: SparseHistogram = ()
    loaded_pacing: SparseHistogram = ()


class LimitState(msgspec.Struct, frozen=True, array_like=True):
    """The limit on requests that an upstream has named, as known to the sender."""

    upstream: str
    incarnation: int
    rate: float
    """Requests per second that all gateways together may send."""
    named_age: float
    """Seconds since a response named the limit."""
    lifted_in: float | None = None
    """Seconds until the limit ends, negative if it has; None while it applies."""


class BrittleState(msgspec.Struct, frozen=True, array_like=True):
    """What the upstreams of a service have stated about rejections."""

    service: str
    rejections: float | None
    """Rejections per second beyond which an upstream crashes; None if it does not."""
    age: float
    """Seconds since the statement."""


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """A gateway's need of permits to send requests to a limited upstream."""

    upstream: str
    rate: float
    """Permits per second that all controls together may grant."""
    wanted: int
    """Requests since the last report, less the permits that the gateway still has."""
    returned: int = 0
    """Permits that the gateway has not used in time."""


class GrantPermits(Message, frozen=True, kw_only=True):
    """A control's response to a report, while upstreams are limited or rest."""

    reported_at: float
    """Time of the report by the gateway's own clock, from which permits count."""
    permits: tuple[str, ...] = ()
    """Upstreams to which the gateway may send a request, one entry for each."""
    limits: tuple[LimitState, ...] = ()
    brittle: tuple[BrittleState, ...] = ()
    rests: tuple[RestState, ...] | msgspec.UnsetType = msgspec.UNSET
    """Rests that the receiver's former process was asked for; not sent if there are
    none."""


class RelayGateway(msgspec.Struct, frozen=True, array_like=True):
    """A gateway that reaches upstreams and forwards requests of other gateways."""

    name: str
    address: str
    port: int
    data_centre: str


class ShareRelays(Message, frozen=True, kw_only=True):
    """Gateways through which a gateway may reach upstreams."""

    relays: tuple[RelayGateway, ...]
    without_room: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET
    """Those of them without ample room; unset, and not sent, if all have it."""
    ample: bool | msgspec.UnsetType = msgspec.UNSET
    """Whether only those in the receiver's data centre that have ample room are listed,
    for a gateway that has little; unset, and not sent, in other lists."""


class ServiceDemand(msgspec.Struct, frozen=True, array_like=True):
    """Requests for a service that is short of room."""

    service: str
    rank: int
    """Rank of urgency; 0 is the most urgent."""
    requests: int
    """Requests that wait or have just arrived."""
    waiting: int = 0
    """Those of them that wait."""
    freed: int = 0
    """Slots that requests have freed since the last report and that were not used at
    once; with the least urgent rank only."""


class WorkspaceUse(msgspec.Struct, frozen=True, array_like=True):
    """What a workspace runs of a service that is short of room."""

    service: str
    workspace: str
    running: int


class RestState(msgspec.Struct, frozen=True, array_like=True):
    """A rest that an upstream has asked a gateway for."""

    gateway: str
    upstream: str
    incarnation: int
    """Latest incarnation that was known when it asked."""
    asked_at: float
    """Time at which it asked, by the gateway's clock."""
    left: float
    """Seconds until the rest ends."""


class FormerCounts(msgspec.Struct, frozen=True, array_like=True):
    """What gateways had reported to a control when they lost their links to it."""

    control: str
    repeats: tuple[ServiceRepeats, ...]


class LostCounts(msgspec.Struct, frozen=True, array_like=True):
    """Last totals of a control that has ended."""

    control: str
    run: int
    """Distinguishes a process of the control from the previous one."""
    age: float
    """Seconds since its last report."""
    repeats: tuple[ServiceRepeats, ...]
    gateways: int = 0
    """Gateways in these totals."""
    counted_at: float = 0.0
    """Time at which that control counted them, by its own clock."""
    unseen: float = 0.0
    """Seconds after that in which its gateways may have sent more, beyond the usual
    time between two reports."""


class GatewayReport(Message, frozen=True, kw_only=True):
    """Report of one gateway to the others, through a control."""

    gateway: str
    run: int = 0
    """Distinguishes a process of this gateway from the previous one."""
    use: tuple[UpstreamUse, ...]
    evidence: tuple[VersionEvidence, ...]
    work: float = 0.0
    """Milliseconds of prefill requested from engines in the last seconds."""
    held: int = -1
    """Index in the controls' log of the state that the gateway has."""
    kept: tuple[int, ...] = ()
    """Hash positions of active sessions that keep a former version in a roll-out."""
    repeats: tuple[ServiceRepeats, ...] = ()
    read: tuple[int, ...] = ()
    """Hashes of prompt blocks that engines have processed since the last report."""
    reported_at: float | None = None
    """Time of the report by the gateway's own clock; None from older releases, which
    do not understand ``GrantPermits``."""
    gateways: int = 0
    """Largest number of gateways that were known recently; 0 if it is not known."""
    late: float | msgspec.UnsetType = msgspec.UNSET
    """Seconds by which this report may arrive late; unset if it should be in time."""
    permits: tuple[PermitRequest, ...] = ()
    limits: tuple[LimitState, ...] = ()
    brittle: tuple[BrittleState, ...] = ()
    relay: RelayGateway | None = None
    """How to reach this gateway as a relay; None if it can't be one at present."""
    lost_path: bool = False
    """Whether the gateway reaches no upstream, and needs relays."""
    room: float | msgspec.UnsetType = msgspec.UNSET
    """Part of the gateway's capacity that is free, 0 to 1; unset, and not sent, while
    it is ample. Unset counts as 1."""
    crashes: tuple[CrashEvidence, ...] = ()
    refused: tuple[int, ...] = ()
    """Quarantined blocks for which requests were refused since the last report."""
    demand: tuple[ServiceDemand, ...] | msgspec.UnsetType = msgspec.UNSET
    """Requests for services that are short of room; not sent if there are none."""
    workspaces: tuple[WorkspaceUse, ...] | msgspec.UnsetType = msgspec.UNSET
    """Running requests by workspace, of the same services."""
    paces: tuple[EnginePace, ...] | msgspec.UnsetType = msgspec.UNSET
    """Paces of engines since the last report of them, once a second."""
    former: FormerCounts | msgspec.UnsetType = msgspec.UNSET
    """Retries within the window as reported to the control before, if it may have
    ended."""
    rests: tuple[RestState, ...] | msgspec.UnsetType = msgspec.UNSET
    """Rests that upstreams have asked this gateway for; not sent if there are none."""


class IncludedReport(msgspec.Struct, frozen=True, array_like=True):
    """A gateway's report that totals include."""

    reported_at: float
    """Time of the report by the gateway's clock."""
    held: float
    """Seconds for which the control has held it."""


class FleetReport(Message, frozen=True, kw_only=True):
    """Totals over all gateways; a receiver subtracts what it reported itself."""

    gateways: int
    use: tuple[UpstreamUse, ...]
    work: float = 0.0
    held: int = -1
    """Lowest index in the controls' log among the gateways' states."""
    kept: tuple[int, ...] = ()
    repeats: tuple[ServiceRepeats, ...] = ()
    read: tuple[int, ...] = ()
    """Hashes of prompt blocks that engines have processed since the last totals."""
    grants: bool = False
    """Whether the control grants permits for limited upstreams."""
    demand: tuple[ServiceDemand, ...] | msgspec.UnsetType = msgspec.UNSET
    """Requests for services that are short of room; not sent if there are none."""
    workspaces: tuple[WorkspaceUse, ...] | msgspec.UnsetType = msgspec.UNSET
    """Running requests by workspace, of the same services."""
    late: float | msgspec.UnsetType = msgspec.UNSET
    """Seconds by which a part of the totals may be late, not counting the way to the
    receiver; unset if none is."""
    included: IncludedReport | msgspec.UnsetType = msgspec.UNSET
    """The receiver's own report in the totals."""
    counted: float | msgspec.UnsetType = msgspec.UNSET
    """Seconds for which the sender knows the retries of all gateways; unset if that is
    the whole window of the budget."""
    speeds: tuple[EngineSpeed, ...] | msgspec.UnsetType = msgspec.UNSET
    """Engines that are slower or faster than the median one, once a second; one that
    has returned is listed with the factor 1 for some seconds."""


class ReceivedReport(msgspec.Struct, frozen=True, array_like=True):
    """The last report that a control has received from another one."""

    control: str
    sent_at: float
    """Time at which that control sent it, by its own clock."""
    held: float
    """Seconds for which it was held."""


class GatewayEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Some of the counters that a gateway process has reported."""

    gateway: str
    versions: tuple[VersionEvidence, ...]
    run: int = 0
    """Distinguishes a process of the gateway from the previous one."""


class ControlReport(Message, frozen=True, kw_only=True):
    """Report of one control to the others on the gateways attached to it."""

    total: FleetReport
    evidence: tuple[GatewayEvidence, ...] = ()
    """Evidence of the attached gateways where it changed, and periodically all of
    it."""
    untold: tuple[str, ...] = ()
    """Gateways that do not report which state they have."""
    limits: tuple[LimitState, ...] = ()
    brittle: tuple[BrittleState, ...] = ()
    relays: tuple[RelayGateway, ...] = ()
    """Some of the attached gateways that reach upstreams."""
    without_room: tuple[str, ...] | msgspec.UnsetType = msgspec.UNSET
    """Those of the relays without ample room; unset, and not sent, if all have it."""
    sent_at: float | msgspec.UnsetType = msgspec.UNSET
    """Time of the report by the sender's clock."""
    received: tuple[ReceivedReport, ...] | msgspec.UnsetType = msgspec.UNSET
    """Last reports of the other controls, by which these measure lateness."""
    paces: tuple[EnginePace, ...] | msgspec.UnsetType = msgspec.UNSET
    """Means over the attached gateways that have new samples; each replaces the former
    one of this control."""
    run: int | msgspec.UnsetType = msgspec.UNSET
    """Distinguishes a process of the control from the previous one; unset from older
    releases."""
    lost: tuple[LostCounts, ...] | msgspec.UnsetType = msgspec.UNSET
    """Controls that have ended within the window; not sent if there are none."""
    former: tuple[FormerCounts, ...] | msgspec.UnsetType = msgspec.UNSET
    """Sums of what the attached gateways had reported to former controls."""
    rests: tuple[RestState, ...] | msgspec.UnsetType = msgspec.UNSET
    """Rests of all gateways; not sent if there are none."""


RoutingBody = (
    SubmitRouting
    | Accepted
    | NotAccepted
    | ReadRouting
    | RoutingNow
    | ShareRouting
    | ShareNews
    | ShareHeartbeats
    | ShareMembers
    | GatewayReport
    | FleetReport
    | GrantPermits
    | ShareRelays
    | ControlReport
)
