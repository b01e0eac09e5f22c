"""Listening sockets that are opened before the code that serves them is loaded.

Failure: all processes start at once, and a gateway needs some tenths of a second to
load its libraries. Callers that connect before are reset, and use their retries up.
With an open port the kernel keeps their connections until the gateway takes them.
"""

from __future__ import annotations

import socket
from typing import TYPE_CHECKING
from typing import Any


if TYPE_CHECKING:
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
