"""The replicated log on real files: commits, cost of a command, rejoin, storage.

``python -m bench.consensus [folder]``; figures stand in docs/design/consensus.md.
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
"""About the size of an encoded reservation."""
BATCHES = (1, 10, 100, 1000)
SECONDS = 2.0
FILL = 100
"""Commands a batch while a log is filled until its snapshot is due."""
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
class Wires:
    """Messages under way, encoded as on a stream, and the bytes they took."""

    queue: list[tuple[str, str, bytes]] = field(default_factory=list)
    sent_bytes: int = 0
    encoder: msgspec.msgpack.Encoder = field(default_factory=msgspec.msgpack.Encoder)
    decoder: msgspec.msgpack.Decoder[Message] = field(
        default_factory=lambda: msgspec.msgpack.Decoder(Message)
    )


@dataclass(slots=True)
class State:
    """A machine's state: a block of bytes, and a count."""

    data: bytes = b""
    count: int = 0


@dataclass(slots=True)
class Bench:
    """Members in one process, each with files of its own."""

    folder: Path
    names: tuple[str, ...]
    wires: Wires = field(default_factory=Wires)
    groups: dict[str, Group] = field(default_factory=dict)
    states: dict[str, State] = field(default_factory=dict)


def make_machine(state: State) -> Machine:
    """Return a machine that counts commands and keeps the largest."""

    def apply(index: int, command: bytes) -> bytes:
        state.count += 1
        if len(command) > len(state.data):
            state.data = command

        return b""

    def restore(data: bytes) -> None:
        state.data = data

    return Machine(apply, lambda: state.data, restore)


def start(bench: Bench, name: str, timing: Timing) -> None:
    """Open one member."""
    state = State()
    wires = bench.wires

    def send(target: str, message: ConsensusMessage) -> None:
        data = wires.encoder.encode(message)
        wires.sent_bytes += len(data)
        wires.queue.append((name, target, data))

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


def turn(bench: Bench) -> None:
    """Deliver all that waits, then tick and flush each member."""
    queue, bench.wires.queue = bench.wires.queue, []
    for sender, target, data in queue:
        message = bench.wires.decoder.decode(data)
        if target in bench.groups:
            receive_message(bench.groups[target], sender, message, time.monotonic())

    for group in bench.groups.values():
        tick_group(group, time.monotonic())
        flush_group(group, time.monotonic())


def run_until(bench: Bench, holds: Callable[[], bool]) -> float:
    """Turn until ``holds``; return the seconds it took."""
    start_at = time.perf_counter()
    while not holds():
        turn(bench)

    return time.perf_counter() - start_at


def find_leader(bench: Bench) -> Group | None:
    """Return the member that holds the lease."""
    for group in bench.groups.values():
        if leads(group, time.monotonic()):
            return group

    return None


def start_all(folder: Path, names: tuple[str, ...]) -> tuple[Bench, Group]:
    """Start members and wait for a leader."""
    bench = Bench(folder, names)
    timing = Timing()
    for name in names:
        start(bench, name, timing)

    run_until(bench, lambda: find_leader(bench) is not None)
    leader = find_leader(bench)
    assert leader is not None
    return bench, leader


def measure_commits(folder: Path, names: tuple[str, ...], batch: int) -> list[object]:
    """Propose batch after batch, each when the last is committed."""
    bench, leader = start_all(folder, names)
    times: list[float] = []
    sent = bench.wires.sent_bytes
    cpu = read_cpu()
    began = time.perf_counter()
    while time.perf_counter() - began < SECONDS:
        times.append(commit_batch(bench, leader, batch))

    wall = time.perf_counter() - began
    count = batch * len(times)
    times.sort()
    return [
        len(names),
        batch,
        round(count / wall),
        round(times[len(times) // 2] * 1e3, 3),
        round(times[int(len(times) * 0.99)] * 1e3, 3),
        round((read_cpu() - cpu) / count * 1e6, 1),
        round((bench.wires.sent_bytes - sent) / count, 1),
    ]


def commit_batch(bench: Bench, leader: Group, batch: int) -> float:
    """Commit one batch; return the seconds it took."""
    done: list[object] = []
    began = time.perf_counter()
    for _ in range(batch):
        propose(leader, COMMAND, done.append, time.monotonic())

    while len(done) < batch:
        turn(bench)

    return time.perf_counter() - began


def read_cpu() -> float:
    """Return the processor seconds of this process."""
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def measure_rejoin(folder: Path, size: int) -> list[object]:
    """Empty one member's disk; wait until it votes again."""
    bench, leader = start_all(folder, NAMES)
    done: list[object] = []
    propose(leader, bytes(size), done.append, time.monotonic())
    for _ in range(Timing().snapshot_bytes // len(COMMAND) // FILL):
        commit_batch(bench, leader, FILL)

    run_until(bench, lambda: leader.replica.snapshot is not None)
    lost = next(name for name in NAMES if name != leader.replica.name)
    bench.groups.pop(lost).store.close()
    shutil.rmtree(folder / lost)
    start(bench, lost, Timing())
    member = bench.groups[lost].replica.member
    taken = run_until(bench, lambda: votes(bench, member))
    return [size >> 20, round(taken, 3)]


def votes(bench: Bench, member: str) -> bool:
    """Return whether a leader has ``member`` as a committed voter."""
    leader = find_leader(bench)
    if leader is None:
        return False

    replica = leader.replica
    settled = replica.commit >= replica.membership_index
    return settled and member in replica.membership.voters


def measure_storage(folder: Path, batch: int) -> list[object]:
    """Weigh SQLite against an append-only file with one fdatasync a batch."""
    entries = tuple(Entry(1, EntryKind.COMMAND, COMMAND) for _ in range(batch))
    store = open_store(folder / "sqlite", "bench")
    place = 1

    def write_sqlite() -> None:
        nonlocal place
        store.write(Batch(first=place, entries=entries))
        place += batch

    descriptor = os.open(folder / "plain.log", os.O_CREAT | os.O_WRONLY | os.O_APPEND)

    def write_plain() -> None:
        data = msgspec.msgpack.encode(entries)
        head = len(data).to_bytes(4) + zlib.crc32(data).to_bytes(4)
        os.write(descriptor, head + data)
        os.fdatasync(descriptor)

    row = [batch, *measure_writes(write_sqlite), *measure_writes(write_plain)]
    store.close()
    os.close(descriptor)
    return row


def measure_writes(write: Callable[[], None]) -> list[object]:
    """Return the median and the 99th percentile of one write, in ms."""
    times = []
    began = time.perf_counter()
    while time.perf_counter() - began < SECONDS / 2:
        start_at = time.perf_counter()
        write()
        times.append(time.perf_counter() - start_at)

    times.sort()
    return [
        round(times[len(times) // 2] * 1e3, 3),
        round(times[int(len(times) * 0.99)] * 1e3, 3),
    ]


def run(root: Path) -> None:
    """Print all tables; each measurement gets an empty folder below ``root``."""
    numbers = iter(range(1000))

    def fresh() -> Path:
        folder = root / str(next(numbers))
        folder.mkdir()
        return folder

    cases = [(names, batch) for names in (NAMES[:1], NAMES) for batch in BATCHES]
    commits = [measure_commits(fresh(), names, batch) for names, batch in cases]
    heads = ["members", "batch", "commits/s", "p50 ms", "p99 ms", "cpu us", "bytes"]
    print(tabulate(commits, heads))
    print()
    storage = [measure_storage(fresh(), batch) for batch in BATCHES]
    heads = ["batch", "sqlite p50 ms", "p99", "plain p50 ms", "p99"]
    print(tabulate(storage, heads))
    print()
    rejoins = [measure_rejoin(fresh(), size) for size in STATE_SIZES]
    print(tabulate(rejoins, ["state MB", "rejoin s"]))


def main() -> None:
    """Run below the folder given, or below a temporary one."""
    logger.disable("waxwingwell")
    parent = sys.argv[1] if len(sys.argv) > 1 else None
    with tempfile.TemporaryDirectory(dir=parent) as root:
        run(Path(root))


if __name__ == "__main__":
    main()
