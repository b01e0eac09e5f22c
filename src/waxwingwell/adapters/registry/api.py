"""What operators and upstreams ask of a registry, whatever they speak.

Any control answers; what must be the newest is asked of the leader.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import msgspec
from twisted.internet.defer import succeed

from ...records import Finding
from ...routing.faults import find_faults
from ...routing.fleet import Announcement
from ...routing.fleet import UpstreamState
from ...routing.messages import Accepted
from ...routing.messages import BeginRollout
from ...routing.messages import NotAccepted
from ...routing.messages import Publish
from ...routing.messages import ReadRouting
from ...routing.messages import RoutingNow
from ...routing.messages import SubmitRouting
from ...state.group import leader_of
from ..events import log_event
from ..links import call_link
from ..measures import ORDERS
from .hub import spread_news
from .members import is_leading
from .members import read_here
from .members import submit_here


if TYPE_CHECKING:
    from typing import Any

    from twisted.internet.defer import Deferred
    from twisted.python.failure import Failure

    from ...messages import Message
    from ...routing.messages import RoutingCommand
    from ...routing.records import Document
    from .context import RegistryContext


CALL_SECONDS = 0.8
"""For a call to the leader; operators try another control after a second."""


@dataclass(frozen=True, slots=True)
class Refused:
    """A document that can't be published, and every reason."""

    findings: tuple[Finding, ...]


def publish_document(
    context: RegistryContext, document: Document, source: bytes
) -> Deferred[Accepted | NotAccepted | Refused]:
    """Check a document and put it into force on all members."""
    findings = find_faults(document)
    if findings:
        log_event(
            "registry: Document refused",
            version=document.version,
            findings=[f"{one.place}: {one.message}" for one in findings],
        )
        return succeed(Refused(findings))

    command = Publish(document=document, source=source)
    return submit(context, command)


def begin_rollout(
    context: RegistryContext, service: str, target: str, duration: float
) -> Deferred[Accepted | NotAccepted]:
    """Order a move of a service's traffic to another version."""
    command = BeginRollout(
        service=service,
        target=target,
        duration=duration,
        ordered_at=context.wall_clock(),
    )
    return submit(context, command)


def submit(context: RegistryContext, command: RoutingCommand) -> Deferred[Any]:
    """Put a command through the log, here or at the leader."""
    now = context.clock()
    if is_leading(context, now):
        encoded = msgspec.msgpack.encode(command)
        answer = submit_here(context, command, encoded)
    else:
        answer = ask_leader(context, SubmitRouting(command=command))

    answer.addCallback(log_outcome, type(command).__name__)
    return answer


def log_outcome(outcome: Any, command: str) -> Any:
    """Log what became of an order."""
    reason = outcome.reason if isinstance(outcome, NotAccepted) else ""
    accepted = isinstance(outcome, Accepted)
    ORDERS.labels(command, str(accepted).lower()).inc()
    log_event("registry: Order", command=command, accepted=accepted, reason=reason)
    return outcome


def ask_leader(context: RegistryContext, body: Message) -> Deferred[Any]:
    """Call the leader; without one the answer is ``NotAccepted`` at once."""
    leader = "" if context.group is None else leader_of(context.group)
    link = context.controls.get(leader)
    if link is None:
        return succeed(NotAccepted(reason="no leader is known"))

    def fail(failure: Failure) -> Message:
        return NotAccepted(reason=f"the leader: {failure.getErrorMessage()}")

    return call_link(link, body, timeout=CALL_SECONDS).addErrback(fail)


def read_newest(context: RegistryContext) -> Deferred[RoutingNow | NotAccepted]:
    """Return the newest state, proven by the leader's lease."""
    if is_leading(context, context.clock()):
        return succeed(read_here(context))

    return ask_leader(context, ReadRouting())


def announce(context: RegistryContext, news: Announcement) -> None:
    """Take an upstream's announcement; gateways know of it when this returns."""
    context.heard[news.upstream] = (news.incarnation, news.sequence)
    spread_news(context, news)


def withdraw(context: RegistryContext, upstream: str, incarnation: int | None) -> bool:
    """Take an upstream's leave; false if nothing is known of it here.

    Without an incarnation the one that is known leaves.
    """
    held = context.fleet.upstreams.get(upstream)
    if held is not None:
        news = msgspec.structs.replace(
            held.news,
            state=UpstreamState.GONE,
            incarnation=held.news.incarnation if incarnation is None else incarnation,
        )
        spread_news(context, news)
        return True

    if incarnation is None:
        return False

    news = Announcement(
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
    spread_news(context, news)
    return True
