"""Checks of roll-outs: limits on bad versions, and ends that are kept.

The limits hold for requests that a gateway in touch has sent: neither it nor its links
were disturbed within ``CONTACT_SECONDS``, and no registry was stopped or started.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from waxwingwell_standin import wire

from .records import sum_stalls


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable
    from collections.abc import Iterator
    from collections.abc import Sequence

    from .records import Arrival
    from .records import CallerRequest
    from .records import Journal
    from .rollout_records import Disturbance
    from .rollout_records import RolloutRecord


FOREVER = float("inf")
MAX_MISSED_PART = 0.01
"""Largest part of good versions that may miss their deadline."""
MIN_GOOD = 100
"""Good versions from which on that part is checked."""


@dataclass(frozen=True, slots=True, kw_only=True)
class Exposure:
    """Requests that a version got while its exposure was limited."""

    sent: int
    allowed: float


@dataclass(frozen=True, slots=True, kw_only=True)
class RolloutCounts:
    """Ends of roll-outs that are no violations by themselves."""

    good: int = 0
    good_missed: int = 0
    """Good versions that were not completed by the deadline."""
    bad: int = 0
    bad_completed: int = 0
    cut_at_end: int = 0
    """Streams cut off whose former upstream stopped at the completion."""
    cut_otherwise: int = 0


def list_core_events(disturbances: Iterable[Disturbance]) -> list[float]:
    """Return the times at which registries stopped or started."""
    core = [one for one in disturbances if one.is_core]
    return sorted([one.began_at for one in core] + [one.ended_at for one in core])


def is_in_touch(
    disturbances: Sequence[Disturbance], gateway: str, since: float, until: float
) -> bool:
    """Return whether time limits hold for a gateway throughout a time span."""
    start = since - wire.CONTACT_SECONDS
    if any(start <= at <= until for at in list_core_events(disturbances)):
        return False

    return not any(
        one.address == gateway and one.began_at <= until and one.ended_at >= start
        for one in disturbances
    )


def list_arrivals(
    journal: Journal, upstreams: frozenset[str]
) -> Iterator[tuple[Arrival, CallerRequest]]:
    """Return what gateways in touch sent to upstreams, with their callers' requests."""
    requests = {one.request_id: one for one in journal.requests}
    for arrival in journal.arrivals:
        request = requests.get(arrival.request_id)
        if request is None or arrival.upstream[0] not in upstreams:
            continue

        if is_in_touch(
            journal.disturbances, request.gateway, request.sent_at, arrival.at
        ):
            yield arrival, request


def measure_exposure(journal: Journal, record: RolloutRecord) -> Exposure:
    """Return what a version got between the order and the deadline."""
    upstreams = record.former_upstreams | record.target_upstreams
    total = sum(
        one.upstream[0] in upstreams and is_during(record, one.at)
        for one in journal.arrivals
    )
    sent = sum(
        is_during(record, one.at)
        for one, _ in list_arrivals(journal, record.target_upstreams)
    )
    allowed = wire.EXPOSURE_SHARE * total + wire.EXPOSURE_SLACK
    return Exposure(sent=sent, allowed=allowed)


def check_exposure(journal: Journal) -> Iterator[str]:
    """Check that a bad version gets a small share of its service's requests."""
    for record in journal.rollouts:
        exposure = measure_exposure(journal, record)
        if record.flaw and exposure.sent > exposure.allowed:
            yield (
                f"{describe(record)}: got {exposure.sent} requests of "
                f"{exposure.allowed:.1f} allowed by the deadline"
            )


def check_rollback(journal: Journal) -> Iterator[str]:
    """Check that a version gets no request too long after its bad responses.

    Counted are responses since the core was last unstable. While the soak stands still,
    gateways wait for responses that have been recorded.
    """
    core_events = list_core_events(journal.disturbances)
    for record in journal.rollouts:
        bad = sorted(
            one.at
            for one in journal.bad_responses
            if one.upstream in record.target_upstreams
        )
        late = []
        for arrival, request in list_arrivals(journal, record.target_upstreams):
            reached_at = find_last_bad(bad, core_events, arrival.at)
            delay = find_delay(journal, reached_at, request.sent_at)
            if delay > wire.ROLLBACK_SECONDS:
                late.append(delay)

        if record.flaw and late:
            yield (
                f"{describe(record)}: got {len(late)} requests sent up to "
                f"{max(late):.2f} s after its "
                f"{wire.MAX_BAD_RESPONSES}th bad response"
            )


def find_last_bad(bad: list[float], core_events: list[float], now: float) -> float:
    """Return the time of the bad response that a version may not exceed."""
    events = [at for at in core_events if at <= now]
    since = max(events) + wire.CONTACT_SECONDS if events else 0.0
    counted = [at for at in bad if at >= since][: wire.MAX_BAD_RESPONSES]
    return counted[-1] if len(counted) == wire.MAX_BAD_RESPONSES else FOREVER


def find_delay(journal: Journal, since: float, until: float) -> float:
    """Return the seconds between two times in which the soak did not stand still."""
    return until - since - sum_stalls(journal, since, until)


def check_reverted(journal: Journal) -> Iterator[str]:
    """Check that nothing is sent to a version that is known to be rolled back."""
    for record in journal.rollouts:
        delays = [
            find_delay(journal, record.reverted_at, request.sent_at)
            for _, request in list_arrivals(journal, record.target_upstreams)
        ]
        late = [one for one in delays if one > wire.PROPAGATION_SECONDS]
        if late:
            yield (
                f"{describe(record)}: got {len(late)} requests sent up to "
                f"{max(late):.2f} s after it was reported as reverted"
            )


def check_kept_states(journal: Journal) -> Iterator[str]:
    """Check that no acknowledged roll-out and no reported end is forgotten."""
    for record in journal.rollouts:
        for reading in record.readings:
            if (
                reading.sent_at > record.acknowledged_at
                and reading.target != record.target
            ):
                yield f"{describe(record)}: forgotten, {reading.target!r} is reported"

            ended = find_end(record, reading.sent_at)
            if ended and (reading.state, reading.target) != (ended, record.target):
                yield f"{describe(record)}: {reading.state!r} after it was {ended}"


def find_end(record: RolloutRecord, now: float) -> str:
    """Return the end that the operator knew of by now, or the empty string."""
    if record.completed_at < now:
        return "completed"

    return "reverted" if record.reverted_at < now else ""


def count_ends(journal: Journal) -> RolloutCounts:
    """Return the ends of a run's roll-outs that were acknowledged."""
    records = [one for one in journal.rollouts if one.acknowledged_at < FOREVER]
    good = [one for one in records if not one.flaw]
    missed = [one for one in good if is_missed(one)]
    bad = [one for one in records if one.flaw]
    cuts = [cut for one in journal.rollouts for cut in list_cut_streams(journal, one)]
    return RolloutCounts(
        good=len(good),
        good_missed=len(missed),
        bad=len(bad),
        bad_completed=sum(one.completed_at < FOREVER for one in bad),
        cut_at_end=sum(cuts),
        cut_otherwise=len(cuts) - sum(cuts),
    )


def is_missed(record: RolloutRecord) -> bool:
    """Return whether a version was not completed by its deadline.

    It is due in time after the order that was acknowledged. An end that the operator
    reads later was in time unless a control that was asked after the deadline still
    reported the roll-out as in progress.
    """
    due_at = record.sent_at + record.duration
    return record.completed_at == FOREVER or any(
        one.sent_at > due_at and one.state == "in_progress" for one in record.readings
    )


def list_cut_streams(journal: Journal, record: RolloutRecord) -> Iterator[bool]:
    """Return for each stream cut off whether the completion stopped its upstream.

    Only gateways in touch count, and no roll-out in which upstreams crash.
    """
    if record.trouble == "crashes":
        return

    upstreams = record.former_upstreams | record.target_upstreams
    runs = [one for one in journal.runs if one.upstream in upstreams]
    sent = {one.request_id for one in runs}
    stopped = {
        one.request_id
        for one in runs
        if one.upstream in record.former_upstreams
        and one.at < record.completed_at <= one.ended_at
    }
    for request in journal.requests:
        if request.kind != "stream" or request.complete or request.status != 200:
            continue

        if request.request_id not in sent or not is_during(record, request.ended_at):
            continue

        if is_in_touch(
            journal.disturbances, request.gateway, request.sent_at, request.ended_at
        ):
            yield request.request_id in stopped


def is_during(record: RolloutRecord, at: float) -> bool:
    """Return whether a time is between the order and the deadline of a roll-out."""
    return record.ordered_at <= at <= record.deadline


def add_counts(parts: Iterable[RolloutCounts]) -> RolloutCounts:
    """Return the sum of the counts of several runs."""
    listed = list(parts)

    def add(pick: Callable[[RolloutCounts], int]) -> int:
        return sum(pick(one) for one in listed)

    return RolloutCounts(
        good=add(lambda one: one.good),
        good_missed=add(lambda one: one.good_missed),
        bad=add(lambda one: one.bad),
        bad_completed=add(lambda one: one.bad_completed),
        cut_at_end=add(lambda one: one.cut_at_end),
        cut_otherwise=add(lambda one: one.cut_otherwise),
    )


def misses_too_many(counts: RolloutCounts) -> bool:
    """Return whether too many of many good versions missed their deadline."""
    return (
        counts.good >= MIN_GOOD and counts.good_missed > MAX_MISSED_PART * counts.good
    )


def describe_counts(counts: RolloutCounts) -> str:
    """Describe the ends of roll-outs."""
    return (
        f"{counts.good_missed} of {counts.good} good versions not completed in time, "
        f"{counts.bad_completed} of {counts.bad} bad ones completed; streams cut: "
        f"{counts.cut_at_end} as their upstream stopped at the completion, "
        f"{counts.cut_otherwise} others"
    )


def describe(record: RolloutRecord) -> str:
    """Describe a roll-out."""
    flaw = record.flaw or "good"
    return f"{record.service} {record.target} ({flaw}, {record.trouble})"


def describe_end(journal: Journal, record: RolloutRecord) -> str:
    """Describe a roll-out, its end and its exposure."""
    exposure = measure_exposure(journal, record)
    ended_at = min(record.completed_at, record.reverted_at)
    bad = sum(one.upstream in record.target_upstreams for one in journal.bad_responses)
    return (
        f"{describe(record)}: {find_end(record, FOREVER) or 'not ended'} after "
        f"{ended_at - record.ordered_at:.1f} of {record.duration} s, "
        f"{exposure.sent} requests by the deadline, {bad} bad responses, a bad version "
        f"may get {exposure.allowed:.0f}"
    )
