"""Trials of quarantined prompt blocks.

A quarantine that is wrong would never end, as no request with its blocks reaches an
upstream. One control lets one gateway send a single request, each time after a longer
pause. If its response lives, the blocks are cleared. A quarantined request gets no
trial, as it has ended as many upstreams as it may.
"""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

from .hashes import is_content
from .messages import TrialState


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable

    from .quarantine import QuarantineTable


FIRST_TRIAL_SECONDS = 15.0
"""Seconds from the last crash to the first trial."""
TRIAL_FACTOR = 8.0
"""Factor by which each pause is longer than the one before."""
MAX_TRIALS = 2
"""Trials of a block: each one may end an upstream."""
VALID_SECONDS = 5.0
"""Seconds for which the gateway may use a trial that it was granted."""


@dataclass(frozen=True, slots=True)
class Trial:
    """The last trial of a quarantined block."""

    number: int
    gateway: str
    """The only gateway that may send a request."""
    granted_at: float


@dataclass(slots=True)
class TrialTable:
    """The last trials of quarantined groups, by the first block of a group."""

    trials: dict[int, Trial] = field(default_factory=dict)
    used: dict[int, int] = field(default_factory=dict)
    """Numbers of the trials that this gateway has used, by block."""


def may_grant(
    trials: TrialTable, quarantine: QuarantineTable, block: int, now: float
) -> bool:
    """Return whether a trial of a quarantined block is due."""
    if block not in quarantine.groups or is_content(block):
        return False

    held = trials.trials.get(block)
    number = 0 if held is None else held.number
    if number >= MAX_TRIALS:
        return False

    last = max(held.at for held in quarantine.blocks[block].values())
    if held is not None:
        last = max(last, held.granted_at)

    return now - last >= FIRST_TRIAL_SECONDS * TRIAL_FACTOR**number


def grant_trial(trials: TrialTable, block: int, gateway: str, now: float) -> TrialState:
    """Grant the next trial of a block to a gateway; return it to be passed on."""
    held = trials.trials.get(block)
    number = 1 if held is None else held.number + 1
    trials.trials[block] = Trial(number, gateway, now)
    return TrialState(block, number, gateway)


def merge_trials(
    trials: TrialTable, states: Iterable[TrialState], now: float
) -> tuple[TrialState, ...]:
    """Merge trials that another process knows; return those that are new."""
    changed = []
    for one in states:
        held = trials.trials.get(one.block)
        if held is None or one.number > held.number:
            trials.trials[one.block] = Trial(one.number, one.gateway, now - one.age)
            changed.append(one)

    return tuple(changed)


def list_trials(trials: TrialTable, now: float) -> tuple[TrialState, ...]:
    """Return the trials to be passed on to a process that has just started."""
    return tuple(
        TrialState(block, one.number, one.gateway, round(now - one.granted_at, 1))
        for block, one in trials.trials.items()
    )


def use_trial(trials: TrialTable, block: int, gateway: str, now: float) -> bool:
    """Return whether a gateway may send a request now; if so, the trial is used."""
    held = trials.trials.get(block)
    if held is None or held.gateway != gateway:
        return False

    if now - held.granted_at > VALID_SECONDS:
        return False

    if trials.used.get(block, 0) >= held.number:
        return False

    trials.used[block] = held.number
    return True


def drop_trials(trials: TrialTable, known: Collection[int]) -> None:
    """Drop the trials of blocks of which nothing is known any more."""
    if not trials.trials:
        return

    trials.trials = {
        block: one for block, one in trials.trials.items() if block in known
    }
    trials.used = {
        block: number for block, number in trials.used.items() if block in known
    }
