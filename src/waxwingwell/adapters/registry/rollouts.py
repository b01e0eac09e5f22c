"""Roll-out control: all registries collect evidence, the leader proposes steps."""

from __future__ import annotations

from typing import TYPE_CHECKING

from ...routing.evidence_history import Snapshot
from ...routing.evidence_history import record_snapshot
from ...routing.fleet import UpstreamState
from ...routing.messages import EndRollout
from ...routing.messages import GrowRollout
from ...routing.outcomes import add_outcomes
from ...routing.reports import EVIDENCE_RESEND_SECONDS
from ...routing.reports import count_reporting
from ...routing.reports import list_gateways_without_state
from ...routing.rollouts import awaits_warm_up
from ...routing.rollouts import step_rollout
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
    from ...routing.rollouts import Step
    from .context import RegistryContext


STEP_SECONDS = 0.25
"""Seconds between checks of the evidence; gateways report as often."""
GATHER_SECONDS = EVIDENCE_RESEND_SECONDS + 2 * STEP_SECONDS
"""Seconds within which the evidence of all reachable gateways is received."""
DEADLINE_MARGIN_SECONDS = 0.5
"""Seconds before a roll-out's deadline from which missing evidence delays no step."""


def watch_rollouts(context: RegistryContext, now: float) -> None:
    """Gather the evidence on each roll-out in progress, and advance it as the leader.

    The evidence is gathered at all registries, so that a new leader has all of it.
    """
    if not is_due(context, "steps", STEP_SECONDS, now):
        return

    in_progress = [
        one for one in context.state.rollouts.values() if one.state == "in_progress"
    ]
    drop_watches(context, in_progress)
    leading = is_leading(context, now)
    for rollout in in_progress:
        if leading:
            advance_rollout(context, rollout, now)
        else:
            gather_evidence(context, rollout, find_watch(context, rollout, now), now)


def drop_watches(context: RegistryContext, in_progress: list[RolloutState]) -> None:
    """Drop the watches of roll-outs that have ended."""
    known = {(one.service, one.ordered_at) for one in in_progress}
    for key in context.watches.keys() - known:
        del context.watches[key]


def advance_rollout(
    context: RegistryContext, rollout: RolloutState, now: float
) -> None:
    """Propose the next step of a roll-out, if one is due."""
    watch = find_watch(context, rollout, now)
    snapshot = gather_evidence(context, rollout, watch, now)
    elapsed = now - watch.started_at
    if awaits_warm_up(rollout, list_limited_target(context, rollout), elapsed, now):
        return

    step = step_rollout(rollout, watch.history, context.settings.exposure, elapsed)
    if not step.ended and step.share <= rollout.share:
        return

    if not step.urgent and lacks_evidence(context, rollout, watch, now):
        return

    log_step(context, rollout, step, snapshot)
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


def log_step(
    context: RegistryContext, rollout: RolloutState, step: Step, snapshot: Snapshot
) -> None:
    """Log a step and the evidence behind it."""
    target = add_outcomes(snapshot.target.values())
    former = add_outcomes(snapshot.former.values())
    log_event(
        "registry: Roll-out step",
        service=rollout.service,
        target=rollout.target,
        share=step.share,
        ended=step.ended,
        completed=step.completed,
        reason=step.reason,
        elapsed=round(snapshot.elapsed, 2),
        sent=target.sent,
        answers=target.answers,
        failures=target.failures,
        breaks=target.breaks,
        crashes=target.crashes,
        former_sent=former.sent,
        former_answers=former.answers,
        former_failures=former.failures,
        former_breaks=former.breaks,
        former_crashes=former.crashes,
        untold=list_gateways_without_state(context.reports),
    )


def find_watch(
    context: RegistryContext, rollout: RolloutState, now: float
) -> RolloutWatch:
    """Return the watch of a roll-out, or create it.

    A process that learns of a roll-out after its first share has to wait for the
    evidence that was reported before, and with it for the age of the roll-out. Wall
    clocks differ between machines, so the time of the order does not tell it.
    """
    key = (rollout.service, rollout.ordered_at)
    watch = context.watches.get(key)
    if watch is None:
        wait = GATHER_SECONDS if rollout.share > 0.0 else 0.0
        watch = context.watches[key] = RolloutWatch(now, now + wait)

    return watch


def lacks_evidence(
    context: RegistryContext, rollout: RolloutState, watch: RolloutWatch, now: float
) -> bool:
    """Return whether a share must not grow yet, as evidence may be missing.

    The first share needs no evidence. Gateways that stay away are waited for once: they
    may be gone for good.
    """
    if rollout.share <= 0.0:
        return False

    if now < watch.complete_at:
        return True

    due_at = watch.started_at + rollout.duration - DEADLINE_MARGIN_SECONDS
    if now >= due_at:
        return False

    known, expected = count_reporting(context.reports)
    if known >= expected:
        watch.short_since = None
        return False

    if watch.short_since is None:
        watch.short_since = now

    return now < watch.short_since + GATHER_SECONDS


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
    context: RegistryContext, rollout: RolloutState, watch: RolloutWatch, now: float
) -> Snapshot:
    """Record the evidence that gateways have reported, and return it."""
    for gateway, known in context.reports.evidence.items():
        if known.received_at < watch.gathered_at:
            continue

        parts = [
            one
            for one in known.versions
            if (one.service, one.ordered_at) == (rollout.service, rollout.ordered_at)
        ]
        record_counters(watch.evidence, gateway, known.run, parts, known.received_at)
        for part in parts:
            began_at = known.received_at - part.age
            watch.started_at = min(watch.started_at, began_at)

    watch.gathered_at = now
    target, former = split_evidence(watch.evidence, rollout.target, now)
    snapshot = Snapshot(now - watch.started_at, target, former)
    record_snapshot(watch.history, snapshot)
    return snapshot
