"""Progress of a roll-out: its share of sessions, its evaluation, and its end.

A bad version is to be rolled back after few requests, a good one to be established
within the duration of the roll-out. Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest

from .outcomes import Outcomes
from .outcomes import add_outcomes
from .outcomes import find_upper_bound


if TYPE_CHECKING:
    from collections.abc import Sequence

    from .exposure import ExposureLimits
    from .fleet import Upstream
    from .messages import RolloutState


MAX_HASH = 0xFFFFFFFF
FIRST_SHARE = 0.08
"""Share of sessions in the first half, about half of the usual exposure limit."""
SECOND_SHARE = 0.3
"""Share after the first half, to evaluate the version under more load."""
MIGRATION_SHARE = 0.2
"""Share from which active sessions change their version too; separates the first half
of a roll-out from the second."""
GROW_AT = 0.5
"""Part of the duration after which sessions may change their version."""
FULL_AT = 0.6
"""Part of the duration after which all sessions use the target, if it is good."""
COMPLETE_AT = 0.85
"""Part of the duration after which a successful roll-out is completed. Streams still
running on the former version have had a quarter of the duration to end."""
WARM_UP_PART = 0.25
"""Longest wait for a warm upstream of the target, as a part of the duration."""
MIN_RESPONSES = 6
"""Number of responses needed to evaluate a version as good."""
MIN_FAILURES = 4
"""Number of failures from which the target may be evaluated as bad."""
FAILURE_MARGIN = 0.15
"""Excess of the target's failure rate over the former version's that is tolerated. Bad
versions fail a third of their requests or more, and the rate of a few responses varies
widely."""
SLOW_FACTOR = 4.0
"""Multiple of the former version's mean time to the first byte above which the target
is bad."""
SLOW_MIN_SECONDS = 0.3
"""Mean time to the first byte, in seconds, up to which the target is never too slow."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """Responses of one version over all gateways since the start of the roll-out."""

    answers: int = 0
    failures: int = 0
    seconds: float = 0.0


@dataclass(frozen=True, slots=True)
class Snapshot:
    """Outcomes of both versions by kind, ``elapsed`` seconds after the order."""

    elapsed: float
    target: Mapping[str, Outcomes]
    former: Mapping[str, Outcomes]


@dataclass(slots=True)
class EvidenceHistory:
    """Snapshots of the evidence, the latest one last."""

    snapshots: list[Snapshot] = field(default_factory=list)


@dataclass(frozen=True, slots=True)
class Step:
    """Next state of a roll-out."""

    share: float
    ended: bool = False
    completed: bool = False
    reason: str = ""


def hash_share(key: str) -> float:
    """Return a hash from 0 to 1 that is the same at all gateways."""
    return position_to_share(xxh32_intdigest(key.encode()))


def hash_session(rollout: RolloutState, session: str) -> int:
    """Return a session's hash position in a roll-out, the same at all gateways."""
    return xxh32_intdigest(f"{rollout.ordered_at}/{session}".encode())


def position_to_share(place: int) -> float:
    """Return the share of sessions with a lower hash position than ``place``."""
    return place / MAX_HASH


def find_regression(target: Evidence, former: Evidence) -> str:
    """Return the reason why the target is bad, or the empty string."""
    if target.failures >= MIN_FAILURES:
        rate = target.failures / max(target.answers, 1)
        baseline = former.failures / max(former.answers, 1)
        if rate > baseline + FAILURE_MARGIN:
            return f"{target.failures} of {target.answers} responses failed"

    successes = target.answers - target.failures
    if successes >= MIN_RESPONSES and former.answers > 0:
        mean = target.seconds / successes
        baseline = former.seconds / max(former.answers - former.failures, 1)
        if mean > max(SLOW_FACTOR * baseline, SLOW_MIN_SECONDS):
            return f"mean time to first byte {mean:.2f} s, formerly {baseline:.2f} s"

    return ""


def awaits_warm_up(
    rollout: RolloutState, target: Sequence[Upstream], elapsed: float, now: float
) -> bool:
    """Return whether the first share has to wait, as all of the target is cold.

    Cold upstreams take few requests, and those of the share may use no others.
    """
    if rollout.share > 0.0 or elapsed >= WARM_UP_PART * rollout.duration:
        return False

    return bool(target) and all(one.cold_until > now for one in target)


def record_snapshot(history: EvidenceHistory, snapshot: Snapshot) -> None:
    """Record the evidence at a time."""
    history.snapshots[:] = [snapshot]


def step_rollout(
    rollout: RolloutState,
    history: EvidenceHistory,
    limits: ExposureLimits,
    elapsed: float,
) -> Step:
    """Return the next step of a roll-out that started ``elapsed`` seconds ago."""
    latest = history.snapshots[-1]
    target, former = (sum_kinds(one) for one in (latest.target, latest.former))
    return step_by_means(rollout, target, former, elapsed)


def sum_kinds(outcomes: Mapping[str, Outcomes]) -> Evidence:
    """Return the evidence on a version over all kinds of requests."""
    total = add_outcomes(outcomes.values())
    counts = enumerate(total.first_bytes[:-1])
    seconds = sum(find_upper_bound(index) * count for index, count in counts)
    return Evidence(total.answers, total.failures + total.breaks, seconds)


def step_by_means(
    rollout: RolloutState, target: Evidence, former: Evidence, elapsed: float
) -> Step:
    """Return the next step of a roll-out that started ``elapsed`` seconds ago."""
    regression = find_regression(target, former)
    if regression:
        return Step(0.0, ended=True, completed=False, reason=regression)

    progress = elapsed / max(rollout.duration, 0.001)
    has_enough = target.answers >= MIN_RESPONSES
    if progress >= COMPLETE_AT and rollout.share >= 1.0 and has_enough:
        return Step(1.0, ended=True, completed=True, reason="target is good")

    if progress >= 1.0:
        reason = "too few responses before the deadline"
        return Step(0.0, ended=True, completed=False, reason=reason)

    if not has_enough or progress < GROW_AT:
        return Step(max(FIRST_SHARE, rollout.share), reason="first share of sessions")

    share = 1.0 if progress >= FULL_AT else SECOND_SHARE
    return Step(
        max(share, rollout.share),
        reason=f"{target.answers} responses without regression",
    )
