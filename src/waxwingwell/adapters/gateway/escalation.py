"""Use of a larger model, after a response of low confidence or from the start."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.delays import is_strained
from ...routing.load import estimate_usage
from ...routing.models import EscalationInputs
from ...routing.models import estimate_price
from ...routing.models import has_model_choice
from ...routing.models import record_confidence
from ...routing.models import should_escalate
from ...routing.models import should_start_larger
from ...routing.models import update_request_weight
from ...routing.retries import OPTIONAL_PART
from ..events import log_event
from .choice import choose_upstream
from .crashes import must_refuse
from .request_queue import estimate_queue_wait
from .retrying import has_retry_budget
from .retrying import may_run_again
from .sending import find_urgency


if TYPE_CHECKING:
    from .attempts import Attempt
    from .choice import Choice
    from .exchange import Exchange


def find_first_model(exchange: Exchange, now: float) -> str:
    """Return the model for the first attempt; empty for the route's smallest one."""
    route = exchange.route
    if not has_model_choice(route, exchange.facts.model) or len(route.models) < 2:
        return ""

    # Most requests end here, so the largest model is placed only where it may be used.
    poor_share = exchange.context.poor_shares.get(route.name)
    if poor_share is None or may_escalate_now(exchange, now):
        return ""

    larger = choose_largest(exchange, now)
    if larger is None:
        return ""

    inputs = make_escalation_inputs(exchange, larger, now)
    if not should_start_larger(poor_share, inputs, may_escalate=False):
        return ""

    log_event(
        "gateway: Larger model first",
        request=exchange.facts.request_id,
        model=larger.model,
        poor_share=round(poor_share, 2),
        pressure=round(larger.pressure, 2),
        usage=round(inputs.usage, 2),
        price=round(estimate_price(inputs), 2),
    )
    return larger.model


def may_escalate_now(exchange: Exchange, now: float) -> bool:
    """Return whether attempts and retry budget allow one more, optional run."""
    return may_run_again(exchange) and has_retry_budget(
        exchange, now, OPTIONAL_PART, is_choice=True
    )


def choose_largest(exchange: Exchange, now: float) -> Choice | None:
    """Return the choice for the route's largest model."""
    if exchange.index is None:
        return None

    return choose_upstream(
        exchange.context,
        exchange.index,
        exchange.route,
        exchange.facts,
        model=exchange.route.models[-1],
        excluded=exchange.tried_upstreams,
        response_started=False,
        limit=exchange.first_event_limit(now),
        now=now,
        remaining=exchange.deadline - now,
        urgency=find_urgency(exchange.route, exchange.workspace),
    )


def find_larger(exchange: Exchange, attempt: Attempt, now: float) -> Choice | None:
    """Return the choice of a larger model if it is worth its cost, or None."""
    facts = attempt.facts
    if facts is None or facts.confidence is None or attempt.relayed:
        return None

    sized = (
        has_model_choice(exchange.route, exchange.facts.model) and attempt.status < 300
    )
    if (
        not sized
        or exchange.model == exchange.route.models[-1]
        or exchange.responder.started
    ):
        return None

    route = exchange.route
    if exchange.model == route.models[0]:
        record_confidence(exchange.context.poor_shares, route.name, facts.confidence)

    if exchange.is_trial or must_refuse(exchange):
        return None

    if not may_escalate_now(exchange, now):
        return None

    if is_strained(exchange.context.delays, now):
        return None

    larger = choose_largest(exchange, now)
    if larger is None:
        return None

    inputs = make_escalation_inputs(exchange, larger, now)
    if not should_escalate(facts.confidence, inputs):
        return None

    log_event(
        "gateway: Larger model",
        request=exchange.facts.request_id,
        model=larger.model,
        confidence=facts.confidence,
        pressure=round(larger.pressure, 2),
        usage=round(inputs.usage, 2),
        price=round(estimate_price(inputs), 2),
    )
    return larger


def make_escalation_inputs(
    exchange: Exchange, larger: Choice, now: float
) -> EscalationInputs:
    """Return the inputs of the decision on an escalation.

    Also updates the route's typical request size.
    """
    request = exchange.facts
    services = exchange.index.services if exchange.index is not None else {}
    models = services[larger.service].models if larger.service in services else ()
    weight = update_request_weight(
        exchange.context.sizes,
        exchange.route.name,
        request.prompt_tokens,
        request.output_tokens,
    )
    wait = estimate_queue_wait(exchange.context.queues, larger.service, now)
    limit = max(exchange.first_event_limit(now), 0.001)
    return EscalationInputs(
        weight=weight,
        output_tokens=request.output_tokens,
        prompt_tokens=request.prompt_tokens,
        uncached=larger.placement.uncached,
        cost=next(
            (candidate.cost for candidate in models if candidate.name == larger.model),
            0.0,
        ),
        pressure=larger.pressure + wait / limit,
        usage=estimate_usage(exchange.context.load, larger.engines, now),
    )
