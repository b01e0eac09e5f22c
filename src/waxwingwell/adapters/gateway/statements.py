"""What upstreams state in their responses about the requests that they take."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.limits import record_leave
from ...routing.limits import record_rejection
from ...routing.limits import record_rest
from ...routing.limits import record_statement
from ...routing.room import record_brittleness
from ..events import log_event


if TYPE_CHECKING:
    from ...routing.fleet import Announcement
    from .attempts import Attempt
    from .context import GatewayContext
    from .dialect import ResponseFacts


REJECTED_RATE_PART = 0.5
"""Part of the rejections that a brittle upstream tolerates to which its requests are
limited after it has rejected one."""


def record_statements(context: GatewayContext, attempt: Attempt, now: float) -> None:
    """Record a response's statements, or that it makes none.

    Only a response that the upstream itself has signed shows that a limit has ended.
    """
    facts = attempt.facts
    if facts is None:
        return

    if attempt.relayed:
        # The upstream has asked the relay for rest, not this gateway.
        if facts.leaving:
            record_stated_leave(context, attempt.relayed_upstream, now)

        return

    record_pauses(context, attempt.choice.placement.upstream, facts, now)
    if facts.not_run and facts.rejection_limit is not None:
        limit_rejecting(context, attempt, facts.rejection_limit, now)

    is_own = facts.signed and not facts.not_run
    if is_own or facts.rate_limit is not None:
        record_rate(context, attempt, facts.rate_limit, now)

    if is_own or facts.rejection_limit is not None:
        record_rejection_limit(context, attempt, facts.rejection_limit, now)


def record_pauses(
    context: GatewayContext, upstream: Announcement, facts: ResponseFacts, now: float
) -> None:
    """Record that an upstream leaves or asks for rest, as its response says."""
    if facts.leaving:
        record_stated_leave(context, upstream.upstream, now)

    if facts.rest is not None:
        name, incarnation = upstream.upstream, upstream.incarnation
        record_rest(context.limits, name, incarnation, facts.rest, now)


def record_stated_leave(context: GatewayContext, upstream: str, now: float) -> None:
    """Record that an upstream leaves."""
    held = context.fleet.upstreams.get(upstream)
    if held is None:
        return

    if record_leave(context.limits, upstream, held.announcement.incarnation, now):
        log_event("gateway: Upstream leaves", upstream=upstream)


def record_rejection_limit(
    context: GatewayContext, attempt: Attempt, rejections: float | None, now: float
) -> None:
    """Record the rejections per second beyond which a service's upstreams crash."""
    service = attempt.choice.service
    if record_brittleness(context.brittle, service, rejections, now):
        log_event("gateway: Service brittle", service=service, rejections=rejections)


def limit_rejecting(
    context: GatewayContext, attempt: Attempt, rejections: float, now: float
) -> None:
    """Limit the requests to a brittle upstream that has rejected one."""
    upstream = attempt.choice.placement.upstream
    rate = rejections * REJECTED_RATE_PART
    if record_rejection(
        context.limits, upstream.upstream, upstream.incarnation, rate, now
    ):
        log_event(
            "gateway: Upstream limit changed", upstream=upstream.upstream, rate=rate
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
