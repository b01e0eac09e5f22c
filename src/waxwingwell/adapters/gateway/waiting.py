"""Queue of requests that arrive before the gateway's first configuration.

When all processes restart, a gateway accepts connections some tenths of a second before
the controls have elected a leader. Callers refused twice in that time give up, although
each could be served a moment later, so their requests are queued instead.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from ...routing.admission import MAX_RETRY_AFTER_PART
from ..events import run_logged


if TYPE_CHECKING:
    from ..http.responder import Responder


MAX_WAITING = 200
"""Maximum number of queued requests; each holds its body, some tens of kilobytes."""
WAIT_SECONDS = 2.0
"""Longest wait in seconds: it covers a failed election and the next one."""


@dataclass(slots=True, eq=False)
class QueuedRequest:
    """A request that waits for the first configuration.

    ``serve`` or ``refuse`` ends its wait; ``timer`` limits it.
    """

    serve: Callable[[], None]
    refuse: Callable[[], None]
    timer: Any = None


@dataclass(slots=True)
class StartupQueue:
    """The queued requests in order of arrival."""

    waiting: dict[QueuedRequest, None] = field(default_factory=dict)


def compute_wait_limit(startup_queue: StartupQueue, budget: float | None) -> float:
    """Return the seconds that one more request may wait; 0 if it may not.

    ``budget`` is the time that its caller allows, in seconds. The larger part of it
    stays available for another attempt by the caller.
    """
    if len(startup_queue.waiting) >= MAX_WAITING or budget is None:
        return 0.0

    return min(budget * MAX_RETRY_AFTER_PART, WAIT_SECONDS)


def enqueue_request(
    startup_queue: StartupQueue,
    reactor: Any,
    responder: Responder,
    waiting: QueuedRequest,
    limit: float,
) -> None:
    """Queue a request until ``serve_waiting``, or refuse it after ``limit`` seconds."""

    def remove() -> None:
        startup_queue.waiting.pop(waiting, None)
        if waiting.timer.active():
            waiting.timer.cancel()

    def expire() -> None:
        remove()
        waiting.refuse()

    startup_queue.waiting[waiting] = None
    waiting.timer = reactor.callLater(limit, expire)
    responder.on_lost = remove


def serve_waiting(startup_queue: StartupQueue) -> None:
    """Serve the queued requests in order of arrival."""
    for waiting in drain_queue(startup_queue):
        run_logged(waiting.serve, "gateway: Could not serve a queued request")


def refuse_waiting(startup_queue: StartupQueue) -> None:
    """Refuse the queued requests as the process exits; other gateways may serve them.

    Otherwise a gateway with a short grace exits while requests wait for the first
    configuration, and their connections close without a response.
    """
    for waiting in drain_queue(startup_queue):
        run_logged(waiting.refuse, "gateway: Could not refuse a queued request")


def drain_queue(startup_queue: StartupQueue) -> list[QueuedRequest]:
    """Remove and return all queued requests, and cancel their timers."""
    taken = list(startup_queue.waiting)
    startup_queue.waiting.clear()
    for waiting in taken:
        waiting.timer.cancel()

    return taken
