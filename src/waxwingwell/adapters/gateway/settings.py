"""Settings of a gateway process."""

from __future__ import annotations

from dataclasses import dataclass

from ...routing.retries import RetryLimits


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewaySettings:
    """Where a gateway lives and what it may do; times in seconds."""

    node: str
    address: str
    data_centre: str
    callers: tuple[str, int]
    """Where callers connect."""
    readiness: tuple[str, int]
    """Where the balancer asks whether to send callers here."""
    link_port: int
    controls: tuple[str, ...]
    retries: RetryLimits = RetryLimits()
    session_life: float = 5.0
    """How long after its last request a session is still under way."""
    fail_closed: bool = False
    """Refuse work once no control was heard of for ``revoke_after``."""
    revoke_after: float = 5.0
    grace: float = 8.0
    """From the order to stop until the process is killed."""
    metrics: tuple[str, int] | None = None
