"""Retries that a control had counted before it ended.

The others keep its last totals until the window of the budget is over, and tell
controls that have just started; so does its checkpoint. Gateways that were attached to
it and still run report the same retries to another control; what they had reported
before is subtracted.

The requests of gateways that have ended still allow retries while they are within the
window. They are kept beside the others' as former requests, and leave it evenly.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import TYPE_CHECKING

import msgspec

from .messages import FormerCounts
from .messages import LostCounts
from .messages import ServiceRepeats
from .retries import estimate_unreported
from .retries import sum_retries


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Iterator


@dataclass(frozen=True, slots=True)
class LostEntry:
    """Last totals of a control that has ended."""

    repeats: tuple[ServiceRepeats, ...]
    at: float
    """Time at which they were received."""
    gateways: int = 0
    """Gateways in these totals."""
    counted_at: float = 0.0
    """Time at which they were counted, by that control's clock."""
    unseen: float = 0.0
    """Seconds after that in which its gateways may have sent more, beyond the usual
    time between two reports."""


@dataclass(slots=True)
class LostTable:
    """Controls that have ended, by name and process."""

    entries: dict[tuple[str, int], LostEntry] = field(default_factory=dict)


@dataclass(slots=True)
class FormerTable:
    """What a gateway had reported over the last link that it lost."""

    counts: FormerCounts | None = None
    at: float = -math.inf
    """Time at which the loss was found."""


def find_former(
    table: FormerTable, window: float, now: float
) -> FormerCounts | msgspec.UnsetType:
    """Return the counts for a report; unset without any that are in the window."""
    if table.counts is None or now - table.at > window:
        return msgspec.UNSET

    return table.counts


def close_counts(parts: Iterable[ServiceRepeats]) -> tuple[ServiceRepeats, ...]:
    """Return counts as those of processes that have ended."""
    return tuple(
        ServiceRepeats(
            one.service, 0, one.repeats, one.drawn, former=one.requests + one.former
        )
        for one in parts
        if one.repeats or one.requests or one.former
    )


def record_lost(table: LostTable, control: str, run: int, entry: LostEntry) -> None:
    """Record the last totals of a control that has ended."""
    if entry.repeats:
        table.entries[control, run] = entry


def receive_lost(
    table: LostTable,
    told: Iterable[LostCounts],
    now: float,
    *,
    is_running: Callable[[str, int], bool],
) -> None:
    """Store what another control tells of controls that have ended.

    Of two counts of the same process the later one is kept.
    """
    for one in told:
        key = one.control, one.run
        known = table.entries.get(key)
        is_later = known is None or one.counted_at > known.counted_at
        if is_later and not is_running(*key):
            table.entries[key] = LostEntry(
                one.repeats, now - one.age, one.gateways, one.counted_at, one.unseen
            )


def drop_lost(table: LostTable, before: float) -> None:
    """Drop what was received before a time."""
    table.entries = {
        key: entry for key, entry in table.entries.items() if entry.at >= before
    }


def list_lost(table: LostTable, now: float) -> tuple[LostCounts, ...]:
    """Return the entries for a message."""
    return tuple(
        LostCounts(
            control,
            run,
            now - entry.at,
            entry.repeats,
            entry.gateways,
            entry.counted_at,
            entry.unseen,
        )
        for (control, run), entry in table.entries.items()
    )


def sum_former(counts: Iterable[FormerCounts]) -> tuple[FormerCounts, ...]:
    """Return the sums, by control, of what gateways had reported to former controls."""
    by_control: dict[str, list[ServiceRepeats]] = {}
    for one in counts:
        by_control.setdefault(one.control, []).extend(one.repeats)

    return tuple(
        FormerCounts(control, sum_retries(parts))
        for control, parts in by_control.items()
    )


def count_lost_gateways(table: LostTable) -> int:
    """Return the gateways that were attached to controls that have ended."""
    return sum(entry.gateways for entry in table.entries.values())


def decay_former(part: ServiceRepeats, age: float, window: float) -> ServiceRepeats:
    """Return counts with those former requests that are still within the window.

    ``age`` is the seconds since they were counted.
    """
    kept = max(1.0 - age / window, 0.0)
    return msgspec.structs.replace(part, former=int(part.former * kept))


def list_missing(
    table: LostTable, former: Iterable[FormerCounts], window: float, now: float
) -> Iterator[ServiceRepeats]:
    """Yield the counts of ended controls that no running gateway reports any more.

    Requests count as former only where none of a control's gateways has been heard
    since: others may have moved to another control before they ended, which has counted
    them as well.
    """
    returned = {
        (one.control, part.service): part
        for one in sum_former(former)
        for part in one.repeats
    }
    drop_returned(table, {control for control, _ in returned})
    for (control, _), entry in table.entries.items():
        for part in entry.repeats:
            key = control, part.service
            back = returned.get(key, ServiceRepeats(part.service, 0, 0))
            repeats = min(part.repeats, back.repeats)
            drawn = min(part.drawn, back.drawn)
            returned[key] = ServiceRepeats(
                part.service, 0, back.repeats - repeats, back.drawn - drawn
            )
            unseen = estimate_unreported(part.former, entry.unseen, window)
            missing = ServiceRepeats(
                part.service,
                0,
                part.repeats - repeats + math.ceil(unseen),
                part.drawn - drawn + unseen,
                former=part.former,
            )
            yield decay_former(missing, now - entry.at, window)


def drop_returned(table: LostTable, controls: Collection[str]) -> None:
    """Drop the former requests of controls whose gateways still run."""
    for key, entry in table.entries.items():
        if key[0] in controls:
            table.entries[key] = replace(entry, repeats=drop_former(entry.repeats))


def drop_former(parts: Iterable[ServiceRepeats]) -> tuple[ServiceRepeats, ...]:
    """Return counts without the requests of processes that have ended."""
    return tuple(msgspec.structs.replace(one, former=0) for one in parts)
