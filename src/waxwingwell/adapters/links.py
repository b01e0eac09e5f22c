"""Links: msgpack streams between the system's processes, with calls and heartbeats.

A link is a TCP connection, opened by the process that needs to call the other one.
Both ends send heartbeats and replace a connection on which nothing arrives: a device
between them can lose its connection state, after which the connection stays dead
without an error while new ones work. Protocol and versioning: docs/PROTOCOL.md.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import cast

import msgpack
import msgspec
from loguru import logger
from twisted.internet.defer import Deferred
from twisted.internet.interfaces import INegotiated
from twisted.internet.interfaces import IPushProducer
from twisted.internet.protocol import Factory
from twisted.internet.protocol import Protocol
from twisted.internet.protocol import connectionDone
from zope.interface import implementer

from ..messages import Beat
from ..messages import Call
from ..messages import Cast
from ..messages import Hello
from ..messages import Message
from ..messages import Reply
from .exceptions import LinkDownError
from .exceptions import LinkLostError
from .http.budget import Budget
from .http.budget import Shortage
from .http.budget import Standing
from .http.budget import add_bytes
from .http.budget import admit_connection
from .http.budget import close_holding
from .http.budget import make_room
from .http.budget import open_holding
from .http.budget import record_moved
from .http.budget import record_progress
from .http.output import close_at_once


if TYPE_CHECKING:
    from collections.abc import Iterable

    from twisted.internet.interfaces import IConsumer
    from twisted.internet.interfaces import IReactorTime
    from twisted.internet.interfaces import ITCPTransport
    from twisted.python.failure import Failure


PROTOCOL_VERSION = 1
MAX_DOUBLINGS = 10
CATCH_UP_SECONDS = 0.01
"""Seconds in which a process that has stood still reads what has arrived."""
MAX_FRAME_BYTES = 64 * 1024 * 1024
"""Bytes of the largest frame; a snapshot of the control state must fit."""
BUFFER_FACTOR = 2
"""Bytes that the unpacker takes for each byte of a partial frame at most, as its buffer
doubles."""
READ_BYTES = 16_384
"""Bytes of the buffer that each connection keeps."""
MAX_GREETING_BYTES = 4_096
"""Bytes of the largest frame before the peer has greeted."""

Frame = Hello | Beat | Call | Reply | Cast


@dataclass(frozen=True, slots=True)
class LinkTiming:
    """Intervals and timeouts of a link, in seconds."""

    heartbeat_interval: float = 0.25
    idle_timeout: float = 1.5
    """Time without received bytes after which a connection is replaced."""
    suspect_timeout: float = 0.8
    """The same limit for a connection on which a call has timed out."""
    connect_timeout: float = 1.0
    """Maximum time of a connection attempt."""
    max_retry_pause: float = 0.2
    """Maximum pause before the next attempt."""
    first_attempt_factor: float = 1.0
    """Factor on the two above at the first attempt; it doubles per failure, up to 1."""


ROUTING_TIMING = LinkTiming(
    heartbeat_interval=0.5,
    idle_timeout=2.0,
    suspect_timeout=1.2,
    connect_timeout=1.0,
    max_retry_pause=0.25,
    first_attempt_factor=0.25,
)
"""Between gateways and registries: half the heartbeats, for hundreds of gateways.
Connection attempts start short: if all VMs get their power back within half a second,
the first packet to one that is still off is lost, and the kernel resends it only after
a second, while callers wait."""


@dataclass(frozen=True, slots=True)
class LinkHandlers:
    """A node's handlers for calls and casts."""

    handle_call: Callable[[str, Any], Deferred[Message]]
    """Handles a call, given its sender and body; returns the reply's body."""
    handle_cast: Callable[[str, Any], None]
    """Handles a cast, given its sender and body."""
    body_type: Any
    """Union of the message types that this node can decode."""


@dataclass(slots=True)
class LinkNode:
    """State that all links of one process share."""

    name: str
    reactor: Any
    handlers: LinkHandlers
    timing: LinkTiming
    accepted: set[LinkProtocol] = field(default_factory=set)
    read_names: Callable[[Any], frozenset[str]] | None = None
    """Names in the certificate of a transport's peer; None for links in plain text."""
    on_greeted: Callable[[LinkProtocol], None] = lambda _: None
    """Called for each connection, in either direction, once the peer has greeted."""
    count_bytes: Callable[[str, int, int], None] = lambda *_: None
    """Called with a peer and the bytes that were sent to it and received from it."""
    held: Budget = field(default_factory=Budget)
    """What all peers of the process take up."""


@implementer(IPushProducer)
class LinkProtocol(Protocol):
    """One connection: sends and receives frames, and closes if it is unresponsive."""

    def __init__(self, node: LinkNode, *, is_own: bool = False) -> None:
        self.node = node
        self.is_own = is_own
        """Whether this end has opened the connection."""
        self.remote = ""
        self.closed: Deferred[None] = Deferred()
        self._unpacker = msgpack.Unpacker(
            max_buffer_size=MAX_FRAME_BYTES, read_size=READ_BYTES
        )
        self._received = 0
        self._holding = open_holding(
            node.held, self._stand, self._give_up, node.reactor.seconds()
        )
        self._pending: dict[int, Deferred[Any]] = {}
        self._unanswered_calls = 0
        self._finishing = False
        self._finished = False
        self._last_number = 0
        self._paused = False
        self._last_received_at = 0.0
        self._last_sent_at = 0.0
        self._timer: Any = None
        self._check_due_at = math.inf
        self._greeted = False
        self._greeting: Deferred[Any] | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Greet the peer and start the heartbeats and the idle timeout."""
        transport = cast("ITCPTransport", self.transport)
        transport.setTcpNoDelay(True)
        cast("IConsumer", self.transport).registerProducer(self, True)
        self._last_received_at = self._seconds()
        self.send_frame(Hello(node=self.node.name, protocol=PROTOCOL_VERSION))
        self._check_liveness()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Handle all complete frames; a malformed one ends the connection."""
        self._last_received_at = self._seconds()
        self.node.count_bytes(self.remote, 0, len(data))
        try:
            self._unpacker.feed(data)
            for item in self._unpacker:
                self._handle_frame(msgspec.convert(item, type=Frame))

            self._count_partial(len(data))
        except (msgspec.ValidationError, ValueError, msgpack.UnpackException) as error:
            logger.warning(
                "link: Closed the connection to {}: bad frame, {}.", self.remote, error
            )
            self.abort()

    def _count_partial(self, received: int) -> None:
        """Count the bytes of the frame that is being received, and bound them."""
        now = self._seconds()
        self._received += received
        partial = self._received - self._unpacker.tell()
        held = BUFFER_FACTOR * partial
        add_bytes(self._holding, held - self._holding.size)
        record_moved(self._holding, received, now)
        if not partial:
            record_progress(self._holding, now)
        elif self.is_own:
            return
        elif not self._greeted and partial > MAX_GREETING_BYTES:
            raise ValueError(f"{partial} bytes before a greeting")
        elif not make_room(self._holding, now):
            raise ValueError(f"no memory for a frame of over {partial} bytes")

    def _stand(self) -> Standing:
        """Return whose turn it is."""
        if self.is_own or (self._greeted and not self._holding.size):
            return Standing.WAITING

        return Standing.SENDING if self._holding.size else Standing.IDLE

    def _give_up(self, cause: Shortage) -> None:
        """End the connection at once for lack of memory or descriptors."""
        logger.warning("link: Gave up {}: {} ran short.", self.remote, cause.value)
        close_holding(self._holding)
        close_at_once(self.transport, is_clean=False)

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Fail all pending calls; each may have run at the other end."""
        close_holding(self._holding)
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

        pending, self._pending = self._pending, {}
        for pending_call in pending.values():
            pending_call.errback(
                LinkLostError(f"lost the link to {self.remote or '?'}")
            )

        self._resolve_greeting(LinkDownError(f"{self.remote or '?'} did not greet"))
        if not self.closed.called:
            self.closed.callback(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Record that the peer reads slowly."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Record that the peer has caught up."""
        self._paused = False

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``connectionLost`` follows."""

    def send_frame(self, frame: Frame) -> None:
        """Write one frame, unless this end is already closed for writing."""
        if self.transport is None or self._finished:
            return

        self._last_sent_at = self._seconds()
        data = msgspec.msgpack.encode(frame)
        self.node.count_bytes(self.remote, len(data), 0)
        self.transport.write(data)

    def call(self, body: Message, *, timeout: float) -> Deferred[Any]:
        """Send a call; the result is the reply's body.

        Errors: ``LinkDownError`` if it was not sent, ``LinkLostError`` if no reply
        arrived within ``timeout`` seconds or the connection was lost.
        """
        reply: Deferred[Any] = Deferred()
        # Calls buffered for a slow reader would grow memory without bound.
        if self._paused:
            reply.errback(LinkDownError(f"{self.remote} reads too slowly"))
            return reply

        if self._finishing:
            reply.errback(LinkDownError(f"the link to {self.remote} is closing"))
            return reply

        self._last_number += 1
        number = self._last_number
        self._pending[number] = reply
        self.send_frame(Call(number=number, body=body))
        timer = self.node.reactor.callLater(timeout, self._expire_call, number)

        def stop_timer(result: Any) -> Any:
            if timer.active():
                timer.cancel()

            return result

        reply.addBoth(stop_timer)
        return reply

    def cast(self, body: Message) -> bool:
        """Send a message that has no reply.

        Returns False, and drops it, if the reader lags or the connection is closing.
        """
        if self._paused or self._finishing:
            return False

        self.send_frame(Cast(body=body))
        return True

    def abort(self) -> None:
        """End the connection at once."""
        if self.transport is not None:
            cast("ITCPTransport", self.transport).abortConnection()

    @property
    def unanswered(self) -> int:
        """Number of calls received from the peer that have no reply yet."""
        return self._unanswered_calls

    def finish(self) -> None:
        """Close the connection once its calls have replies and its bytes were sent.

        If a process that stops aborted its connections, replies in the buffer would
        be lost: the sender of an executed order would get an unknown outcome, or no
        gateway would receive an acknowledged leave. A peer that is gone cannot block
        this, since the idle timeout still closes the connection.
        """
        self._finishing = True
        self._close_if_drained()

    def _close_if_drained(self) -> None:
        drained = not self._pending and not self._unanswered_calls
        if not self._finishing or self._finished or not drained:
            return

        if self.transport is None:
            return

        self._finished = True
        # A paused producer would keep the transport from closing.
        cast("IConsumer", self.transport).unregisterProducer()
        if INegotiated.providedBy(self.transport):
            self.transport.loseConnection()
            return

        # Close only for writing; the peer closes once it has read everything. After a
        # full close with heartbeats unread, the kernel would reset the connection, and
        # bytes that still need a retransmission would be lost.
        cast("ITCPTransport", self.transport).loseWriteConnection()

    def wait_for_greeting(self) -> Deferred[Any]:
        """Return this protocol once the peer's greeting has arrived.

        Errors: ``LinkDownError`` if the connection ends first. Cancelling the result
        aborts the connection.
        """
        greeting: Deferred[Any] = Deferred(lambda _: self.abort())
        self._greeting = greeting
        if self._greeted:
            self._resolve_greeting(self)
        elif self.closed.called:
            self._resolve_greeting(LinkDownError("lost before it greeted"))

        return greeting

    def _resolve_greeting(self, result: Any) -> None:
        greeting, self._greeting = self._greeting, None
        if greeting is None or greeting.called:
            return

        if isinstance(result, Exception):
            greeting.errback(result)
        else:
            greeting.callback(result)

    def _handle_frame(self, frame: Frame) -> None:
        if isinstance(frame, Hello):
            self._handle_hello(frame)
        elif self.node.read_names is not None and not self._greeted:
            # Frames behind a refused greeting are still in the buffer; handling them
            # would let a node call without a name or under another node's name.
            self.abort()
        elif isinstance(frame, Call):
            self._handle_call(frame)
        elif isinstance(frame, Reply):
            self._handle_reply(frame)
        elif isinstance(frame, Cast):
            self.node.handlers.handle_cast(self.remote, self._decode_body(frame.body))

    def _handle_hello(self, hello: Hello) -> None:
        self._greeted = False
        read_names = self.node.read_names
        if read_names is not None and hello.node not in read_names(self.transport):
            logger.warning("link: Certificate does not name the peer {}.", hello.node)
            self.abort()
            return

        self.remote = hello.node
        if hello.protocol != PROTOCOL_VERSION:
            logger.warning(
                "link: Refused {}: protocol version {} instead of {}.",
                hello.node,
                hello.protocol,
                PROTOCOL_VERSION,
            )
            self.abort()
            return

        self._greeted = True
        self._resolve_greeting(self)
        self.node.on_greeted(self)

    def _handle_call(self, call: Call) -> None:
        if self._finished:
            # No reply can be sent any more, so the call must not run.
            return

        reply = self.node.handlers.handle_call(
            self.remote, self._decode_body(call.body)
        )

        def send_reply(body: Message) -> None:
            self.send_frame(Reply(number=call.number, body=body))

        def log_failure(failure: Failure) -> None:
            logger.error("link: A call failed: {}.", failure.getErrorMessage())

        def mark_answered(_: object) -> None:
            self._unanswered_calls -= 1
            self._close_if_drained()

        self._unanswered_calls += 1
        reply.addCallback(send_reply).addErrback(log_failure).addBoth(mark_answered)

    def _handle_reply(self, reply: Reply) -> None:
        pending_call = self._pending.pop(reply.number, None)
        if pending_call is not None:
            pending_call.callback(self._decode_body(reply.body))
            self._close_if_drained()

    def _decode_body(self, body: Any) -> Any:
        return msgspec.convert(
            body, type=self.node.handlers.body_type, builtin_types=(bytes,)
        )

    def _expire_call(self, number: int) -> None:
        pending_call = self._pending.pop(number, None)
        if pending_call is None:
            return

        pending_call.errback(LinkLostError(f"{self.remote} did not answer in time"))
        self._close_if_drained()
        # If not even heartbeats arrived meanwhile, waiting for the full idle timeout
        # would only delay the caller's next attempt.
        self.close_if_unresponsive()

    def close_if_unresponsive(self) -> None:
        """Close the connection if nothing arrived within ``suspect_timeout``."""
        if self._seconds() - self._last_received_at > self.node.timing.suspect_timeout:
            logger.warning("link: Replaced the silent link to {}.", self.remote or "?")
            self.abort()

    def _check_liveness(self) -> None:
        now = self._seconds()
        timing = self.node.timing
        due_at, self._check_due_at = self._check_due_at, now + timing.heartbeat_interval
        if now - due_at > timing.heartbeat_interval:
            # This process has stood still: received bytes may still wait to be read.
            self._timer = self.node.reactor.callLater(
                CATCH_UP_SECONDS, self._check_liveness
            )
            return

        if now - self._last_received_at > timing.idle_timeout:
            logger.warning("link: Replaced the silent link to {}.", self.remote or "?")
            self.abort()
            return

        if now - self._last_sent_at >= timing.heartbeat_interval:
            self.send_frame(Beat())

        self._timer = self.node.reactor.callLater(
            timing.heartbeat_interval, self._check_liveness
        )

    def _seconds(self) -> float:
        return float(self.node.reactor.seconds())


class LinkFactory(Factory):
    """Builds and tracks a protocol for each accepted connection."""

    noisy = False

    def __init__(self, node: LinkNode) -> None:
        self.node = node

    def buildProtocol(self, addr: object) -> LinkProtocol | None:  # noqa: N802
        """Return a protocol that is tracked until its connection closes.

        It is None, so that the connection is closed, if too many are open.
        """
        if not admit_connection(self.node.held, float(self.node.reactor.seconds())):
            return None

        protocol = LinkProtocol(self.node)
        self.node.accepted.add(protocol)
        protocol.closed.addCallback(lambda _: self.node.accepted.discard(protocol))
        return protocol


@dataclass(slots=True)
class Link:
    """A connection to another node, re-established whenever it is lost."""

    node: LinkNode
    name: str
    connect: Callable[[Factory], Deferred[Any]]
    protocol: LinkProtocol | None = None
    stopped: bool = False
    on_up: Callable[[], None] = lambda: None
    failures: int = 0
    """Number of consecutive failed attempts to connect."""


class _ConnectingFactory(Factory):
    noisy = False

    def __init__(self, node: LinkNode) -> None:
        self.node = node

    def buildProtocol(self, addr: object) -> LinkProtocol:  # noqa: N802
        return LinkProtocol(self.node, is_own=True)


def open_link(
    node: LinkNode, name: str, connect: Callable[[Factory], Deferred[Any]]
) -> Link:
    """Return a link to ``name`` and start connecting it."""
    link = Link(node=node, name=name, connect=connect)
    _connect_link(link)
    return link


def close_link(link: Link) -> None:
    """Close a link for good once its calls have replies and its bytes were sent."""
    link.stopped = True
    if link.protocol is not None:
        link.protocol.finish()


def finish_links(node: LinkNode, links: Iterable[Link]) -> None:
    """Close all connections of a process, each once its last byte was sent."""
    for link in links:
        close_link(link)

    for accepted in list(node.accepted):
        accepted.finish()


def list_protocols(node: LinkNode, links: Iterable[Link]) -> list[LinkProtocol]:
    """Return the open connections, in either direction."""
    opened = [link.protocol for link in links if link.protocol is not None]
    return [*opened, *node.accepted]


def is_link_up(link: Link) -> bool:
    """Return whether the link is currently connected."""
    return link.protocol is not None


def call_link(link: Link, body: Message, *, timeout: float) -> Deferred[Any]:
    """Send a call over a link; fails at once with ``LinkDownError`` if it is down."""
    if link.protocol is None:
        reply: Deferred[Any] = Deferred()
        reply.errback(LinkDownError(f"no link to {link.name}"))
        return reply

    return link.protocol.call(body, timeout=timeout)


def close_link_if_unresponsive(link: Link) -> None:
    """Replace a link's connection if nothing arrived within ``suspect_timeout``."""
    if link.protocol is not None:
        link.protocol.close_if_unresponsive()


def cast_link(link: Link, body: Message) -> bool:
    """Send a cast over a link; False if the link is down or its reader lags."""
    return link.protocol is not None and link.protocol.cast(body)


def _connect_link(link: Link) -> None:
    if link.stopped:
        return

    timing = link.node.timing
    attempt = link.connect(_ConnectingFactory(link.node))
    attempt.addTimeout(
        timing.connect_timeout * compute_backoff_factor(timing, link.failures),
        cast("IReactorTime", link.node.reactor),
    )

    def handle_connected(protocol: LinkProtocol) -> None:
        if link.stopped:
            protocol.abort()
            return

        link.protocol = protocol
        link.failures = 0
        protocol.remote = protocol.remote or link.name
        protocol.closed.addCallback(lambda _: handle_lost())
        link.on_up()

    def handle_lost() -> None:
        link.protocol = None
        retry()

    def handle_failure(_: object) -> None:
        retry()
        link.failures += 1

    def retry() -> None:
        if not link.stopped:
            pause = timing.max_retry_pause * compute_backoff_factor(
                timing, link.failures
            )
            link.node.reactor.callLater(pause, _connect_link, link)

    attempt.addCallbacks(handle_connected, handle_failure)


def compute_backoff_factor(timing: LinkTiming, failures: int) -> float:
    """Return the factor on the connect timeout and pause after failed attempts."""
    doublings = min(failures, MAX_DOUBLINGS)
    return min(timing.first_attempt_factor * 2.0**doublings, 1.0)
