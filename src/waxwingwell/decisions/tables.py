"""The tables of an entry, which decisions read and systems run over.

One ``Tables`` holds all that an entry's decisions depend on: a decision is
replayable from it, the request and ``now`` alone. Monotonic seconds throughout.
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
    """What this entry knows of one upstream."""

    announcement: Announcement
    expires_at: float
    """When the announcement's lease runs out."""
    heard_at: float
    """When the present load report was made, as far as is known."""
    left: bool = False
    """It said that it leaves, or its lease ran out; kept as a tombstone."""
    dispatched: list[float] = field(default_factory=list)
    """Times of own dispatches since the load report, oldest first."""
    in_flight: int = 0
    """This entry's requests running there."""
    failures: int = 0
    """Failures in a row."""
    ejected_until: float = 0.0
    prefixes: dict[str, float] = field(default_factory=dict)
    """Prompt-prefix digest to the time it was last sent there."""
    finished: list[float] = field(default_factory=list)
    """Times of own finishes since the load report, oldest first."""
    prefill_until: float = 0.0
    """When the prompts that this entry sent are expected to be read in."""
    ejections: int = 0
    """Ejections without a success since; each doubles the next one's length."""
    claimed: int = 0
    """Requests chosen for it that are not dispatched yet; see ``claims``."""
    probing: bool = False
    """Back from an ejection on trial: one request at a time until one succeeds."""

    taken_at: float = 0.0
    """When this entry took the announcement in."""


@dataclass(frozen=True, slots=True)
class Waiting:
    """A request that waits at this entry for room at an upstream."""

    work: Work
    version: VersionId
    arrived_at: float
    expires_at: float
    """When it is refused if it was not dispatched by then."""
    number: int
    """Order of arrival, for a stable order among equals."""


@dataclass(slots=True)
class WorkspaceDemand:
    """Load of one workspace, here and at the other entries."""

    in_flight: int = 0
    tokens: float = 0.0
    """Token bucket of admissions at this entry."""
    refilled_at: float = 0.0
    rate: float = 0.0
    """Requests a second offered at this entry, smoothed; refused ones count too."""
    rate_updated_at: float = 0.0
    """When ``rate`` was last smoothed."""
    held: dict[Priority, int] = field(default_factory=dict)
    """This entry's admitted requests by priority."""
    elsewhere_in_flight: int = 0
    elsewhere_rate: float = 0.0


@dataclass(frozen=True, slots=True)
class Work:
    """A request as the decisions see it."""

    request: str
    workspace: WorkspaceId
    kind: WorkKind
    priority: Priority
    model: str = ""
    """Model or version that the caller asked for; empty leaves it to the router."""
    session: str = ""
    pinned: VersionId = VersionId("")
    stream: bool = False
    repeatable: bool = True
    service: str = ""
    """Name of the plain service; empty for model work."""
    prompt_tokens: int = 0
    answer_tokens: int = 256
    """Expected length of the answer."""
    prefixes: tuple[str, ...] = ()
    """Digests of the prompt's prefixes, longest first."""
    prefix_tokens: tuple[int, ...] = ()
    """Tokens that each of ``prefixes`` covers."""
    data_centre: str = ""
    """Data centre of the entry that decides."""
    deadline: float = 0.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """A final answer: the request was not run."""

    code: str
    """Machine-readable reason, for example ``version_withdrawn``."""
    message: str
    status: int
    """HTTP status."""
    retry_after: float | None = None
    """Seconds after which it is worth coming back; None if it never is."""


@dataclass(slots=True)
class RatingStats:
    """Ratings of one version for one workspace and kind since it last changed.

    ``recent_*`` forget older ratings, so that a version turning bad shows soon.
    """

    rated: float = 0.0
    total: float = 0.0
    squares: float = 0.0
    recent_rated: float = 0.0
    recent_total: float = 0.0


@dataclass(slots=True)
class QualityAccount:
    """What this entry served for one workspace and kind, against its target."""

    credit: float = 0.0
    """Sum of rating minus target over the answers served, clipped."""
    sent: int = 0
    explored: int = 0


@dataclass(slots=True)
class Tables:
    """Everything that an entry's decisions read."""

    config_version: int = 0
    workspaces: dict[WorkspaceId, WorkspaceConfig] = field(default_factory=dict)
    versions: dict[VersionId, VersionSpec] = field(default_factory=dict)
    rollouts: dict[str, Rollout] = field(default_factory=dict)
    """By model."""
    evidence: dict[tuple[WorkspaceId, str, VersionId], Evidence] = field(
        default_factory=dict
    )
    upstreams: dict[UpstreamId, UpstreamRow] = field(default_factory=dict)
    demand: dict[WorkspaceId, WorkspaceDemand] = field(default_factory=dict)
    distances: dict[str, float] = field(default_factory=dict)
    """One-way seconds from this entry's data centre to each data centre."""
    waiting: dict[str, Waiting] = field(default_factory=dict)
    """The waiting queue, by request id."""
    claims: dict[str, UpstreamId] = field(default_factory=dict)
    """Upstreams with a place claimed, by request id."""
    waited: int = 0
    """Requests that ever waited; numbers the next one."""
    finish_rate: float = 0.0
    """Finishes a second at this entry, smoothed."""
    finish_rate_updated_at: float = 0.0
    holders: dict[str, list[UpstreamId]] = field(default_factory=dict)
    """Upstreams by version or service: a hint, rebuilt by ``index_upstreams``."""
    homes: dict[str, dict[UpstreamId, float]] = field(default_factory=dict)
    """Prompt-prefix digest to the upstreams it was lately sent to; a hint."""
    rating_heard_at: float = 0.0
    """When a rating last arrived; old ratings make decisions cautious."""
    rating_price: float = 0.0
    """Micro-units that one rating costs."""
    entries: int = 1
    """Entries at work; each takes its part of the cap on unrated answers."""
    rating_stats: dict[tuple[WorkspaceId, str, VersionId], RatingStats] = field(
        default_factory=dict
    )
    accounts: dict[tuple[WorkspaceId, str], QualityAccount] = field(
        default_factory=dict
    )
    outstanding: dict[VersionId, list[float]] = field(default_factory=dict)
    """Times of this entry's answers that wait for their rating, oldest first."""
    cell_outstanding: dict[tuple[WorkspaceId, str, VersionId], list[float]] = field(
        default_factory=dict
    )
    """The same for each workspace and kind."""
    increments: dict[tuple[WorkspaceId, str, VersionId], Evidence] = field(
        default_factory=dict
    )
    """This entry's evidence that was not yet handed out for flushing."""
    flushing: dict[tuple[WorkspaceId, str, VersionId], Evidence] = field(
        default_factory=dict
    )
    """Evidence handed out for flushing and not confirmed yet."""
