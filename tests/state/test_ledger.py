"""Tests of the ledger: one row per key, settled and billed once despite crashes."""

from __future__ import annotations

from dataclasses import dataclass
from unittest import mock

import msgspec

from waxwingwell.messages import AlreadyOpen
from waxwingwell.messages import AlreadySettled
from waxwingwell.messages import Command
from waxwingwell.messages import Rejected
from waxwingwell.messages import Reserved
from waxwingwell.messages import Settled
from waxwingwell.messages import Swept
from waxwingwell.records import OutcomeKind
from waxwingwell.records import RowStatus
from waxwingwell.records import Usage
from waxwingwell.state import attempts
from waxwingwell.state import ledger
from waxwingwell.state import retention
from waxwingwell.state.bills import list_bills
from waxwingwell.state.machine import ControlState
from waxwingwell.state.machine import apply_command
from waxwingwell.state.machine import load_state
from waxwingwell.state.machine import save_state

from .commands import CMC
from .commands import DEMO
from .commands import StateTestCase
from .commands import abandon
from .commands import reserve
from .commands import settle


COMPLETED = OutcomeKind.COMPLETED
NOT_RUN = OutcomeKind.NOT_RUN
FAILED = OutcomeKind.FAILED
MAY_HAVE_RUN = OutcomeKind.MAY_HAVE_RUN
ROW_KEY = (DEMO, "order-1")


def sum_bills(state: ControlState) -> tuple[int, int]:
    """Return the total requests and cost of all bills."""
    bills = list_bills(state.ledger.bills)
    return sum(bill.requests for bill in bills), sum(bill.cost for bill in bills)


@dataclass(frozen=True)
class Crash:
    """An entry crashes at a step of a request, which is resent to another entry."""

    step: str
    log: tuple[Command, ...]
    """Commands in the log before the crash and the sweep."""
    repeatable: bool
    expected: type
    """Type of the outcome of a resend with the same key."""
    status: RowStatus | None
    outcome: OutcomeKind | None = None
    billed: tuple[int, int] = (0, 0)


def list_crashes() -> tuple[Crash, ...]:
    """Return a crash at each step, for repeatable and other requests."""
    order = reserve("r1")
    lookup = reserve("r1", repeatable=True)
    settled = RowStatus.SETTLED
    unknown = RowStatus.UNKNOWN
    opened = RowStatus.OPEN
    return (
        Crash("before the reservation", (), False, Reserved, opened, None),
        Crash("before the reservation", (), True, Reserved, opened, None),
        Crash("reserved, response lost", (order,), False, AlreadySettled, unknown,
              MAY_HAVE_RUN),
        Crash("reserved twice", (order, order), False, AlreadySettled, unknown,
              MAY_HAVE_RUN),
        Crash("dispatched", (order,), False, AlreadySettled, unknown, MAY_HAVE_RUN),
        Crash("dispatched", (lookup,), True, AlreadySettled, settled, FAILED),
        Crash("answered, not settled", (order,), False, AlreadySettled, unknown,
              MAY_HAVE_RUN),
        Crash("answered, not settled", (lookup,), True, AlreadySettled, settled,
              FAILED),
        Crash("settled", (order, settle("r1")), False, AlreadySettled, settled,
              COMPLETED, (1, 7)),
        Crash("settled", (lookup, settle("r1")), True, AlreadySettled, settled,
              COMPLETED, (1, 7)),
        Crash("settled twice", (order, settle("r1"), settle("r1")), False,
              AlreadySettled, settled, COMPLETED, (1, 7)),
        Crash("settled as not run", (order, settle("r1", NOT_RUN)), False, Reserved,
              opened),
        Crash("settled as not run", (lookup, settle("r1", NOT_RUN)), True, Reserved,
              opened),
        Crash("settled as failed", (order, settle("r1", FAILED, cost=0)), False,
              AlreadySettled, settled, FAILED, (1, 0)),
        Crash("settled as unknown", (order, settle("r1", MAY_HAVE_RUN, cost=0)), False,
              AlreadySettled, unknown, MAY_HAVE_RUN, (1, 0)),
        Crash("settled after the sweep", (order, abandon(2), settle("r1")), False,
              AlreadySettled, settled, COMPLETED, (1, 7)),
        Crash("settled after the sweep", (lookup, abandon(2), settle("r1")), True,
              AlreadySettled, settled, COMPLETED, (1, 7)),
        Crash("settled twice after the sweep",
              (order, abandon(2), settle("r1"), settle("r1", cost=9)), False,
              AlreadySettled, settled, COMPLETED, (1, 7)),
        Crash("settled after the sweep as not run",
              (order, abandon(2), settle("r1", NOT_RUN)), False, Reserved, opened),
        Crash("late duplicate reservation",
              (order, settle("r1", NOT_RUN), order), False, Reserved, opened),
    )  # fmt: skip


class EntryCrashTest(StateTestCase):
    def test_entry_crashes_at_each_step(self) -> None:
        """A request resent after its entry crashed runs and is billed at most once.

        The entry crashes at one step, its lease expires, control sweeps its rows, and
        the caller resends the request to another entry. Without the row the request
        would run twice, or be billed twice or not at all.
        """
        for crash in list_crashes():
            for reload in (False, True):
                with self.subTest(
                    crash.step, repeatable=crash.repeatable, reload=reload
                ):
                    self.check_crash(crash, reload)

    def check_crash(self, crash: Crash, reload: bool) -> None:
        state = ControlState()
        for command in crash.log:
            apply_command(state, command)

        if reload:
            state = load_state(save_state(state))

        apply_command(state, abandon(2))
        resent = reserve("r2", entry=CMC, repeatable=crash.repeatable, at=13.0)
        outcome = apply_command(state, resent)
        self.assertIsInstance(outcome, crash.expected)
        row = state.ledger.rows[ROW_KEY]
        self.assertIs(row.status, crash.status)
        if crash.outcome is not None:
            self.assertIs(row.outcome, crash.outcome)

        self.assertEqual(sum_bills(state), crash.billed)


class LedgerTest(StateTestCase):
    def test_two_entries_reserve_the_same_key(self) -> None:
        """Only one of two entries that reserve the same key may run the request.

        A caller sends a request twice and the load balancer picks two entries. Both
        reserve the key, the first settles it, then the settle of the second arrives. If
        both owned the row, the request would run twice.
        """
        state = ControlState()
        self.assertEqual(apply_command(state, reserve("r1")), Reserved())
        second = apply_command(state, reserve("r2", entry=CMC))
        assert isinstance(second, AlreadyOpen)
        self.assertEqual(second.row.request, "r1")
        not_owner = apply_command(state, settle("r2"))
        assert isinstance(not_owner, Settled)
        self.assertFalse(not_owner.changed)
        self.assertIs(state.ledger.rows[ROW_KEY].status, RowStatus.OPEN)
        apply_command(state, settle("r1"))
        third = apply_command(state, reserve("r2", entry=CMC))
        assert isinstance(third, AlreadySettled)
        assert third.row.answer is not None
        self.assertEqual(third.row.answer.body, b"clubs ordered")
        self.assertEqual(sum_bills(state), (1, 7))

    def test_delayed_reservation_of_an_earlier_attempt(self) -> None:
        """A duplicate reservation of an ended attempt must not reopen the row.

        Two attempts are reserved and refused as not run, then a duplicate reservation
        of the first one arrives. A row opened for it would never be settled: the
        request would stay "running" and could not be sent again.
        """
        state = ControlState()
        for request in ("r1", "r2"):
            apply_command(state, reserve(request))
            apply_command(state, settle(request, NOT_RUN))

        self.assertIsInstance(apply_command(state, reserve("r1")), AlreadySettled)
        self.assertEqual(apply_command(state, reserve("r3")), Reserved())

    def test_settle_before_its_reservation(self) -> None:
        """A reservation that arrives after its settle must not open a row.

        A reservation is delayed, its entry settles the request as not run after a
        timeout, then the reservation arrives; in one case another attempt has used the
        key in between. If a settle without a row were not recorded, the request would
        stay "running" and could not be sent again.
        """
        for name, between in (("alone", ()), ("other attempt", ("r2",))):
            with self.subTest(name):
                state = ControlState()
                for request in between:
                    apply_command(state, reserve(request, entry=CMC))

                apply_command(state, settle("r1", NOT_RUN))
                for request in between:
                    apply_command(state, settle(request, NOT_RUN))

                state = load_state(save_state(state))
                late = apply_command(state, reserve("r1"))
                self.assertNotIsInstance(late, Reserved)
                self.assertFalse(state.ledger.open_rows)
                self.assertEqual(apply_command(state, reserve("r3")), Reserved())

    def test_rejections(self) -> None:
        cases = (
            ("another body", reserve("r2", digest="x"), "key"),
            ("repeatable now", reserve("r2", repeatable=True), "key"),
            ("empty key", reserve("r2", key=""), "key"),
            ("long key", reserve("r2", key="k" * 300), "key"),
            ("no request id", reserve("", key="k"), "request"),
            ("unknown key", settle("r1", key="never"), "key"),
        )
        for name, command, place in cases:
            with self.subTest(name):
                state = ControlState()
                apply_command(state, reserve("r1"))
                outcome = apply_command(state, command)
                assert isinstance(outcome, Rejected)
                self.assertEqual(outcome.findings[0].place, place)

    def test_sweep_keeps_rows_of_newer_incarnations(self) -> None:
        state = ControlState()
        apply_command(state, reserve("r1", key="a", incarnation=1))
        apply_command(state, reserve("r2", key="b", incarnation=2))
        apply_command(state, reserve("r3", key="c", entry=CMC))
        self.assertEqual(apply_command(state, abandon(2)), Swept(rows=1))
        self.assertEqual(apply_command(state, abandon(2)), Swept(rows=0))
        statuses = [row.status for row in state.ledger.rows.values()]
        self.assertEqual(statuses, [RowStatus.UNKNOWN, RowStatus.OPEN, RowStatus.OPEN])

    def test_ledger_at_capacity_rejects_new_keys(self) -> None:
        state = ControlState()
        with mock.patch.object(ledger, "MAX_ROWS", 2):
            apply_command(state, reserve("r1", key="a"))
            apply_command(state, reserve("r2", key="b"))
            outcome = apply_command(state, reserve("r3", key="c"))
            resent = apply_command(state, reserve("r1", key="a"))

        assert isinstance(outcome, Rejected)
        self.assertEqual(outcome.findings[0].place, "ledger")
        self.assertEqual(resent, Reserved())


class RetentionTest(StateTestCase):
    def advance_clock(self, state: ControlState, at: float) -> None:
        """Advance the ledger's clock to ``at`` with commands that change no rows."""
        while state.ledger.clock < at:
            apply_command(state, abandon(0, at=at))

    def test_rows_are_dropped_after_their_retention(self) -> None:
        cases = (
            ("repeatable", True, retention.REPEATABLE_RETENTION),
            ("other", False, retention.REPLAY_WINDOW),
        )
        for name, repeatable, kept in cases:
            with self.subTest(name):
                state = ControlState()
                apply_command(state, reserve("r1", repeatable=repeatable))
                apply_command(state, settle("r1", at=11.0))
                self.advance_clock(state, 11.0 + kept - 1)
                self.assertIn(ROW_KEY, state.ledger.rows)
                self.advance_clock(state, 11.0 + kept)
                self.assertNotIn(ROW_KEY, state.ledger.rows)
                self.assertEqual(sum_bills(state), (1, 7))
                self.assertEqual(state.ledger.response_bytes, 0)
                self.assertFalse(state.ledger.answers_kept)

    def test_settle_is_resent_after_its_row_was_dropped(self) -> None:
        """A settle resent after its row was dropped must not bill the request again.

        A settle that includes its row is committed, its response is lost, and the
        entry, partitioned off for some minutes, resends it after the row's retention.
        The resend finds no row and would open one.
        """
        state = ControlState()
        row = reserve("r1", repeatable=True).row
        command = msgspec.structs.replace(settle("r1"), row=row)
        apply_command(state, command)
        self.advance_clock(state, 11.0 + retention.REPEATABLE_RETENTION)
        self.assertNotIn(ROW_KEY, state.ledger.rows)
        state = load_state(save_state(state))
        outcome = apply_command(state, command)
        assert isinstance(outcome, Settled)
        self.assertFalse(outcome.changed)
        self.assertEqual(sum_bills(state), (1, 7))
        self.assertFalse(state.ledger.rows)

    def test_rejected_settle_does_not_open_its_row(self) -> None:
        row = reserve("r1", repeatable=True).row
        command = msgspec.structs.replace(
            settle("r1", NOT_RUN), row=row, usage=Usage(1, 1, 1)
        )
        state = ControlState()
        self.assertIsInstance(apply_command(state, command), Rejected)
        self.assertFalse(state.ledger.rows)

    def test_ended_attempts_are_dropped(self) -> None:
        state = ControlState()
        apply_command(state, settle("r1", NOT_RUN))
        self.advance_clock(state, 11.0 + 3 * attempts.ENDED_RETENTION)
        self.assertFalse(state.ledger.ended)
        self.assertFalse(state.ledger.ended_before)

    def test_swept_row_is_billed_when_dropped(self) -> None:
        state = ControlState()
        apply_command(state, reserve("r1"))
        apply_command(state, abandon(2))
        self.assertEqual(sum_bills(state), (0, 0))
        self.advance_clock(state, 12.0 + retention.REPLAY_WINDOW)
        self.assertEqual(sum_bills(state), (1, 0))
        self.assertEqual(list_bills(state.ledger.bills)[0].unknown, 1)
        self.assertFalse(state.ledger.swept)

    def test_open_rows_are_kept(self) -> None:
        state = ControlState()
        apply_command(state, reserve("r1"))
        self.advance_clock(state, 3 * retention.REPLAY_WINDOW)
        self.assertIn(ROW_KEY, state.ledger.rows)

    def test_clock_jump_does_not_end_the_replay_window(self) -> None:
        """A clock that jumps by a year must not end the replay window of all rows.

        A request is settled, a command stamped one year ahead follows, and the request
        is resent. It would run twice if the jump had ended its replay window.
        """
        state = ControlState()
        apply_command(state, reserve("r1"))
        apply_command(state, settle("r1"))
        apply_command(state, settle("r1", at=365 * 86_400.0))
        self.assertIsInstance(apply_command(state, reserve("r2")), AlreadySettled)

    def test_stored_responses_stay_within_budget(self) -> None:
        state = ControlState()
        with mock.patch.object(retention, "RESPONSE_BUDGET", 250):
            for number in range(5):
                key = f"order-{number}"
                apply_command(state, reserve(f"r{number}", key=key))
                apply_command(state, settle(f"r{number}", key=key, body=b"x" * 100))

        kept = [row.answer is not None for row in state.ledger.rows.values()]
        self.assertEqual(kept, [False, False, False, True, True])
        self.assertEqual(state.ledger.response_bytes, 200)
        self.assertEqual(load_state(save_state(state)), state)
