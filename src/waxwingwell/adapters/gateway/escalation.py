"""Escalation to a larger model where the smallest one has low confidence."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.load import estimate_usage
from ...routing.models import EscalationInputs
from ...routing.models import estimate_price
from ...routing.models import has_model_choice
from ...routing.models import should_escalate
from ...routing.models import update_request_weight
from ...routing.retries import OPTIONAL_PART
from ..events import log_event
from .choice import choose_upstream


if TYPE_CHECKING:
    from .attempts import Attempt
    from .choice import Choice
    from .exchange import Exchange


def find_larger(exchange: Exchange, attempt: Attempt, now: float) -> Choice | None:
    """Return the choice of a larger model if it is worth its cost, or None."""
    index = exchange.index
    facts = attempt.facts
    if index is None or facts is None or facts.confidence is None:
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

    if not exchange.may_run_again() or not exchange.has_retry_budget(
        now, OPTIONAL_PART
    ):
        return None

    larger = choose_upstream(
        exchange.context,
        index,
        exchange.route,
        exchange.facts,
        model=exchange.route.models[-1],
        excluded=exchange.tried_upstreams,
        response_started=False,
        limit=exchange.first_event_limit(now),
        now=now,
    )
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
    return EscalationInputs(
        weight=weight,
        output_tokens=request.output_tokens,
        prompt_tokens=request.prompt_tokens,
        uncached=larger.placement.uncached,
        cost=next(
            (candidate.cost for candidate in models if candidate.name == larger.model),
            0.0,
        ),
        pressure=larger.pressure,
        usage=estimate_usage(exchange.context.load, larger.engines, now),
    )
