"""Admission within a workspace's limits, at one entry and divided between entries."""

from __future__ import annotations

import unittest

from hypothesis import given
from hypothesis import strategies as st

from waxwingwell.decisions.admission import Admitted
from waxwingwell.decisions.admission import admit
from waxwingwell.decisions.admission import release
from waxwingwell.decisions.admission import smooth_demand
from waxwingwell.decisions.queue import enqueue
from waxwingwell.decisions.tables import Refusal
from waxwingwell.decisions.tables import WorkspaceDemand
from waxwingwell.records import Limits
from waxwingwell.records import Priority
from waxwingwell.records import WorkspaceId

from .factories import VERSION
from .factories import WORKSPACE
from .factories import make_config
from .factories import make_tables
from .factories import make_work


LIMITS = Limits(requests_per_second=5.0, max_in_flight=4, max_wait=2.0)


class TestAdmission(unittest.TestCase):
    def test_refuses_beyond_limits_at_once(self) -> None:
        cases = {
            "in flight": (Limits(100.0, 4), 4, "too_many_in_flight"),
            "rate": (Limits(5.0, 100), 5, "rate_limited"),
        }
        for name, (limits, passing, code) in cases.items():
            with self.subTest(name):
                tables = make_tables(configs=(make_config(limits=limits),))
                results = [
                    admit(tables, make_work(f"r{number}"), 1.0) for number in range(8)
                ]
                admitted = [one for one in results if isinstance(one, Admitted)]
                refused = [one for one in results if isinstance(one, Refusal)]
                self.assertEqual(len(admitted), passing)
                self.assertEqual({one.code for one in refused}, {code})
                self.assertTrue(all(one.retry_after for one in refused))

    def test_unknown_workspace_is_refused_without_retry(self) -> None:
        tables = make_tables()
        work = make_work(workspace=WorkspaceId("nobody"))
        refusal = admit(tables, work, 1.0)
        assert isinstance(refusal, Refusal)
        self.assertEqual((refusal.status, refusal.retry_after), (403, None))

    def test_refuses_a_wait_beyond_the_limit(self) -> None:
        tables = make_tables(configs=(make_config(limits=Limits(max_wait=2.0)),))
        tables.finish_rate, tables.finish_rate_updated_at = 2.0, 1.0
        for number in range(6):
            work = make_work(f"w{number}", priority=Priority.TAG)
            enqueue(tables, work, VERSION, 1.0)

        report = admit(tables, make_work("r", priority=Priority.REPORT), 1.0)
        order = admit(tables, make_work("o", priority=Priority.ORDER), 1.0)
        self.assertIsInstance(report, Refusal)
        self.assertEqual(order, Admitted(0.0))

    def test_divides_the_rate_between_entries(self) -> None:
        """Two entries get half of a workspace's requests each.

        If each applied the full limit, the workspace would get twice its rate.
        """
        tables = make_tables(configs=(make_config(limits=Limits(10.0, 1000)),))
        tables.demand[WORKSPACE] = WorkspaceDemand(rate=20.0, other_entries_rate=20.0)
        tables.demand[WORKSPACE].rate_updated_at = 0.001
        admitted = 0
        for number in range(200):
            now = number / 20
            result = admit(tables, make_work(f"r{number}"), now)
            admitted += isinstance(result, Admitted)

        self.assertLessEqual(admitted, 60)
        self.assertGreaterEqual(admitted, 40)

    def test_idle_entry_releases_its_share(self) -> None:
        """A workspace's callers move from one entry to another.

        If the old entry's rate did not decay, the new one would stay limited to a
        part of the limit permanently.
        """
        tables = make_tables()
        for number in range(20):
            admit(tables, make_work(f"r{number}"), 1.0)

        self.assertGreater(tables.demand[WORKSPACE].rate, 5.0)
        for second in range(2, 60):
            smooth_demand(tables, float(second))

        self.assertEqual(tables.demand[WORKSPACE].rate, 0.0)

    @given(
        events=st.lists(
            st.tuples(st.booleans(), st.floats(0.0, 2.0), st.integers(0, 5)),
            max_size=100,
        )
    )
    def test_counts_never_exceed_limits(
        self, events: list[tuple[bool, float, int]]
    ) -> None:
        tables = make_tables(configs=(make_config(limits=LIMITS),))
        held = []
        times = []
        now = 1.0
        for is_request, pause, elsewhere in events:
            now += pause
            demand = tables.demand.setdefault(WORKSPACE, WorkspaceDemand())
            demand.other_entries_in_flight = elsewhere
            demand.other_entries_rate = float(elsewhere)
            if is_request:
                work = make_work(f"r{now}")
                if isinstance(admit(tables, work, now), Admitted):
                    held.append(work)
                    times.append(now)
            elif held:
                release(tables, held.pop(), now)

            self.assertEqual(demand.in_flight, len(held))
            self.assertLessEqual(demand.in_flight, LIMITS.max_in_flight)
            self.assertGreaterEqual(demand.tokens, 0.0)
            self.assertLessEqual(demand.tokens, LIMITS.requests_per_second)
            recent = [at for at in times if at > now - 2.0]
            self.assertLessEqual(len(recent), 3 * LIMITS.requests_per_second + 1)
