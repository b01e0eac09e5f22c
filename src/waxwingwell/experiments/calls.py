"""The life cycle of a caller's request at an entry and its engines."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..decisions.admission import admit
from ..decisions.admission import release
from ..decisions.queue import dequeue_next
from ..decisions.queue import place_work
from ..decisions.queue import remove_waiting
from ..decisions.retries import DispatchState
from ..decisions.retries import is_retry_safe
from ..decisions.retries import may_retry
from ..decisions.retries import record_request
from ..decisions.tables import Refusal
from ..decisions.upstreams import UpstreamChoice
from ..decisions.upstreams import choose_upstream
from ..decisions.upstreams import record_dispatch
from ..decisions.upstreams import record_finish
from ..decisions.upstreams import record_missed_deadline
from ..records import UpstreamId
from .engines import Job
from .engines import cancel_job
from .engines import submit_job
from .entries import CALLER_TIMEOUT_SECONDS
from .entries import VERSION
from .entries import apply_ablation
from .events import call_at
from .world import Call


if TYPE_CHECKING:
    from .entries import Entry
    from .world import RequestRecord
    from .world import World


FIRST_TOKEN_TIMEOUT_SECONDS = 3.0
"""Seconds without a first token after which a request's engine is checked."""


def start_call(world: World, record: RequestRecord) -> None:
    """Send a caller's request to an entry."""
    record.attempts += 1
    request = apply_ablation(world.policy, record.request)
    call = Call(record, request, world.entries[request.entry])
    world.calls[request.work.request] = call
    call_at(
        world.clock,
        world.clock.now + CALLER_TIMEOUT_SECONDS,
        lambda: abandon_call(world, call),
    )
    if world.policy.rule is not None:
        engines = list(world.engines.values())
        name = world.policy.rule(call.entry, engines, request, world.random)
        dispatch_call(world, call, name)
        return

    now = world.clock.now
    record_request(call.entry.budget, now)
    if isinstance(admit(call.entry.tables, request.work, now), Refusal):
        record_outcome(world, call, "refused")
        return

    draw = world.random.random()
    placed = place_work(call.entry.tables, request.work, VERSION, now=now, draw=draw)
    if isinstance(placed, UpstreamChoice):
        dispatch_call(world, call, placed.upstream)
    elif isinstance(placed, Refusal):
        finish_call(world, call, "refused")
    else:
        dispatch_waiting(world, call.entry)


def dispatch_waiting(world: World, entry: Entry) -> None:
    """Dispatch every queued request for which an engine has capacity."""
    while True:
        taken = dequeue_next(entry.tables, world.clock.now, world.random.random())
        if taken is None:
            return

        call = world.calls[taken.waiting.work.request]
        if isinstance(taken.result, Refusal):
            finish_call(world, call, "refused")
        else:
            dispatch_call(world, call, taken.result.upstream)


def dispatch_call(world: World, call: Call, name: str) -> None:
    """Send a call to an engine."""
    entry = call.entry
    engine = world.engines[name]
    one_way = entry.tables.one_way_seconds[engine.data_centre]
    world.dispatches += 1
    world.remote_dispatches += engine.data_centre != entry.data_centre
    clock = world.clock
    job = Job(
        call.record.request,
        world.dispatches,
        lambda: call_at(
            clock, clock.now + one_way, lambda: record_first_token(world, call, job)
        ),
        lambda complete: call_at(
            clock,
            clock.now + one_way,
            lambda: finish_attempt(world, call, job, complete),
        ),
    )
    call.engine = engine
    call.job = job
    call.record.sends += 1
    entry.in_flight[name] = entry.in_flight.get(name, 0) + 1
    if world.policy.rule is None:
        work = call.request.work
        record_dispatch(entry.tables, UpstreamId(name), work, now=clock.now)

    call_at(clock, clock.now + one_way, lambda: submit_job(engine, job))
    at = clock.now + FIRST_TOKEN_TIMEOUT_SECONDS
    call_at(clock, at, lambda: check_progress(world, call, job))


def record_first_token(world: World, call: Call, job: Job) -> None:
    """Record the time of the caller's first token."""
    if call.job is job and not call.finished and not call.record.first_at:
        call.record.first_at = world.clock.now


def finish_attempt(world: World, call: Call, job: Job, complete: bool) -> None:
    """Finish the call if its attempt succeeded; otherwise retry it if that is safe."""
    if call.job is not job or call.finished:
        return

    release_engine(world, call, failed=not complete)
    if complete:
        finish_call(world, call, "done")
    else:
        retry_call(world, call, DispatchState.REFUSED)


def check_progress(world: World, call: Call, job: Job) -> None:
    """Fail over a request that has no first token if its engine is unresponsive."""
    if call.job is not job or call.finished or call.record.first_at:
        return

    if call.engine is None or not call.engine.unresponsive:
        return

    if world.policy.rule is None:
        name = UpstreamId(call.engine.name)
        record_missed_deadline(call.entry.tables, name, now=world.clock.now)

    release_engine(world, call, failed=True)
    retry_call(world, call, DispatchState.SENT)


def release_engine(world: World, call: Call, *, failed: bool) -> None:
    """Remove a call from the in-flight counts of its engine."""
    engine = call.engine
    if engine is None:
        return

    call.engine = None
    call.job = None
    call.entry.in_flight[engine.name] -= 1
    if world.policy.rule is None:
        now = world.clock.now
        tables = call.entry.tables
        record_finish(tables, UpstreamId(engine.name), failed=failed, now=now)


def retry_call(world: World, call: Call, state: DispatchState) -> None:
    """Retry a failed request if that is safe and within the retry budget."""
    now = world.clock.now
    entry = call.entry
    work = call.request.work
    if world.policy.rule is not None:
        finish_call(world, call, "failed")
        return

    if not is_retry_safe(work.repeatable, state) or not may_retry(entry.budget, now):
        finish_call(world, call, "failed")
        return

    draw = world.random.random()
    choice = choose_upstream(entry.tables, work, VERSION, now=now, draw=draw)
    if isinstance(choice, Refusal):
        finish_call(world, call, "refused")
        return

    dispatch_call(world, call, choice.upstream)


def abandon_call(world: World, call: Call) -> None:
    """Abandon a call whose caller got no first token in time, and cancel its job."""
    if call.finished or call.record.first_at:
        return

    if call.engine is not None and call.job is not None:
        cancel_job(call.engine, call.job)
        release_engine(world, call, failed=False)

    remove_waiting(call.entry.tables, call.request.work.request)
    finish_call(world, call, "abandoned")


def finish_call(world: World, call: Call, outcome: str) -> None:
    """Release an admitted call, record its outcome and dispatch queued requests."""
    if call.finished:
        return

    if world.policy.rule is None:
        release(call.entry.tables, call.request.work, world.clock.now)

    record_outcome(world, call, outcome)
    if world.policy.rule is None:
        dispatch_waiting(world, call.entry)


def record_outcome(world: World, call: Call, outcome: str) -> None:
    """Record the outcome for the caller, who may retry in a retry storm."""
    call.finished = True
    record = call.record
    record.outcome = outcome
    record.ended_at = world.clock.now
    retry_storm = world.retry_storm
    if (
        retry_storm is None
        or outcome == "done"
        or record.attempts >= retry_storm.attempts
    ):
        return

    record.outcome = ""
    pause = retry_storm.pause * world.random.uniform(0.5, 1.5)
    again = replace(record.request, entry=world.random.randrange(len(world.entries)))
    record.request = again
    call_at(world.clock, world.clock.now + pause, lambda: start_call(world, record))
