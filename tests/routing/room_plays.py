"""Gateways of different sizes on a simulated clock.

Each gateway is an event loop that handles requests one after the other. Its loop is
timed and its room measured by the code under test; rooms reach the others through
lists that are up to a second old. Refused callers try another gateway.
"""

from __future__ import annotations

import heapq
import random
from dataclasses import dataclass
from dataclasses import field
from functools import partial
from itertools import count
from typing import TYPE_CHECKING

from waxwingwell.routing.acceptance import AcceptTable
from waxwingwell.routing.acceptance import take_connection
from waxwingwell.routing.acceptance import update_rate
from waxwingwell.routing.delays import TURN_SECONDS
from waxwingwell.routing.delays import DelayTable
from waxwingwell.routing.delays import record_turn
from waxwingwell.routing.gateway_room import RELAYS_INTERVAL_SECONDS
from waxwingwell.routing.gateway_room import GatewayLoad
from waxwingwell.routing.gateway_room import RoomTable
from waxwingwell.routing.gateway_room import apply_relays
from waxwingwell.routing.gateway_room import describe_delays
from waxwingwell.routing.gateway_room import drop_relay
from waxwingwell.routing.gateway_room import is_ample
from waxwingwell.routing.gateway_room import list_usable_relays
from waxwingwell.routing.gateway_room import report_room
from waxwingwell.routing.gateway_room import takes_request
from waxwingwell.routing.gateway_room import update_room
from waxwingwell.routing.messages import RelayGateway


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


WORK_SECONDS = 0.004
"""Processor time of a request at a gateway of size 1."""
RELAYED_PART = 0.7
"""Part of it that a request takes at a gateway that hands it on, as measured."""
REFUSAL_PART = 0.05
CHECK_SECONDS = 0.25
HOP_SECONDS = 0.001
RETRY_SECONDS = 0.05
"""Seconds until a caller whose connection was refused tries another gateway."""
LEARNT_RATE = 1_024.0
"""Connections per second that gateways have learnt to accept before the play."""
ENGINE_SECONDS = 0.3
"""Seconds from the sending to an upstream to the first event."""


@dataclass(frozen=True, slots=True)
class Size:
    """A gateway's speed and what it is offered, as a part of its capacity."""

    speed: float
    offered: float


@dataclass(eq=False, slots=True)
class Node:
    """One gateway."""

    name: str
    size: Size
    delays: DelayTable = field(default_factory=DelayTable)
    accepts: AcceptTable = field(
        default_factory=lambda: AcceptTable(rate=LEARNT_RATE, tokens=LEARNT_RATE / 4)
    )
    room: RoomTable = field(default_factory=RoomTable)
    free_at: float = 0.0
    """Time by which its event loop has handled what it knows of."""
    reported: float = 1.0
    waits: list[tuple[float, float]] = field(default_factory=list)
    """Arrivals and seconds until the first event, of callers that came here first."""
    handed_on: int = 0
    refused: int = 0
    """Requests of other gateways that it refused."""
    turned_away: int = 0
    """Connections of callers that it refused."""


class Play:
    """Some gateways under constant load."""

    def __init__(
        self, sizes: Sequence[Size], seed: int, *, hands_on: bool = True
    ) -> None:
        self.random = random.Random(seed)
        self.nodes = [Node(f"g{place}", size) for place, size in enumerate(sizes)]
        self.hands_on = hands_on
        self.lists = True
        """Whether a control lists relays."""
        self.events: list[tuple[float, int, Callable[[float], None]]] = []
        self.order = count()
        for node in self.nodes:
            self._schedule(0.0, partial(self._arrive, node))
            self._schedule(0.0, partial(self._turn, node))
            self._schedule(0.0, partial(self._check, node))
            self._schedule(0.0, partial(self._list, node))

    def play(self, until: float) -> None:
        """Play up to a time."""
        while self.events[0][0] < until:
            at, _, action = heapq.heappop(self.events)
            action(at)

    def _schedule(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self.events, (at, next(self.order), action))

    def _run(self, node: Node, part: float, now: float) -> float:
        """Handle some work at a gateway; return when that is done."""
        work = part * WORK_SECONDS / node.size.speed
        node.free_at = max(node.free_at, now) + work
        return node.free_at

    def _turn(self, node: Node, now: float) -> None:
        at = max(node.free_at, now)
        record_turn(node.delays, at)
        update_rate(node.accepts, node.delays.delay, 0.0, at)
        self._schedule(at + TURN_SECONDS, partial(self._turn, node))

    def _check(self, node: Node, now: float) -> None:
        at = max(node.free_at, now)
        loop_delay, link_delay = describe_delays(node.delays, at)
        load = GatewayLoad(loop_delay=loop_delay, link_delay=link_delay)
        update_room(node.room, load)
        node.reported = report_room(node.room)
        self._schedule(at + CHECK_SECONDS, partial(self._check, node))

    def _list(self, node: Node, now: float) -> None:
        relays = [
            RelayGateway(one.name, one.name, 1, "north")
            for one in self.nodes
            if one is not node and is_ample(one.reported)
        ]
        if self.lists:
            apply_relays(node.room, relays, "north", now)

        self._schedule(now + RELAYS_INTERVAL_SECONDS, partial(self._list, node))

    def _arrive(self, node: Node, now: float) -> None:
        rate = node.size.offered * node.size.speed / WORK_SECONDS
        again = now + self.random.expovariate(rate)
        self._schedule(again, partial(self._arrive, node))
        self._serve(node, node, now, now)

    def _serve(self, first: Node, node: Node, arrived_at: float, now: float) -> None:
        if not take_connection(node.accepts, now):
            node.turned_away += 1
            other = self.random.choice([one for one in self.nodes if one is not node])
            again = partial(self._serve, first, other, arrived_at)
            self._schedule(now + RETRY_SECONDS, again)
            return

        relay = self._choose(node, now)
        if relay is None:
            self._finish(first, arrived_at, self._run(node, 1.0, now))
            return

        node.handed_on += 1
        sent_at = self._run(node, RELAYED_PART, now) + HOP_SECONDS
        receive = partial(self._receive, first, node, relay, arrived_at)
        self._schedule(sent_at, receive)

    def _choose(self, node: Node, now: float) -> Node | None:
        if not self.hands_on or self.random.random() >= node.room.share:
            return None

        relays = list_usable_relays(node.room, now)
        if not relays:
            return None

        found = self.random.choice(relays)
        return next(one for one in self.nodes if one.name == found.name)

    def _receive(
        self, first: Node, node: Node, relay: Node, arrived_at: float, now: float
    ) -> None:
        if not takes_request(relay.room, self.random.random()):
            relay.refused += 1
            back_at = self._run(relay, REFUSAL_PART, now) + HOP_SECONDS
            serve = partial(self._serve_refused, first, node, relay, arrived_at)
            self._schedule(back_at, serve)
            return

        done_at = self._run(relay, 1.0, now) + HOP_SECONDS
        self._finish(first, arrived_at, done_at)

    def _serve_refused(
        self, first: Node, node: Node, relay: Node, arrived_at: float, now: float
    ) -> None:
        drop_relay(node.room, relay.name)
        self._finish(first, arrived_at, self._run(node, 1.0, now))

    def _finish(self, first: Node, arrived_at: float, sent_at: float) -> None:
        first.waits.append((arrived_at, sent_at + ENGINE_SECONDS - arrived_at))


def rank_waits(nodes: Sequence[Node], since: float, part: float) -> float:
    """Return a quantile of the waits of callers since a time."""
    waits = sorted(wait for one in nodes for at, wait in one.waits if at >= since)
    return waits[int(part * (len(waits) - 1))]


def average_waits(nodes: Sequence[Node], since: float) -> float:
    """Return the mean wait of callers since a time."""
    waits = [wait for one in nodes for at, wait in one.waits if at >= since]
    return sum(waits) / len(waits)
