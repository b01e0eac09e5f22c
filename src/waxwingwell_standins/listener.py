"""HTTP listeners of the stand-ins, which close all their connections on stop."""

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
"""A twisted.web request, whose methods are untyped."""

Reactor: TypeAlias = Any
"""The reactor, whose interfaces have no types that a type checker can use."""

Resource: TypeAlias = Any
"""A twisted.web resource."""

LOOPBACK = "127.0.0.1"
JSON_TYPE = b"application/json"
OUTCOME_HEADER = b"X-Outcome"
REQUEST_ID_HEADER = "X-Request-Id"


def get_reactor() -> Reactor:
    """Return the reactor, imported here so that importing a module installs none."""
    from twisted.internet import reactor

    return reactor


class TrackingSite(Site):
    """A site without an access log that tracks its open connections."""

    noisy = False

    def __init__(self, resource: Resource) -> None:
        """Serve ``resource``."""
        super().__init__(resource)  # type: ignore[no-untyped-call]
        self.open_transports: dict[Any, Deferred[None]] = {}

    def log(self, request: Request) -> None:
        """Write nothing: an access log line costs more than the request itself."""

    def buildProtocol(self, addr: Any) -> Any:  # noqa: N802
        """Build a channel and track its transport until the connection is lost."""
        channel: Any = super().buildProtocol(addr)  # type: ignore[no-untyped-call]
        closed: Deferred[None] = Deferred()
        make_connection, lose_connection = (
            channel.makeConnection,
            channel.connectionLost,
        )

        def track(transport: Any) -> None:
            self.open_transports[transport] = closed
            make_connection(transport)
            channel.transport = transport

        def untrack(reason: Failure) -> None:
            lose_connection(reason)
            self.open_transports.pop(channel.transport, None)
            closed.callback(None)

        channel.makeConnection = track
        channel.connectionLost = untrack
        return channel


@dataclass(slots=True)
class Listener:
    """A listening HTTP port and the site that it serves."""

    site: TrackingSite
    listening: Any
    host: str
    port: int
    stopped: bool = field(default=False)

    @property
    def url(self) -> str:
        """Base URL without a trailing slash."""
        return f"http://{self.host}:{self.port}"


def listen(app: Klein, *, port: int = 0, host: str = LOOPBACK) -> Listener:
    """Serve a klein application; port 0 selects a free port."""
    site = TrackingSite(app.resource())
    listening = get_reactor().listenTCP(port, site, interface=host)
    return Listener(site, listening, host, listening.getHost().port)


def close_listener(listener: Listener) -> Deferred[None]:
    """Stop listening and abort open connections; fires once all are closed."""
    if listener.stopped:
        return maybeDeferred(lambda: None)

    listener.stopped = True
    pending: list[Deferred[Any]] = [maybeDeferred(listener.listening.stopListening)]
    for transport, closed in list(listener.site.open_transports.items()):
        pending.append(closed)
        transport.abortConnection()

    return DeferredList(pending, consumeErrors=True).addCallback(lambda _: None)


def abort_request(request: Request) -> None:
    """Abort the connection of a request without sending anything more."""
    channel = request.channel
    if channel is not None:
        channel.forceAbortClient()


def reply_json(request: Request, body: object, *, status: int = 200) -> bytes:
    """Set the status and content type of a response and return its JSON body."""
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
    """Return an error in the format of the OpenAI API.

    ``not_run`` marks a request that was refused before anything ran.
    """
    if not_run:
        request.setHeader(OUTCOME_HEADER, b"not_run")

    if retry_after is not None:
        request.setHeader(b"Retry-After", f"{retry_after:g}".encode())

    error = {"message": message, "type": "standin_error", "code": code}
    return reply_json(request, {"error": error}, status=status)


def get_header(request: Request, name: str, default: str = "") -> str:
    """Return the first value of a request header, or ``default``."""
    value = request.requestHeaders.getRawHeaders(name)
    return str(value[0]) if value else default


def read_body(request: Request) -> bytes:
    """Return the complete request body."""
    return cast("bytes", request.content.read())
