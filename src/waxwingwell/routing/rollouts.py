"""Progress of a roll-out: its share of sessions, its evaluation, and its end.

A bad version is to be rolled back after few requests, a good one to be established
within the duration of the roll-out. Times are seconds of a monotonic clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest

from .regressions import find_regression


if TYPE_CHECKING:
    from collections.abc import Mapping
    from collections.abc import Sequence

    from .exposure import ExposureLimits
    from .fleet import Upstream
    from .messages import RolloutState
    from .outcomes import Outcomes
    from .regressions import EvidenceHistory


MAX_HASH = 0xFFFFFFFF
FIRST_SHARE = 0.08
"""Share of sessions at the start, before the rate of requests is known."""
FIRST_LIMIT = 0.6
"""Part of the exposure limit's share that the first share is limited to."""
MIGRATION_SHARE = 0.2
"""Share from which active sessions change their version too; separates the first half
of a roll-out from the second."""
LARGEST_EARLY_SHARE = 0.19
"""Largest share at which active sessions still keep their version."""
GROW_AT = 0.5
"""Part of the duration after which sessions may change their version."""
RAMP_LIMIT = 0.75
"""Part of the allowed exposure to spend before all sessions use the target, up to the
end of the ramp."""
RAMP_PART = 0.35
"""Part of the duration in which the exposure to spend grows to all that is allowed."""
FULL_AT = 0.6
"""Part of the duration after which all sessions may use the target."""
EARLY_PART = 0.2
"""Part of the allowed exposure to spend in the first half."""
CANARY_PART = 0.4
"""Part of the allowed exposure to spend before all sessions use the target; the rest
lets streams on the former version end."""
GROWTH = 1.25
"""Least factor by which a share grows, so that steps are few."""
MAX_GROWTH = 2.0
"""Largest factor by which a share grows at once, as sessions differ in their number of
requests."""
SETTLE_SECONDS = 1.25
"""Seconds after which the requests of a grown share are known."""
RATE_SECONDS = 2.0
"""Seconds of the recent rate of requests."""
RATE_MARGIN = 1.6
"""Factor by which the rate of requests may rise until the deadline."""
LAG_SECONDS = 0.8
"""Seconds that evidence takes from a gateway to a decision, and a decision to the
gateways."""
RESERVE_PART = 0.04
"""Part of the allowed exposure that is never planned with."""
COMPLETE_SECONDS = 0.5
"""Least seconds before the deadline at which a roll-out is completed."""
COMPLETE_PART = 0.04
"""Part of the duration before the deadline at which a roll-out is completed."""
WARM_UP_PART = 0.25
"""Longest wait for a warm upstream of the target, as a part of the duration."""
MIN_RESPONSES = 6
"""Number of responses needed to evaluate a version as good."""


@dataclass(frozen=True, slots=True)
class Step:
    """Next state of a roll-out."""

    share: float
    ended: bool = False
    completed: bool = False
    reason: str = ""


@dataclass(frozen=True, slots=True)
class Exposure:
    """Requests since the order, as far as known, and their rate."""

    target: int = 0
    total: int = 0
    """Requests to both versions."""
    answers: int = 0
    """Requests of the target that have ended."""
    low_rate: float = 0.0
    """Lower one of the mean and the recent rate of both versions, per second."""
    high_rate: float = 0.0
    """Higher one of these rates."""
    recent_share: float = 0.0
    """Target's share of the recent requests."""


def hash_share(key: str) -> float:
    """Return a hash from 0 to 1 that is the same at all gateways."""
    return position_to_share(xxh32_intdigest(key.encode()))


def hash_session(rollout: RolloutState, session: str) -> int:
    """Return a session's hash position in a roll-out, the same at all gateways."""
    return xxh32_intdigest(f"{rollout.ordered_at}/{session}".encode())


def position_to_share(place: int) -> float:
    """Return the share of sessions with a lower hash position than ``place``."""
    return place / MAX_HASH


def awaits_warm_up(
    rollout: RolloutState, target: Sequence[Upstream], elapsed: float, now: float
) -> bool:
    """Return whether the first share has to wait, as all of the target is cold.

    Cold upstreams take few requests, and those of the share may use no others.
    """
    if rollout.share > 0.0 or elapsed >= WARM_UP_PART * rollout.duration:
        return False

    return bool(target) and all(one.cold_until > now for one in target)


def step_rollout(
    rollout: RolloutState,
    history: EvidenceHistory,
    limits: ExposureLimits,
    elapsed: float,
) -> Step:
    """Return the next step of a roll-out that was ordered ``elapsed`` seconds ago.

    All sessions use the target only if its exposure would stay within the limits up to
    the deadline, whatever it does.
    """
    if rollout.share != history.share:
        history.share = rollout.share
        history.share_since = elapsed

    finding = find_regression(history, rollout.duration)
    if finding.is_regression:
        return Step(0.0, ended=True, completed=False, reason=finding.reason)

    left = rollout.duration - elapsed
    if left <= 0.0:
        reason = "too little evidence or exposure before the deadline"
        return Step(0.0, ended=True, completed=False, reason=reason)

    exposure = measure_exposure(history)
    planned = plan_exposure(exposure, limits, elapsed, left)
    if exposure.target + count_unknown(exposure, rollout.share) > planned:
        reason = "all of the allowed exposure is spent"
        return Step(0.0, ended=True, completed=False, reason=reason)

    margin = 1.0 if rollout.share >= 1.0 else RATE_MARGIN
    affordable = is_affordable(exposure, planned, rollout.share, margin * left)
    has_enough = exposure.answers >= MIN_RESPONSES
    if left <= max(COMPLETE_SECONDS, COMPLETE_PART * rollout.duration):
        if has_enough and affordable and not finding.is_suspicion:
            return Step(1.0, ended=True, completed=True, reason="target is good")

        return Step(rollout.share, reason="too little evidence or exposure")

    progress = elapsed / max(rollout.duration, 0.001)
    if progress >= FULL_AT and has_enough and affordable and not finding.is_suspicion:
        reason = f"{exposure.answers} responses without regression"
        return Step(1.0, reason=reason)

    share = plan_share(rollout, exposure, planned, limits, elapsed)
    settled = elapsed - history.share_since >= SETTLE_SECONDS
    if rollout.share > 0.0:
        share = min(share, MAX_GROWTH * rollout.share)

    if share < GROWTH * rollout.share or not (settled or rollout.share == 0.0):
        return Step(rollout.share, reason="the share may not grow")

    return Step(share, reason=f"{planned:.0f} requests to the target allowed")


def measure_exposure(history: EvidenceHistory) -> Exposure:
    """Return the requests to both versions and their rate."""
    if not history.snapshots:
        return Exposure()

    latest = history.snapshots[-1]
    target = count_sent(latest.target)
    total = target + count_sent(latest.former)
    answers = sum(one.answers for one in latest.target.values())
    mean = total / max(latest.elapsed, RATE_SECONDS)
    recent = mean
    share = 0.0
    for before in reversed(history.snapshots):
        past = latest.elapsed - before.elapsed
        if past >= RATE_SECONDS:
            gained = total - count_sent(before.target) - count_sent(before.former)
            recent = gained / past
            share = (target - count_sent(before.target)) / max(gained, 1)
            break

    return Exposure(target, total, answers, min(mean, recent), max(mean, recent), share)


def count_unknown(exposure: Exposure, share: float) -> float:
    """Return the requests to the target that are not known of yet."""
    return max(share, exposure.recent_share) * exposure.high_rate * LAG_SECONDS


def count_sent(outcomes: Mapping[str, Outcomes]) -> int:
    """Return the number of requests sent, over all kinds."""
    return sum(one.sent for one in outcomes.values())


def plan_exposure(
    exposure: Exposure, limits: ExposureLimits, elapsed: float, left: float
) -> float:
    """Return the number of requests that the target may get up to the deadline."""
    del elapsed
    total = exposure.total + exposure.low_rate * (left + LAG_SECONDS)
    return (1.0 - RESERVE_PART) * (limits.share * total + limits.slack)


def is_affordable(
    exposure: Exposure, planned: float, share: float, left: float
) -> bool:
    """Return whether the target may get all requests up to the deadline."""
    unknown = count_unknown(exposure, share)
    coming = exposure.high_rate * left
    return exposure.target + unknown + coming <= planned


def plan_share(
    rollout: RolloutState,
    exposure: Exposure,
    planned: float,
    limits: ExposureLimits,
    elapsed: float,
) -> float:
    """Return the share of sessions that spends a part of the allowed exposure."""
    first = min(FIRST_SHARE, FIRST_LIMIT * limits.share)
    if elapsed < RATE_SECONDS:
        return first

    half = GROW_AT * rollout.duration
    if elapsed < half:
        budget = EARLY_PART * planned
        share = budget / max(RATE_MARGIN * exposure.high_rate * half, 1.0)
        return min(max(share, first), LARGEST_EARLY_SHARE)

    late = (elapsed - half) / (RAMP_PART * rollout.duration)
    part = CANARY_PART + (RAMP_LIMIT - CANARY_PART) * min(late, 1.0)
    left = rollout.duration - elapsed
    budget = part * planned - exposure.target - count_unknown(exposure, rollout.share)
    coming = RATE_MARGIN * exposure.high_rate * left
    share = min(max(budget / max(coming, 1.0), 0.0), 0.9)
    return share * min(rollout.share / max(exposure.recent_share, 0.001), 1.0)
