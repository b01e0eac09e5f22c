"""Scheduling of requests in front of their exchanges."""

from __future__ import annotations

from typing import TYPE_CHECKING


if TYPE_CHECKING:
    from .context import GatewayContext
    from .exchange import Exchange


def schedule_exchange(context: GatewayContext, exchange: Exchange) -> None:
    """Start a request."""
    exchange.start()
