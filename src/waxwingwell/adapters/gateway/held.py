"""Bytes that a gateway holds for its requests, and their bound."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ..http.budget import add_bytes


if TYPE_CHECKING:
    from .exchange import Exchange


def count_held(exchange: Exchange) -> None:
    """Count what a request holds of its upstream's bytes."""
    held = len(exchange.splitter.partial_event)
    if exchange.attempt is not None:
        held += exchange.attempt.body.size

    if exchange.last_response is not None:
        held += len(exchange.last_response[2])

    add_bytes(exchange.responder.holding, held - exchange.held)
    exchange.held = held
