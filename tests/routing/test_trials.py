"""Tests of trials of quarantined prompt blocks."""

from __future__ import annotations

import unittest

from waxwingwell.routing.quarantine import MIN_CRASHES
from waxwingwell.routing.quarantine import QuarantineTable
from waxwingwell.routing.quarantine import find_group
from waxwingwell.routing.quarantine import record_crash
from waxwingwell.routing.quarantine import record_survival
from waxwingwell.routing.trials import FIRST_TRIAL_SECONDS
from waxwingwell.routing.trials import MAX_TRIALS
from waxwingwell.routing.trials import TRIAL_FACTOR
from waxwingwell.routing.trials import VALID_SECONDS
from waxwingwell.routing.trials import TrialTable
from waxwingwell.routing.trials import drop_trials
from waxwingwell.routing.trials import grant_trial
from waxwingwell.routing.trials import list_trials
from waxwingwell.routing.trials import may_grant
from waxwingwell.routing.trials import merge_trials
from waxwingwell.routing.trials import use_trial


BLOCK, OTHER = 7, 8
DAY = 86_400


def make_quarantined(*blocks: int) -> QuarantineTable:
    """Return a table that has quarantined blocks of the same requests at time 0."""
    table = QuarantineTable()
    for number in range(MIN_CRASHES):
        record_crash(table, number, blocks, request=number, lag=0.1, now=0.0)

    return table


class GrantTest(unittest.TestCase):
    """Trials that a control grants."""

    def test_trials_become_rarer_and_end(self) -> None:
        """Guards against trials that go on crashing upstreams."""
        quarantine, trials = make_quarantined(BLOCK), TrialTable()
        granted = []
        for now in range(0, DAY, 5):
            if may_grant(trials, quarantine, BLOCK, float(now)):
                grant_trial(trials, BLOCK, "g1", float(now))
                granted.append(now)

        second = FIRST_TRIAL_SECONDS * (1 + TRIAL_FACTOR)
        self.assertEqual(granted, [FIRST_TRIAL_SECONDS, second])
        self.assertEqual(len(granted), MAX_TRIALS)

    def test_a_crash_delays_the_next_trial(self) -> None:
        quarantine, trials = make_quarantined(BLOCK), TrialTable()
        record_crash(quarantine, 99, (BLOCK,), request=99, lag=0.1, now=10.0)
        self.assertFalse(may_grant(trials, quarantine, BLOCK, FIRST_TRIAL_SECONDS))
        due = 10.0 + FIRST_TRIAL_SECONDS
        self.assertTrue(may_grant(trials, quarantine, BLOCK, due))

    def test_blocks_that_are_not_quarantined_need_none(self) -> None:
        quarantine, trials = make_quarantined(BLOCK), TrialTable()
        self.assertFalse(may_grant(trials, quarantine, OTHER, DAY))
        record_survival(quarantine, (BLOCK,), 1.0)
        self.assertFalse(may_grant(trials, quarantine, BLOCK, DAY))

    def test_blocks_of_the_same_requests_share_a_trial(self) -> None:
        quarantine = make_quarantined(OTHER, BLOCK)
        self.assertEqual(find_group(quarantine, (OTHER, BLOCK)), BLOCK)
        self.assertIsNone(find_group(quarantine, (OTHER,)))


class UseTest(unittest.TestCase):
    """Trials that gateways use."""

    def test_one_gateway_sends_one_request_in_time(self) -> None:
        """Guards against a trial that several gateways or requests use."""
        for name, gateway, now, may_use in (
            ("its gateway", "g1", 1.0, True),
            ("another one", "g2", 1.0, False),
            ("too late", "g1", VALID_SECONDS + 1.0, False),
        ):
            with self.subTest(name):
                trials = TrialTable()
                grant_trial(trials, BLOCK, "g1", 0.0)
                self.assertEqual(use_trial(trials, BLOCK, gateway, now), may_use)
                self.assertFalse(use_trial(trials, BLOCK, gateway, now))

    def test_the_latest_trial_counts_in_any_order(self) -> None:
        known = TrialTable()
        first = grant_trial(known, BLOCK, "g1", 0.0)
        second = grant_trial(known, BLOCK, "g2", 9.0)
        for order in ((first, second), (second, first), (second, second)):
            with self.subTest(order):
                trials = TrialTable()
                merge_trials(trials, order, 10.0)
                self.assertEqual(merge_trials(trials, order, 10.0), ())
                self.assertEqual(trials.trials[BLOCK].number, 2)
                self.assertFalse(use_trial(trials, BLOCK, "g1", 10.0))
                self.assertTrue(use_trial(trials, BLOCK, "g2", 10.0))

    def test_a_process_that_starts_learns_the_age(self) -> None:
        """Guards against a trial that is used again after a restart."""
        known = TrialTable()
        grant_trial(known, BLOCK, "g1", 0.0)
        trials = TrialTable()
        merge_trials(trials, list_trials(known, VALID_SECONDS + 1.0), 50.0)
        self.assertFalse(use_trial(trials, BLOCK, "g1", 50.0))

    def test_trials_are_dropped_with_the_evidence(self) -> None:
        trials = TrialTable()
        for block in (BLOCK, OTHER):
            grant_trial(trials, block, "g1", 0.0)
            use_trial(trials, block, "g1", 0.0)

        drop_trials(trials, {BLOCK})
        self.assertEqual((set(trials.trials), set(trials.used)), ({BLOCK}, {BLOCK}))
