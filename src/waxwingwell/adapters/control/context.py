"""State shared by all parts of one control process."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from ...state.control import ControlState
from ...state.group import Group
from ...state.leases import EntryLeases
from ..links import Link
from ..links import LinkProtocol
from ..settings import ControlSettings
from ..telemetry import Metrics
from .order_book import OrderBook


@dataclass(slots=True)
class StateHolder:
    """Holds the current control state; a snapshot replaces it as a whole."""

    state: ControlState = field(default_factory=ControlState)


@dataclass(slots=True)
class ControlContext:
    """One control process's settings, group, links and leases."""

    settings: ControlSettings
    reactor: Any
    clock: Callable[[], float]
    wall_clock: Callable[[], float]
    holder: StateHolder
    group: Group
    metrics: Metrics
    links: dict[str, Link] = field(default_factory=dict)
    accepted: set[LinkProtocol] = field(default_factory=set)
    """Inbound connections from other processes."""
    leases: EntryLeases | None = None
    """Set only while this process leads; created again after each election."""
    leases_term: int = 0
    flush_due: bool = False
    unanswered: int = 0
    """Number of operators' requests without a response yet."""
    swept_at: float = 0.0
    stepped_at: float = 0.0
    ordered_at: float = 0.0
    orders: OrderBook = field(default_factory=OrderBook)
