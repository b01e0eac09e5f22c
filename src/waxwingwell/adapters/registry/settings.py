"""Settings of a registry process."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path  # dataclass field

from ...routing.exposure import ExposureLimits


@dataclass(frozen=True, slots=True, kw_only=True)
class RegistrySettings:
    """Settings of a registry process."""

    address: str
    """IP address of this process, which is also the control's name."""
    data_centre: str
    admin: tuple[str, int]
    """Host and port that serve operators and upstreams."""
    link_port: int
    controls: tuple[str, ...]
    """Addresses of seed controls; they may no longer exist."""
    data_folder: Path
    first_start: bool
    """Whether the system starts for the first time, so that a group may be founded."""
    data_centres: tuple[str, ...] = ()
    """Data centres that may be evacuated; any if empty."""
    tolerated_losses: int = 2
    """Number of disks that may be lost at once; each needs two more voters."""
    grace: float = 8.0
    """Seconds between the stop signal and the kill of the process."""
    retry_window: float = 10.0
    """Seconds for which a retry counts against the retry budget."""
    exposure: ExposureLimits = ExposureLimits()
    """Limits on the requests that a version on trial may get."""
    metrics: tuple[str, int] | None = None
    memory_bytes: int = 0
    """Memory that the process may use; 0 if unknown."""
