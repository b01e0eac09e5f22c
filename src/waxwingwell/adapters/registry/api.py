"""Protocol-independent operations of a registry for operators and upstreams.

Any control accepts them. Commands and reads of the newest state go to the leader.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from twisted.internet.defer import succeed
from twisted.internet.task import deferLater

from ...records import Finding
from ...routing.fleet import Announcement
from ...routing.fleet import UpstreamState
from ...routing.messages import Accepted
from ...routing.messages import BeginRollout
from ...routing.messages import NotAccepted
from ...routing.messages import Publish
from ...routing.messages import ReadRouting
from ...routing.messages import RoutingNow
from ...routing.messages import SetEvacuation
from ...routing.messages import SubmitRouting
from ...routing.validation import find_document_problems
from ...state.group import leader_of
from ...state.routing import count_rollouts
from ...state.routing import find_evacuation
from ..events import log_event
from ..links import call_link
from ..metrics import ORDERS
from .announcements import broadcast_announcement
from .members import is_leading
from .members import read_local_state
from .members import submit_locally


if TYPE_CHECKING:
    from collections.abc import Callable
    from typing import Any

    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from ...messages import Message
    from ...routing.messages import RoutingCommand
    from ...routing.records import Document
    from .context import RegistryContext


CALL_SECONDS = 0.8
"""Timeout of a call to the leader; operators try another control after a second."""
ABANDON_CHECK_SECONDS = 0.002
"""Seconds after which an order is executed: the end of its connection, if it has
arrived too, is read by then."""


@dataclass(frozen=True, slots=True)
class Refused:
    """The outcome for an invalid order, with all validation findings."""

    findings: tuple[Finding, ...]


def publish_document(
    context: RegistryContext, document: Document, source: bytes
) -> Deferred[Accepted | NotAccepted | Refused]:
    """Validate a document and commit it to the replicated log."""
    findings = find_document_problems(document)
    if findings:
        log_event(
            "registry: Document refused",
            version=document.version,
            findings=[f"{one.place}: {one.message}" for one in findings],
        )
        return succeed(Refused(findings))

    command = Publish(document=document, source=source)
    return submit(context, command)


def start_rollout(
    context: RegistryContext,
    service: str,
    target: str,
    duration: float,
    *,
    is_abandoned: Callable[[], bool],
) -> Deferred[Accepted | NotAccepted]:
    """Start a roll-out that shifts a service's traffic to another version.

    ``is_abandoned`` tells whether the operator has disconnected.
    """
    command = BeginRollout(
        service=service,
        target=target,
        duration=duration,
        ordered_at=context.wall_clock(),
        revision=count_rollouts(context.state, service),
    )
    return submit_unless_abandoned(context, command, is_abandoned)


def order_evacuation(
    context: RegistryContext,
    data_centre: str,
    *,
    active: bool,
    is_abandoned: Callable[[], bool],
) -> Deferred[Accepted | NotAccepted | Refused]:
    """Evacuate a data centre, or withdraw its evacuation.

    ``is_abandoned`` tells whether the operator has disconnected.
    """
    known = context.settings.data_centres
    if known and data_centre not in known:
        names = ", ".join(known)
        message = f"{data_centre!r} is unknown; the data centres are {names}"
        log_event(
            "registry: Evacuation refused", data_centre=data_centre, reason=message
        )
        return succeed(Refused((Finding("data centre", message),)))

    command = SetEvacuation(
        data_centre=data_centre,
        active=active,
        revision=find_evacuation(context.state, data_centre).revision,
    )
    return submit_unless_abandoned(context, command, is_abandoned)


def submit_unless_abandoned(
    context: RegistryContext,
    command: RoutingCommand,
    is_abandoned: Callable[[], bool],
) -> Deferred[Any]:
    """Submit a command if its operator is still connected.

    A process that was suspended may read an order long after its operator has sent it
    elsewhere, and has ordered the opposite or seen its outcome since; the end of that
    connection is read next.
    """

    def propose(_: object) -> Deferred[Any]:
        if is_abandoned():
            log_event("registry: Order abandoned", command=type(command).__name__)
            return succeed(NotAccepted(reason="the operator has disconnected"))

        return submit(context, command)

    checked: Deferred[Any] = deferLater(context.reactor, ABANDON_CHECK_SECONDS)
    return checked.addCallback(propose)


def submit(context: RegistryContext, command: RoutingCommand) -> Deferred[Any]:
    """Submit a command to the replicated log, through the leader if it is elsewhere."""
    now = context.clock()
    if is_leading(context, now):
        encoded = msgspec.msgpack.encode(command)
        reply = submit_locally(context, command, encoded)
    else:
        reply = ask_leader(context, SubmitRouting(command=command))

    reply.addCallback(log_outcome, type(command).__name__)
    return reply


def log_outcome(outcome: Any, command: str) -> Any:
    """Log and count the outcome of a command, then pass it on."""
    reason = outcome.reason if isinstance(outcome, NotAccepted) else ""
    accepted = isinstance(outcome, Accepted)
    ORDERS.labels(command, str(accepted).lower()).inc()
    log_event("registry: Order", command=command, accepted=accepted, reason=reason)
    return outcome


def ask_leader(context: RegistryContext, body: Message) -> Deferred[Any]:
    """Call the leader; without a link to one, reply ``NotAccepted`` at once."""
    leader = "" if context.group is None else leader_of(context.group)
    link = context.controls.get(leader)
    if link is None:
        return succeed(NotAccepted(reason="no leader is known"))

    def fail(failure: Failure) -> Message:
        return NotAccepted(reason=f"the leader: {failure.getErrorMessage()}")

    return call_link(link, body, timeout=CALL_SECONDS).addErrback(fail)


def read_newest(context: RegistryContext) -> Deferred[RoutingNow | NotAccepted]:
    """Return the newest committed state, as confirmed by the leader's lease."""
    if is_leading(context, context.clock()):
        return succeed(read_local_state(context))

    return ask_leader(context, ReadRouting())


def announce(context: RegistryContext, announcement: Announcement) -> None:
    """Apply an upstream's announcement; changes are sent before this returns.

    One that takes a known upstream to a service that the document doesn't name is from
    another writer, and names no upstream.
    """
    if is_foreign(context, announcement):
        log_event(
            "registry: Announcement dropped",
            upstream=announcement.upstream,
            service=announcement.service,
        )
        return

    context.heard[announcement.upstream] = (
        announcement.incarnation,
        announcement.sequence,
    )
    broadcast_announcement(context, announcement)


def is_foreign(context: RegistryContext, announcement: Announcement) -> bool:
    """Return whether an announcement takes an upstream to an unknown service."""
    held = context.fleet.upstreams.get(announcement.upstream)
    document = context.state.document
    if held is None or document is None:
        return False

    if held.announcement.service == announcement.service:
        return False

    return announcement.service not in {one.name for one in document.services}


def withdraw(context: RegistryContext, upstream: str, incarnation: int | None) -> bool:
    """Deregister an upstream; return false if it is unknown and can't be identified.

    Without an incarnation, the known one is deregistered. An upstream unknown here is
    deregistered only if the incarnation is given.
    """
    held = context.fleet.upstreams.get(upstream)
    if held is not None:
        announcement = msgspec.structs.replace(
            held.announcement,
            state=UpstreamState.GONE,
            incarnation=held.announcement.incarnation
            if incarnation is None
            else incarnation,
        )
        broadcast_announcement(context, announcement)
        return True

    if incarnation is None:
        return False

    announcement = Announcement(
        upstream=upstream,
        service="",
        host="",
        port=0,
        data_centre="",
        version="",
        slots=0,
        state=UpstreamState.GONE,
        incarnation=incarnation,
        sequence=0,
    )
    broadcast_announcement(context, announcement)
    return True
