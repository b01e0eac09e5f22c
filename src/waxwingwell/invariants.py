"""The product's ten guarantees, checked as invariants where the state changes.

The checks are always enabled; one that holds costs a comparison. A violation is
logged and counted, but raised only if ``raise_on_breach`` is set, as tests do: in
production, a process that continues serves its callers better than one that stops.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

from loguru import logger


if TYPE_CHECKING:
    from collections.abc import Callable


class Invariant(StrEnum):
    """Invariants that must always hold."""

    ALLOWED_VERSION = "a request runs only on a version its workspace allows"
    NO_NEW_WORK_WHEN_WITHDRAWN = "a withdrawn version receives no new work"
    SESSION_KEEPS_VERSION = "a session keeps the version it started on"
    BILLED_ONCE = "each request is billed exactly once"
    WHOLE_OWN_ANSWER = "a caller receives the whole answer to its own request"
    NOT_RUN_DID_NOT_RUN = "a request refused as not run did not run"
    AT_MOST_ONCE = "a non-idempotent request runs at most once"
    NO_NEW_WORK_WHEN_LEAVING = "a leaving upstream receives no new work"
    STOP_CUTS_NOTHING = "a planned stop cuts no request"
    CONFIG_NEVER_REVERTS = "an accepted configuration is in force and never reverts"


class BreachError(AssertionError):
    """An invariant was violated; raised only if ``raise_on_breach`` is set."""

    def __init__(self, invariant: Invariant, detail: str) -> None:
        """Store the violated invariant for tests that assert on it."""
        super().__init__(f"{invariant.value}: {detail}")
        self.invariant = invariant


@dataclass(slots=True)
class Breaches:
    """Violations counted since the process started."""

    counts: Counter[Invariant] = field(default_factory=Counter)
    raise_on_breach: bool = False


BREACHES = Breaches()
"""Counts of this process, read by metrics; tests set ``raise_on_breach``."""


def check(invariant: Invariant, holds: bool, detail: str | Callable[[], str]) -> bool:
    """Return ``holds``; if it is false, count, log and perhaps raise the violation.

    A callable ``detail`` is evaluated only on a violation, which keeps checks cheap.
    """
    if holds:
        return True

    text = detail if isinstance(detail, str) else detail()
    BREACHES.counts[invariant] += 1
    logger.error("invariants: {} ({}): {}", invariant.name, invariant.value, text)
    if BREACHES.raise_on_breach:
        raise BreachError(invariant, text)

    return False


def count_breaches() -> int:
    """Return the number of violations of all invariants together."""
    return BREACHES.counts.total()
