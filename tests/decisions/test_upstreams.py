"""Upstream choice: eligibility, preference and the effect of load counts."""

from __future__ import annotations

import unittest
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from waxwingwell.decisions.candidates import index_upstreams
from waxwingwell.decisions.tables import Refusal
from waxwingwell.decisions.tables import WorkspaceDemand
from waxwingwell.decisions.upstreams import BUSY
from waxwingwell.decisions.upstreams import UpstreamChoice
from waxwingwell.decisions.upstreams import choose_upstream
from waxwingwell.decisions.upstreams import record_dispatch
from waxwingwell.decisions.upstreams import record_finish
from waxwingwell.records import LoadReport
from waxwingwell.records import UpstreamId
from waxwingwell.records import UpstreamKind

from .factories import NO_LOAD
from .factories import VERSION
from .factories import WORKSPACE
from .factories import make_config
from .factories import make_row
from .factories import make_tables
from .factories import make_work


A, B = UpstreamId("a"), UpstreamId("b")
BUSY_LOAD = LoadReport(
    running=8, queued=4, tokens_per_second=50.0, prefill_per_second=8000.0
)


class TestEligibility(unittest.TestCase):
    def test_skips_ineligible_upstreams(self) -> None:
        cases: dict[str, dict[str, Any]] = {
            "left": {"left": True},
            "leaving": {"leaving": True},
            "lease over": {"expires_at": 9.0},
            "ejected": {"ejected_until": 20.0},
            "other version": {"versions": ()},
            "data centre not allowed": {"data_centre": "cmc"},
            "plain service": {"kind": UpstreamKind.SERVICE},
            "at its bound": {"load": BUSY_LOAD},
        }
        for name, changes in cases.items():
            with self.subTest(name):
                tables = make_tables(
                    make_row("a", **changes),
                    make_row("b"),
                    configs=(make_config(data_centres=("bole",)),),
                )
                for draw in (0.0, 0.5, 0.99):
                    choice = choose_upstream(
                        tables, make_work(), VERSION, now=10.0, draw=draw
                    )
                    assert isinstance(choice, UpstreamChoice)
                    self.assertEqual(choice.upstream, B)

    def test_refuses_without_eligible_upstream(self) -> None:
        cases: dict[str, tuple[dict[str, Any], frozenset[UpstreamId], str]] = {
            "no holder": ({"versions": ()}, frozenset[UpstreamId](), "no_upstream"),
            "excluded": ({}, frozenset({A}), "no_upstream"),
            "at capacity": ({"load": BUSY_LOAD}, frozenset[UpstreamId](), BUSY),
        }
        for name, (changes, exclude, code) in cases.items():
            with self.subTest(name):
                tables = make_tables(make_row("a", **changes))
                refusal = choose_upstream(
                    tables, make_work(), VERSION, exclude=exclude, now=1.0, draw=0.0
                )
                assert isinstance(refusal, Refusal)
                self.assertEqual(refusal.code, code)
                self.assertIsNotNone(refusal.retry_after)

    def test_routes_service_calls_to_their_service(self) -> None:
        tables = make_tables(
            make_row("a"),
            make_row("b", kind=UpstreamKind.SERVICE, service="orders", versions=()),
        )
        work = make_work(service="orders", prompt_tokens=0)
        choice = choose_upstream(tables, work, VERSION, now=1.0, draw=0.0)
        assert isinstance(choice, UpstreamChoice)
        self.assertEqual(choice.upstream, B)

    def test_probes_the_ejected_upstream_when_no_other_is_left(self) -> None:
        """The only holder that is not ejected leaves.

        Callers would be refused until the ejection ends although the ejected upstream
        may have recovered, so it must be probed.
        """
        tables = make_tables(
            make_row("a", ejected_until=60.0), make_row("b", left=True)
        )
        choice = choose_upstream(tables, make_work(), VERSION, now=10.0, draw=0.0)
        assert isinstance(choice, UpstreamChoice)
        self.assertEqual(choice.upstream, A)
        row = tables.upstreams[A]
        self.assertTrue(row.probing)
        self.assertLessEqual(row.ejected_until, 10.0)


class TestPreference(unittest.TestCase):
    def test_prefers_the_earliest_first_token(self) -> None:
        half = LoadReport(running=8, backlog_tokens=8000, prefill_per_second=8000.0)
        cases: dict[str, dict[str, Any]] = {
            "nearer": {"data_centre": "cmc"},
            "less backlog": {"load": half, "heard_at": 10.0},
            "own prompts ahead": {"prefill_until": 12.0},
        }
        for name, changes in cases.items():
            with self.subTest(name):
                tables = make_tables(make_row("a", **changes), make_row("b"))
                for draw in (0.0, 0.99):
                    choice = choose_upstream(
                        tables,
                        make_work(prompt_tokens=80),
                        VERSION,
                        now=10.0,
                        draw=draw,
                    )
                    assert isinstance(choice, UpstreamChoice)
                    self.assertEqual(choice.upstream, B)

    def test_returns_to_a_cached_prefix(self) -> None:
        tables = make_tables(make_row("a"), make_row("b"))
        work = make_work(prefixes=("p",), prefix_tokens=(700,))
        record_dispatch(tables, B, work, now=1.0)
        record_finish(tables, B, failed=False, now=2.0)
        choice = choose_upstream(tables, work, VERSION, now=3.0, draw=0.0)
        assert isinstance(choice, UpstreamChoice)
        self.assertEqual(choice.upstream, B)

    def test_entries_agree_on_a_session_without_messages(self) -> None:
        """A session's next turn reaches another entry, which has no state of it.

        Without a common home upstream each entry would choose a different one, and
        each of those would prefill the whole prompt again.
        """
        chosen_upstreams = set()
        for _entry in range(2):
            tables = make_tables(*(make_row(f"u{number}") for number in range(6)))
            work = make_work(session="s1", prefixes=("p",), prefix_tokens=(700,))
            choice = choose_upstream(tables, work, VERSION, now=1.0, draw=0.3)
            assert isinstance(choice, UpstreamChoice)
            chosen_upstreams.add(choice.upstream)

        self.assertEqual(len(chosen_upstreams), 1)

    def test_sends_no_order_to_an_upstream_that_just_failed(self) -> None:
        """An upstream has failed a question; the next order must go elsewhere.

        Orders run at most once, so a lost one can't be retried. Questions may still
        be sent to test whether the upstream has recovered.
        """
        cases: dict[str, dict[str, Any]] = {
            "failed": {"failures": 1},
            "probing": {"probing": True},
        }
        for name, changes in cases.items():
            with self.subTest(name):
                near = make_row("a", **changes)
                tables = make_tables(near, make_row("b", data_centre="cmc"))
                chosen = [
                    choose_upstream(tables, work, VERSION, now=1.0, draw=0.0)
                    for work in (make_work(repeatable=False), make_work())
                ]
                names = [
                    one.upstream for one in chosen if isinstance(one, UpstreamChoice)
                ]
                self.assertEqual(names, [B, A])

    def test_compensates_for_a_stale_report(self) -> None:
        """Ten requests arrive between two load reports.

        The report says that one upstream is idle and the other is half loaded. From
        the report alone, all ten requests would go to the idle one.
        """
        half = LoadReport(running=4, tokens_per_second=50.0, prefill_per_second=8000.0)
        tables = make_tables(make_row("a"), make_row("b", load=half))
        tables.demand[WORKSPACE] = WorkspaceDemand(rate=10.0, other_entries_rate=0.0)
        chosen = []
        for number in range(10):
            work = make_work(f"r{number}")
            choice = choose_upstream(tables, work, VERSION, now=1.0, draw=0.0)
            assert isinstance(choice, UpstreamChoice)
            record_dispatch(tables, choice.upstream, work, now=1.0)
            chosen.append(choice.upstream)

        self.assertGreaterEqual(chosen.count(B), 2)
        self.assertGreaterEqual(chosen.count(A), 5)


class TestRandomFleets(unittest.TestCase):
    @given(
        rows=st.lists(
            st.fixed_dictionaries(
                {
                    "left": st.booleans(),
                    "leaving": st.booleans(),
                    "expires_at": st.floats(0.0, 20.0),
                    "ejected_until": st.floats(0.0, 20.0),
                    "data_centre": st.sampled_from(["bole", "cmc", "kazanchis"]),
                    "versions": st.sampled_from([(), (VERSION,)]),
                    "load": st.sampled_from([None, NO_LOAD, BUSY_LOAD]),
                    "in_flight": st.integers(0, 12),
                    "probing": st.booleans(),
                }
            ),
            max_size=50,
        ),
        draw=st.floats(0.0, 1.0, exclude_max=True),
        excluded=st.frozensets(st.integers(0, 49)),
    )
    def test_never_chooses_an_ineligible_upstream(
        self, rows: list[dict[str, object]], draw: float, excluded: frozenset[int]
    ) -> None:
        tables = make_tables(
            *(make_row(f"u{number}", **row) for number, row in enumerate(rows)),
            configs=(make_config(data_centres=("bole", "cmc")),),
        )
        index_upstreams(tables, 0.0)
        exclude = frozenset(UpstreamId(f"u{number}") for number in excluded)
        choice = choose_upstream(
            tables, make_work(), VERSION, exclude=exclude, now=10.0, draw=draw
        )
        if isinstance(choice, Refusal):
            return

        row = tables.upstreams[choice.upstream]
        self.assertFalse(row.left or row.announcement.leaving)
        self.assertGreater(row.expires_at, 10.0)
        self.assertLessEqual(row.ejected_until, 10.0)
        self.assertIn(row.announcement.data_centre, ("bole", "cmc"))
        self.assertIn(VERSION, row.announcement.versions)
        self.assertNotIn(choice.upstream, exclude)
