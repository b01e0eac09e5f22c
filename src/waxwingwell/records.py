"""Records shared by every layer: configuration, versions, upstreams, outcomes.

All are frozen data classes that msgspec can encode; times are seconds as float,
money is micro-units of the workspace's currency, sizes are tokens unless named.
"""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum
from typing import NewType


VersionId = NewType("VersionId", str)
"""A version of a model, written ``model@version``."""

UpstreamId = NewType("UpstreamId", str)
EntryId = NewType("EntryId", str)
WorkspaceId = NewType("WorkspaceId", str)


class Priority(StrEnum):
    """Order in which waiting work is served; see ``PRIORITY_ORDER``."""

    ORDER = "order"
    QUESTION = "question"
    TAG = "tag"
    REPORT = "report"


PRIORITY_ORDER = (Priority.ORDER, Priority.QUESTION, Priority.TAG, Priority.REPORT)


class Role(StrEnum):
    """What the holder of a key may do."""

    CALLER = "caller"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class KeyHash:
    """One key of a workspace; only the SHA-256 hex digest is kept."""

    name: str
    digest: str
    role: Role = Role.CALLER
    revoked: bool = False


@dataclass(frozen=True, slots=True)
class WorkKind:
    """A kind of work a workspace sends, with the rules that hold for it."""

    name: str
    priority: Priority
    quality_target: float
    """Least mean rating (0 to 1) that answers of this kind must reach."""
    waits_for_whole: bool = False
    """The caller can wait for a whole answer, so that a cascade may be used."""


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """How calls of one plain service below one path prefix are treated."""

    service: str
    path_prefix: str
    methods: tuple[str, ...]
    repeatable: bool
    """True for idempotent calls; others run at most once."""
    priority: Priority = Priority.ORDER


@dataclass(frozen=True, slots=True)
class Weighing:
    """Relative weight of the three measures; only their ratio matters."""

    cost: float = 1.0
    latency: float = 1.0
    exposure: float = 1.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a workspace, shared between all entries."""

    requests_per_second: float = 50.0
    max_in_flight: int = 64
    max_wait: float = 10.0
    """Longest wait a queue may imply before a request is refused."""
    max_body: int = 1_000_000
    """Bytes in a request body."""


@dataclass(frozen=True, slots=True)
class RolloutPace:
    """How fast a new version takes over for a workspace's sessions."""

    stages: tuple[float, ...] = (0.01, 0.05, 0.2, 0.5, 1.0)
    """Share of new sessions at each stage, rising, ending with 1."""
    max_unrated: int = 20
    """Cap on answers of a new version whose rating is still outstanding."""
    false_alarm: float = 0.01
    """Chance of withdrawing a version that is as good as the incumbent."""
    margin: float = 0.03
    """Loss of mean rating that makes a version bad."""


@dataclass(frozen=True, slots=True)
class WorkspaceConfig:
    """Configuration of one workspace, generated from its answers."""

    workspace: WorkspaceId
    revision: int
    allowed: tuple[VersionId, ...]
    kinds: tuple[WorkKind, ...]
    services: tuple[ServiceRule, ...] = ()
    keys: tuple[KeyHash, ...] = ()
    weighing: Weighing = Weighing()
    limits: Limits = Limits()
    pace: RolloutPace = RolloutPace()
    data_centres: tuple[str, ...] = ()
    """Where its work may run; empty allows every data centre."""
    default_kind: str = "question"


class VersionStatus(StrEnum):
    """Fleet-wide standing of a version."""

    ACTIVE = "active"
    CANDIDATE = "candidate"
    """In a roll-out: gets only the share of its stage."""
    ENDING = "ending"
    """Withdrawn gracefully: pinned sessions end on it, nothing new starts."""
    WITHDRAWN = "withdrawn"
    """Withdrawn at once: no new work at all."""


@dataclass(frozen=True, slots=True)
class VersionSpec:
    """One version of one model, as the operators registered it."""

    version: VersionId
    model: str
    price_in: float
    """Micro-units for one prompt token."""
    price_out: float
    """Micro-units for one answer token."""
    quality_prior: float = 0.5
    """Mean rating expected before any was seen."""
    status: VersionStatus = VersionStatus.ACTIVE


class RolloutStatus(StrEnum):
    """Where a roll-out stands."""

    RUNNING = "running"
    PAUSED = "paused"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True, slots=True)
class Evidence:
    """Ratings of one version for one workspace and kind, summed."""

    version: VersionId
    workspace: WorkspaceId
    kind: str
    rated: int = 0
    total: float = 0.0
    """Sum of ratings, each 0 to 1."""
    squares: float = 0.0
    """Sum of squared ratings."""
    sent: int = 0
    """Answers given, rated or not."""
    to_rate: int = 0
    """Answers handed to the rating service."""


@dataclass(frozen=True, slots=True)
class Rollout:
    """A staged roll-out of a candidate against its incumbent."""

    model: str
    candidate: VersionId
    incumbent: VersionId
    pace: RolloutPace
    stage: int = 0
    status: RolloutStatus = RolloutStatus.RUNNING
    started_at: float = 0.0
    stage_at: float = 0.0
    """When the present stage began, on the leader's wall clock."""
    reason: str = ""
    base: tuple[Evidence, ...] = ()
    """Evidence of both versions when the present stage began."""


class UpstreamKind(StrEnum):
    """What an upstream serves."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Capabilities:
    """What an upstream says it can do."""

    resume: bool = False
    cancel: bool = False
    kv_transfer: bool = False
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class Announcement:
    """An upstream's announcement of itself.

    ``incarnation`` rises with each start of the upstream and ``sequence`` with each
    announcement of one incarnation, so that late or reordered ones are told apart.
    """

    upstream: UpstreamId
    incarnation: int
    sequence: int
    kind: UpstreamKind
    data_centre: str
    host: str
    port: int
    lease: float
    """Seconds for which the announcement holds without renewal."""
    versions: tuple[VersionId, ...] = ()
    service: str = ""
    capacity: int = 1
    """Requests that run side by side at full speed."""
    capabilities: Capabilities = Capabilities()
    leaving: bool = False
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load as the upstream reported it; it lags by ``age`` seconds or more."""

    running: int = 0
    queued: int = 0
    backlog_tokens: int = 0
    tokens_per_second: float = 0.0
    """Decode rate of one request at the reported load."""
    prefill_per_second: float = 0.0
    age: float = 0.0


class OutcomeKind(StrEnum):
    """How a request ended, as the caller may rely on it."""

    COMPLETED = "completed"
    NOT_RUN = "not_run"
    MAY_HAVE_RUN = "may_have_run"
    FAILED = "failed"


@dataclass(frozen=True, slots=True)
class Usage:
    """Tokens of one request and their price in micro-units."""

    prompt_tokens: int = 0
    answer_tokens: int = 0
    cost: int = 0


class RowStatus(StrEnum):
    """Where a ledger row stands."""

    OPEN = "open"
    SETTLED = "settled"
    UNKNOWN = "unknown"
    """Its entry died after a non-idempotent dispatch may have happened."""


@dataclass(frozen=True, slots=True)
class StoredAnswer:
    """The answer of a settled non-idempotent request, for replay."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class LedgerRow:
    """The one billing row of a request, keyed by (workspace, key)."""

    workspace: WorkspaceId
    key: str
    request: str
    """Request id; it differs between two attempts under one key."""
    entry: EntryId
    entry_incarnation: int
    repeatable: bool
    digest: str
    """Of the request body: one key must not name two requests."""
    reserved_at: float
    version: VersionId = VersionId("")
    upstream: UpstreamId = UpstreamId("")
    session: str = ""
    status: RowStatus = RowStatus.OPEN
    outcome: OutcomeKind = OutcomeKind.FAILED
    usage: Usage = Usage()
    answer: StoredAnswer | None = None
    settled_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Finding:
    """One fault found in an input, with its place."""

    place: str
    """Dotted path, for example ``kinds.2.quality_target``."""
    message: str
