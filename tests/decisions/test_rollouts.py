"""Roll-outs: judgement under continuous looking, interruption and late ratings."""

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
from waxwingwell.decisions.rollouts import judge_rollout
from waxwingwell.decisions.rollouts import step_rollouts
from waxwingwell.decisions.rollouts import take_base
from waxwingwell.records import RolloutStatus

from .fixtures_quality import CANDIDATE
from .fixtures_quality import CHEAP
from .fixtures_quality import make_rollout
from .fixtures_quality import make_row


def draw_ratings(seed: int, mean: float, count: int) -> list[float]:
    rng = random.Random(seed)
    return [min(1.0, max(0.0, rng.gauss(mean, 0.15))) for _ in range(count)]


OLD = make_row(CHEAP, draw_ratings(1, 0.8, 2000))


class TestJudge(unittest.TestCase):
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
                found = judge_rollout(make_rollout(stage), (row,), (OLD,), 1.0)
                self.assertEqual(found.action, action, found)

    def test_few_ratings_of_the_incumbent_judge_nothing(self) -> None:
        old = make_row(CHEAP, [0.9] * 5)
        row = make_row(CANDIDATE, [0.1] * 50)
        found = judge_rollout(make_rollout(), (row,), (old,), 1.0)
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
                found = judge_rollout(rollout, (row,), (OLD,), 1.0)
                self.assertEqual(found.action, action)

    def test_continuous_looking_seldom_blames_a_good_version(self) -> None:
        """Looks after each rating at 200 good candidates; at most 1 % may fall."""
        blamed = 0
        for seed in range(200):
            ratings = draw_ratings(1000 + seed, 0.8, 120)
            blamed += any(
                judge_rollout(
                    make_rollout(), (make_row(CANDIDATE, ratings[:seen]),), (OLD,), 1.0
                ).action
                is RolloutAction.ROLL_BACK
                for seen in range(5, 121, 5)
            )

        self.assertLessEqual(blamed, 2)

    def test_turns_bad_at_a_late_stage(self) -> None:
        """Users of half the sessions get poor answers while the roll-out goes on.

        The candidate is good for 2,000 ratings, reaches stage 4 of 5, and turns
        bad. Cause to guard against: its earlier ratings hide the turn.
        """
        before = make_row(CANDIDATE, draw_ratings(4, 0.8, 2000))
        rollout = make_rollout(stage=3)
        rollout = replace(rollout, base=take_base(rollout, (before, OLD)))
        worse = draw_ratings(5, 0.4, 30)
        after = make_row(CANDIDATE, draw_ratings(4, 0.8, 2000) + worse)
        found = judge_rollout(rollout, (after,), (OLD,), 1.0)
        self.assertEqual(found.action, RolloutAction.ROLL_BACK, found)

    def test_sums_over_entries_and_kinds(self) -> None:
        old = make_row(CHEAP, draw_ratings(6, 0.6, 500), "report")
        rows = (
            make_row(CANDIDATE, draw_ratings(7, 0.8, 40)),
            make_row(CANDIDATE, draw_ratings(8, 0.6, 40), "report"),
        )
        found = judge_rollout(make_rollout(), rows, (OLD, old), 1.0)
        self.assertEqual(found.action, RolloutAction.ADVANCE, found)
        self.assertEqual(found.rated, 80)

    def test_the_task_grows_harder_for_both(self) -> None:
        """A good candidate would be withdrawn because its users ask harder things.

        After the stage began the incumbent's ratings fall as the candidate's do.
        """
        rollout = make_rollout(stage=2)
        start = make_row(CANDIDATE, draw_ratings(9, 0.8, 100))
        rollout = replace(rollout, base=take_base(rollout, (start, OLD)))
        candidate_ratings = draw_ratings(9, 0.8, 100) + draw_ratings(10, 0.6, 60)
        incumbent_ratings = draw_ratings(1, 0.8, 2000) + draw_ratings(11, 0.6, 200)
        rows = (make_row(CANDIDATE, candidate_ratings),)
        found = judge_rollout(rollout, rows, (make_row(CHEAP, incumbent_ratings),), 1.0)
        self.assertIsNot(found.action, RolloutAction.ROLL_BACK, found)


class TestSteps(unittest.TestCase):
    def test_interrupted_halfway(self) -> None:
        """A leader dies between judging and proposing; the next one judges again.

        Operators would see a stage skipped, or the roll-out begin anew. The new
        leader has only the durable record and sums, and must propose the same step.
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

    def test_never_sideways(self) -> None:
        """Whatever the ratings, a step is the next stage, the end, or back."""
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
        """Late good ratings would bring a withdrawn candidate back to callers.

        The roll-out is rolled back; ratings that were under way arrive after it.
        """
        rollout = replace(make_rollout(stage=1), status=RolloutStatus.ROLLED_BACK)
        rows = (make_row(CANDIDATE, [0.95] * 500), OLD)
        self.assertEqual(step_rollouts({"small": rollout}, rows, 1.0), ())


class TestBets(unittest.TestCase):
    def test_wealth_of_fair_bets_seldom_grows(self) -> None:
        """By Ville's inequality at most 5 % of fair bets ever reach 20 times."""
        need = math.log(20.0)
        reached = 0
        for seed in range(300):
            ratings = draw_ratings(5000 + seed, 0.75, 200)
            reached += any(
                bet_on(ratings[:seen], 0.745) >= need for seen in range(1, 201, 3)
            )

        self.assertLessEqual(reached, 15)

    def test_wealth_of_a_true_claim_grows(self) -> None:
        for loss, count in ((0.1, 150), (0.2, 60), (0.4, 25)):
            with self.subTest(loss):
                ratings = draw_ratings(21, 0.75 - loss, count)
                self.assertGreater(bet_on(ratings, 0.75), math.log(100.0))

    def test_baseline_covers_the_mean_at_all_times(self) -> None:
        """Means of 300 incumbents, looked at while their ratings triple in number."""
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


def bet_on(ratings: list[float], mean: float) -> float:
    row = make_row(CHEAP, ratings)
    sums = RatingSums(row.rated, row.total, row.squares)
    return log_mean_exp(
        tuple(bound_log_wealth(sums, mean, stake) for stake in BET_STAKES)
    )
