"""Randomised run of leases: partitions, frozen entries, new leaders, clock drift."""

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
from waxwingwell.state.leases import accept_snapshot
from waxwingwell.state.leases import finish_renewal
from waxwingwell.state.leases import is_in_force
from waxwingwell.state.leases import may_admit
from waxwingwell.state.leases import renew_lease
from waxwingwell.state.leases import start_renewal

from .support import Run
from .support import RunTestCase


ENTRY_NAMES = tuple(EntryId(name) for name in ("bole-1", "kazanchis-1", "cmc-1"))
RATES = st.sampled_from((1.0 - MAX_CLOCK_DRIFT / 2, 1.0, 1.0 + MAX_CLOCK_DRIFT / 2))
RARE = st.integers(0, 3)
"""Zero elects a leader; it is rare because a new one reports nothing as in force for a
while."""
STEPS = st.sampled_from((0.02, 0.4, 1.0, 3.0, 3.98))


@dataclass
class Process:
    """An entry process with its own clock; an old one may run beside a new one."""

    lease: ConfigLease
    rate: float
    offset: float
    highest: int = 0

    def read_clock(self, time: float) -> float:
        return self.offset + time * self.rate


@dataclass
class Request:
    """A renewal in transit to a leader."""

    process: Process
    number: int
    message: RenewLease


@dataclass
class Response:
    """A response in transit to an entry."""

    process: Process
    number: int
    response: LeaseGranted | LeaseBehind


@dataclass
class Simulation:
    """Real time, the leader, all entry processes and messages in transit."""

    time: float = 110.0
    committed: int = 1
    reported: int = 0
    """Newest configuration version that was reported as in force."""
    leader_rate: float = 1.0
    leader_offset: float = 0.0
    leases: EntryLeases = field(default_factory=lambda: EntryLeases(elected_at=100.0))
    processes: list[Process] = field(default_factory=list)
    requests: list[Request] = field(default_factory=list)
    responses: list[Response] = field(default_factory=list)

    def read_leader(self) -> float:
        return self.leader_offset + self.time * self.leader_rate


class LeaseRun(Run):
    """The confirmed leader grants leases; messages may be late, lost or duplicated."""

    @initialize(rates=st.tuples(RATES, RATES, RATES))
    def initialise(self, rates: tuple[float, float, float]) -> None:
        self.simulation = Simulation()
        for name, rate in zip(ENTRY_NAMES, rates, strict=True):
            self.add_process(name, 1, rate)

    def add_process(self, name: EntryId, incarnation: int, rate: float) -> None:
        lease = ConfigLease(name, incarnation)
        self.simulation.processes.append(Process(lease, rate, 1000.0 * incarnation))

    @rule(step=STEPS)
    def advance_time(self, step: float) -> None:
        self.simulation.time += step

    @rule()
    def commit_change(self) -> None:
        self.simulation.committed += 1

    @rule(data=st.data())
    def send_renewal(self, data: st.DataObject) -> None:
        simulation = self.simulation
        process = data.draw(st.sampled_from(simulation.processes))
        renewal = start_renewal(process.lease, process.read_clock(simulation.time))
        simulation.requests.append(Request(process, renewal.number, renewal.message))

    @precondition(lambda self: self.simulation.requests)
    @rule(data=st.data(), duplicate=st.booleans())
    def deliver_request(self, data: st.DataObject, duplicate: bool) -> None:
        simulation = self.simulation
        index = data.draw(st.integers(0, len(simulation.requests) - 1))
        request = simulation.requests[index]
        if not duplicate:
            del simulation.requests[index]

        response = self.ask_leader(request.message)
        simulation.responses.append(Response(request.process, request.number, response))

    @precondition(lambda self: self.simulation.responses)
    @rule(data=st.data(), duplicate=st.booleans())
    def deliver_response(self, data: st.DataObject, duplicate: bool) -> None:
        simulation = self.simulation
        index = data.draw(st.integers(0, len(simulation.responses) - 1))
        item = simulation.responses[index]
        if not duplicate:
            del simulation.responses[index]

        lease = item.process.lease
        if isinstance(item.response, LeaseBehind):
            accept_snapshot(lease, item.response.snapshot)
            return

        now = item.process.read_clock(simulation.time)
        finish_renewal(lease, item.number, item.response, now)

    @rule(name=st.sampled_from(ENTRY_NAMES))
    def renew(self, name: EntryId) -> None:
        self.renew_at_once(name)

    def renew_at_once(self, name: EntryId) -> None:
        """Renew until granted, as a connected entry does."""
        simulation = self.simulation
        process = [item for item in simulation.processes if item.lease.entry == name][
            -1
        ]
        now = process.read_clock(simulation.time)
        for _ in range(2):
            renewal = start_renewal(process.lease, now)
            response = self.ask_leader(renewal.message)
            if isinstance(response, LeaseGranted):
                finish_renewal(process.lease, renewal.number, response, now)
                return

            accept_snapshot(process.lease, response.snapshot)

    def ask_leader(self, message: RenewLease) -> LeaseGranted | LeaseBehind:
        """Return the confirmed leader's response for the committed configuration."""
        simulation = self.simulation
        snapshot = ConfigSnapshot(
            config_version=simulation.committed, workspaces=(), versions=(), rollouts=()
        )
        now = simulation.read_leader()
        return renew_lease(simulation.leases, message, snapshot=snapshot, now=now)

    @rule(name=st.sampled_from(ENTRY_NAMES), delay=STEPS)
    def renew_with_delay(self, name: EntryId, delay: float) -> None:
        """Renew with a delayed response."""
        self.renew_at_once(name)
        simulation = self.simulation
        process = [item for item in simulation.processes if item.lease.entry == name][
            -1
        ]
        renewal = start_renewal(process.lease, process.read_clock(simulation.time))
        response = self.ask_leader(renewal.message)
        simulation.time += delay
        if isinstance(response, LeaseGranted):
            now = process.read_clock(simulation.time)
            finish_renewal(process.lease, renewal.number, response, now)

    @rule(rate=RATES, offset=st.sampled_from((-90.0, 0.0, 5000.0)), skip=RARE)
    def change_leader(self, rate: float, offset: float, skip: int) -> None:
        """Elect a leader that has no lease records and a clock of its own."""
        simulation = self.simulation
        if skip:
            return

        simulation.leader_rate = rate
        simulation.leader_offset = offset
        simulation.leases = EntryLeases(elected_at=simulation.read_leader())

    @rule(name=st.sampled_from(ENTRY_NAMES), rate=RATES)
    def restart_entry(self, name: EntryId, rate: float) -> None:
        """Restart an entry; its old process is frozen and may resume."""
        count = sum(item.lease.entry == name for item in self.simulation.processes)
        self.add_process(name, count + 1, rate)

    @invariant()
    def in_force_is_correct_and_permanent(self) -> None:
        if not hasattr(self, "simulation"):
            return

        simulation = self.simulation
        if is_in_force(
            simulation.leases, simulation.committed, simulation.read_leader()
        ).in_force:
            simulation.reported = simulation.committed

        for process in simulation.processes:
            if may_admit(process.lease, process.read_clock(simulation.time)):
                version = process.lease.config_version
                text = f"{process.lease.entry} admits under {version}"
                assert version >= simulation.reported, (
                    f"{text}, not {simulation.reported}"
                )

    @invariant()
    def no_entry_reverts_its_configuration(self) -> None:
        for process in self.simulation.processes if hasattr(self, "simulation") else ():
            assert process.lease.config_version >= process.highest
            process.highest = process.lease.config_version


class LeaseRunTest(RunTestCase):
    def test_run(self) -> None:
        """No change is reported as in force while an entry admits work without it.

        Entries may be partitioned off or frozen with a valid lease, responses delayed,
        new leaders without lease records elected, and clocks may drift, in any order.
        """
        self.run_machine(LeaseRun)
