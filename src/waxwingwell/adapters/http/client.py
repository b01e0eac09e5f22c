"""HTTP/1.1 client: each request uses a new connection.

An idle connection may be dead or be reset, and then it is unknown whether a request
sent on it has run. A new connection costs one round trip and avoids that ambiguity.
"""

from __future__ import annotations

import fcntl
import socket
import struct
import termios
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.error import TCPTimedOutError
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.internet.interfaces import IHalfCloseableProtocol
from twisted.internet.interfaces import IPullProducer
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from twisted.internet.tcp import Connection
from zope.interface import implementer

from ..traffic import Traffic
from .records import STATUSES
from .records import HeaderList
from .records import find_framing


if TYPE_CHECKING:
    from collections.abc import Iterator

    from twisted.internet.interfaces import IConsumer
    from twisted.internet.interfaces import IPushProducer
    from twisted.internet.interfaces import ITCPTransport
    from twisted.python.failure import Failure


MAX_HEAD_BYTES = 65_536
MAX_INFORMATIONAL = 16
"""Informational responses to one request; an upstream has cause for one or two."""
TOO_LONG = 431
"""Status by which h11 reports that a head, a trailer or a chunk size is too long."""
RECEIPT_SECONDS = 0.01
"""Seconds between two looks at whether the upstream's host has received a request."""


class ResponseEnd(Enum):
    """What is known of the end of a response."""

    STATED = "stated"
    """Its length was reached, or its last chunk received."""
    UNSTATED = "unstated"
    """It has neither a length nor chunks, and its connection was closed cleanly after
    the whole request had been received."""
    CUT = "cut"
    """It ended early, or there was none."""


class Receipt(Enum):
    """What a peer's host has done with the bytes that were written to it."""

    RECEIVED = "received"
    UNDER_WAY = "under way"
    RESET = "reset"
    """It has reset the connection, and may have received some."""


@dataclass(frozen=True, slots=True)
class PassedBound:
    """A bound that the bytes of a response have passed."""

    kind: str
    limit: int
    count: int
    """What was received when the connection was closed."""


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHandlers:
    """Callbacks for a response as it arrives.

    ``on_sent`` is called once the connection stands and the request is being written.
    ``on_end`` is called once, last. Its arguments tell how the response ended and
    whether any byte of the request had been sent.
    """

    on_head: Callable[[int, HeaderList], None]
    on_data: Callable[[bytes], None]
    on_end: Callable[[ResponseEnd, bool], None]
    on_sent: Callable[[], None] = lambda: None


RequestParts = tuple[bytes, bytes, "HeaderList", Iterable[bytes]]
"""Method, target, headers and the body of a request in pieces."""


class UpstreamCall:
    """A request in progress to one upstream.

    ``make_request`` is called once the connection stands. It returns method, target,
    headers and body, or None if the request must not be written any more. A piece of
    the body is written once those before it were sent.
    """

    def __init__(
        self,
        *,
        reactor: Any,
        address: tuple[str, int],
        make_request: Callable[[], RequestParts | None],
        handlers: CallHandlers,
        connect_timeout: float,
        traffic: Traffic | None = None,
    ) -> None:
        self.reactor = reactor
        self.traffic = traffic or Traffic()
        """Counts the bytes of the call."""
        self.make_request = make_request
        self.handlers = handlers
        self.sent = False
        self.timed_out = False
        """Whether the connection was not set up in time, rather than refused."""
        self.passed: PassedBound | None = None
        """The bound that ended the call, if one did."""
        self.ended = False
        """Whether the call has completed, failed or been cancelled."""
        self._protocol: _CallProtocol | None = None
        self._connector = reactor.connectTCP(
            address[0], address[1], _CallFactory(self), timeout=connect_timeout
        )

    def cancel(self) -> None:
        """Cancel the call and close the connection to the upstream at once."""
        if self.ended:
            return

        self.ended = True
        if self._protocol is not None:
            self._protocol.abort()
        else:
            self._connector.disconnect()

    def drop_connection(self) -> None:
        """Free the buffers of a lost connection, without the garbage collector."""
        self._connector.transport = None

    def pause(self) -> None:
        """Stop reading the response until ``resume``."""
        if not self.ended and self._protocol is not None:
            self._protocol.pause()

    def resume(self) -> None:
        """Continue reading the response."""
        if not self.ended and self._protocol is not None:
            self._protocol.resume()

    def set_protocol(self, protocol: _CallProtocol) -> None:
        """Set the protocol of the established connection."""
        self._protocol = protocol

    def handle_head(self, status: int, headers: HeaderList) -> None:
        """Pass on the status and headers of the response."""
        if not self.ended:
            self.handlers.on_head(status, headers)

    def handle_data(self, data: bytes) -> None:
        """Pass on a chunk of the body."""
        if not self.ended:
            self.handlers.on_data(data)

    def finish(self, end: ResponseEnd) -> None:
        """Report the outcome of the call, once."""
        if not self.ended:
            self.ended = True
            self.handlers.on_end(end, self.sent)


@implementer(IPullProducer, IHalfCloseableProtocol)
class _CallProtocol(Protocol):
    def __init__(self, call: UpstreamCall) -> None:
        self._call = call
        self._pieces: Iterator[bytes] | None = None
        """Rest of the request's body; None before and after it is written."""
        self._is_written = False
        """Whether the kernel has accepted the whole request."""
        self._is_unstated = False
        """Whether the response ends with its connection."""
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._closed = False
        """Whether the upstream has closed its side of the connection cleanly."""
        self._informational = 0

    def connectionMade(self) -> None:  # noqa: N802
        self._call.set_protocol(self)
        if self._call.ended:
            self.abort()
            return

        transport: Any = self.transport
        transport.setTcpNoDelay(True)
        request = self._call.make_request()
        if request is None:
            self._call.finish(ResponseEnd.CUT)
            self.abort()
            return

        method, target, headers, body = request
        head = h11.Request(method=method, target=target, headers=headers)
        data = self._h11.send(head) or b""
        transport.registerProducer(self, False)
        self._call.sent = True
        self._pieces = iter(body)
        self._write(data + self._encode_piece())
        self._call.handlers.on_sent()

    def resumeProducing(self) -> None:  # noqa: N802
        if not self._call.sent or self._call.ended:
            return

        data = self._encode_piece()
        if data:
            self._write(data)
            return

        self._is_written = True
        cast("IConsumer", self.transport).unregisterProducer()
        if self._closed:
            self._process_end()

    def stopProducing(self) -> None:  # noqa: N802
        pass

    def _encode_piece(self) -> bytes:
        """Return the next bytes of the request, or none after its end."""
        if self._pieces is None:
            return b""

        piece = next(self._pieces, None)
        if piece is not None:
            return self._h11.send(h11.Data(data=piece)) or b""

        self._pieces = None
        return self._h11.send(h11.EndOfMessage()) or b""

    def _write(self, data: bytes) -> None:
        self._call.traffic.sent += len(data)
        transport: Any = self.transport
        transport.write(data)

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._call.traffic.received += len(data)
        self._h11.receive_data(data)
        self._process_events()

    def readConnectionLost(self) -> None:  # noqa: N802
        self._closed = True
        self._process_end()

    def writeConnectionLost(self) -> None:  # noqa: N802
        pass

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        is_clean = not self._call.ended and reason.check(ConnectionDone) is not None
        if is_clean and self._is_written:
            self._closed = True
            self._h11.receive_data(b"")
            self._process_events()

        self._call.finish(ResponseEnd.CUT)
        self._pieces = None
        self.transport = None
        self._call.drop_connection()

    def _process_end(self) -> None:
        """Handle that the upstream has closed its side.

        While a part of the request is under way, the upstream may still reset the
        connection, and a response that ends with it is then not complete.
        """
        if self._call.ended:
            return

        if self._is_unstated and not self._is_written:
            return

        receipt = find_receipt(self.transport)
        if self._is_unstated and receipt is Receipt.UNDER_WAY:
            self._call.reactor.callLater(RECEIPT_SECONDS, self._process_end)
            return

        if receipt is not Receipt.RESET:
            self._h11.receive_data(b"")
            self._process_events()

        self._call.finish(ResponseEnd.CUT)
        self.abort()

    def abort(self) -> None:
        if self.transport is not None:
            cast("ITCPTransport", self.transport).abortConnection()

    def pause(self) -> None:
        cast("IPushProducer", self.transport).pauseProducing()

    def resume(self) -> None:
        cast("IPushProducer", self.transport).resumeProducing()

    def _process_events(self) -> None:
        try:
            while not self._call.ended and self._handle_event(self._h11.next_event()):
                pass
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == TOO_LONG:
                count = len(self._h11.trailing_data[0])
                self._call.passed = PassedBound("head", MAX_HEAD_BYTES, count)

            self._call.finish(ResponseEnd.CUT)
            self.abort()

    def _handle_event(self, event: Any) -> bool:
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False

        kind = type(event)
        if kind is h11.Response:
            if event.status_code not in STATUSES:
                raise h11.RemoteProtocolError(f"status {event.status_code}")

            headers = list(event.headers.raw_items())
            self._is_unstated = find_framing(headers) == "close"
            self._call.handle_head(event.status_code, headers)
        elif kind is h11.Data:
            self._call.handle_data(bytes(event.data))
        elif kind is h11.EndOfMessage:
            self._call.finish(
                ResponseEnd.UNSTATED if self._closed else ResponseEnd.STATED
            )
            self.abort()
            return False
        elif kind is h11.InformationalResponse:
            return self._count_informational()

        return kind is not h11.ConnectionClosed

    def _count_informational(self) -> bool:
        """Return whether one more informational response is accepted."""
        self._informational += 1
        if self._informational <= MAX_INFORMATIONAL:
            return True

        self._call.passed = PassedBound(
            "informational", MAX_INFORMATIONAL, self._informational
        )
        self._call.finish(ResponseEnd.CUT)
        self.abort()
        return False


def find_receipt(transport: Any) -> Receipt:
    """Return what the peer's host has done with the bytes that were written."""
    if not isinstance(transport, Connection):
        return Receipt.RECEIVED

    handle = transport.getHandle()
    if handle.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR):
        return Receipt.RESET

    [count] = struct.unpack("i", fcntl.ioctl(handle, termios.TIOCOUTQ, bytes(4)))
    return Receipt.UNDER_WAY if count else Receipt.RECEIVED


class _CallFactory(ClientFactory):
    noisy = False

    def __init__(self, call: UpstreamCall) -> None:
        self._call = call

    def buildProtocol(self, addr: object) -> _CallProtocol:  # noqa: N802
        return _CallProtocol(self._call)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        timed_out = reason.check(ConnectTimeout, TCPTimedOutError) is not None
        self._call.timed_out = timed_out
        self._call.finish(ResponseEnd.CUT)
