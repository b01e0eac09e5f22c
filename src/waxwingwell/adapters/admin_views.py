"""JSON bodies of the administration API, shared with the command line."""

from __future__ import annotations

import msgspec

from ..records import Finding
from ..records import Rollout
from ..records import UpstreamKind
from ..records import VersionSpec
from ..records import WorkspaceConfig


class ErrorView(msgspec.Struct, frozen=True):
    """Body of a response that is neither a view nor an outcome."""

    error: str = ""
    reason: str = ""
    """Reason of a ``Failed`` outcome."""
    findings: tuple[Finding, ...] = ()


class EvacuationsView(msgspec.Struct, frozen=True):
    """Evacuated data centres."""

    data_centres: tuple[str, ...]


class ConfigView(msgspec.Struct, frozen=True):
    """The whole configuration."""

    config_version: int
    workspaces: tuple[WorkspaceConfig, ...] = ()
    versions: tuple[VersionSpec, ...] = ()
    rollouts: tuple[Rollout, ...] = ()


class AnswersView(msgspec.Struct, frozen=True):
    """A workspace's answers and their current revision."""

    revision: int
    answers: msgspec.Raw


class HistoryView(msgspec.Struct, frozen=True):
    """One accepted revision of a workspace's answers."""

    revision: int
    operator: str
    at: float
    """Seconds since the epoch."""
    change_id: str = ""


class AuditView(msgspec.Struct, frozen=True):
    """One change on the audit trail, accepted or not."""

    at: float
    operator: str
    subject: str
    outcome: str
    change_id: str = ""
    revision: int = 0


class UpstreamView(msgspec.Struct, frozen=True):
    """One upstream, as the entries see it."""

    upstream: str
    kind: UpstreamKind
    data_centre: str
    address: str
    lease_left: float
    """Seconds until the lease expires; 0 or less once it has expired."""
    versions: tuple[str, ...] = ()
    service: str = ""
    capacity: int = 0
    running: int = 0
    queued: int = 0
    leaving: bool = False
    ejected: bool = False


class SessionView(msgspec.Struct, frozen=True):
    """One session and the version that it is pinned to."""

    workspace: str
    session: str
    version: str
    at: float
    """Start of the session in seconds since the epoch."""


class QuarantinedBlock(msgspec.Struct, frozen=True):
    """A prompt block whose requests are refused."""

    block: str
    """Hash of service and block, in hexadecimal."""
    crashes: int


class QuarantineView(msgspec.Struct, frozen=True):
    """The quarantined prompt blocks that a registry knows."""

    blocks: tuple[QuarantinedBlock, ...] = ()


class MemberView(msgspec.Struct, frozen=True):
    """One process of the system."""

    node: str
    role: str
    """``voter``, ``learner`` or ``entry``."""
    state: str
    """``up``, ``down``, ``draining`` or ``drained``."""
    address: str = ""
    in_flight: int = 0


class MembersChange(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of ``POST /admin/v1/members``."""

    action: str
    """``add``, ``remove`` or ``drain``."""
    node: str
    change_id: str
    host: str = ""
    port: int = 0


class MembersReply(msgspec.Struct, frozen=True):
    """The members after a change was accepted; it may not be complete yet."""

    members: tuple[MemberView, ...] = ()
