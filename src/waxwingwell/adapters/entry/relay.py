"""Relay of a response's bytes from an engine's connection to the caller's.

The sink outlives connections to engines: a response that is cut is resumed on a new
connection, and the caller sees one unbroken stream.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import Enum
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

from twisted.internet.defer import Deferred
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from zope.interface import implementer

from .streams import EventStream
from .streams import receive_bytes
from .streams import start_connection


if TYPE_CHECKING:
    from twisted.python.failure import Failure


class StreamEnd(Enum):
    """Reason why the relay from a connection to an engine ended."""

    DONE = "done"
    CUT = "cut"
    SILENT = "silent"
    FAULTY = "faulty"
    CALLER_GONE = "caller gone"


@implementer(IPushProducer)
@dataclass(slots=True, eq=False)
class Sink:
    """The caller's side of a stream, with backpressure towards the engine.

    Bytes wait in ``held`` until the gate opens (the ledger row is durable). The
    engine is paused while the caller reads slowly, so that memory stays bounded.
    """

    write: Callable[[bytes], None]
    open: bool = False
    gone: bool = False
    paused: bool = False
    held: list[bytes] = field(default_factory=list)
    final_bytes: bytes = b""
    """The last bytes of the response, held back until the request is settled."""
    recording: bool = False
    """Keep a copy of the forwarded bytes for the rating service."""
    record: list[bytes] = field(default_factory=list)
    first_at: float | None = None
    """Time of the first event from an engine, in seconds of the reactor's clock."""
    source: Any = None
    """Transport of the current connection to an engine."""

    def pauseProducing(self) -> None:  # noqa: N802
        """Stop reading from the engine while the caller reads slowly."""
        self.paused = True
        if self.source is not None:
            self.source.pauseProducing()

    def resumeProducing(self) -> None:  # noqa: N802
        """Resume reading from the engine once the caller has caught up."""
        self.paused = False
        if self.source is not None:
            self.source.resumeProducing()

    def stopProducing(self) -> None:  # noqa: N802
        """Record that the caller has disconnected."""
        self.gone = True


def open_gate(sink: Sink) -> None:
    """Forward the bytes held so far, and all later ones at once."""
    sink.open = True
    held, sink.held = sink.held, []
    if held and not sink.gone:
        sink.write(b"".join(held))


def push_bytes(sink: Sink, data: bytes) -> None:
    """Send bytes to the caller, or hold them while the gate is closed."""
    if sink.recording:
        sink.record.append(data)

    if sink.gone or not data:
        return

    if sink.open:
        sink.write(data)
    else:
        sink.held.append(data)


class RelayProtocol(Protocol):
    """Receives the body of one connection; fires ``ended`` with the reason it ended."""

    def __init__(
        self,
        stream: EventStream,
        sink: Sink,
        *,
        reactor: Any,
        progress_timeout: float,
    ) -> None:
        self.stream = stream
        self.sink = sink
        self.ended: Deferred[StreamEnd] = Deferred()
        self._reactor = reactor
        self._timeout = progress_timeout
        self._last_data_at = float(reactor.seconds())
        self._timer: Any = None
        start_connection(stream)

    def connectionMade(self) -> None:  # noqa: N802
        """Become the sink's source and start to check for progress."""
        self.sink.source = self.transport
        if self.sink.paused and self.transport is not None:
            cast("IPushProducer", self.transport).pauseProducing()

        self._check_progress()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Forward complete new events; hold the last back until settled."""
        if self.ended.called:
            return

        now = float(self._reactor.seconds())
        self._last_data_at = now
        received = receive_bytes(self.stream, data)
        if received.forward and self.sink.first_at is None:
            self.sink.first_at = now

        if self.stream.done:
            self.sink.final_bytes = received.forward
            self._finish(StreamEnd.DONE)
            return

        push_bytes(self.sink, received.forward)
        if received.fault is not None:
            self._finish(StreamEnd.FAULTY)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Report a cut, unless the response had ended."""
        self._finish(StreamEnd.CUT)

    def _check_progress(self) -> None:
        idle = float(self._reactor.seconds()) - self._last_data_at
        # A paused engine is idle because of the caller, not through a fault of its own.
        if idle > self._timeout and not self.sink.paused:
            self._finish(StreamEnd.SILENT)
            return

        self._timer = self._reactor.callLater(self._timeout / 4, self._check_progress)

    def _finish(self, end: StreamEnd) -> None:
        if self.ended.called:
            return

        if self._timer is not None and self._timer.active():
            self._timer.cancel()

        self.sink.source = None
        # After a complete response the connection can be reused. After any other end
        # the state of its remaining bytes is unknown, so it is closed.
        if end in (StreamEnd.SILENT, StreamEnd.FAULTY) and self.transport is not None:
            self.transport.loseConnection()

        self.ended.callback(end)
