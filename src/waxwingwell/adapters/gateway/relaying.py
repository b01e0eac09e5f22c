"""Requests that reach upstreams through another gateway.

A gateway that has lost its own path to the upstreams sends its requests to a gateway
that reaches them. One whose processor is short hands on a share of its new requests to
gateways with room. They handle them as their own callers' requests, and never relay
them further.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from ...routing.fleet import Announcement
from ...routing.fleet import UpstreamState
from ...routing.gateway_room import HandOnReason
from ...routing.gateway_room import drop_relay
from ...routing.gateway_room import is_handing_on
from ...routing.gateway_room import list_usable_relays
from ...routing.health import is_backing_off
from ...routing.placement import Placement
from ...routing.pools import Pool
from ...routing.reachability import has_lost_path
from ..http.records import strip_hop_headers
from .choice import Choice
from .choice import find_session_key
from .dialect import RelayedRequest


if TYPE_CHECKING:
    from ...routing.messages import RelayGateway
    from ..http.records import HeaderList
    from .attempts import Attempt
    from .exchange import Exchange


RUNS_HEADER = b"x-waxwingwell-runs"
"""Attempts of a relayed request that may have run before; the last value counts."""
ARRIVALS_HEADER = b"x-waxwingwell-arrivals"
"""The same for attempts that have reached upstreams. A relay's response has both as
well, with what the relay has sent."""
MAX_RUNS_HEADER = b"x-waxwingwell-max-runs"
"""Attempts of a relayed request that may run in all, with those before."""
CRASHES_HEADER = b"x-waxwingwell-crashes"
"""Keys of the crashes that may have ended a relayed request's attempts; the last value
counts."""
UPSTREAM_HEADER = b"x-waxwingwell-upstream"
"""Id of the upstream whose response says that it leaves; the last value counts."""
REASON_HEADER = b"x-waxwingwell-relay-reason"
"""Why a request is relayed; the last value counts. Relays of older releases pass it on
to the upstream."""
MAX_COUNT_DIGITS = 9
RELAY_WAIT_MS = 10.0
"""Expected wait that a relay adds: two round trips between data centres."""
REFUSAL_STATUSES = frozenset({401, 404, 408, 413, 421, 429, 431, 503})
"""Statuses of a relay's own that guarantee that the request has not run. It may have
another configuration in force, by which it knows neither the route nor the key."""


@dataclass(frozen=True, slots=True)
class EarlierAttempts:
    """What a gateway tells its relay of the attempts at a request."""

    runs: int = 0
    arrivals: int = 0
    max_runs: int | None = None
    """Attempts that may run in all; None for the route's own limit."""
    crashes: frozenset[int] = frozenset()


NO_ATTEMPTS = EarlierAttempts()


def choose_relay(exchange: Exchange, now: float) -> Choice | None:
    """Return the choice of another gateway if one has to be asked, or None."""
    if exchange.relayed:
        return None

    if has_lost_path(exchange.context.path):
        return choose_way_round(exchange, now)

    return choose_roomy(exchange, now)


def choose_roomy(exchange: Exchange, now: float) -> Choice | None:
    """Return the choice of a gateway with room if the request is handed on, or None.

    Only a first attempt is: after a refusal or failure of the relay, the request is
    served here.
    """
    context = exchange.context
    if exchange.attempt_count or exchange.is_trial or not is_handing_on(context.room):
        return None

    if context.random.random() >= context.room.share:
        return None

    relays = [
        one
        for one in list_usable_relays(context.room, now)
        if not is_backing_off(context.health, one.name, now)
    ]
    if not relays:
        return None

    relay = context.random.choice(relays)
    return make_choice(exchange, relay, HandOnReason.PROCESSOR)


def choose_way_round(exchange: Exchange, now: float) -> Choice | None:
    """Return the choice of a gateway that reaches upstreams, or None."""
    context = exchange.context
    relays = [
        relay
        for relay in context.relays
        if relay.name not in exchange.tried_upstreams | exchange.slow_upstreams
    ]
    if not relays:
        return None

    reachable = [
        one for one in relays if not is_backing_off(context.health, one.name, now)
    ]
    usable = reachable or relays
    data_centre = context.settings.data_centre
    local = [one for one in usable if one.data_centre == data_centre]
    relay = context.random.choice(local or usable)
    return make_choice(exchange, relay, HandOnReason.PATH)


def make_choice(
    exchange: Exchange, relay: RelayGateway, reason: HandOnReason
) -> Choice:
    """Return the choice of a relay."""
    return Choice(
        service=exchange.find_service(),
        session=find_session_key(exchange.facts),
        model=find_bound_model(exchange),
        placement=Placement(describe_as_upstream(relay), 0.0, RELAY_WAIT_MS, 0.0, 0, 0),
        pressure=0.0,
        pool=Pool.ANY,
        engines=0,
        relayed=True,
        relay_reason=reason.value,
    )


def find_bound_model(exchange: Exchange) -> str:
    """Return the model that must go on with a response, or an empty string."""
    return exchange.model if exchange.is_bound else ""


def describe_as_upstream(relay: RelayGateway) -> Announcement:
    """Return a relay in the form of an upstream."""
    return Announcement(
        upstream=relay.name,
        service="",
        host=relay.address,
        port=relay.port,
        data_centre=relay.data_centre,
        version="",
        slots=0,
        state=UpstreamState.SERVING,
        incarnation=0,
        sequence=0,
    )


def count_granted_runs(exchange: Exchange) -> int:
    """Return how often a relay may run a request.

    One run is left for the case that the relay ends: it can't tell what it has sent.
    """
    return max(exchange.max_runs - exchange.runs - 1, 1)


def write_relayed_headers(
    exchange: Exchange, attempt: Attempt, now: float
) -> HeaderList:
    """Return the headers of a request to a relay."""
    remaining = exchange.deadline - now
    relayed = RelayedRequest(
        remaining=remaining if exchange.facts.budget is not None else None,
        model=find_bound_model(exchange),
        resume_after=exchange.splitter.last_id,
    )
    headers = exchange.context.dialect.write_relayed(
        strip_hop_headers(exchange.request.headers), relayed
    )
    crashes = b",".join(b"%x" % key for key in sorted(exchange.ended))
    max_runs = exchange.runs + attempt.granted_runs
    return [
        *headers,
        (RUNS_HEADER, str(exchange.runs).encode()),
        (ARRIVALS_HEADER, str(exchange.arrivals).encode()),
        (MAX_RUNS_HEADER, str(max_runs).encode()),
        (CRASHES_HEADER, crashes),
        (REASON_HEADER, attempt.choice.relay_reason.encode()),
    ]


def read_reason(headers: HeaderList) -> tuple[HeaderList, str]:
    """Return a relayed request's headers without the last reason, and that reason.

    It is empty from gateways of older releases, which relay for a lost path only.
    """
    rest, value = take_last(headers, REASON_HEADER)
    return rest, value.decode("latin-1")


def needs_room(reason: str) -> bool:
    """Return whether a relayed request may be served by the gateway that sent it."""
    return reason not in ("", HandOnReason.PATH)


def read_earlier(headers: HeaderList) -> tuple[HeaderList, EarlierAttempts]:
    """Return a relayed request's headers without its earlier attempts, and these."""
    headers, crashes = read_crashes(headers)
    headers, runs = read_count(headers, RUNS_HEADER)
    headers, arrivals = read_count(headers, ARRIVALS_HEADER)
    headers, max_runs = read_count(headers, MAX_RUNS_HEADER)
    # Gateways of older releases tell runs alone, each of which reached an upstream.
    arrivals = max(arrivals or 0, runs or 0)
    return headers, EarlierAttempts(runs or 0, arrivals, max_runs, crashes)


def read_count(headers: HeaderList, name: bytes) -> tuple[HeaderList, int | None]:
    """Return the headers without the last count of a name, and that, None without."""
    rest, value = take_last(headers, name)
    is_count = value.isdigit() and len(value) <= MAX_COUNT_DIGITS
    return rest, int(value) if is_count else None


def read_crashes(headers: HeaderList) -> tuple[HeaderList, frozenset[int]]:
    """Return a relayed request's headers without the last crashes, and their keys."""
    rest, value = take_last(headers, CRASHES_HEADER)
    try:
        return rest, frozenset(int(key, 16) for key in value.split(b",") if key)
    except ValueError:
        return rest, frozenset()


def read_relay_response(attempt: Attempt, headers: HeaderList) -> HeaderList:
    """Return a relay's response headers without what it tells of its attempts."""
    headers, attempt.relayed_upstream = read_upstream(headers)
    headers, attempt.told_runs = read_count(headers, RUNS_HEADER)
    headers, arrivals = read_count(headers, ARRIVALS_HEADER)
    attempt.told_arrivals = arrivals or 0
    return headers


def list_told_attempts(exchange: Exchange) -> HeaderList:
    """Return the headers that tell the gateway of a relayed request its attempts."""
    if not exchange.relayed:
        return []

    return [
        (RUNS_HEADER, str(exchange.runs).encode()),
        (ARRIVALS_HEADER, str(exchange.arrivals).encode()),
    ]


def read_upstream(headers: HeaderList) -> tuple[HeaderList, str]:
    """Return a relay's response headers without the upstream, and its id or ``""``."""
    rest, value = take_last(headers, UPSTREAM_HEADER)
    return rest, value.decode("latin-1")


def take_last(headers: HeaderList, name: bytes) -> tuple[HeaderList, bytes]:
    """Return the headers without the last one of this lower-case name, and its value.

    The value is empty if there is none.
    """
    for place in reversed(range(len(headers))):
        if headers[place][0].lower() == name:
            return headers[:place] + headers[place + 1 :], headers[place][1]

    return headers, b""


def make_response_headers(exchange: Exchange, attempt: Attempt) -> HeaderList:
    """Return the headers of an upstream's response for the caller.

    A gateway for which this one relays has to know which upstream leaves.
    """
    headers = strip_hop_headers(attempt.headers or []) + list_told_attempts(exchange)
    if exchange.relayed and attempt.facts is not None and attempt.facts.leaving:
        headers.append((UPSTREAM_HEADER, attempt.upstream.encode("latin-1")))

    return headers


def is_refused_by_relay(attempt: Attempt) -> bool:
    """Return whether a relay, not an upstream, guarantees that nothing has run."""
    if not attempt.relayed or attempt.facts is None or attempt.facts.signed:
        return False

    return attempt.status in REFUSAL_STATUSES


def record_relay_refusal(exchange: Exchange, attempt: Attempt) -> None:
    """Ask a relay that has refused for lack of room no more until it has room."""
    if needs_room(attempt.choice.relay_reason):
        drop_relay(exchange.context.room, attempt.upstream)
