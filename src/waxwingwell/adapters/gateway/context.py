"""State of a running gateway process."""

from __future__ import annotations

import math
import random
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any
from typing import Protocol

from ...routing.fleet import FleetTable
from ...routing.health import HealthTable
from ...routing.load import LoadTable
from ...routing.lookup import DocumentIndex
from ...routing.messages import RolloutState
from ...routing.messages import ServiceRepeats
from ...routing.messages import UpstreamUse
from ...routing.prefixes import PrefixTable
from ...routing.retries import RetryTable
from ...routing.sessions import SessionTable
from ...routing.speeds import SpeedTable
from ..links import Link
from ..links import LinkNode
from .dialect import Dialect
from .settings import GatewaySettings
from .waiting import WaitingRoom


@dataclass(slots=True)
class VersionTally:
    """Answers of one version of a service at this gateway."""

    answers: int = 0
    failures: int = 0
    seconds: float = 0.0


class Running(Protocol):
    """A request under way, as others see it."""

    def check_silence(self, now: float) -> None:
        """Give up an upstream that has been silent for too long."""

    def end_now(self, reason: str, now: float) -> None:
        """Give the final answer at once."""


@dataclass(slots=True, kw_only=True)
class GatewayContext:
    """What the parts of a gateway process share."""

    settings: GatewaySettings
    reactor: Any
    clock: Callable[[], float]
    random: random.Random
    dialect: Dialect
    node: LinkNode | None = None
    controls: dict[str, Link] = field(default_factory=dict)
    home: str = ""
    """The control that we report to."""
    near: set[str] = field(default_factory=set)
    """Controls in our own data centre."""
    index: DocumentIndex | None = None
    routing_index: int = -1
    """Place in the controls' log of the state held; it never steps back."""
    rollouts: dict[str, RolloutState] = field(default_factory=dict)
    established: dict[str, str] = field(default_factory=dict)
    """Version in use by service, while no roll-out names one."""
    fleet: FleetTable = field(default_factory=FleetTable)
    fleet_at: float = 0.0
    """When a control last told which upstreams it heard of."""
    load: LoadTable = field(default_factory=LoadTable)
    reported: tuple[UpstreamUse, ...] = ()
    reported_work: float = 0.0
    reported_repeats: tuple[ServiceRepeats, ...] = ()
    health: HealthTable = field(default_factory=HealthTable)
    prefixes: PrefixTable = field(default_factory=PrefixTable)
    sessions: SessionTable = field(default_factory=SessionTable)
    speeds: SpeedTable = field(default_factory=SpeedTable)
    sizes: dict[str, float] = field(default_factory=dict)
    """Usual size of a request by route."""
    signs: dict[str, float] = field(default_factory=dict)
    """When the last byte came from each upstream."""
    retries: RetryTable = field(default_factory=RetryTable)
    tallies: dict[tuple[str, str], VersionTally] = field(default_factory=dict)
    exchanges: set[Running] = field(default_factory=set)
    """Requests under way."""
    room: WaitingRoom = field(default_factory=WaitingRoom)
    """Requests that wait for the first configuration."""
    heard_at: float = 0.0
    """When any control was heard of last."""
    stopping: bool = False
    exit_at: float = math.inf
    """When a stopping process ends at the latest."""
