"""A gateway whose callers and upstreams are connected by in-memory transports."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from typing import Any

from loguru import logger
from twisted.internet.error import ConnectionDone
from twisted.internet.error import ConnectionLost
from twisted.internet.error import ConnectionRefusedError as Refused
from twisted.internet.error import TimeoutError as ConnectTimeout
from twisted.internet.testing import MemoryReactorClock
from twisted.internet.testing import StringTransportWithDisconnection
from twisted.python.failure import Failure

from tests.routing.factories import make_announcement
from tests.routing.factories import make_document
from tests.routing.factories import make_route
from waxwingwell.adapters.gateway.arrivals import handle_request
from waxwingwell.adapters.gateway.context import GatewayContext
from waxwingwell.adapters.gateway.dialect import Dialect
from waxwingwell.adapters.gateway.dialect import Dispatch
from waxwingwell.adapters.gateway.dialect import RelayedRequest
from waxwingwell.adapters.gateway.dialect import RequestFacts
from waxwingwell.adapters.gateway.dialect import ResponseFacts
from waxwingwell.adapters.gateway.settings import GatewaySettings
from waxwingwell.adapters.http.connection import HttpConnection
from waxwingwell.adapters.http.records import HeaderList
from waxwingwell.adapters.http.records import HttpLimits
from waxwingwell.adapters.http.server import HttpService
from waxwingwell.routing.fleet import apply_announcement
from waxwingwell.routing.lookup import index_document


def read_request(headers: HeaderList) -> RequestFacts:
    """Decode the request headers of these tests."""
    found = {name.lower(): value.decode() for name, value in headers}
    budget = found.get(b"x-budget")
    return RequestFacts(
        request_id=found.get(b"x-id", ""),
        budget=None if budget is None else float(budget),
        key=found.get(b"x-key"),
        model=found.get(b"x-model", ""),
        prompt_tokens=int(found.get(b"x-tokens", "0")),
        prompt_blocks=read_blocks(found.get(b"x-blocks", "")),
        resume_after=found.get(b"x-after", ""),
    )


def read_blocks(text: str) -> tuple[tuple[str, int], ...]:
    """Decode the ids of prompt blocks, of a hundred tokens each."""
    return tuple((name, 100) for name in text.split(",") if name)


def write_request(headers: HeaderList, dispatch: Dispatch) -> HeaderList:
    """Return the headers of a request to an upstream."""
    kept = [pair for pair in headers if pair[0].lower() != b"x-after"]
    kept.append((b"X-Upstream", dispatch.upstream.encode()))
    kept.append((b"X-After", dispatch.resume_after.encode()))
    kept.append((b"X-Use-Model", dispatch.model.encode()))
    if dispatch.remaining is not None:
        kept.append((b"X-Remaining", str(dispatch.remaining).encode()))

    return kept


def read_response(status: int, headers: HeaderList) -> ResponseFacts:
    """Decode the head of an upstream's response."""
    found = {name.lower(): value.decode() for name, value in headers}
    confidence = found.get(b"x-confidence")
    rate_limit = found.get(b"x-limit")
    rejection_limit = found.get(b"x-brittle")
    rest = found.get(b"x-rest")
    return ResponseFacts(
        not_run=b"x-not-run" in found,
        signed=b"x-signed" in found,
        request_id=found.get(b"x-id"),
        confidence=None if confidence is None else float(confidence),
        rate_limit=None if rate_limit is None else float(rate_limit),
        rejection_limit=None if rejection_limit is None else float(rejection_limit),
        rest=None if rest is None else float(rest),
        leaving=b"x-leaving" in found,
    )


def write_relayed(headers: HeaderList, relayed: RelayedRequest) -> HeaderList:
    """Return the headers of a request to another gateway."""
    dropped = {b"x-after", b"x-budget"} | ({b"x-model"} if relayed.model else set())
    kept = [pair for pair in headers if pair[0].lower() not in dropped]
    kept.append((b"X-Budget", str(relayed.remaining).encode()))
    kept.append((b"X-After", relayed.resume_after.encode()))
    if relayed.model:
        kept.append((b"X-Model", relayed.model.encode()))

    return kept


VARYING_HEADERS = frozenset({b"x-id", b"x-budget", b"x-after", b"x-model"})
DIALECT = Dialect(
    read_request, write_request, read_response, VARYING_HEADERS, write_relayed
)


class Transport(StringTransportWithDisconnection):
    """A transport with a write buffer that records whether it was aborted.

    While ``held`` is true, as for a caller that does not read, written bytes stay in
    the buffer.
    """

    aborted = False
    half_closed = False
    held = False
    keeps_sending = False
    """Whether the peer continues to send after this end was half-closed."""
    waiting = b""

    def write(self, data: bytes) -> None:
        """Send data, or buffer it while ``held``."""
        self.waiting += data
        if not self.held:
            self.flush()

    def flush(self) -> None:
        """Send buffered bytes, then resume the producer or close, as Twisted does."""
        parent: Any = super()
        data, self.waiting = self.waiting, b""
        parent.write(data)
        if self.producer is not None:
            self.producer.resumeProducing()
        elif self.disconnecting:
            parent.loseConnection()

    def release(self) -> None:
        """Let the peer read all buffered bytes."""
        self.held = False
        self.flush()

    def loseConnection(self) -> None:  # noqa: N802
        """Close once the buffer is empty."""
        parent: Any = super()
        self.disconnecting = True
        if not self.waiting:
            parent.loseConnection()

    def loseWriteConnection(self) -> None:  # noqa: N802
        """Half-close the connection."""
        self.half_closed = True
        if not self.keeps_sending:
            self.loseConnection()

    def setTcpNoDelay(self, enabled: bool) -> None:  # noqa: N802
        """Do nothing."""

    def abortConnection(self) -> None:  # noqa: N802
        """Abort the connection at once."""
        self.aborted = True
        if self.connected:
            self.connected = False
            self.protocol.connectionLost(Failure(ConnectionLost()))


def make_transport() -> Any:
    """Return an untyped transport, as Twisted's test transports have no types."""
    maker: Any = Transport
    return maker()


@dataclass(slots=True)
class Upstream:
    """One connection from the gateway to an upstream."""

    factory: Any
    host: str
    port: int
    timeout: float
    protocol: Any = None
    transport: Any = None

    def accept(self) -> bytes:
        """Accept the connection and return the bytes that the gateway sent."""
        self.protocol = self.factory.buildProtocol(None)
        self.transport = make_transport()
        self.transport.protocol = self.protocol
        self.protocol.makeConnection(self.transport)
        return bytes(self.transport.value())

    def refuse(self) -> None:
        """Refuse the connection."""
        self.factory.clientConnectionFailed(None, Failure(Refused()))

    def expire(self) -> None:
        """Leave the connection without an answer until its time-out."""
        self.factory.clientConnectionFailed(None, Failure(ConnectTimeout()))

    def respond(self, data: bytes) -> None:
        """Send response bytes to the gateway."""
        self.protocol.dataReceived(data)

    def close(self) -> None:
        """Close the connection cleanly."""
        self.transport.connected = False
        self.protocol.connectionLost(Failure(ConnectionDone()))

    def reset(self) -> None:
        """Reset the connection."""
        self.transport.connected = False
        self.protocol.connectionLost(Failure(ConnectionLost()))


@dataclass(slots=True)
class Caller:
    """One caller's connection to the gateway."""

    connection: HttpConnection
    transport: Any

    def send(self, data: bytes) -> None:
        """Send bytes to the gateway."""
        self.connection.dataReceived(data)

    def leave(self) -> None:
        """Close the connection."""
        self.transport.connected = False
        self.connection.connectionLost(Failure(ConnectionDone()))

    @property
    def received(self) -> bytes:
        """Bytes received so far."""
        return bytes(self.transport.value())

    @property
    def status(self) -> int:
        """Status of the response, or 0 before it arrives."""
        parts = self.received.split(b" ", 2)
        return int(parts[1]) if len(parts) > 1 else 0


@dataclass(slots=True)
class Gateway:
    """A gateway with a document and some upstreams on a simulated clock."""

    reactor: Any = field(default_factory=MemoryReactorClock)
    context: Any = None
    service: Any = None
    headers: dict[str, str] = field(default_factory=dict)
    """Headers of all requests."""
    on_asked: Callable[[], None] = lambda: None
    """Called after each request."""

    def open_caller(self) -> Caller:
        """Connect a caller."""
        connection: Any = HttpConnection(self.service)
        transport = make_transport()
        transport.protocol = connection
        connection.makeConnection(transport)
        return Caller(connection, transport)

    def ask(self, **headers: str) -> Caller:
        """Send a request from a new caller."""
        known = {"Host": "a.example", "X-Id": "q1", "X-Key": "k1", "X-Budget": "10"}
        given = {name.replace("_", "-"): value for name, value in headers.items()}
        headers = {**known, **self.headers, **given}
        lines = [f"{name}: {value}" for name, value in headers.items()]
        head = "\r\n".join(["POST /chat/x HTTP/1.1", *lines, "Content-Length: 2"])
        caller = self.open_caller()
        caller.send(head.encode() + b"\r\n\r\nhi")
        self.on_asked()
        return caller

    @property
    def calls(self) -> list[Upstream]:
        """Connections that the gateway opened for requests, in order."""
        return [one for one in self.upstreams if is_call(one)]

    @property
    def checks(self) -> list[Upstream]:
        """Connections that the gateway opened to check upstreams, in order."""
        return [one for one in self.upstreams if not is_call(one)]

    @property
    def upstreams(self) -> list[Upstream]:
        """Connections that the gateway opened, in order."""
        return [
            Upstream(factory, host, port, timeout)
            for host, port, factory, timeout, _ in self.reactor.tcpClients
        ]


def is_call(upstream: Upstream) -> bool:
    """Return whether a connection is for a request, not for a check."""
    return type(upstream.factory).__name__ == "_CallFactory"


def make_settings(**fields: Any) -> GatewaySettings:
    """Return the settings of a gateway without controls."""
    return GatewaySettings(
        node="g1",
        address="127.0.0.1",
        data_centre="north",
        callers=("127.0.0.1", 0),
        readiness=("127.0.0.1", 0),
        link_port=0,
        controls=(),
        **fields,
    )


def make_gateway(*names: str, **route: Any) -> Gateway:
    """Return a gateway with one route and upstreams of the given names."""
    gateway = Gateway()
    gateway.context = GatewayContext(
        settings=make_settings(),
        reactor=gateway.reactor,
        clock=gateway.reactor.seconds,
        random=random.Random(1),
        dialect=DIALECT,
    )
    document = make_document(routes=(make_route(**route),))
    gateway.context.index = index_document(document)
    for name in names or ("u1", "u2", "u3"):
        apply_announcement(gateway.context.fleet, make_announcement(name), 0.0)

    gateway.service = HttpService(
        reactor=gateway.reactor,
        handle=lambda request, responder: handle_request(
            gateway.context, request, responder
        ),
        limits=HttpLimits,
        held=gateway.context.held,
        turns=gateway.context.turns,
    )
    return gateway


def make_response(
    body: bytes = b"fine", status: int = 200, *extra: str, signed: bool = True
) -> bytes:
    """Return a complete response of an upstream."""
    lines = [f"HTTP/1.1 {status} X", "X-Id: q1", f"Content-Length: {len(body)}"]
    if signed:
        lines.append("X-Signed: 1")

    return "\r\n".join([*lines, *extra]).encode() + b"\r\n\r\n" + body


def make_stream_head(*extra: str) -> bytes:
    """Return the head of a chunked stream."""
    lines = ["HTTP/1.1 200 OK", "X-Id: q1", "X-Signed: 1", "Transfer-Encoding: chunked"]
    return "\r\n".join([*lines, *extra]).encode() + b"\r\n\r\n"


def make_chunk(data: bytes) -> bytes:
    """Return one chunk of a chunked body."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"


def capture_log(action: Callable[[], None]) -> list[Any]:
    """Return the log records that an action produces."""
    found: list[Any] = []
    sink = logger.add(lambda text: found.append(text.record))
    logger.enable("waxwingwell.adapters.events")
    try:
        action()
    finally:
        logger.disable("waxwingwell.adapters.events")
        logger.remove(sink)

    return found


LAST_CHUNK = b"0\r\n\r\n"
