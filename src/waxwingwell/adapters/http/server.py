"""The server's side of HTTP/1.1: one request at a time on a connection."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import h11
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone

from ..events import log_event
from ..measures import ANSWERS_CUT
from .output import Output
from .records import HeaderList
from .records import HttpLimits
from .records import HttpRequest


if TYPE_CHECKING:
    from twisted.internet.interfaces import ITCPTransport
    from twisted.python.failure import Failure


REASONS = {
    200: b"OK",
    400: b"Bad Request",
    401: b"Unauthorized",
    404: b"Not Found",
    408: b"Request Timeout",
    413: b"Content Too Large",
    421: b"Misdirected Request",
    429: b"Too Many Requests",
    431: b"Request Header Fields Too Large",
    502: b"Bad Gateway",
    503: b"Service Unavailable",
    504: b"Gateway Timeout",
}
FRESH_SECONDS = 0.3
"""How long a new connection may wait for its first bytes: some ways, or one lost."""


@dataclass(slots=True)
class HttpService:
    """What all connections of one listener share.

    ``handle`` gets each request once it was read whole; ``limits`` is asked anew for
    each request, as a newer configuration may have changed them.
    """

    reactor: Any
    handle: Callable[[HttpRequest, Responder], None]
    limits: Callable[[], HttpLimits]
    stopping: bool = False
    connections: set[HttpConnection] = field(default_factory=set)


class Responder:
    """The way back to the caller of one request."""

    __slots__ = ("_connection", "ended", "on_lost", "request_id", "started")

    def __init__(self, connection: HttpConnection) -> None:
        self._connection = connection
        self.request_id = ""
        """For the log."""
        self.started = False
        self.ended = False
        self.on_lost: Callable[[], None] = lambda: None

    def send(self, status: int, headers: HeaderList, body: bytes = b"") -> None:
        """Send a whole answer."""
        length = (b"Content-Length", str(len(body)).encode())
        self.start(status, [*headers, length])
        self.write(body)
        self.finish()

    def start(self, status: int, headers: HeaderList) -> None:
        """Send the head; without a length the body goes out in chunks."""
        if self.ended:
            return

        self.started = True
        self._connection.send_head(status, headers)

    def write(self, data: bytes) -> None:
        """Send a part of the body."""
        if data and not self.ended:
            self._connection.send_data(data)

    def finish(self) -> None:
        """End the answer; the connection may be used again."""
        if not self.ended:
            self.ended = True
            self._connection.finish_answer()

    def abort(self) -> None:
        """Cut the answer off, so that it can't be taken for a whole one."""
        if not self.ended:
            self.ended = True
            self._connection.abort()


class HttpConnection(Protocol):
    """One caller's connection."""

    def __init__(self, service: HttpService) -> None:
        self.service = service
        self._h11 = self._new_h11()
        self._request: h11.Request | None = None
        self._body: list[bytes] = []
        self._size = 0
        self._responder: Responder | None = None
        self._timer: Any = None
        self._close_after = False
        self._closing = False
        self._to_read = False
        """Bytes came beside the last request that were not looked at yet."""
        self._output: Output | None = None
        self._answered_id = ""
        """Request whose answer was written last."""
        self._made_at = service.reactor.seconds()
        self._fresh = True
        """Nothing has come yet."""

    def _new_h11(self) -> h11.Connection:
        limit = self.service.limits().header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=limit)

    def connectionMade(self) -> None:  # noqa: N802
        """Wait for the first request."""
        self.service.connections.add(self)
        cast("ITCPTransport", self.transport).setTcpNoDelay(True)
        self._output = Output(self.transport, self._note_progress)
        self._wait(self.service.limits().header_timeout)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take bytes in and handle what is complete."""
        if self._closing:
            return

        self._fresh = False
        self._h11.receive_data(data)
        if self._responder is None:
            self._read()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Tell whoever is working on an answer that nobody waits for it."""
        self.service.connections.discard(self)
        self._stop_timer()
        responder, self._responder = self._responder, None
        if responder is None or not responder.started:
            self._log_cut(reason)

        if responder is not None and not responder.ended:
            responder.ended = True
            responder.on_lost()

    @property
    def unsent(self) -> int:
        """Bytes of answers that may not have left, at most."""
        return self._output.unsent if self._output is not None else 0

    def _note_progress(self) -> None:
        """Give a caller that reads its time anew.

        Failure: the bytes of a long answer were left when the time to read them, or the
        time between two requests, was over, and the connection was reset in the middle
        of the answer. A caller that takes none for so long is gone.
        """
        if self._closing or (self._responder is None and self._request is None):
            self._wait(self.service.limits().idle_timeout)

    def _log_cut(self, reason: Failure) -> None:
        """Tell of an answer that was given whole, and may not have left whole."""
        if not self.unsent:
            return

        ANSWERS_CUT.inc()
        log_event(
            "http: Answer cut",
            request=self._answered_id,
            outcome="undelivered",
            unsent=self.unsent,
            reason=reason.getErrorMessage(),
            stopping=self.service.stopping,
        )

    @property
    def idle(self) -> bool:
        """Whether no request has begun to come, and no answer is under way."""
        nothing_read = self._responder is None and self._request is None
        return nothing_read and not self._to_read

    @property
    def settled(self) -> bool:
        """Whether nobody is owed anything: no answer, and no byte of one.

        The kernel may hold the end of an answer until the connection is lost.
        """
        return not self.unsent and (self.idle or self._closing)

    def close_if_idle(self, now: float) -> None:
        """Close a connection on which no request is under way.

        Failure: callers that had just connected met a closed connection, though their
        requests were on their way. So they get a moment to send one.
        """
        awaited = self._fresh and now - self._made_at < FRESH_SECONDS
        if self.idle and not awaited:
            self._close()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            cast("ITCPTransport", self.transport).abortConnection()

    def send_head(self, status: int, headers: HeaderList) -> None:
        """Write the head of an answer."""
        self._close_after = self._close_after or self.service.stopping
        if self._close_after:
            headers = [*headers, (b"Connection", b"close")]

        reason = REASONS.get(status, b"")
        self._write(h11.Response(status_code=status, headers=headers, reason=reason))

    def send_data(self, data: bytes) -> None:
        """Write a part of the body."""
        self._write(h11.Data(data=data))

    def finish_answer(self) -> None:
        """End the answer, and go on with the next request or close."""
        self._write(h11.EndOfMessage())
        if self._responder is not None:
            self._answered_id = self._responder.request_id

        self._responder = None
        self._request = None
        self._body = []
        self._size = 0
        reusable = self._h11.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        if self._close_after or not reusable:
            self._finish()
            return

        self._h11.start_next_cycle()
        self._wait(self.service.limits().idle_timeout)
        # Not by recursion: a caller may have sent hundreds of requests ahead.
        self._to_read = bool(self._h11.trailing_data[0])
        self.service.reactor.callLater(0, self._read)

    def _write(self, event: Any) -> None:
        if self._output is None or self._h11.our_state is h11.ERROR:
            return

        data = self._h11.send(event)
        if data:
            self._output.write(data)

    def _read(self) -> None:
        self._to_read = False
        if self._responder is not None or not self._is_open():
            return

        try:
            self._read_events()
        except h11.RemoteProtocolError as error:
            self._refuse(error.error_status_hint)

    def _is_open(self) -> bool:
        return not self._closing and self in self.service.connections

    def _read_events(self) -> None:
        while True:
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                if self._h11.they_are_waiting_for_100_continue:
                    self._write(h11.InformationalResponse(status_code=100, headers=[]))

                return

            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return

            if isinstance(event, h11.Request):
                if measure_head(event) > self.service.limits().header_bytes:
                    self._refuse(431)
                    return

                self._request = event
                self._wait(self.service.limits().header_timeout)
            elif isinstance(event, h11.Data):
                if not self._take_data(bytes(event.data)):
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch()
                return

    def _take_data(self, data: bytes) -> bool:
        self._size += len(data)
        if self._size > self.service.limits().body_bytes:
            self._refuse(413)
            return False

        self._body.append(data)
        return True

    def _dispatch(self) -> None:
        self._stop_timer()
        request = cast("h11.Request", self._request)
        body, self._body = b"".join(self._body), []
        self._responder = Responder(self)
        headers = list(request.headers.raw_items())
        self.service.handle(
            HttpRequest(request.method, request.target, headers, body),
            self._responder,
        )

    def _refuse(self, status: int) -> None:
        """Answer what can't be read, and close."""
        self._close_after = True
        self._answered_id = ""
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            self.send_head(status, [(b"Content-Length", b"0")])
            self._write(h11.EndOfMessage())

        self._finish()

    def _wait(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self.service.reactor.callLater(seconds, self._expire)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

        self._timer = None

    def _expire(self) -> None:
        """End a connection whose next request, or whose reader, does not come."""
        if self._request is not None and not self._closing:
            self._refuse(408)
        elif self.unsent:
            self.abort()
        elif self._closing:
            cast("ITCPTransport", self.transport).loseConnection()
        else:
            self._close()

    def _close(self) -> None:
        """Close a connection on which nothing is under way.

        A request that crosses the close is not read: the kernel resets the connection,
        which tells the caller that it may send it again.
        """
        if self.unsent:
            self._finish()
        elif self._output is not None and not self._closing:
            self._closing = True
            self._output.close()

    def _finish(self) -> None:
        """Close when what was written has left, and the caller has closed too.

        A caller that takes for too long to read or to close is left.
        """
        if self._output is None or self._closing:
            return

        self._closing = True
        self._wait(self.service.limits().idle_timeout)
        self._output.finish()


def measure_head(request: h11.Request) -> int:
    """Return about how many bytes the head of a request took.

    The library bounds only heads that arrive in several pieces.
    """
    size = len(request.method) + len(request.target)
    return size + sum(len(name) + len(value) + 4 for name, value in request.headers)


class HttpFactory(Factory):
    """Builds a connection for each caller."""

    noisy = False

    def __init__(self, service: HttpService) -> None:
        self.service = service

    def buildProtocol(self, addr: object) -> HttpConnection:  # noqa: N802
        """Return the protocol of a new connection."""
        return HttpConnection(self.service)


def is_settled(service: HttpService) -> bool:
    """Tell whether every answer has left; a planned stop waits for it.

    Failure: the process ended when no request was under way any more. The last bytes of
    an answer were still held back, for the reactor's next turn or for a caller that
    reads slowly, and were dropped: the caller's stream ended in the middle.
    """
    return not count_unsettled(service)


def count_unsettled(service: HttpService) -> int:
    """Return the connections with a request or an answer under way."""
    return sum(not connection.settled for connection in service.connections)


def close_idle(service: HttpService) -> None:
    """Close the connections on which nothing is under way."""
    now = service.reactor.seconds()
    for connection in list(service.connections):
        connection.close_if_idle(now)
