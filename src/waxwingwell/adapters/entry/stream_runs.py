"""State of one streaming response, over any number of engine connections."""

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
    """State of one streaming response."""

    chat: Chat
    chosen: ChosenWork
    stream: EventStream
    sink: Sink
    span: Span
    version: VersionId
    reserved: Deferred[Any] | None = None
    refusal: Problem | None = None
    """Reason why the row could not be reserved while the engine was running."""
    upstream: UpstreamId = UpstreamId("")
    ran: bool = False
    """An engine may have started, so the outcome can no longer be "not run"."""
    resumes: int = 0
    excluded: frozenset[UpstreamId] = frozenset()
    attached: LedgerRow | None = None
    """Existing row of the same key, running or ended, whose response is fetched."""
    evidence_recorded: bool = False
    """The dispatch was recorded as evidence."""
    set_request_id: Callable[[str], None] = lambda request_id: None
    """Sets the request id that the caller sees, once another row is attached."""


def exclude_upstream(run: StreamRun) -> None:
    """Exclude the current engine from further attempts of this run."""
    run.excluded |= {run.upstream}
    run.upstream = UpstreamId("")


def can_resume(context: EntryContext, upstream: UpstreamId) -> bool:
    """Return whether an engine keeps responses for a resume."""
    row = context.tables.upstreams.get(upstream)
    return row is not None and row.announcement.capabilities.resume
