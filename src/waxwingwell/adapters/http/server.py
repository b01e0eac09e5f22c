"""HTTP/1.1 server that handles one request at a time on a connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from twisted.internet.protocol import Factory

from ..metrics import REFUSED_CONNECTIONS
from ..traffic import Traffic
from .budget import Budget
from .budget import admit_connection
from .connection import HttpConnection
from .records import HttpLimits
from .records import HttpRequest
from .responder import Responder
from .turns import TurnQueue


@dataclass(slots=True)
class HttpService:
    """State shared by all connections of a listener.

    ``handle`` is called with each complete request. ``limits`` is called for each
    request, as a newer configuration may have changed the limits. ``held`` and
    ``turns`` are those of the process, for all its listeners.
    """

    reactor: Any
    handle: Callable[[HttpRequest, Responder], None]
    limits: Callable[[], HttpLimits]
    stopping: bool = False
    held: Budget = field(default_factory=Budget)
    turns: TurnQueue = field(default_factory=TurnQueue)
    connections: set[HttpConnection] = field(default_factory=set)
    traffic: Traffic = field(default_factory=Traffic)
    """Counts the bytes of all connections."""


class HttpFactory(Factory):
    """Builds the protocol of each incoming connection."""

    noisy = False

    def __init__(
        self, service: HttpService, admit: Callable[[], bool] = lambda: True
    ) -> None:
        self.service = service
        self._admit = admit

    def buildProtocol(self, addr: object) -> HttpConnection | None:  # noqa: N802
        """Return the protocol of a new connection, or None to close it unread."""
        if not self._admit():
            return None

        now = self.service.reactor.seconds()
        if not admit_connection(self.service.held, now):
            REFUSED_CONNECTIONS.inc()
            return None

        return HttpConnection(self.service)


def is_drained(service: HttpService) -> bool:
    """Tell whether all responses have been sent, as a planned stop requires.

    It is not enough that no request is in progress: the last bytes of a response may
    still be buffered, for the reactor's next turn or for a slow reader. They would be
    dropped as the process ends, and the caller would get a truncated response.
    """
    return not count_undrained(service)


def count_undrained(service: HttpService) -> int:
    """Return the number of connections with a request or a response in progress."""
    return sum(not connection.drained for connection in service.connections)


def close_idle(service: HttpService) -> None:
    """Close the connections on which nothing is in progress."""
    now = service.reactor.seconds()
    for connection in list(service.connections):
        connection.close_if_idle(now)
