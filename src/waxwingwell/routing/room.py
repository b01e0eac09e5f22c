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

from .messages import BrittleState


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


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
SAME_STATEMENT_SECONDS = 0.25
"""Difference up to which two statements count as equally new, as each message adds its
delay to the age."""


@dataclass(slots=True)
class Statement:
    """What the upstreams of a service have stated last about rejections."""

    rejections: float | None
    """Rejections per second beyond which an upstream crashes; None if it does not."""
    stated_at: float


@dataclass(slots=True)
class BrittleTable:
    """Statements by service, while one of them was brittle recently."""

    services: dict[str, Statement] = field(default_factory=dict)


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
    if rejections is not None or service in table.services:
        table.services[service] = Statement(rejections, now)

    return known != (rejections is not None)


def is_brittle(table: BrittleTable, service: str, now: float) -> bool:
    """Return whether the upstreams of a service are brittle at present."""
    known = table.services.get(service)
    return (
        known is not None
        and known.rejections is not None
        and now - known.stated_at <= STATEMENT_SECONDS
    )


def list_statements(table: BrittleTable, now: float) -> tuple[BrittleState, ...]:
    """Return the statements to pass on, after dropping old ones."""
    table.services = {
        service: known
        for service, known in table.services.items()
        if now - known.stated_at <= STATEMENT_SECONDS
    }
    return tuple(
        BrittleState(service, known.rejections, round(now - known.stated_at, 3))
        for service, known in table.services.items()
    )


def apply_statements(
    table: BrittleTable, states: Iterable[BrittleState], now: float
) -> None:
    """Merge what other processes know; the newest statement counts.

    A gateway that finds no room gets no response that would show the end.
    """
    for state in states:
        stated_at = now - state.age
        known = table.services.get(state.service)
        if known is None or stated_at > known.stated_at + SAME_STATEMENT_SECONDS:
            table.services[state.service] = Statement(state.rejections, stated_at)


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
