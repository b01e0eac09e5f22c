"""State shared by all parts of one entry."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from ...decisions.retries import RetryBudget
from ...decisions.tables import Tables
from ...records import VersionId
from ...records import WorkspaceId
from ...state.fencing import FencingTable
from ...state.leases import ConfigLease
from ..settings import EntrySettings
from ..telemetry import Metrics
from ..telemetry import Traces
from .callers import CallerKeys
from .control_client import ControlClient
from .upstream_client import UpstreamClient


MAX_PINS = 100_000
"""Session pins cached at one entry; the ledger holds every pin."""


@dataclass(slots=True)
class EntryContext:
    """One entry's settings, tables, connections and counters."""

    settings: EntrySettings
    reactor: Any
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    random: random.Random
    incarnation: int
    control: ControlClient
    client: UpstreamClient
    lease: ConfigLease
    metrics: Metrics
    traces: Traces
    tables: Tables = field(default_factory=Tables)
    keys: CallerKeys = field(default_factory=CallerKeys)
    fencing: FencingTable = field(default_factory=FencingTable)
    budget: RetryBudget = field(default_factory=RetryBudget)
    pins: OrderedDict[tuple[WorkspaceId, str], VersionId] = field(
        default_factory=OrderedDict
    )
    draining: bool = False
    running: int = 0
    """Requests that a planned stop waits for."""
    attempted: set[str] = field(default_factory=set)
    """Ids of running requests with an attempt that may have run at an upstream."""
    pending_settlements: int = 0
    """Rows that are being settled in the background."""
    pending_ratings: int = 0
    """Responses that are being rated in the background."""


def remember_pin(
    context: EntryContext, workspace: WorkspaceId, session: str, version: VersionId
) -> None:
    """Cache a session's pin; the least recently used one is evicted at the limit."""
    context.pins[workspace, session] = version
    context.pins.move_to_end((workspace, session))
    if len(context.pins) > MAX_PINS:
        context.pins.popitem(last=False)
