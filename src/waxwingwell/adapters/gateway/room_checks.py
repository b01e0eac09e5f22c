"""Periodic measurement of a gateway's room."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.gateway_room import GatewayLoad
from ...routing.gateway_room import describe_delays
from ...routing.gateway_room import find_scarcest
from ...routing.gateway_room import is_handing_on
from ...routing.gateway_room import list_usable_relays
from ...routing.gateway_room import measure_byte_rate
from ...routing.gateway_room import measure_room
from ...routing.gateway_room import record_delay
from ...routing.gateway_room import update_room
from ..events import log_event
from ..metrics import GATEWAY_ROOM
from ..traffic import Place
from ..traffic import TrafficKind
from ..traffic import find_traffic
from ..traffic import record_traffic
from ..traffic import sum_bytes


if TYPE_CHECKING:
    from .context import GatewayContext


def check_room(context: GatewayContext) -> None:
    """Measure the room; log when the gateway begins or ends to hand requests on."""
    now = context.clock()
    record_traffic(context.traffic)
    loop_delay, link_delay = describe_delays(context.delays, now)
    total = sum_bytes(context.traffic)
    load = GatewayLoad(
        loop_delay=loop_delay,
        link_delay=link_delay,
        bytes_per_second=measure_byte_rate(context.room, total, now),
        link_bytes_per_second=context.settings.link_bytes_per_second,
        held_bytes=context.held.total,
        memory_bytes=context.settings.memory_bytes,
    )
    record_delay(context.room, context.delays, now)
    was_handing_on = is_handing_on(context.room)
    update_room(context.room, load)
    GATEWAY_ROOM.set(measure_room(context.room))
    if is_handing_on(context.room) != was_handing_on:
        log_event(
            "gateway: Hand-on changed",
            active=not was_handing_on,
            scarcest=find_scarcest(context.room).value,
            room=round(measure_room(context.room), 2),
            delay_ms=round(loop_delay * 1000),
            bytes_per_second=round(load.bytes_per_second),
            held=load.held_bytes,
            relays=len(list_usable_relays(context.room, now)),
            requests=len(context.exchanges),
        )


def count_link_bytes(
    context: GatewayContext, control: str, sent: int, received: int
) -> None:
    """Count the bytes of a link to a control.

    The data centre of a control is known once the control has named it.
    """
    place = Place.SAME if control in context.local_controls else Place.OTHER
    traffic = find_traffic(context.traffic, TrafficKind.CONTROLS, place)
    traffic.sent += sent
    traffic.received += received
