"""Benchmarks of the replicated log on real files: commits, rejoining and storage.

``python -m bench.consensus [folder]``; results are in docs/design/consensus.md.
"""

from __future__ import annotations

import os
import random
import resource
import shutil
import sys
import tempfile
import time
import zlib
from dataclasses import dataclass
from dataclasses import field
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from loguru import logger
from tabulate import tabulate

from waxwingwell.state.consensus.messages import AppendAnswer
from waxwingwell.state.consensus.messages import AppendEntries
from waxwingwell.state.consensus.messages import ConsensusMessage
from waxwingwell.state.consensus.messages import InstallSnapshot
from waxwingwell.state.consensus.messages import JoinRequest
from waxwingwell.state.consensus.messages import Probe
from waxwingwell.state.consensus.messages import ProbeAnswer
from waxwingwell.state.consensus.messages import RequestVote
from waxwingwell.state.consensus.messages import SnapshotAnswer
from waxwingwell.state.consensus.messages import VoteAnswer
from waxwingwell.state.consensus.records import Entry
from waxwingwell.state.consensus.records import EntryKind
from waxwingwell.state.consensus.records import Timing
from waxwingwell.state.group import Group
from waxwingwell.state.group import Machine
from waxwingwell.state.group import flush_group
from waxwingwell.state.group import leads
from waxwingwell.state.group import open_group
from waxwingwell.state.group import propose
from waxwingwell.state.group import receive_message
from waxwingwell.state.group import tick_group
from waxwingwell.state.storage import open_store
from waxwingwell.state.storage_records import Batch


if TYPE_CHECKING:
    from collections.abc import Callable


COMMAND = bytes(200)
"""A command of about the size of an encoded reservation."""
BATCHES = (1, 10, 100, 1000)
SECONDS = 2.0
FILL_BATCH = 100
"""Commands per batch while a log is filled until its snapshot is due."""
STATE_SIZES = (0, 1 << 20, 10 << 20, 100 << 20)
NAMES = ("a", "b", "c")
Message = (
    AppendEntries
    | AppendAnswer
    | InstallSnapshot
    | SnapshotAnswer
    | RequestVote
    | VoteAnswer
    | Probe
    | ProbeAnswer
    | JoinRequest
)


@dataclass(slots=True)
class Network:
    """Messages in flight, encoded as on a stream, and the total bytes sent."""

    queue: list[tuple[str, str, bytes]] = field(default_factory=list)
    sent_bytes: int = 0
    encoder: msgspec.msgpack.Encoder = field(default_factory=msgspec.msgpack.Encoder)
    decoder: msgspec.msgpack.Decoder[Message] = field(
        default_factory=lambda: msgspec.msgpack.Decoder(Message)
    )


@dataclass(slots=True)
class State:
    """A state machine's state: the largest command and the number of commands."""

    data: bytes = b""
    count: int = 0


@dataclass(slots=True)
class Bench:
    """Members of a group in one process, each with its own files."""

    folder: Path
    names: tuple[str, ...]
    network: Network = field(default_factory=Network)
    groups: dict[str, Group] = field(default_factory=dict)
    states: dict[str, State] = field(default_factory=dict)


def make_machine(state: State) -> Machine:
    """Return a state machine that counts commands and keeps the largest."""

    def apply(index: int, command: bytes) -> bytes:
        state.count += 1
        if len(command) > len(state.data):
            state.data = command

        return b""

    def restore(data: bytes) -> None:
        state.data = data

    return Machine(apply, lambda: state.data, restore)


def start_member(bench: Bench, name: str, timing: Timing) -> None:
    """Open one member; its messages go to the queue of the network."""
    state = State()
    network = bench.network

    def send(target: str, message: ConsensusMessage) -> None:
        data = network.encoder.encode(message)
        network.sent_bytes += len(data)
        network.queue.append((name, target, data))

    bench.states[name] = state
    bench.groups[name] = open_group(
        group_id="bench",
        member=name,
        members=bench.names,
        store=open_store(bench.folder / name, "bench"),
        machine=make_machine(state),
        send=send,
        timing=timing,
        random=random.Random(),
        now=time.monotonic(),
        bootstrap=True,
    )


def step(bench: Bench) -> None:
    """Deliver all queued messages, then tick and flush each member."""
    queue, bench.network.queue = bench.network.queue, []
    for sender, target, data in queue:
        message = bench.network.decoder.decode(data)
        if target in bench.groups:
            receive_message(bench.groups[target], sender, message, time.monotonic())

    for group in bench.groups.values():
        tick_group(group, time.monotonic())
        flush_group(group, time.monotonic())


def run_until(bench: Bench, condition: Callable[[], bool]) -> float:
    """Step the members until a condition holds; return the seconds it took."""
    started = time.perf_counter()
    while not condition():
        step(bench)

    return time.perf_counter() - started


def find_leader(bench: Bench) -> Group | None:
    """Return the member that holds the leader lease, if any."""
    for group in bench.groups.values():
        if leads(group, time.monotonic()):
            return group

    return None


def start_all(folder: Path, names: tuple[str, ...]) -> tuple[Bench, Group]:
    """Start members and wait for a leader."""
    bench = Bench(folder, names)
    timing = Timing()
    for name in names:
        start_member(bench, name, timing)

    run_until(bench, lambda: find_leader(bench) is not None)
    leader = find_leader(bench)
    assert leader is not None
    return bench, leader


def measure_commits(folder: Path, names: tuple[str, ...], batch: int) -> list[object]:
    """Measure commits of batches, each proposed once the previous one is committed."""
    bench, leader = start_all(folder, names)
    times: list[float] = []
    sent = bench.network.sent_bytes
    cpu = read_cpu()
    started = time.perf_counter()
    while time.perf_counter() - started < SECONDS:
        times.append(commit_batch(bench, leader, batch))

    wall = time.perf_counter() - started
    count = batch * len(times)
    times.sort()
    return [
        len(names),
        batch,
        round(count / wall),
        round(times[len(times) // 2] * 1e3, 3),
        round(times[int(len(times) * 0.99)] * 1e3, 3),
        round((read_cpu() - cpu) / count * 1e6, 1),
        round((bench.network.sent_bytes - sent) / count, 1),
    ]


def commit_batch(bench: Bench, leader: Group, batch: int) -> float:
    """Commit one batch; return the seconds it took."""
    done: list[object] = []
    started = time.perf_counter()
    for _ in range(batch):
        propose(leader, COMMAND, done.append, time.monotonic())

    while len(done) < batch:
        step(bench)

    return time.perf_counter() - started


def read_cpu() -> float:
    """Return the CPU seconds of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def measure_rejoin(folder: Path, size: int) -> list[object]:
    """Measure the time from an emptied disk until the member is a voter again."""
    bench, leader = start_all(folder, NAMES)
    done: list[object] = []
    propose(leader, bytes(size), done.append, time.monotonic())
    for _ in range(Timing().snapshot_bytes // len(COMMAND) // FILL_BATCH):
        commit_batch(bench, leader, FILL_BATCH)

    run_until(bench, lambda: leader.replica.snapshot is not None)
    wiped = next(name for name in NAMES if name != leader.replica.name)
    bench.groups.pop(wiped).store.close()
    shutil.rmtree(folder / wiped)
    start_member(bench, wiped, Timing())
    member = bench.groups[wiped].replica.member
    seconds = run_until(bench, lambda: is_voter(bench, member))
    return [size >> 20, round(seconds, 3)]


def is_voter(bench: Bench, member: str) -> bool:
    """Return whether the leader's committed membership has ``member`` as a voter."""
    leader = find_leader(bench)
    if leader is None:
        return False

    replica = leader.replica
    committed = replica.commit >= replica.membership_index
    return committed and member in replica.membership.voters


def measure_storage(folder: Path, batch: int) -> list[object]:
    """Compare SQLite with an append-only file and one fdatasync per batch."""
    entries = tuple(Entry(1, EntryKind.COMMAND, COMMAND) for _ in range(batch))
    store = open_store(folder / "sqlite", "bench")
    next_index = 1

    def write_sqlite() -> None:
        nonlocal next_index
        store.write(Batch(first=next_index, entries=entries))
        next_index += batch

    descriptor = os.open(folder / "plain.log", os.O_CREAT | os.O_WRONLY | os.O_APPEND)

    def write_plain() -> None:
        data = msgspec.msgpack.encode(entries)
        header = len(data).to_bytes(4) + zlib.crc32(data).to_bytes(4)
        os.write(descriptor, header + data)
        os.fdatasync(descriptor)

    row = [batch, *measure_writes(write_sqlite), *measure_writes(write_plain)]
    store.close()
    os.close(descriptor)
    return row


def measure_writes(write: Callable[[], None]) -> list[object]:
    """Return the median and the 99th percentile of the write time in ms."""
    times = []
    started = time.perf_counter()
    while time.perf_counter() - started < SECONDS / 2:
        write_started = time.perf_counter()
        write()
        times.append(time.perf_counter() - write_started)

    times.sort()
    return [
        round(times[len(times) // 2] * 1e3, 3),
        round(times[int(len(times) * 0.99)] * 1e3, 3),
    ]


def run(root: Path) -> None:
    """Print all tables; each measurement uses a new folder below ``root``."""
    numbers = iter(range(1000))

    def make_folder() -> Path:
        folder = root / str(next(numbers))
        folder.mkdir()
        return folder

    cases = [(names, batch) for names in (NAMES[:1], NAMES) for batch in BATCHES]
    commits = [measure_commits(make_folder(), names, batch) for names, batch in cases]
    headers = ["members", "batch", "commits/s", "p50 ms", "p99 ms", "cpu us", "bytes"]
    print(tabulate(commits, headers))
    print()
    storage = [measure_storage(make_folder(), batch) for batch in BATCHES]
    headers = ["batch", "sqlite p50 ms", "p99", "plain p50 ms", "p99"]
    print(tabulate(storage, headers))
    print()
    rejoins = [measure_rejoin(make_folder(), size) for size in STATE_SIZES]
    print(tabulate(rejoins, ["state MB", "rejoin s"]))


def main() -> None:
    """Run in a temporary folder, created below the folder of the argument if given."""
    logger.disable("waxwingwell")
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    with tempfile.TemporaryDirectory(dir=parent) as root:
        run(Path(root))


if __name__ == "__main__":
    main()
