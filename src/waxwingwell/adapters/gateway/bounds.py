"""Bounds on the bytes of a response."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..events import log_event
from ..http.client import PassedBound
from ..http.records import find_header
from ..metrics import BOUNDS_PASSED
from .attempts import is_valid_response
from .relaying import is_refused_by_relay
from .relaying import make_response_headers


if TYPE_CHECKING:
    from .attempts import Attempt
    from .exchange import Exchange


def collect_body(exchange: Exchange, attempt: Attempt, data: bytes) -> None:
    """Add a piece to a response that is sent as a whole, or forward it if it is long.

    A response that is collected can be requested again if it breaks off.
    """
    if attempt.forwarding:
        exchange.responder.write(data)
        return

    size = attempt.body.size + len(data)
    is_long = size > exchange.context.settings.collected_bytes
    if (is_long or not exchange.responder.has_room()) and may_forward(
        exchange, attempt
    ):
        start_forwarding(exchange, attempt)
        exchange.responder.write(data)
    else:
        attempt.body.add(data)


def may_forward(exchange: Exchange, attempt: Attempt) -> bool:
    """Return whether a response may be sent to the caller before its end is known."""
    if attempt.facts is None or exchange.responder.started or attempt.status >= 500:
        return False

    if attempt.facts.not_run or is_refused_by_relay(attempt):
        return False

    return is_valid_response(attempt, exchange.facts.request_id)


def start_forwarding(exchange: Exchange, attempt: Attempt) -> None:
    """Send the caller what has arrived of a response."""
    attempt.forwarding = True
    headers = make_response_headers(exchange, attempt)
    length = find_header(attempt.headers or [], b"content-length")
    if attempt.has_length and length is not None:
        headers.append((b"Content-Length", length))

    exchange.responder.start(attempt.status, headers)
    for piece in attempt.body.take():
        exchange.responder.write(piece)


def find_passed_bound(exchange: Exchange, attempt: Attempt) -> PassedBound | None:
    """Return the bound that the bytes of a response have passed, or None."""
    settings = exchange.context.settings
    partial = len(exchange.splitter.partial_event)
    if partial > settings.event_bytes:
        return PassedBound("event", settings.event_bytes, partial)

    collected = attempt.body.size
    if collected > settings.collected_bytes:
        return PassedBound("collected", settings.collected_bytes, collected)

    received = attempt.body_bytes
    if received > settings.unstated_body_bytes and not attempt.has_length:
        return PassedBound("body", settings.unstated_body_bytes, received)

    return None


def record_passed_bound(exchange: Exchange, attempt: Attempt) -> None:
    """Count and log the bound that ended an attempt, if one did."""
    passed = find_passed(attempt)
    if passed is None:
        return

    BOUNDS_PASSED.labels(passed.kind).inc()
    log_event(
        "gateway: Bound passed",
        request=exchange.facts.request_id,
        upstream=attempt.upstream,
        attempt=exchange.attempt_count,
        bound=passed.kind,
        limit=passed.limit,
        count=passed.count,
    )


def find_passed(attempt: Attempt) -> PassedBound | None:
    """Return the bound that has ended the call of an attempt, or None."""
    return None if attempt.call is None else attempt.call.passed


def explain_break(attempt: Attempt, reason: str) -> str:
    """Return why an attempt broke off: the bound that it passed, or ``reason``."""
    passed = find_passed(attempt)
    if passed is None:
        return reason

    return f"{passed.kind} of {passed.count} passes the bound of {passed.limit}"
