"""Records of roll-outs in a soak run; times are monotonic."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field


@dataclass(frozen=True, slots=True, kw_only=True)
class Disturbance:
    """A time span in which a process or its links were disturbed."""

    address: str
    """Address of the process."""
    is_core: bool
    """Whether the process is a registry."""
    began_at: float
    ended_at: float
    """Time at which the process was started again, resumed or connected again."""


@dataclass(frozen=True, slots=True, kw_only=True)
class BadResponse:
    """A response that the flaw of a version spoilt, at its end."""

    upstream: str
    at: float


@dataclass(frozen=True, slots=True, kw_only=True)
class StateReading:
    """The state of a roll-out as a control reported it."""

    sent_at: float
    received_at: float
    state: str
    """Empty if the control knew no roll-out of the service."""
    target: str


@dataclass(slots=True, kw_only=True)
class RolloutRecord:
    """One roll-out, as the operator saw it."""

    service: str
    target: str
    flaw: str
    """Name of the target's flaw, empty if the version is good."""
    trouble: str
    """Name of the trouble that upstreams of both versions had."""
    former_upstreams: frozenset[str]
    target_upstreams: frozenset[str]
    ordered_at: float
    duration: float
    sent_at: float = float("inf")
    """Time at which the operator sent the order that was acknowledged; earlier ones may
    not have been read."""
    acknowledged_at: float = float("inf")
    completed_at: float = float("inf")
    """Time at which the operator first read that it is completed."""
    reverted_at: float = float("inf")
    """Time at which the operator first read that it is reverted."""
    readings: list[StateReading] = field(default_factory=list)

    @property
    def deadline(self) -> float:
        """Time by which the roll-out has to end."""
        return self.ordered_at + self.duration
