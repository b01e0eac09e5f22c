"""State of a running registry process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from ...routing.fleet import FleetTable
from ...routing.messages import RoutingBody
from ...routing.reports import ReportTable
from ...routing.rollouts import EvidenceTable
from ...state.consensus.messages import ConsensusBody
from ...state.consensus.records import Membership
from ...state.group import Group
from ...state.routing import RoutingState
from ..links import Link
from ..links import LinkNode
from ..links import LinkProtocol
from .settings import RegistrySettings


RegistryBody = RoutingBody | ConsensusBody


@dataclass(slots=True)
class Sent:
    """What a gateway's link has been sent."""

    index: int = -1
    version: int = -1
    news: bool = True
    """All news was sent; false if some found the link full."""


@dataclass(slots=True)
class RolloutWatch:
    """What the leader remembers of a move under way."""

    began_at: float
    evidence: EvidenceTable


@dataclass(slots=True, kw_only=True)
class RegistryContext:
    """What the parts of a registry process share."""

    settings: RegistrySettings
    reactor: Any
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    state: RoutingState = field(default_factory=RoutingState)
    group: Group | None = None
    reopen_at: float = 0.0
    flush_due: bool = False
    node: LinkNode | None = None
    controls: dict[str, Link] = field(default_factory=dict)
    """Our links to the other controls, by name."""
    peers: dict[LinkProtocol, Sent] = field(default_factory=dict)
    """Connections of gateways, and what each has been sent."""
    behind: set[str] = field(default_factory=set)
    """Controls whose link was full, or down, when there was news."""
    fleet: FleetTable = field(default_factory=FleetTable)
    heard: dict[str, tuple[int, int]] = field(default_factory=dict)
    """Upstreams heard of directly since the last round of heartbeats."""
    reports: ReportTable = field(default_factory=ReportTable)
    watches: dict[tuple[str, float], RolloutWatch] = field(default_factory=dict)
    due: dict[str, float] = field(default_factory=dict)
    """When each periodic duty ran last, by its name."""
    members: Membership = Membership()
    """The members as they were logged last."""
    led: str = ""
    """The leader as it was logged last."""
    stopping: bool = False
