"""In-memory cluster: stores that lose unsynced writes, and faulty links.

Time is simulated and advanced by the test. All randomness derives from one seed.
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

STEP_SECONDS = 0.02
FAST_TIMING = Timing(
    snapshot_bytes=3000, snapshot_tail=5, batch_entries=8, window_entries=24
)


class CrashError(Exception):
    """Simulated crash of the process during a write."""


@dataclass(slots=True)
class Disk:
    """Files of a member; they survive a crash of its process."""

    loaded: Loaded = field(default_factory=Loaded)
    synced: Loaded = field(default_factory=Loaded)
    """What is left after a power failure."""
    full: bool = False
    crash: str = ""
    """Crash the process at the next write: ``before`` or ``after`` it, or before its
    sync (``unsynced``)."""


def open_fake_store(disk: Disk) -> Store:
    """Return a store over ``disk`` whose writes are synced or fail atomically.

    As with files, what an earlier process left unsynced is synced as it is opened.
    """

    def write(batch: Batch) -> None:
        if disk.full:
            raise StorageError("disk full")

        crash, disk.crash = disk.crash, ""
        if crash == "before":
            raise CrashError

        disk.loaded = apply_batch(disk.loaded, batch)
        if crash == "unsynced":
            raise CrashError

        disk.synced = disk.loaded
        if crash == "after":
            raise CrashError

    def load() -> Loaded:
        disk.synced = disk.loaded
        return disk.loaded

    return Store(load=load, write=write, close=lambda: None)


def apply_batch(old: Loaded, batch: Batch) -> Loaded:
    """Return the contents of a store after a batch is written."""
    base, base_term = old.base_index, old.base_term
    entries = dict(enumerate(old.entries, start=base + 1))
    if batch.snapshot is not None:
        base, base_term = batch.base_index, batch.base_term
        entries = {index: one for index, one in entries.items() if index > base}

    if batch.first is not None:
        entries = {index: e for index, e in entries.items() if index < batch.first}
        entries.update(enumerate(batch.entries, start=batch.first))

    return Loaded(
        member=batch.member or old.member,
        hard_state=batch.hard_state or old.hard_state,
        snapshot=batch.snapshot or old.snapshot,
        base_index=base,
        base_term=base_term,
        entries=tuple(entries[index] for index in sorted(entries)),
    )


@dataclass(slots=True)
class Node:
    """One member; only its disk survives a crash, not its group or applied state."""

    name: str
    disk: Disk = field(default_factory=Disk)
    group: Group | None = None
    applied: list[tuple[int, bytes]] = field(default_factory=list)
    frozen: bool = False
    clock_rate: float = 1.0
    clock_offset: float = 0.0


@dataclass(slots=True, order=True)
class Packet:
    """A message in flight; packets sort by delivery time, then by send order."""

    due: float
    order: int
    sender: str = field(compare=False)
    target: str = field(compare=False)
    message: ConsensusMessage = field(compare=False)


@dataclass(slots=True)
class Cluster:
    """All members, the links between them, and the simulated time."""

    names: tuple[str, ...]
    random: random.Random
    timing: Timing = FAST_TIMING
    bootstrap: bool = True
    contacts: dict[str, tuple[str, ...]] = field(default_factory=dict)
    """By member: the members outside its settings that it is linked to."""
    now: float = 1000.0
    nodes: dict[str, Node] = field(default_factory=dict)
    packets: list[Packet] = field(default_factory=list)
    """Heap ordered by delivery time."""
    cut_links: set[tuple[str, str]] = field(default_factory=set)
    loss: float = 0.0
    duplication: float = 0.0
    delay: tuple[float, float] = (0.001, 0.005)
    extra_delay: dict[str, float] = field(default_factory=dict)
    """By member: seconds added to the delay of messages to it."""
    sent: int = 0
    watch: Callable[[Cluster, Node], None] | None = None
    watch_message: Callable[[Cluster, ConsensusMessage], None] | None = None


def make_cluster(
    size: int,
    *,
    seed: int = 1,
    timing: Timing = FAST_TIMING,
    watch: Callable[[Cluster, Node], None] | None = None,
) -> Cluster:
    """Start a cluster of empty members that bootstrap a group."""
    names = tuple(f"control-{number}" for number in range(1, size + 1))
    cluster = Cluster(names, random.Random(seed), timing, watch=watch)
    for name in names:
        cluster.nodes[name] = Node(name)

    for name in names:
        start_node(cluster, name)

    return cluster


def start_node(cluster: Cluster, name: str, heard_at: float | None = None) -> None:
    """Start a member from its disk.

    It heard no leader after ``heard_at``; if None, it may have heard one until now.
    """
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
        send=lambda target, message: send_packet(cluster, name, target, message),
        timing=cluster.timing,
        random=random.Random(cluster.random.getrandbits(64)),
        now=clock(cluster, node),
        heard_at=heard_at,
        bootstrap=cluster.bootstrap,
        list_contacts=lambda: cluster.contacts.get(name, ()),
    )


def make_machine(node: Node) -> Machine:
    """Return a state machine whose state is the list of applied commands."""

    def apply(index: int, command: bytes) -> bytes:
        node.applied.append((index, command))
        return b"done " + command

    def save() -> bytes:
        return msgspec.msgpack.encode(node.applied)

    def restore(data: bytes) -> None:
        node.applied = msgspec.msgpack.decode(data, type=list[tuple[int, bytes]])

    return Machine(apply, save, restore)


def clock(cluster: Cluster, node: Node) -> float:
    """Return the time of a member's own monotonic clock."""
    return cluster.now * node.clock_rate + node.clock_offset


def send_packet(
    cluster: Cluster, sender: str, target: str, message: ConsensusMessage
) -> None:
    """Queue a message for delivery, or lose or duplicate it."""
    if cluster.watch_message is not None:
        cluster.watch_message(cluster, message)

    copies = 2 if cluster.random.random() < cluster.duplication else 1
    for _ in range(copies):
        if cluster.random.random() < cluster.loss:
            continue

        cluster.sent += 1
        due = cluster.now + cluster.random.uniform(*cluster.delay)
        due += cluster.extra_delay.get(target, 0.0)
        packet = Packet(due, cluster.sent, sender, target, message)
        heapq.heappush(cluster.packets, packet)


def crash(cluster: Cluster, name: str) -> None:
    """Crash a member's process; unsynced state is lost."""
    cluster.nodes[name].group = None


def lose_power(cluster: Cluster, name: str) -> None:
    """Crash a member's process and drop what its disk has not synced."""
    crash(cluster, name)
    disk = cluster.nodes[name].disk
    disk.loaded = disk.synced


def lose_disk(cluster: Cluster, name: str) -> None:
    """Crash a member's process and erase its disk."""
    crash(cluster, name)
    cluster.nodes[name].disk = Disk()


def partition(cluster: Cluster, *sides: tuple[str, ...]) -> None:
    """Cut the links between members of different sides."""
    cluster.cut_links.clear()
    for side in sides:
        for name in side:
            others = [other for other in cluster.names if other not in side]
            cluster.cut_links.update((name, other) for other in others)
            cluster.cut_links.update((other, name) for other in others)


def heal(cluster: Cluster) -> None:
    """Restore all links."""
    cluster.cut_links.clear()


def step(cluster: Cluster, seconds: float = STEP_SECONDS) -> None:
    """Advance the time, deliver packets that are due, tick and flush."""
    end = cluster.now + seconds
    while cluster.packets and cluster.packets[0].due <= end:
        packet = heapq.heappop(cluster.packets)
        cluster.now = max(cluster.now, packet.due)
        deliver(cluster, packet)

    cluster.now = end
    for node in cluster.nodes.values():
        tick_node(cluster, node)


def deliver(cluster: Cluster, packet: Packet) -> None:
    """Deliver a message, or delay it while its target is frozen."""
    node = cluster.nodes[packet.target]
    if (packet.sender, packet.target) in cluster.cut_links or node.group is None:
        return

    if node.frozen:
        packet.due = cluster.now + STEP_SECONDS
        heapq.heappush(cluster.packets, packet)
        return

    receive_message(node.group, packet.sender, packet.message, clock(cluster, node))
    flush(cluster, node)


def tick_node(cluster: Cluster, node: Node) -> None:
    """Run one member's timers."""
    if node.group is None or node.frozen:
        return

    tick_group(node.group, clock(cluster, node))
    flush(cluster, node)


def flush(cluster: Cluster, node: Node) -> None:
    """Sync a member's changes and send its messages; the process may crash."""
    if node.group is None:
        return

    try:
        flush_group(node.group, clock(cluster, node))
    except CrashError:
        node.group = None

    if cluster.watch is not None:
        cluster.watch(cluster, node)


def run_for(cluster: Cluster, seconds: float) -> None:
    """Run the cluster for ``seconds`` of simulated time."""
    end = cluster.now + seconds
    while cluster.now < end:
        step(cluster)


def run_until(
    cluster: Cluster, holds: Callable[[], bool], *, limit: float = 10.0
) -> float:
    """Run until ``holds`` is true; return the seconds taken, or raise at ``limit``."""
    start = cluster.now
    while not holds():
        if cluster.now > start + limit:
            raise AssertionError(f"condition not reached within {limit} s")

        step(cluster)

    return cluster.now - start


def lease_holders(cluster: Cluster) -> list[str]:
    """Return the names of the members that hold a leader lease now."""
    return [
        node.name
        for node in cluster.nodes.values()
        if node.group is not None and leads(node.group, clock(cluster, node))
    ]


def await_leader(cluster: Cluster, *, limit: float = 10.0) -> str:
    """Run until a member holds the leader lease; return its name."""
    run_until(cluster, lambda: bool(lease_holders(cluster)), limit=limit)
    return lease_holders(cluster)[0]


def await_voters(cluster: Cluster, *, limit: float = 10.0) -> None:
    """Run until the voters of the leader's membership are the running members."""

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


def propose_command(
    cluster: Cluster, name: str, command: bytes
) -> list[ProposalOutcome]:
    """Propose a command at a member; its outcome is appended to the returned list."""
    outcomes: list[ProposalOutcome] = []
    node = cluster.nodes[name]
    propose(group_of(cluster, name), command, outcomes.append, clock(cluster, node))
    return outcomes


def commands(cluster: Cluster, name: str) -> list[bytes]:
    """Return the commands that a member has applied, in log order."""
    return [command for _, command in cluster.nodes[name].applied]
