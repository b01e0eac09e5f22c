"""Samples of the engines' paces from the responses that pass through a gateway."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.delays import is_strained
from ...routing.engine_paces import StreamPace
from ...routing.engine_paces import list_paces
from ...routing.engine_paces import record_time
from ...routing.records import RouteKind


if TYPE_CHECKING:
    from ...routing.engine_paces import PaceKey
    from ...routing.messages import EnginePace
    from .attempts import Attempt
    from .context import GatewayContext
    from .exchange import Exchange


def start_pace(exchange: Exchange, attempt: Attempt) -> None:
    """Begin to sample the pace of a stream.

    Outside the pool of its model an engine is slowed by batches of several models.
    """
    if not attempt.relayed and attempt.choice.in_pool:
        model = attempt.choice.model or exchange.facts.model
        attempt.pace = StreamPace(identify_engine(attempt, model))


def record_call(exchange: Exchange, attempt: Attempt, now: float) -> None:
    """Record the time of a successful call to a service without models.

    One round trip is subtracted, as the upstream may be in another data centre: the
    time of the connection. Calls of one route are compared with each other.
    """
    context = exchange.context
    if attempt.relayed or exchange.route.kind is RouteKind.STREAM:
        return

    services = {} if exchange.index is None else exchange.index.services
    service = services.get(attempt.choice.service)
    if service is None or service.models or service.memory_tokens:
        return

    if attempt.connected_at is None or not 200 <= attempt.status < 300:
        return

    round_trip = attempt.connected_at - attempt.started_at
    seconds = attempt.ended_at - attempt.connected_at - round_trip
    key = identify_engine(attempt, exchange.route.name)
    record_time(context.paces, key, seconds, now)


def list_reported_paces(context: GatewayContext, now: float) -> tuple[EnginePace, ...]:
    """Return the paces for a report; none if the samples show this gateway's delay."""
    if is_strained(context.delays, now):
        context.paces.samples.clear()

    return list_paces(context.paces, now)


def identify_engine(attempt: Attempt, model: str) -> PaceKey:
    """Return what a sample is about."""
    upstream = attempt.choice.placement.upstream
    return upstream.upstream, upstream.incarnation, model
