"""Cost of the state layer: time, bytes on the wire and memory per unit.

Run ``python -m bench.state [--json FILE]``. Commands are encoded and decoded as on the
wire, outside of the timed sections. Times include garbage collection.
"""

from __future__ import annotations

import gc
import json
import sys
import time
import tracemalloc
from dataclasses import asdict
from dataclasses import dataclass
from pathlib import Path
from typing import TYPE_CHECKING

import msgspec
from tabulate import tabulate

from waxwingwell.decisions.tables import Tables
from waxwingwell.messages import ApplyAnswers
from waxwingwell.messages import Command
from waxwingwell.messages import PinSession
from waxwingwell.messages import RegisterVersion
from waxwingwell.messages import Reserve
from waxwingwell.messages import Settle
from waxwingwell.records import Announcement
from waxwingwell.records import Capabilities
from waxwingwell.records import EntryId
from waxwingwell.records import KeyHash
from waxwingwell.records import LedgerRow
from waxwingwell.records import LoadReport
from waxwingwell.records import OutcomeKind
from waxwingwell.records import Priority
from waxwingwell.records import StoredResponse
from waxwingwell.records import UpstreamId
from waxwingwell.records import UpstreamKind
from waxwingwell.records import Usage
from waxwingwell.records import VersionId
from waxwingwell.records import VersionSpec
from waxwingwell.records import WorkKind
from waxwingwell.records import WorkspaceConfig
from waxwingwell.records import WorkspaceId
from waxwingwell.state.attempts import record_ended
from waxwingwell.state.machine import ControlState
from waxwingwell.state.machine import apply_command
from waxwingwell.state.machine import load_state
from waxwingwell.state.machine import make_snapshot
from waxwingwell.state.machine import save_state
from waxwingwell.state.membership import apply_announcement
from waxwingwell.state.membership import make_relay_message
from waxwingwell.state.rows import Ledger


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Sequence


ROW_SIZES = (1_000, 10_000, 100_000)
UPSTREAM_SIZES = (12, 120, 1_200, 12_000)
WORKSPACE_SIZES = (10, 100, 1_000)
VERSIONS = tuple(VersionId(f"heron@{number}") for number in range(8))
TIMED_OPERATIONS = 2_000
"""Number of operations timed for each size."""

COMMAND_DECODER = msgspec.msgpack.Decoder(Command)
ANNOUNCEMENT_DECODER = msgspec.msgpack.Decoder(Announcement)


@dataclass(frozen=True, slots=True)
class Cost:
    """One row of the results."""

    what: str
    held: int
    """Number of units in the state during the measurement."""
    micros: float
    """Mean microseconds per operation; 0 if only memory was measured."""
    wire: float
    """Encoded size of the message in bytes; 0 if there is none."""
    memory: float
    """Bytes of memory per unit; 0 if only time was measured."""


def make_workspace(number: int) -> ApplyAnswers:
    """Return the first answers of a workspace of typical size."""
    workspace = WorkspaceId(f"workspace-{number}")
    kinds = tuple(WorkKind(p.value, p, 0.8) for p in Priority)
    keys = tuple(KeyHash(f"key-{index}", "0123456789abcdef" * 4) for index in range(4))
    return ApplyAnswers(
        change_id=f"change-{number:012}",
        operator="operator",
        expected_revision=0,
        at=1.0,
        answers=b"x" * 1_500,
        config=WorkspaceConfig(workspace, 0, VERSIONS[:4], kinds, keys=keys),
    )


def make_reserve(number: int, *, repeatable: bool) -> Reserve:
    """Return a reservation with ids of typical length."""
    return Reserve(
        row=LedgerRow(
            workspace=WorkspaceId(f"workspace-{number % 10}"),
            key=f"key-{number:032}",
            request=f"request-{number:024}",
            entry=EntryId(f"entry-{number % 9}"),
            entry_incarnation=1_700_000_000,
            repeatable=repeatable,
            digest=f"{number:032x}",
            reserved_at=1_700_000_000.0,
            session=f"session-{number:016}",
        )
    )


def make_settle(number: int) -> Settle:
    """Return the settle command of a request with a response of 300 bytes."""
    return Settle(
        workspace=WorkspaceId(f"workspace-{number % 10}"),
        key=f"key-{number:032}",
        request=f"request-{number:024}",
        outcome=OutcomeKind.COMPLETED,
        at=1_700_000_000.0,
        version=VERSIONS[0],
        upstream=UpstreamId(f"upstream-{number % 12}"),
        usage=Usage(200, 300, 4_000),
        answer=StoredResponse(200, "application/json", b"a" * 300),
    )


def make_pin(number: int) -> PinSession:
    """Return the command that pins a session."""
    return PinSession(
        workspace=WorkspaceId(f"workspace-{number % 10}"),
        session=f"session-{number:016}",
        version=VERSIONS[number % 4],
        at=1_700_000_000.0,
    )


def make_announcement(number: int, sequence: int, *, loaded: bool) -> Announcement:
    """Return the announcement of a model engine."""
    load = LoadReport(3, 1, 4_000, 45.0, 8_000.0, 0.4) if loaded else None
    return Announcement(
        upstream=UpstreamId(f"upstream-{number:06}"),
        incarnation=1_700_000_000,
        sequence=sequence,
        kind=UpstreamKind.MODEL,
        data_centre="kazanchis",
        host="10.20.30.40",
        port=9_000,
        lease=6.0,
        versions=VERSIONS[:4],
        capacity=16,
        capabilities=Capabilities(resume=True, cancel=True),
        load=load,
    )


def transfer(command: Command) -> Command:
    """Return a command as received: decoded, without objects shared with the sender."""
    return COMMAND_DECODER.decode(msgspec.msgpack.encode(command))


def measure_wire(message: object) -> float:
    """Return the encoded size of a message in bytes."""
    return float(len(msgspec.msgpack.encode(message)))


def time_each(operations: Sequence[Callable[[], object]]) -> float:
    """Run each operation once; return the mean time in microseconds."""
    started = time.perf_counter()
    for operation in operations:
        operation()

    return (time.perf_counter() - started) / len(operations) * 1e6


def measure_memory(fill: Callable[[], object], count: int) -> float:
    """Return the bytes of memory per unit if ``fill`` creates ``count`` units."""
    gc.collect()
    tracemalloc.start()
    kept = fill()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size / count


def make_control(workspaces: int = 10) -> ControlState:
    """Return a state with versions and workspaces."""
    state = ControlState()
    for version in VERSIONS:
        change = RegisterVersion(
            change_id=f"register {version}",
            operator="operator",
            expected_revision=0,
            at=1.0,
            spec=VersionSpec(version, "heron", 1.0, 2.0),
        )
        apply_command(state, change)

    for number in range(workspaces):
        apply_command(state, transfer(make_workspace(number)))

    return state


def apply_all(state: ControlState, commands: Sequence[Command]) -> ControlState:
    """Apply commands as received; return the state."""
    for command in commands:
        apply_command(state, transfer(command))

    return state


def time_commands(state: ControlState, commands: Sequence[Command]) -> float:
    """Return the mean microseconds to apply one of the commands."""
    received = [transfer(command) for command in commands]
    return time_each([lambda c=c: apply_command(state, c) for c in received])  # type: ignore[misc]


def measure_configuration() -> list[Cost]:
    """Measure changes, snapshots for entries and the memory per workspace."""
    costs = []
    for size in WORKSPACE_SIZES:
        state = make_control(size)
        changes = [
            msgspec.structs.replace(
                make_workspace(number % size),
                change_id=f"again-{number:012}",
                expected_revision=1 + number // size,
            )
            for number in range(TIMED_OPERATIONS)
        ]
        micros = time_commands(state, changes)
        costs.append(
            Cost("configuration change", size, micros, measure_wire(changes[0]), 0)
        )
        snapshot = make_snapshot(state)
        wire = measure_wire(snapshot)

        def encode(state: ControlState = state) -> None:
            state.config.snapshot = None
            msgspec.msgpack.encode(make_snapshot(state))

        costs.append(
            Cost("snapshot for entries", size, time_each([encode] * 20), wire, 0)
        )
        memory = measure_memory(lambda size=size: make_control(size), size)  # type: ignore[misc]
        costs.append(Cost("memory: workspace", size, 0, 0, memory))

    return costs


def measure_ledger() -> list[Cost]:
    """Measure reservations, settles and the memory per row and ended attempt."""
    costs = []
    for size in ROW_SIZES:
        reserves_held = [make_reserve(n, repeatable=False) for n in range(size)]
        state = apply_all(make_control(), reserves_held)
        numbers = range(size, size + TIMED_OPERATIONS)
        reserves = [make_reserve(n, repeatable=False) for n in numbers]
        micros = time_commands(state, reserves)
        costs.append(Cost("reservation", size, micros, measure_wire(reserves[0]), 0))
        settles = [make_settle(n) for n in numbers]
        micros = time_commands(state, settles)
        costs.append(Cost("settle", size, micros, measure_wire(settles[0]), 0))
        settles_with_row = [
            msgspec.structs.replace(
                make_settle(n), row=make_reserve(n, repeatable=True).row
            )
            for n in range(size + TIMED_OPERATIONS, size + 2 * TIMED_OPERATIONS)
        ]
        micros = time_commands(state, settles_with_row)
        wire = measure_wire(settles_with_row[0])
        costs.append(Cost("settle that brings its row", size, micros, wire, 0))
        costs += measure_rows(size)
        costs.append(Cost("memory: ended attempt", size, 0, 0, measure_ended(size)))

    return costs


def measure_ended(size: int) -> float:
    """Return the bytes of memory per recorded id of an ended attempt."""

    def fill() -> Ledger:
        ledger = Ledger()
        for number in range(size):
            record_ended(ledger, f"request-{number:024}")

        return ledger

    return measure_memory(fill, size)


def measure_rows(size: int) -> list[Cost]:
    """Measure the memory per row by status and stored response."""

    def fill(*, repeatable: bool, settled: bool) -> ControlState:
        state = ControlState()
        for number in range(size):
            reserve = make_reserve(number, repeatable=repeatable)
            apply_command(state, transfer(reserve))
            if settled:
                settle = make_settle(number)
                answer = None if repeatable else settle.answer
                settle = msgspec.structs.replace(settle, answer=answer)
                apply_command(state, transfer(settle))

        return state

    cases = (
        ("memory: open row", False, False),
        ("memory: settled row, no answer", True, True),
        ("memory: settled row, 300 B answer", False, True),
    )
    return [
        Cost(
            name,
            size,
            0,
            0,
            measure_memory(
                lambda r=repeatable, s=settled: fill(repeatable=r, settled=s),  # type: ignore[misc]
                size,
            ),
        )
        for name, repeatable, settled in cases
    ]


def measure_saved_states() -> list[Cost]:
    """Measure saving and loading a state of settled rows, per row."""
    costs = []
    for size in ROW_SIZES:
        state = ControlState()
        for number in range(size):
            apply_command(state, transfer(make_reserve(number, repeatable=False)))
            apply_command(state, transfer(make_settle(number)))

        saved = save_state(state)
        saving = time_each([lambda state=state: save_state(state)] * 3)  # type: ignore[misc]
        loading = time_each([lambda saved=saved: load_state(saved)] * 3)  # type: ignore[misc]
        wire = len(saved) / size
        costs.append(Cost("image saved, for each row", size, saving / size, wire, 0))
        costs.append(Cost("image loaded, for each row", size, loading / size, wire, 0))

    return costs


def measure_pins() -> list[Cost]:
    """Measure the time and memory of session pins."""
    costs = []
    for size in ROW_SIZES:
        pins = [make_pin(number) for number in range(size + TIMED_OPERATIONS)]
        state = apply_all(make_control(), pins[:size])
        micros = time_commands(state, pins[size:])
        costs.append(Cost("session pin", size, micros, measure_wire(pins[0]), 0))
        micros = time_commands(state, pins[:TIMED_OPERATIONS])
        costs.append(Cost("session pin used again", size, micros, 0, 0))
        base = make_control()
        memory = measure_memory(
            lambda base=base, pins=pins, size=size: apply_all(base, pins[:size]),  # type: ignore[misc]
            size,
        )
        costs.append(Cost("memory: session", size, 0, 0, memory))

    return costs


def fill_upstreams(size: int) -> Tables:
    """Return tables with announcements of ``size`` upstreams."""
    tables = Tables()
    for number in range(size):
        announcement = make_announcement(number, 0, loaded=True)
        received = ANNOUNCEMENT_DECODER.decode(msgspec.msgpack.encode(announcement))
        apply_announcement(tables, received, 0.0, 100.0)

    return tables


def _bind_announcement(
    tables: Tables, announcement: Announcement
) -> Callable[[], object]:
    """Return a function that applies one announcement."""
    return lambda: apply_announcement(tables, announcement, 0.1, 101.0)


def measure_upstreams() -> list[Cost]:
    """Measure announcements with and without load reports, and spreading them."""
    costs = []
    for size in UPSTREAM_SIZES:
        tables = fill_upstreams(size)
        for batch, (name, loaded) in enumerate(
            (("announcement", False), ("announcement with load report", True))
        ):
            rounds = range(TIMED_OPERATIONS)
            sequences = [
                1 + batch * TIMED_OPERATIONS + number // size for number in rounds
            ]
            announcements = [
                make_announcement(number % size, sequence, loaded=loaded)
                for number, sequence in zip(rounds, sequences, strict=True)
            ]
            micros = time_each([_bind_announcement(tables, a) for a in announcements])
            costs.append(Cost(name, size, micros, measure_wire(announcements[0]), 0))

        def encode_spread(tables: Tables = tables) -> bytes:
            return msgspec.msgpack.encode(make_relay_message(tables, 0.0, 101.0))

        micros = time_each([encode_spread] * 20) / size
        wire = len(encode_spread()) / size
        costs.append(Cost("spread, for each upstream", size, micros, wire, 0))
        memory = measure_memory(lambda size=size: fill_upstreams(size), size)  # type: ignore[misc]
        costs.append(Cost("memory: upstream", size, 0, 0, memory))

    return costs


def main(arguments: Sequence[str]) -> None:
    """Run all measurements, print a table and write JSON if requested."""
    costs = [
        *measure_configuration(),
        *measure_upstreams(),
        *measure_ledger(),
        *measure_pins(),
        *measure_saved_states(),
    ]
    costs.sort(key=lambda cost: (cost.what, cost.held))
    rows = [asdict(cost) for cost in costs]
    headers = {
        "what": "what",
        "held": "held",
        "micros": "µs",
        "wire": "wire B",
        "memory": "memory B",
    }
    print(tabulate(rows, headers=headers, floatfmt=",.1f", intfmt=","))
    if len(arguments) == 2 and arguments[0] == "--json":
        Path(arguments[1]).write_text(json.dumps(rows, indent=1) + "\n")


if __name__ == "__main__":
    main(sys.argv[1:])
