"""This process's member of the replicated group: opening, ticking, recovery."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from ...routing.messages import Accepted
from ...routing.messages import NotAccepted
from ...routing.messages import Publish
from ...routing.messages import RoutingNow
from ...routing.messages import SetEvacuation
from ...routing.reports import record_founding
from ...routing.sources import complete_document
from ...state.consensus.records import Membership
from ...state.consensus.records import Timing
from ...state.exceptions import CorruptStorageError
from ...state.exceptions import StorageError
from ...state.group import Committed
from ...state.group import Machine
from ...state.group import NotLeading
from ...state.group import flush_group
from ...state.group import leads
from ...state.group import open_group
from ...state.group import propose
from ...state.group import tick_group
from ...state.routing import RoutingState
from ...state.routing import apply_routing
from ...state.routing import decode_command
from ...state.routing import list_evacuated
from ...state.routing import load_routing
from ...state.routing import save_routing
from ...state.routing import version_of
from ...state.storage import open_store
from ..events import log_event
from ..events import log_warning
from ..links import cast_link
from .member_log import report_membership


if TYPE_CHECKING:
    from ...messages import Message
    from ...routing.messages import RoutingCommand
    from ...routing.records import Document
    from ...state.consensus.messages import ConsensusMessage
    from ...state.group import ProposalOutcome
    from .context import RegistryContext


GROUP_ID = "routing"
REOPEN_SECONDS = 1.0
"""Seconds between attempts to open a failed disk; a full disk recovers within
seconds."""
TIMING = Timing(
    heartbeat=0.12,
    election_min=0.3,
    election_max=0.6,
    open_to_all=True,
    snapshot_bytes=1 << 20,
    snapshot_tail=50,
    absence_timeout=2.0,
)
"""Times are in seconds. A stalled disk or a short freeze of the leader costs at most
about 0.9 s, and members that all start at once elect a leader after 0.45 s (with
election timeouts of 0.5 to 0.9 s: 0.70 s; means of 150 starts in memory, 5 to 8 ms one
way, two disks emptied). The minimum is above 0.2 s so that a lost packet that is
retransmitted after that time is not taken for a dead leader. A voter without contact is
replaced after 2 s if a spare member is available: a VM that was replaced must not count
as a voter for long, as two more may lose their disks once its successor has had 4 s."""
OVERTAKEN = b"overtaken"
"""Result of applying a command that later ones have overtaken."""
MIN_VOTERS = 5
"""Fewest voters if there are that many controls: one may be replaced while another is
lost."""


def open_member(context: RegistryContext, heard_at: float | None = None) -> None:
    """Open the data folder and join the group; retry later if that fails.

    ``heard_at`` is the latest time at which this member may have replied to a leader.

    If the disk is full or unresponsive, the process keeps running, so that gateways
    still get announcements of upstreams. It rejoins once the disk works again.
    """
    settings = context.settings
    names = tuple(sorted({*settings.controls, settings.address}))
    context.state = RoutingState()
    try:
        store = open_store(settings.data_folder, GROUP_ID)
        context.group = open_group(
            group_id=GROUP_ID,
            member=settings.address,
            members=names,
            store=store,
            machine=make_machine(context),
            send=lambda member, message: send_message(context, member, message),
            timing=replace(TIMING, max_voters=count_voters(settings.tolerated_losses)),
            random=random.SystemRandom(),
            now=context.clock(),
            heard_at=heard_at,
            bootstrap=may_found_group(context),
            list_contacts=context.controls.keys,
        )
    except CorruptStorageError as error:
        log_event(
            "registry: Data is unreadable, erasing it to rejoin the group",
            reason=str(error),
        )
        erase_data(context)
        context.reopen_at = context.clock() + REOPEN_SECONDS
    except StorageError as error:
        log_event("registry: Disk unavailable", reason=str(error))
        context.reopen_at = context.clock() + REOPEN_SECONDS


def may_found_group(context: RegistryContext) -> bool:
    """Return whether this control may found the group rather than join one.

    A process that has erased its data belonged to a group. If it founded another with
    other erased controls, the two groups would accept orders independently.
    """
    settings = context.settings
    if context.has_erased or not settings.first_start:
        return False

    return settings.address in settings.controls


def count_voters(losses: int) -> int:
    """Return the number of voters that keeps a majority after that many lost disks."""
    return max(2 * losses + 1, MIN_VOTERS)


def make_machine(context: RegistryContext) -> Machine:
    """Return the callbacks that apply, save and restore the routing state."""

    def apply(index: int, command: bytes) -> bytes:
        decoded = decode_command(command)
        former = context.state.document
        accepted = apply_routing(context.state, decoded)
        if isinstance(decoded, Publish):
            complete_state(context)
            warn_of_open_routes(former, context.state.document)

        log_event(
            "registry: Command applied",
            index=index,
            command=type(decoded).__name__,
            accepted=accepted,
        )
        if isinstance(decoded, SetEvacuation):
            log_evacuations(context, index, decoded)

        return b"" if accepted else OVERTAKEN

    def restore(data: bytes) -> None:
        context.state = load_routing(data)
        complete_state(context)

    return Machine(
        apply=apply, save=lambda: save_routing(context.state), restore=restore
    )


def complete_state(context: RegistryContext) -> None:
    """Complete the document that an earlier release may have stored."""
    state = context.state
    if state.document is None:
        return

    completed = complete_document(state.document, state.source, context.requires_key)
    if completed.needs_key != state.document.needs_key:
        log_event(
            "registry: Document completed",
            version=completed.version,
            needs_key=completed.needs_key,
        )

    state.document = completed


def warn_of_open_routes(former: Document | None, document: Document | None) -> None:
    """Log a warning if a document drops the need of a key."""
    if former is None or document is None:
        return

    if former.needs_key and not document.needs_key:
        log_warning(
            "registry: All routes are open",
            version=document.version,
            former=former.version,
        )


def log_evacuations(
    context: RegistryContext, index: int, command: SetEvacuation
) -> None:
    """Log the effect of an evacuation order, and the data centres now evacuated."""
    log_event(
        "registry: Evacuation",
        index=index,
        data_centre=command.data_centre,
        active=command.active,
        evacuated=list_evacuated(context.state),
    )


def send_message(
    context: RegistryContext, member: str, message: ConsensusMessage
) -> None:
    """Send a consensus message to another control, if there is a link to it."""
    link = context.controls.get(member)
    if link is not None:
        cast_link(link, message)


def tick_member(context: RegistryContext, now: float) -> None:
    """Run the group's timers; close and later reopen a group that has stopped."""
    group = context.group
    if group is None:
        if now >= context.reopen_at:
            open_member(context)
    elif group.halted or group.replica.expelled:
        close_member(context)
    else:
        tick_group(group, now)
        flush_group(group, now)
        if group.replica.founded:
            record_founding(context.reports)

    report_membership(context, now)


def close_member(context: RegistryContext) -> None:
    """Close a group that can't continue, and schedule reopening it.

    An expelled member never gets its vote back, so its data is erased and it joins as
    a new member. A halted member rereads its disk, as its memory may differ from it.
    """
    group = context.group
    if group is None:
        return

    log_event(
        "registry: Member closed",
        reason=group.halted or "expelled",
        expelled=group.replica.expelled,
    )
    context.group = None
    context.logged_members = Membership()
    context.logged_leader = ""
    context.reopen_at = context.clock() + REOPEN_SECONDS
    group.store.close()
    if group.replica.expelled:
        erase_data(context)


def erase_data(context: RegistryContext) -> None:
    """Delete the group's files, so that the next open creates a new member id."""
    context.has_erased = True
    for path in context.settings.data_folder.glob(f"{GROUP_ID}.sqlite*"):
        path.unlink(missing_ok=True)


def request_flush(context: RegistryContext) -> None:
    """Schedule one flush after all input of this turn of the reactor was handled."""
    if not context.flush_due:
        context.flush_due = True
        context.reactor.callLater(0, run_flush, context)


def run_flush(context: RegistryContext) -> None:
    """Write everything since the last flush to disk, then send and apply it."""
    context.flush_due = False
    if context.group is not None:
        flush_group(context.group, context.clock())


def is_leading(context: RegistryContext, now: float) -> bool:
    """Tell whether this process holds the leader's lease."""
    return context.group is not None and leads(context.group, now)


def is_current(context: RegistryContext, now: float) -> bool:
    """Tell whether the state applied here is the newest or at most a moment old.

    Without this check, a control that starts with an old disk would send gateways an
    outdated state.
    """
    group = context.group
    if group is None:
        return False

    if leads(group, now):
        return True

    replica = group.replica
    followed = replica.leader != "" and now - replica.heard_at < TIMING.election_max
    return followed and replica.applied >= replica.commit > 0


def submit_locally(
    context: RegistryContext, command: RoutingCommand, encoded: bytes
) -> Deferred[Message]:
    """Propose a command to the replicated log if this process leads."""
    reply: Deferred[Message] = Deferred()
    group = context.group
    if group is None:
        reply.callback(NotAccepted(reason="the disk of this control is unavailable"))
        return reply

    def finish(outcome: ProposalOutcome) -> None:
        if isinstance(outcome, Committed) and outcome.result == OVERTAKEN:
            reply.callback(NotAccepted(reason="a later order has taken effect"))
        elif isinstance(outcome, Committed):
            reply.callback(Accepted())
        elif isinstance(outcome, NotLeading):
            reply.callback(NotAccepted(reason=f"led by {outcome.leader or 'nobody'}"))
        else:
            reply.callback(NotAccepted(reason="the lead was lost on the way"))

    propose(group, encoded, finish, context.clock())
    request_flush(context)
    return reply


def read_local_state(context: RegistryContext) -> RoutingNow | NotAccepted:
    """Return the applied state if this process leads and has caught up."""
    group = context.group
    if group is None or not is_leading(context, context.clock()):
        return NotAccepted(reason="this control doesn't lead")

    if group.replica.applied < group.replica.term_start_index:
        return NotAccepted(reason="the new leader has not caught up yet")

    return RoutingNow(
        version=version_of(context.state),
        source=context.state.source,
        rollouts=tuple(context.state.rollouts.values()),
        evacuations=tuple(context.state.evacuations.values()),
    )
