"""Randomised run: entries cut off and frozen, leaders that change, unlike clocks."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from waxwingwell.messages import ConfigSnapshot
from waxwingwell.messages import LeaseBehind
from waxwingwell.messages import LeaseGranted
from waxwingwell.messages import RenewLease
from waxwingwell.records import EntryId
from waxwingwell.state.leases import MAX_CLOCK_DRIFT
from waxwingwell.state.leases import ConfigLease
from waxwingwell.state.leases import EntryLeases
from waxwingwell.state.leases import begin_renewal
from waxwingwell.state.leases import finish_renewal
from waxwingwell.state.leases import is_in_force
from waxwingwell.state.leases import may_admit
from waxwingwell.state.leases import renew_lease
from waxwingwell.state.leases import take_snapshot

from .support import Run
from .support import RunTestCase


ENTRY_NAMES = tuple(EntryId(name) for name in ("bole-1", "kazanchis-1", "cmc-1"))
RATES = st.sampled_from((1.0 - MAX_CLOCK_DRIFT / 2, 1.0, 1.0 + MAX_CLOCK_DRIFT / 2))
RARELY = st.integers(0, 3)
"""Zero makes it so: a new leader claims nothing for a while."""
STEPS = st.sampled_from((0.02, 0.4, 1.0, 3.0, 3.98))


@dataclass
class Process:
    """An entry process with its own clock; an old one may live beside a new one."""

    lease: ConfigLease
    rate: float
    offset: float
    highest: int = 0

    def read_clock(self, time: float) -> float:
        return self.offset + time * self.rate


@dataclass
class Request:
    """A renewal on its way to a leader."""

    process: Process
    number: int
    message: RenewLease


@dataclass
class Answer:
    """An answer on its way back."""

    process: Process
    number: int
    answer: LeaseGranted | LeaseBehind


@dataclass
class World:
    """Real time, the leader, all entry processes and the messages between them."""

    time: float = 110.0
    committed: int = 1
    claimed: int = 0
    """The newest version that was ever said to be in force."""
    leader_rate: float = 1.0
    leader_offset: float = 0.0
    leases: EntryLeases = field(default_factory=lambda: EntryLeases(elected_at=100.0))
    processes: list[Process] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    answers: list[Answer] = field(default_factory=list)

    def read_leader(self) -> float:
        return self.leader_offset + self.time * self.leader_rate


class LeaseRun(Run):
    """Only the confirmed leader grants; everything else may be late or lost."""

    @initialize(rates=st.tuples(RATES, RATES, RATES))
    def begin(self, rates: tuple[float, float, float]) -> None:
        self.world = World()
        for name, rate in zip(ENTRY_NAMES, rates, strict=True):
            self.add_process(name, 1, rate)

    def add_process(self, name: EntryId, incarnation: int, rate: float) -> None:
        lease = ConfigLease(name, incarnation)
        self.world.processes.append(Process(lease, rate, 1000.0 * incarnation))

    @rule(step=STEPS)
    def pass_time(self, step: float) -> None:
        self.world.time += step

    @rule()
    def commit_change(self) -> None:
        self.world.committed += 1

    @rule(data=st.data())
    def send_renewal(self, data: st.DataObject) -> None:
        world = self.world
        process = data.draw(st.sampled_from(world.processes))
        renewal = begin_renewal(process.lease, process.read_clock(world.time))
        world.requests.append(Request(process, renewal.number, renewal.message))

    @precondition(lambda self: self.world.requests)
    @rule(data=st.data(), again=st.booleans())
    def reach_leader(self, data: st.DataObject, again: bool) -> None:
        world = self.world
        place = data.draw(st.integers(0, len(world.requests) - 1))
        request = world.requests[place]
        if not again:
            del world.requests[place]

        answer = self.ask_leader(request.message)
        world.answers.append(Answer(request.process, request.number, answer))

    @precondition(lambda self: self.world.answers)
    @rule(data=st.data(), again=st.booleans())
    def reach_entry(self, data: st.DataObject, again: bool) -> None:
        world = self.world
        place = data.draw(st.integers(0, len(world.answers) - 1))
        item = world.answers[place]
        if not again:
            del world.answers[place]

        lease = item.process.lease
        if isinstance(item.answer, LeaseBehind):
            take_snapshot(lease, item.answer.snapshot)
            return

        now = item.process.read_clock(world.time)
        finish_renewal(lease, item.number, item.answer, now)

    @rule(name=st.sampled_from(ENTRY_NAMES))
    def renew_in_time(self, name: EntryId) -> None:
        self.renew_at_once(name)

    def renew_at_once(self, name: EntryId) -> None:
        """Renew until granted, as an entry that is not cut off does."""
        world = self.world
        process = [item for item in world.processes if item.lease.entry == name][-1]
        now = process.read_clock(world.time)
        for _ in range(2):
            renewal = begin_renewal(process.lease, now)
            answer = self.ask_leader(renewal.message)
            if isinstance(answer, LeaseGranted):
                finish_renewal(process.lease, renewal.number, answer, now)
                return

            take_snapshot(process.lease, answer.snapshot)

    def ask_leader(self, message: RenewLease) -> LeaseGranted | LeaseBehind:
        """Let the confirmed leader answer by what is committed now."""
        world = self.world
        snapshot = ConfigSnapshot(
            config_version=world.committed, workspaces=(), versions=(), rollouts=()
        )
        now = world.read_leader()
        return renew_lease(world.leases, message, snapshot=snapshot, now=now)

    @rule(name=st.sampled_from(ENTRY_NAMES), delay=STEPS)
    def renew_slowly(self, name: EntryId, delay: float) -> None:
        """Renew with an answer that is held up on the way."""
        self.renew_at_once(name)
        world = self.world
        process = [item for item in world.processes if item.lease.entry == name][-1]
        renewal = begin_renewal(process.lease, process.read_clock(world.time))
        answer = self.ask_leader(renewal.message)
        world.time += delay
        if isinstance(answer, LeaseGranted):
            now = process.read_clock(world.time)
            finish_renewal(process.lease, renewal.number, answer, now)

    @rule(rate=RATES, offset=st.sampled_from((-90.0, 0.0, 5000.0)), often=RARELY)
    def change_leader(self, rate: float, offset: float, often: int) -> None:
        """Elect a leader that knows no lease and has a clock of its own."""
        world = self.world
        if often:
            return

        world.leader_rate = rate
        world.leader_offset = offset
        world.leases = EntryLeases(elected_at=world.read_leader())

    @rule(name=st.sampled_from(ENTRY_NAMES), rate=RATES)
    def restart_entry(self, name: EntryId, rate: float) -> None:
        """Start an entry anew; the old process is frozen and may wake up."""
        count = sum(item.lease.entry == name for item in self.world.processes)
        self.add_process(name, count + 1, rate)

    @invariant()
    def in_force_is_true_and_stays(self) -> None:
        if not hasattr(self, "world"):
            return

        world = self.world
        if is_in_force(world.leases, world.committed, world.read_leader()).in_force:
            world.claimed = world.committed

        for process in world.processes:
            if may_admit(process.lease, process.read_clock(world.time)):
                version = process.lease.config_version
                text = f"{process.lease.entry} admits by {version}"
                assert version >= world.claimed, f"{text}, not {world.claimed}"

    @invariant()
    def no_entry_steps_back(self) -> None:
        for process in self.world.processes if hasattr(self, "world") else ():
            assert process.lease.config_version >= process.highest
            process.highest = process.lease.config_version


class LeaseRunTest(RunTestCase):
    def test_run(self) -> None:
        """An operator is told that a withdrawal is in force while an entry goes on.

        Order: any. Cause: an entry cut off or frozen with a lease that still holds,
        held up answers, a new leader that knows no lease, clocks that drift apart.
        """
        self.run_machine(LeaseRun)
