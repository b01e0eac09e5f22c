"""The final response to a request, and the log line of its outcome."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.records import RouteKind
from ..events import log_event
from ..metrics import REQUEST_SECONDS
from ..metrics import REQUESTS
from .held import count_held
from .relaying import list_told_attempts
from .relaying import make_response_headers
from .request_queue import remove_waiting


if TYPE_CHECKING:
    from ...routing.records import Route
    from .attempts import Attempt
    from .context import GatewayContext
    from .dialect import RequestFacts
    from .exchange import Exchange


RETRY_AFTER = 0.5
"""Seconds after which a caller may retry if no upstream could take its request."""


QUARANTINE_RETRY_AFTER = 60.0
"""Seconds after which a caller may retry a request with a quarantined prompt block: no
other gateway would serve it sooner."""
STREAM_SECONDS = 4.5
"""Seconds that a stopping gateway must have left to accept a stream: 95 % of streams
end sooner."""
STOPPING_RETRY_AFTER = 0.05
"""Seconds after which a caller may retry; other gateways can serve it at once."""
KEPT_BODY_BYTES = 4_096
"""Longest body that is left to the garbage collector after its request has ended."""
STREAM_GRACE_SECONDS = 0.3
"""Seconds past the caller's own deadline before its stream is cut."""


def can_finish(
    context: GatewayContext, route: Route, facts: RequestFacts, now: float
) -> bool:
    """Return whether the gateway will still be running when the response ends.

    In a data centre where most gateways are stopping, the balancer sends callers here
    to the end; responses that outlast the process would be cut.
    """
    if not context.stopping:
        return True

    needed = STREAM_SECONDS
    if route.kind is not RouteKind.STREAM:
        needed = min(route.timeout, facts.budget or route.timeout)

    return now + needed <= context.exit_at


def forward_response(exchange: Exchange, attempt: Attempt, now: float) -> None:
    """Send a complete response, or the end of a streamed one, to the caller."""
    if attempt.streaming:
        exchange.responder.write(bytes(exchange.splitter.partial_event))
        exchange.responder.finish()
    elif attempt.forwarding:
        exchange.responder.finish()
    else:
        headers = make_response_headers(exchange, attempt)
        exchange.responder.send(attempt.status, headers, attempt.body.join())

    record_end(exchange, "answered", attempt.status, now)


def give_up(exchange: Exchange, reason: str, pause: float = RETRY_AFTER) -> None:
    """Send the final response of a request that can't be attempted any more."""
    now = exchange.context.clock()
    if exchange.responder.started:
        exchange.responder.abort()
        record_end(exchange, "cut", 0, now, reason)
    elif exchange.last_response is not None:
        status, headers, body = exchange.last_response
        exchange.responder.send(status, headers, body)
        record_end(exchange, "passed_on_failure", status, now, reason)
    elif exchange.runs:
        exchange.responder.send(502, list_told_attempts(exchange))
        record_end(exchange, "may_have_run", 502, now, reason)
    else:
        headers = [retry_after(pause), *list_told_attempts(exchange)]
        exchange.responder.send(503, headers)
        record_end(exchange, "refused", 503, now, reason)


def refuse_quarantined(exchange: Exchange) -> None:
    """End a request that holds quarantined prompt blocks.

    One that waits at an upstream may start there before its cancellation arrives.
    """
    attempt = exchange.stop_attempt()
    if attempt is not None and attempt.call is not None:
        exchange.runs += attempt.call.sent

    log_event(
        "gateway: Refused as quarantined",
        request=exchange.facts.request_id,
        blocks=[block for block, _ in exchange.facts.prompt_blocks[:-1]],
    )
    give_up(exchange, "quarantined prompt block", QUARANTINE_RETRY_AFTER)


def expire(exchange: Exchange) -> None:
    """End the request at its deadline.

    The caller's remaining time is sent in whole milliseconds and takes time to arrive,
    so a stream would be cut a few milliseconds before its caller disconnects by itself.
    A stream that has started therefore continues for ``STREAM_GRACE_SECONDS``, up to
    the route's timeout.
    """
    now = exchange.context.clock()
    latest = exchange.started_at + exchange.route.timeout
    if exchange.responder.started and now < latest and not exchange.overdue:
        exchange.overdue = True
        delay = min(STREAM_GRACE_SECONDS, latest - now)
        reactor = exchange.context.reactor
        exchange.deadline_timer = reactor.callLater(delay, expire, exchange)
        return

    finish_now(exchange, "deadline", now)


def finish_now(exchange: Exchange, reason: str, now: float) -> None:
    """End a request now, at its deadline or when the process exits."""
    attempt = exchange.stop_attempt()
    sent = attempt is not None and attempt.call is not None and attempt.call.sent
    if exchange.responder.started:
        exchange.responder.abort()
        record_end(exchange, "cut", 0, now, reason)
    elif sent or exchange.runs:
        exchange.responder.send(504, list_told_attempts(exchange))
        record_end(exchange, "may_have_run", 504, now, reason)
    else:
        headers = [retry_after(RETRY_AFTER), *list_told_attempts(exchange)]
        exchange.responder.send(503, headers)
        record_end(exchange, "refused", 503, now, reason)


def record_end(
    exchange: Exchange, outcome: str, status: int, now: float, reason: str = ""
) -> None:
    """Record the end of the request in metrics and the log, once."""
    if exchange.finished:
        return

    exchange.finished = True
    exchange.context.exchanges.discard(exchange)
    remove_waiting(exchange.context.queues, exchange, outcome, now)
    release_held(exchange)
    if exchange.deadline_timer is not None and exchange.deadline_timer.active():
        exchange.deadline_timer.cancel()

    REQUESTS.labels(exchange.route.kind.value, outcome).inc()
    REQUEST_SECONDS.labels(exchange.route.kind.value).observe(now - exchange.started_at)
    attempt = exchange.attempt
    response = attempt.facts if attempt is not None else None
    log_event(
        "gateway: Request ended",
        request=exchange.facts.request_id,
        route=exchange.route.name,
        relayed=exchange.relayed or None,
        outcome=outcome,
        model=exchange.model,
        confidence=response.confidence if response is not None else None,
        status=status,
        framing=attempt.framing if attempt is not None else None,
        reason=reason,
        attempts=exchange.attempt_count,
        runs=exchange.runs,
        retries=exchange.retries or None,
        events=exchange.splitter.events,
        first_ms=to_ms(exchange.pauses.first_event_at, exchange.started_at),
        pause_ms=round(exchange.pauses.longest * 1000),
        ms=round((now - exchange.started_at) * 1000),
        unread=exchange.flow.pauses or None,
        unread_ms=measure_unread(exchange, now),
    )


def release_held(exchange: Exchange) -> None:
    """Drop what a request holds of its own and its upstreams' bytes."""
    exchange.last_response = None
    if exchange.request.body.size > KEPT_BODY_BYTES:
        exchange.drop_body()

    exchange.splitter.discard_partial_event()
    if exchange.attempt is not None:
        exchange.attempt.body.clear()

    count_held(exchange)


def measure_unread(exchange: Exchange, now: float) -> int | None:
    """Return the milliseconds in which the caller did not read, or None without any."""
    flow = exchange.flow
    if not flow.pauses:
        return None

    running = 0.0 if flow.paused_at is None else now - flow.paused_at
    return round((flow.seconds + running) * 1000)


def to_ms(at: float | None, started_at: float) -> int | None:
    """Return the milliseconds from ``started_at`` to ``at``, or None without ``at``."""
    return None if at is None else round((at - started_at) * 1000)


def retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Return the ``Retry-After`` header for a delay in seconds."""
    return (b"Retry-After", f"{seconds:g}".encode())
