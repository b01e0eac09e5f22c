"""How a roll-out goes on: its share, its success, its end.

Bad versions are to be stopped while few requests have met them, good ones to be
completed in time. Times are seconds on a steady clock.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from xxhash import xxh32_intdigest


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Sequence

    from .messages import RolloutState
    from .messages import VersionEvidence


MAX_PLACE = 0xFFFFFFFF
FIRST_SHARE = 0.08
"""Share of sessions in the first half, about half of the exposure usually allowed."""
SECOND_SHARE = 0.3
"""Share after the first half, while the version shows how it does under more load."""
KEEPING_SHARE = 0.2
"""Share from which on sessions under way move too: the second half of a move."""
GROW_AT = 0.5
"""Part of the duration after which sessions may change their version."""
FULL_AT = 0.6
"""Part of the duration after which all sessions move, if the version does well."""
END_AT = 0.85
"""Part of the duration after which a move that does well is completed; streams that
still run on the former version have had a quarter of the duration to end."""
FEW_ANSWERS = 6
"""Answers below which a version is not judged good."""
FAILURES_STOP = 4
"""Failures of the target after which it may be judged bad."""
FAILURE_MARGIN = 0.15
"""By how much the target's share of failures may exceed the former version's: bad
versions fail a third of their requests and more, and few answers scatter widely."""
SLOW_FACTOR = 4.0
"""Times the former version's mean time to the first byte that is judged bad."""
SLOW_FLOOR = 0.3
"""Seconds below which a mean time to the first byte is never judged bad."""


@dataclass(frozen=True, slots=True)
class Evidence:
    """Answers of one version, summed over all gateways since the order."""

    answers: int = 0
    failures: int = 0
    seconds: float = 0.0


@dataclass(slots=True)
class EvidenceTable:
    """Evidence on a service's versions since a move began.

    Failure: a gateway restarts, and its counters begin anew. Were only the latest
    counters summed, the failures that it has seen would be forgotten, and a bad version
    would go on for as long as gateways restart.
    """

    counted: dict[tuple[str, str], Evidence] = field(default_factory=dict)
    """Counters by gateway and version, as they were counted last."""
    totals: dict[str, Evidence] = field(default_factory=dict)
    """By version."""


@dataclass(frozen=True, slots=True)
class Step:
    """What to do next with a move."""

    share: float
    ended: bool = False
    completed: bool = False
    reason: str = ""


def hash_share(key: str) -> float:
    """Return a number from 0 to 1 on which all gateways agree for a session."""
    return share_of(xxh32_intdigest(key.encode()))


def hash_place(rollout: RolloutState, session: str) -> int:
    """Return a session's place in a move, on which all gateways agree."""
    return xxh32_intdigest(f"{rollout.ordered_at}/{session}".encode())


def share_of(place: int) -> float:
    """Return the share of sessions whose places come before ``place``."""
    return place / MAX_PLACE


def add_evidence(parts: Iterable[VersionEvidence | Evidence]) -> Evidence:
    """Sum evidence."""
    answers = failures = 0
    seconds = 0.0
    for part in parts:
        answers += part.answers
        failures += part.failures
        seconds += part.seconds

    return Evidence(answers, failures, seconds)


def subtract_evidence(after: Evidence, before: Evidence) -> Evidence:
    """Return what came since ``before``; counters that began anew count whole."""
    if after.answers < before.answers:
        return after

    return Evidence(
        after.answers - before.answers,
        max(after.failures - before.failures, 0),
        max(after.seconds - before.seconds, 0.0),
    )


def count_report(
    table: EvidenceTable, gateway: str, parts: Sequence[VersionEvidence]
) -> None:
    """Add what a gateway's counters of a service gained since its last report.

    Counters that are missing began anew: the process has restarted.
    """
    present = {part.version for part in parts}
    for key in [key for key in table.counted if key[0] == gateway]:
        if key[1] not in present:
            del table.counted[key]

    for part in parts:
        key = (gateway, part.version)
        latest = add_evidence([part])
        gained = subtract_evidence(latest, table.counted.get(key, Evidence()))
        table.counted[key] = latest
        total = table.totals.get(part.version, Evidence())
        table.totals[part.version] = add_evidence([total, gained])


def split_evidence(table: EvidenceTable, target: str) -> tuple[Evidence, Evidence]:
    """Return the evidence on the target and on all other versions."""
    others = [total for version, total in table.totals.items() if version != target]
    return table.totals.get(target, Evidence()), add_evidence(others)


def is_bad(target: Evidence, former: Evidence) -> str:
    """Return why the target is bad, or the empty string."""
    if target.failures >= FAILURES_STOP:
        rate = target.failures / max(target.answers, 1)
        usual = former.failures / max(former.answers, 1)
        if rate > usual + FAILURE_MARGIN:
            return f"{target.failures} of {target.answers} answers failed"

    good = target.answers - target.failures
    if good >= FEW_ANSWERS and former.answers > 0:
        mean = target.seconds / good
        usual = former.seconds / max(former.answers - former.failures, 1)
        if mean > max(SLOW_FACTOR * usual, SLOW_FLOOR):
            return f"first byte after {mean:.2f} s, {usual:.2f} s before"

    return ""


def step_rollout(
    rollout: RolloutState, target: Evidence, former: Evidence, elapsed: float
) -> Step:
    """Return the next step of a move that began ``elapsed`` seconds ago."""
    bad = is_bad(target, former)
    if bad:
        return Step(0.0, ended=True, completed=False, reason=bad)

    part = elapsed / max(rollout.duration, 0.001)
    enough = target.answers >= FEW_ANSWERS
    if part >= END_AT and rollout.share >= 1.0 and enough:
        return Step(1.0, ended=True, completed=True, reason="it did well")

    if part >= 1.0:
        reason = "too few answers to tell before the deadline"
        return Step(0.0, ended=True, completed=False, reason=reason)

    if not enough or part < GROW_AT:
        return Step(max(FIRST_SHARE, rollout.share), reason="first sessions")

    share = 1.0 if part >= FULL_AT else SECOND_SHARE
    return Step(max(share, rollout.share), reason=f"{target.answers} answers did well")
