"""A caller's connection, which handles one request at a time."""

from __future__ import annotations

from itertools import chain
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import h11
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone

from ..events import log_event
from ..metrics import BOUNDS_PASSED
from ..metrics import PAUSED_CONNECTIONS
from ..metrics import TRUNCATED_RESPONSES
from .budget import Shortage
from .budget import Standing
from .budget import add_bytes
from .budget import close_holding
from .budget import make_room
from .budget import open_holding
from .budget import record_moved
from .budget import record_progress
from .output import HIGH_WATER_BYTES
from .output import LOW_WATER_BYTES
from .output import SendBuffer
from .output import close_at_once
from .pieces import BodyPieces
from .records import HeaderList
from .records import HttpRequest
from .records import find_header
from .turns import EVENTS_PER_SLICE
from .turns import wait_for_turn


if TYPE_CHECKING:
    from twisted.internet.interfaces import IPushProducer
    from twisted.internet.interfaces import ITCPTransport
    from twisted.python.failure import Failure


from .responder import Responder


if TYPE_CHECKING:
    from .server import HttpService


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
FIRST_BYTES_SECONDS = 0.3
"""Seconds for which a planned stop keeps a new connection without bytes open: a few
network delays, or one lost packet."""
MAX_UNPARSED_BYTES = 65_536
"""Bytes after a request in progress that are received before the caller's connection is
no longer read. Until it is read again, the loss of the connection goes unnoticed."""
NO_ROOM_RETRY_AFTER = b"0.5"
"""Seconds after which a caller may retry whose body there was no memory for."""
FIELD_BYTES = 320
"""Memory of a header field besides its bytes."""


class HttpConnection(Protocol):
    """One caller's connection."""

    def __init__(self, service: HttpService) -> None:
        self.service = service
        self.holding = open_holding(
            service.held, self._stand, self._give_up, service.reactor.seconds()
        )
        """What this connection takes up."""
        self._head_bytes = 0
        """Limit on a head that the parser applies."""
        self._h11 = self._new_h11()
        self._request: h11.Request | None = None
        self._headers: HeaderList = []
        self._body = BodyPieces()
        """Body of the request that is received or in progress."""
        self._size = 0
        """Bytes that are counted for the request."""
        self._responder: Responder | None = None
        self._timer: Any = None
        self._close_after_response = False
        self._closing = False
        self._has_unparsed_bytes = False
        """Whether bytes that arrived after the last request are still unparsed."""
        self._send_buffer: SendBuffer | None = None
        self._last_request_id = ""
        """Id of the request whose response was written last."""
        self._connected_at = service.reactor.seconds()
        self._paused = False
        """Whether the unsent bytes have passed the high-water mark, and not yet fallen
        to the low-water mark."""
        self._is_waiting = False
        """Whether a complete request waits until its caller has read more."""
        self._unparsed = 0
        """Bytes that have arrived and can't be parsed yet."""
        self._awaits_turn = False
        """Whether other connections have their turn before more of a body is parsed."""
        self._reads = True
        """Whether bytes of the caller are received."""
        self._sent_at_progress = 0
        """Bytes that had been sent when the caller last got on."""
        self._awaiting_first_bytes = True
        """Whether no bytes have been received yet."""

    def _new_h11(self) -> h11.Connection:
        self._head_bytes = self.service.limits().header_bytes
        return h11.Connection(h11.SERVER, max_incomplete_event_size=self._head_bytes)

    def _drop_unparsed(self) -> None:
        """Free the bytes that the parser holds and will not parse."""
        if self._h11.trailing_data[0]:
            self._h11 = self._new_h11()

    def _update_head_limit(self) -> None:
        """Apply the limit on heads that is in force to the next request."""
        if self.service.limits().header_bytes != self._head_bytes:
            self._h11 = self._new_h11()

    def connectionMade(self) -> None:  # noqa: N802
        """Register the connection and wait for the first request."""
        self.service.connections.add(self)
        cast("ITCPTransport", self.transport).setTcpNoDelay(True)
        self._send_buffer = SendBuffer(
            self.transport, self._handle_progress, self.holding
        )
        self._start_timer(self.service.limits().header_timeout)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Parse received bytes and handle a complete request."""
        self.service.traffic.received += len(data)
        if self._closing:
            return

        if self._awaiting_first_bytes:
            self._awaiting_first_bytes = False
            record_progress(self.holding, self.service.reactor.seconds())

        if self._request is None and not self._unparsed:
            self._update_head_limit()

        self._h11.receive_data(data)
        if self._responder is None and not self._is_waiting and not self._awaits_turn:
            self._parse()
        else:
            self._set_unparsed(self._unparsed + len(data))

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Notify the handler of a request in progress that its caller is gone."""
        self.service.connections.discard(self)
        self._stop_timer()
        self._release_memory()
        responder = self._responder
        self._set_responder(None)
        if responder is None or not responder.started:
            self._log_undelivered(reason)

        if responder is not None and not responder.ended:
            responder.ended = True
            responder.on_lost()

        self._drop_buffers()

    def _drop_buffers(self) -> None:
        """Free what a lost connection holds, without the garbage collector."""
        self._release_body()
        self._drop_unparsed()
        self._request = None
        self.transport = None
        self._send_buffer = None

    @property
    def unsent(self) -> int:
        """Upper bound on the bytes of responses that have not been sent."""
        return self._send_buffer.unsent if self._send_buffer is not None else 0

    def _release_memory(self) -> None:
        """Stop to count what is held for a connection that is lost."""
        close_holding(self.holding)
        if self._paused:
            self._paused = False
            PAUSED_CONNECTIONS.dec()

    def _release_body(self) -> None:
        self._body = BodyPieces()
        self._count_request(-self._size)

    def _count_request(self, size: int) -> None:
        """Count bytes that are held for the request that is being received."""
        self._size += size
        add_bytes(self.holding, size)

    def has_room(self, expected: int = 0) -> bool:
        """Return whether more may be held, which may end other connections."""
        if not self.service.held.memory:
            return True

        return make_room(self.holding, self.service.reactor.seconds(), expected)

    def _stand(self) -> Standing:
        """Return whose turn it is."""
        if self._responder is not None or self._is_waiting:
            return Standing.READING if self.unsent else Standing.WAITING

        if self.unsent:
            return Standing.READING

        if self._closing or (self.idle and not self._unparsed):
            return Standing.IDLE

        return Standing.SENDING

    def _give_up(self, cause: Shortage) -> None:
        """End the connection, or refuse its request, as the process lacks something."""
        standing = self._stand()
        if standing is Standing.READING:
            if self._responder is not None:
                self._responder.lost_reason = f"{cause.value} ran short"

            self.abort()
            self._release_memory()
        elif cause is Shortage.MEMORY and self._request is not None:
            self._reject_for_memory()
        else:
            self._release_memory()
            close_at_once(self.transport, is_clean=standing is Standing.IDLE)

    def _handle_progress(self) -> None:
        """Handle that the caller has read a chunk."""
        if self._send_buffer is not None:
            moved = self._send_buffer.sent - self._sent_at_progress
            self._sent_at_progress = self._send_buffer.sent
            record_moved(self.holding, moved, self.service.reactor.seconds())

        if self._closing or self._paused or self._responder is None:
            self._restart_timeout()

        if self._paused and self.unsent <= LOW_WATER_BYTES:
            self._resume()

    def _pause(self) -> None:
        """Stop producing until the caller has read most of the unsent bytes."""
        self._paused = True
        PAUSED_CONNECTIONS.inc()
        if self._responder is not None:
            self._start_timer(self.service.limits().idle_timeout)
            self._responder.on_pause()

    def _resume(self) -> None:
        self._paused = False
        PAUSED_CONNECTIONS.dec()
        if self._responder is not None:
            self._stop_timer()
            self._responder.on_resume()
        elif self._is_waiting:
            self._is_waiting = False
            self._dispatch()

    def _restart_timeout(self) -> None:
        """Restart the timeout of a caller that is reading.

        Otherwise a long response could exceed the time to read it, or the time between
        two requests, and the connection would be reset in the middle of the response.
        Only a caller that reads nothing for that long is taken for gone.
        """
        is_idle = self._responder is None and self._request is None
        is_held = self._paused and (self._responder is not None or self._is_waiting)
        if self._closing or is_idle or is_held:
            self._start_timer(self.service.limits().idle_timeout)

    def _log_undelivered(self, reason: Failure) -> None:
        """Log a response that was written completely but may not have been sent."""
        if not self.unsent:
            return

        TRUNCATED_RESPONSES.inc()
        log_event(
            "http: Answer cut",
            request=self._last_request_id,
            outcome="undelivered",
            unsent=self.unsent,
            reason=reason.getErrorMessage(),
            stopping=self.service.stopping,
        )

    @property
    def idle(self) -> bool:
        """Whether no request is being received or handled."""
        no_request = self._responder is None and self._request is None
        return no_request and not self._has_unparsed_bytes

    @property
    def drained(self) -> bool:
        """Whether all responses are complete and their bytes sent.

        The kernel may still buffer the end of a response until the connection is lost.
        """
        return not self.unsent and (self.idle or self._closing)

    def close_if_idle(self, now: float) -> None:
        """Close the connection if no request is in progress.

        A new connection is kept for a moment: its caller's request may be on its way
        and would find the connection closed.
        """
        expecting = (
            self._awaiting_first_bytes
            and now - self._connected_at < FIRST_BYTES_SECONDS
        )
        if self.idle and not expecting:
            self._close()

    def abort(self) -> None:
        """Reset the connection."""
        if self.transport is not None:
            cast("ITCPTransport", self.transport).abortConnection()

    def send_head(self, status: int, headers: HeaderList) -> None:
        """Write the status and headers of a response."""
        self._close_after_response = self._close_after_response or self.service.stopping
        if self._close_after_response:
            headers = [*headers, (b"Connection", b"close")]

        reason = REASONS.get(status, b"")
        self._write(h11.Response(status_code=status, headers=headers, reason=reason))

    def send_data(self, data: bytes) -> None:
        """Write a chunk of the body."""
        self._write(h11.Data(data=data))

    def finish_response(self) -> None:
        """Finish the response, then read the next request or close."""
        self._write(h11.EndOfMessage())
        if self._responder is not None:
            self._last_request_id = self._responder.request_id

        self._set_responder(None)
        self._request = None
        self._release_body()
        record_progress(self.holding, self.service.reactor.seconds())
        reusable = self._h11.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}
        if self._close_after_response or not reusable:
            self._close_gracefully()
            return

        self._h11.start_next_cycle()
        self._start_timer(self.service.limits().idle_timeout)
        # Not recursive, as a caller may have pipelined hundreds of requests.
        self._has_unparsed_bytes = bool(self._h11.trailing_data[0])
        self.service.reactor.callLater(0, self._parse)

    def _write(self, event: Any) -> None:
        if self._send_buffer is None or self._h11.our_state is h11.ERROR:
            return

        data = self._h11.send(event)
        if not data:
            return

        self.service.traffic.sent += len(data)
        if not self._send_buffer.unsent:
            # From now on it is the caller's turn.
            record_progress(self.holding, self.service.reactor.seconds())

        self._send_buffer.write(data)
        if not self._paused and self._is_overfull():
            self._pause()

    def _is_overfull(self) -> bool:
        """Return whether the caller has to read before more is produced for it."""
        if self.unsent > HIGH_WATER_BYTES:
            return True

        return self.unsent > LOW_WATER_BYTES and not self.has_room()

    def _parse(self) -> None:
        self._has_unparsed_bytes = False
        if self._responder is not None or not self._is_open():
            return

        try:
            self._parse_events()
        except h11.RemoteProtocolError as error:
            self._reject(error.error_status_hint)

        self._set_unparsed(0 if self._closing else len(self._h11.trailing_data[0]))
        if self._unparsed and self._request is None and not self.has_room():
            self._reject_for_memory()

    def _set_unparsed(self, count: int) -> None:
        """Count the bytes that can't be parsed yet; read only while they are few."""
        if count != self._unparsed:
            add_bytes(self.holding, count - self._unparsed)
            self._unparsed = count

        self._update_reading()

    def _update_reading(self) -> None:
        """Receive bytes of the caller unless enough of them wait to be parsed."""
        limit = MAX_UNPARSED_BYTES
        if self._unparsed and self._responder is not None and not self.has_room():
            limit = 0

        reads = self._unparsed <= limit and not self._awaits_turn
        if reads == self._reads or self not in self.service.connections:
            return

        self._reads = reads
        transport = cast("IPushProducer", self.transport)
        if reads:
            transport.resumeProducing()
        else:
            transport.pauseProducing()

    def _take_turn(self) -> None:
        """Go on with a body of which much could be parsed."""
        self._awaits_turn = False
        self._parse()
        self._update_reading()

    def _is_open(self) -> bool:
        return not self._closing and self in self.service.connections

    def _parse_events(self) -> None:
        for _ in range(EVENTS_PER_SLICE):
            event = self._h11.next_event()
            if event is h11.NEED_DATA:
                if self._h11.they_are_waiting_for_100_continue:
                    self._write(h11.InformationalResponse(status_code=100, headers=[]))

                return

            if event is h11.PAUSED or isinstance(event, h11.ConnectionClosed):
                return

            if isinstance(event, h11.Request):
                if not self._receive_head(event):
                    return
            elif isinstance(event, h11.Data):
                if not self._receive_body(bytes(event.data)):
                    return
            elif isinstance(event, h11.EndOfMessage):
                self._dispatch_when_read()
                return

        self._awaits_turn = True
        wait_for_turn(self.service.turns, self.service.reactor, self._take_turn)

    def _receive_head(self, request: h11.Request) -> bool:
        """Return whether the body of a request is received."""
        limits = self.service.limits()
        headers = list(request.headers.raw_items())
        size = measure_head(request, headers)
        if size > limits.header_bytes:
            self._reject(431)
            return False

        length = read_length(headers)
        if length > limits.body_bytes:
            self._reject(413)
            return False

        self._request = request
        self._headers = headers
        self._start_timer(limits.header_timeout)
        self._count_request(size + FIELD_BYTES * len(headers))
        record_progress(self.holding, self.service.reactor.seconds())
        if not self.has_room(length):
            self._reject_for_memory()
            return False

        return True

    def _receive_body(self, data: bytes) -> bool:
        self._body.add(data)
        self._count_request(len(data))
        record_moved(self.holding, len(data), self.service.reactor.seconds())
        if not self.has_room():
            self._reject_for_memory()
            return False

        if self._body.size > self.service.limits().body_bytes:
            self._reject(413)
            return False

        return True

    def _reject_for_memory(self) -> None:
        BOUNDS_PASSED.labels("memory").inc()
        self._reject(503)

    def _dispatch_when_read(self) -> None:
        """Handle a request once its caller has read most of the former responses."""
        if not self._paused:
            self._dispatch()
            return

        self._is_waiting = True
        self._start_timer(self.service.limits().idle_timeout)

    def _dispatch(self) -> None:
        self._stop_timer()
        request = cast("h11.Request", self._request)
        responder = Responder(self)
        self._set_responder(responder)
        parts = (request.method, request.target, self._headers, self._body)
        self.service.handle(HttpRequest(*parts), responder)

    def _set_responder(self, responder: Responder | None) -> None:
        """Begin a response, or end the one in progress."""
        was_running = self._responder is not None
        self._responder = responder
        self.service.held.requests += (responder is not None) - was_running

    def _reject(self, status: int) -> None:
        """Send an error response to an invalid request, and close."""
        self._close_after_response = True
        self._last_request_id = ""
        self._release_body()
        if self._h11.our_state in (h11.IDLE, h11.SEND_RESPONSE):
            headers = [(b"Content-Length", b"0")]
            if status == 503:
                headers.append((b"Retry-After", NO_ROOM_RETRY_AFTER))

            self.send_head(status, headers)
            self._write(h11.EndOfMessage())

        self._close_gracefully()

    def _start_timer(self, seconds: float) -> None:
        self._stop_timer()
        self._timer = self.service.reactor.callLater(seconds, self._handle_timeout)

    def _stop_timer(self) -> None:
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

        self._timer = None

    def _handle_timeout(self) -> None:
        """Close a connection after a timeout of the next request or of the reader."""
        if self._responder is not None:
            limit = self.service.limits().idle_timeout
            self._responder.lost_reason = f"caller read nothing for {limit:g} s"
            self.abort()
        elif self._is_waiting:
            self.abort()
        elif self._request is not None and not self._closing:
            self._reject(408)
        elif self.unsent:
            self.abort()
        elif self._closing:
            cast("ITCPTransport", self.transport).loseConnection()
        else:
            self._close()

    def _close(self) -> None:
        """Close a connection on which nothing is in progress.

        A request that arrives after the close is not read: the kernel resets the
        connection, which tells the caller that it may retry the request.
        """
        if self.unsent:
            self._close_gracefully()
        elif self._send_buffer is not None and not self._closing:
            self._closing = True
            self._send_buffer.close()

    def _close_gracefully(self) -> None:
        """Close once all bytes were sent and the caller has closed its side.

        The connection of a caller that does not read or close in time is dropped.
        """
        if self._send_buffer is None or self._closing:
            return

        self._closing = True
        self._request = None
        self._drop_unparsed()
        self._set_unparsed(0)
        self._start_timer(self.service.limits().idle_timeout)
        self._send_buffer.finish()


def measure_head(request: h11.Request, headers: HeaderList) -> int:
    """Return the approximate size in bytes of a request's head.

    h11 limits only heads that arrive in several segments.
    """
    size = len(request.method) + len(request.target) + 4 * len(headers)
    return size + sum(map(len, chain.from_iterable(headers)))


def read_length(headers: HeaderList) -> int:
    """Return the length of a request's body, 0 if it is not stated."""
    return int(find_header(headers, b"content-length") or b"0")
