"""Evidence: increments, totals over entries and outstanding ratings."""

from __future__ import annotations

import unittest

from waxwingwell.decisions.evidence import OUTSTANDING_TIMEOUT
from waxwingwell.decisions.evidence import add_evidence
from waxwingwell.decisions.evidence import confirm_increments
from waxwingwell.decisions.evidence import count_outstanding
from waxwingwell.decisions.evidence import merge_totals
from waxwingwell.decisions.evidence import record_rating
from waxwingwell.decisions.evidence import record_sent
from waxwingwell.decisions.evidence import record_unrated
from waxwingwell.decisions.evidence import start_flush

from .fixtures_quality import CHEAP
from .fixtures_quality import QUESTION
from .fixtures_quality import WORKSPACE
from .fixtures_quality import make_tables
from .fixtures_quality import make_work
from .fixtures_quality import rate_responses


KEY = (WORKSPACE, "question", CHEAP)


class TestIncrements(unittest.TestCase):
    def test_a_retried_flush_has_the_same_rows(self) -> None:
        """The reply to a flush is lost with its connection, and more ratings arrive.

        The entry retries with the same sequence. With other rows, ratings would be
        counted twice or lost.
        """
        tables = make_tables()
        rate_responses(tables, CHEAP, (0.5, 0.7), 1.0)
        first = start_flush(tables)
        rate_responses(tables, CHEAP, (0.9,), 2.0)
        self.assertEqual(start_flush(tables), first)
        confirm_increments(tables)
        (row,) = start_flush(tables)
        self.assertEqual((row.rated, row.sent, row.to_rate), (1, 1, 1))
        self.assertAlmostEqual(row.total, 0.9)

    def test_merged_totals_include_unflushed_increments(self) -> None:
        tables = make_tables()
        rate_responses(tables, CHEAP, (0.5,), 1.0)
        (flushed,) = start_flush(tables)
        confirm_increments(tables)
        rate_responses(tables, CHEAP, (1.0,), 2.0)
        others = add_evidence(flushed, flushed)
        merge_totals(tables, (others,), 3.0)
        self.assertEqual(tables.evidence[KEY].rated, 3)
        self.assertAlmostEqual(tables.evidence[KEY].total, 2.0)
        self.assertAlmostEqual(tables.rating_stats[KEY].total, 2.0)
        self.assertEqual(tables.last_rating_at, 3.0)

    def test_outstanding(self) -> None:
        tables = make_tables()
        for now in (1.0, 2.0, 3.0):
            record_sent(tables, make_work(), CHEAP, rate=True, now=now)

        record_sent(tables, make_work(), CHEAP, rate=False, now=4.0)
        self.assertEqual(count_outstanding(tables, CHEAP, 4.0), 3)
        record_rating(tables, WORKSPACE, QUESTION, CHEAP, 0.5, 5.0)
        self.assertEqual(count_outstanding(tables, CHEAP, 5.0), 2)
        record_unrated(tables, WORKSPACE, QUESTION, CHEAP)
        self.assertEqual(count_outstanding(tables, CHEAP, 5.0), 1)
        late = 3.0 + OUTSTANDING_TIMEOUT
        self.assertEqual(count_outstanding(tables, CHEAP, late), 0)
        row = tables.evidence[KEY]
        self.assertEqual((row.sent, row.to_rate, row.rated), (4, 2, 1))

    def test_ratings_out_of_range_are_clipped(self) -> None:
        tables = make_tables()
        rate_responses(tables, CHEAP, (7.0, -3.0), 1.0)
        self.assertEqual(tables.evidence[KEY].total, 1.0)
        self.assertEqual(tables.evidence[KEY].squares, 1.0)

    def test_escalated_responses_are_rated_separately(self) -> None:
        tables = make_tables()
        record_sent(tables, make_work(), CHEAP, rate=True, now=1.0, escalated=True)
        record_rating(tables, WORKSPACE, QUESTION, CHEAP, 0.2, 2.0, escalated=True)
        self.assertNotIn(KEY, tables.evidence)
        row = tables.evidence[WORKSPACE, "question+escalated", CHEAP]
        self.assertEqual((row.rated, row.sent), (1, 1))
        self.assertEqual(count_outstanding(tables, CHEAP, 2.0), 0)
        self.assertLess(tables.accounts[WORKSPACE, "question"].credit, 0.0)

    def test_unrated_bad_responses_are_charged(self) -> None:
        """A version regresses while every second response is rated.

        Until the regression is detected, unrated responses are credited at the old
        mean; kept, that credit would hide that the target is missed.
        """
        tables = make_tables()
        for number in range(100):
            rate = number % 2 == 0
            record_sent(tables, make_work(), CHEAP, rate=rate, now=1.0)
            if rate:
                record_rating(tables, WORKSPACE, QUESTION, CHEAP, 0.8, 1.0)

        account = tables.accounts[WORKSPACE, "question"]
        credit_before = account.credit
        for number in range(40):
            record_sent(tables, make_work(), CHEAP, rate=number % 2 == 0, now=2.0)
            if number % 2 == 0:
                record_rating(tables, WORKSPACE, QUESTION, CHEAP, 0.3, 2.0)

        self.assertLess(account.credit, credit_before - 40 * 0.4 * 0.5)

    def test_credit_counts_served_responses_only(self) -> None:
        tables = make_tables()
        record_rating(tables, WORKSPACE, QUESTION, CHEAP, 0.1, 1.0, served=False)
        self.assertNotIn((WORKSPACE, "question"), tables.accounts)
        record_rating(tables, WORKSPACE, QUESTION, CHEAP, 0.9, 1.0)
        account = tables.accounts[WORKSPACE, "question"]
        self.assertAlmostEqual(account.credit, 0.2)
