"""The experiment on versions: cost at the quality target, and bad versions.

``run_quality`` drives the product's choice of version and judgement of roll-outs
over fakes with hidden truth, beside always best, always cheapest, a fixed-share
canary and an oracle. No network and no cluster takes part.
"""

from __future__ import annotations

import random
import statistics

from .quality_report import WINDOWS
from .quality_report import QualityReport
from .quality_report import RolloutFigures
from .quality_report import SeedFigures
from .quality_report import TrafficFigures
from .rollout_runs import FIRST_BAD
from .rollout_runs import LAST_BAD
from .rollout_runs import Case
from .rollout_runs import run_canary
from .rollout_runs import run_staged
from .traffic import POLICIES
from .traffic import Tally
from .traffic import run_traffic
from .worlds import WEIGHINGS
from .worlds import make_world


FIRST_SEED = 2000
"""Lower seeds were used to tune the policy; the report's are fresh."""
GOOD_ROLLOUTS = 25
"""Roll-outs of a candidate as good as its incumbent, for each seed."""
BAD_ROLLOUTS = 4
TURNING_ROLLOUTS = 1


def run_quality(profile: str, seeds: int) -> QualityReport:
    """Run ``seeds`` seeds of ``entoto`` or ``frio`` and return the report.

    Errors: ``ValueError`` for another profile, or fewer than one seed.
    """
    if profile not in WEIGHINGS:
        raise ValueError(f"profile: {profile!r} is not one of {sorted(WEIGHINGS)}")

    if seeds < 1:
        raise ValueError(f"seeds: {seeds} is fewer than 1")

    report = QualityReport(profile)
    for seed in range(FIRST_SEED, FIRST_SEED + seeds):
        report.seeds.append(run_seed(profile, seed))

    return report


def run_seed(profile: str, seed: int) -> SeedFigures:
    """Run every policy over one seed's traffic, and its roll-outs."""
    traffic = {
        name: _sum_up(run_traffic(make_world(profile, seed), name, seed))
        for name in POLICIES
    }
    return SeedFigures(seed, traffic, run_rollouts(profile, seed))


def run_rollouts(
    profile: str,
    seed: int,
    *,
    good: int = GOOD_ROLLOUTS,
    bad: int = BAD_ROLLOUTS,
    turning: int = TURNING_ROLLOUTS,
) -> RolloutFigures:
    """Run one seed's roll-outs of good, bad and turning candidates."""
    rng = random.Random(f"rollouts/{profile}/{seed}")
    fine = [run_staged(Case(profile, f"{seed}/good/{n}")) for n in range(good)]
    cases = [
        Case(profile, f"{seed}/bad/{n}", rng.uniform(FIRST_BAD, LAST_BAD))
        for n in range(bad)
    ]
    poor = [run_staged(case) for case in cases]
    canaries = [[run_canary(case, window) for case in cases] for window in WINDOWS]
    turned = [
        run_staged(
            Case(
                profile,
                f"{seed}/turn/{n}",
                rng.uniform(FIRST_BAD, LAST_BAD),
                turns=True,
            )
        )
        for n in range(turning)
    ]
    return RolloutFigures(
        good=good,
        good_withdrawn=sum(run.withdrawn for run in fine),
        good_completed=sum(run.completed for run in fine),
        bad=bad,
        bad_withdrawn=sum(run.withdrawn for run in poor),
        bad_completed=sum(run.completed for run in poor),
        bad_answers=sum(run.bad for run in poor),
        canary_answers=tuple(sum(run.bad for run in runs) for runs in canaries),
        canary_withdrawn=tuple(sum(run.withdrawn for run in runs) for runs in canaries),
        turning=turning,
        turning_withdrawn=sum(run.withdrawn for run in turned),
        turning_answers=sum(run.bad for run in turned),
        good_seconds=statistics.median(run.ended_at for run in fine) if fine else 0.0,
    )


def _sum_up(tally: Tally) -> TrafficFigures:
    return TrafficFigures(
        cost=tally.cost / tally.requests,
        least_surplus=min(
            total / count - tally.targets[cell[1]]
            for cell, (total, count) in tally.quality.items()
        ),
        waits=tally.waits / tally.requests,
        bad=tally.exposed,
    )
