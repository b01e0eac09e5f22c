"""Evidence on the versions of a service, collected from the counters of gateways.

Counters of one gateway process only grow. So reports may come twice, late or through
several controls: the highest counters of each process count, once.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .messages import VersionEvidence
from .outcomes import BUCKETS
from .outcomes import Outcomes
from .outcomes import SparseHistogram
from .outcomes import add_outcomes
from .outcomes import unpack_histogram
from .pace_loads import CELLS


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable


WAITING_TTL_SECONDS = 1.0
"""Seconds after which what a gateway has told of its waiting requests is outdated."""

KindKey = tuple[str, str]
"""Version and kind of request."""


@dataclass(slots=True)
class Total:
    """Sum of counters over all gateway processes."""

    sent: int = 0
    answers: int = 0
    failures: int = 0
    breaks: int = 0
    crashes: int = 0
    first_bytes: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    durations: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    abandoned: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    paces: list[int] = field(default_factory=lambda: [0] * BUCKETS)
    loaded_paces: Counter[int] = field(default_factory=Counter)


@dataclass(frozen=True, slots=True)
class Waiting:
    """Running requests of one gateway, as it last told."""

    times: SparseHistogram
    """Waits for the first byte."""
    pacing: SparseHistogram
    """Times per event of streams."""
    loaded_pacing: SparseHistogram
    """The same by the load of the engine, too."""
    at: float
    """Time at which the report was received."""


@dataclass(slots=True)
class EvidenceTable:
    """Evidence on a service's versions since the start of a roll-out."""

    counters: dict[tuple[str, int, KindKey], VersionEvidence] = field(
        default_factory=dict
    )
    """Highest counters by gateway, its process, version and kind.

    A gateway's counters start from zero when it restarts. If only the latest counters
    were summed, its former failures would be lost, and a bad version would continue for
    as long as gateways restart.
    """
    totals: dict[KindKey, Total] = field(default_factory=dict)
    waiting: dict[tuple[str, KindKey], Waiting] = field(default_factory=dict)
    """Waiting requests by gateway, version and kind."""


def record_counters(
    table: EvidenceTable,
    gateway: str,
    run: int,
    parts: Iterable[VersionEvidence],
    received_at: float,
) -> None:
    """Add what a gateway's process has counted beyond its last counters.

    ``run`` distinguishes the process from others of the gateway.
    """
    for part in parts:
        kind = (part.version, part.kind)
        waiting = Waiting(part.waiting, part.pacing, part.loaded_pacing, received_at)
        record_waiting(table, (gateway, kind), waiting)
        key = (gateway, run, kind)
        last = table.counters.get(key)
        if last is not None and count_events(part) <= count_events(last):
            continue

        table.counters[key] = part
        add_gain(table.totals.setdefault(kind, Total()), part, last)


def record_waiting(
    table: EvidenceTable, key: tuple[str, KindKey], waiting: Waiting
) -> None:
    """Replace what is known of waiting requests, unless a later report told it."""
    known = table.waiting.get(key)
    if known is not None and known.at > waiting.at:
        return

    if waiting.times or waiting.pacing:
        table.waiting[key] = waiting
    elif known is not None:
        del table.waiting[key]


def count_events(part: VersionEvidence) -> int:
    """Return how many events the counters include; it grows with each change."""
    waited = sum(count for _, count in part.first_bytes + part.abandoned + part.paces)
    return part.sent + waited + part.answers + part.crashes


def add_gain(total: Total, part: VersionEvidence, last: VersionEvidence | None) -> None:
    """Add the increase of counters since the last ones to a total."""
    add_counts(total, part, 1)
    if last is not None:
        add_counts(total, last, -1)


def add_counts(total: Total, part: VersionEvidence, sign: int) -> None:
    """Add counters to a total, or subtract them."""
    total.sent += sign * part.sent
    total.answers += sign * part.answers
    total.failures += sign * part.failures
    total.breaks += sign * part.breaks
    total.crashes += sign * part.crashes
    for held, packed in (
        (total.first_bytes, part.first_bytes),
        (total.durations, part.durations),
        (total.abandoned, part.abandoned),
        (total.paces, part.paces),
    ):
        for bucket, count in packed:
            if 0 <= bucket < BUCKETS:
                held[bucket] += sign * count

    for cell, count in part.loaded_paces:
        if 0 <= cell < CELLS:
            total.loaded_paces[cell] += sign * count


def split_evidence(
    table: EvidenceTable, target: str, now: float
) -> tuple[dict[str, Outcomes], dict[str, Outcomes]]:
    """Return the evidence on the target, and on all other versions, by kind."""
    drop_outdated(table, now)
    waiting = sum_running(table, lambda one: one.times)
    pacing = sum_running(table, lambda one: one.pacing)
    loaded = sum_running(table, lambda one: one.loaded_pacing)
    ours: dict[str, Outcomes] = {}
    others: dict[str, Outcomes] = {}
    for (version, kind), total in table.totals.items():
        key = (version, kind)
        found = make_outcomes(
            total, waiting.get(key, {}), pacing.get(key, {}), loaded.get(key, {})
        )
        if version == target:
            ours[kind] = found
        else:
            others[kind] = add_outcomes([others.get(kind, Outcomes()), found])

    return ours, others


def drop_outdated(table: EvidenceTable, now: float) -> None:
    """Drop what gateways told of their running requests some time ago."""
    table.waiting = {
        key: one
        for key, one in table.waiting.items()
        if now - one.at <= WAITING_TTL_SECONDS
    }


def sum_running(
    table: EvidenceTable, choose: Callable[[Waiting], SparseHistogram]
) -> dict[KindKey, dict[int, int]]:
    """Return the running requests of all gateways by bucket of a chosen time."""
    sums: dict[KindKey, dict[int, int]] = {}
    for (_, kind), one in table.waiting.items():
        counts = sums.setdefault(kind, {})
        for bucket, count in choose(one):
            counts[bucket] = counts.get(bucket, 0) + count

    return sums


def make_outcomes(
    total: Total,
    waiting: dict[int, int],
    pacing: dict[int, int],
    loaded_pacing: dict[int, int],
) -> Outcomes:
    """Return a total as outcomes."""
    return Outcomes(
        sent=total.sent,
        answers=total.answers,
        failures=total.failures,
        breaks=total.breaks,
        crashes=total.crashes,
        first_bytes=tuple(total.first_bytes),
        durations=tuple(total.durations),
        abandoned=tuple(total.abandoned),
        waiting=unpack_histogram(waiting),
        paces=tuple(total.paces),
        pacing=unpack_histogram(pacing),
        loaded_paces=tuple(sorted(total.loaded_paces.items())),
        loaded_pacing=tuple(
            sorted(
                (cell, count)
                for cell, count in loaded_pacing.items()
                if 0 <= cell < CELLS
            )
        ),
    )
