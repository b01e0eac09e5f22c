"""Calls to upstreams, with a last check before each request is written."""

from __future__ import annotations

import math
from functools import partial
from typing import TYPE_CHECKING

from ...routing.delays import record_connect
from ...routing.load import add_running
from ...routing.load import estimate_output_tokens
from ...routing.load import record_prefill
from ...routing.permits import use_permit
from ...routing.pools import Pool
from ...routing.sessions import start_session
from ...routing.silence import record_write
from ...routing.warmup import CONNECT_SECONDS
from ..http.client import CallHandlers
from ..http.client import UpstreamCall
from ..metrics import HANDED_ON
from ..metrics import WITHHELD_ATTEMPTS
from .choice import may_still_use
from .crashes import must_refuse
from .relaying import count_granted_runs
from .relaying import write_relayed_headers
from .restrictions import is_resting
from .restrictions import is_restricted
from .restrictions import may_use
from .restrictions import record_send
from .retrying import record_arrival
from .sending import choose_connect_timeout
from .sending import find_call_traffic
from .sending import handle_sent
from .sending import write_headers


if TYPE_CHECKING:
    from ...routing.records import Service
    from ..http.client import RequestParts
    from .attempts import Attempt
    from .exchange import Exchange


def open_call(exchange: Exchange, attempt: Attempt, now: float) -> UpstreamCall:
    """Start a call to the upstream or relay."""
    if attempt.relayed:
        attempt.granted_runs = count_granted_runs(exchange)
        HANDED_ON.labels(attempt.choice.relay_reason).inc()
    else:
        count_attempt(exchange, attempt, now)

    upstream = attempt.choice.placement.upstream
    remaining = exchange.deadline - now
    attempt.connect = record_connect(
        exchange.context.delays, upstream.upstream, upstream.data_centre, now
    )
    return UpstreamCall(
        reactor=exchange.context.reactor,
        address=(upstream.host, upstream.port),
        make_request=partial(make_request, exchange, attempt),
        handlers=CallHandlers(
            on_head=partial(exchange.handle_head, attempt),
            on_data=partial(exchange.handle_data, attempt),
            on_end=partial(exchange.handle_end, attempt),
            on_sent=partial(handle_sent, exchange, attempt),
        ),
        connect_timeout=choose_connect_timeout(exchange.context, remaining),
        traffic=find_call_traffic(exchange.context, upstream, relayed=attempt.relayed),
    )


def make_request(exchange: Exchange, attempt: Attempt) -> RequestParts | None:
    """Return the request for a connection that stands, or None to withhold it.

    A connection takes up to ``MAX_CONNECT_SECONDS``, and longer while this process does
    not run. What the choice was based on may have changed, and the caller's time is
    shorter.
    """
    now = exchange.context.clock()
    attempt.withheld = find_objection(exchange, attempt, now)
    if attempt.withheld:
        WITHHELD_ATTEMPTS.labels(attempt.withheld).inc()
        return None

    record_arrival(exchange, attempt, now)
    record_write(exchange.context.silences, attempt.upstream, now)
    write = write_relayed_headers if attempt.relayed else write_headers
    headers = write(exchange, attempt, now)
    request = exchange.request
    if request.body.size or request.method not in (b"GET", b"HEAD"):
        headers.append((b"Content-Length", str(request.body.size).encode()))

    return request.method, request.target, headers, request.body


def find_objection(exchange: Exchange, attempt: Attempt, now: float) -> str:
    """Return why an attempt must not be written any more; empty if it may."""
    if must_refuse(exchange):
        return "quarantined"

    if attempt.relayed:
        return ""

    context = exchange.context
    choice = attempt.choice
    upstream = choice.placement.upstream
    started = exchange.responder.started
    others = exchange.tried_upstreams - {attempt.upstream} if started else set[str]()
    if not may_still_use(context, choice, attempt.rollout, others, now):
        return "unavailable"

    if is_resting(context, upstream, now):
        return "resting"

    if attempt.is_restricted:
        return "permit_expired" if now >= attempt.write_until else ""

    return "" if may_use_restricted(exchange, attempt, now) else "restricted"


def may_use_restricted(exchange: Exchange, attempt: Attempt, now: float) -> bool:
    """Return whether an upstream that is restricted since it was chosen may be used."""
    service = find_service(exchange, attempt)
    upstream = attempt.choice.placement.upstream
    context = exchange.context
    if service is None or not is_restricted(context, service, upstream, now):
        return True

    if not may_use(context, service, upstream, now):
        return False

    use_permit(context.permits, attempt.upstream, now)
    return True


def find_service(exchange: Exchange, attempt: Attempt) -> Service | None:
    """Return the service of an attempt in the document that the request came under."""
    index = exchange.index
    return None if index is None else index.services.get(attempt.choice.service)


def count_attempt(exchange: Exchange, attempt: Attempt, now: float) -> None:
    """Count an attempt as this gateway's load at the upstream, and in its session."""
    placement = attempt.choice.placement
    context = exchange.context
    attempt.work = placement.work
    attempt.rollout = context.rollouts.get(attempt.choice.service)
    service = find_service(exchange, attempt)
    if service is not None:
        upstream = placement.upstream
        attempt.is_restricted = is_restricted(context, service, upstream, now)

    permit_until = record_send(context, attempt.upstream, now)
    # Without a permit, what a limit allows is counted with a margin for the connection.
    has_permit = math.isfinite(permit_until)
    attempt.write_until = permit_until if has_permit else now + CONNECT_SECONDS
    facts = exchange.facts
    output = estimate_output_tokens(facts.expected_output, facts.output_tokens)
    attempt.output_tokens = output
    if facts.prompt_tokens:
        attempt.tokens = facts.prompt_tokens + output

    add_running(context.load, attempt.upstream, attempt.work, attempt.tokens)
    choice = attempt.choice
    if choice.pool is not Pool.SMALL:
        record_prefill(context.load, attempt.work, now)

    version = placement.upstream.version
    start_session(context.sessions, choice.service, choice.session, version, now)
