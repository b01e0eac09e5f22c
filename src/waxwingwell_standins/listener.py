"""HTTP listeners of the stand-ins, which stop without leaving anything open."""

from __future__ import annotations

from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any
from typing import TypeAlias
from typing import cast

import msgspec
from twisted.internet.defer import Deferred
from twisted.internet.defer import DeferredList
from twisted.internet.defer import maybeDeferred
from twisted.web.server import Site


if TYPE_CHECKING:
    from klein import Klein
    from twisted.python.failure import Failure


Request: TypeAlias = Any
"""A request of twisted.web, whose methods carry no types."""

Reactor: TypeAlias = Any
"""The reactor, whose interfaces carry no types that a checker can use."""

Resource: TypeAlias = Any
"""A resource of twisted.web."""

LOOPBACK = "127.0.0.1"
JSON_TYPE = b"application/json"
OUTCOME_HEADER = b"X-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"


def get_reactor() -> Reactor:
    """Return the process's reactor; imported late so that no import installs it."""
    from twisted.internet import reactor

    return reactor


class QuietSite(Site):
    """A site that writes no access log and knows its open connections."""

    noisy = False

    def __init__(self, resource: Resource) -> None:
        """Serve ``resource``."""
        super().__init__(resource)  # type: ignore[no-untyped-call]
        self.open_transports: dict[Any, Deferred[None]] = {}

    def log(self, request: Request) -> None:
        """Write nothing: a log line costs more than the request here."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Build a channel and remember its transport until it is lost."""
        channel: Any = super().buildProtocol(addr)  # type: ignore[no-untyped-call]
        lost: Deferred[None] = Deferred()
        connect, lose = channel.makeConnection, channel.connectionLost

        def remember(transport: Any) -> None:
            self.open_transports[transport] = lost
            connect(transport)
            channel.transport = transport

        def forget(reason: Failure) -> None:
            lose(reason)
            self.open_transports.pop(channel.transport, None)
            lost.callback(None)

        channel.makeConnection = remember
        channel.connectionLost = forget
        return channel


@dataclass(slots=True)
class Listener:
    """A listening HTTP port and the site behind it."""

    site: QuietSite
    listening: Any
    host: str
    port: int
    stopped: bool = field(default=False)

    @property
    def url(self) -> str:
        """Base address without a slash at its end."""
        return f"http://{self.host}:{self.port}"


def listen(app: Klein, *, port: int = 0, host: str = LOOPBACK) -> Listener:
    """Serve a klein application; port 0 takes a free one."""
    site = QuietSite(app.resource())
    listening = get_reactor().listenTCP(port, site, interface=host)
    return Listener(site, listening, host, listening.getHost().port)


def close_listener(listener: Listener) -> Deferred[None]:
    """Stop listening and abort what is open; fires once nothing is left."""
    if listener.stopped:
        return maybeDeferred(lambda: None)

    listener.stopped = True
    waits: list[Deferred[Any]] = [maybeDeferred(listener.listening.stopListening)]
    for transport, lost in list(listener.site.open_transports.items()):
        waits.append(lost)
        transport.abortConnection()

    return DeferredList(waits, consumeErrors=True).addCallback(lambda _: None)


def abort_request(request: Request) -> None:
    """Cut the connection of a request without another byte."""
    channel = request.channel
    if channel is not None:
        channel.forceAbortClient()


def reply_json(request: Request, body: object, *, status: int = 200) -> bytes:
    """Set status and type of an answer and return its JSON body."""
    request.setResponseCode(status)
    request.setHeader(b"Content-Type", JSON_TYPE)
    return msgspec.json.encode(body)


def reply_error(
    request: Request,
    *,
    status: int,
    code: str,
    message: str,
    retry_after: float | None = None,
    not_run: bool = False,
) -> bytes:
    """Return an error in the shape of the OpenAI API.

    ``not_run`` marks a refusal after which nothing was done.
    """
    if not_run:
        request.setHeader(OUTCOME_HEADER, b"not_run")

    if retry_after is not None:
        request.setHeader(b"Retry-After", f"{retry_after:g}".encode())

    error = {"message": message, "type": "standin_error", "code": code}
    return reply_json(request, {"error": error}, status=status)


def get_header(request: Request, name: str, default: str = "") -> str:
    """Return a request header as text."""
    value = request.requestHeaders.getRawHeaders(name)
    return str(value[0]) if value else default


def read_body(request: Request) -> bytes:
    """Return the whole request body."""
    return cast("bytes", request.content.read())
