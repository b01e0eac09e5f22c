"""Settings of a registry process."""

from __future__ import annotations

from dataclasses import dataclass
from pathlib import Path  # dataclass field


@dataclass(frozen=True, slots=True, kw_only=True)
class RegistrySettings:
    """Where a registry process lives; a control is named by its address."""

    address: str
    data_centre: str
    admin: tuple[str, int]
    """Where operators and upstreams call."""
    link_port: int
    controls: tuple[str, ...]
    """Addresses of a few controls to begin with; they may be long gone."""
    data_folder: Path
    found: bool
    """The whole system starts for the first time, so a group may be founded."""
    losses: int = 2
    """Disks that may be lost at once; the group has two voters more for each."""
    grace: float = 8.0
    """Seconds from the order to stop until the process is killed."""
    retry_window: float = 10.0
    """Seconds for which a repeat counts in the budget of repeats."""
    metrics: tuple[str, int] | None = None
