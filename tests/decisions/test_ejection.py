"""Outlier ejection and probing."""

from __future__ import annotations

import unittest
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import strategies as st

from waxwingwell.decisions.ejection import FIRST_EJECTION_SECONDS
from waxwingwell.decisions.upstreams import UpstreamChoice
from waxwingwell.decisions.upstreams import choose_upstream
from waxwingwell.decisions.upstreams import record_dispatch
from waxwingwell.decisions.upstreams import record_finish
from waxwingwell.decisions.upstreams import record_missed_deadline
from waxwingwell.records import UpstreamId

from .factories import VERSION
from .factories import make_row
from .factories import make_tables
from .factories import make_work


if TYPE_CHECKING:
    from waxwingwell.decisions.tables import Tables


A = UpstreamId("a")
NAMES = [UpstreamId(name) for name in "abcd"]


def make_four_upstreams() -> Tables:
    return make_tables(*(make_row(name) for name in NAMES))


def fail_at(tables: Tables, upstream: UpstreamId, now: float) -> None:
    record_dispatch(tables, upstream, make_work(), now=now)
    record_finish(tables, upstream, failed=True, now=now)


class TestEjection(unittest.TestCase):
    def test_unresponsive_upstream_is_ejected_and_probed(self) -> None:
        """An upstream accepts requests and never responds, so it looks idle.

        It is ejected after two missed progress deadlines. After the ejection it gets
        one request at a time; another failure ejects it for twice as long, a success
        ends the probing.
        """
        tables = make_four_upstreams()
        row = tables.upstreams[A]
        record_missed_deadline(tables, A, now=1.0)
        self.assertEqual(row.ejected_until, 0.0)
        record_missed_deadline(tables, A, now=2.0)
        self.assertEqual(row.ejected_until, 2.0 + FIRST_EJECTION_SECONDS)
        record_dispatch(tables, A, make_work(), now=8.0)
        others = frozenset(NAMES[1:])
        second = choose_upstream(
            tables, make_work(), VERSION, exclude=others, now=8.0, draw=0.0
        )
        self.assertNotIsInstance(second, UpstreamChoice)
        record_finish(tables, A, failed=True, now=9.0)
        self.assertEqual(row.ejected_until, 9.0 + 2 * FIRST_EJECTION_SECONDS)
        record_dispatch(tables, A, make_work(), now=20.0)
        record_finish(tables, A, failed=False, now=21.0)
        self.assertFalse(row.probing)
        self.assertEqual((row.failures, row.ejections), (0, 0))

    def test_success_clears_failures(self) -> None:
        tables = make_four_upstreams()
        for now in range(6):
            fail_at(tables, A, float(now))
            record_dispatch(tables, A, make_work(), now=float(now))
            record_finish(tables, A, failed=False, now=float(now))

        self.assertEqual(tables.upstreams[A].ejected_until, 0.0)

    def test_common_fault_ejects_at_most_half(self) -> None:
        """A common fault (a broken link of this entry) fails every request.

        If every upstream were ejected, callers would be refused long after the link
        has recovered.
        """
        tables = make_four_upstreams()
        for now in range(20):
            for name in NAMES:
                fail_at(tables, name, 1.0 + now / 10)

        remaining = [
            row for row in tables.upstreams.values() if row.ejected_until <= 3.0
        ]
        self.assertEqual(len(remaining), 2)

    @given(
        st.lists(
            st.tuples(st.sampled_from(NAMES), st.booleans(), st.floats(0.0, 20.0)),
            max_size=80,
        )
    )
    def test_never_ejects_all(
        self, events: list[tuple[UpstreamId, bool, float]]
    ) -> None:
        tables = make_four_upstreams()
        now = 1.0
        for upstream, failed, pause in events:
            now += pause
            record_dispatch(tables, upstream, make_work(), now=now)
            record_finish(tables, upstream, failed=failed, now=now)
            remaining = [
                row for row in tables.upstreams.values() if row.ejected_until <= now
            ]
            self.assertGreaterEqual(len(remaining), 2)
