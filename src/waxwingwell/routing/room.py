"""Room at upstreams that crash if they have to reject many requests.

Gateways know what the others run from totals that are a fraction of a second old. So an
upstream gets only a part of the requests for which it has room until its load is known
again. While much room is left, each gateway draws whether it may send; near the slots,
permits of the controls bound how many requests can meet there.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from collections.abc import Callable


INTERVAL_SECONDS = 0.25
"""Interval between totals."""
LAG_SECONDS = 0.75
"""Time until a request is included in all gateways' totals."""
AMPLE_PART = 0.5
"""Part of the slots from which free ones count as much room."""
MAX_RESERVED_PART = 0.25
"""Largest part of the slots that is kept free."""
STATEMENT_SECONDS = 10.0
"""Seconds for which a statement counts; upstreams repeat it in every response."""


@dataclass(slots=True)
class BrittleService:
    """What the upstreams of a service state about rejections."""

    rejections: float
    """Rejections per second beyond which an upstream crashes."""
    stated_at: float


@dataclass(slots=True)
class BrittleTable:
    """Brittle services by name."""

    services: dict[str, BrittleService] = field(default_factory=dict)


@dataclass(frozen=True, slots=True)
class Room:
    """Free slots of an upstream."""

    free: int
    slots: int
    work_seconds: float
    """Time for which a request typically holds a slot."""


def record_brittleness(
    table: BrittleTable, service: str, rejections: float | None, now: float
) -> bool:
    """Record what a response of a service states; return whether that has changed."""
    known = is_brittle(table, service, now)
    if rejections is not None:
        table.services[service] = BrittleService(rejections, now)
    else:
        table.services.pop(service, None)

    return known != (rejections is not None)


def is_brittle(table: BrittleTable, service: str, now: float) -> bool:
    """Return whether the upstreams of a service are brittle at present."""
    known = table.services.get(service)
    return known is not None and now - known.stated_at <= STATEMENT_SECONDS


def count_reserved_slots(slots: int, controls: int) -> int:
    """Return the slots kept free for permits that controls grant at the same moment."""
    return min(max(controls - 1, 0), int(MAX_RESERVED_PART * slots))


def is_ample(room: Room) -> bool:
    """Return whether so much room is left that no permit is needed."""
    return room.free >= AMPLE_PART * room.slots


def compute_fill_rate(room: Room) -> float:
    """Return the requests per second that fill the room before its load is known."""
    turnover = max(INTERVAL_SECONDS / room.work_seconds, 1.0)
    return room.free * turnover / LAG_SECONDS


def may_fill(room: Room, request_rate: float, draw: Callable[[], float]) -> bool:
    """Return whether a request may be sent to an upstream with much room.

    ``request_rate`` is the rate at which all gateways place requests, per second;
    ``draw`` returns a random number from 0 to 1.
    """
    return draw() * request_rate < compute_fill_rate(room)
