"""An in-memory cluster: stores that lose unsynced writes, links that misbehave.

Time is a number that the test moves. Everything random comes from one seed.
"""

from __future__ import annotations

import heapq
import random
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import msgspec
from loguru import logger

from waxwingwell.state.consensus.messages import ConsensusMessage
from waxwingwell.state.consensus.records import Timing
from waxwingwell.state.exceptions import StorageError
from waxwingwell.state.group import Group
from waxwingwell.state.group import Machine
from waxwingwell.state.group import flush_group
from waxwingwell.state.group import leads
from waxwingwell.state.group import open_group
from waxwingwell.state.group import propose
from waxwingwell.state.group import receive_message
from waxwingwell.state.group import tick_group
from waxwingwell.state.storage_records import Batch
from waxwingwell.state.storage_records import Loaded
from waxwingwell.state.storage_records import Store


if TYPE_CHECKING:
    from waxwingwell.state.group import ProposalOutcome


logger.disable("waxwingwell.state")

STEP = 0.02
FAST = Timing(snapshot_bytes=3000, snapshot_tail=5, batch_entries=8, window_entries=24)


class CrashError(Exception):
    """The process ended amid a write."""


@dataclass(slots=True)
class Disk:
    """What is synced; a crash keeps exactly this."""

    loaded: Loaded = field(default_factory=Loaded)
    full: bool = False
    crash: str = ""
    """The next write ends the process: ``before`` it is synced, or ``after``."""


def open_fake_store(disk: Disk) -> Store:
    """Return a store over ``disk`` whose every write is synced or fails whole."""

    def write(batch: Batch) -> None:
        if disk.full:
            raise StorageError("disk full")

        crash, disk.crash = disk.crash, ""
        if crash == "before":
            raise CrashError

        disk.loaded = merge(disk.loaded, batch)
        if crash == "after":
            raise CrashError

    return Store(load=lambda: disk.loaded, write=write, close=lambda: None)


def merge(old: Loaded, batch: Batch) -> Loaded:
    """Return what a store holds after a batch."""
    base, base_term = old.base_index, old.base_term
    entries = dict(enumerate(old.entries, start=base + 1))
    if batch.snapshot is not None:
        base, base_term = batch.base_index, batch.base_term
        entries = {place: one for place, one in entries.items() if place > base}

    if batch.first is not None:
        entries = {place: e for place, e in entries.items() if place < batch.first}
        entries.update(enumerate(batch.entries, start=batch.first))

    return Loaded(
        member=batch.member or old.member,
        hard_state=batch.hard_state or old.hard_state,
        snapshot=batch.snapshot or old.snapshot,
        base_index=base,
        base_term=base_term,
        entries=tuple(entries[place] for place in sorted(entries)),
    )


@dataclass(slots=True)
class Node:
    """One member: its disk survives, its group and its applied state do not."""

    name: str
    disk: Disk = field(default_factory=Disk)
    group: Group | None = None
    applied: list[tuple[int, bytes]] = field(default_factory=list)
    frozen: bool = False
    clock_rate: float = 1.0
    clock_offset: float = 0.0


@dataclass(slots=True, order=True)
class Packet:
    """A message under way; packets order by time, then by sending."""

    due: float
    order: int
    sender: str = field(compare=False)
    target: str = field(compare=False)
    message: ConsensusMessage = field(compare=False)


@dataclass(slots=True)
class Cluster:
    """All members, the links between them, and the time."""

    names: tuple[str, ...]
    random: random.Random
    timing: Timing = FAST
    bootstrap: bool = True
    now: float = 1000.0
    nodes: dict[str, Node] = field(default_factory=dict)
    packets: list[Packet] = field(default_factory=list)
    """A heap by the time they are due."""
    cut: set[tuple[str, str]] = field(default_factory=set)
    loss: float = 0.0
    doubling: float = 0.0
    delay: tuple[float, float] = (0.001, 0.005)
    far: dict[str, float] = field(default_factory=dict)
    """By member: seconds by which messages to it take longer."""
    sent: int = 0
    watch: Callable[[Cluster, Node], None] | None = None
    watch_message: Callable[[Cluster, ConsensusMessage], None] | None = None


def make_cluster(
    size: int,
    *,
    seed: int = 1,
    timing: Timing = FAST,
    watch: Callable[[Cluster, Node], None] | None = None,
) -> Cluster:
    """Start a cluster of empty members that found a group."""
    names = tuple(f"control-{number}" for number in range(1, size + 1))
    cluster = Cluster(names, random.Random(seed), timing, watch=watch)
    for name in names:
        cluster.nodes[name] = Node(name)

    for name in names:
        start_node(cluster, name)

    return cluster


def start_node(cluster: Cluster, name: str, heard_at: float | None = None) -> None:
    """Start a member from its disk; it knows that it heard no leader since."""
    node = cluster.nodes[name]
    node.applied = []
    node.frozen = False
    node.disk.crash = ""
    node.group = open_group(
        group_id="main",
        member=name,
        members=cluster.names,
        store=open_fake_store(node.disk),
        machine=make_machine(node),
        send=lambda target, message: post(cluster, name, target, message),
        timing=cluster.timing,
        random=random.Random(cluster.random.getrandbits(64)),
        now=clock(cluster, node),
        heard_at=heard_at,
        bootstrap=cluster.bootstrap,
    )


def make_machine(node: Node) -> Machine:
    """Return a machine whose state is the list of commands applied."""

    def apply(index: int, command: bytes) -> bytes:
        node.applied.append((index, command))
        return b"done " + command

    def save() -> bytes:
        return msgspec.msgpack.encode(node.applied)

    def restore(data: bytes) -> None:
        node.applied = msgspec.msgpack.decode(data, type=list[tuple[int, bytes]])

    return Machine(apply, save, restore)


def clock(cluster: Cluster, node: Node) -> float:
    """Return a member's own monotonic clock."""
    return cluster.now * node.clock_rate + node.clock_offset


def post(cluster: Cluster, sender: str, target: str, message: ConsensusMessage) -> None:
    """Put a message on its way, or lose or double it."""
    if cluster.watch_message is not None:
        cluster.watch_message(cluster, message)

    copies = 2 if cluster.random.random() < cluster.doubling else 1
    for _ in range(copies):
        if cluster.random.random() < cluster.loss:
            continue

        cluster.sent += 1
        due = cluster.now + cluster.random.uniform(*cluster.delay)
        due += cluster.far.get(target, 0.0)
        packet = Packet(due, cluster.sent, sender, target, message)
        heapq.heappush(cluster.packets, packet)


def crash(cluster: Cluster, name: str) -> None:
    """End a member's process; what it had not synced is gone."""
    cluster.nodes[name].group = None


def lose_disk(cluster: Cluster, name: str) -> None:
    """End a member's process and empty its disk."""
    crash(cluster, name)
    cluster.nodes[name].disk = Disk()


def partition(cluster: Cluster, *sides: tuple[str, ...]) -> None:
    """Let only members of the same side reach each other."""
    cluster.cut.clear()
    for side in sides:
        for name in side:
            others = [other for other in cluster.names if other not in side]
            cluster.cut.update((name, other) for other in others)
            cluster.cut.update((other, name) for other in others)


def heal(cluster: Cluster) -> None:
    """Let all members reach each other."""
    cluster.cut.clear()


def step(cluster: Cluster, seconds: float = STEP) -> None:
    """Move the time, deliver what is due, tick and flush."""
    end = cluster.now + seconds
    while cluster.packets and cluster.packets[0].due <= end:
        packet = heapq.heappop(cluster.packets)
        cluster.now = max(cluster.now, packet.due)
        deliver(cluster, packet)

    cluster.now = end
    for node in cluster.nodes.values():
        turn(cluster, node)


def deliver(cluster: Cluster, packet: Packet) -> None:
    """Give a message to its target, or keep it for one that is frozen."""
    node = cluster.nodes[packet.target]
    if (packet.sender, packet.target) in cluster.cut or node.group is None:
        return

    if node.frozen:
        packet.due = cluster.now + STEP
        heapq.heappush(cluster.packets, packet)
        return

    receive_message(node.group, packet.sender, packet.message, clock(cluster, node))
    flush(cluster, node)


def turn(cluster: Cluster, node: Node) -> None:
    """Let one member's timers run."""
    if node.group is None or node.frozen:
        return

    tick_group(node.group, clock(cluster, node))
    flush(cluster, node)


def flush(cluster: Cluster, node: Node) -> None:
    """Make a member's changes durable and send; the process may end amid that."""
    if node.group is None:
        return

    try:
        flush_group(node.group, clock(cluster, node))
    except CrashError:
        node.group = None

    if cluster.watch is not None:
        cluster.watch(cluster, node)


def run_for(cluster: Cluster, seconds: float) -> None:
    """Let the cluster run."""
    end = cluster.now + seconds
    while cluster.now < end:
        step(cluster)


def run_until(
    cluster: Cluster, holds: Callable[[], bool], *, limit: float = 10.0
) -> float:
    """Run until ``holds``; return the seconds it took, or raise."""
    start = cluster.now
    while not holds():
        if cluster.now > start + limit:
            raise AssertionError(f"not reached in {limit} s")

        step(cluster)

    return cluster.now - start


def lease_holders(cluster: Cluster) -> list[str]:
    """Return the members that would act as leader at this instant."""
    return [
        node.name
        for node in cluster.nodes.values()
        if node.group is not None and leads(node.group, clock(cluster, node))
    ]


def await_leader(cluster: Cluster, *, limit: float = 10.0) -> str:
    """Run until a member leads; return its name."""
    run_until(cluster, lambda: bool(lease_holders(cluster)), limit=limit)
    return lease_holders(cluster)[0]


def await_voters(cluster: Cluster, *, limit: float = 10.0) -> None:
    """Run until every running member votes by the leader's membership."""

    def all_vote() -> bool:
        running = [node.group for node in cluster.nodes.values() if node.group]
        for name in lease_holders(cluster):
            leader = group_of(cluster, name)
            voters = set(leader.replica.membership.voters)
            return voters == {group.replica.member for group in running}

        return False

    run_until(cluster, all_vote, limit=limit)


def group_of(cluster: Cluster, name: str) -> Group:
    """Return the group of a running member."""
    group = cluster.nodes[name].group
    if group is None:
        raise AssertionError(f"{name} isn't running")

    return group


def put(cluster: Cluster, name: str, command: bytes) -> list[ProposalOutcome]:
    """Propose a command at a member; the outcome appears in the list returned."""
    outcomes: list[ProposalOutcome] = []
    node = cluster.nodes[name]
    propose(group_of(cluster, name), command, outcomes.append, clock(cluster, node))
    return outcomes


def commands(cluster: Cluster, name: str) -> list[bytes]:
    """Return the commands that a member has applied, in order."""
    return [command for _, command in cluster.nodes[name].applied]
