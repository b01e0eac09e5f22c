"""The end of a process's connections: each closes after its last byte."""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.task import deferLater

from .counting import close_connections
from .links import finish_links
from .links import list_protocols


if TYPE_CHECKING:
    from collections.abc import Callable
    from collections.abc import Iterable

    from .counting import CountingSite
    from .links import Link
    from .links import LinkNode


CLOSE_LIMIT = 3.0
"""Seconds that connections may take to close; a silent link ends before."""
LOOK_SECONDS = 0.05


async def end_links(
    node: LinkNode, links: Iterable[Link], clock: Callable[[], float]
) -> int:
    """Close all links of a process; return how many had to be cut.

    Each ends when its calls are answered and its bytes have left.
    """
    links = list(links)
    finish_links(node, links)
    await _wait(node.reactor, clock, lambda: not list_protocols(node, links))
    left = list_protocols(node, links)
    for protocol in left:
        protocol.abort()

    return len(left)


async def end_site(site: CountingSite, reactor: Any, clock: Callable[[], float]) -> int:
    """Close all connections of a site; return how many had to be cut."""
    close_connections(site)
    await _wait(reactor, clock, lambda: not site.transports)
    left = list(site.transports)
    for transport in left:
        transport.abortConnection()

    return len(left)


async def _wait(
    reactor: Any, clock: Callable[[], float], closed: Callable[[], bool]
) -> None:
    deadline = clock() + CLOSE_LIMIT
    while not closed() and clock() < deadline:
        await deferLater(reactor, LOOK_SECONDS, lambda: None)
