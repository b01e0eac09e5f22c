"""One streamed answer under way, over however many connections."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from opentelemetry.trace import Span
from twisted.internet.defer import Deferred

from ...records import LedgerRow
from ...records import UpstreamId
from ...records import VersionId
from .chats import Chat
from .choice import ChosenWork
from .relay import Sink
from .replies import Problem
from .streams import EventStream


if TYPE_CHECKING:
    from .context import EntryContext


@dataclass(slots=True)
class StreamRun:
    """One streamed answer under way."""

    chat: Chat
    chosen: ChosenWork
    stream: EventStream
    sink: Sink
    span: Span
    version: VersionId
    reserved: Deferred[Any] | None = None
    refusal: Problem | None = None
    """Why the row could not be reserved while the engine was at work."""
    upstream: UpstreamId = UpstreamId("")
    ran: bool = False
    """An engine may have begun: "not run" would be untrue from here on."""
    resumes: int = 0
    excluded: frozenset[UpstreamId] = frozenset()
    attached: LedgerRow | None = None
    """Row of the same key that runs or ended elsewhere; its answer is fetched."""
    evidence_recorded: bool = False
    """The dispatch was noted as evidence."""
    set_request_id: Callable[[str], None] = lambda name: None
    """Tells the caller the request id under which the answer runs."""


def leave_upstream(run: StreamRun) -> None:
    """Ask this engine no more for this answer."""
    run.excluded |= {run.upstream}
    run.upstream = UpstreamId("")


def can_resume(context: EntryContext, upstream: UpstreamId) -> bool:
    """Tell whether an engine keeps answers for a new connection."""
    row = context.tables.upstreams.get(upstream)
    return row is not None and row.announcement.capabilities.resume
