"""Records shared by all layers: configuration, versions, upstreams, outcomes.

All are frozen data classes that msgspec can encode. Unless stated otherwise, times
are seconds as float, amounts of money are micro-units of the workspace's currency,
and sizes are tokens.
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
    """Priority of queued requests, served in the order of ``PRIORITY_ORDER``."""

    ORDER = "order"
    QUESTION = "question"
    TAG = "tag"
    REPORT = "report"


PRIORITY_ORDER = (Priority.ORDER, Priority.QUESTION, Priority.TAG, Priority.REPORT)


class Role(StrEnum):
    """Permissions of a key's holder."""

    CALLER = "caller"
    OPERATOR = "operator"


@dataclass(frozen=True, slots=True)
class KeyHash:
    """One key of a workspace; only its SHA-256 hex digest is stored."""

    name: str
    digest: str
    role: Role = Role.CALLER
    revoked: bool = False


@dataclass(frozen=True, slots=True)
class WorkKind:
    """A kind of work that a workspace sends, with its rules."""

    name: str
    priority: Priority
    quality_target: float
    """Minimum mean rating (0 to 1) of the responses to this kind of work."""
    waits_for_whole: bool = False
    """Whether callers accept non-streaming responses, so that a cascade may be used."""


@dataclass(frozen=True, slots=True)
class ServiceRule:
    """Rule for requests to one plain service below one path prefix."""

    service: str
    path_prefix: str
    methods: tuple[str, ...]
    repeatable: bool
    """True for idempotent requests; others run at most once."""
    priority: Priority = Priority.ORDER


@dataclass(frozen=True, slots=True)
class Weighing:
    """Relative weights of the three objectives; only their ratio matters."""

    cost: float = 1.0
    latency: float = 1.0
    exposure: float = 1.0


@dataclass(frozen=True, slots=True)
class Limits:
    """Limits of a workspace, enforced across all entries together."""

    requests_per_second: float = 50.0
    max_in_flight: int = 64
    max_wait: float = 10.0
    """Longest expected queue wait in seconds; beyond it, requests are refused."""
    max_body: int = 1_000_000
    """Maximum bytes of a request body."""


@dataclass(frozen=True, slots=True)
class RolloutPace:
    """Pace at which a new version takes over a workspace's new sessions."""

    stages: tuple[float, ...] = (0.01, 0.05, 0.2, 0.5, 1.0)
    """Share of new sessions at each stage, increasing and ending with 1."""
    max_unrated: int = 20
    """Maximum number of a new version's responses with an outstanding rating."""
    false_alarm: float = 0.01
    """Probability of withdrawing a version that is as good as the incumbent."""
    margin: float = 0.03
    """Decrease of the mean rating that makes a version bad."""


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
    """Data centres where its work may run; empty for all."""
    default_kind: str = "question"


class VersionStatus(StrEnum):
    """Status of a version across the whole system."""

    ACTIVE = "active"
    CANDIDATE = "candidate"
    """In a roll-out: receives only the share of its stage."""
    ENDING = "ending"
    """Withdrawn gracefully: pinned sessions continue on it, no new ones start."""
    WITHDRAWN = "withdrawn"
    """Withdrawn at once: receives no new work."""


@dataclass(frozen=True, slots=True)
class VersionSpec:
    """One version of one model, as registered by the operators."""

    version: VersionId
    model: str
    price_in: float
    """Micro-units per prompt token."""
    price_out: float
    """Micro-units per response token."""
    quality_prior: float = 0.5
    """Mean rating assumed before any rating has arrived."""
    status: VersionStatus = VersionStatus.ACTIVE


class RolloutStatus(StrEnum):
    """Status of a roll-out."""

    RUNNING = "running"
    PAUSED = "paused"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclass(frozen=True, slots=True)
class Evidence:
    """Totals of the ratings of one version for one workspace and kind of work."""

    version: VersionId
    workspace: WorkspaceId
    kind: str
    rated: int = 0
    total: float = 0.0
    """Sum of ratings, each 0 to 1."""
    squares: float = 0.0
    """Sum of squared ratings."""
    sent: int = 0
    """Responses sent, rated or not."""
    to_rate: int = 0
    """Responses submitted to the rating service."""


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
    """Start of the current stage, by the leader's wall clock."""
    reason: str = ""
    base: tuple[Evidence, ...] = ()
    """Evidence of both versions at the start of the current stage."""


class UpstreamKind(StrEnum):
    """Whether an upstream serves models or a plain service."""

    MODEL = "model"
    SERVICE = "service"


@dataclass(frozen=True, slots=True)
class Capabilities:
    """Optional features that an upstream announces."""

    resume: bool = False
    cancel: bool = False
    kv_transfer: bool = False
    checks_fencing: bool = False


@dataclass(frozen=True, slots=True)
class Announcement:
    """An upstream's announcement of itself.

    ``incarnation`` increases with each start of the upstream and ``sequence`` with each
    announcement of one incarnation, so that late or reordered ones are recognised.
    """

    upstream: UpstreamId
    incarnation: int
    sequence: int
    kind: UpstreamKind
    data_centre: str
    host: str
    port: int
    lease: float
    """Seconds for which the announcement is valid without renewal."""
    versions: tuple[VersionId, ...] = ()
    service: str = ""
    capacity: int = 1
    """Number of requests that can run concurrently at full speed."""
    capabilities: Capabilities = Capabilities()
    leaving: bool = False
    load: LoadReport | None = None


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load as reported by the upstream; at least ``age`` seconds old."""

    running: int = 0
    queued: int = 0
    backlog_tokens: int = 0
    tokens_per_second: float = 0.0
    """Decode rate of one request at the reported load."""
    prefill_per_second: float = 0.0
    age: float = 0.0


class OutcomeKind(StrEnum):
    """Outcome of a request, on which the caller may rely."""

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
    """Status of a ledger row."""

    OPEN = "open"
    SETTLED = "settled"
    UNKNOWN = "unknown"
    """A non-idempotent request may have run; also the status after its entry died."""


@dataclass(frozen=True, slots=True)
class StoredResponse:
    """Stored response of a settled non-idempotent request, for replay."""

    status: int
    content_type: str
    body: bytes


@dataclass(frozen=True, slots=True)
class LedgerRow:
    """The only billing row of a request, keyed by (workspace, key)."""

    workspace: WorkspaceId
    key: str
    request: str
    """Request id; it differs between attempts with the same key."""
    entry: EntryId
    entry_incarnation: int
    repeatable: bool
    digest: str
    """Digest of the request body, to detect a key used for two different requests."""
    reserved_at: float
    version: VersionId = VersionId("")
    upstream: UpstreamId = UpstreamId("")
    session: str = ""
    status: RowStatus = RowStatus.OPEN
    outcome: OutcomeKind = OutcomeKind.FAILED
    usage: Usage = Usage()
    answer: StoredResponse | None = None
    settled_at: float = 0.0


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault found in an input, with its place."""

    place: str
    """Dotted path, for example ``kinds.2.quality_target``."""
    message: str
