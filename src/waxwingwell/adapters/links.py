"""Links: msgpack streams between our own processes, with calls and heartbeats.

A link is one TCP connection in each direction of need. Both ends send heartbeats
and replace a connection that has gone silent: a connection can go silent for good,
without an error, while new ones work (something between the ends lost track of it).
Protocol and versioning: docs/PROTOCOL.md.
"""

from __future__ import annotations

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


if TYPE_CHECKING:
    from collections.abc import Iterable

    from twisted.internet.interfaces import IConsumer
    from twisted.internet.interfaces import IReactorTime
    from twisted.internet.interfaces import ITCPTransport
    from twisted.python.failure import Failure


PROTOCOL_VERSION = 1
MAX_DOUBLINGS = 10
MAX_FRAME = 64 * 1024 * 1024
"""Bytes; a snapshot of the control state must fit."""

Frame = Hello | Beat | Call | Reply | Cast


@dataclass(frozen=True, slots=True)
class LinkTiming:
    """Seconds that govern a link."""

    beat: float = 0.25
    silent: float = 1.5
    """Silence after which a connection is replaced."""
    suspicious: float = 0.8
    """Silence after which it is replaced if a call on it went unanswered, too."""
    connect: float = 1.0
    """Longest time for an attempt to connect."""
    retry: float = 0.2
    """Longest pause before the next attempt."""
    first_part: float = 1.0
    """Part of both at the first attempt; it doubles with each that fails."""


ROUTING_TIMING = LinkTiming(
    beat=0.5, silent=2.0, suspicious=1.2, connect=1.0, retry=0.25, first_part=0.25
)
"""Between gateways and registries: with hundreds of gateways, half the heartbeats.
Failure: all VMs get their power back within half a second. The first packet to one that
had none is lost, and sent again by the kernel after a second, while callers wait."""


@dataclass(frozen=True, slots=True)
class LinkHandlers:
    """What a node does with what arrives."""

    take_call: Callable[[str, Any], Deferred[Message]]
    """Sender and body to the reply."""
    take_cast: Callable[[str, Any], None]
    body_type: Any
    """Union of message types that this node understands."""


@dataclass(slots=True)
class LinkNode:
    """What all links of one process share."""

    name: str
    reactor: Any
    handlers: LinkHandlers
    timing: LinkTiming
    accepted: set[LinkProtocol] = field(default_factory=set)
    read_names: Callable[[Any], frozenset[str]] | None = None
    """Names that the other end of a transport has proven; none with plain text."""
    on_greeted: Callable[[LinkProtocol], None] = lambda _: None
    """Told of each connection, in either direction, once the other end is known."""


@implementer(IPushProducer)
class LinkProtocol(Protocol):
    """One connection: frames in, frames out, silence watched."""

    def __init__(self, node: LinkNode) -> None:
        self.node = node
        self.remote = ""
        self.closed: Deferred[None] = Deferred()
        self._unpacker = msgpack.Unpacker(max_buffer_size=MAX_FRAME)
        self._pending: dict[int, Deferred[Any]] = {}
        self._answering = 0
        self._finishing = False
        self._finished = False
        self._number = 0
        self._paused = False
        self._heard_at = 0.0
        self._sent_at = 0.0
        self._timer: Any = None
        self._greeted = False
        self._greeting: Deferred[Any] | None = None

    def connectionMade(self) -> None:  # noqa: N802
        """Greet the other end and begin to watch for silence."""
        transport = cast("ITCPTransport", self.transport)
        transport.setTcpNoDelay(True)
        cast("IConsumer", self.transport).registerProducer(self, True)
        self._heard_at = self._seconds()
        self.send_frame(Hello(node=self.node.name, protocol=PROTOCOL_VERSION))
        self._watch()

    def dataReceived(self, data: bytes) -> None:  # noqa: N802
        """Take whatever frames are complete; a malformed one ends the connection."""
        self._heard_at = self._seconds()
        try:
            self._unpacker.feed(data)
            for item in self._unpacker:
                self._take_frame(msgspec.convert(item, type=Frame))
        except (msgspec.ValidationError, ValueError, msgpack.UnpackException) as error:
            logger.warning("link: Dropped {}: bad frame, {}.", self.remote, error)
            self.abort()

    def connectionLost(self, reason: Failure = connectionDone) -> None:  # noqa: N802
        """Fail what was under way: each call may have run at the other end."""
        if self._timer is not None and self._timer.active():
            self._timer.cancel()

        pending, self._pending = self._pending, {}
        for waiting in pending.values():
            waiting.errback(LinkLostError(f"lost the link to {self.remote or '?'}"))

        self._end_greeting(LinkDownError(f"{self.remote or '?'} did not greet"))
        if not self.closed.called:
            self.closed.callback(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Note that the other end reads slowly."""
        self._paused = True

    def resumeProducing(self) -> None:  # noqa: N802
        """Note that the other end has caught up."""
        self._paused = False

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: ``connectionLost`` follows."""

    def send_frame(self, frame: Frame) -> None:
        """Write one frame, unless the last one was sent."""
        if self.transport is None or self._finished:
            return

        self._sent_at = self._seconds()
        self.transport.write(msgspec.msgpack.encode(frame))

    def call(self, body: Message, *, timeout: float) -> Deferred[Any]:
        """Send a call; the result is the reply's body.

        Errors: ``LinkDownError`` if it was not sent, ``LinkLostError`` if no reply
        came within ``timeout`` seconds or the connection went away.
        """
        answer: Deferred[Any] = Deferred()
        # A reader that lags would make our memory grow without bound.
        if self._paused:
            answer.errback(LinkDownError(f"{self.remote} reads too slowly"))
            return answer

        if self._finishing:
            answer.errback(LinkDownError(f"the link to {self.remote} is closing"))
            return answer

        self._number += 1
        number = self._number
        self._pending[number] = answer
        self.send_frame(Call(number=number, body=body))
        timer = self.node.reactor.callLater(timeout, self._expire, number)

        def stop_timer(result: Any) -> Any:
            if timer.active():
                timer.cancel()

            return result

        answer.addBoth(stop_timer)
        return answer

    def cast(self, body: Message) -> bool:
        """Send a message without an answer.

        False, and dropped, if the reader lags or the connection is closing.
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
    def answering(self) -> int:
        """Calls of the other end that have no answer yet."""
        return self._answering

    def finish(self) -> None:
        """End the connection once its calls are answered and its bytes have left.

        Failure: a process stops just after it has answered. With the connection
        aborted, the answer is lost in the buffer: an order was carried out and its
        sender is told that nobody knows, or a leave was acknowledged that no gateway
        hears of. A peer that is gone can't hold this up: its silence ends it.
        """
        self._finishing = True
        self._end_if_settled()

    def _end_if_settled(self) -> None:
        settled = not self._pending and not self._answering
        if not self._finishing or self._finished or not settled:
            return

        if self.transport is None:
            return

        self._finished = True
        # A paused producer would keep the transport from closing.
        cast("IConsumer", self.transport).unregisterProducer()
        if INegotiated.providedBy(self.transport):
            self.transport.loseConnection()
            return

        # The other end closes once it has read everything. Were we to close with its
        # heartbeats unread, the kernel would reset the connection, and bytes that
        # must be sent again would be lost.
        cast("ITCPTransport", self.transport).loseWriteConnection()

    def wait_greeted(self) -> Deferred[Any]:
        """Return this protocol once the other end has greeted.

        Errors: ``LinkDownError`` if the connection ends before. Cancelling ends it.
        """
        greeting: Deferred[Any] = Deferred(lambda _: self.abort())
        self._greeting = greeting
        if self._greeted:
            self._end_greeting(self)
        elif self.closed.called:
            self._end_greeting(LinkDownError("lost before it greeted"))

        return greeting

    def _end_greeting(self, result: Any) -> None:
        greeting, self._greeting = self._greeting, None
        if greeting is None or greeting.called:
            return

        if isinstance(result, Exception):
            greeting.errback(result)
        else:
            greeting.callback(result)

    def _take_frame(self, frame: Frame) -> None:
        if isinstance(frame, Hello):
            self._take_hello(frame)
        elif self.node.read_names is not None and not self._greeted:
            # Else a node could call under no name, or under one that is not its own:
            # frames behind a refused greeting are still in the buffer.
            self.abort()
        elif isinstance(frame, Call):
            self._take_call(frame)
        elif isinstance(frame, Reply):
            self._take_reply(frame)
        elif isinstance(frame, Cast):
            self.node.handlers.take_cast(self.remote, self._read_body(frame.body))

    def _take_hello(self, hello: Hello) -> None:
        self._greeted = False
        read_names = self.node.read_names
        if read_names is not None and hello.node not in read_names(self.transport):
            logger.warning("link: Refused a peer: not {}.", hello.node)
            self.abort()
            return

        self.remote = hello.node
        if hello.protocol != PROTOCOL_VERSION:
            logger.warning(
                "link: {} speaks protocol {}, not {}.",
                hello.node,
                hello.protocol,
                PROTOCOL_VERSION,
            )
            self.abort()
            return

        self._greeted = True
        self._end_greeting(self)
        self.node.on_greeted(self)

    def _take_call(self, call: Call) -> None:
        if self._finished:
            # It could not be answered, so it must not run either.
            return

        answer = self.node.handlers.take_call(self.remote, self._read_body(call.body))

        def send_reply(body: Message) -> None:
            self.send_frame(Reply(number=call.number, body=body))

        def report(failure: Failure) -> None:
            logger.error("link: A call failed: {}.", failure.getErrorMessage())

        def settle(_: object) -> None:
            self._answering -= 1
            self._end_if_settled()

        self._answering += 1
        answer.addCallback(send_reply).addErrback(report).addBoth(settle)

    def _take_reply(self, reply: Reply) -> None:
        waiting = self._pending.pop(reply.number, None)
        if waiting is not None:
            waiting.callback(self._read_body(reply.body))
            self._end_if_settled()

    def _read_body(self, body: Any) -> Any:
        return msgspec.convert(
            body, type=self.node.handlers.body_type, builtin_types=(bytes,)
        )

    def _expire(self, number: int) -> None:
        waiting = self._pending.pop(number, None)
        if waiting is None:
            return

        waiting.errback(LinkLostError(f"{self.remote} did not answer in time"))
        self._end_if_settled()
        # Not even heartbeats came meanwhile: no use in waiting for the full silence
        # while a caller waits for the next try.
        self.replace_silent()

    def replace_silent(self) -> None:
        """End the connection if it has been silent for suspiciously long."""
        if self._seconds() - self._heard_at > self.node.timing.suspicious:
            logger.warning("link: Replaced the silent link to {}.", self.remote or "?")
            self.abort()

    def _watch(self) -> None:
        now = self._seconds()
        timing = self.node.timing
        if now - self._heard_at > timing.silent:
            logger.warning("link: Replaced the silent link to {}.", self.remote or "?")
            self.abort()
            return

        if now - self._sent_at >= timing.beat:
            self.send_frame(Beat())

        self._timer = self.node.reactor.callLater(timing.beat, self._watch)

    def _seconds(self) -> float:
        return float(self.node.reactor.seconds())


class LinkFactory(Factory):
    """Builds a protocol for each accepted connection."""

    noisy = False

    def __init__(self, node: LinkNode) -> None:
        self.node = node

    def buildProtocol(self, addr: object) -> LinkProtocol:  # noqa: N802
        """Return a protocol that is remembered until it closes."""
        protocol = LinkProtocol(self.node)
        self.node.accepted.add(protocol)
        protocol.closed.addCallback(lambda _: self.node.accepted.discard(protocol))
        return protocol


@dataclass(slots=True)
class Link:
    """A connection to one other node that is made again whenever it is lost."""

    node: LinkNode
    name: str
    connect: Callable[[Factory], Deferred[Any]]
    protocol: LinkProtocol | None = None
    stopped: bool = False
    on_up: Callable[[], None] = lambda: None
    failures: int = 0
    """Attempts to connect in a row that failed."""


class _ConnectingFactory(Factory):
    noisy = False

    def __init__(self, node: LinkNode) -> None:
        self.node = node

    def buildProtocol(self, addr: object) -> LinkProtocol:  # noqa: N802
        return LinkProtocol(self.node)


def open_link(
    node: LinkNode, name: str, connect: Callable[[Factory], Deferred[Any]]
) -> Link:
    """Return a link to ``name`` and start to connect it."""
    link = Link(node=node, name=name, connect=connect)
    _connect_link(link)
    return link


def close_link(link: Link) -> None:
    """End a link for good, once its calls are answered and its bytes have left."""
    link.stopped = True
    if link.protocol is not None:
        link.protocol.finish()


def finish_links(node: LinkNode, links: Iterable[Link]) -> None:
    """End all connections of a process, each once its last byte has left."""
    for link in links:
        close_link(link)

    for accepted in list(node.accepted):
        accepted.finish()


def list_protocols(node: LinkNode, links: Iterable[Link]) -> list[LinkProtocol]:
    """Return the connections that there are, in either direction."""
    opened = [link.protocol for link in links if link.protocol is not None]
    return [*opened, *node.accepted]


def is_link_up(link: Link) -> bool:
    """Tell whether there is a connection at this moment."""
    return link.protocol is not None


def call_link(link: Link, body: Message, *, timeout: float) -> Deferred[Any]:
    """Call over the link; fails at once with ``LinkDownError`` if it is down."""
    if link.protocol is None:
        answer: Deferred[Any] = Deferred()
        answer.errback(LinkDownError(f"no link to {link.name}"))
        return answer

    return link.protocol.call(body, timeout=timeout)


def replace_silent_link(link: Link) -> None:
    """Make a link's connection anew if it is suspiciously silent."""
    if link.protocol is not None:
        link.protocol.replace_silent()


def cast_link(link: Link, body: Message) -> bool:
    """Send without an answer; false if the link is down or its reader lags."""
    return link.protocol is not None and link.protocol.cast(body)


def _connect_link(link: Link) -> None:
    if link.stopped:
        return

    timing = link.node.timing
    attempt = link.connect(_ConnectingFactory(link.node))
    attempt.addTimeout(
        timing.connect * find_part(timing, link.failures),
        cast("IReactorTime", link.node.reactor),
    )

    def hold(protocol: LinkProtocol) -> None:
        if link.stopped:
            protocol.abort()
            return

        link.protocol = protocol
        link.failures = 0
        protocol.remote = protocol.remote or link.name
        protocol.closed.addCallback(lambda _: lose())
        link.on_up()

    def lose() -> None:
        link.protocol = None
        retry()

    def fail(_: object) -> None:
        retry()
        link.failures += 1

    def retry() -> None:
        if not link.stopped:
            pause = timing.retry * find_part(timing, link.failures)
            link.node.reactor.callLater(pause, _connect_link, link)

    attempt.addCallbacks(hold, fail)


def find_part(timing: LinkTiming, failures: int) -> float:
    """Return the part of a link's times that holds after so many failed attempts."""
    doublings = min(failures, MAX_DOUBLINGS)
    return min(timing.first_part * 2.0**doublings, 1.0)
