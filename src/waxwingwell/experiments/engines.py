"""A table-level fake of a model engine with continuous batching.

Requests take a place, their prompts are read in chunks one after the other (higher
priorities first, cached prefixes skipped), then all that hold a place write their
answers side by side. Up to ``capacity`` places the speed falls little; beyond it the
whole engine becomes slower, as engines do that must swap their KV cache.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from functools import partial

from ..decisions.waits import RANK
from ..records import LoadReport
from .events import Clock
from .events import call_at
from .fleet_traffic import Request


CHUNK_TOKENS = 512
MAX_BATCH = 1.5
"""Places of an engine as a multiple of its capacity."""
LIGHT_SLOWING = 0.15
"""Loss of decode speed between an empty and a full batch."""
HEAVY_SLOWING = 0.3
"""Loss of the whole engine's speed for each capacity's worth of places beyond."""
READING_SLOWING = 0.2
"""Loss of decode speed while a prompt is read."""


@dataclass(slots=True)
class Job:
    """One attempt of a request at an engine."""

    request: Request
    number: int
    on_first: Callable[[], None]
    on_end: Callable[[bool], None]
    """Called with True when the answer is whole, with False when it failed."""
    to_read: float = -1.0
    """Prompt tokens still to be read; below zero before it has a place."""
    cancelled: bool = False
    has_place: bool = False


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
    to_read: list[tuple[int, int, Job]] = field(default_factory=list)
    reading: bool = False
    decoding: list[tuple[float, int, Job]] = field(default_factory=list)
    """By the position (tokens written by each request so far) at which they end."""
    position: float = 0.0
    position_at: float = 0.0
    places: int = 0
    decode_event: int = 0
    cache: dict[str, int] = field(default_factory=dict)
    """Prefix digest to the tokens that it adds, the least lately used first."""
    cached: int = 0
    evicted: list[str] = field(default_factory=list)
    """Digests dropped since the last cache event."""
    stored: list[str] = field(default_factory=list)
    silent: bool = False
    """Takes requests and never answers."""
    failing: bool = False
    """Answers each request with an error."""
    read_tokens: int = 0
    asked_tokens: int = 0


def submit_job(engine: Engine, job: Job) -> None:
    """Take a request; its callbacks tell what becomes of it."""
    if engine.silent:
        return

    if engine.failing:
        job.on_end(False)
        return

    entry = (RANK[job.request.work.priority], job.number, job)
    heapq.heappush(engine.waiting, entry)
    fill_places(engine)


def cancel_job(engine: Engine, job: Job) -> None:
    """Drop a request; its place is free once the engine comes across it."""
    job.cancelled = True
    if job.has_place and job.to_read <= 0.0:
        advance(engine)
        kept = [item for item in engine.decoding if item[2] is not job]
        if len(kept) < len(engine.decoding):
            heapq.heapify(kept)
            engine.decoding = kept
            engine.places -= 1
            plan_decode(engine)
            fill_places(engine)


def fill_places(engine: Engine) -> None:
    """Give free places to waiting requests."""
    while engine.waiting and engine.places < int(engine.capacity * MAX_BATCH):
        rank, number, job = heapq.heappop(engine.waiting)
        if job.cancelled:
            continue

        engine.places += 1
        job.has_place = True
        work = job.request.work
        job.to_read = max(work.prompt_tokens - find_cached(engine, job.request), 1)
        engine.asked_tokens += work.prompt_tokens
        engine.read_tokens += int(job.to_read)
        heapq.heappush(engine.to_read, (rank, number, job))

    read_chunk(engine)


def find_cached(engine: Engine, request: Request) -> int:
    """Return the prompt tokens in the cache, and touch their prefixes."""
    work = request.work
    best = 0
    pairs = list(zip(work.prefixes, work.prefix_tokens, strict=True))
    for digest, tokens in reversed(pairs):
        if digest not in engine.cache:
            break

        engine.cache[digest] = engine.cache.pop(digest)
        best = tokens

    return best


def count_cached(engine: Engine, request: Request) -> int:
    """Return the prompt tokens in the cache without touching it."""
    work = request.work
    best = 0
    pairs = list(zip(work.prefixes, work.prefix_tokens, strict=True))
    for digest, tokens in reversed(pairs):
        if digest not in engine.cache:
            break

        best = tokens

    return best


def store_prefixes(engine: Engine, request: Request) -> None:
    """Put the prompt's prefixes into the cache and evict what no longer fits."""
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


def read_chunk(engine: Engine) -> None:
    """Read the next chunk of the prompt whose turn it is."""
    if engine.reading:
        return

    while engine.to_read:
        rank, number, job = heapq.heappop(engine.to_read)
        if job.cancelled:
            engine.places -= 1
            continue

        advance(engine)
        engine.reading = True
        plan_decode(engine)
        chunk = min(job.to_read, CHUNK_TOKENS)
        at = engine.clock.now + chunk / engine.prefill_rate
        call_at(engine.clock, at, partial(end_chunk, engine, rank, number, job, chunk))
        return

    if engine.waiting and engine.places < int(engine.capacity * MAX_BATCH):
        fill_places(engine)


def end_chunk(engine: Engine, rank: int, number: int, job: Job, chunk: float) -> None:
    """Go on with the next chunk, or let the answer begin."""
    advance(engine)
    engine.reading = False
    job.to_read -= chunk
    if job.cancelled:
        engine.places -= 1
    elif job.to_read > 0.0:
        heapq.heappush(engine.to_read, (rank, number, job))
    else:
        store_prefixes(engine, job.request)
        step = 1.0 / get_decode_rate(engine)
        call_at(engine.clock, engine.clock.now + step, job.on_first)
        end = engine.position + job.request.answer
        heapq.heappush(engine.decoding, (end, number, job))

    plan_decode(engine)
    read_chunk(engine)


def get_decode_rate(engine: Engine) -> float:
    """Return the tokens a second of each answer being written."""
    count = max(len(engine.decoding), 1)
    filled = count / engine.capacity
    rate = engine.decode_rate / (1.0 + LIGHT_SLOWING * min(filled, 1.0))
    if filled > 1.0:
        rate *= (1.0 - HEAVY_SLOWING * (filled - 1.0)) / filled

    if engine.reading:
        rate *= 1.0 - READING_SLOWING

    return rate


def advance(engine: Engine) -> None:
    """Bring the position of the answers up to the present."""
    now = engine.clock.now
    engine.position += (now - engine.position_at) * get_decode_rate(engine)
    engine.position_at = now


def plan_decode(engine: Engine) -> None:
    """Plan the end of the answer that ends first at the present speed."""
    engine.decode_event += 1
    event = engine.decode_event
    if not engine.decoding:
        return

    left = max(engine.decoding[0][0] - engine.position, 0.0)
    at = engine.clock.now + left / get_decode_rate(engine)
    call_at(engine.clock, at, lambda: end_decode(engine, event))


def end_decode(engine: Engine, event: int) -> None:
    """End the first answer, unless the plan has changed meanwhile."""
    if event != engine.decode_event:
        return

    advance(engine)
    _, _, job = heapq.heappop(engine.decoding)
    engine.places -= 1
    plan_decode(engine)
    job.on_end(True)
    fill_places(engine)


def report_load(engine: Engine) -> LoadReport:
    """Return the engine's load as it stands now."""
    backlog = sum(job.to_read for _, _, job in engine.to_read)
    backlog += sum(job.request.work.prompt_tokens / 2 for _, _, job in engine.waiting)
    return LoadReport(
        running=engine.places,
        queued=len(engine.waiting),
        backlog_tokens=int(backlog),
        tokens_per_second=get_decode_rate(engine),
        prefill_per_second=engine.prefill_rate,
    )
