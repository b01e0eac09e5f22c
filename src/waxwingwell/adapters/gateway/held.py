"""Bytes that a gateway holds for its requests, and their bound."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.gateway_room import MEMORY_PART


if TYPE_CHECKING:
    from .context import GatewayContext
    from .exchange import Exchange


def count_held(exchange: Exchange) -> None:
    """Count what a request holds of its upstream's bytes."""
    held = len(exchange.splitter.partial_event)
    if exchange.attempt is not None:
        held += exchange.attempt.body.size

    if exchange.last_response is not None:
        held += len(exchange.last_response[2])

    exchange.context.held.total += held - exchange.held
    exchange.held = held


def has_room(context: GatewayContext) -> bool:
    """Return whether the gateway has memory for another request."""
    memory = context.settings.memory_bytes
    return not memory or context.held.total <= memory * MEMORY_PART
