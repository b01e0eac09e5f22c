"""State shared by the modules of a gateway process."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import Protocol

from ...routing.acceptance import AcceptTable
from ...routing.call_times import CallTimeTable
from ...routing.delays import DelayTable
from ...routing.engine_paces import PaceSampleTable
from ...routing.engine_speeds import EngineSpeedTable
from ...routing.fleet import Announcement
from ...routing.fleet import FleetTable
from ...routing.gateway_room import RoomTable
from ...routing.health import HealthTable
from ...routing.lateness import LatenessTable
from ...routing.limits import LimitTable
from ...routing.load import LoadTable
from ...routing.lookup import DocumentIndex
from ...routing.lost_counts import FormerTable
from ...routing.messages import RelayGateway
from ...routing.messages import RolloutState
from ...routing.messages import ServiceDemand
from ...routing.messages import ServiceRepeats
from ...routing.messages import UpstreamUse
from ...routing.messages import WorkspaceUse
from ...routing.output_pace import OutputPaceTable
from ...routing.permits import PermitTable
from ...routing.prefill_speed import SpeedTable
from ...routing.prefixes import PrefixTable
from ...routing.quarantine import QuarantineTable
from ...routing.reachability import PathTable
from ...routing.retries import RetryTable
from ...routing.room import BrittleTable
from ...routing.sessions import SessionTable
from ...routing.silence import SilenceTable
from ...routing.tallies import CountedRequest
from ...routing.tallies import RolloutTally
from ...routing.trials import TrialTable
from ...routing.warmup import WarmUpTable
from ..http.budget import Budget
from ..http.turns import TurnQueue
from ..links import Link
from ..links import LinkNode
from ..traffic import TrafficTable
from .dialect import Dialect
from .dialect import RequestFacts
from .request_queue import RequestQueues
from .settings import GatewaySettings
from .waiting import StartupQueue


if TYPE_CHECKING:
    from ...routing.records import Workspace


class RunningRequest(Protocol):
    """Interface of a running request to periodic tasks and the shutdown."""

    facts: RequestFacts
    blocks: tuple[int, ...]
    """Keys of the prompt blocks that other requests may hold."""
    crashes: int
    """Upstreams that have crashed when the response had just started."""
    workspace: Workspace | None
    ended: set[int]
    """Keys of the crashes that may have ended its attempts."""
    is_trial: bool
    """Whether it is sent to test whether its quarantined block crashes upstreams."""

    @property
    def content(self) -> int:
        """Key of what all attempts of the request share."""

    @property
    def holds_slot(self) -> bool:
        """Whether an upstream runs it for this gateway."""

    def find_service(self) -> str:
        """Return the service that the request is sent to."""

    def check_responsiveness(self, now: float) -> None:
        """Fail over from an upstream that has sent no data for too long."""

    def check_progress(self, now: float) -> None:
        """Clear the prompt blocks if the response has run for long enough."""

    def cancel_if_quarantined(self) -> None:
        """End the request if it is quarantined and its response has not started."""

    def finish_now(self, reason: str, now: float) -> None:
        """Send the final response at once."""


@dataclass(frozen=True, slots=True)
class BrokenRequest:
    """A request that an upstream was starting to serve when its connection broke."""

    request: RunningRequest
    lag: float | None
    """Seconds since the start of its response; None if it had not started."""
    survived: bool
    """Whether the upstream has sent enough of a response to clear its prompt blocks."""


@dataclass(slots=True)
class Break:
    """Connections to one incarnation of an upstream that broke."""

    upstream: Announcement
    at: float
    """Time of the last one."""
    process: int = 0
    """Number of the process, if one has started that is not announced yet."""
    requests: list[BrokenRequest] = field(default_factory=list)
    checked: bool = False
    """Whether a check of the upstream is in progress."""
    unanswered: bool = False
    """Whether the last check got no answer."""
    crashed: bool = False
    """Whether the upstream is known to have crashed."""
    responded: bool = False
    """Whether it, or a process in its place, was reached since."""


@dataclass(slots=True, kw_only=True)
class GatewayContext:
    """Shared state of a gateway process."""

    settings: GatewaySettings
    reactor: Any
    clock: Callable[[], float]
    random: random.Random
    dialect: Dialect
    node: LinkNode | None = None
    controls: dict[str, Link] = field(default_factory=dict)
    attached_control: str = ""
    """Name of the control that this gateway reports to; empty if none."""
    local_controls: set[str] = field(default_factory=set)
    """Controls in the gateway's own data centre."""
    index: DocumentIndex | None = None
    routing_index: int = -1
    """Index in the controls' log of the routing state held; it never decreases."""
    rollouts: dict[str, RolloutState] = field(default_factory=dict)
    evacuated: frozenset[str] = frozenset()
    """Data centres whose upstreams get no requests."""
    warm_up: WarmUpTable = field(default_factory=WarmUpTable)
    established: dict[str, str] = field(default_factory=dict)
    """Version in use by service, used while no roll-out names one."""
    fleet: FleetTable = field(default_factory=FleetTable)
    heartbeats_at: float = 0.0
    """Time of the last heartbeat report from a control."""
    load: LoadTable = field(default_factory=LoadTable)
    lateness: LatenessTable = field(default_factory=LatenessTable)
    """Reports sent, and how late reports and totals are."""
    reported_use: tuple[UpstreamUse, ...] = ()
    reported_work: float = 0.0
    reported_retries: tuple[ServiceRepeats, ...] = ()
    reported_to: str = ""
    """Control that has got the last report."""
    reported_over: Any = None
    """Connection over which reports go."""
    former: FormerTable = field(default_factory=FormerTable)
    """What had been reported over the connection before, if it was lost."""
    health: HealthTable = field(default_factory=HealthTable)
    limits: LimitTable = field(default_factory=LimitTable)
    brittle: BrittleTable = field(default_factory=BrittleTable)
    path: PathTable = field(default_factory=PathTable)
    delays: DelayTable = field(default_factory=DelayTable)
    accepts: AcceptTable = field(default_factory=AcceptTable)
    relays: tuple[RelayGateway, ...] = ()
    """Other gateways that reach upstreams."""
    relays_at: float = -math.inf
    """Time of the last list of relays that named one."""
    room: RoomTable = field(default_factory=RoomTable)
    """This gateway's own room, and other gateways that have room."""
    traffic: TrafficTable = field(default_factory=TrafficTable)
    """Bytes of this gateway's connections."""
    permits: PermitTable = field(default_factory=PermitTable)
    granting_at: float = -math.inf
    """Time of the last totals from a control that grants permits."""
    waiting: int = 0
    """Requests that wait for a permit or for room at an upstream."""
    prefixes: PrefixTable = field(default_factory=PrefixTable)
    sessions: SessionTable = field(default_factory=SessionTable)
    speeds: SpeedTable = field(default_factory=SpeedTable)
    """Prefill speeds by model."""
    output_paces: OutputPaceTable = field(default_factory=OutputPaceTable)
    """Output paces by model."""
    engine_speeds: EngineSpeedTable = field(default_factory=EngineSpeedTable)
    invalid_speeds_at: float = -math.inf
    """Time of the last log line on invalid duration factors."""
    paces: PaceSampleTable = field(default_factory=PaceSampleTable)
    """Samples of the engines' paces since the last report."""
    sizes: dict[str, float] = field(default_factory=dict)
    """Typical request size by route."""
    poor_shares: dict[str, float] = field(default_factory=dict)
    """Share of the smallest model's responses that are probably poor, by route."""
    upstream_active_at: dict[str, float] = field(default_factory=dict)
    """Time of the last byte received, by upstream."""
    call_times: CallTimeTable = field(default_factory=CallTimeTable)
    silences: SilenceTable = field(default_factory=SilenceTable)
    retries: RetryTable = field(default_factory=RetryTable)
    quarantine: QuarantineTable = field(default_factory=QuarantineTable)
    trials: TrialTable = field(default_factory=TrialTable)
    refused_blocks: dict[int, None] = field(default_factory=dict)
    """Quarantined blocks for which requests were refused since the last report."""
    quarantined: set[int] = field(default_factory=set)
    """Quarantined prompt blocks that were logged last."""
    breaks: dict[tuple[str, int], Break] = field(default_factory=dict)
    """Recent breaks of connections, by the upstream's id and incarnation."""
    broken: dict[tuple[str, int], list[CountedRequest]] = field(default_factory=dict)
    """Requests that broke off during a roll-out, by the address of the upstream that is
    being checked."""
    evidence_reported_at: float = -math.inf
    """Time of the last report of all evidence on crashes."""
    tallies: dict[str, RolloutTally] = field(default_factory=dict)
    """Outcomes of requests during the roll-out in progress, by service."""
    exchanges: set[RunningRequest] = field(default_factory=set)
    """Running requests."""
    startup_queue: StartupQueue = field(default_factory=StartupQueue)
    """Requests queued until the first configuration."""
    queues: RequestQueues = field(default_factory=RequestQueues)
    """Requests that wait for room at upstreams."""
    reported_demand: tuple[ServiceDemand, ...] = ()
    reported_workspaces: tuple[WorkspaceUse, ...] = ()
    control_seen_at: float = 0.0
    """Time of the last message from any control."""
    held: Budget = field(default_factory=Budget)
    """What callers and upstreams take up."""
    turns: TurnQueue = field(default_factory=TurnQueue)
    stopping: bool = False
    exit_at: float = math.inf
    """Latest time at which a stopping process exits."""
