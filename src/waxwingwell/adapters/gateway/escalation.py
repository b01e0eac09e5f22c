"""Asking a larger model where the smallest one is unsure of its answer."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.load import estimate_usage
from ...routing.models import is_sized
from ...routing.models import wants_larger
from ...routing.retries import CHOICE_PART
from ..events import log_event
from .choice import choose_upstream


if TYPE_CHECKING:
    from .attempts import Attempt
    from .choice import Choice
    from .exchange import Exchange


def find_larger(exchange: Exchange, attempt: Attempt, now: float) -> Choice | None:
    """Return where a larger model can do better than an unsure answer, or None."""
    index = exchange.index
    facts = attempt.facts
    if index is None or facts is None or facts.confidence is None:
        return None

    sized = is_sized(exchange.route, exchange.facts.model) and attempt.status < 300
    if (
        not sized
        or exchange.model == exchange.route.models[-1]
        or exchange.responder.started
    ):
        return None

    if not exchange.may_run_again() or not exchange.is_in_budget(now, CHOICE_PART):
        return None

    larger = choose_upstream(
        exchange.context,
        index,
        exchange.route,
        exchange.facts,
        model=exchange.route.models[-1],
        avoided=exchange.met,
        begun=False,
        limit=exchange.first_limit(now),
        now=now,
    )
    if larger is None:
        return None

    usage = estimate_usage(exchange.context.load, larger.engines, now)
    if not wants_larger(facts.confidence, larger.pressure, usage):
        return None

    log_event(
        "gateway: Larger model",
        request=exchange.facts.request_id,
        model=larger.model,
        confidence=facts.confidence,
        pressure=round(larger.pressure, 2),
        usage=round(usage, 2),
    )
    return larger
