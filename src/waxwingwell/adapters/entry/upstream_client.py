"""HTTP calls to upstreams; failures state whether the request may have run."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING
from typing import Any

from twisted.internet.defer import Deferred
from twisted.internet.defer import succeed
from twisted.internet.error import ConnectError
from twisted.internet.error import ConnectingCancelledError
from twisted.internet.error import TimeoutError as ConnectTimeoutError
from twisted.internet.protocol import Protocol
from twisted.web._newclient import RequestNotSent
from twisted.web.client import Agent
from twisted.web.client import HTTPConnectionPool
from twisted.web.http_headers import Headers
from twisted.web.iweb import IBodyProducer
from zope.interface import implementer

from ..http.records import STATUSES


if TYPE_CHECKING:
    from ...decisions.tables import UpstreamRow
    from ...decisions.tables import Work
    from .context import EntryContext


CONNECT_TIMEOUT = 1.0
"""Seconds; round trips between data centres take milliseconds."""
MAX_IDLE_PER_HOST = 64
"""Idle connections kept open to one upstream."""
IDLE_TIMEOUT = 20
"""Seconds; shorter than the idle timeout of common servers."""
NOT_RUN_STATUSES = frozenset({429, 503})
"""Statuses of refusals before the run, if ``OUTCOME_HEADER`` is ``not_run``."""
OUTCOME_HEADER = "x-outcome"


class AttemptError(Exception):
    """An attempt at an upstream failed."""

    def __init__(self, reason: str, *, may_have_run: bool) -> None:
        super().__init__(reason)
        self.may_have_run = may_have_run


@implementer(IBodyProducer)
class BytesProducer:
    """A request body that is held in memory."""

    def __init__(self, body: bytes) -> None:
        self.body = body
        self.length = len(body)

    def startProducing(self, consumer: Any) -> Deferred[None]:  # noqa: N802
        """Write the whole body at once."""
        consumer.write(self.body)
        return succeed(None)

    def pauseProducing(self) -> None:  # noqa: N802
        """Do nothing: everything has been written."""

    def resumeProducing(self) -> None:  # noqa: N802
        """Do nothing: everything has been written."""

    def stopProducing(self) -> None:  # noqa: N802
        """Do nothing: everything has been written."""


@dataclass(frozen=True, slots=True)
class UpstreamClient:
    """Two HTTP agents, with and without a connection pool, both without retries.

    By default the HTTP client retries a request by itself when a pooled connection
    proves to be dead. That could run an order twice, so it is disabled. Orders use a
    new connection each time: on a reused one, a close by the peer can't be
    distinguished from a loss after the order was read.
    """

    pooled: Any
    unpooled: Any
    close: Any


@dataclass(frozen=True, slots=True)
class UpstreamCall:
    """One call to one upstream."""

    method: str
    path: str
    request: str
    priority: str
    body: bytes = b""
    content_type: str = "application/json"
    traceparent: str | None = None
    key: str = ""
    repeatable: bool = True
    fencing: int = 0
    """Fencing number of an order; with 0 no header is sent."""


def open_upstream_client(reactor: Any) -> UpstreamClient:
    """Return a client whose agents never retry a request by themselves."""
    pool = HTTPConnectionPool(reactor, persistent=True)
    pool.maxPersistentPerHost = MAX_IDLE_PER_HOST
    pool.cachedConnectionTimeout = IDLE_TIMEOUT
    pool.retryAutomatically = False
    unpooled_pool = HTTPConnectionPool(reactor, persistent=False)
    unpooled_pool.retryAutomatically = False
    return UpstreamClient(
        pooled=Agent(reactor, connectTimeout=CONNECT_TIMEOUT, pool=pool),
        unpooled=Agent(reactor, connectTimeout=CONNECT_TIMEOUT, pool=unpooled_pool),
        close=pool.closeCachedConnections,
    )


def make_call(
    work: Work, *, path: str, body: bytes, traceparent: str | None
) -> UpstreamCall:
    """Return the call that runs a chat on an engine."""
    return UpstreamCall(
        method="POST",
        path=path,
        request=work.request,
        priority=work.priority.value,
        body=body,
        traceparent=traceparent,
    )


async def send_call(
    context: EntryContext, row: UpstreamRow, call: UpstreamCall, *, limit: float
) -> Any:
    """Send a call and return the response once its headers have arrived.

    ``limit`` is the time in seconds up to the headers. Errors: ``AttemptError``;
    ``may_have_run`` is false only if the upstream provably did no work: no connection
    was made, or its response states so.
    """
    client = context.client
    agent = client.pooled if call.repeatable else client.unpooled
    url = f"http://{row.announcement.host}:{row.announcement.port}{call.path}"
    # The agent is used without treq, which parses and encodes each URL anew: that took
    # a third of a request's total processor time (docs/design/streams.md).
    producer = BytesProducer(call.body) if call.body else None
    pending = agent.request(
        call.method.encode(), url.encode(), _make_headers(call), producer
    )
    pending.addTimeout(limit, context.reactor)
    try:
        response = await pending
    except (
        ConnectError,
        ConnectTimeoutError,
        ConnectingCancelledError,
        RequestNotSent,
    ) as error:
        raise AttemptError(str(error), may_have_run=False) from error
    except Exception as error:
        raise AttemptError(repr(error), may_have_run=True) from error

    if response.code not in STATUSES:
        discard_response(response)
        raise AttemptError(f"status {response.code}", may_have_run=True)

    if response.code in NOT_RUN_STATUSES and _reports_not_run(response):
        discard_response(response)
        raise AttemptError(f"refused with {response.code}", may_have_run=False)

    return response


class _DiscardingProtocol(Protocol):
    def connectionMade(self) -> None:  # noqa: N802
        if self.transport is not None:
            self.transport.loseConnection()


def discard_response(response: Any) -> None:
    """Discard a response and close its connection."""
    response.deliverBody(_DiscardingProtocol())


def read_header(response: Any, name: str) -> str:
    """Return a response header, or an empty string."""
    values = response.headers.getRawHeaders(name)
    return str(values[0]) if values else ""


def _make_headers(call: UpstreamCall) -> Headers:
    headers = Headers(
        {
            "content-type": [call.content_type],
            "x-request-id": [call.request],
            "x-priority": [call.priority],
        }
    )
    if call.traceparent:
        headers.setRawHeaders("traceparent", [call.traceparent])

    if call.fencing:
        headers.setRawHeaders("x-fencing", [str(call.fencing)])

    if call.key:
        headers.setRawHeaders("idempotency-key", [call.key])

    return headers


def _reports_not_run(response: Any) -> bool:
    return read_header(response, OUTCOME_HEADER) == "not_run"
