"""Roll-out evaluation: repeated evaluation, leader changes and late ratings."""

from __future__ import annotations

import math
import random
import unittest
from dataclasses import replace

from waxwingwell.decisions.bets import BET_STAKES
from waxwingwell.decisions.bets import RatingSums
from waxwingwell.decisions.bets import bound_log_wealth
from waxwingwell.decisions.bets import log_mean_exp
from waxwingwell.decisions.comparisons import get_baseline_deviations
from waxwingwell.decisions.rollouts import RolloutAction
from waxwingwell.decisions.rollouts import evaluate_rollout
from waxwingwell.decisions.rollouts import select_base
from waxwingwell.decisions.rollouts import step_rollouts
from waxwingwell.records import RolloutStatus

from .fixtures_quality import CANDIDATE
from .fixtures_quality import CHEAP
from .fixtures_quality import make_rollout
from .fixtures_quality import make_row


def draw_ratings(seed: int, mean: float, count: int) -> list[float]:
    rng = random.Random(seed)
    return [min(1.0, max(0.0, rng.gauss(mean, 0.15))) for _ in range(count)]


OLD = make_row(CHEAP, draw_ratings(1, 0.8, 2000))


class TestEvaluation(unittest.TestCase):
    def test_actions(self) -> None:
        cases: tuple[tuple[str, int, list[float], RolloutAction], ...] = (
            ("nothing rated", 0, [], RolloutAction.STAY),
            ("few rated", 0, draw_ratings(2, 0.8, 10), RolloutAction.STAY),
            ("good", 0, draw_ratings(2, 0.8, 60), RolloutAction.ADVANCE),
            ("much worse", 0, draw_ratings(2, 0.4, 30), RolloutAction.ROLL_BACK),
            ("worse", 0, draw_ratings(2, 0.65, 200), RolloutAction.ROLL_BACK),
            ("good to the end", 4, draw_ratings(2, 0.8, 900), RolloutAction.COMPLETE),
        )
        for name, stage, ratings, action in cases:
            with self.subTest(name):
                row = make_row(CANDIDATE, ratings)
                found = evaluate_rollout(make_rollout(stage), (row,), (OLD,), 1.0)
                self.assertEqual(found.action, action, found)

    def test_few_ratings_of_the_incumbent_cause_no_action(self) -> None:
        old = make_row(CHEAP, [0.9] * 5)
        row = make_row(CANDIDATE, [0.1] * 50)
        found = evaluate_rollout(make_rollout(), (row,), (old,), 1.0)
        self.assertEqual(found.action, RolloutAction.STAY)

    def test_ended_and_paused(self) -> None:
        bad = make_row(CANDIDATE, [0.2] * 50)
        good = make_row(CANDIDATE, draw_ratings(3, 0.8, 200))
        cases = (
            (RolloutStatus.COMPLETED, bad, RolloutAction.STAY),
            (RolloutStatus.ROLLED_BACK, good, RolloutAction.STAY),
            (RolloutStatus.PAUSED, good, RolloutAction.STAY),
            (RolloutStatus.PAUSED, bad, RolloutAction.ROLL_BACK),
        )
        for status, row, action in cases:
            with self.subTest(status):
                rollout = replace(make_rollout(), status=status)
                found = evaluate_rollout(rollout, (row,), (OLD,), 1.0)
                self.assertEqual(found.action, action)

    def test_repeated_evaluation_seldom_rolls_back_a_good_version(self) -> None:
        """Of 200 good candidates evaluated every 5 ratings, at most 1 % roll back."""
        rolled_back = 0
        for seed in range(200):
            ratings = draw_ratings(1000 + seed, 0.8, 120)
            rolled_back += any(
                evaluate_rollout(
                    make_rollout(), (make_row(CANDIDATE, ratings[:seen]),), (OLD,), 1.0
                ).action
                is RolloutAction.ROLL_BACK
                for seen in range(5, 121, 5)
            )

        self.assertLessEqual(rolled_back, 2)

    def test_regression_at_a_late_stage(self) -> None:
        """A candidate that regresses at a late stage must be rolled back.

        It regresses at stage 4 of 5, with half of the sessions, after 2,000 good
        ratings. In the totals these would hide the regression.
        """
        before = make_row(CANDIDATE, draw_ratings(4, 0.8, 2000))
        rollout = make_rollout(stage=3)
        rollout = replace(rollout, base=select_base(rollout, (before, OLD)))
        worse = draw_ratings(5, 0.4, 30)
        after = make_row(CANDIDATE, draw_ratings(4, 0.8, 2000) + worse)
        found = evaluate_rollout(rollout, (after,), (OLD,), 1.0)
        self.assertEqual(found.action, RolloutAction.ROLL_BACK, found)

    def test_totals_over_kinds(self) -> None:
        old = make_row(CHEAP, draw_ratings(6, 0.6, 500), "report")
        rows = (
            make_row(CANDIDATE, draw_ratings(7, 0.8, 40)),
            make_row(CANDIDATE, draw_ratings(8, 0.6, 40), "report"),
        )
        found = evaluate_rollout(make_rollout(), rows, (OLD, old), 1.0)
        self.assertEqual(found.action, RolloutAction.ADVANCE, found)
        self.assertEqual(found.rated, 80)

    def test_harder_work_lowers_both_versions(self) -> None:
        """A good candidate must not be rolled back because the work became harder.

        After the start of the stage the ratings of both versions fall alike.
        """
        rollout = make_rollout(stage=2)
        start = make_row(CANDIDATE, draw_ratings(9, 0.8, 100))
        rollout = replace(rollout, base=select_base(rollout, (start, OLD)))
        candidate_ratings = draw_ratings(9, 0.8, 100) + draw_ratings(10, 0.6, 60)
        incumbent_ratings = draw_ratings(1, 0.8, 2000) + draw_ratings(11, 0.6, 200)
        rows = (make_row(CANDIDATE, candidate_ratings),)
        found = evaluate_rollout(
            rollout, rows, (make_row(CHEAP, incumbent_ratings),), 1.0
        )
        self.assertIsNot(found.action, RolloutAction.ROLL_BACK, found)


class TestSteps(unittest.TestCase):
    def test_new_leader_proposes_the_same_step(self) -> None:
        """A leader fails between evaluation and proposal; the next one repeats both.

        The new leader has only the durable record and the totals. If it proposed
        another step, a stage would be skipped or the roll-out would start again.
        """
        rollout = make_rollout(stage=2)
        rows = (make_row(CANDIDATE, draw_ratings(2, 0.8, 500)), OLD)
        first = step_rollouts({"small": rollout}, rows, 1.0)
        again = step_rollouts({"small": rollout}, tuple(reversed(rows)), 9.0)
        self.assertEqual([step.stage for step in first], [3])
        self.assertEqual(
            [(step.stage, step.status) for step in again],
            [(step.stage, step.status) for step in first],
        )

    def test_steps_lead_to_the_next_stage_or_the_end(self) -> None:
        """Any step advances by one stage, completes or rolls back."""
        rng = random.Random(12)
        for number in range(60):
            stage = rng.randrange(5)
            rollout = make_rollout(stage=stage)
            ratings = draw_ratings(number, rng.random(), rng.randrange(400))
            rows = (make_row(CANDIDATE, ratings), OLD)
            for step in step_rollouts({"small": rollout}, rows, 1.0):
                if step.status is RolloutStatus.RUNNING:
                    self.assertEqual(step.stage, stage + 1)
                    self.assertLess(step.stage, len(rollout.pace.stages))
                else:
                    self.assertEqual(step.stage, stage)

    def test_ratings_after_a_roll_back_change_nothing(self) -> None:
        """Late good ratings must not revive a candidate that was rolled back.

        Ratings in transit at the time of the roll-back arrive after it.
        """
        rollout = replace(make_rollout(stage=1), status=RolloutStatus.ROLLED_BACK)
        rows = (make_row(CANDIDATE, [0.95] * 500), OLD)
        self.assertEqual(step_rollouts({"small": rollout}, rows, 1.0), ())


class TestBets(unittest.TestCase):
    def test_wealth_of_fair_bets_seldom_grows(self) -> None:
        """By Ville's inequality at most 5 % of fair bets ever grow 20-fold."""
        threshold = math.log(20.0)
        reached = 0
        for seed in range(300):
            ratings = draw_ratings(5000 + seed, 0.75, 200)
            reached += any(
                get_log_wealth(ratings[:seen], 0.745) >= threshold
                for seen in range(1, 201, 3)
            )

        self.assertLessEqual(reached, 15)

    def test_wealth_grows_if_the_mean_is_lower(self) -> None:
        for loss, count in ((0.1, 150), (0.2, 60), (0.4, 25)):
            with self.subTest(loss):
                ratings = draw_ratings(21, 0.75 - loss, count)
                self.assertGreater(get_log_wealth(ratings, 0.75), math.log(100.0))

    def test_baseline_covers_the_mean_at_all_times(self) -> None:
        """Checks 300 incumbents' means while their ratings triple in number."""
        deviations = get_baseline_deviations(0.05)
        missed = 0
        for seed in range(300):
            ratings = draw_ratings(9000 + seed, 0.75, 300)
            missed += any(
                sum(ratings[:seen]) / seen - deviations * 0.15 / seen**0.5 > 0.75
                for seen in range(100, 301, 5)
            )

        self.assertLessEqual(missed, 15)
        self.assertGreater(get_baseline_deviations(0.005), deviations)


def get_log_wealth(ratings: list[float], mean: float) -> float:
    row = make_row(CHEAP, ratings)
    sums = RatingSums(row.rated, row.total, row.squares)
    return log_mean_exp(
        tuple(bound_log_wealth(sums, mean, stake) for stake in BET_STAKES)
    )
