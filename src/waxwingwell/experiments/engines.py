"""A simulated model engine with continuous batching.

Requests take a batch slot. Their prompts are prefilled in chunks one after the other
(higher priorities first, cached prefixes skipped); then all requests that hold a slot
decode concurrently. Up to ``capacity`` slots the speed falls little; beyond it the
whole engine becomes slower, like engines that must swap their KV cache.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import partial

from ..decisions.waits import PRIORITY_RANK
from ..records import LoadReport
from .events import Clock
from .events import call_at
from .fleet_traffic import Request


CHUNK_TOKENS = 512
MAX_BATCH_RATIO = 1.5
"""Batch slots of an engine as a multiple of its capacity."""
BATCH_SLOWDOWN = 0.15
"""Relative loss of decode speed between an empty and a full batch."""
OVERLOAD_SLOWDOWN = 0.3
"""Relative loss of the engine's total speed for each multiple of its capacity by
which the batch exceeds the capacity."""
PREFILL_SLOWDOWN = 0.2
"""Relative loss of decode speed during a prefill."""


@dataclass(slots=True)
class Job:
    """One attempt of a request at an engine."""

    request: Request
    number: int
    on_first_token: Callable[[], None]
    on_end: Callable[[bool], None]
    """Called with True when the response is complete, with False when it failed."""
    prefill_left: float = -1.0
    """Prompt tokens left to prefill; negative until the job has a slot."""
    cancelled: bool = False
    has_slot: bool = False


@dataclass(slots=True)
class Engine:
    """State of one engine."""

    name: str
    data_centre: str
    capacity: int
    decode_rate: float
    prefill_rate: float
    cache_tokens: int
    clock: Clock
    waiting: list[tuple[int, int, Job]] = field(default_factory=list)
    prefill_queue: list[tuple[int, int, Job]] = field(default_factory=list)
    prefilling: bool = False
    decoding: list[tuple[float, int, Job]] = field(default_factory=list)
    """A heap by end position; see ``position``."""
    position: float = 0.0
    """Tokens decoded so far by a request that has been in the batch throughout."""
    position_at: float = 0.0
    used_slots: int = 0
    decode_event: int = 0
    cache: dict[str, int] = field(default_factory=dict)
    """Tokens that each prefix digest adds, least recently used first."""
    cached: int = 0
    evicted: list[str] = field(default_factory=list)
    """Digests evicted since the last cache event."""
    stored: list[str] = field(default_factory=list)
    unresponsive: bool = False
    """Accepts requests and never responds."""
    failing: bool = False
    """Responds to each request with an error."""
    prefilled_tokens: int = 0
    requested_tokens: int = 0


def submit_job(engine: Engine, job: Job) -> None:
    """Accept a request; its callbacks report its progress and outcome."""
    if engine.unresponsive:
        return

    if engine.failing:
        job.on_end(False)
        return

    entry = (PRIORITY_RANK[job.request.work.priority], job.number, job)
    heapq.heappush(engine.waiting, entry)
    fill_slots(engine)


def cancel_job(engine: Engine, job: Job) -> None:
    """Cancel a request; a queued or prefilling one is dropped on its next turn."""
    job.cancelled = True
    if job.has_slot and job.prefill_left <= 0.0:
        advance(engine)
        kept = [item for item in engine.decoding if item[2] is not job]
        if len(kept) < len(engine.decoding):
            heapq.heapify(kept)
            engine.decoding = kept
            engine.used_slots -= 1
            schedule_decode_end(engine)
            fill_slots(engine)


def fill_slots(engine: Engine) -> None:
    """Give free slots to queued requests."""
    while engine.waiting and engine.used_slots < int(engine.capacity * MAX_BATCH_RATIO):
        rank, number, job = heapq.heappop(engine.waiting)
        if job.cancelled:
            continue

        engine.used_slots += 1
        job.has_slot = True
        work = job.request.work
        job.prefill_left = max(
            work.prompt_tokens - use_cached_tokens(engine, job.request), 1
        )
        engine.requested_tokens += work.prompt_tokens
        engine.prefilled_tokens += int(job.prefill_left)
        heapq.heappush(engine.prefill_queue, (rank, number, job))

    prefill_chunk(engine)


def use_cached_tokens(engine: Engine, request: Request) -> int:
    """Return the cached prompt tokens, and mark their prefixes as recently used."""
    work = request.work
    best = 0
    pairs = list(zip(work.prefixes, work.prefix_tokens, strict=True))
    for digest, tokens in reversed(pairs):
        if digest not in engine.cache:
            break

        engine.cache[digest] = engine.cache.pop(digest)
        best = tokens

    return best


def count_cached_tokens(engine: Engine, request: Request) -> int:
    """Return the cached prompt tokens without changing the order of eviction."""
    work = request.work
    best = 0
    pairs = list(zip(work.prefixes, work.prefix_tokens, strict=True))
    for digest, tokens in reversed(pairs):
        if digest not in engine.cache:
            break

        best = tokens

    return best


def store_prefixes(engine: Engine, request: Request) -> None:
    """Cache the prompt's prefixes and evict what no longer fits."""
    work = request.work
    below = 0
    pairs = list(zip(work.prefixes, work.prefix_tokens, strict=True))
    for digest, tokens in reversed(pairs):
        added = tokens - below
        below = tokens
        if digest in engine.cache:
            engine.cache[digest] = engine.cache.pop(digest)
            continue

        engine.cache[digest] = added
        engine.cached += added
        engine.stored.append(digest)

    while engine.cached > engine.cache_tokens:
        digest = next(iter(engine.cache))
        engine.cached -= engine.cache.pop(digest)
        engine.evicted.append(digest)


def prefill_chunk(engine: Engine) -> None:
    """Start to prefill the next chunk of the first prompt in the queue."""
    if engine.prefilling:
        return

    while engine.prefill_queue:
        rank, number, job = heapq.heappop(engine.prefill_queue)
        if job.cancelled:
            engine.used_slots -= 1
            continue

        advance(engine)
        engine.prefilling = True
        schedule_decode_end(engine)
        chunk = min(job.prefill_left, CHUNK_TOKENS)
        at = engine.clock.now + chunk / engine.prefill_rate
        call_at(
            engine.clock, at, partial(finish_chunk, engine, rank, number, job, chunk)
        )
        return

    if engine.waiting and engine.used_slots < int(engine.capacity * MAX_BATCH_RATIO):
        fill_slots(engine)


def finish_chunk(
    engine: Engine, rank: int, number: int, job: Job, chunk: float
) -> None:
    """Continue with the next chunk, or start to decode after the last one."""
    advance(engine)
    engine.prefilling = False
    job.prefill_left -= chunk
    if job.cancelled:
        engine.used_slots -= 1
    elif job.prefill_left > 0.0:
        heapq.heappush(engine.prefill_queue, (rank, number, job))
    else:
        store_prefixes(engine, job.request)
        step = 1.0 / get_decode_rate(engine)
        call_at(engine.clock, engine.clock.now + step, job.on_first_token)
        end = engine.position + job.request.output_tokens
        heapq.heappush(engine.decoding, (end, number, job))

    schedule_decode_end(engine)
    prefill_chunk(engine)


def get_decode_rate(engine: Engine) -> float:
    """Return the current tokens a second of each decoding request."""
    count = max(len(engine.decoding), 1)
    fill_ratio = count / engine.capacity
    rate = engine.decode_rate / (1.0 + BATCH_SLOWDOWN * min(fill_ratio, 1.0))
    if fill_ratio > 1.0:
        rate *= (1.0 - OVERLOAD_SLOWDOWN * (fill_ratio - 1.0)) / fill_ratio

    if engine.prefilling:
        rate *= 1.0 - PREFILL_SLOWDOWN

    return rate


def advance(engine: Engine) -> None:
    """Advance the decode position to the current time."""
    now = engine.clock.now
    engine.position += (now - engine.position_at) * get_decode_rate(engine)
    engine.position_at = now


def schedule_decode_end(engine: Engine) -> None:
    """Schedule the end of the response that ends first at the current speed."""
    engine.decode_event += 1
    event = engine.decode_event
    if not engine.decoding:
        return

    left = max(engine.decoding[0][0] - engine.position, 0.0)
    at = engine.clock.now + left / get_decode_rate(engine)
    call_at(engine.clock, at, lambda: finish_decode(engine, event))


def finish_decode(engine: Engine, event: int) -> None:
    """Finish the first response, unless its end has been rescheduled meanwhile."""
    if event != engine.decode_event:
        return

    advance(engine)
    _, _, job = heapq.heappop(engine.decoding)
    engine.used_slots -= 1
    schedule_decode_end(engine)
    job.on_end(True)
    fill_slots(engine)


def report_load(engine: Engine) -> LoadReport:
    """Return the engine's current load."""
    backlog = sum(job.prefill_left for _, _, job in engine.prefill_queue)
    backlog += sum(job.request.work.prompt_tokens / 2 for _, _, job in engine.waiting)
    return LoadReport(
        running=engine.used_slots,
        queued=len(engine.waiting),
        backlog_tokens=int(backlog),
        tokens_per_second=get_decode_rate(engine),
        prefill_per_second=engine.prefill_rate,
    )
