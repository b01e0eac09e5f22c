"""What gateways report to one control, and what controls tell each other of it.

A control keeps the reports of the gateways that are homed at it. Others get their sum:
it is as large for one gateway as for hundreds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import msgspec

from .messages import ControlReport
from .messages import FleetReport
from .messages import GatewayEvidence
from .messages import GatewayReport
from .messages import ServiceRepeats
from .messages import UpstreamUse
from .messages import VersionEvidence
from .retries import add_repeats


if TYPE_CHECKING:
    from collections.abc import Iterable


USE_LIFE = 1.0
"""Seconds for which what a gateway has running counts. One that has chosen another home
is counted there as well for as long."""
REPORT_LIFE = 3.0
"""Seconds after which a gateway that reports nothing counts as gone."""
EVIDENCE_SECONDS = 2.0
"""After which evidence is passed on again though nothing has changed: a link may have
been down."""
MAX_READ = 2_000
"""Parts of prompts kept for one sum, 10 KB."""
EVIDENCE_LIFE = 10.0
"""Seconds after which evidence of a gateway that nobody hears of is dropped."""


@dataclass(slots=True)
class Reported:
    """The latest report of one gateway."""

    report: GatewayReport
    at: float
    passed: tuple[VersionEvidence, ...] = ()
    """Evidence as it was passed on last."""
    passed_at: float = -math.inf


@dataclass(slots=True)
class Summed:
    """The latest report of another control."""

    report: ControlReport
    at: float


@dataclass(frozen=True, slots=True)
class Departed:
    """What a gateway had used of the budget of repeats when it was heard of last."""

    repeats: tuple[ServiceRepeats, ...]
    at: float


@dataclass(slots=True)
class Evident:
    """The latest evidence of one gateway."""

    versions: tuple[VersionEvidence, ...]
    at: float


@dataclass(slots=True)
class ReportTable:
    """Reports that a control holds."""

    homed: dict[str, Reported] = field(default_factory=dict)
    """By gateway."""
    controls: dict[str, Summed] = field(default_factory=dict)
    """By control."""
    evidence: dict[str, Evident] = field(default_factory=dict)
    """By gateway, wherever it reports."""
    departed: list[Departed] = field(default_factory=list)
    """Of gateways that were homed here and ended, within the window of the budget."""
    retry_window: float = 10.0
    """Seconds for which a repeat counts in the budget."""
    read: dict[int, None] = field(default_factory=dict)
    """Parts of prompts of which gateways homed here should be told."""
    read_here: dict[int, None] = field(default_factory=dict)
    """Those of which other controls should be told."""


def take_report(table: ReportTable, report: GatewayReport, now: float) -> None:
    """Keep a report of a gateway that is homed here."""
    held = table.homed.get(report.gateway)
    if held is None:
        table.homed[report.gateway] = Reported(report, now)
    else:
        if report.run != held.report.run:
            note_departed(table, held)

        held.report = report
        held.at = now

    table.evidence[report.gateway] = Evident(report.evidence, now)
    note_read(table.read, report.read)
    note_read(table.read_here, report.read)


def note_departed(table: ReportTable, held: Reported) -> None:
    """Keep what a gateway that ended has used of the budget of repeats.

    Failure: gateways are killed when a service fails and its budget is used up. Started
    anew they know of no repeat, and would use the budget again within its window.
    """
    used = keep_used(held.report.repeats)
    if used:
        table.departed.append(Departed(used, held.at))


def take_control_report(
    table: ReportTable, control: str, report: ControlReport, now: float
) -> None:
    """Keep what another control tells of the gateways homed at it."""
    table.controls[control] = Summed(report, now)
    for one in report.evidence:
        table.evidence[one.gateway] = Evident(one.versions, now)

    note_read(table.read, report.total.read)


def note_read(held: dict[int, None], read: Iterable[int]) -> None:
    """Keep parts until the next sum, within a bound."""
    for key in read:
        if len(held) < MAX_READ:
            held[key] = None


def drop_old(table: ReportTable, now: float) -> None:
    """Forget gateways and controls that report no more."""
    for held in table.homed.values():
        if now - held.at > REPORT_LIFE:
            note_departed(table, held)

    table.departed = [
        one for one in table.departed if now - one.at <= table.retry_window
    ]
    table.homed = {
        name: one for name, one in table.homed.items() if now - one.at <= REPORT_LIFE
    }
    table.controls = {
        name: one for name, one in table.controls.items() if now - one.at <= REPORT_LIFE
    }
    table.evidence = {
        name: one
        for name, one in table.evidence.items()
        if now - one.at <= EVIDENCE_LIFE
    }


def make_control_report(
    table: ReportTable, now: float, *, urgent: bool
) -> ControlReport:
    """Return what to tell the other controls, and note that it was told.

    ``urgent``: a roll-out is under way, so evidence that changed is told at once.
    """
    evidence = []
    for name, held in table.homed.items():
        versions = held.report.evidence
        # What has been passed on already may be older than what another home tells.
        if held.at <= held.passed_at:
            continue

        due = now - held.passed_at >= EVIDENCE_SECONDS
        if due or (urgent and versions != held.passed):
            evidence.append(GatewayEvidence(name, versions))
            held.passed = versions
            held.passed_at = now

    total = msgspec.structs.replace(sum_homed(table, now), read=tuple(table.read_here))
    table.read_here.clear()
    return ControlReport(
        total=total,
        evidence=tuple(evidence),
        untold=tuple(
            name for name, held in table.homed.items() if held.report.held < 0
        ),
    )


def sum_homed(table: ReportTable, now: float) -> FleetReport:
    """Return the sum over the gateways that are homed here."""
    total = sum_totals(
        total_of(held.report, fresh=now - held.at <= USE_LIFE)
        for held in table.homed.values()
    )
    departed = (part for one in table.departed for part in one.repeats)
    repeats = add_repeats([*total.repeats, *departed])
    return msgspec.structs.replace(total, repeats=repeats)


def sum_fleet(table: ReportTable, now: float) -> FleetReport:
    """Return the sum over all gateways; parts that were read are told once."""
    others = [
        cut_use(one.report.total, fresh=now - one.at <= USE_LIFE)
        for one in table.controls.values()
    ]
    total = sum_totals([sum_homed(table, now), *others])
    total = msgspec.structs.replace(total, read=tuple(table.read))
    table.read.clear()
    return total


def total_of(report: GatewayReport, *, fresh: bool = True) -> FleetReport:
    """Return the sum over one gateway."""
    total = FleetReport(
        gateways=1,
        use=report.use,
        work=report.work,
        held=report.held,
        kept=report.kept,
        repeats=report.repeats,
    )
    return cut_use(total, fresh=fresh)


def cut_use(total: FleetReport, *, fresh: bool) -> FleetReport:
    """Return a sum without what is running, unless it is fresh.

    What gateways know of a move counts longer: a gateway that is silent for a moment
    still holds it up. So do repeats: they were sent, whatever became of the sender.
    """
    if fresh:
        return total

    return FleetReport(
        gateways=total.gateways,
        use=(),
        held=total.held,
        kept=total.kept,
        repeats=keep_used(total.repeats),
    )


def keep_used(parts: Iterable[ServiceRepeats]) -> tuple[ServiceRepeats, ...]:
    """Return counts of repeats without the requests that allow more of them."""
    return tuple(
        ServiceRepeats(one.service, 0, one.repeats, one.drawn)
        for one in parts
        if one.repeats
    )


def sum_totals(totals: Iterable[FleetReport]) -> FleetReport:
    """Add sums up."""
    counted = [one for one in totals if one.gateways or one.repeats]
    return FleetReport(
        gateways=sum(one.gateways for one in counted),
        use=add_use(use for one in counted for use in one.use),
        work=sum(one.work for one in counted),
        held=min((one.held for one in counted if one.gateways), default=-1),
        kept=tuple({place for one in counted for place in one.kept}),
        repeats=add_repeats(part for one in counted for part in one.repeats),
    )


def add_use(parts: Iterable[UpstreamUse]) -> tuple[UpstreamUse, ...]:
    """Add up what is running at each upstream."""
    running: dict[str, tuple[int, int]] = {}
    for part in parts:
        count, backlog = running.get(part.upstream, (0, 0))
        running[part.upstream] = (count + part.running, backlog + part.backlog)

    return tuple(
        UpstreamUse(upstream=name, running=count, backlog=backlog)
        for name, (count, backlog) in running.items()
    )


def list_untold(table: ReportTable) -> list[str]:
    """Return the gateways that do not tell which state they hold.

    Nothing moves in the first half of a move while there is one: older programs never
    tell.
    """
    names = {name for name, held in table.homed.items() if held.report.held < 0}
    for one in table.controls.values():
        names.update(one.report.untold)

    return sorted(names)
