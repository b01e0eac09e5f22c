"""The state of an entry that its routing decisions read.

One ``Tables`` holds everything that an entry's decisions depend on: a decision can be
replayed from it, the request and ``now`` alone. All times are monotonic seconds.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from ..records import Announcement
from ..records import Evidence
from ..records import Priority
from ..records import Rollout
from ..records import UpstreamId
from ..records import VersionId
from ..records import VersionSpec
from ..records import WorkKind
from ..records import WorkspaceConfig
from ..records import WorkspaceId


@dataclass(slots=True)
class UpstreamRow:
    """This entry's state of one upstream."""

    announcement: Announcement
    expires_at: float
    """When the announcement's lease expires."""
    heard_at: float
    """Estimated time at which the current load report was made."""
    left: bool = False
    """Whether it has left or its lease has expired; the row stays as a tombstone."""
    dispatched: list[float] = field(default_factory=list)
    """Times of this entry's dispatches since the load report, oldest first."""
    in_flight: int = 0
    """This entry's requests running at the upstream."""
    failures: int = 0
    """Consecutive failures."""
    ejected_until: float = 0.0
    prefixes: dict[str, float] = field(default_factory=dict)
    """When a prompt prefix was last sent to or reported by the upstream, by digest."""
    finished: list[float] = field(default_factory=list)
    """Times of this entry's completions since the load report, oldest first."""
    prefill_until: float = 0.0
    """Expected end of the prefill of the prompts that this entry sent."""
    ejections: int = 0
    """Ejections since the last success; each doubles the duration of the next."""
    claimed: int = 0
    """Slots reserved for requests that are not dispatched yet; see ``claims``."""
    probing: bool = False
    """Whether it gets one request at a time after an ejection, until one succeeds."""

    received_at: float = 0.0
    """When this entry received the announcement."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits at this entry for upstream capacity."""

    work: Work
    version: VersionId
    arrived_at: float
    expires_at: float
    """When it is refused unless it has been dispatched."""
    number: int
    """Sequence number of arrival, for a stable order among equal requests."""


@dataclass(slots=True)
class WorkspaceDemand:
    """Load of one workspace, at this entry and at the others."""

    in_flight: int = 0
    tokens: float = 0.0
    """Tokens in the admission bucket of this entry."""
    refilled_at: float = 0.0
    rate: float = 0.0
    """Smoothed requests per second offered at this entry, including refused ones."""
    rate_updated_at: float = 0.0
    """When ``rate`` was last updated."""
    in_flight_by_priority: dict[Priority, int] = field(default_factory=dict)
    """This entry's admitted requests by priority."""
    other_entries_in_flight: int = 0
    other_entries_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Work:
    """The properties of a request that decisions depend on."""

    request: str
    workspace: WorkspaceId
    kind: WorkKind
    priority: Priority
    model: str = ""
    """Requested model or version; if empty, the router chooses."""
    session: str = ""
    pinned: VersionId = VersionId("")
    stream: bool = False
    repeatable: bool = True
    service: str = ""
    """Name of the plain service; empty for model work."""
    prompt_tokens: int = 0
    answer_tokens: int = 256
    """Expected number of output tokens."""
    prefixes: tuple[str, ...] = ()
    """Digests of the prompt's prefixes, longest first."""
    prefix_tokens: tuple[int, ...] = ()
    """Tokens that each of ``prefixes`` covers."""
    data_centre: str = ""
    """Data centre of this entry."""
    deadline: float = 0.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """A refusal: the request was not run."""

    code: str
    """Machine-readable reason, for example ``version_withdrawn``."""
    message: str
    status: int
    """HTTP status."""
    retry_after: float | None = None
    """Seconds after which to retry; None if a retry is pointless."""


@dataclass(slots=True)
class RatingStats:
    """Rating sums of one version, workspace and kind since the last detected change.

    ``recent_*`` decay exponentially, so that they reveal a fall in quality early.
    """

    rated: float = 0.0
    total: float = 0.0
    squares: float = 0.0
    recent_rated: float = 0.0
    recent_total: float = 0.0


@dataclass(slots=True)
class QualityAccount:
    """Quality served by this entry for one workspace and kind, against its target."""

    credit: float = 0.0
    """Sum of rating minus target over the responses served, clipped."""
    sent: int = 0
    explored: int = 0


@dataclass(slots=True)
class Tables:
    """All state that an entry's decisions read."""

    config_version: int = 0
    workspaces: dict[WorkspaceId, WorkspaceConfig] = field(default_factory=dict)
    versions: dict[VersionId, VersionSpec] = field(default_factory=dict)
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    """Roll-outs by model."""
    evidence: dict[tuple[WorkspaceId, str, VersionId], Evidence] = field(
        default_factory=dict
    )
    upstreams: dict[UpstreamId, UpstreamRow] = field(default_factory=dict)
    demand: dict[WorkspaceId, WorkspaceDemand] = field(default_factory=dict)
    one_way_seconds: dict[str, float] = field(default_factory=dict)
    """One-way seconds from this entry's data centre to each data centre."""
    waiting: dict[str, Waiting] = field(default_factory=dict)
    """Waiting queue, by request id."""
    claims: dict[str, UpstreamId] = field(default_factory=dict)
    """Upstream with a slot reserved, by request id."""
    enqueued: int = 0
    """Number of requests enqueued so far; the latest one has it as ``number``."""
    finish_rate: float = 0.0
    """Smoothed completions per second at this entry."""
    finish_rate_updated_at: float = 0.0
    holders: dict[str, list[UpstreamId]] = field(default_factory=dict)
    """Upstreams by version or service; a hint, rebuilt by ``index_upstreams``."""
    recent_upstreams: dict[str, dict[UpstreamId, float]] = field(default_factory=dict)
    """Upstreams that recently received a prompt prefix, by digest; a hint."""
    last_rating_at: float = 0.0
    """When the last rating arrived; stale ratings make decisions conservative."""
    rating_price: float = 0.0
    """Price of one rating in micro-units."""
    entries: int = 1
    """Number of running entries, which share the cap on unrated responses."""
    rating_stats: dict[tuple[WorkspaceId, str, VersionId], RatingStats] = field(
        default_factory=dict
    )
    accounts: dict[tuple[WorkspaceId, str], QualityAccount] = field(
        default_factory=dict
    )
    outstanding: dict[VersionId, list[float]] = field(default_factory=dict)
    """Dispatch times of responses with an outstanding rating, oldest first."""
    cell_outstanding: dict[tuple[WorkspaceId, str, VersionId], list[float]] = field(
        default_factory=dict
    )
    """``outstanding`` by workspace, kind and version."""
    increments: dict[tuple[WorkspaceId, str, VersionId], Evidence] = field(
        default_factory=dict
    )
    """This entry's evidence that is not being flushed yet."""
    flushing: dict[tuple[WorkspaceId, str, VersionId], Evidence] = field(
        default_factory=dict
    )
    """This entry's evidence that is being flushed and not confirmed yet."""
