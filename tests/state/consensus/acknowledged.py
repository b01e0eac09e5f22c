"""Drawn plays: orders are acknowledged, and then disks and all power are lost.

Operators call any control, which may be suspended, cut off or restarting, and send an
order again while it has no response. The plays use the replicated routing state.

``python -m tests.state.consensus.acknowledged FIRST COUNT`` runs plays by hand.
"""

from __future__ import annotations

import heapq
import random
import sys
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING
from typing import Any

import msgspec

from tests.routing.factories import make_document
from waxwingwell.adapters.registry.members import TIMING
from waxwingwell.adapters.registry.members import count_voters
from waxwingwell.routing.messages import BeginRollout
from waxwingwell.routing.messages import EndRollout
from waxwingwell.routing.messages import GrowRollout
from waxwingwell.routing.messages import Publish
from waxwingwell.routing.messages import SetEvacuation
from waxwingwell.state.consensus.records import EntryKind
from waxwingwell.state.consensus.records import Membership
from waxwingwell.state.group import Committed
from waxwingwell.state.group import leader_of
from waxwingwell.state.group import transfer_leadership
from waxwingwell.state.routing import RoutingState
from waxwingwell.state.routing import apply_routing
from waxwingwell.state.routing import count_rollouts
from waxwingwell.state.routing import decode_command
from waxwingwell.state.routing import find_evacuation
from waxwingwell.state.routing import version_of

from .fakes import Cluster
from .fakes import Disk
from .fakes import Node
from .fakes import await_leader
from .fakes import await_voters
from .fakes import clock
from .fakes import crash
from .fakes import lease_holders
from .fakes import lose_disk
from .fakes import lose_power
from .fakes import make_cluster
from .fakes import partition
from .fakes import propose_command
from .fakes import run_for
from .fakes import start_node
from .fakes import step


if TYPE_CHECKING:
    from waxwingwell.routing.messages import RolloutState
    from waxwingwell.routing.messages import RoutingCommand


GROUPS = ((3, 1), (5, 2), (5, 2), (5, 2), (7, 3), (7, 2), (9, 2))
"""Sizes of groups, and how many disks each may lose at once."""
SERVICES = ("chat", "search")
DATA_CENTRES = ("north", "south")
CALL_SECONDS = 1.0
"""Seconds after which an operator turns to another control."""
RESEND_SECONDS = 4.0
"""Seconds for which an operator sends an order again; a document, until accepted."""
REOPEN_SECONDS = 1.0
"""Seconds after which a member that halted or was removed is opened again."""
RECOVERY_SECONDS = 12.0
"""Seconds after the last start within which a leader must serve all reads."""


@dataclass(slots=True)
class Order:
    """An order of an operator, in all its copies."""

    place: int
    kind: str
    subject: str
    """Service, data centre, or empty for a document."""
    value: Any
    """Target of a roll-out, whether to evacuate, or version of a document."""
    sent_at: float
    acknowledged: bool = False
    closed: bool = False


@dataclass(frozen=True, slots=True)
class Shown:
    """A roll-out as operators see it, and the order that started it."""

    place: int
    target: str
    state: str


@dataclass(slots=True)
class Seen:
    """What one read of the newest state showed."""

    version: int
    rollouts: dict[str, Shown]
    """Latest roll-out by service."""
    evacuated: dict[str, bool]


@dataclass(slots=True)
class Play:
    """One drawn play."""

    cluster: Cluster
    random: random.Random
    losses: int
    orders: list[Order] = field(default_factory=list)
    events: list[tuple[float, int, Callable[[], None]]] = field(default_factory=list)
    newest: Seen | None = None
    scheduled: int = 0
    problems: list[str] = field(default_factory=list)


def run_play(seed: int) -> list[str]:
    """Run one play; return what was lost."""
    drawn = random.Random(seed)
    size, losses = drawn.choice(GROUPS)
    timing = replace(
        TIMING,
        max_voters=count_voters(losses),
        snapshot_bytes=drawn.choice((1500, 6000, 1 << 20)),
        snapshot_tail=5,
    )
    cluster = make_cluster(size, seed=seed, timing=timing)
    play = Play(cluster, drawn, losses)
    await_leader(cluster)
    run_for(cluster, 4.0)
    cluster.delay = drawn.choice(((0.001, 0.005), (0.001, 0.03), (0.005, 0.08)))
    act_until(play, cluster.now + drawn.uniform(3.0, 25.0))
    lose_all_power(play)
    check_recovery(play)
    return play.problems


def act_until(play: Play, end: float) -> None:
    """Order, read and disturb until ``end``; then until a change is in progress."""
    drawn, cluster = play.random, play.cluster
    calm = drawn.random() < 0.3
    while cluster.now < end:
        if drawn.random() < 0.05:
            send_order(play)

        if drawn.random() < 0.08:
            advance_rollouts(play)

        if drawn.random() < 0.1:
            read_state(play)

        if not calm and drawn.random() < 0.02:
            disturb(play)

        advance(play)

    send_order(play)
    for _ in range(drawn.randrange(21)):
        if drawn.random() < 0.2:
            advance_rollouts(play)
            read_state(play)

        advance(play)


def advance(play: Play) -> None:
    """Advance the time by one step, with what is due."""
    cluster = play.cluster
    while play.events and play.events[0][0] <= cluster.now:
        heapq.heappop(play.events)[2]()

    for node in cluster.nodes.values():
        group = node.group
        if group is not None and (group.halted or group.replica.expelled):
            reopen_later(play, node, erase=group.replica.expelled)

    step(cluster)


def reopen_later(play: Play, node: Node, *, erase: bool) -> None:
    """Close a member that can't go on, and open it again later."""
    node.group = None
    if erase:
        node.disk = Disk()

    schedule(play, REOPEN_SECONDS, lambda: start_if_down(play, node.name))


def schedule(play: Play, delay: float, event: Callable[[], None]) -> None:
    """Call ``event`` after a delay."""
    play.scheduled += 1
    due = play.cluster.now + delay
    heapq.heappush(play.events, (due, play.scheduled, event))


def start_if_down(play: Play, name: str) -> None:
    """Start a member unless it runs."""
    node = play.cluster.nodes[name]
    if node.group is not None:
        return

    if node.disk.full:
        schedule(play, REOPEN_SECONDS, lambda: start_if_down(play, name))
        return

    start_node(play.cluster, name)


def state_of(node: Node) -> RoutingState:
    """Return the state that a member has applied."""
    state = RoutingState()
    for _, command in node.applied:
        apply_routing(state, decode_command(command))

    return state


def send_order(play: Play) -> None:
    """Draw an order and send it to a control."""
    drawn = play.random
    kind = drawn.choice(("document", "rollout", "rollout", "evacuation"))
    place = len(play.orders) + 1
    subject, value = draw_order(drawn, kind, place)
    earlier = [one for one in play.orders if (one.kind, one.subject) == (kind, subject)]
    if kind != "document" and any(not one.closed for one in earlier):
        return

    order = Order(place, kind, subject, value, play.cluster.now)
    play.orders.append(order)
    call_control(play, order)


def draw_order(drawn: random.Random, kind: str, place: int) -> tuple[str, Any]:
    """Return the subject and the value of an order."""
    if kind == "rollout":
        return drawn.choice(SERVICES), f"v{drawn.choice((2, place))}"

    if kind == "evacuation":
        return drawn.choice(DATA_CENTRES), drawn.random() < 0.5

    return "", place


def call_control(play: Play, order: Order) -> None:
    """Send an order to any control, and again to another until it is accepted."""
    now = play.cluster.now
    if order.acknowledged or order.closed:
        return

    if order.kind != "document" and now > order.sent_at + RESEND_SECONDS - CALL_SECONDS:
        order.closed = True
        return

    node = play.random.choice(list(play.cluster.nodes.values()))
    left_at = now + CALL_SECONDS
    receive_order(play, order, node, left_at)
    schedule(play, CALL_SECONDS, lambda: call_control(play, order))


def receive_order(play: Play, order: Order, node: Node, left_at: float) -> None:
    """Handle an order at a control, once it runs; it may be lost with the process."""
    incarnation = node.group
    delay = play.random.choice((0.0, 0.0, 0.001, 0.05, 0.4))

    def handle() -> None:
        if node.group is None or node.group is not incarnation:
            return

        if node.frozen:
            schedule(play, 0.02, handle)
            return

        submit_order(play, order, node, left_at)

    schedule(play, delay, handle)


def submit_order(play: Play, order: Order, node: Node, left_at: float) -> None:
    """Turn an order into a command by a control's own state, and forward it."""
    state = state_of(node)
    abandoned = play.cluster.now >= left_at and play.random.random() < 0.5
    if abandoned and order.kind != "document":
        return

    command = make_command(order, state, clock(play.cluster, node))
    encoded = msgspec.msgpack.encode(command)
    group = node.group
    assert group is not None
    leader = leader_of(group)
    if not leader:
        return

    delay = 0.0
    if leader != node.name:
        delay = play.random.choice((0.002, 0.002, 0.01, 0.1, 2.0))

    def arrive() -> None:
        propose_order(play, order, leader, encoded, left_at)

    schedule(play, delay, arrive)


def make_command(order: Order, state: RoutingState, now: float) -> RoutingCommand:
    """Return the command of an order that a control with ``state`` received."""
    if order.kind == "document":
        document = make_document(version=order.value)
        return Publish(document=document, source=b"%d" % order.place)

    if order.kind == "rollout":
        return BeginRollout(
            service=order.subject,
            target=order.value,
            duration=float(order.place),
            ordered_at=now,
            revision=count_rollouts(state, order.subject),
        )

    revision = find_evacuation(state, order.subject).revision
    return SetEvacuation(
        data_centre=order.subject, active=order.value, revision=revision
    )


def propose_order(
    play: Play, order: Order, leader: str, encoded: bytes, left_at: float
) -> None:
    """Propose a command at a member, and acknowledge the order once it holds."""
    node = play.cluster.nodes[leader]
    if node.group is None or node.frozen:
        return

    outcomes = propose_command(play.cluster, leader, encoded)

    def answer() -> None:
        if not outcomes:
            if play.cluster.now < left_at:
                schedule(play, 0.02, answer)

            return

        outcome = outcomes[0]
        if not isinstance(outcome, Committed) or play.cluster.now >= left_at:
            return

        if node.group is None or not holds_after(node, outcome.index):
            return

        order.acknowledged = order.closed = True

    answer()


def holds_after(node: Node, index: int) -> bool:
    """Return whether the command at ``index`` held when it was applied."""
    state, held = RoutingState(), True
    for place, command in node.applied:
        held = apply_routing(state, decode_command(command))
        if place >= index:
            break

    return held


def advance_rollouts(play: Play) -> None:
    """Let the leader propose the next step of its roll-outs."""
    for name in lease_holders(play.cluster):
        state = state_of(play.cluster.nodes[name])
        for rollout in state.rollouts.values():
            if rollout.state == "in_progress":
                command = draw_step(play, rollout)
                propose_command(play.cluster, name, msgspec.msgpack.encode(command))


def draw_step(play: Play, rollout: RolloutState) -> RoutingCommand:
    """Return a step of a roll-out."""
    if play.random.random() < 0.6:
        return GrowRollout(
            service=rollout.service,
            target=rollout.target,
            ordered_at=rollout.ordered_at,
            share=min(rollout.share + 0.2, 1.0),
        )

    return EndRollout(
        service=rollout.service,
        target=rollout.target,
        ordered_at=rollout.ordered_at,
        completed=play.random.random() < 0.5,
    )


def read_state(play: Play) -> bool:
    """Read the newest state from its leader, and compare it with what was seen.

    Return whether there is a leader that has caught up.
    """
    for name in lease_holders(play.cluster):
        node = play.cluster.nodes[name]
        group = node.group
        if group is None or group.replica.applied < group.replica.term_start_index:
            continue

        seen = show(state_of(node))
        if play.newest is not None and play.newest != seen:
            play.problems += compare(play, play.newest, seen)

        play.newest = seen
        return True

    return False


def show(state: RoutingState) -> Seen:
    """Return what operators see of a state."""
    return Seen(
        version=version_of(state),
        rollouts={
            one.service: Shown(round(one.duration), one.target, one.state)
            for one in state.rollouts.values()
        },
        evacuated={one: find_evacuation(state, one).active for one in DATA_CENTRES},
    )


def compare(play: Play, before: Seen, after: Seen) -> list[str]:
    """Return what a later read shows in an older state than an earlier one."""
    problems = []
    now = f"{play.cluster.now - 1000:.2f} s: "
    if after.version < before.version:
        problems.append(f"{now}document {after.version} after {before.version}")

    for service, shown in before.rollouts.items():
        found = after.rollouts.get(service)
        if found is None or is_older(play, found, shown):
            problems.append(f"{now}{service}: {found} after {shown}")

    return problems


def is_older(play: Play, found: Shown, shown: Shown) -> bool:
    """Return whether a roll-out read later is in an older state than one shown."""
    if found.place == shown.place:
        return shown.state not in ("in_progress", found.state)

    accepted = play.orders[shown.place - 1].acknowledged
    ended = shown.state != "in_progress"
    return found.place < shown.place and (accepted or ended)


def disturb(play: Play) -> None:
    """Draw one disturbance; each ends by itself."""
    drawn, cluster = play.random, play.cluster
    node = drawn.choice(list(cluster.nodes.values()))
    kind = drawn.choice(("kill", "kill", "freeze", "cut", "full", "empty", "hand over"))
    seconds = drawn.choice((0.1, 0.5, 1.0, 2.5, 7.0))
    if kind == "kill":
        kill(play, node, seconds)
    elif kind == "freeze":
        node.frozen = True
        schedule(play, seconds, lambda: thaw(node))
    elif kind == "cut":
        partition(cluster, tuple(drawn.sample(cluster.names, play.losses)))
        schedule(play, seconds, cluster.cut_links.clear)
    elif kind == "full":
        node.disk.full = True
        schedule(play, seconds, lambda: clear_disk(node))
    elif kind == "empty" and may_lose_disk(cluster, node.name):
        lose_disk(cluster, node.name)
        schedule(play, 1.0, lambda: start_if_down(play, node.name))
    elif kind == "hand over":
        for name in lease_holders(cluster):
            group = cluster.nodes[name].group
            assert group is not None
            transfer_leadership(group, node.name, cluster.now)


def kill(play: Play, node: Node, seconds: float) -> None:
    """Kill a process, now or at its next write, and start it again."""
    node.disk.crash = play.random.choice(("", "before", "after", "unsynced"))
    if not node.disk.crash:
        crash(play.cluster, node.name)

    schedule(play, seconds + 0.5, lambda: start_if_down(play, node.name))


def thaw(node: Node) -> None:
    """Resume a suspended process."""
    node.frozen = False


def clear_disk(node: Node) -> None:
    """Make room on a disk again."""
    node.disk.full = False


def may_lose_disk(cluster: Cluster, name: str) -> bool:
    """Return whether every membership on a disk keeps a majority without this disk."""
    disks = [node.disk for node in cluster.nodes.values()]
    held = {
        disk.loaded.member for disk in disks if disk is not cluster.nodes[name].disk
    }
    for disk in disks:
        for voters in list_voters(disk):
            lost = [voter for voter in voters if voter not in held]
            if len(lost) > (len(voters) - 1) // 2:
                return False

    return True


def list_voters(disk: Disk) -> list[tuple[str, ...]]:
    """Return the voters of each membership on a disk."""
    memberships = [
        msgspec.msgpack.decode(entry.data, type=Membership)
        for entry in disk.loaded.entries
        if entry.kind is EntryKind.MEMBERSHIP
    ]
    if disk.loaded.snapshot is not None:
        memberships.append(disk.loaded.snapshot.membership)

    return [one.voters for one in memberships]


def lose_all_power(play: Play) -> None:
    """Lose the disks that may be lost, and power everywhere; start all again."""
    cluster, drawn = play.cluster, play.random
    read_state(play)
    play.events.clear()
    names = list(cluster.names)
    drawn.shuffle(names)
    emptied = 0
    for name in names:
        if emptied < play.losses and may_lose_disk(cluster, name):
            lose_disk(cluster, name)
            emptied += 1
        else:
            lose_power(cluster, name)

        cluster.nodes[name].disk.full = False

    cluster.packets.clear()
    cluster.cut_links.clear()
    run_for(cluster, drawn.choice((0.2, 1.0)))
    drawn.shuffle(names)
    for name in names:
        start_node(cluster, name)
        run_for(cluster, drawn.choice((0.0, 0.02, 0.1, 0.5, 2.0)))


def check_recovery(play: Play) -> None:
    """Check that a leader serves all that was acknowledged or shown."""
    cluster = play.cluster
    end = cluster.now + RECOVERY_SECONDS
    while cluster.now < end and not read_state(play):
        advance(play)

    if not read_state(play):
        play.problems.append("nobody leads after the power failure")
        return

    assert play.newest is not None
    play.problems += check_orders(play, play.newest)
    try:
        await_voters(cluster, limit=RECOVERY_SECONDS)
    except AssertionError:
        if len(cluster.names) == cluster.timing.max_voters:
            play.problems.append("not all members vote again")


def check_orders(play: Play, seen: Seen) -> list[str]:
    """Return the acknowledged orders that no longer hold."""
    problems = []
    documents = [one for one in play.orders if one.kind == "document"]
    held = max((one.value for one in documents if one.acknowledged), default=-1)
    if seen.version < held:
        problems.append(f"document {held} was acknowledged, {seen.version} is held")

    for service in SERVICES:
        order = find_last(play, "rollout", service)
        found = seen.rollouts.get(service)
        if order is not None and (found is None or found.target != order.value):
            problems.append(f"roll-out of {service} to {order.value}: {found}")

    for name in DATA_CENTRES:
        order = find_last(play, "evacuation", name)
        if order is not None and seen.evacuated[name] != order.value:
            problems.append(f"evacuation of {name}: {order.value} was acknowledged")

    return problems


def find_last(play: Play, kind: str, subject: str) -> Order | None:
    """Return the last order on a subject, if it was acknowledged."""
    orders = [one for one in play.orders if (one.kind, one.subject) == (kind, subject)]
    return orders[-1] if orders and orders[-1].acknowledged else None


def main() -> None:
    """Run plays from the first seed given, and print those that lost something."""
    first, count = int(sys.argv[1]), int(sys.argv[2])
    lost = 0
    for seed in range(first, first + count):
        problems = run_play(seed)
        lost += bool(problems)
        if problems:
            print(f"seed {seed}: {'; '.join(problems[:3])}", flush=True)

    print(f"{count} plays, {lost} lost something")


if __name__ == "__main__":
    main()
