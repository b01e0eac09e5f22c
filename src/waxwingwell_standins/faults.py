"""Faults that a stand-in engine injects into its connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec


if TYPE_CHECKING:
    from collections.abc import Sequence


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults to inject into the next ``times`` connections; None means all of them."""

    times: int | None = None
    drop_after: int | None = None
    """Abort the connection after this many events, or before a complete response."""
    silent_after: int | None = None
    """Send nothing after this many events, and keep the connection open."""
    answer_as: str = ""
    """Respond with this request id instead of the actual one."""
    duplicate_every: int = 0
    """Send every n-th event twice; 0 duplicates none."""
    reorder_every: int = 0
    """Swap every n-th event with its successor; 0 swaps none."""
    refuse: bool = False
    """Respond with 503 before anything runs."""


NO_FAULTS = EngineFaults()


def next_faults(faults: EngineFaults) -> EngineFaults:
    """Return the faults for a new connection and count it against ``times``."""
    if faults.times is None:
        return faults

    if faults.times <= 0:
        return NO_FAULTS

    faults.times -= 1
    return faults


def select_events(
    faults: EngineFaults, events: Sequence[bytes], start: int, *, ended: bool
) -> tuple[list[bytes], int]:
    """Return the events to write and the number of the last event they cover.

    ``events`` holds all events from number 1; those after ``start`` are due.
    """
    selected: list[bytes] = []
    number = start + 1
    while number <= len(events):
        swap = faults.reorder_every > 0 and number % faults.reorder_every == 0
        if swap and number == len(events) and not ended:
            break

        if swap and number < len(events):
            selected += [events[number], events[number - 1]]
            number += 2
            continue

        selected.append(events[number - 1])
        if faults.duplicate_every > 0 and number % faults.duplicate_every == 0:
            selected.append(events[number - 1])

        number += 1

    return selected, number - 1
