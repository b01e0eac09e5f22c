"""Listening sockets that are opened before the code that serves them is loaded.

Failure: all processes start at once, and a gateway needs some tenths of a second to
load its libraries. Callers that connect before are reset, and use their retries up.
With an open port the kernel keeps their connections until the gateway takes them.
"""

from __future__ import annotations

import select
import socket
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
    from twisted.internet.defer import Deferred
    from twisted.internet.protocol import Factory


BACKLOG = 1024
"""Connections that the kernel keeps for us."""


def open_port(address: tuple[str, int]) -> socket.socket:
    """Listen at an address; raises ``OSError``."""
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
    """Let a reactor serve the connections of a port that ``open_port`` opened."""
    adopted = reactor.adoptStreamPort(port.fileno(), socket.AF_INET, factory)
    port.close()
    return adopted


def close_port(port: Any) -> Deferred[None]:
    """Serve the connections that wait in a listening port, and take no more.

    Failure: a port closes between two turns of the reactor, or before the first one.
    The kernel resets the connections that it kept until then, and their callers cannot
    tell whether their requests were read.
    """
    from twisted.internet.defer import maybeDeferred
    from twisted.internet.tcp import Port

    if isinstance(port, Port):
        accept_waiting(port)

    return maybeDeferred(port.stopListening)


def accept_waiting(port: Any) -> None:
    """Take the connections that the kernel keeps for a port."""
    poll = select.poll()
    poll.register(port.fileno(), select.POLLIN)
    for _ in range(BACKLOG):
        if not poll.poll(0):
            return

        port.doRead()
