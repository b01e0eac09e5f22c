"""Comparison of the engines' speeds at a control, and what operators see of it."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.engine_comparison import count_slow
from ...routing.engine_comparison import is_comparison_due
from ...routing.engine_comparison import take_speeds
from ...routing.engine_comparison import update_deviations
from ...routing.fleet import UpstreamState
from ..events import log_event
from ..metrics import SLOW_ENGINES


if TYPE_CHECKING:
    from ...routing.engine_comparison import Engine
    from ...routing.messages import EngineSpeed
    from .context import RegistryContext


INVALID_LOG_SECONDS = 10.0
"""Shortest time between two lines on paces that were dropped."""


def list_speeds(context: RegistryContext, now: float) -> tuple[EngineSpeed, ...]:
    """Return the factors for the attached gateways, and log those that have changed."""
    table = context.reports.deviations
    paces = context.reports.paces
    if not is_comparison_due(table, paces, now):
        return ()

    services = {
        (name, held.announcement.incarnation): held.announcement.service
        for name, held in context.fleet.upstreams.items()
        if held.announcement.state is not UpstreamState.GONE
    }
    for change in update_deviations(table, paces, services, now):
        log_event(
            "registry: Engine speed changed",
            upstream=change.engine[0],
            incarnation=change.engine[1],
            service=services.get(change.engine, ""),
            factor=change.factor,
        )

    SLOW_ENGINES.set(count_slow(table))
    log_invalid(context, now)
    return take_speeds(table, now, list_tried(context))


def list_tried(context: RegistryContext) -> frozenset[Engine]:
    """Return the engines of versions of which only a part is in use on trial.

    Gateways must tell engines that are as fast as others from those that nobody uses.
    """
    targets = {
        (one.service, one.target)
        for one in context.state.rollouts.values()
        if one.state == "in_progress" and one.share < 1.0
    }
    announced = (held.announcement for held in context.fleet.upstreams.values())
    return frozenset(
        (one.upstream, one.incarnation)
        for one in announced
        if (one.service, one.version) in targets
    )


def log_invalid(context: RegistryContext, now: float) -> None:
    """Log how many paces were dropped as invalid, once in a while."""
    table = context.reports.paces
    last = context.last_runs.get("invalid paces")
    if not table.invalid or (last is not None and now - last < INVALID_LOG_SECONDS):
        return

    context.last_runs["invalid paces"] = now
    log_event("registry: Invalid paces dropped", count=table.invalid)
    table.invalid = 0
