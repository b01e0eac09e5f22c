"""State of a running registry process."""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from ...routing.evidence_history import EvidenceHistory
from ...routing.fleet import FleetTable
from ...routing.messages import RoutingBody
from ...routing.quarantine import QuarantineTable
from ...routing.reports import ReportTable
from ...routing.sources import KeyCheck
from ...routing.trials import TrialTable
from ...routing.version_evidence import EvidenceTable
from ...state.consensus.messages import ConsensusBody
from ...state.consensus.records import Membership
from ...state.group import Group
from ...state.routing import RoutingState
from ..links import Link
from ..links import LinkNode
from ..links import LinkProtocol
from .checkpoints import start_thread
from .settings import RegistrySettings


RegistryBody = RoutingBody | ConsensusBody


@dataclass(slots=True)
class SentState:
    """What was sent on a gateway's connection."""

    index: int = -1
    """Log index of the routing state that was sent last."""
    version: int = -1
    """Version of the document that was sent last."""
    announced: bool = True
    """Whether all announcements were sent; false if the link dropped one as full."""


@dataclass(slots=True)
class RolloutWatch:
    """A registry's view of a roll-out in progress.

    All registries gather the evidence, so that a new leader continues with it.
    """

    started_at: float
    complete_at: float
    """Time from which the evidence of all reachable gateways has been received."""
    gathered_at: float = -math.inf
    """Time at which the evidence was last gathered from the reports."""
    short_since: float | None = None
    """Time since which fewer gateways report than were known recently; None if none
    is missing."""
    evidence: EvidenceTable = field(default_factory=EvidenceTable)
    history: EvidenceHistory = field(default_factory=EvidenceHistory)


@dataclass(slots=True, kw_only=True)
class RegistryContext:
    """State shared by the modules of a registry process."""

    settings: RegistrySettings
    reactor: Any
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    requires_key: KeyCheck
    state: RoutingState = field(default_factory=RoutingState)
    group: Group | None = None
    reopen_at: float = 0.0
    """When to reopen the data folder after the group was closed."""
    has_erased: bool = False
    """Whether this process has erased the data of a group."""
    flush_due: bool = False
    """Whether a flush is scheduled in this turn of the reactor."""
    node: LinkNode | None = None
    controls: dict[str, Link] = field(default_factory=dict)
    """Outgoing links to the other controls, by name."""
    gateway_links: dict[LinkProtocol, SentState] = field(default_factory=dict)
    """Connections of gateways, with what was sent on each."""
    unannounced: set[str] = field(default_factory=set)
    """Controls that missed an announcement, as their link was full or down."""
    fleet: FleetTable = field(default_factory=FleetTable)
    heard: dict[str, tuple[int, int]] = field(default_factory=dict)
    """Incarnation and sequence of each upstream that has announced itself to this
    control since heartbeats were shared last."""
    reports: ReportTable = field(default_factory=ReportTable)
    quarantine: QuarantineTable = field(default_factory=QuarantineTable)
    trials: TrialTable = field(default_factory=TrialTable)
    boot: str = ""
    """Distinguishes this boot of the VM from others."""
    stored_blocks: frozenset[int] = frozenset()
    """Quarantined prompt blocks in the checkpoint that was stored durably last."""
    storing: bool = False
    """Whether a checkpoint is being written."""
    store_at: float = -math.inf
    """Earliest time of the next checkpoint."""
    store_error: str = ""
    """Why the last checkpoint was not stored; empty if it was."""
    run_beside: Callable[[Callable[[], None]], None] = start_thread
    """Runs a function that may wait for the disk."""
    watches: dict[tuple[str, float], RolloutWatch] = field(default_factory=dict)
    last_runs: dict[str, float] = field(default_factory=dict)
    """Time of the last run of each periodic task, by its name."""
    logged_members: Membership = Membership()
    """Members written to the event log last."""
    logged_leader: str = ""
    """Leader written to the event log last."""
    logged_absent: tuple[str, ...] = ()
    """Voters without contact written to the event log last."""
    leaderless_since: float | None = None
    """Time since which this control has no leader; None while it has one."""
    log_leaderless_at: float = -math.inf
    """Earliest time of the next log line on the missing leader."""
    stopping: bool = False
