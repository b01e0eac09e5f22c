"""Settings of a gateway process."""

from __future__ import annotations

from dataclasses import dataclass

from ...routing.retries import RetryLimits
from ...routing.warmup import WarmUpLimits


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Addresses, limits and policies of a gateway process; times in seconds."""

    node: str
    address: str
    data_centre: str
    callers: tuple[str, int]
    """Host and port that callers connect to."""
    readiness: tuple[str, int]
    """Host and port of the balancer's readiness checks."""
    link_port: int
    controls: tuple[str, ...]
    retries: RetryLimits = RetryLimits()
    warm_up: WarmUpLimits = WarmUpLimits()
    session_life: float = 5.0
    """Time after its last request for which a session counts as active."""
    fail_closed: bool = False
    """Refuse requests after ``revoke_after`` without a message from any control."""
    revoke_after: float = 5.0
    grace: float = 8.0
    """Time from the signal to stop until the process is killed."""
    metrics: tuple[str, int] | None = None
    relay: tuple[str, int] | None = None
    """Host and port at which other gateways' requests are accepted."""
    event_bytes: int = 262_144
    """Longest event of a stream."""
    collected_bytes: int = 524_288
    """Longest response that is collected, so that it can be requested again."""
    unstated_body_bytes: int = 8_388_608
    """Longest body whose length is not stated."""
    request_queue: bool = False
    """Queue requests at the gateway while a service is short of room."""
    memory_bytes: int = 0
    """Memory that the process may use; 0 if unknown."""
    link_bytes_per_second: float = 0.0
    """Bandwidth of the VM's link; 0 if unknown."""
