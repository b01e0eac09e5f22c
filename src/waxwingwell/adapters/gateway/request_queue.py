"""The requests of a gateway that wait for room, and what is reported of them."""

from __future__ import annotations

from collections import Counter
from collections import deque
from dataclasses import dataclass
from dataclasses import field
from typing import TYPE_CHECKING
from typing import Any

from ...decisions.rates import count_event
from ...decisions.rates import decay_rate
from ...routing.engine_room import LEAST_URGENT
from ...routing.engine_room import DemandTable
from ...routing.engine_room import RoomPool
from ...routing.lookup import DocumentIndex
from ...routing.messages import ServiceDemand
from ...routing.messages import WorkspaceUse
from ...routing.room import INTERVAL_SECONDS
from ...routing.scheduling import estimate_wait
from ..events import log_event
from ..metrics import QUEUE_SECONDS
from ..metrics import WAITING_REQUESTS


if TYPE_CHECKING:
    from collections.abc import Iterable
    from collections.abc import Mapping

    from ...routing.load import LoadTable
    from ...routing.scheduling import Waiting
    from .context import RunningRequest
    from .exchange import Exchange


RATE_SECONDS = 2.0
"""Window over which the rate of starts is smoothed."""
STARTED = "started"


class ServiceQueue:
    """Requests for one service, in order of arrival, and its recent starts."""

    def __init__(self) -> None:
        self.waiting: dict[Exchange, Waiting] = {}
        self.arrivals: deque[tuple[float, int]] = deque()
        """Times and ranks of the requests that arrived while the service was short."""
        self.before: Counter[int] = Counter()
        """Requests that waited at the last totals, by rank."""
        self.since: Counter[int] = Counter()
        """Requests that have arrived since, by rank."""
        self.running = 0
        """This gateway's running requests, as of its last report."""
        self.names: frozenset[str] = frozenset()
        """Upstreams of the service at the last totals."""
        self.short_since: float | None = None
        """Time since which the service is short; None if it is not."""
        self.start_rate = 0.0
        """Requests started per second."""
        self.start_rate_at = 0.0
        self.floor_credit = 0.0
        """Starts that are due to requests which are not the first in order."""
        self.woken = False
        """Whether the queue will be served in the next turn of the reactor."""


@dataclass(frozen=True, slots=True)
class KnownPool:
    """Upstreams that a service's requests may use, as found at some time."""

    pool: RoomPool
    found_at: float


@dataclass(slots=True)
class RequestQueues:
    """The queues by service."""

    services: dict[str, ServiceQueue] = field(default_factory=dict)
    demand: DemandTable = field(default_factory=DemandTable)
    pools: dict[tuple[str, str], KnownPool] = field(default_factory=dict)
    """By service, and by session while versions differ; dropped with new totals."""
    queued: int = 0
    """Requests queued so far."""
    timer: Any = None
    least: tuple[DocumentIndex | None, int] = (None, 0)
    """A document, and the least urgent rank of its requests."""

    @property
    def is_short(self) -> bool:
        """Whether a service is short of room."""
        return any(one.short_since is not None for one in self.services.values())


def remove_waiting(
    queues: RequestQueues, exchange: Exchange, outcome: str, now: float
) -> None:
    """Remove a request from its queue, if it is queued."""
    for queue in queues.services.values():
        waiting = queue.waiting.pop(exchange, None)
        if waiting is None:
            continue

        seconds = now - waiting.arrived_at
        WAITING_REQUESTS.labels(str(waiting.rank)).dec()
        if outcome == STARTED:
            QUEUE_SECONDS.labels(str(waiting.rank)).observe(seconds)

        log_event(
            "gateway: Dequeued",
            request=exchange.facts.request_id,
            rank=waiting.rank,
            result=outcome,
            waited_ms=round(seconds * 1000),
        )


def record_start(queue: ServiceQueue, now: float) -> None:
    """Count the start of a request in the rate of starts."""
    queue.start_rate = count_event(
        queue.start_rate, queue.start_rate_at, RATE_SECONDS, now
    )
    queue.start_rate_at = now


def find_start_rate(queue: ServiceQueue, now: float) -> float | None:
    """Return the rate of starts, or None while the service is short only for a moment.

    The starts before that happened as they arrived, and tell nothing of the room.
    """
    if queue.short_since is None or now - queue.short_since < RATE_SECONDS:
        return None

    return decay_rate(queue.start_rate, queue.start_rate_at, RATE_SECONDS, now)


def estimate_queue_wait(queues: RequestQueues, service: str, now: float) -> float:
    """Return the expected seconds for which one more request of a service waits."""
    queue = queues.services.get(service)
    if queue is None or not queue.waiting:
        return 0.0

    rate = find_start_rate(queue, now)
    longest = max(now - one.arrived_at for one in queue.waiting.values())
    if rate is None or rate <= 0.0:
        return longest

    return estimate_wait(len(queue.waiting), rate)


def count_demand(queue: ServiceQueue, now: float) -> Counter[int]:
    """Return the requests by rank that wait or have just arrived."""
    while queue.arrivals and queue.arrivals[0][0] < now - INTERVAL_SECONDS:
        queue.arrivals.popleft()

    recent = now - INTERVAL_SECONDS
    demand = Counter(rank for _, rank in queue.arrivals)
    demand.update(one.rank for one in queue.waiting.values() if one.arrived_at < recent)
    return demand


def list_demand(
    queues: RequestQueues, load: LoadTable, now: float
) -> tuple[ServiceDemand, ...]:
    """Return this gateway's demand for services that are short of room."""
    return tuple(
        one
        for service, queue in queues.services.items()
        for one in list_service_demand(service, queue, load, now)
    )


def list_service_demand(
    service: str, queue: ServiceQueue, load: LoadTable, now: float
) -> list[ServiceDemand]:
    """Return this gateway's demand for a service, and the slots that it has freed.

    The next report counts from here.
    """
    own = load.own.items()
    running = sum(use.running for name, use in own if name in queue.names)
    freed, queue.running = max(queue.running - running, 0), running
    if queue.short_since is None:
        return []

    waiting = Counter(one.rank for one in queue.waiting.values())
    demand = [
        ServiceDemand(service, rank, count, waiting[rank])
        for rank, count in sorted(count_demand(queue, now).items())
    ]
    if freed:
        demand.append(ServiceDemand(service, LEAST_URGENT, 0, 0, freed))

    return demand


def list_workspaces(
    queues: RequestQueues, requests: Iterable[RunningRequest]
) -> tuple[WorkspaceUse, ...]:
    """Return this gateway's running requests by workspace, of services that are short.

    Workspaces that only wait are listed too, as shares are equal among all of them.
    """
    short = [
        name for name, queue in queues.services.items() if queue.short_since is not None
    ]
    if not short:
        return ()

    uses = count_running(requests, short)
    for service in short:
        for one in queues.services[service].waiting.values():
            uses[service].setdefault(one.workspace, 0)

    return tuple(
        WorkspaceUse(service, workspace, count)
        for service in short
        for workspace, count in uses[service].items()
    )


def count_running(
    requests: Iterable[RunningRequest], services: Iterable[str]
) -> dict[str, Counter[str]]:
    """Return the running requests of some services by workspace."""
    uses: dict[str, Counter[str]] = {service: Counter() for service in services}
    for request in requests:
        service = request.find_service()
        if request.holds_slot and service in uses:
            uses[service][name_workspace(request)] += 1

    return uses


def name_workspace(request: RunningRequest) -> str:
    """Return the name of a request's workspace; empty for anonymous ones."""
    return "" if request.workspace is None else request.workspace.name


def add_running(
    own: Mapping[str, int], others: Mapping[str, int], waiting: Iterable[Waiting]
) -> Counter[str]:
    """Return the running requests of each workspace that runs or wants any."""
    running = Counter(own)
    for name, count in others.items():
        running[name] += count

    for one in waiting:
        running.setdefault(one.workspace, 0)

    return running
