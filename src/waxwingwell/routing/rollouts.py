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

    from .evidence_history import EvidenceHistory
    from .exposure import ExposureLimits
    from .fleet import Upstream
    from .messages import RolloutState
    from .outcomes import Outcomes
    from .regressions import Finding


MAX_HASH = 0xFFFFFFFF
FIRST_SHARE = 0.08
"""Share of sessions at the start, before the rate of requests is known."""
FIRST_LIMIT = 0.6
"""Largest first share, as a part of the share that the exposure is limited to."""
MIGRATION_SHARE = 0.2
"""Share from which active sessions change their version too; separates the first half
of a roll-out from the second."""
LARGEST_EARLY_SHARE = 0.19
"""Largest share in the first half, below the share of migration."""
LARGEST_SHARE = 0.9
"""Largest share before all sessions use the target."""
GROW_AT = 0.5
"""Part of the duration after which sessions may change their version."""
FULL_AT = 0.6
"""Part of the duration after which all sessions may use the target."""
EARLY_PART = 0.2
"""Part of the allowed exposure to spend in the first half."""
CANARY_PART = 0.4
"""Part of the allowed exposure to spend from the second half on, at its start."""
RAMP_LIMIT = 0.65
"""The same part at the end of the ramp. The rest is spent on all sessions, so that
streams on the former version end before the roll-out is completed."""
RAMP_PART = 0.2
"""Part of the duration from the second half on in which that part grows."""
MIN_GROWTH = 1.25
"""Least factor by which a share grows, so that steps are few."""
MAX_GROWTH = 2.0
"""Largest factor by which a share grows at once, as sessions differ in their number of
requests."""
SETTLE_SECONDS = 1.25
"""Seconds after which the requests of a grown share are known."""
LAST_GROWTH_SECONDS = 2.5
"""Seconds before the deadline from which only all sessions at once are added, as the
evidence of another share would come too late."""
RATE_SECONDS = 1.5
"""Seconds over which the recent rate of requests is measured."""
MAX_BURST = 3.0
"""Largest recent rate, as a multiple of the mean. Evidence that arrives late, all at
once, is no burst."""
RATE_MARGIN = 2.0
"""Factor by which the rate of requests may rise while all sessions use the target, as
in a burst."""
RAMP_MARGIN = 1.2
"""The same factor for a smaller share."""
LAG_SECONDS = 0.8
"""Seconds that evidence takes from a gateway to a decision, and a decision to the
gateways."""
RESERVE_PART = 0.05
"""Part of the allowed exposure that is never planned with, for counts that are lost
with their gateway."""
COMPLETE_SECONDS = 0.5
"""Least seconds before the deadline at which a roll-out is completed."""
LONGEST_COMPLETE_SECONDS = 1.5
"""Most seconds before the deadline at which a roll-out is completed, as it can't be
reverted after that."""
COMPLETE_PART = 0.04
"""Least part of the duration before the deadline at which it is completed."""
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
    urgent: bool = False
    """Whether it must not wait for evidence that may be missing."""


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

    All sessions use the target only if its exposure will stay within the limits up to
    the deadline, whatever it does.
    """
    record_share(history, rollout.share, elapsed)
    finding = find_regression(history, rollout.duration)
    if finding.is_regression:
        return make_reversion(finding.reason)

    exposure = measure_exposure(history)
    is_proven = not finding.is_suspicion and not finding.is_unproven
    is_good = exposure.answers >= MIN_RESPONSES and is_proven
    left = rollout.duration - elapsed
    if left <= 0.0 and is_good and rollout.share >= 1.0:
        return make_completion("target is good, found after the deadline")

    if left <= 0.0:
        reason = f"{explain_delay(exposure, finding)} before the deadline"
        return make_reversion(reason, urgent=False)

    planned = plan_exposure(exposure, limits, left)
    if exposure.target + count_unknown(exposure, rollout.share) > planned:
        return make_reversion("all of the allowed exposure is spent")

    is_ready = is_good and is_affordable(exposure, planned, rollout.share, left)
    if left <= find_completion_seconds(rollout.duration):
        if is_ready:
            return make_completion("target is good")

        return Step(rollout.share, reason=explain_delay(exposure, finding))

    if is_ready and elapsed >= FULL_AT * rollout.duration:
        return Step(1.0, reason=f"{exposure.answers} responses without regression")

    if finding.is_suspicion:
        return Step(rollout.share, reason=f"no certainty about {finding.reason}")

    share = plan_share(rollout, exposure, planned, limits, elapsed)
    if not may_grow(history, share, left, elapsed):
        return Step(rollout.share, reason="the share may not grow")

    return Step(share, reason=f"{planned:.0f} requests to the target allowed")


def find_completion_seconds(duration: float) -> float:
    """Return the seconds before the deadline at which a roll-out is completed."""
    part = min(COMPLETE_PART * duration, LONGEST_COMPLETE_SECONDS)
    return max(COMPLETE_SECONDS, part)


def explain_delay(exposure: Exposure, finding: Finding) -> str:
    """Return why a roll-out can't be completed yet."""
    if exposure.answers < MIN_RESPONSES:
        return "too few responses"

    if finding.is_suspicion:
        return f"no certainty about {finding.reason}"

    if finding.is_unproven:
        return f"{finding.streams} streams don't show that they are not slower"

    return "too little exposure left for all sessions"


def make_completion(reason: str) -> Step:
    """Return the step that ends a roll-out with the target."""
    return Step(1.0, ended=True, completed=True, reason=reason)


def make_reversion(reason: str, *, urgent: bool = True) -> Step:
    """Return the step that ends a roll-out with the former version."""
    return Step(0.0, ended=True, completed=False, reason=reason, urgent=urgent)


def record_share(history: EvidenceHistory, share: float, elapsed: float) -> None:
    """Record since when a share is in use."""
    if share != history.share:
        history.share = share
        history.share_since = elapsed


def may_grow(
    history: EvidenceHistory, share: float, left: float, elapsed: float
) -> bool:
    """Return whether a share may grow to ``share``.

    The requests of the present share have to be known before.
    """
    if history.share <= 0.0:
        return True

    settled = elapsed - history.share_since >= SETTLE_SECONDS
    is_useful = share >= MIN_GROWTH * history.share and left > LAST_GROWTH_SECONDS
    return settled and is_useful


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
            recent = min(gained / past, MAX_BURST * mean)
            share = (target - count_sent(before.target)) / max(gained, 1)
            break

    return Exposure(target, total, answers, min(mean, recent), max(mean, recent), share)


def count_unknown(exposure: Exposure, share: float) -> float:
    """Return the requests to the target that are not known of yet."""
    return max(share, exposure.recent_share) * exposure.high_rate * LAG_SECONDS


def count_sent(outcomes: Mapping[str, Outcomes]) -> int:
    """Return the number of requests sent, over all kinds."""
    return sum(one.sent for one in outcomes.values())


def plan_exposure(exposure: Exposure, limits: ExposureLimits, left: float) -> float:
    """Return the number of requests that the target may get up to the deadline."""
    total = exposure.total + exposure.low_rate * (left + LAG_SECONDS)
    return (1.0 - RESERVE_PART) * (limits.share * total + limits.slack)


def is_affordable(
    exposure: Exposure, planned: float, share: float, left: float
) -> bool:
    """Return whether the target may get all requests up to the deadline."""
    margin = 1.0 if share >= 1.0 else RATE_MARGIN
    coming = margin * exposure.high_rate * left
    return exposure.target + count_unknown(exposure, share) + coming <= planned


def plan_share(
    rollout: RolloutState,
    exposure: Exposure,
    planned: float,
    limits: ExposureLimits,
    elapsed: float,
) -> float:
    """Return the share of sessions that spends a part of the allowed exposure."""
    first = min(FIRST_SHARE, FIRST_LIMIT * limits.share)
    if elapsed < RATE_SECONDS or rollout.share <= 0.0:
        return first

    largest = MAX_GROWTH * rollout.share
    half = GROW_AT * rollout.duration
    if elapsed < half:
        share = EARLY_PART * planned / max(exposure.high_rate * half, 1.0)
        return min(max(share, first), LARGEST_EARLY_SHARE, largest)

    ramp = min((elapsed - half) / (RAMP_PART * rollout.duration), 1.0)
    part = CANARY_PART + (RAMP_LIMIT - CANARY_PART) * ramp
    unknown = count_unknown(exposure, rollout.share)
    budget = max(part * planned - exposure.target - unknown, 0.0)
    coming = RAMP_MARGIN * exposure.high_rate * (rollout.duration - elapsed)
    share = min(budget / max(coming, 1.0), LARGEST_SHARE)
    excess = max(exposure.recent_share / rollout.share, 1.0)
    return min(share / excess, largest)
