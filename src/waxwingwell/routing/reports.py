"""Reports of gateways to their control, and their aggregation between controls.

A control stores the reports of the gateways attached to it. The other controls get
their totals, which are as large for one gateway as for hundreds.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING

import msgspec

from .engine_comparison import DeviationTable
from .gateway_room import LITTLE_ROOM
from .gateway_room import RELAYS_INTERVAL_SECONDS
from .gateway_room import is_ample
from .gateway_room import read_room
from .lateness import measure_lateness
from .limits import LimitTable
from .limits import apply_states
from .limits import list_states
from .lost_counts import LostEntry
from .lost_counts import LostTable
from .lost_counts import close_counts
from .lost_counts import count_lost_gateways
from .lost_counts import decay_former
from .lost_counts import drop_former
from .lost_counts import drop_lost
from .lost_counts import list_lost
from .lost_counts import list_missing
from .lost_counts import receive_lost
from .lost_counts import record_lost
from .lost_counts import sum_former
from .messages import ControlReport
from .messages import EnginePace
from .messages import FleetReport
from .messages import FormerCounts
from .messages import GatewayEvidence
from .messages import GatewayReport
from .messages import GrantPermits
from .messages import IncludedReport
from .messages import LostCounts
from .messages import ReceivedReport
from .messages import RelayGateway
from .messages import RestState
from .messages import ServiceRepeats
from .messages import VersionEvidence
from .names import number_process
from .pace_means import PaceTable
from .pace_means import drop_decayed
from .pace_means import list_shared_paces
from .pace_means import receive_paces
from .pace_means import receive_shared_paces
from .pace_means import take_shared_paces
from .permits import GrantTable
from .permits import drop_buckets
from .permits import grant_permits
from .rests import RestTable
from .rests import drop_rests
from .rests import list_rests
from .rests import merge_rests
from .retries import sum_retries
from .room import BrittleTable
from .room import apply_statements
from .room import list_statements
from .totals import drop_stale_use
from .totals import make_total
from .totals import sum_totals
from .version_evidence import count_events


if TYPE_CHECKING:
    from collections.abc import Collection
    from collections.abc import Iterable
    from collections.abc import Mapping


USE_TTL_SECONDS = 1.0
"""Seconds for which a gateway's reported load counts. A gateway that has attached to
another control is counted at both for as long."""
REPORT_INTERVAL_SECONDS = 0.3
"""Seconds within which the next report of a gateway or control should arrive."""
RESTS_SECONDS = 2.0
"""Seconds from the first report of a gateway's process in which it is told the rests of
its former one: until controls that have started themselves know them."""
SETTLE_SECONDS = 1.0
"""Seconds after its start within which a control hears of all running ones."""
REPORT_TTL_SECONDS = 3.0
"""Seconds without a report after which a gateway is dropped."""
EVIDENCE_RESEND_SECONDS = 2.0
"""Seconds after which unchanged evidence is sent again, as a link may have been
down."""
WAITING_RESEND_SECONDS = 0.5
"""Seconds after which unchanged evidence on waiting requests is sent again during a
roll-out; receivers take it as outdated after twice as long."""
MAX_TOTAL_BLOCKS = 2_000
"""Prompt blocks stored for one message of totals, 10 KB."""
MAX_RELAYS_PER_CONTROL = 4
"""Relays of each control in a list; the gateways of a data centre may all be cut off,
so that some of every control's are needed."""
UNUSED_BUCKET_SECONDS = 10.0
"""Seconds after which the permits of an upstream that nobody asks for are dropped."""
INVALID_LOG_SECONDS = 10.0
"""Seconds between two log lines on invalid rooms of the same gateway."""
EVIDENCE_TTL_SECONDS = 10.0
"""Seconds without a report after which a gateway's evidence is dropped."""


EvidenceKey = tuple[str, float, str, str]
"""Service, time of a roll-out's order, version and kind of request."""


@dataclass(frozen=True, slots=True)
class SentEvidence:
    """Evidence that was sent to the other controls, and when."""

    part: VersionEvidence
    at: float


@dataclass(slots=True)
class GatewayEntry:
    """Latest report of one gateway, and the evidence sent to the other controls."""

    report: GatewayReport
    received_at: float
    first_at: float
    """Time of the first report of this process."""
    sent_evidence: dict[EvidenceKey, SentEvidence] = field(default_factory=dict)
    """Evidence that was last sent to the other controls."""
    offered_at: float = -math.inf
    """Time of the last report to the other controls."""
    relays_at: float = -math.inf
    """Time at which the gateway was last sent relays with ample room."""
    invalid_at: float = -math.inf
    """Time at which an invalid room of the gateway was last logged."""


@dataclass(slots=True)
class ControlEntry:
    """Latest report of another control."""

    report: ControlReport
    received_at: float
    late: float = 0.0
    """Seconds by which it may have arrived late."""


@dataclass(frozen=True, slots=True)
class DepartedGateway:
    """Retries of a gateway process that ended or stopped reporting.

    ``received_at`` is the time of its last report.
    """

    repeats: tuple[ServiceRepeats, ...]
    received_at: float


@dataclass(slots=True)
class EvidenceEntry:
    """Latest evidence of one gateway process."""

    run: int
    received_at: float
    """Time of the latest report."""
    parts: dict[EvidenceKey, VersionEvidence] = field(default_factory=dict)

    @property
    def versions(self) -> tuple[VersionEvidence, ...]:
        """The evidence in the order in which it was first received."""
        return tuple(self.parts.values())


@dataclass(slots=True)
class ReportTable:
    """Reports that a control has received."""

    attached: dict[str, GatewayEntry] = field(default_factory=dict)
    """Reports of attached gateways, by gateway."""
    controls: dict[str, ControlEntry] = field(default_factory=dict)
    """Reports of other controls, by control."""
    evidence: dict[str, EvidenceEntry] = field(default_factory=dict)
    """Evidence by gateway, whichever control the gateway is attached to."""
    departed: list[DepartedGateway] = field(default_factory=list)
    """Attached gateway processes that ended or stopped reporting, while their last
    report is within the retry window."""
    name: str = ""
    """Name of this control, by which others return the times of its reports."""
    retry_window: float = 10.0
    """Seconds for which a retry counts in the budget."""
    run: int = 0
    """Distinguishes this process of the control from the previous one."""
    began_at: float = -math.inf
    """Start time of this process."""
    counted_since: float = -math.inf
    """Time from which on the retries of all gateways are known: the start of this
    process, or of the oldest one that has told what it knows."""
    lost: LostTable = field(default_factory=LostTable)
    """What controls that have ended had counted."""
    peak_gateways: int = 0
    """Largest number of gateways counted within the retry window."""
    peak_at: float = -math.inf
    """Time at which that number was last counted."""
    blocks_for_gateways: dict[int, None] = field(default_factory=dict)
    """Hashes of prompt blocks for the next totals to the attached gateways."""
    blocks_for_controls: dict[int, None] = field(default_factory=dict)
    """Hashes of prompt blocks for the next report to the other controls."""
    grants: GrantTable = field(default_factory=GrantTable)
    """Permits for requests to limited upstreams."""
    limits: LimitTable = field(default_factory=LimitTable)
    brittle: BrittleTable = field(default_factory=BrittleTable)
    rests: RestTable = field(default_factory=RestTable)
    paces: PaceTable = field(default_factory=PaceTable)
    deviations: DeviationTable = field(default_factory=DeviationTable)
    relay_position: int = 0
    """Advances with each list of relays, so that all gateways serve as relays."""


def start_counting(table: ReportTable, now: float) -> None:
    """Record the start of this control."""
    table.run = number_process(now)
    table.began_at = now
    table.counted_since = now


def record_founding(table: ReportTable) -> None:
    """Record that the system starts for the first time, as its group is founded.

    No gateway has sent anything before.
    """
    table.counted_since = -math.inf


def receive_report(table: ReportTable, report: GatewayReport, now: float) -> None:
    """Store a report of an attached gateway."""
    held = table.attached.get(report.gateway)
    if held is None:
        table.attached[report.gateway] = GatewayEntry(report, now, now)
    else:
        if report.run != held.report.run:
            record_departed(table, held)
            held.first_at = now

        held.report = report
        held.received_at = now

    parts = {identify_part(part): part for part in report.evidence}
    table.evidence[report.gateway] = EvidenceEntry(report.run, now, parts)
    queue_blocks(table.blocks_for_gateways, report.read)
    queue_blocks(table.blocks_for_controls, report.read)
    receive_paces(table.paces, report.paces or (), now)
    merge_rests(table.rests, report.rests or (), now)


def respond_to_report(
    table: ReportTable, report: GatewayReport, now: float
) -> GrantPermits | None:
    """Return the response to a gateway's report, or None if there is nothing to tell.

    A gateway that does not know how many others there are gets no permits: this control
    may have started after the others, and its own count may be too low.
    """
    apply_states(table.limits, report.limits, now)
    apply_statements(table.brittle, report.brittle, now)
    limits = list_states(table.limits, now)
    brittle = list_statements(table.brittle, now)
    rests = list_former_rests(table, report.gateway, now)
    is_needed = report.permits or limits or brittle or rests
    if report.reported_at is None or not is_needed:
        return None

    permits: tuple[str, ...] = ()
    if report.gateways:
        counted = len(table.attached) + sum(
            one.report.total.gateways for one in table.controls.values()
        )
        part = len(table.attached) / max(counted, report.gateways, 1)
        permits = grant_permits(table.grants, report.permits, part, now)

    return GrantPermits(
        reported_at=report.reported_at,
        permits=permits,
        limits=limits,
        brittle=brittle,
        rests=rests or msgspec.UNSET,
    )


def list_attached_relays(table: ReportTable, now: float) -> tuple[RelayGateway, ...]:
    """Return the attached gateways that reach upstreams, in the next rotation."""
    relays = [
        held.report.relay
        for held in table.attached.values()
        if held.report.relay is not None and now - held.received_at <= USE_TTL_SECONDS
    ]
    table.relay_position += 1
    start = table.relay_position % max(len(relays), 1)
    return tuple(relays[start:] + relays[:start])


def name_without_room(
    table: ReportTable, relays: Iterable[RelayGateway], now: float
) -> tuple[str, ...] | msgspec.UnsetType:
    """Return the relays without ample room for a message; unset if all have it."""
    named = {
        name
        for one in table.controls.values()
        if now - one.received_at <= USE_TTL_SECONDS
        for name in one.report.without_room or ()
    }
    found = tuple(one.name for one in relays if not has_ample_room(table, one, named))
    return found or msgspec.UNSET


def has_ample_room(
    table: ReportTable, relay: RelayGateway, named: Collection[str]
) -> bool:
    """Return whether a relay reports ample room, here or to another control.

    An invalid room counts as none.
    """
    held = table.attached.get(relay.name)
    return relay.name not in named if held is None else is_ample(held.report.room)


def must_log_room(table: ReportTable, report: GatewayReport, now: float) -> bool:
    """Return whether a report's room is invalid and has to be logged; if so, record it.

    It is logged once in a while, as a gateway reports four times a second.
    """
    held = table.attached.get(report.gateway)
    if held is None or read_room(report.room) is not None:
        return False

    if now - held.invalid_at < INVALID_LOG_SECONDS:
        return False

    held.invalid_at = now
    return True


def take_ample_relays(
    table: ReportTable, report: GatewayReport, now: float
) -> tuple[RelayGateway, ...]:
    """Return relays with ample room for a gateway that has little, once in a while.

    They are in its own data centre, as traffic between data centres is expensive. A
    gateway that hands requests on reports at most ``LITTLE_ROOM``.
    """
    held = table.attached.get(report.gateway)
    room = read_room(report.room)
    if held is None or report.relay is None or room is None or room > LITTLE_ROOM:
        return ()

    if now - held.relays_at < RELAYS_INTERVAL_SECONDS:
        return ()

    known = (*list_attached_relays(table, now), *list_others_relays(table, now))
    without_room = name_without_room(table, known, now) or ()
    ample = [
        one
        for one in known
        if one.name != report.gateway
        and one.data_centre == report.relay.data_centre
        and one.name not in without_room
    ]
    if ample:
        held.relays_at = now

    return tuple(ample[:MAX_RELAYS_PER_CONTROL])


def list_relays(table: ReportTable, now: float) -> tuple[RelayGateway, ...]:
    """Return some gateways that reach upstreams, attached ones and other controls'."""
    attached = list_attached_relays(table, now)[:MAX_RELAYS_PER_CONTROL]
    return (*attached, *list_others_relays(table, now))


def list_others_relays(table: ReportTable, now: float) -> list[RelayGateway]:
    """Return some gateways that reach upstreams and are attached to other controls."""
    return [
        relay
        for one in table.controls.values()
        if now - one.received_at <= USE_TTL_SECONDS
        for relay in one.report.relays[:MAX_RELAYS_PER_CONTROL]
    ]


def record_departed(table: ReportTable, held: GatewayEntry) -> None:
    """Record the retries of a gateway process that has ended or stopped reporting.

    Gateways that are killed while a service fails and its budget is used up know of no
    retry after their restart, and would use the budget again within its window.
    """
    used = close_counts(held.report.repeats)
    if used:
        table.departed.append(DepartedGateway(used, held.received_at))


def receive_control_report(
    table: ReportTable, control: str, report: ControlReport, now: float
) -> None:
    """Store another control's report on the gateways attached to it."""
    late = measure_report_lateness(table, report, now)
    held = table.controls.get(control)
    if held is not None and held.report.run != report.run:
        record_lost_control(table, control, held)

    table.controls[control] = ControlEntry(report, now, late)
    receive_known(table, control, report, now)
    for one in report.evidence:
        merge_evidence(table, one, now)

    apply_states(table.limits, report.limits, now)
    apply_statements(table.brittle, report.brittle, now)
    merge_rests(table.rests, report.rests or (), now)
    receive_shared_paces(table.paces, control, report.paces or (), now)
    queue_blocks(table.blocks_for_gateways, report.total.read)


def record_lost_control(table: ReportTable, control: str, held: ControlEntry) -> None:
    """Record what a control that has ended or stopped reporting had counted."""
    record_lost(table.lost, control, held.report.run or 0, close_entry(held))


def close_entry(held: ControlEntry) -> LostEntry:
    """Return a control's last totals as those of a process that has ended."""
    report = held.report
    return LostEntry(
        close_counts(report.total.repeats),
        held.received_at,
        report.total.gateways,
        report.sent_at or 0.0,
    )


def receive_known(
    table: ReportTable, control: str, report: ControlReport, now: float
) -> None:
    """Store what another control knows of controls that have ended.

    Just after the start of this process some of the running controls may not have
    reported yet.
    """
    table.lost.entries.pop((control, report.run or 0), None)
    running = {(name, one.report.run or 0) for name, one in table.controls.items()}
    running.add((table.name, table.run))
    receive_lost(
        table.lost,
        report.lost or (),
        now,
        is_running=lambda name, run: (name, run) in running,
    )
    if now - table.began_at < SETTLE_SECONDS:
        return

    counted = report.total.counted
    known = counted if isinstance(counted, float) else table.retry_window
    table.counted_since = min(table.counted_since, now - known)


def measure_report_lateness(
    table: ReportTable, report: ControlReport, now: float
) -> float:
    """Return the seconds by which another control's report may have arrived late."""
    for one in report.received or ():
        if one.control == table.name:
            return measure_lateness(one.sent_at, one.held, now)

    return 0.0


def stamp_report(
    table: ReportTable, report: ControlReport, now: float
) -> ControlReport:
    """Return a report with its time and those of the reports received last."""
    received = tuple(
        ReceivedReport(name, held.report.sent_at, now - held.received_at)
        for name, held in table.controls.items()
        if held.report.sent_at
    )
    return msgspec.structs.replace(
        report, sent_at=now, received=received or msgspec.UNSET
    )


def address_totals(
    table: ReportTable, gateway: str, total: FleetReport, now: float
) -> FleetReport:
    """Return totals for an attached gateway, with the time of its report in them."""
    held = table.attached.get(gateway)
    if held is None or held.report.reported_at is None:
        return total

    included = IncludedReport(held.report.reported_at, now - held.received_at)
    return msgspec.structs.replace(total, included=included)


def list_former_rests(
    table: ReportTable, gateway: str, now: float
) -> tuple[RestState, ...]:
    """Return the rests that a gateway's former process was asked for.

    There are none unless its process has just started.
    """
    held = table.attached.get(gateway)
    if held is None or now - held.first_at > RESTS_SECONDS:
        return ()

    return list_rests(table.rests, now, gateway)


def is_gateway_fresh(held: GatewayEntry, now: float) -> bool:
    """Return whether a gateway's report is recent, also if it has arrived late."""
    return now - held.received_at + (held.report.late or 0.0) <= USE_TTL_SECONDS


def is_control_fresh(held: ControlEntry, now: float) -> bool:
    """Return whether another control's report is recent, also if it arrived late."""
    return now - held.received_at + held.late <= USE_TTL_SECONDS


def find_attached_lateness(table: ReportTable, now: float) -> float:
    """Return the seconds by which what attached gateways report may be late.

    What is not recent counts as having no requests.
    """
    return max(
        (
            (held.report.late or 0.0)
            + max(now - held.received_at - REPORT_INTERVAL_SECONDS, 0.0)
            for held in table.attached.values()
            if is_gateway_fresh(held, now)
        ),
        default=0.0,
    )


def find_others_lateness(table: ReportTable, now: float) -> float:
    """Return the seconds by which what other controls report may be late."""
    return max(
        (
            held.late
            + (held.report.total.late or 0.0)
            + max(now - held.received_at - REPORT_INTERVAL_SECONDS, 0.0)
            for held in table.controls.values()
            if is_control_fresh(held, now)
        ),
        default=0.0,
    )


def identify_part(part: VersionEvidence) -> EvidenceKey:
    """Return what one part of a gateway's evidence is about."""
    return part.service, part.ordered_at, part.version, part.kind


def merge_evidence(table: ReportTable, evidence: GatewayEvidence, now: float) -> None:
    """Store evidence that another control has forwarded, beside that not included."""
    held = table.evidence.get(evidence.gateway)
    if held is None or held.run != evidence.run:
        held = table.evidence[evidence.gateway] = EvidenceEntry(evidence.run, now)

    held.received_at = now
    held.parts.update((identify_part(part), part) for part in evidence.versions)


def queue_blocks(queue: dict[int, None], blocks: Iterable[int]) -> None:
    """Queue prompt blocks for the next message, up to a limit."""
    for key in blocks:
        if len(queue) < MAX_TOTAL_BLOCKS:
            queue[key] = None


def drop_expired(table: ReportTable, now: float) -> None:
    """Drop gateways, controls and evidence without recent reports."""
    for held in table.attached.values():
        if now - held.received_at > REPORT_TTL_SECONDS:
            record_departed(table, held)

    drop_buckets(table.grants, now - UNUSED_BUCKET_SECONDS)
    table.departed = [
        one for one in table.departed if now - one.received_at <= table.retry_window
    ]
    table.attached = {
        name: one
        for name, one in table.attached.items()
        if now - one.received_at <= REPORT_TTL_SECONDS
    }
    for name, one in table.controls.items():
        if now - one.received_at > REPORT_TTL_SECONDS:
            record_lost_control(table, name, one)

    drop_lost(table.lost, now - table.retry_window)
    drop_rests(table.rests, now)
    table.controls = {
        name: one
        for name, one in table.controls.items()
        if now - one.received_at <= REPORT_TTL_SECONDS
    }
    table.evidence = {
        name: one
        for name, one in table.evidence.items()
        if now - one.received_at <= EVIDENCE_TTL_SECONDS
    }
    drop_decayed(table.paces, table.controls.keys(), now)


def make_control_report(
    table: ReportTable, now: float, *, urgent: bool
) -> ControlReport:
    """Return the report to the other controls, and record what it includes as sent.

    If ``urgent``, a roll-out is in progress, and evidence that changed is included at
    once.
    """
    evidence = []
    for name, held in table.attached.items():
        # Evidence that was sent already may be older than another control's, if the
        # gateway has attached to that one since.
        if held.received_at <= held.offered_at:
            continue

        held.offered_at = now
        due = tuple(
            part
            for part in held.report.evidence
            if is_part_due(held.sent_evidence, part, now, urgent=urgent)
        )
        if due:
            evidence.append(GatewayEvidence(name, due, held.report.run))
            record_sent_evidence(held, due, now)

    total = msgspec.structs.replace(
        sum_attached(table, now), read=tuple(table.blocks_for_controls)
    )
    table.blocks_for_controls.clear()
    paces = take_shared_paces(table.paces, now)
    return describe_attached(table, total, evidence, paces, now)


def make_full_report(table: ReportTable, now: float) -> ControlReport:
    """Return the report to a control that has just connected, with all evidence."""
    evidence = [
        GatewayEvidence(name, held.report.evidence, held.report.run)
        for name, held in table.attached.items()
        if held.report.evidence
    ]
    paces = list_shared_paces(table.paces, now)
    return describe_attached(table, sum_attached(table, now), evidence, paces, now)


def is_part_due(
    sent: Mapping[EvidenceKey, SentEvidence],
    part: VersionEvidence,
    now: float,
    *,
    urgent: bool,
) -> bool:
    """Return whether a part of a gateway's evidence has to be sent."""
    last = sent.get(identify_part(part))
    if last is None:
        return True

    age = now - last.at
    if age >= EVIDENCE_RESEND_SECONDS:
        return True

    running = bool(part.waiting or part.pacing)
    repeated = running and age >= WAITING_RESEND_SECONDS
    return urgent and (repeated or count_events(part) != count_events(last.part))


def record_sent_evidence(
    held: GatewayEntry, parts: Iterable[VersionEvidence], now: float
) -> None:
    """Record evidence as sent, and forget what the gateway reports no longer."""
    held.sent_evidence.update(
        (identify_part(part), SentEvidence(part, now)) for part in parts
    )
    reported = {identify_part(part) for part in held.report.evidence}
    for key in held.sent_evidence.keys() - reported:
        del held.sent_evidence[key]


def describe_attached(
    table: ReportTable,
    total: FleetReport,
    evidence: Iterable[GatewayEvidence],
    paces: tuple[EnginePace, ...],
    now: float,
) -> ControlReport:
    """Return a report on the attached gateways."""
    relays = list_attached_relays(table, now)[:MAX_RELAYS_PER_CONTROL]
    return ControlReport(
        total=total,
        evidence=tuple(evidence),
        untold=tuple(
            name for name, held in table.attached.items() if held.report.held < 0
        ),
        limits=list_states(table.limits, now),
        brittle=list_statements(table.brittle, now),
        relays=relays,
        without_room=name_without_room(table, relays, now),
        paces=paces or msgspec.UNSET,
        run=table.run or msgspec.UNSET,
        lost=list_lost(table.lost, now) or msgspec.UNSET,
        former=list_former(table) or msgspec.UNSET,
        rests=list_rests(table.rests, now) or msgspec.UNSET,
    )


def sum_attached(table: ReportTable, now: float) -> FleetReport:
    """Return the totals over the attached gateways."""
    total = sum_totals(
        make_total(held.report, fresh=is_gateway_fresh(held, now))
        for held in table.attached.values()
    )
    departed = (
        decay_former(part, now - one.received_at, table.retry_window)
        for one in table.departed
        for part in one.repeats
    )
    repeats = sum_retries([*total.repeats, *departed])
    late = find_attached_lateness(table, now)
    counted = describe_counted(table, now)
    return msgspec.structs.replace(
        total, repeats=repeats, late=late or msgspec.UNSET, counted=counted
    )


def list_own_counts(table: ReportTable, now: float) -> tuple[LostCounts, ...]:
    """Return this control's counts as those of a process that has ended."""
    repeats = close_counts(sum_attached(table, now).repeats)
    if not repeats:
        return ()

    gateways = len(table.attached)
    return (LostCounts(table.name, table.run, 0.0, repeats, gateways, now),)


def describe_counted(table: ReportTable, now: float) -> float | msgspec.UnsetType:
    """Return the seconds for which the retries of all gateways are known to a control.

    Unset if that is the whole window.
    """
    counted = now - table.counted_since
    return counted if counted < table.retry_window else msgspec.UNSET


def list_former(table: ReportTable) -> tuple[FormerCounts, ...]:
    """Return what the attached gateways had reported to former controls."""
    reports = (held.report for held in table.attached.values())
    return sum_former(
        one.former for one in reports if isinstance(one.former, FormerCounts)
    )


def list_missing_counts(table: ReportTable, now: float) -> Iterable[ServiceRepeats]:
    """Return the counts of ended controls that no running gateway reports any more."""
    if not table.lost.entries:
        return ()

    told = (part for one in table.controls.values() for part in one.report.former or ())
    former = (*list_former(table), *told)
    return list_missing(table.lost, former, table.retry_window, now)


def sum_fleet(table: ReportTable, now: float) -> FleetReport:
    """Return the totals over all gateways; includes each queued prompt block once."""
    others = [
        drop_stale_use(one.report.total, fresh=is_control_fresh(one, now))
        for one in table.controls.values()
    ]
    attached = sum_attached(table, now)
    total = sum_totals([attached, *others])
    late = max(attached.late or 0.0, find_others_lateness(table, now))
    repeats = sum_retries([*total.repeats, *list_missing_counts(table, now)])
    record_peak(table, total.gateways, now)
    if not is_complete(table, total.gateways):
        repeats = drop_former(repeats)

    total = msgspec.structs.replace(
        total,
        read=tuple(table.blocks_for_gateways),
        grants=True,
        late=late or msgspec.UNSET,
        repeats=repeats,
        counted=attached.counted,
    )
    table.blocks_for_gateways.clear()
    return total


def record_peak(table: ReportTable, gateways: int, now: float) -> None:
    """Record how many gateways report, if it is the most within the last window."""
    if gateways >= table.peak_gateways or now - table.peak_at > table.retry_window:
        table.peak_gateways = gateways
        table.peak_at = now


def is_complete(table: ReportTable, gateways: int) -> bool:
    """Return whether as many gateways report as within the last window.

    If one does not, it may be cut off, and still use what its requests allow.
    """
    return gateways >= max(table.peak_gateways, count_lost_gateways(table.lost))


def count_reporting(table: ReportTable) -> tuple[int, int]:
    """Return how many gateways report, and how many some gateway knew recently."""
    others = sum(one.report.total.gateways for one in table.controls.values())
    expected = max((one.report.gateways for one in table.attached.values()), default=0)
    return len(table.attached) + others, expected


def list_gateways_without_state(table: ReportTable) -> list[str]:
    """Return the gateways that do not report which state they have.

    Older releases never report it. While such a gateway is connected, no session
    changes its version in the first half of a roll-out.
    """
    names = {name for name, held in table.attached.items() if held.report.held < 0}
    for one in table.controls.values():
        names.update(one.report.untold)

    return sorted(names)
