"""Selection of service, model and upstream for a request from the gateway's tables."""

from __future__ import annotations

import math
from dataclasses import dataclass
from functools import partial
from typing import TYPE_CHECKING

from ...routing.canaries import list_canaries
from ...routing.canaries import prefer_canaries
from ...routing.canaries import rank_upstreams
from ...routing.capacity import limit_slots
from ...routing.capacity import list_factors
from ...routing.capacity import sum_capacity
from ...routing.engine_speeds import find_duration_factor
from ...routing.fleet import MISSED_HEARTBEATS
from ...routing.fleet import UpstreamState
from ...routing.fleet import list_serving
from ...routing.health import is_backing_off
from ...routing.limits import is_leaving
from ...routing.load import estimate_output_tokens
from ...routing.load import get_total_load
from ...routing.models import find_pool
from ...routing.models import first_model
from ...routing.models import has_model_choice
from ...routing.output_pace import estimate_output_token_ms
from ...routing.placement import Demand
from ...routing.placement import Placement
from ...routing.placement import PlacementContext
from ...routing.placement import place_request
from ...routing.pools import Pool
from ...routing.pools import list_pool
from ...routing.prefill_speed import estimate_token_ms
from ...routing.reachability import is_cut_off
from ...routing.rollouts import hash_share
from ...routing.sessions import find_last_version
from ...routing.sessions import find_settled_share
from ...routing.versions import holds_lease
from ...routing.versions import list_allowed_upstreams
from .restrictions import get_rest_seconds
from .restrictions import has_restrictions
from .restrictions import may_use


if TYPE_CHECKING:
    from collections.abc import Collection

    from ...routing.fleet import Announcement
    from ...routing.fleet import Upstream
    from ...routing.lookup import DocumentIndex
    from ...routing.messages import RolloutState
    from ...routing.records import Route
    from ...routing.records import Service
    from .context import GatewayContext
    from .dialect import RequestFacts


HEARTBEAT_SECONDS = 1.2
"""Approximate interval of the upstreams' heartbeats."""
NO_UPSTREAMS: frozenset[str] = frozenset()
UNRESPONSIVE_SECONDS = HEARTBEAT_SECONDS * MISSED_HEARTBEATS
"""Seconds without a heartbeat after which an upstream counts as unresponsive."""


@dataclass(frozen=True, slots=True)
class Choice:
    """The service, model and upstream selected for a request."""

    service: str
    session: str
    """Key shared by all requests of a session."""
    model: str
    placement: Placement
    pressure: float
    """Expected wait divided by the time left until the first event is due."""
    pool: Pool
    engines: float
    """Capacity of the pool of its model, in median engines."""
    relayed: bool = False
    """Whether ``placement`` names another gateway instead of an upstream."""
    relay_reason: str = ""
    """Why another gateway is asked; empty if none is."""
    in_pool: bool = True
    """Whether the upstream is in the pool of its model."""


def choose_service(route: Route, key: str) -> str:
    """Return one of a route's services by weight, always the same for the same key."""
    if len(route.targets) == 1:
        return route.targets[0].service

    total = sum(target.weight for target in route.targets)
    point = hash_share(f"{route.name}/{key}") * total
    for target in route.targets:
        point -= target.weight
        if point < 0:
            return target.service

    return next(
        candidate.service
        for candidate in reversed(route.targets)
        if candidate.weight > 0
    )


def choose_upstream(
    context: GatewayContext,
    index: DocumentIndex,
    route: Route,
    facts: RequestFacts,
    *,
    model: str,
    excluded: set[str],
    response_started: bool,
    limit: float,
    now: float,
    remaining: float = 0.0,
    urgency: int | None = None,
) -> Choice | None:
    """Return the choice for the next attempt, or None if no upstream may run it.

    ``model`` is the one that an earlier attempt used, if any; ``limit`` is the number
    of seconds within which the first event is due, ``remaining`` that until the
    caller's deadline, 0 if it is unknown. Upstreams in ``excluded`` are not chosen.
    ``response_started`` says that the caller has received a part of the response.

    If the only upstream of a version that is being rolled out fails, its streams would
    be cut although upstreams of the former version are free. So a request whose
    response has started may leave its session's version; any other keeps it, because
    its caller can retry.
    """
    key = find_session_key(facts)
    service = choose_service(route, key)
    record = index.services.get(service)
    if record is None:
        return None

    spent = excluded if response_started else set()
    allowed = list_candidates(context, service, key, now, spent)
    untried = [one for one in allowed if one.upstream not in excluded]
    if has_restrictions(context, record):
        untried = [one for one in untried if may_use(context, record, one, now)]

    if not model and has_model_choice(route, facts.model):
        model = first_model(route)

    trial = find_trial(context, service, allowed, now)
    ranked = allowed if trial is None else rank_upstreams(allowed, trial.ordered_at)
    canaries = allowed if trial is None else list_canaries(ranked, trial.share)
    kind = find_pool(route, facts.model, model)
    factors = list_factors(context.engine_speeds, allowed, now)
    wanted = model or facts.model
    demand = Demand(
        service=record,
        model=wanted,
        prompt_tokens=facts.prompt_tokens,
        prompt_blocks=facts.prompt_blocks,
        token_ms=estimate_token_ms(context.speeds, route.models, model),
        pause_ms=route.pause * 1000,
        pool=list_pool([one.upstream for one in canaries], kind, factors),
        output_tokens=estimate_output_tokens(
            facts.expected_output, facts.output_tokens
        ),
        output_token_ms=estimate_output_token_ms(context.output_paces, wanted),
        time_left_ms=max(remaining, 0.0) * 1000,
        urgency=urgency,
    )
    placement = None
    if trial is not None:
        is_ready = partial(is_ready_for_trial, context, record, now=now)
        preferred = prefer_canaries(ranked, untried, trial.share, is_ready)
        placement = place(context, demand, preferred, now)

    if placement is None or placement.wait / 1000 > limit:
        placement = place(context, demand, untried, now)

    if placement is None:
        return None

    pressure = placement.wait / 1000 / max(limit, 0.001)
    members = list_pool([one.upstream for one in allowed], kind, factors)
    chosen = placement.upstream.upstream
    return Choice(
        service=service,
        session=key,
        model=model,
        placement=placement,
        pressure=pressure,
        pool=kind,
        engines=sum_capacity(factors, members),
        in_pool=chosen in members or chosen in demand.pool,
    )


def find_trial(
    context: GatewayContext,
    service: str,
    allowed: Collection[Announcement],
    now: float,
) -> RolloutState | None:
    """Return the roll-out that sends a part of the requests to some upstreams."""
    rollout = context.rollouts.get(service)
    if rollout is None or rollout.state != "in_progress" or rollout.share >= 1.0:
        return None

    if not holds_lease(context.control_seen_at, now):
        return None

    return rollout if any(one.version == rollout.target for one in allowed) else None


def is_ready_for_trial(
    context: GatewayContext, service: Service, upstream: Announcement, now: float
) -> bool:
    """Return whether an upstream is warm, reachable and has room.

    A slow one has room for a share of its slots in proportion to its speed, at least
    for one request.
    """
    if upstream.warming > 0 or is_backing_off(context.health, upstream.upstream, now):
        return False

    slots = upstream.slots or service.slots or 1
    factor = find_duration_factor(
        context.engine_speeds, upstream.upstream, upstream.incarnation, now
    )
    room = max(limit_slots(slots, factor), 1.0)
    return get_total_load(context.load, upstream.upstream).running < room


def place(
    context: GatewayContext,
    demand: Demand,
    candidates: Collection[Announcement],
    now: float,
) -> Placement | None:
    """Return the best of some upstreams by this gateway's tables."""
    tables = PlacementContext(
        data_centre=context.settings.data_centre,
        load=context.load,
        health=context.health,
        prefixes=context.prefixes,
        engine_speeds=context.engine_speeds,
    )
    return place_request(demand, candidates, tables, now, context.random.random)


def find_shortest_rest(
    context: GatewayContext, upstreams: Collection[Announcement], now: float
) -> float:
    """Return the seconds until the first of some upstreams has rested; 0 if one has."""
    return min((get_rest_seconds(context, one, now) for one in upstreams), default=0.0)


def explain_missing_upstream(context: GatewayContext, service: str, now: float) -> str:
    """Return why no upstream of a service may be used, for the log."""
    if is_cut_off(context.path):
        return "no path to any upstream"

    if list_staying(context, service, -math.inf, now):
        return "no upstream left"

    if context.evacuated and list_serving(
        context.fleet, service, heard_after=-math.inf, now=now
    ):
        return "all data centres of the service are evacuated"

    return "the service has no upstream"


def find_session_key(facts: RequestFacts) -> str:
    """Return the key shared by all requests of a session."""
    if facts.session:
        return facts.session

    if facts.prompt_blocks:
        return facts.prompt_blocks[-1][0]

    return facts.request_id


def list_candidates(
    context: GatewayContext,
    service: str,
    session: str,
    now: float,
    spent: Collection[str] = (),
) -> list[Announcement]:
    """Return the upstreams that may run a session's request.

    One that leaves counts as gone: its session's version does not hold a session back.
    Heartbeats arrive through the controls, so missing ones count only up to the last
    report of a control. If all upstreams of the version seem unresponsive, the controls
    lack announcements: all are used then, because an attempt at a dead upstream only
    costs a failed connection, while refusing costs the request, and another version
    may be bad.
    """
    current = find_current_version(context, service, now)
    list_allowed = partial(
        list_allowed_now, context, service=service, session=session, now=now
    )
    heard_after = context.heartbeats_at - UNRESPONSIVE_SECONDS
    serving = list_staying(context, service, heard_after, now)
    allowed = list_allowed(serving, current=current, spent=spent)
    if allowed:
        return allowed

    serving = list_staying(context, service, -math.inf, now)
    if not is_version_serving(context, service, current):
        current = ""

    return list_allowed(serving, current=current, spent=spent)


def list_allowed_now(
    context: GatewayContext,
    serving: list[Announcement],
    *,
    service: str,
    session: str,
    now: float,
    current: str,
    spent: Collection[str],
) -> list[Announcement]:
    """Return those of some upstreams whose version a session may use at present."""
    rollout = context.rollouts.get(service)
    sessions = context.sessions
    leased = holds_lease(context.control_seen_at, now)
    return list_allowed_upstreams(
        serving,
        rollout,
        current=current,
        session=session,
        last=find_last_version(sessions, (service, session), now),
        session_life=context.settings.session_life,
        now=now,
        spent=spent,
        kept=sessions.kept,
        settled_share=find_settled_share(sessions, rollout),
        leased=leased,
        unreachable=() if leased else list_unreachable(context, serving, now),
    )


def list_unreachable(
    context: GatewayContext, upstreams: Collection[Announcement], now: float
) -> list[str]:
    """Return the upstreams that could not be reached lately."""
    return [
        one.upstream
        for one in upstreams
        if is_backing_off(context.health, one.upstream, now)
    ]


def find_current_version(context: GatewayContext, service: str, now: float) -> str:
    """Return the version in use apart from a roll-out; empty if it is not known.

    Until a roll-out has named it, it is the version of the upstream that started first.
    """
    rollout = context.rollouts.get(service)
    if rollout is not None and rollout.former:
        return rollout.former

    if service not in context.established:
        serving = [
            one
            for one in list_staying(context, service, -math.inf, now)
            if rollout is None or one.version != rollout.target
        ]
        if serving:
            oldest = min(serving, key=lambda candidate: candidate.incarnation)
            context.established[service] = oldest.version

    return context.established.get(service, "")


def is_version_serving(context: GatewayContext, service: str, version: str) -> bool:
    """Return whether an upstream of a version serves, evacuated ones included."""
    return any(
        held.announcement.service == service
        and held.announcement.version == version
        and held.announcement.state is UpstreamState.SERVING
        for held in context.fleet.upstreams.values()
    )


def list_staying(
    context: GatewayContext, service: str, heard_after: float, now: float
) -> list[Announcement]:
    """Return the serving upstreams that have not said in a response that they leave."""
    serving = list_serving(
        context.fleet,
        service,
        heard_after=heard_after,
        now=now,
        evacuated=context.evacuated,
    )
    if not context.limits.leaves:
        return serving

    upstreams = context.fleet.upstreams
    return [one for one in serving if not has_left(context, upstreams[one.upstream])]


def has_left(context: GatewayContext, upstream: Upstream) -> bool:
    """Return whether an upstream has said in a response that it leaves."""
    announced = upstream.announcement
    return is_leaving(
        context.limits, announced.upstream, announced.incarnation, upstream.heard_at
    )


def may_still_use(
    context: GatewayContext,
    choice: Choice,
    rollout: RolloutState | None,
    spent: Collection[str],
    now: float,
) -> bool:
    """Return whether the upstream of an earlier choice may still be used.

    ``rollout`` is the roll-out of its service as the choice was made.
    """
    chosen = choice.placement.upstream
    held = context.fleet.upstreams.get(chosen.upstream)
    if held is None or held.announcement.incarnation != chosen.incarnation:
        return False

    announced = held.announcement
    is_serving = announced.state is UpstreamState.SERVING
    if not is_serving or announced.data_centre in context.evacuated:
        return False

    if context.limits.leaves and has_left(context, held):
        return False

    if context.rollouts.get(choice.service) is rollout:
        return True

    allowed = list_candidates(context, choice.service, choice.session, now, spent)
    return any(one.upstream == chosen.upstream for one in allowed)
