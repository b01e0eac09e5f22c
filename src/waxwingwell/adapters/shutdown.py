"""Graceful shutdown of a process's connections: each closes after its last byte."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.task import deferLater

from .connection_tracking import close_connections
from .links import finish_links
from .links import list_protocols


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from .connection_tracking import ConnectionTrackingSite
    from .links import Link
    from .links import LinkNode


CLOSE_TIMEOUT_SECONDS = 3.0
"""Seconds that connections may take to close; an unresponsive link is closed sooner."""
POLL_SECONDS = 0.05
"""Seconds between two checks for open connections."""


async def close_links(
    node: LinkNode, links: Iterable[Link], clock: Callable[[], float]
) -> int:
    """Close all links of a process; return how many had to be aborted.

    Each closes once its calls have their replies and its bytes were sent.
    """
    links = list(links)
    finish_links(node, links)
    await _wait_until_closed(
        node.reactor, clock, lambda: not list_protocols(node, links)
    )
    remaining = list_protocols(node, links)
    for protocol in remaining:
        protocol.abort()

    return len(remaining)


async def close_site(
    site: ConnectionTrackingSite, reactor: Any, clock: Callable[[], float]
) -> int:
    """Close all connections of a site; return how many had to be aborted."""
    close_connections(site)
    await _wait_until_closed(reactor, clock, lambda: not site.transports)
    remaining = list(site.transports)
    for transport in remaining:
        transport.abortConnection()

    return len(remaining)


async def _wait_until_closed(
    reactor: Any, clock: Callable[[], float], are_closed: Callable[[], bool]
) -> None:
    deadline = clock() + CLOSE_TIMEOUT_SECONDS
    while not are_closed() and clock() < deadline:
        await deferLater(reactor, POLL_SECONDS, lambda: None)
