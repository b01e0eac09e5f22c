"""Roll-out control at the leader: collects evidence and proposes steps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.exposure import ExposureLimits
from ...routing.fleet import UpstreamState
from ...routing.messages import EndRollout
from ...routing.messages import GrowRollout
from ...routing.outcomes import Outcomes
from ...routing.regressions import Snapshot
from ...routing.regressions import record_snapshot
from ...routing.reports import list_gateways_without_state
from ...routing.rollouts import awaits_warm_up
from ...routing.rollouts import step_rollout
from ...routing.version_evidence import EvidenceTable
from ...routing.version_evidence import add_evidence
from ...routing.version_evidence import record_counters
from ...routing.version_evidence import split_evidence
from ..events import log_event
from .api import submit
from .context import RolloutWatch
from .hub import is_due
from .members import is_leading


if TYPE_CHECKING:
    from ...routing.fleet import Upstream
    from ...routing.messages import RolloutState
    from ...routing.version_evidence import Evidence
    from .context import RegistryContext


STEP_SECONDS = 0.25
"""Seconds between checks of the evidence; gateways report as often."""


def watch_rollouts(context: RegistryContext, now: float) -> None:
    """Check each roll-out in progress if this process leads."""
    if not is_leading(context, now) or not is_due(context, "steps", STEP_SECONDS, now):
        return

    for rollout in list(context.state.rollouts.values()):
        if rollout.state == "in_progress":
            advance_rollout(context, rollout, now)


def advance_rollout(
    context: RegistryContext, rollout: RolloutState, now: float
) -> None:
    """Propose the next step of a roll-out, if one is due."""
    watch = find_watch(context, rollout, now)
    gather_evidence(context, rollout, watch)
    if awaits_warm_up(
        rollout, list_limited_target(context, rollout), now - watch.started_at, now
    ):
        return

    target, former = split_evidence(watch.evidence, rollout.target)
    elapsed = now - watch.started_at
    sides = [{"": convert_evidence(one)} for one in (target, former)]
    record_snapshot(watch.history, Snapshot(elapsed, *sides))
    step = step_rollout(rollout, watch.history, ExposureLimits(), elapsed)
    if not step.ended and step.share <= rollout.share:
        return

    log_event(
        "registry: Roll-out step",
        service=rollout.service,
        target=rollout.target,
        share=step.share,
        ended=step.ended,
        completed=step.completed,
        reason=step.reason,
        elapsed=round(now - watch.started_at, 2),
        answers=target.answers,
        failures=target.failures,
        untold=list_gateways_without_state(context.reports),
    )
    if step.ended:
        command = EndRollout(
            service=rollout.service,
            target=rollout.target,
            ordered_at=rollout.ordered_at,
            completed=step.completed,
        )
        submit(context, command)
        return

    grown = GrowRollout(
        service=rollout.service,
        target=rollout.target,
        ordered_at=rollout.ordered_at,
        share=step.share,
    )
    submit(context, grown)


def convert_evidence(evidence: Evidence) -> Outcomes:
    """Return evidence over all kinds of requests as outcomes of one kind."""
    return Outcomes(
        sent=evidence.answers, answers=evidence.answers, failures=evidence.failures
    )


def find_watch(
    context: RegistryContext, rollout: RolloutState, now: float
) -> RolloutWatch:
    """Return the watch of a roll-out, or create it on a new leader.

    A new leader derives the start from the wall clock. The age is limited to the
    roll-out's duration, as wall clocks may have jumped.
    """
    key = (rollout.service, rollout.ordered_at)
    watch = context.watches.get(key)
    if watch is None:
        age = context.wall_clock() - rollout.ordered_at
        age = min(max(age, 0.0), rollout.duration)
        baseline = {
            (gateway, part.version): add_evidence([part])
            for gateway, known in context.reports.evidence.items()
            for part in known.versions
            if part.service == rollout.service and part.version != rollout.target
        }
        watch = RolloutWatch(now - age, EvidenceTable(last_counters=baseline))
        context.watches[key] = watch

    return watch


def list_limited_target(
    context: RegistryContext, rollout: RolloutState
) -> list[Upstream]:
    """Return the target's serving upstreams if the service limits cold ones."""
    document = context.state.document
    services = () if document is None else document.services
    limited = {one.name for one in services if one.warm_up_rate > 0}
    if rollout.service not in limited:
        return []

    return [
        held
        for held in context.fleet.upstreams.values()
        if held.announcement.service == rollout.service
        and held.announcement.version == rollout.target
        and held.announcement.state is UpstreamState.SERVING
    ]


def gather_evidence(
    context: RegistryContext, rollout: RolloutState, watch: RolloutWatch
) -> None:
    """Count the evidence that gateways have reported since the last check."""
    for gateway, known in context.reports.evidence.items():
        parts = [one for one in known.versions if one.service == rollout.service]
        record_counters(watch.evidence, gateway, parts)
