"""Listening sockets that are opened before the code that serves them is imported.

A gateway takes some tenths of a second to import its libraries. When all processes
start at once, callers that connect meanwhile would be refused and use up their
retries; with an open port, the kernel queues their connections until the gateway
accepts them.
"""

from __future__ import annotations

import select
import socket
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from collections.abc import Callable

    from twisted.internet.defer import Deferred
    from twisted.internet.protocol import Factory


ACCEPT_PAUSE_SECONDS = 0.02
"""Seconds after which a port that could accept none is read again."""
BACKLOG = 1024
"""Connections that the kernel queues at most for a listening socket."""


def open_port(address: tuple[str, int]) -> socket.socket:
    """Return a socket that listens at an address; raises ``OSError``."""
    port = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    port.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    port.setblocking(False)
    try:
        port.bind(address)
        port.listen(BACKLOG)
    except OSError:
        port.close()
        raise

    return port


def adopt_port(reactor: Any, port: socket.socket, factory: Factory) -> Any:
    """Let a reactor serve the connections of a socket from ``open_port``."""
    adopted = reactor.adoptStreamPort(port.fileno(), socket.AF_INET, factory)
    port.close()
    return adopted


def bound_accepts(port: Any, reactor: Any, count_acceptable: Callable[[], int]) -> None:
    """Let a port accept at most as many connections in a turn as may be opened.

    The others wait in the kernel's queue meanwhile.
    """
    accept = port.doRead

    def accept_some() -> None:
        count = count_acceptable()
        if count:
            port.numberAccepts = min(count, port.numberAccepts)
            accept()
        else:
            port.stopReading()
            reactor.callLater(ACCEPT_PAUSE_SECONDS, resume)

    def resume() -> None:
        if port.connected and not port.disconnecting:
            port.startReading()

    port.doRead = accept_some


def close_port(port: Any) -> Deferred[None]:
    """Accept the connections queued for a listening port, then stop listening.

    The kernel resets connections that are still queued when a port closes, and their
    callers cannot tell whether their requests were read.
    """
    from twisted.internet.defer import maybeDeferred
    from twisted.internet.tcp import Port

    if isinstance(port, Port):
        accept_pending_connections(port)

    return maybeDeferred(port.stopListening)


def accept_pending_connections(port: Any) -> None:
    """Accept the connections that the kernel has queued for a port."""
    poll = select.poll()
    poll.register(port.fileno(), select.POLLIN)
    for _ in range(BACKLOG):
        if not poll.poll(0):
            return

        port.doRead()
