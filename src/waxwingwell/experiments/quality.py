"""The quality experiment: cost at the quality target, and exposure to bad versions.

``run_quality`` runs the product's choice of version and evaluation of roll-outs on
simulated versions whose true quality is hidden, and compares them with the policies
"always best" and "always cheapest", a fixed-share canary and an oracle. It uses no
network and no cluster.
"""

from __future__ import annotations

import random
import statistics

from .quality_report import WINDOWS
from .quality_report import QualityReport
from .quality_report import RolloutFigures
from .quality_report import SeedFigures
from .quality_report import TrafficFigures
from .rollout_simulation import MAX_BAD_LOSS
from .rollout_simulation import MIN_BAD_LOSS
from .rollout_simulation import RolloutCase
from .rollout_simulation import run_canary
from .rollout_simulation import run_staged
from .traffic import POLICIES
from .traffic import TrafficTotals
from .traffic import run_traffic
from .worlds import WEIGHINGS
from .worlds import make_world


FIRST_SEED = 2000
"""Lower seeds were used to tune the policy, so reports don't use them."""
GOOD_ROLLOUTS_PER_SEED = 25
"""Roll-outs of a candidate as good as its incumbent, per seed."""
BAD_ROLLOUTS_PER_SEED = 4
DEGRADING_ROLLOUTS_PER_SEED = 1


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
    """Run every policy over the traffic of one seed, and its roll-outs."""
    traffic = {
        name: _summarise(run_traffic(make_world(profile, seed), name, seed))
        for name in POLICIES
    }
    return SeedFigures(seed, traffic, run_rollouts(profile, seed))


def run_rollouts(
    profile: str,
    seed: int,
    *,
    good: int = GOOD_ROLLOUTS_PER_SEED,
    bad: int = BAD_ROLLOUTS_PER_SEED,
    turning: int = DEGRADING_ROLLOUTS_PER_SEED,
) -> RolloutFigures:
    """Run a seed's roll-outs of good, bad and degrading candidates."""
    rng = random.Random(f"rollouts/{profile}/{seed}")
    good_runs = [
        run_staged(RolloutCase(profile, f"{seed}/good/{n}")) for n in range(good)
    ]
    cases = [
        RolloutCase(profile, f"{seed}/bad/{n}", rng.uniform(MIN_BAD_LOSS, MAX_BAD_LOSS))
        for n in range(bad)
    ]
    bad_runs = [run_staged(case) for case in cases]
    canaries = [[run_canary(case, window) for case in cases] for window in WINDOWS]
    degraded_runs = [
        run_staged(
            RolloutCase(
                profile,
                f"{seed}/turn/{n}",
                rng.uniform(MIN_BAD_LOSS, MAX_BAD_LOSS),
                degrades=True,
            )
        )
        for n in range(turning)
    ]
    return RolloutFigures(
        good=good,
        good_withdrawn=sum(run.withdrawn for run in good_runs),
        good_completed=sum(run.completed for run in good_runs),
        bad=bad,
        bad_withdrawn=sum(run.withdrawn for run in bad_runs),
        bad_completed=sum(run.completed for run in bad_runs),
        bad_answers=sum(run.bad for run in bad_runs),
        canary_answers=tuple(sum(run.bad for run in runs) for runs in canaries),
        canary_withdrawn=tuple(sum(run.withdrawn for run in runs) for runs in canaries),
        turning=turning,
        turning_withdrawn=sum(run.withdrawn for run in degraded_runs),
        turning_answers=sum(run.bad for run in degraded_runs),
        good_seconds=statistics.median(run.ended_at for run in good_runs)
        if good_runs
        else 0.0,
    )


def _summarise(totals: TrafficTotals) -> TrafficFigures:
    return TrafficFigures(
        cost=totals.cost / totals.requests,
        least_surplus=min(
            total / count - totals.targets[cell[1]]
            for cell, (total, count) in totals.quality.items()
        ),
        waits=totals.waits / totals.requests,
        bad=totals.exposed,
    )
