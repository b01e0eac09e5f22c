"""The client's side of HTTP/1.1: one request on a connection of its own.

A connection that was idle may have gone silent or be reset, and a request sent on it
may then have run or not. A fresh connection costs one round trip and leaves no doubt.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import h11
from twisted.internet.error import ConnectionDone
from twisted.internet.protocol import ClientFactory
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone

from .records import HeaderList


if TYPE_CHECKING:
    from twisted.internet.interfaces import ITCPTransport
    from twisted.python.failure import Failure


MAX_HEAD_BYTES = 65_536


@dataclass(frozen=True, slots=True, kw_only=True)
class CallHandlers:
    """What is done with an answer as it arrives.

    ``on_end`` is called once, last: with whether the answer came whole, and whether
    any byte of the request had been sent.
    """

    on_head: Callable[[int, HeaderList], None]
    on_data: Callable[[bytes], None]
    on_end: Callable[[bool, bool], None]


class UpstreamCall:
    """One request under way to one upstream."""

    def __init__(
        self,
        *,
        reactor: Any,
        address: tuple[str, int],
        request: tuple[bytes, bytes, HeaderList, bytes],
        handlers: CallHandlers,
        connect_timeout: float,
    ) -> None:
        self.request = request
        self.handlers = handlers
        self.sent = False
        self._ended = False
        self._protocol: _CallProtocol | None = None
        self._connector = reactor.connectTCP(
            address[0], address[1], _CallFactory(self), timeout=connect_timeout
        )

    def cancel(self) -> None:
        """Give the call up: the upstream sees its connection close at once."""
        if self._ended:
            return

        self._ended = True
        if self._protocol is not None:
            self._protocol.abort()
        else:
            self._connector.disconnect()

    def attach(self, protocol: _CallProtocol) -> None:
        """Note the connection that was made."""
        self._protocol = protocol

    def take_head(self, status: int, headers: HeaderList) -> None:
        """Hand the head of the answer on."""
        if not self._ended:
            self.handlers.on_head(status, headers)

    def take_data(self, data: bytes) -> None:
        """Hand a part of the body on."""
        if not self._ended:
            self.handlers.on_data(data)

    def end(self, *, whole: bool) -> None:
        """Tell once how the call ended."""
        if not self._ended:
            self._ended = True
            self.handlers.on_end(whole, self.sent)

    @property
    def ended(self) -> bool:
        """Whether the call is over."""
        return self._ended


class _CallProtocol(Protocol):
    def __init__(self, call: UpstreamCall) -> None:
        self._call = call
        self._h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)

    def connectionMade(self) -> None:  # noqa: N802
        self._call.attach(self)
        if self._call.ended:
            self.abort()
            return

        transport = cast("ITCPTransport", self.transport)
        transport.setTcpNoDelay(True)
        method, target, headers, body = self._call.request
        head = h11.Request(method=method, target=target, headers=headers)
        parts = [self._h11.send(head)]
        if body:
            parts.append(self._h11.send(h11.Data(data=body)))

        parts.append(self._h11.send(h11.EndOfMessage()))
        self._call.sent = True
        transport.write(b"".join(part for part in parts if part))

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        self._h11.receive_data(data)
        self._read()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        # A reset in the middle of an answer without a length is no end of it.
        if not self._call.ended and reason.check(ConnectionDone):
            self._h11.receive_data(b"")
            self._read()

        self._call.end(whole=False)

    def abort(self) -> None:
        if self.transport is not None:
            cast("ITCPTransport", self.transport).abortConnection()

    def _read(self) -> None:
        try:
            while not self._call.ended and self._take(self._h11.next_event()):
                pass
        except h11.RemoteProtocolError:
            self._call.end(whole=False)
            self.abort()

    def _take(self, event: Any) -> bool:
        if event is h11.NEED_DATA or event is h11.PAUSED:
            return False

        if isinstance(event, h11.Response):
            self._call.take_head(event.status_code, list(event.headers.raw_items()))
        elif isinstance(event, h11.Data):
            self._call.take_data(bytes(event.data))
        elif isinstance(event, h11.EndOfMessage):
            self._call.end(whole=True)
            self.abort()
            return False

        return not isinstance(event, h11.ConnectionClosed)


class _CallFactory(ClientFactory):
    noisy = False

    def __init__(self, call: UpstreamCall) -> None:
        self._call = call

    def buildProtocol(self, addr: object) -> _CallProtocol:  # noqa: N802
        return _CallProtocol(self._call)

    def clientConnectionFailed(self, connector: Any, reason: Failure) -> None:  # noqa: N802
        self._call.end(whole=False)
