"""Writes a job's events, or its whole answer, to one connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred

from .events import encode_whole
from .faults import EngineFaults
from .faults import arrange_events
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
    """One connection that follows a job."""

    request: Request
    job: Job
    faults: EngineFaults
    done: Deferred[None]
    sent: int = 0
    """Number of the last event accounted for."""
    written: int = 0
    """Events written on this connection."""
    mute: bool = False
    over: bool = False
    on_event: Callable[[], None] = lambda: None


def watch_stream(
    request: Request,
    job: Job,
    faults: EngineFaults,
    *,
    after: int = 0,
    on_lost: Callable[[], None] = lambda: None,
) -> Deferred[None]:
    """Stream the events after a number; fires at the stream's end."""
    watcher = open_watcher(request, job, faults, on_lost)
    watcher.sent = after
    request.setHeader(b"Content-Type", STREAM_TYPE)
    request.setHeader(b"Cache-Control", b"no-store")
    request.write(b"")
    attach_watcher(watcher, lambda: write_events(watcher))
    return watcher.done


def watch_whole(
    request: Request,
    job: Job,
    faults: EngineFaults,
    *,
    on_lost: Callable[[], None] = lambda: None,
) -> Deferred[None]:
    """Answer with the whole text once the job has ended."""
    watcher = open_watcher(request, job, faults, on_lost)
    attach_watcher(watcher, lambda: write_whole(watcher))
    return watcher.done


def open_watcher(
    request: Request, job: Job, faults: EngineFaults, on_lost: Callable[[], None]
) -> Watcher:
    """Return a watcher that ends when its connection is lost."""
    watcher = Watcher(request, job, faults, Deferred())
    name = faults.answer_as or job.request
    request.setHeader(REQUEST_ID_HEADER.encode(), name.encode())

    def lose(_: Failure) -> None:
        close_watcher(watcher)
        on_lost()

    request.notifyFinish().addErrback(lose)
    return watcher


def attach_watcher(watcher: Watcher, on_event: Callable[[], None]) -> None:
    """Follow the job, starting with what it has made already."""
    watcher.on_event = on_event
    watcher.job.watchers.append(on_event)
    on_event()


def close_watcher(watcher: Watcher) -> None:
    """Stop following; klein finishes the request if it is still open."""
    if watcher.over:
        return

    watcher.over = True
    if watcher.on_event in watcher.job.watchers:
        watcher.job.watchers.remove(watcher.on_event)

    watcher.done.callback(None)


def write_events(watcher: Watcher) -> None:
    """Write what is due, as far as the faults let it through."""
    if watcher.over or watcher.mute:
        return

    job, faults = watcher.job, watcher.faults
    due, watcher.sent = arrange_events(
        faults, job.events, watcher.sent, ended=job.ended
    )
    limits = [x for x in (faults.drop_after, faults.silent_after) if x is not None]
    cut = bool(limits) and watcher.written + len(due) >= min(limits)
    if cut:
        due = due[: min(limits) - watcher.written]

    watcher.written += len(due)
    data = b"".join(due)
    if faults.answer_as:
        data = data.replace(job.request.encode(), faults.answer_as.encode())

    if data:
        watcher.request.write(data)

    if cut:
        make_fault(watcher)
    elif job.ended:
        close_watcher(watcher)


def make_fault(watcher: Watcher) -> None:
    """Cut the connection, or let it go silent for good."""
    if watcher.faults.drop_after is None:
        watcher.mute = True
        return

    flush_transport(watcher.request)
    abort_request(watcher.request)


def flush_transport(request: Request) -> None:
    """Push written bytes out, since an abort would throw them away."""
    transport: Any = request.channel.transport
    transport.doWrite()


def write_whole(watcher: Watcher) -> None:
    """Write the whole answer once, unless a fault keeps it back."""
    job, faults = watcher.job, watcher.faults
    if watcher.over or watcher.mute or not job.ended:
        return

    if faults.drop_after is not None or faults.silent_after is not None:
        make_fault(watcher)
        return

    if job.status is JobStatus.CANCELLED:
        body = reply_error(
            watcher.request, status=409, code="cancelled", message="it was cancelled"
        )
    else:
        watcher.request.setHeader(b"Content-Type", JSON_TYPE)
        name = faults.answer_as or job.request
        reason = "length" if job.cut else "stop"
        text = "".join(job.tokens)
        body = encode_whole(name, job.version, text, reason, job.usage)

    watcher.request.write(body)
    close_watcher(watcher)
