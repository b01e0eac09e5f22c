"""Ports whose connections count in the budget of their process."""

from __future__ import annotations

from functools import partial
from typing import TYPE_CHECKING
from typing import Any

from .http.budget import count_acceptable
from .ports import bound_accepts


if TYPE_CHECKING:
    from twisted.internet.protocol import Factory

    from .http.budget import Budget


def listen_bounded(
    reactor: Any, address: tuple[str, int], factory: Factory, held: Budget
) -> Any:
    """Listen at an address for a factory of connections that ``held`` counts.

    Errors: ``CannotListenError``.
    """
    port = reactor.listenTCP(address[1], factory, interface=address[0])
    bound_accepts(port, reactor, partial(count_now, reactor, held))
    return port


def count_now(reactor: Any, held: Budget) -> int:
    """Return how many connections may be opened now."""
    return count_acceptable(held, float(reactor.seconds()))
