"""Periodic tasks of the leader: leases, sweeps, roll-outs and load orders."""

from __future__ import annotations

from typing import TYPE_CHECKING

from loguru import logger
from twisted.internet.defer import Deferred

from ...decisions.rollouts import step_rollouts
from ...messages import StepRollout
from ...state.catalogue import rollout_subject
from ...state.evidence import list_evidence
from ...state.group import leads
from ...state.group import term_of
from ...state.group import tick_group
from ...state.leases import EntryLeases
from ...state.leases import make_sweeps
from ...state.ledger import list_open_entries
from ..exceptions import HaltedError
from .orders import reconcile_orders
from .service import request_flush
from .service import submit


if TYPE_CHECKING:
    from ...messages import Message
    from .context import ControlContext


TICK = 0.02
"""Seconds between ticks of the replicated log."""
SWEEP_SECONDS = 1.0
"""Seconds between sweeps of abandoned ledger rows."""
STEP_SECONDS = 1.0
"""Seconds between evaluations of the roll-outs."""
ORDER_SECONDS = 2.0
"""Seconds between reconciliations of load orders."""
OPERATOR = "leader"
"""Operator recorded for the changes that the leader proposes."""


def run_tick(context: ControlContext) -> None:
    """Run the tasks that are due; called every ``TICK`` seconds."""
    now = context.clock()
    check_group(context)
    tick_group(context.group, now)
    request_flush(context)
    if not leads(context.group, now):
        context.leases = None
        return

    _ensure_leases(context, now)
    _sweep_abandoned(context, now)
    _step_rollouts(context, now)
    _start_reconciliation(context, now)


def check_group(context: ControlContext) -> None:
    """Raise ``HaltedError`` if this member can't continue without a restart.

    After a full disk or a failed sync, memory may differ from the disk, so the group
    guarantees nothing any more; a process that stayed up would look healthy and serve
    nobody.
    """
    if context.group.halted:
        raise HaltedError(f"the replicated log stopped: {context.group.halted}")

    if context.group.replica.expelled:
        text = "this member was removed; empty its data folder to rejoin"
        raise HaltedError(text)


def _ensure_leases(context: ControlContext, now: float) -> None:
    term = term_of(context.group)
    if context.leases is not None and context.leases_term == term:
        return

    logger.info("control: {} leads in term {}.", context.settings.node, term)
    context.leases = EntryLeases(elected_at=now)
    context.leases_term = term


def _sweep_abandoned(context: ControlContext, now: float) -> None:
    """Close the open ledger rows of dead entries once their lease has expired."""
    if context.leases is None or now - context.swept_at < SWEEP_SECONDS:
        return

    context.swept_at = now
    open_entries = list_open_entries(context.holder.state.ledger)
    sweeps = make_sweeps(context.leases, open_entries, now, at=context.wall_clock())
    for sweep in sweeps:
        logger.info("control: Sweeping open rows of {}.", sweep.entry)
        submit(context, sweep)


def _step_rollouts(context: ControlContext, now: float) -> None:
    """Propose the roll-out steps that the evidence calls for.

    The change id is derived from roll-out, revision and step, so a step that this
    leader or the next one proposes again takes effect only once.
    """
    if now - context.stepped_at < STEP_SECONDS:
        return

    context.stepped_at = now
    config = context.holder.state.config
    evidence = list_evidence(context.holder.state.evidence)
    steps = step_rollouts(config.rollouts, evidence, context.wall_clock())
    for step in steps:
        revision = config.revisions.get(rollout_subject(step.model), 0)
        name = f"{step.model}-{revision}-{step.status.value}-{step.stage}"
        change = StepRollout(
            change_id=f"auto-{name}",
            operator=OPERATOR,
            expected_revision=revision,
            at=context.wall_clock(),
            model=step.model,
            stage=step.stage,
            status=step.status.value,
            reason=step.reason,
        )
        logger.info("control: Roll-out {}: {}.", name, step.reason)
        submit(context, change).addCallback(_log_outcome)


def _start_reconciliation(context: ControlContext, now: float) -> None:
    if now - context.ordered_at < ORDER_SECONDS:
        return

    context.ordered_at = now
    Deferred.fromCoroutine(reconcile_orders(context, context.orders)).addErrback(
        lambda failure: logger.error(
            "control: Reconciling orders failed: {}.", failure.getTraceback()
        )
    )


def _log_outcome(outcome: Message) -> None:
    logger.info("control: Roll-out step: {}.", outcome)
