"""A listening port that refuses connections while it is paused.

While no socket listens, the kernel refuses a connection at its first packet. A
connection that is accepted and then closed would already have sent its request over
the link that is full. So would one that the kernel has set up and queued: the length of
that queue can be limited.
"""

from __future__ import annotations

from typing import TYPE_CHECKING
from typing import Any

from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed

from .ports import BACKLOG
from .ports import adopt_port
from .ports import bound_accepts
from .ports import close_port
from .ports import open_port


if TYPE_CHECKING:
    import socket
    from collections.abc import Callable

    from twisted.internet.protocol import Factory


class CallerPort:
    """A port for callers that can be paused."""

    def __init__(
        self,
        reactor: Any,
        listening: socket.socket,
        count_acceptable: Callable[[], int] = lambda: BACKLOG,
    ) -> None:
        self._reactor = reactor
        self._count_acceptable = count_acceptable
        self._address: tuple[str, int] = listening.getsockname()
        self._listening: socket.socket | None = listening
        self._factory: Factory | None = None
        self._port: Any = None
        self._queue = BACKLOG
        self._closed = False

    def serve(self, factory: Factory) -> None:
        """Accept connections for a factory."""
        self._factory = factory
        self.resume()

    @property
    def paused(self) -> bool:
        """Whether connections are refused."""
        return self._port is None

    def pause(self) -> None:
        """Refuse connections, also those that the kernel has queued."""
        port, self._port = self._port, None
        if port is not None:
            port.stopListening()

    def limit_queue(self, connections: int) -> None:
        """Limit the connections that the kernel sets up before they are accepted."""
        queue = min(connections, BACKLOG)
        if queue == self._queue:
            return

        self._queue = queue
        if self._port is not None:
            self._port.socket.listen(queue)

    def resume(self) -> None:
        """Accept connections again unless the port was closed."""
        if self._closed or self._factory is None or self._port is not None:
            return

        try:
            listening = self._listening or open_port(self._address)
            listening.listen(self._queue)
        except OSError as error:
            logger.warning("port: Cannot listen on {}: {}.", self._address, error)
            return

        self._listening = None
        self._port = adopt_port(self._reactor, listening, self._factory)
        bound_accepts(self._port, self._reactor, self._count_acceptable)

    def close(self) -> Deferred[None]:
        """Accept the connections queued by the kernel, then stop listening for good."""
        self._closed = True
        if self._listening is not None:
            self._listening.close()

        port, self._port = self._port, None
        return succeed(None) if port is None else close_port(port)
