"""The replicated group inside a registry process: opening, ticking, repairing."""

from __future__ import annotations

import random
from dataclasses import replace
from typing import TYPE_CHECKING

from twisted.internet.defer import Deferred

from ...routing.messages import Accepted
from ...routing.messages import NotAccepted
from ...routing.messages import RoutingNow
from ...state.consensus.records import Timing
from ...state.exceptions import CorruptStorageError
from ...state.exceptions import StorageError
from ...state.group import Committed
from ...state.group import Machine
from ...state.group import NotLeading
from ...state.group import flush_group
from ...state.group import leader_of
from ...state.group import leads
from ...state.group import open_group
from ...state.group import propose
from ...state.group import tick_group
from ...state.routing import RoutingState
from ...state.routing import apply_routing
from ...state.routing import decode_command
from ...state.routing import load_routing
from ...state.routing import save_routing
from ...state.routing import version_of
from ...state.storage import open_store
from ..events import log_event
from ..links import cast_link


if TYPE_CHECKING:
    from ...messages import Message
    from ...routing.messages import RoutingCommand
    from ...state.consensus.messages import ConsensusMessage
    from ...state.group import ProposalOutcome
    from .context import RegistryContext


GROUP_ID = "routing"
REOPEN_SECONDS = 1.0
"""Between two tries to open a disk that failed; a full disk recovers within seconds."""
TIMING = Timing(
    heartbeat=0.12,
    election_min=0.3,
    election_max=0.6,
    open_to_all=True,
    snapshot_bytes=1 << 20,
    snapshot_tail=50,
    absent=2.0,
)
"""A stalled disk or a short freeze of the leader costs at most about 0.9 s, and all
members that start at once lead after 0.45 s (with 0.5 and 0.9 s: 0.70 s; means of 150
starts in memory with 5 to 8 ms a way and two disks emptied). A packet that is lost and
sent again after 0.2 s must not pass for a dead leader. A voter is replaced after 2 s of
silence if a spare member waits: a VM that was exchanged must not count for long, as two
more may lose their disks once its successor has had 4 s."""
LEAST_VOTERS = 5
"""Where there are so many controls: one may be replaced while another is lost."""


def open_member(context: RegistryContext, heard_at: float | None = None) -> None:
    """Open the data folder and take part in the group; try again later if it fails.

    ``heard_at`` is the latest time at which this member may have answered a leader.

    Failure: the disk is full or answers nothing. The process stays, so that it still
    serves gateways with news of upstreams, and takes part again once the disk does.
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
            timing=replace(TIMING, most_voters=count_voters(settings.losses)),
            random=random.SystemRandom(),
            now=context.clock(),
            heard_at=heard_at,
            bootstrap=settings.found and settings.address in settings.controls,
        )
    except CorruptStorageError as error:
        log_event("registry: Data is unreadable, joining anew", reason=str(error))
        erase_data(context)
        context.reopen_at = context.clock() + REOPEN_SECONDS
    except StorageError as error:
        log_event("registry: Disk unavailable", reason=str(error))
        context.reopen_at = context.clock() + REOPEN_SECONDS


def count_voters(losses: int) -> int:
    """Return how many voters keep a majority when some lose their disks."""
    return max(2 * losses + 1, LEAST_VOTERS)


def make_machine(context: RegistryContext) -> Machine:
    """Return the closures by which the log drives the routing state."""

    def apply(index: int, command: bytes) -> bytes:
        decoded = decode_command(command)
        apply_routing(context.state, decoded)
        log_event(
            "registry: Command applied", index=index, command=type(decoded).__name__
        )
        return b""

    def restore(data: bytes) -> None:
        context.state = load_routing(data)

    return Machine(
        apply=apply, save=lambda: save_routing(context.state), restore=restore
    )


def send_message(
    context: RegistryContext, member: str, message: ConsensusMessage
) -> None:
    """Send a message of the log to another control, if a link to it is up."""
    link = context.controls.get(member)
    if link is not None:
        cast_link(link, message)


def tick_member(context: RegistryContext, now: float) -> None:
    """Do what is due in the group, and repair it if it stopped."""
    group = context.group
    if group is None:
        if now >= context.reopen_at:
            open_member(context)

        return

    if group.halted or group.replica.expelled:
        close_member(context)
        return

    tick_group(group, now)
    flush_group(group, now)
    note_leader(context)


def close_member(context: RegistryContext) -> None:
    """Let go of a group that can't go on, and open it anew later.

    An expelled member has lost its vote for good, so its data is of no use: it joins
    as a new one. A halted one reads again what its disk truly holds.
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
    context.reopen_at = context.clock() + REOPEN_SECONDS
    group.store.close()
    if group.replica.expelled:
        erase_data(context)


def erase_data(context: RegistryContext) -> None:
    """Remove the group's files; its next member id is a fresh one."""
    for path in context.settings.data_folder.glob(f"{GROUP_ID}.sqlite*"):
        path.unlink(missing_ok=True)


def note_leader(context: RegistryContext) -> None:
    """Log it when the leader or the members change."""
    group = context.group
    if group is None:
        return

    membership = group.replica.membership
    if membership != context.members:
        context.members = membership
        log_event(
            "registry: Members changed",
            voters=membership.voters,
            learners=membership.learners,
            index=group.replica.membership_index,
        )

    leader = leader_of(group)
    if leader == context.led:
        return

    context.led = leader
    log_event("registry: Leader changed", leader=leader, term=group.replica.term)


def request_flush(context: RegistryContext) -> None:
    """Flush once all that has arrived in this turn of the reactor was taken in."""
    if not context.flush_due:
        context.flush_due = True
        context.reactor.callLater(0, run_flush, context)


def run_flush(context: RegistryContext) -> None:
    """Make everything since the last flush durable, then send and apply."""
    context.flush_due = False
    if context.group is not None:
        flush_group(context.group, context.clock())


def is_leading(context: RegistryContext, now: float) -> bool:
    """Tell whether this process holds the leader's lease."""
    return context.group is not None and leads(context.group, now)


def is_current(context: RegistryContext, now: float) -> bool:
    """Tell whether what is applied here is the newest, or a moment old at most.

    Failure: a control that starts with an old disk would hand gateways an old state.
    """
    group = context.group
    if group is None:
        return False

    if leads(group, now):
        return True

    replica = group.replica
    followed = replica.leader != "" and now - replica.heard_at < TIMING.election_max
    return followed and replica.applied >= replica.commit > 0


def submit_here(
    context: RegistryContext, command: RoutingCommand, encoded: bytes
) -> Deferred[Message]:
    """Put a command through the log if this process leads."""
    answer: Deferred[Message] = Deferred()
    group = context.group
    if group is None:
        answer.callback(NotAccepted(reason="the disk of this control is unavailable"))
        return answer

    def settle(outcome: ProposalOutcome) -> None:
        if isinstance(outcome, Committed):
            answer.callback(Accepted())
        elif isinstance(outcome, NotLeading):
            answer.callback(NotAccepted(reason=f"led by {outcome.leader or 'nobody'}"))
        else:
            answer.callback(NotAccepted(reason="the lead was lost on the way"))

    propose(group, encoded, settle, context.clock())
    request_flush(context)
    return answer


def read_here(context: RegistryContext) -> RoutingNow | NotAccepted:
    """Return the state held here if this process leads."""
    group = context.group
    if group is None or not is_leading(context, context.clock()):
        return NotAccepted(reason="this control doesn't lead")

    if group.replica.applied < group.replica.first_of_term:
        return NotAccepted(reason="the new leader has not caught up yet")

    return RoutingNow(
        version=version_of(context.state),
        source=context.state.source,
        rollouts=tuple(context.state.rollouts.values()),
    )
