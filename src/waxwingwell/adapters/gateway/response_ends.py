"""Whether a response that has ended is whole.

A response with neither a length nor chunks ends with its connection, which a process
that dies in the middle of it closes as cleanly as one that has finished. Its end is
accepted only if the upstream still accepts connections.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.health import record_unreachable
from ..events import log_event
from ..http.client import ResponseEnd
from ..http.connection_check import ConnectionCheck
from .probing import record_unanswered
from .sending import CONNECT_SECONDS


if TYPE_CHECKING:
    from collections.abc import Callable

    from .attempts import Attempt
    from .exchange import Exchange


def is_cut_in_event(exchange: Exchange, attempt: Attempt, end: ResponseEnd) -> bool:
    """Return whether a stream has ended inside an event, or before any.

    A stated end before the first event is accepted: nothing is left after the last
    event that the caller has, or the body is no event stream.
    """
    if not attempt.streaming:
        return False

    splitter = exchange.splitter
    if end is ResponseEnd.UNSTATED and splitter.events == attempt.events_before:
        return True

    return splitter.events > 0 and bool(splitter.partial_event.strip())


def check_upstream(
    exchange: Exchange, attempt: Attempt, on_result: Callable[[bool], None]
) -> ConnectionCheck:
    """Check whether an upstream that has closed a connection still accepts others."""
    context = exchange.context
    upstream = attempt.choice.placement.upstream

    def handle_result(accepted: bool) -> None:
        now = context.clock()
        log_event(
            "gateway: Unstated end checked",
            request=exchange.facts.request_id,
            upstream=attempt.upstream,
            attempt=exchange.attempt_count,
            accepted=accepted,
            events=exchange.splitter.events,
        )
        if not accepted and not attempt.relayed:
            record_unreachable(context.health, attempt.upstream, now)
            record_unanswered(context, attempt.upstream, now)

        on_result(accepted)

    return ConnectionCheck(
        reactor=context.reactor,
        address=(upstream.host, upstream.port),
        timeout=CONNECT_SECONDS,
        on_result=handle_result,
    )
