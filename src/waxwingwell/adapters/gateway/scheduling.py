"""Scheduling of requests in front of their exchanges.

While a service has room to spare, its requests start as they arrive. While it is short,
they wait here until this gateway's part of the room lets them start.
"""

from __future__ import annotations

from collections import Counter
from functools import partial
from typing import TYPE_CHECKING

from ...routing.engine_room import RankedDemand
from ...routing.engine_room import RoomPool
from ...routing.engine_room import count_equal_part
from ...routing.engine_room import count_left
from ...routing.engine_room import fits
from ...routing.engine_room import has_old_totals
from ...routing.engine_room import is_short
from ...routing.engine_room import make_pool
from ...routing.engine_room import measure_room
from ...routing.load import estimate_output_tokens
from ...routing.reachability import has_lost_path
from ...routing.retries import count_requests
from ...routing.room import INTERVAL_SECONDS
from ...routing.scheduling import FLOOR_PART
from ...routing.scheduling import Waiting
from ...routing.scheduling import choose_start
from ...routing.scheduling import estimate_wait
from ...routing.scheduling import find_latest
from ...routing.scheduling import find_over_share
from ...routing.scheduling import list_hopeless
from ...routing.scheduling import sort_waiting
from ...routing.scheduling import spread_retry_after
from ..events import log_event
from ..events import run_logged
from ..metrics import QUEUE_REFUSALS
from ..metrics import WAITING_REQUESTS
from .choice import find_session_key
from .choice import list_candidates
from .crashes import must_refuse
from .endings import STOPPING_RETRY_AFTER
from .endings import can_finish
from .endings import give_up
from .request_queue import STARTED
from .request_queue import KnownPool
from .request_queue import ServiceQueue
from .request_queue import add_running
from .request_queue import count_running
from .request_queue import find_start_rate
from .request_queue import name_workspace
from .request_queue import record_start
from .request_queue import remove_waiting
from .restrictions import is_resting
from .sending import find_rank


if TYPE_CHECKING:
    from collections.abc import Iterable

    from ...routing.engine_room import EngineRoom
    from ...routing.records import Service
    from .context import GatewayContext
    from .exchange import Exchange


POLL_SECONDS = INTERVAL_SECONDS
"""Seconds between checks of queues, also without totals."""
MAX_POOLS = 1_000
"""Pools kept; without totals, nothing else drops those of former sessions."""
NO_POOL = RoomPool(frozenset(), 0, 0, 0, 0)


def schedule_exchange(context: GatewayContext, exchange: Exchange) -> None:
    """Start a request, or queue it while its service is short of room."""
    now = context.clock()
    service = exchange.find_service()
    if not context.settings.request_queue or is_exempt(exchange):
        exchange.start()
        return

    room = find_room(context, exchange, now)
    queue = context.queues.services.setdefault(service, ServiceQueue())
    short = room.slots > 0 and (is_short(room) or bool(queue.waiting))
    mark_short(queue, now, short=short)
    if not short:
        record_start(queue, now)
        exchange.start()
        return

    waiting = enqueue(context, queue, exchange, now)
    serve_queue(context, service)
    if exchange in queue.waiting:
        log_queued(exchange, queue, waiting, room, now)
        keep_polling(context)


def is_exempt(exchange: Exchange) -> bool:
    """Return whether a request is never queued.

    A relayed one was queued by the gateway that relayed it, and a resumed stream has
    started before. One without a path, or in quarantine, is handled by its exchange.
    """
    context = exchange.context
    return bool(
        exchange.relayed
        or exchange.facts.resume_after
        or exchange.index is None
        or exchange.find_service() not in exchange.index.services
        or has_lost_path(context.path)
        or must_refuse(exchange)
    )


def enqueue(
    context: GatewayContext, queue: ServiceQueue, exchange: Exchange, now: float
) -> Waiting:
    """Add a request to a queue."""
    context.queues.queued += 1
    facts = exchange.facts
    output = estimate_output_tokens(facts.expected_output, facts.output_tokens)
    waiting = Waiting(
        number=context.queues.queued,
        rank=find_rank(exchange.route, exchange.workspace),
        workspace=name_workspace(exchange),
        arrived_at=exchange.started_at,
        due_at=exchange.started_at + exchange.route.objective,
        latest=find_latest(exchange.started_at, exchange.deadline),
        tokens=facts.prompt_tokens + output if facts.prompt_tokens else 0,
    )
    queue.waiting[exchange] = waiting
    queue.arrivals.append((now, waiting.rank))
    queue.since[waiting.rank] += 1
    WAITING_REQUESTS.labels(str(waiting.rank)).inc()
    exchange.open()
    return waiting


def log_queued(
    exchange: Exchange,
    queue: ServiceQueue,
    waiting: Waiting,
    room: EngineRoom,
    now: float,
) -> None:
    """Log that a request waits, and what is short."""
    order = sort_waiting(queue.waiting.values(), (), now)
    place = order.index(waiting)
    rate = find_start_rate(queue, now)
    log_event(
        "gateway: Queued",
        request=exchange.facts.request_id,
        service=exchange.find_service(),
        rank=waiting.rank,
        place=place,
        wait_ms=round(estimate_wait(place, rate) * 1000) if rate else None,
        running=room.running,
        slots=room.slots,
        tokens=room.tokens,
        memory=room.memory,
    )


def wake_queue(context: GatewayContext, service: str) -> None:
    """Serve a queue in the next turn of the reactor, as a request has ended.

    Its own next attempt goes first, as it has waited already.
    """
    queue = context.queues.services.get(service)
    if queue is None or not queue.waiting:
        return

    queue.floor_credit = min(queue.floor_credit + FLOOR_PART, 1.0)
    if queue.woken:
        return

    def serve() -> None:
        queue.woken = False
        start_waiting(context, service, queue)

    queue.woken = True
    context.reactor.callLater(0.0, serve)


def serve_queues(context: GatewayContext) -> None:
    """Serve all queues, as room may have been freed."""
    for service, queue in context.queues.services.items():
        if queue.waiting:
            run_logged(
                partial(serve_queue, context, service),
                "gateway: Could not serve a queue",
            )


def renew_parts(context: GatewayContext) -> None:
    """Begin to count this gateway's parts anew, as of new totals."""
    now = context.clock()
    context.queues.pools.clear()
    services = context.index.services if context.index is not None else {}
    for name, queue in context.queues.services.items():
        queue.before = Counter(one.rank for one in queue.waiting.values())
        queue.since.clear()
        if name in services:
            pool = collect_pool(context, services[name], "", now)
            queue.names = pool.names
            room = measure_room(pool, context.load, context.queues.demand)
            mark_short(queue, now, short=is_short(room) or bool(queue.waiting))


def mark_short(queue: ServiceQueue, now: float, *, short: bool) -> None:
    """Record whether a service is short of room."""
    if not short:
        queue.short_since = None
    elif queue.short_since is None:
        queue.short_since = now


def keep_polling(context: GatewayContext) -> None:
    """Serve the queues regularly for as long as requests wait."""
    queues = context.queues
    if queues.timer is not None and queues.timer.active():
        return

    def poll() -> None:
        if has_old_totals(context.load, context.clock()):
            queues.demand.draw = context.random.random()

        serve_queues(context)
        if any(queue.waiting for queue in queues.services.values()):
            queues.timer = context.reactor.callLater(POLL_SECONDS, poll)

    queues.timer = context.reactor.callLater(POLL_SECONDS, poll)


def serve_queue(context: GatewayContext, service: str) -> None:
    """Start a queue's requests that have room, and refuse those without a chance."""
    queue = context.queues.services[service]
    refuse_at_stop(context, queue)
    start_waiting(context, service, queue)
    refuse_hopeless(context, service, queue)


def start_waiting(context: GatewayContext, service: str, queue: ServiceQueue) -> None:
    """Start a queue's requests that have room."""
    while queue.waiting:
        order = sort_queue(context, service, queue)
        exchange = choose_next(context, queue, order)
        if exchange is None:
            break

        now = context.clock()
        remove_waiting(context.queues, exchange, STARTED, now)
        record_start(queue, now)
        exchange.send()


def sort_queue(
    context: GatewayContext, service: str, queue: ServiceQueue
) -> dict[Waiting, Exchange]:
    """Return a queue in the order of service, by the shares over all gateways."""
    own = count_running(context.exchanges, (service,))[service]
    others = context.queues.demand.workspaces.get(service, {})
    running = add_running(own, others, queue.waiting.values())
    exchanges = {waiting: exchange for exchange, waiting in queue.waiting.items()}
    order = sort_waiting(exchanges, find_over_share(running), context.clock())
    return {waiting: exchanges[waiting] for waiting in order}


def choose_next(
    context: GatewayContext,
    queue: ServiceQueue,
    order: dict[Waiting, Exchange],
) -> Exchange | None:
    """Return the next request that has room, or None."""
    now = context.clock()

    def find_upstreams(waiting: Waiting) -> RoomPool:
        return find_pool(context, order[waiting], now)

    def may_start(waiting: Waiting, rank: int) -> bool:
        return has_room(context, queue, order[waiting], rank, now)

    chosen, by_floor = choose_start(
        list(order), find_upstreams, may_start, floor_due=queue.floor_credit >= 1.0
    )
    if chosen is None:
        return None

    queue.floor_credit -= by_floor
    return order[chosen]


def has_room(
    context: GatewayContext,
    queue: ServiceQueue,
    exchange: Exchange,
    rank: int,
    now: float,
) -> bool:
    """Return whether this gateway's part of the room lets a request start as a rank.

    Without a path to upstreams, its exchange relays it.
    """
    room = find_room(context, exchange, now)
    if room.slots <= 0 or has_lost_path(context.path):
        return True

    least = find_least_rank(context)
    demand = context.queues.demand
    if has_old_totals(context.load, now):
        left = count_equal_part(room, context.load, rank=rank, least=least)
    else:
        ranked = rank_demand(context, exchange.find_service(), queue, rank, now)
        left = count_left(room, ranked, rank=rank, least=least, draw=demand.draw)

    return fits(left, queue.waiting[exchange].tokens, demand.draw)


def rank_demand(
    context: GatewayContext, service: str, queue: ServiceQueue, rank: int, now: float
) -> RankedDemand:
    """Return the demand for a service by rank."""
    demand = context.queues.demand
    others = demand.others.get(service)
    if others is None:
        others = assume_demand(context, service, rank, now)

    return RankedDemand(
        own=queue.before + queue.since,
        others=others,
        own_waiting=Counter(one.rank for one in queue.waiting.values()),
        others_waiting=demand.waiting.get(service, {}),
        freed=demand.freed.get(service, 0.0),
    )


def assume_demand(
    context: GatewayContext, service: str, rank: int, now: float
) -> dict[int, int]:
    """Return the others' demand before they have reported any.

    As a service becomes short, each gateway would otherwise take all that is left.
    """
    gateways = context.load.gateways
    limits = context.settings.retries
    requests = count_requests(context.retries, service, limits, gateways, now)
    others = requests * INTERVAL_SECONDS / limits.window * (1.0 - 1.0 / gateways)
    return {rank: round(others)} if others >= 1.0 else {}


def find_room(context: GatewayContext, exchange: Exchange, now: float) -> EngineRoom:
    """Return the room of the upstreams that a request may use."""
    pool = find_pool(context, exchange, now)
    return measure_room(pool, context.load, context.queues.demand)


def find_pool(context: GatewayContext, exchange: Exchange, now: float) -> RoomPool:
    """Return the upstreams that a request may use, found again with each totals.

    Sessions differ in them only while versions differ.
    """
    service = exchange.find_service()
    rollout = context.rollouts.get(service)
    differ = rollout is not None and rollout.state == "in_progress"
    session = find_session_key(exchange.facts)
    key = (service, session if differ else "")
    pools = context.queues.pools
    known = pools.get(key)
    if known is not None and now - known.found_at < INTERVAL_SECONDS:
        return known.pool

    record = exchange.index.services[service] if exchange.index is not None else None
    if record is None:
        return NO_POOL

    pool = collect_pool(context, record, session, now)
    if len(pools) >= MAX_POOLS:
        pools.clear()

    pools[key] = KnownPool(pool, now)
    return pool


def collect_pool(
    context: GatewayContext, service: Service, session: str, now: float
) -> RoomPool:
    """Return the upstreams that a session may use and that do not rest."""
    upstreams = [
        (one.upstream, one.slots or service.slots)
        for one in list_candidates(context, service.name, session, now)
        if not is_resting(context, one, now)
    ]
    return make_pool(upstreams, service.memory_tokens, context.load)


def find_least_rank(context: GatewayContext) -> int:
    """Return the least urgent rank of the requests of the document in force."""
    index = context.index
    held, least = context.queues.least
    if index is None or held is index:
        return least

    document = index.document
    workspaces = (None, *document.workspaces)
    least = max(
        (find_rank(route, one) for route in document.routes for one in workspaces),
        default=0,
    )
    context.queues.least = (index, least)
    return least


def refuse_hopeless(context: GatewayContext, service: str, queue: ServiceQueue) -> None:
    """Refuse the requests that can't begin in time."""
    if not queue.waiting:
        return

    now = context.clock()
    exchanges = sort_queue(context, service, queue)
    rate = find_start_rate(queue, now)
    for waiting, wait in list_hopeless(exchanges, rate, now):
        exchange = exchanges[waiting]
        remaining = exchange.deadline - now
        expected = wait or now - waiting.arrived_at
        pause = spread_retry_after(expected, remaining, context.random.random())
        expired = now >= waiting.latest
        reason = "waited in vain for room" if expired else "no room in time"
        refuse_queued([exchange], reason, pause)


def refuse_at_stop(context: GatewayContext, queue: ServiceQueue) -> None:
    """Refuse the requests that a stopping gateway can't finish any more."""
    if not context.stopping:
        return

    now = context.clock()
    late = [
        one
        for one in queue.waiting
        if not can_finish(context, one.route, one.facts, now)
    ]
    refuse_queued(late, "gateway is stopping", STOPPING_RETRY_AFTER)


def refuse_queued(exchanges: Iterable[Exchange], reason: str, pause: float) -> None:
    """Refuse some queued requests; other gateways may serve them."""
    for exchange in exchanges:
        QUEUE_REFUSALS.labels(reason).inc()
        end = partial(give_up, exchange, reason, pause)
        run_logged(end, "gateway: Could not refuse a queued request")
