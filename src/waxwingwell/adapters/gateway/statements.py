"""What upstreams state in their responses about the requests that they take."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.limits import record_statement
from ...routing.room import record_brittleness
from ..events import log_event


if TYPE_CHECKING:
    from .attempts import Attempt
    from .context import GatewayContext


REJECTED_RATE_PART = 0.5
"""Part of the rejections that a brittle upstream tolerates to which its requests are
limited after it has rejected one."""


def record_statements(context: GatewayContext, attempt: Attempt, now: float) -> None:
    """Record a response's statements, or that it makes none.

    Only a response that the upstream itself has signed shows that a limit has ended.
    """
    facts = attempt.facts
    if facts is None or attempt.relayed:
        return

    rate = facts.rate_limit
    if facts.not_run and facts.rejection_limit is not None:
        rejected_rate = facts.rejection_limit * REJECTED_RATE_PART
        rate = rejected_rate if rate is None else min(rate, rejected_rate)

    if rate is None and (facts.not_run or not facts.signed):
        return

    record_rate(context, attempt, rate, now)
    service = attempt.choice.service
    if record_brittleness(context.brittle, service, facts.rejection_limit, now):
        log_event(
            "gateway: Service brittle",
            service=service,
            rejections=facts.rejection_limit,
        )


def record_rate(
    context: GatewayContext, attempt: Attempt, rate: float | None, now: float
) -> None:
    """Record the requests per second that an upstream takes; None without a limit."""
    upstream = attempt.choice.placement.upstream
    if record_statement(
        context.limits,
        upstream.upstream,
        upstream.incarnation,
        rate,
        sent_at=attempt.started_at,
        now=now,
    ):
        log_event(
            "gateway: Upstream limit changed", upstream=upstream.upstream, rate=rate
        )
