"""Limits on the requests that a version may get while it is on trial."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class ExposureLimits:
    """Limits on the exposure of callers to a version that turns out to be bad."""

    share: float = 0.15
    """Share of a service's requests between the order and the deadline."""
    slack: float = 30.0
    """Requests in addition to the share."""
    rollback: float = 5.0
    """Seconds after the fiftieth bad response within which requests must stop."""

    def __post_init__(self) -> None:
        """Check the limits; raise ``ValueError`` with the field's name."""
        for name, valid, bound in (
            ("share", 0.0 <= self.share <= 1.0, "be between zero and one"),
            ("slack", self.slack >= 0.0, "not be negative"),
            ("rollback", self.rollback > 0.0, "be above zero"),
        ):
            if not valid:
                value = getattr(self, name)
                raise ValueError(f"exposure.{name} is {value} and must {bound}")
