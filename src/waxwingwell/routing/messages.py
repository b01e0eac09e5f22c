"""Messages between gateways and the controls of a routing group.

They travel on the same links as all our messages; see docs/PROTOCOL.md.
"""

from __future__ import annotations

import msgspec

from ..messages import Message
from .fleet import Announcement  # noqa: TC001  # msgspec reads it
from .records import Document  # noqa: TC001  # msgspec reads it


class Publish(Message, frozen=True, kw_only=True):
    """Put a document into force, unless a version as high is held already."""

    document: Document
    source: bytes
    """The document as the operator sent it, to be read back unchanged."""


class BeginRollout(Message, frozen=True, kw_only=True):
    """Move a service's traffic to upstreams of the version ``target``."""

    service: str
    target: str
    duration: float
    """Seconds within which the move must be done."""
    ordered_at: float
    """Wall clock of the member that took the order; identifies a resend."""


class EndRollout(Message, frozen=True, kw_only=True):
    """Finish a move: the target took over, or is taken back."""

    service: str
    target: str
    ordered_at: float
    completed: bool


class GrowRollout(Message, frozen=True, kw_only=True):
    """Raise the share of sessions that a move has reached."""

    service: str
    target: str
    ordered_at: float
    share: float


RoutingCommand = Publish | BeginRollout | GrowRollout | EndRollout


class RolloutState(Message, frozen=True, kw_only=True):
    """A move of a service's traffic as all members agree on it."""

    service: str
    target: str
    former: str
    """The version in use before; empty if none was agreed on."""
    duration: float
    ordered_at: float
    share: float
    state: str
    """``in_progress``, ``completed`` or ``reverted``."""


class SubmitRouting(Message, frozen=True, kw_only=True):
    """Ask the leader to put a command through the log."""

    command: RoutingCommand


class Accepted(Message, frozen=True, kw_only=True):
    """The command is durable on a majority."""


class NotAccepted(Message, frozen=True, kw_only=True):
    """The command was not confirmed; it may or may not take effect."""

    reason: str


class ReadRouting(Message, frozen=True, kw_only=True):
    """Ask the leader for the newest state."""


class RoutingNow(Message, frozen=True, kw_only=True):
    """The newest state, proven by the leader's lease."""

    version: int
    source: bytes
    rollouts: tuple[RolloutState, ...] = ()


class ShareRouting(Message, frozen=True, kw_only=True):
    """State in force, from a control to its gateways.

    ``document`` is compressed msgpack, empty if the receiver has this version.
    """

    index: int
    """Place in the log; a receiver never steps back."""
    version: int
    document: bytes
    rollouts: tuple[RolloutState, ...]


class ShareNews(Message, frozen=True, kw_only=True):
    """News of upstreams that changed."""

    news: tuple[Announcement, ...]


class ShareHeartbeats(Message, frozen=True, kw_only=True):
    """Upstreams that still send heartbeats: id, incarnation, sequence."""

    heard: tuple[tuple[str, int, int], ...]


class ShareMembers(Message, frozen=True, kw_only=True):
    """Controls that a process may connect to, by name."""

    controls: tuple[str, ...]
    data_centre: str = ""
    """Of the control that tells this."""


class UpstreamUse(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What gateways have running at an upstream."""

    upstream: str
    running: int
    backlog: int
    """Milliseconds of work for prompts whose first event has not come back yet."""


class ServiceRepeats(msgspec.Struct, frozen=True, array_like=True):
    """Requests for a service within the window of the retry budget."""

    service: str
    requests: int
    """Callers' requests."""
    repeats: int
    """Sends beyond the first of a request."""
    drawn: float = 0.0
    """Repeats that the gateways' own parts of the budget do not cover."""
    shares: int = 0
    """Gateways whose share of the slack is counted in."""


class VersionEvidence(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Answers of one version of a service since a gateway started."""

    service: str
    version: str
    answers: int
    failures: int
    seconds: float
    """Sum of the times to the first byte."""


class GatewayReport(Message, frozen=True, kw_only=True):
    """What one gateway tells the others, through a control."""

    gateway: str
    run: int = 0
    """Tells a process of this gateway from the one before."""
    use: tuple[UpstreamUse, ...]
    evidence: tuple[VersionEvidence, ...]
    work: float = 0.0
    """Milliseconds of reading asked of engines in the last seconds."""
    held: int = -1
    """Place in the controls' log of the state that the gateway holds."""
    kept: tuple[int, ...] = ()
    """Places of sessions under way that keep a former version in a move."""
    repeats: tuple[ServiceRepeats, ...] = ()
    read: tuple[int, ...] = ()
    """Hashes of parts of prompts that engines have read since the last report."""


class FleetReport(Message, frozen=True, kw_only=True):
    """Sum over all gateways but the receiver's own share, which it knows better."""

    gateways: int
    use: tuple[UpstreamUse, ...]
    work: float = 0.0
    held: int = -1
    """The oldest place in the controls' log among the gateways'."""
    kept: tuple[int, ...] = ()
    repeats: tuple[ServiceRepeats, ...] = ()
    read: tuple[int, ...] = ()
    """Hashes of parts of prompts that engines have read since the last sum."""


class GatewayEvidence(msgspec.Struct, frozen=True, array_like=True):
    """What a gateway has seen of versions since it started."""

    gateway: str
    versions: tuple[VersionEvidence, ...]


class ControlReport(Message, frozen=True, kw_only=True):
    """What one control tells the others of the gateways that report to it."""

    total: FleetReport
    evidence: tuple[GatewayEvidence, ...] = ()
    """Of gateways whose evidence changed, and now and then of each."""
    untold: tuple[str, ...] = ()
    """Gateways that do not tell which state they hold."""


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
    | ControlReport
)
