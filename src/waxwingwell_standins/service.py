"""Plain service that executes orders and bookings.

As in the real services, an order or booking runs each time it is sent, so that a
duplicate shows in the counts. Lookups are idempotent.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from dataclasses import field

import msgspec
from klein import Klein
from twisted.internet.defer import Deferred
from twisted.internet.defer import gatherResults
from twisted.internet.task import deferLater

from waxwingwell.records import Announcement
from waxwingwell.records import UpstreamId
from waxwingwell.records import UpstreamKind

from .announcer import Announcer
from .announcer import start_announcer
from .listener import REQUEST_ID_HEADER
from .listener import Listener
from .listener import Request
from .listener import abort_request
from .listener import close_listener
from .listener import get_header
from .listener import get_reactor
from .listener import listen
from .listener import read_body
from .listener import reply_error
from .listener import reply_json
from .program import run_program
from .settings import ServiceFaults
from .settings import ServiceSettings


Body = bytes | Deferred[bytes] | Deferred[None]
REFUSAL_RETRY_AFTER = 1.0
"""Retry-After of a refused request, in seconds."""


class Record(msgspec.Struct, frozen=True):
    """A stored order or booking."""

    id: str
    executions: int
    """Number of runs; more than 1 means a duplicated order."""
    request: str
    """Request id of the latest run."""
    body: msgspec.Raw


@dataclass(slots=True)
class Service:
    """A running service; ``faults`` may be replaced while it runs."""

    settings: ServiceSettings
    faults: ServiceFaults
    records: dict[tuple[str, str], Record] = field(default_factory=dict)
    """Records by collection and id."""
    executions: Counter[str] = field(default_factory=Counter)
    """Number of runs by the id of the order or booking."""
    requests: Counter[str] = field(default_factory=Counter)
    """Number of runs by request id."""
    running: int = 0
    listener: Listener | None = None
    announcer: Announcer | None = None

    @property
    def port(self) -> int:
        """TCP port of the listener."""
        return self.listener.port if self.listener else 0

    @property
    def url(self) -> str:
        """Base URL."""
        return self.listener.url if self.listener else ""

    def stop(self) -> Deferred[None]:
        """Stop immediately: connections are aborted and nothing is announced."""
        return stop_service(self)

    def leave(self) -> Deferred[None]:
        """Announce that the service leaves; it continues to serve requests."""
        if self.announcer is None:
            raise RuntimeError("the service has no announce settings")

        return self.announcer.leave()


def start_service(settings: ServiceSettings) -> Service:
    """Listen, and announce the service if it has announce settings."""
    service = Service(settings, settings.faults)
    app = Klein()
    add_record_routes(app, service)
    service.listener = listen(app, port=settings.port, host=settings.host)
    if settings.announce is not None:
        service.announcer = start_announcer(
            settings.announce, lambda: describe_service(service)
        )

    return service


def stop_service(service: Service) -> Deferred[None]:
    """Stop the listener and the announcer."""
    pending = []
    if service.listener is not None:
        pending.append(close_listener(service.listener))

    if service.announcer is not None:
        pending.append(service.announcer.stop())

    return gatherResults(pending).addCallback(lambda _: None)


def add_record_routes(app: Klein, service: Service) -> None:
    """Add the routes that create and look up orders and bookings."""

    @app.route("/<any(orders, bookings):collection>", methods=["POST"])
    def create(request: Request, collection: str) -> Body:
        if service.faults.refuse > 0:
            service.faults.refuse -= 1
            return reply_overloaded(request)

        body = read_body(request)
        try:
            named = msgspec.json.decode(body, type=NamedRecord)
        except msgspec.DecodeError as error:
            return reply_error(
                request, status=400, code="bad_request", message=str(error)
            )

        name = named.id or named.order or get_header(request, REQUEST_ID_HEADER)
        record = record_execution(service, collection, name, request, body)
        return reply_to_run(service, request, record)

    @app.route("/<any(orders, bookings):collection>", methods=["GET"])
    def show_all(request: Request, collection: str) -> Body:
        records = [
            record
            for (kind, _), record in sorted(service.records.items())
            if kind == collection
        ]
        return reply_json(request, records)

    @app.route("/<any(orders, bookings):collection>/<name>", methods=["GET"])
    def show(request: Request, collection: str, name: str) -> Body:
        record = service.records.get((collection, name))
        if record is None:
            message = f"{collection}: no {name!r}"
            return reply_error(request, status=404, code="not_found", message=message)

        return reply_json(request, record)


class NamedRecord(msgspec.Struct, frozen=True):
    """The fields that identify an order or booking; either one is sufficient."""

    id: str = ""
    order: str = ""


def record_execution(
    service: Service, collection: str, name: str, request: Request, body: bytes
) -> Record:
    """Execute an order or booking and count the run."""
    name = name or f"{collection}-{len(service.records) + 1}"
    request_id = get_header(request, REQUEST_ID_HEADER)
    service.executions[name] += 1
    service.requests[request_id] += 1
    record = Record(name, service.executions[name], request_id, msgspec.Raw(body))
    service.records[collection, name] = record
    return record


def reply_to_run(service: Service, request: Request, record: Record) -> Body:
    """Respond to a run after the configured delay, unless a fault prevents it."""
    faults = service.faults
    if faults.drop_answers > 0:
        faults.drop_answers -= 1
        abort_request(request)
        return Deferred()

    if faults.silent_answers > 0:
        faults.silent_answers -= 1
        return Deferred()

    if service.settings.delay <= 0:
        return reply_json(request, record, status=201)

    service.running += 1

    def reply() -> bytes:
        return reply_json(request, record, status=201)

    def finish(result: bytes) -> bytes:
        service.running -= 1
        return result

    response = deferLater(get_reactor(), service.settings.delay, reply)
    return response.addBoth(finish)


def reply_overloaded(request: Request) -> bytes:
    """Return the error of a service that accepts no work; nothing was run."""
    return reply_error(
        request,
        status=503,
        code="overloaded",
        message="the service takes no work now; nothing was run",
        retry_after=REFUSAL_RETRY_AFTER,
        not_run=True,
    )


def describe_service(service: Service) -> Announcement:
    """Return the current announcement of the service."""
    settings = service.settings
    if settings.announce is None:
        raise RuntimeError("the service has no announce settings")

    return Announcement(
        upstream=UpstreamId(settings.announce.upstream),
        incarnation=0,
        sequence=0,
        kind=UpstreamKind.SERVICE,
        data_centre=settings.announce.data_centre,
        host=settings.host,
        port=service.port,
        lease=settings.announce.lease,
        service=settings.service,
        capacity=settings.capacity,
    )


if __name__ == "__main__":
    run_program(ServiceSettings, start_service)
