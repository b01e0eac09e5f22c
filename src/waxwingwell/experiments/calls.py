"""What becomes of one caller's request at an entry and its engines."""

from __future__ import annotations

from dataclasses import replace
from typing import TYPE_CHECKING

from ..decisions.admission import admit
from ..decisions.admission import release
from ..decisions.queue import place_work
from ..decisions.queue import remove_waiting
from ..decisions.queue import take_next
from ..decisions.retries import DispatchState
from ..decisions.retries import is_retry_safe
from ..decisions.retries import may_retry
from ..decisions.retries import note_request
from ..decisions.tables import Refusal
from ..decisions.upstreams import UpstreamChoice
from ..decisions.upstreams import choose_upstream
from ..decisions.upstreams import note_dispatch
from ..decisions.upstreams import note_finish
from ..decisions.upstreams import note_silence
from ..records import UpstreamId
from .engines import Job
from .engines import cancel_job
from .engines import submit_job
from .entries import PATIENCE
from .entries import VERSION
from .entries import hide_parts
from .events import call_at
from .world import Call


if TYPE_CHECKING:
    from .entries import Entry
    from .world import Seen
    from .world import World


PROGRESS_DEADLINE = 3.0
"""Seconds without a first token after which a dispatched request counts as silent."""


def start_call(world: World, seen: Seen) -> None:
    """Let a caller send its request to an entry."""
    seen.attempts += 1
    request = hide_parts(world.policy, seen.request)
    call = Call(seen, request, world.entries[request.entry])
    world.calls[request.work.request] = call
    call_at(world.clock, world.clock.now + PATIENCE, lambda: lose_patience(world, call))
    if world.policy.rule is not None:
        engines = list(world.engines.values())
        name = world.policy.rule(call.entry, engines, request, world.random)
        dispatch_call(world, call, name)
        return

    now = world.clock.now
    note_request(call.entry.budget, now)
    if isinstance(admit(call.entry.tables, request.work, now), Refusal):
        end_caller(world, call, "refused")
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
    """Dispatch every waiting request that has room somewhere."""
    while True:
        taken = take_next(entry.tables, world.clock.now, world.random.random())
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
    way = entry.tables.distances[engine.data_centre]
    world.numbers += 1
    world.remote_sends += engine.data_centre != entry.data_centre
    clock = world.clock
    job = Job(
        call.seen.request,
        world.numbers,
        lambda: call_at(clock, clock.now + way, lambda: see_first(world, call, job)),
        lambda whole: call_at(
            clock, clock.now + way, lambda: see_end(world, call, job, whole)
        ),
    )
    call.engine = engine
    call.job = job
    call.seen.sends += 1
    entry.in_flight[name] = entry.in_flight.get(name, 0) + 1
    if world.policy.rule is None:
        work = call.request.work
        note_dispatch(entry.tables, UpstreamId(name), work, now=clock.now)

    call_at(clock, clock.now + way, lambda: submit_job(engine, job))
    at = clock.now + PROGRESS_DEADLINE
    call_at(clock, at, lambda: check_progress(world, call, job))


def see_first(world: World, call: Call, job: Job) -> None:
    """Let the caller see its first token."""
    if call.job is job and not call.over and not call.seen.first_at:
        call.seen.first_at = world.clock.now


def see_end(world: World, call: Call, job: Job, whole: bool) -> None:
    """End an attempt at an engine: an answer, or another try if that is safe."""
    if call.job is not job or call.over:
        return

    leave_engine(world, call, failed=not whole)
    if whole:
        finish_call(world, call, "done")
    else:
        retry_call(world, call, DispatchState.REFUSED)


def check_progress(world: World, call: Call, job: Job) -> None:
    """Treat a request without a first token as silent, when its engine is."""
    if call.job is not job or call.over or call.seen.first_at:
        return

    if call.engine is None or not call.engine.silent:
        return

    if world.policy.rule is None:
        name = UpstreamId(call.engine.name)
        note_silence(call.entry.tables, name, now=world.clock.now)

    leave_engine(world, call, failed=True)
    retry_call(world, call, DispatchState.SENT)


def leave_engine(world: World, call: Call, *, failed: bool) -> None:
    """Take a call off the counts of its engine."""
    engine = call.engine
    if engine is None:
        return

    call.engine = None
    call.job = None
    call.entry.in_flight[engine.name] -= 1
    if world.policy.rule is None:
        now = world.clock.now
        tables = call.entry.tables
        note_finish(tables, UpstreamId(engine.name), failed=failed, now=now)


def retry_call(world: World, call: Call, state: DispatchState) -> None:
    """Try a failed request once more if that is safe and within the budget."""
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


def lose_patience(world: World, call: Call) -> None:
    """Let a caller without a first token go, and cancel its work."""
    if call.over or call.seen.first_at:
        return

    if call.engine is not None and call.job is not None:
        cancel_job(call.engine, call.job)
        leave_engine(world, call, failed=False)

    remove_waiting(call.entry.tables, call.request.work.request)
    finish_call(world, call, "abandoned")


def finish_call(world: World, call: Call, outcome: str) -> None:
    """Release an admitted call, end it for the caller and use the room it leaves."""
    if call.over:
        return

    if world.policy.rule is None:
        release(call.entry.tables, call.request.work, world.clock.now)

    end_caller(world, call, outcome)
    if world.policy.rule is None:
        dispatch_waiting(world, call.entry)


def end_caller(world: World, call: Call, outcome: str) -> None:
    """Record what the caller saw; in a storm it may come back."""
    call.over = True
    seen = call.seen
    seen.outcome = outcome
    seen.ended_at = world.clock.now
    storm = world.storm
    if storm is None or outcome == "done" or seen.attempts >= storm.attempts:
        return

    seen.outcome = ""
    pause = storm.pause * world.random.uniform(0.5, 1.5)
    again = replace(seen.request, entry=world.random.randrange(len(world.entries)))
    seen.request = again
    call_at(world.clock, world.clock.now + pause, lambda: start_call(world, seen))
