"""Periodic tasks of an entry: lease, evidence, spreading of state, queue, tables."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred

from ...decisions.admission import smooth_demand
from ...decisions.candidates import index_upstreams
from ...decisions.evidence import confirm_increments
from ...decisions.evidence import merge_totals
from ...decisions.evidence import start_flush
from ...messages import ConfigSnapshot
from ...messages import LeaseBehind
from ...messages import LeaseGranted
from ...messages import RecordEvidence
from ...messages import SpreadAnnouncements
from ...messages import SpreadDemand
from ...records import EntryId
from ...state.demand import DemandTable
from ...state.demand import apply_demand
from ...state.demand import make_demand
from ...state.demand import update_total_demand
from ...state.fencing import raise_floor
from ...state.leases import accept_snapshot
from ...state.leases import check_not_reverted
from ...state.leases import finish_renewal
from ...state.leases import start_renewal
from ...state.membership import apply_relayed_announcements
from ...state.membership import expire_upstreams
from ...state.membership import make_relay_message
from ..exceptions import ControlUnavailableError
from ..links import Link
from ..links import cast_link
from .callers import index_keys
from .control_client import ask_leader
from .control_client import submit_command
from .placement import run_queue


if TYPE_CHECKING:
    from twisted.python.failure import Failure

    from .context import EntryContext
    from .placement import Placements


RENEW_INTERVAL = 1.0
"""Seconds until the next renewal after one that was granted."""
RENEW_RETRY_DELAY = 0.1
"""Seconds until the next renewal after one that was not granted."""
RENEW_TIMEOUT = 1.0
"""Seconds for which a renewal waits for a leader's reply."""
EVIDENCE_INTERVAL = 1.0
"""Seconds between two reports of evidence."""
EVIDENCE_TIMEOUT = 2.0
"""Seconds for which a report of evidence waits for a leader's reply."""
SPREAD_INTERVAL = 0.5
"""Seconds between two rounds of messages to the other entries."""
NEVER_ANNOUNCED = float("-inf")
QUEUE_INTERVAL = 0.01
"""Seconds between two runs of the queue."""
TABLES_INTERVAL = 0.25
"""Seconds between two passes over all upstreams. The lease of a single upstream is
also checked at each dispatch."""


@dataclass(slots=True)
class PeriodicTasks:
    """State of the periodic tasks of one entry."""

    entries: dict[str, Link] = field(default_factory=dict)
    memory: DemandTable = field(default_factory=DemandTable)
    announced_at: dict[str, float] = field(default_factory=dict)
    """Time at which announcements were last sent to each other entry."""
    sequence: int = 0
    demand_sequence: int = 0
    stopped: bool = False
    renewal: Any = None
    """Timer of the next renewal."""


def renew_periodically(context: EntryContext, periodic_tasks: PeriodicTasks) -> None:
    """Renew the configuration lease now, and schedule the next renewal.

    A failed renewal is retried after a short delay. While the leader changes renewals
    get no reply; with the usual interval after each, two or three of them would use up
    the lease, and the entry would refuse work although a leader was available for
    most of that time.
    """
    if periodic_tasks.stopped:
        return

    done = Deferred.fromCoroutine(renew_once(context))
    done.addErrback(_report_renewal)

    def schedule_next(granted: bool) -> None:
        delay = RENEW_INTERVAL if granted else RENEW_RETRY_DELAY
        if not periodic_tasks.stopped:
            periodic_tasks.renewal = context.reactor.callLater(
                delay, renew_periodically, context, periodic_tasks
            )

    done.addCallback(schedule_next)


def stop_periodic_tasks(periodic_tasks: PeriodicTasks) -> None:
    """Stop the renewals; the lease expires by itself."""
    periodic_tasks.stopped = True
    if periodic_tasks.renewal is not None and periodic_tasks.renewal.active():
        periodic_tasks.renewal.cancel()


def _report_renewal(failure: Failure) -> bool:
    logger.error("entry: Lease renewal failed: {}.", failure)
    return False


async def renew_once(context: EntryContext) -> bool:
    """Request the lease, after applying a newer configuration if there is one.

    Return whether the lease was granted.
    """
    for _ in range(2):
        renewal = start_renewal(context.lease, context.clock())
        try:
            reply = await ask_leader(
                context.control, renewal.message, limit=RENEW_TIMEOUT
            )
        except ControlUnavailableError:
            context.metrics.count("lease.unanswered", 1)
            return False

        if isinstance(reply, LeaseGranted):
            finish_renewal(context.lease, renewal.number, reply, context.clock())
            raise_floor(context.fencing, reply.term)
            merge_totals(context.tables, reply.evidence, context.clock())
            return True

        if not isinstance(reply, LeaseBehind):
            return False

        if not apply_snapshot(context, reply.snapshot):
            return False

    return False


def apply_snapshot(context: EntryContext, snapshot: ConfigSnapshot) -> bool:
    """Replace the configuration in the tables by a newer one."""
    tables = context.tables
    before = tables.config_version
    if snapshot.since > before or not accept_snapshot(context.lease, snapshot):
        return False

    check_not_reverted(before, snapshot.config_version, context.lease.entry)
    tables.config_version = snapshot.config_version
    if not snapshot.since:
        tables.workspaces, tables.versions, tables.rollouts = {}, {}, {}

    tables.workspaces |= {item.workspace: item for item in snapshot.workspaces}
    tables.versions |= {item.version: item for item in snapshot.versions}
    tables.rollouts |= {item.model: item for item in snapshot.rollouts}
    index_keys(context.keys, tables.workspaces)
    logger.info("entry: Configuration {} applied.", snapshot.config_version)
    return True


async def flush_evidence(context: EntryContext, periodic_tasks: PeriodicTasks) -> None:
    """Send new evidence about versions; a retry carries the same sequence number."""
    rows = start_flush(context.tables)
    if not rows:
        return

    command = RecordEvidence(
        entry=EntryId(context.settings.node),
        incarnation=context.incarnation,
        sequence=periodic_tasks.sequence + 1,
        rows=rows,
    )
    try:
        await submit_command(context.control, command, limit=EVIDENCE_TIMEOUT)
    except ControlUnavailableError:
        return

    periodic_tasks.sequence += 1
    confirm_increments(context.tables)


def spread_state(context: EntryContext, periodic_tasks: PeriodicTasks) -> None:
    """Send announcements and demand known at this entry to the other entries.

    Each entry receives what is new since the last message to it. Messages in transit
    may be lost when a connection breaks, so a new connection receives everything.
    """
    now = context.clock()
    periodic_tasks.demand_sequence += 1
    demand = make_demand(
        context.tables,
        entry=EntryId(context.settings.node),
        incarnation=context.incarnation,
        sequence=periodic_tasks.demand_sequence,
    )
    for name, link in periodic_tasks.entries.items():
        since = periodic_tasks.announced_at.get(name, NEVER_ANNOUNCED)
        update = make_relay_message(context.tables, since, now)
        if not update.announcements or cast_link(link, update):
            periodic_tasks.announced_at[name] = now

        cast_link(link, demand)


def reset_announced(periodic_tasks: PeriodicTasks, name: str) -> None:
    """Reset the record of what was announced to an entry whose connection is new."""
    periodic_tasks.announced_at.pop(name, None)


def receive_spread(
    context: EntryContext, periodic_tasks: PeriodicTasks, body: Any
) -> None:
    """Apply a message from another entry."""
    now = context.clock()
    if isinstance(body, SpreadAnnouncements):
        apply_relayed_announcements(context.tables, body, 0.0, now)
    elif isinstance(body, SpreadDemand):
        apply_demand(periodic_tasks.memory, context.tables, body, now)


def run_queue_tick(context: EntryContext, placements: Placements) -> None:
    """Place waiting requests; costs nothing while none waits."""
    if context.tables.waiting:
        run_queue(context, placements)


def run_tables_tick(context: EntryContext, periodic_tasks: PeriodicTasks) -> None:
    """Run the periodic passes over whole tables."""
    now = context.clock()
    expire_upstreams(context.tables, now)
    index_upstreams(context.tables, now)
    smooth_demand(context.tables, now)
    update_total_demand(periodic_tasks.memory, context.tables, now)
