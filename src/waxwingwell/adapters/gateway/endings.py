"""The final answer of a request, and the line that tells how it ended."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import log_event
from ..http.records import strip_hop_headers
from ..measures import ANSWER
from ..measures import REQUESTS


if TYPE_CHECKING:
    from .attempts import Attempt
    from .exchange import Exchange


RETRY_AFTER = 0.5
"""Seconds after which a caller may come back if nothing could take its request."""


LEAVE_SECONDS = 0.3
"""How much longer than it said a caller may take to leave a stream."""


def deliver(exchange: Exchange, attempt: Attempt, now: float) -> None:
    """Pass a whole answer on."""
    if attempt.streaming:
        exchange.responder.write(exchange.splitter.rest)
        exchange.responder.finish()
    else:
        headers = strip_hop_headers(attempt.headers or [])
        exchange.responder.send(attempt.status, headers, b"".join(attempt.body or []))

    settle(exchange, "answered", attempt.status, now)


def give_up(exchange: Exchange, reason: str, pause: float = RETRY_AFTER) -> None:
    """Give the final answer at once: nothing more can be done."""
    now = exchange.context.clock()
    if exchange.responder.started:
        exchange.responder.abort()
        settle(exchange, "cut", 0, now, reason)
    elif exchange.last_answer is not None:
        status, headers, body = exchange.last_answer
        exchange.responder.send(status, headers, body)
        settle(exchange, "passed_on_failure", status, now, reason)
    elif exchange.runs:
        exchange.responder.send(502, [])
        settle(exchange, "may_have_run", 502, now, reason)
    else:
        exchange.responder.send(503, [retry_after(pause)])
        settle(exchange, "refused", 503, now, reason)


def expire(exchange: Exchange) -> None:
    """End the request at its deadline.

    Failure: a stream was cut a few milliseconds before its caller would have left by
    itself, as the time it has left is told in whole milliseconds and takes its way. So
    a stream that has begun goes on a little beyond what its caller said.
    """
    now = exchange.context.clock()
    latest = exchange.began_at + exchange.route.timeout
    if exchange.responder.started and now < latest and not exchange.overdue:
        exchange.overdue = True
        delay = min(LEAVE_SECONDS, latest - now)
        reactor = exchange.context.reactor
        exchange.deadline_timer = reactor.callLater(delay, expire, exchange)
        return

    end_now(exchange, "deadline", now)


def end_now(exchange: Exchange, reason: str, now: float) -> None:
    """End a request that nothing can be waited for any more."""
    attempt = exchange.stop_attempt()
    sent = attempt is not None and attempt.call is not None and attempt.call.sent
    if exchange.responder.started:
        exchange.responder.abort()
        settle(exchange, "cut", 0, now, reason)
    elif sent or exchange.runs:
        exchange.responder.send(504, [])
        settle(exchange, "may_have_run", 504, now, reason)
    else:
        exchange.responder.send(503, [retry_after(RETRY_AFTER)])
        settle(exchange, "refused", 503, now, reason)


def settle(
    exchange: Exchange, outcome: str, status: int, now: float, reason: str = ""
) -> None:
    """Note the end of the request."""
    if exchange.over:
        return

    exchange.over = True
    exchange.context.exchanges.discard(exchange)
    if exchange.deadline_timer is not None and exchange.deadline_timer.active():
        exchange.deadline_timer.cancel()

    REQUESTS.labels(exchange.route.kind.value, outcome).inc()
    ANSWER.labels(exchange.route.kind.value).observe(now - exchange.began_at)
    attempt = exchange.attempt
    answer = attempt.facts if attempt is not None else None
    log_event(
        "gateway: Request ended",
        request=exchange.facts.request_id,
        route=exchange.route.name,
        outcome=outcome,
        model=exchange.model,
        confidence=answer.confidence if answer is not None else None,
        status=status,
        reason=reason,
        attempts=exchange.tries,
        runs=exchange.runs,
        events=exchange.splitter.events,
        first_ms=to_ms(exchange.pauses.first_at, exchange.began_at),
        pause_ms=round(exchange.pauses.longest * 1000),
        ms=round((now - exchange.began_at) * 1000),
    )


def to_ms(at: float | None, began_at: float) -> int | None:
    """Return the milliseconds from the beginning to ``at``, if it came to that."""
    return None if at is None else round((at - began_at) * 1000)


def retry_after(seconds: float) -> tuple[bytes, bytes]:
    """Return the header that tells a caller when to come back."""
    return (b"Retry-After", f"{seconds:g}".encode())
