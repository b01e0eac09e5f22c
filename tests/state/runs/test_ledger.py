"""Randomised run of the ledger: crashes of entries; late, duplicate, lost messages."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field

from hypothesis import strategies as st
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import precondition
from hypothesis.stateful import rule

from waxwingwell.messages import AlreadySettled
from waxwingwell.messages import Command
from waxwingwell.messages import Reserve
from waxwingwell.messages import Reserved
from waxwingwell.messages import Settle
from waxwingwell.records import EntryId
from waxwingwell.records import OutcomeKind
from waxwingwell.records import RowStatus
from waxwingwell.state.bills import list_bills
from waxwingwell.state.machine import ControlState
from waxwingwell.state.machine import apply_command
from waxwingwell.state.machine import load_state
from waxwingwell.state.machine import save_state

from ..commands import BOLE
from ..commands import CMC
from ..commands import abandon
from ..commands import reserve
from ..commands import settle
from .support import Run
from .support import RunTestCase


ENTRY_IDS = st.sampled_from((BOLE, CMC))
KEYS = ("order-1", "order-2", "lookup-1")
COST = 7


@dataclass
class Attempt:
    """An attempt and its progress at its entry."""

    request: str
    key: str
    entry: EntryId
    incarnation: int
    reserved: bool = False
    dispatched: bool = False
    ended: bool = False
    refused: bool = False


@dataclass
class Simulation:
    """Entries, messages in transit and the requests that actually ran."""

    state: ControlState = field(default_factory=ControlState)
    incarnations: dict[EntryId, int] = field(default_factory=lambda: {BOLE: 1, CMC: 1})
    attempts: dict[str, Attempt] = field(default_factory=dict)
    in_transit: list[Command] = field(default_factory=list)
    dispatched_keys: Counter[str] = field(default_factory=Counter)
    """Number of dispatches by key."""
    settled: set[str] = field(default_factory=set)
    """Requests whose settle reached the ledger, even if late."""
    reported_not_run: set[str] = field(default_factory=set)
    """Requests that were reported to their caller as not run."""


class LedgerRun(Run):
    """Attempts for a few keys through two entries; messages may be reordered."""

    @initialize()
    def initialise(self) -> None:
        self.simulation = Simulation()

    def is_alive(self, attempt: Attempt) -> bool:
        return self.simulation.incarnations[attempt.entry] == attempt.incarnation

    @rule(key=st.sampled_from(KEYS), entry=ENTRY_IDS, delayed=st.booleans())
    def attempt(self, key: str, entry: EntryId, delayed: bool) -> None:
        simulation = self.simulation
        request = f"r{len(simulation.attempts)}"
        incarnation = simulation.incarnations[entry]
        simulation.attempts[request] = Attempt(request, key, entry, incarnation)
        command = reserve(
            request,
            key=key,
            entry=entry,
            incarnation=incarnation,
            repeatable=key.startswith("lookup"),
        )
        self.send(command, delayed)

    def send(self, command: Command, delayed: bool) -> None:
        """Put a command in transit and, unless it is delayed, apply it as well."""
        self.simulation.in_transit.append(command)
        if not delayed:
            self.apply(command, response_lost=False)

    @precondition(lambda self: self.simulation.in_transit)
    @rule(data=st.data(), duplicate=st.booleans(), response_lost=st.booleans())
    def deliver(
        self, data: st.DataObject, duplicate: bool, response_lost: bool
    ) -> None:
        simulation = self.simulation
        index = data.draw(st.integers(0, len(simulation.in_transit) - 1))
        command = simulation.in_transit[index]
        if not duplicate:
            del simulation.in_transit[index]

        self.apply(command, response_lost=response_lost)

    def apply(self, command: Command, *, response_lost: bool) -> None:
        """Apply a command; its entry gets the response unless that is lost."""
        outcome = apply_command(self.simulation.state, command)
        if isinstance(command, Settle):
            self.simulation.settled.add(command.request)
            return

        assert isinstance(command, Reserve)
        attempt = self.simulation.attempts[command.row.request]
        if response_lost or not self.is_alive(attempt) or attempt.ended:
            return

        if isinstance(outcome, Reserved):
            attempt.reserved = True
        elif isinstance(outcome, AlreadySettled):
            self.check_reported_outcome(outcome)

    def check_reported_outcome(self, outcome: AlreadySettled) -> None:
        """Check that the outcome reported for a resent key is true."""
        row = outcome.row
        if row.outcome is OutcomeKind.NOT_RUN:
            assert not self.simulation.attempts[row.request].dispatched, row

    @precondition(lambda self: self.list_reserved_attempts(dispatched=False))
    @rule(data=st.data())
    def dispatch(self, data: st.DataObject) -> None:
        attempt = data.draw(
            st.sampled_from(self.list_reserved_attempts(dispatched=False))
        )
        attempt.dispatched = True
        self.simulation.dispatched_keys[attempt.key] += 1

    @precondition(lambda self: self.list_reserved_attempts(dispatched=True))
    @rule(data=st.data(), delayed=st.booleans())
    def finish(self, data: st.DataObject, delayed: bool) -> None:
        attempt = data.draw(
            st.sampled_from(self.list_reserved_attempts(dispatched=True))
        )
        attempt.ended = True
        message = settle(attempt.request, key=attempt.key, cost=COST)
        self.send(message, delayed)

    @precondition(lambda self: self.list_reserved_attempts(dispatched=False))
    @rule(data=st.data(), delayed=st.booleans())
    def refuse(self, data: st.DataObject, delayed: bool) -> None:
        attempt = data.draw(
            st.sampled_from(self.list_reserved_attempts(dispatched=False))
        )
        attempt.ended = True
        attempt.refused = True
        self.simulation.reported_not_run.add(attempt.request)
        message = settle(attempt.request, OutcomeKind.NOT_RUN, key=attempt.key)
        self.send(message, delayed)

    @rule(data=st.data(), delayed=st.booleans())
    def time_out(self, data: st.DataObject, delayed: bool) -> None:
        """Refuse a request whose reservation got no response in time."""
        waiting = [
            attempt
            for attempt in self.simulation.attempts.values()
            if not attempt.reserved and not attempt.ended and self.is_alive(attempt)
        ]
        if not waiting:
            return

        attempt = data.draw(st.sampled_from(waiting))
        attempt.ended = True
        self.simulation.reported_not_run.add(attempt.request)
        message = settle(attempt.request, OutcomeKind.NOT_RUN, key=attempt.key)
        self.send(message, delayed)

    def list_reserved_attempts(self, *, dispatched: bool) -> list[Attempt]:
        """Return reserved, unfinished attempts of running entries."""
        return [
            attempt
            for attempt in self.simulation.attempts.values()
            if attempt.reserved
            and not attempt.ended
            and attempt.dispatched is dispatched
            and self.is_alive(attempt)
        ]

    @rule(entry=ENTRY_IDS, swept=st.booleans())
    def crash(self, entry: EntryId, swept: bool) -> None:
        self.simulation.incarnations[entry] += 1
        if swept:
            self.sweep(entry=entry, too_early=False)

    @rule(entry=ENTRY_IDS, too_early=st.booleans())
    def sweep(self, entry: EntryId, too_early: bool) -> None:
        """Sweep crashed incarnations, or a running one that is only partitioned off."""
        below = self.simulation.incarnations[entry] + too_early
        apply_command(self.simulation.state, abandon(below, entry=entry))

    @rule()
    def restart_control(self) -> None:
        simulation = self.simulation
        loaded = load_state(save_state(simulation.state))
        assert loaded == simulation.state
        simulation.state = loaded

    @invariant()
    def orders_run_at_most_once(self) -> None:
        for key, count in self.get_simulation().dispatched_keys.items():
            if key.startswith("order"):
                assert count <= 1, f"{key} ran {count} times"

    @invariant()
    def requests_reported_not_run_did_not_run(self) -> None:
        simulation = self.get_simulation()
        for request in simulation.reported_not_run:
            assert not simulation.attempts[request].dispatched

        for row in simulation.state.ledger.rows.values():
            if row.status is RowStatus.SETTLED and row.outcome is OutcomeKind.NOT_RUN:
                assert not simulation.attempts[row.request].dispatched

    @invariant()
    def open_rows_belong_to_unsettled_attempts(self) -> None:
        """Check that no open row belongs to an attempt that was already settled."""
        simulation = self.get_simulation()
        for row in simulation.state.ledger.rows.values():
            if row.status is RowStatus.OPEN:
                assert row.request not in simulation.settled, (
                    "the open row will never be settled"
                )

    @invariant()
    def each_key_is_billed_once(self) -> None:
        state = self.get_simulation().state
        rows = state.ledger.rows.values()
        final = [
            row
            for row in rows
            if row.status is not RowStatus.OPEN
            and row.outcome is not OutcomeKind.NOT_RUN
            and (row.workspace, row.key) not in state.ledger.swept
        ]
        bills = list_bills(state.ledger.bills)
        assert sum(bill.requests for bill in bills) == len(final)
        assert sum(bill.cost for bill in bills) == sum(row.usage.cost for row in final)
        dispatched_keys = sum(
            count > 0 for count in self.get_simulation().dispatched_keys.values()
        )
        assert sum(bill.completed for bill in bills) <= dispatched_keys

    def get_simulation(self) -> Simulation:
        return self.simulation if hasattr(self, "simulation") else Simulation()


class LedgerRunTest(RunTestCase):
    def test_run(self) -> None:
        """Requests run at most once and are billed exactly once.

        Two entries use the same key, crash or are partitioned off at any step, and
        reservations and settles are late, duplicated or lost, in any order.
        """
        self.run_machine(LedgerRun)
