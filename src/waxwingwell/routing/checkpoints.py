"""Checkpoints: what binds all processes for a span of time, as a control knows it.

Gateways tell their control what they have sent or learned, and controls tell each
other; each keeps it until its span is over, whichever process ends. If all end at once,
their checkpoints are left: a control that starts takes over what is still in its span.
Of the time after its checkpoint it knows nothing. It assumes as many retries as may
have been sent until it has started, and knows the retries of a window only if that time
is short.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

import msgspec

from .limits import apply_states
from .limits import list_states
from .lost_counts import LostTable
from .lost_counts import list_lost
from .lost_counts import receive_lost
from .lost_counts import record_lost
from .messages import BrittleState
from .messages import CrashEvidence
from .messages import LimitState
from .messages import LostCounts
from .messages import RestState
from .quarantine import list_evidence
from .quarantine import merge_evidence
from .reports import close_entry
from .reports import describe_counted
from .reports import list_own_counts
from .rests import list_rests
from .rests import merge_rests
from .retries import UNREPORTED_SECONDS
from .room import apply_statements
from .room import list_statements


if TYPE_CHECKING:
    from .quarantine import QuarantineTable
    from .reports import ReportTable


MAX_UNSEEN_SECONDS = 2.0
"""Longest time from a checkpoint to the start of the next process in which no more than
the usual number of retries can have been sent without being counted."""


RESTART_SECONDS = 0.45
"""Time from the end of a process to the next start in which nothing is sent: its death
is noticed, and an interpreter started."""


class Checkpoint(msgspec.Struct, frozen=True, kw_only=True):
    """What a control knew that binds others; ages and rests are as of ``saved_at``."""

    boot: str
    """Distinguishes this boot of the VM from others, whose clocks differ."""
    saved_at: float
    """Time by the clock of that boot."""
    counted: float | msgspec.UnsetType = msgspec.UNSET
    """Seconds for which the retries of all gateways were known; unset if that is the
    whole window."""
    lost: tuple[LostCounts, ...] = ()
    """Retries as this control, the others and those that had ended had counted them."""
    running: tuple[tuple[str, int], ...] = ()
    """Names and runs of those of the controls that were running."""
    crashes: tuple[CrashEvidence, ...] = ()
    limits: tuple[LimitState, ...] = ()
    brittle: tuple[BrittleState, ...] = ()
    rests: tuple[RestState, ...] = ()


def make_checkpoint(
    table: ReportTable, quarantine: QuarantineTable, boot: str, now: float
) -> Checkpoint:
    """Return what a control knows that binds others."""
    return Checkpoint(
        boot=boot,
        saved_at=now,
        counted=describe_counted(table, now),
        lost=list_counts(table, now),
        running=list_running(table),
        crashes=list_evidence(quarantine, now),
        limits=list_states(table.limits, now),
        brittle=list_statements(table.brittle, now),
        rests=list_rests(table.rests, now),
    )


def list_counts(table: ReportTable, now: float) -> tuple[LostCounts, ...]:
    """Return the counts of all controls as those of processes that have ended."""
    known = LostTable(dict(table.lost.entries))
    for name, held in table.controls.items():
        record_lost(known, name, held.report.run or 0, close_entry(held))

    return (*list_own_counts(table, now), *list_lost(known, now))


def list_running(table: ReportTable) -> tuple[tuple[str, int], ...]:
    """Return the name and the run of this control and of those that it hears."""
    heard = ((name, held.report.run or 0) for name, held in table.controls.items())
    return ((table.name, table.run), *heard)


def mark_unseen(checkpoint: Checkpoint, started_at: float) -> tuple[LostCounts, ...]:
    """Return a checkpoint's counts with the time that no process may have seen.

    When the former processes have ended is not known: it may have been just before
    this one was started.
    """
    elapsed = started_at - checkpoint.saved_at
    return tuple(
        msgspec.structs.replace(
            one,
            unseen=max(one.age + elapsed - UNREPORTED_SECONDS - RESTART_SECONDS, 0.0),
        )
        if (one.control, one.run) in checkpoint.running
        else one
        for one in checkpoint.lost
    )


def apply_checkpoint(
    table: ReportTable,
    quarantine: QuarantineTable,
    checkpoint: Checkpoint,
    boot: str,
    started_at: float,
    now: float,
) -> bool:
    """Store what a former process of this control knew and is still in its span.

    ``started_at`` is the start of this process. After another boot only the evidence on
    crashes is of use, which binds for longer than a VM takes to start. Returns whether
    the checkpoint is recent enough to know the retries of the window by it.
    """
    is_same_boot = bool(boot) and checkpoint.boot == boot
    elapsed = now - checkpoint.saved_at if is_same_boot else 0.0
    if elapsed < 0.0:
        return False

    crashes = (
        msgspec.structs.replace(one, age=one.age + elapsed)
        for one in checkpoint.crashes
    )
    merge_evidence(quarantine, crashes, now)
    if not is_same_boot:
        return False

    saved_at = checkpoint.saved_at
    apply_states(table.limits, checkpoint.limits, saved_at)
    apply_statements(table.brittle, checkpoint.brittle, saved_at)
    merge_rests(table.rests, checkpoint.rests, saved_at)
    is_recent = started_at - saved_at <= MAX_UNSEEN_SECONDS
    lost = mark_unseen(checkpoint, started_at) if is_recent else checkpoint.lost
    receive_lost(table.lost, lost, saved_at, is_running=lambda *_: False)
    if not is_recent:
        return False

    counted = checkpoint.counted
    known = counted if isinstance(counted, float) else math.inf
    table.counted_since = min(table.counted_since, saved_at - known)
    return True
