"""A gateway's own room, and the part of its requests that it hands on.

Room is the part of a gateway's capacity that is free, from 0 to 1: the least of what
its processor, its link and its memory have left. A part that is not known counts as
free.

Only a shortage of the processor is relieved by handing requests on: a relayed request
takes the same bytes of this gateway's link and holds the same bytes here, and saves
only its placement. See docs/design/gateway-room.md.
Times are seconds.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from enum import StrEnum
from typing import TYPE_CHECKING

import msgspec

from .delays import LATE_SECONDS
from .delays import is_link_alive
from .delays import measure_link_delay
from .delays import measure_loop_delay
from .delays import measure_pending_delay
from .messages import RelayGateway  # a dataclass's field


if TYPE_CHECKING:
    from collections.abc import Iterable

    from .delays import DelayTable


RATE_SECONDS = 1.0
"""Seconds over which the bytes of the link are summed."""
MEMORY_PART = 0.25
"""Part of the memory that may be held before new requests are refused. The process
itself takes a third of a small VM, and fragmentation about as much as what is held."""
SMOOTHING = 0.5
"""Weight of the newest delay in the mean: half of a change counts at once."""
LITTLE_ROOM = 0.4
"""Room below which a gateway hands requests on. A loop that is 30 ms late is short;
from 50 ms on, connections are refused."""
AMPLE_ROOM = 0.7
"""Room from which a gateway returns to serving all its requests, and takes others'."""
SHARE_STEP = 0.25
"""Increase of the share that is handed on at a check without any room left."""
SHARE_RETURN = 0.01
"""Decrease of the share at a check with ample room: a full share returns in 25 s, so
that it does not swing between both ends."""
REFUSAL_DECREASE = 0.9
"""Factor of the share after a relay has refused a request."""
RELAYS_TTL_SECONDS = 5.0
"""Seconds for which relays with room are known after the last list."""
RELAYS_INTERVAL_SECONDS = 1.0
"""Least seconds between two lists of relays with room to the same gateway."""
BEGIN_DELAYS = 2.0
"""Multiple of the own delay in which a response can begin: the connection to the
upstream waits once, the request and its response once more."""
LASTING_CHECKS = 4
"""Checks in a row, a second in all, at which a gateway has to be late before it refuses
requests. A process that has stood still is late at one or two."""


class HandOnReason(StrEnum):
    """Why a gateway sends requests through another one."""

    PATH = "path"
    PROCESSOR = "processor"
    LINK = "link"
    MEMORY = "memory"


@dataclass(frozen=True, slots=True, kw_only=True)
class GatewayLoad:
    """What a gateway uses, and its limits; a limit of 0 is not known."""

    loop_delay: float = 0.0
    """Delay of the event loop that has lasted for several turns."""
    link_delay: float = 0.0
    """Delay of new connections that the event loop does not explain."""
    bytes_per_second: float = 0.0
    link_bytes_per_second: float = 0.0
    held_bytes: int = 0
    memory_bytes: int = 0


@dataclass(slots=True)
class RoomTable:
    """Room of a gateway, and what it hands on."""

    parts: dict[HandOnReason, float] = field(default_factory=dict)
    """Room by what is needed: processor, link and memory."""
    loop_delay: float = 0.0
    """Mean of the latest delays of the event loop."""
    share: float = 0.0
    """Share of new requests that is handed on."""
    relays: tuple[RelayGateway, ...] = ()
    """Gateways of the same data centre that have ample room."""
    relays_at: float = -math.inf
    totals: deque[tuple[float, int]] = field(default_factory=deque)
    """Times and counts of all bytes, of the last second."""
    delays: deque[float] = field(default_factory=lambda: deque(maxlen=LASTING_CHECKS))
    """Delays of new requests at the latest checks."""


def measure_room(table: RoomTable) -> float:
    """Return the room of this gateway."""
    return min(table.parts.values(), default=1.0)


def find_scarcest(table: RoomTable) -> HandOnReason:
    """Return what the gateway has the least of."""
    return min(table.parts, key=lambda one: table.parts[one])


def report_room(table: RoomTable) -> float:
    """Return the room to report: a gateway that hands requests on offers none."""
    room = measure_room(table)
    return min(room, LITTLE_ROOM) if is_handing_on(table) else room


def takes_request(table: RoomTable, draw: float) -> bool:
    """Return whether a request that another gateway hands on is taken.

    The part that is taken falls evenly to nothing as the room falls to what is ample.
    A relay that took requests down to little room made all gateways short together:
    each request that is handed on takes 1.7 times the work.
    """
    return draw < (report_room(table) - AMPLE_ROOM) / (1.0 - AMPLE_ROOM)


def read_room(room: float | msgspec.UnsetType) -> float | None:
    """Return a room that another process reports, or None if it is invalid.

    It is 1 if it is unset.
    """
    if isinstance(room, msgspec.UnsetType):
        return 1.0

    return room if math.isfinite(room) and 0.0 <= room <= 1.0 else None


def measure_byte_rate(table: RoomTable, total: int, now: float) -> float:
    """Record the count of all bytes; return those of the last second, per second."""
    table.totals.append((now, total))
    while len(table.totals) > 2 and table.totals[1][0] <= now - RATE_SECONDS:
        table.totals.popleft()

    since, before = table.totals[0]
    return (total - before) / (now - since) if now > since else 0.0


def describe_delays(delays: DelayTable, now: float) -> tuple[float, float]:
    """Return the delay of the event loop, and the further delay of the link.

    A late event loop also sees its connections late. Those that are not set up count
    only while the link is alive, as it may be cut.
    """
    loop = measure_loop_delay(delays)
    link = measure_link_delay(delays, now)
    if not link and is_link_alive(delays, now):
        link = measure_pending_delay(delays, now)

    return loop, max(link - loop, 0.0)


def measure_parts(load: GatewayLoad) -> dict[HandOnReason, float]:
    """Return the room by what is needed."""
    link = load.link_delay / LATE_SECONDS
    if load.link_bytes_per_second > 0.0:
        link = max(link, load.bytes_per_second / load.link_bytes_per_second)

    memory = 0.0
    if load.memory_bytes > 0:
        memory = load.held_bytes / (MEMORY_PART * load.memory_bytes)

    return {
        HandOnReason.PROCESSOR: bound_room(1.0 - load.loop_delay / LATE_SECONDS),
        HandOnReason.LINK: bound_room(1.0 - link),
        HandOnReason.MEMORY: bound_room(1.0 - memory),
    }


def bound_room(room: float) -> float:
    """Return a room within 0 and 1."""
    return min(max(room, 0.0), 1.0)


def update_room(table: RoomTable, load: GatewayLoad) -> None:
    """Measure the room, and adapt the share that is handed on.

    Called four times a second. The share grows while the processor has little room,
    shrinks while it has ample room, and stays in between.
    """
    table.loop_delay += SMOOTHING * (load.loop_delay - table.loop_delay)
    table.parts = measure_parts(replace(load, loop_delay=table.loop_delay))
    processor = table.parts[HandOnReason.PROCESSOR]
    if processor < LITTLE_ROOM:
        lack = (LITTLE_ROOM - processor) / LITTLE_ROOM
        table.share = min(table.share + SHARE_STEP * lack, 1.0)
    elif processor >= AMPLE_ROOM:
        table.share = max(table.share - SHARE_RETURN, 0.0)


def is_handing_on(table: RoomTable) -> bool:
    """Return whether a part of the requests is to be handed on."""
    return table.share > 0.0


def apply_relays(
    table: RoomTable, relays: Iterable[RelayGateway], data_centre: str, now: float
) -> None:
    """Replace the known relays with those in this data centre if a list names any.

    A list without one may be of a control that has just started.
    """
    found = tuple(one for one in relays if one.data_centre == data_centre)
    if found:
        table.relays = found
        table.relays_at = now


def is_ample(room: float | msgspec.UnsetType) -> bool:
    """Return whether a reported room is valid and ample."""
    return (read_room(room) or 0.0) >= AMPLE_ROOM


def list_usable_relays(table: RoomTable, now: float) -> tuple[RelayGateway, ...]:
    """Return the relays with room, unless the last list is too old."""
    return table.relays if now - table.relays_at <= RELAYS_TTL_SECONDS else ()


def drop_relay(table: RoomTable, name: str) -> None:
    """Forget a relay that has refused a request, until a list names it again.

    Less is handed on, as a refused request takes more time here than any other.
    """
    table.relays = tuple(one for one in table.relays if one.name != name)
    table.share *= REFUSAL_DECREASE


def measure_request_delay(delays: DelayTable, now: float) -> float:
    """Return the delay of a new request at the event loop and on the link.

    Connections that are not set up yet don't count: their upstreams may be down.
    """
    return max(measure_loop_delay(delays), measure_link_delay(delays, now))


def record_delay(table: RoomTable, delays: DelayTable, now: float) -> None:
    """Record the delay of new requests at a check."""
    table.delays.append(measure_request_delay(delays, now))


def can_begin(
    table: RoomTable, delays: DelayTable, remaining: float, now: float
) -> bool:
    """Return whether a response can begin here within the remaining time.

    If not, the caller's retry at another gateway serves it better. Only a delay that
    has lasted for some checks and is still measured counts.
    """
    if len(table.delays) < LASTING_CHECKS:
        return True

    delay = min(*table.delays, measure_request_delay(delays, now))
    return BEGIN_DELAYS * delay < remaining
