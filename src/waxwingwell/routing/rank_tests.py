"""Evidence that times of the target are longer, by their ranks among the former's.

A version may slow down all of its streams by less than their times differ among each
other. Each one is then like some of the former version's, but most of them rank high.
Under a version as good, ranks are uniform; the alternatives are Lehmann's, under which
the target's distribution is a power of the former version's. Powers of three and more
tolerate a version that is somewhat slower. Source: Lehmann, "The power of rank tests",
Annals of Mathematical Statistics 24 (1953).
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from ..decisions.bets import log_mean_exp
from .bad_responses import MIN_TIMES
from .outcomes import Outcomes
from .outcomes import add_histograms


if TYPE_CHECKING:
    from collections.abc import Sequence

    from .evidence_history import Snapshot
    from .outcomes import Histogram


POWERS = (3.0, 5.0)
"""Powers of the alternatives."""
OVERALL_TIMES = 8.0
"""Weight of the times of all windows in those of one, in times."""


@dataclass(frozen=True, slots=True)
class RankEvidence:
    """Evidence on the paces of the target's streams, as logarithms."""

    streams: int = 0
    slower: float = -math.inf
    """Evidence that they are slower, from the start or from some later time."""
    ratio: float = 0.0
    """Likelihood ratio of streams that are slower from the start to equal ones."""


def compare_paces(windows: Sequence[Snapshot], count: int) -> RankEvidence:
    """Return the evidence that streams are slower.

    Half of the weight is on a target that is slow from the start, the other half on
    those that turn slow at the start of one of the later ``count`` windows.
    """
    sums = dict.fromkeys(POWERS, 0.0)
    logs = []
    streams = 0
    for index in reversed(range(len(windows))):
        for rank, number in list_ranks(windows, index):
            streams += number
            for power in POWERS:
                gain = math.log(power) + (power - 1.0) * math.log(rank)
                sums[power] += number * gain

        weight = 0.5 if index == 0 else 0.5 / count
        logs.append(math.log(weight) + log_mean_exp(tuple(sums.values())))

    if not streams:
        return RankEvidence()

    slower = log_mean_exp(tuple(logs)) + math.log(len(logs))
    return RankEvidence(streams, slower, sums[POWERS[0]])


def list_ranks(windows: Sequence[Snapshot], index: int) -> list[tuple[float, int]]:
    """Return ranks from 0 to 1 of the target's streams in a window, with their number.

    Running streams count in the last window.
    """
    window = windows[index]
    nothing = Outcomes()
    ranks = []
    for kind, target in window.target.items():
        overall = windows[-1].former.get(kind, nothing).paces
        if sum(overall) < MIN_TIMES:
            continue

        before = windows[index - 1] if index else None
        old = before.target.get(kind, nothing) if before else nothing
        former = window.former.get(kind, nothing)
        old_former = before.former.get(kind, nothing) if before else nothing
        is_last = index == len(windows) - 1
        slower = list_gained(target, old, running=is_last)
        usual = list_gained(former, old_former, running=is_last)
        ranks += rank_times(slower, usual, overall)

    return ranks


def list_gained(outcomes: Outcomes, before: Outcomes, *, running: bool) -> Histogram:
    """Return the times per event of streams that ended after a snapshot."""
    gained = tuple(
        max(new - old, 0) for new, old in zip(outcomes.paces, before.paces, strict=True)
    )
    return add_histograms(gained, outcomes.pacing) if running else gained


def rank_times(
    times: Histogram, usual: Histogram, overall: Histogram
) -> list[tuple[float, int]]:
    """Return the ranks of times among the usual ones, with the number of times.

    The usual ones of a window are few, so that those of all windows count as well.
    """
    part = OVERALL_TIMES / sum(overall)
    total = sum(usual) + OVERALL_TIMES
    below = 0.0
    ranks = []
    for bucket, number in enumerate(times):
        same = usual[bucket] + part * overall[bucket]
        if number:
            ranks.append(((below + same / 2.0 + 0.5) / (total + 1.0), number))

        below += same

    return ranks
