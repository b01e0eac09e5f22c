"""Faults that a stand-in engine makes on its connections."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec


if TYPE_CHECKING:
    from collections.abc import Sequence


class EngineFaults(msgspec.Struct, forbid_unknown_fields=True, kw_only=True):
    """Faults of the next connections; ``times`` bounds how many, None is no bound."""

    times: int | None = None
    drop_after: int | None = None
    """Cut the connection after this many events (or before a whole answer)."""
    silent_after: int | None = None
    """Write nothing more after this many events, and keep the connection open."""
    answer_as: str = ""
    """Answer under this request id in place of the right one."""
    duplicate_every: int = 0
    """Send each event whose number this divides twice; 0 sends none twice."""
    reorder_every: int = 0
    """Swap each event whose number this divides with the next one; 0 swaps none."""
    refuse: bool = False
    """Answer 503 before anything runs."""


NO_FAULTS = EngineFaults()


def take_faults(faults: EngineFaults) -> EngineFaults:
    """Return the faults of one new connection and count it."""
    if faults.times is None:
        return faults

    if faults.times <= 0:
        return NO_FAULTS

    faults.times -= 1
    return faults


def arrange_events(
    faults: EngineFaults, events: Sequence[bytes], start: int, *, ended: bool
) -> tuple[list[bytes], int]:
    """Return the events to write, and up to which number they account for.

    ``events`` holds all from number 1; those after ``start`` are due.
    """
    out: list[bytes] = []
    number = start + 1
    while number <= len(events):
        swap = faults.reorder_every > 0 and number % faults.reorder_every == 0
        if swap and number == len(events) and not ended:
            break

        if swap and number < len(events):
            out += [events[number], events[number - 1]]
            number += 2
            continue

        out.append(events[number - 1])
        if faults.duplicate_every > 0 and number % faults.duplicate_every == 0:
            out.append(events[number - 1])

        number += 1

    return out, number - 1
