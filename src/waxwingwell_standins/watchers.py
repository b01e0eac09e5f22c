"""Writes the events of a job, or its complete response, to a connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred

from .events import encode_complete_response
from .faults import EngineFaults
from .faults import select_events
from .jobs import Job
from .jobs import JobStatus
from .listener import REQUEST_ID_HEADER
from .listener import Request
from .listener import abort_request
from .listener import reply_error


if TYPE_CHECKING:
    from twisted.python.failure import Failure


STREAM_TYPE = b"text/event-stream; charset=utf-8"
JSON_TYPE = b"application/json"


@dataclass(slots=True)
class Watcher:
    """A connection that follows a job."""

    request: Request
    job: Job
    faults: EngineFaults
    done: Deferred[None]
    sent: int = 0
    """Number of the last event handled, counting from 1."""
    written: int = 0
    """Number of events written to this connection."""
    stalled: bool = False
    closed: bool = False
    on_event: Callable[[], None] = lambda: None


def watch_stream(
    request: Request,
    job: Job,
    faults: EngineFaults,
    *,
    after: int = 0,
    on_lost: Callable[[], None] = lambda: None,
) -> Deferred[None]:
    """Stream the events after number ``after``; fires at the end of the stream."""
    watcher = open_watcher(request, job, faults, on_lost)
    watcher.sent = after
    request.setHeader(b"Content-Type", STREAM_TYPE)
    request.setHeader(b"Cache-Control", b"no-store")
    request.write(b"")
    attach_watcher(watcher, lambda: write_events(watcher))
    return watcher.done


def watch_complete_response(
    request: Request,
    job: Job,
    faults: EngineFaults,
    *,
    on_lost: Callable[[], None] = lambda: None,
) -> Deferred[None]:
    """Send the complete response once the job has ended."""
    watcher = open_watcher(request, job, faults, on_lost)
    attach_watcher(watcher, lambda: write_complete_response(watcher))
    return watcher.done


def open_watcher(
    request: Request, job: Job, faults: EngineFaults, on_lost: Callable[[], None]
) -> Watcher:
    """Return a watcher that is closed when its connection is lost."""
    watcher = Watcher(request, job, faults, Deferred())
    name = faults.answer_as or job.request
    request.setHeader(REQUEST_ID_HEADER.encode(), name.encode())

    def on_disconnect(_: Failure) -> None:
        close_watcher(watcher)
        on_lost()

    request.notifyFinish().addErrback(on_disconnect)
    return watcher


def attach_watcher(watcher: Watcher, on_event: Callable[[], None]) -> None:
    """Follow the job, starting with the events emitted so far."""
    watcher.on_event = on_event
    watcher.job.watchers.append(on_event)
    on_event()


def close_watcher(watcher: Watcher) -> None:
    """Stop following the job; klein finishes a request that is still open."""
    if watcher.closed:
        return

    watcher.closed = True
    if watcher.on_event in watcher.job.watchers:
        watcher.job.watchers.remove(watcher.on_event)

    watcher.done.callback(None)


def write_events(watcher: Watcher) -> None:
    """Write the events that are due, subject to the injected faults."""
    if watcher.closed or watcher.stalled:
        return

    job, faults = watcher.job, watcher.faults
    due, watcher.sent = select_events(faults, job.events, watcher.sent, ended=job.ended)
    limits = [x for x in (faults.drop_after, faults.silent_after) if x is not None]
    fault_due = bool(limits) and watcher.written + len(due) >= min(limits)
    if fault_due:
        due = due[: min(limits) - watcher.written]

    watcher.written += len(due)
    data = b"".join(due)
    if faults.answer_as:
        data = data.replace(job.request.encode(), faults.answer_as.encode())

    if data:
        watcher.request.write(data)

    if fault_due:
        apply_fault(watcher)
    elif job.ended:
        close_watcher(watcher)


def apply_fault(watcher: Watcher) -> None:
    """Abort the connection, or make it unresponsive."""
    if watcher.faults.drop_after is None:
        watcher.stalled = True
        return

    flush_transport(watcher.request)
    abort_request(watcher.request)


def flush_transport(request: Request) -> None:
    """Flush written data, since an abort would discard it."""
    transport: Any = request.channel.transport
    transport.doWrite()


def write_complete_response(watcher: Watcher) -> None:
    """Write the complete response once, unless a fault prevents it."""
    job, faults = watcher.job, watcher.faults
    if watcher.closed or watcher.stalled or not job.ended:
        return

    if faults.drop_after is not None or faults.silent_after is not None:
        apply_fault(watcher)
        return

    if job.status is JobStatus.CANCELLED:
        body = reply_error(
            watcher.request, status=409, code="cancelled", message="it was cancelled"
        )
    else:
        watcher.request.setHeader(b"Content-Type", JSON_TYPE)
        name = faults.answer_as or job.request
        reason = "length" if job.truncated else "stop"
        text = "".join(job.tokens)
        body = encode_complete_response(name, job.version, text, reason, job.usage)

    watcher.request.write(body)
    close_watcher(watcher)
