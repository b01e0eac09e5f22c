"""The job queue of an engine, and the step that advances its jobs."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
from enum import StrEnum
from typing import TYPE_CHECKING

from .events import DONE
from .events import encode_chunk
from .events import encode_event
from .events import encode_finish
from .events import encode_token
from .events import make_usage
from .prefixes import PrefixCache
from .prefixes import count_cached_tokens
from .prefixes import store_prefixes
from .text import count_tokens
from .text import generate_tokens


if TYPE_CHECKING:
    from typing import Any

    from .settings import EngineSettings


PRIORITY_RANKS = {"order": 0, "question": 1, "tag": 2, "report": 3}
DEFAULT_RANK = 1


class JobStatus(StrEnum):
    """State of a job."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class Job:
    """One run of a request and the events emitted so far."""

    request: str
    version: str
    prompt: str
    tokens: list[str]
    truncated: bool
    """True if the caller's ``max_tokens`` ended the response."""
    prompt_tokens: int
    priority: str
    status: JobStatus = JobStatus.QUEUED
    cached_tokens: int = 0
    first_token_at: float = 0.0
    """Time at which the first token is due."""
    emitted: int = 0
    """Number of tokens emitted so far."""
    events: list[bytes] = field(default_factory=list)
    ended_at: float = 0.0
    watchers: list[Callable[[], None]] = field(default_factory=list)
    """Callbacks for new events and for the end of the job."""

    @property
    def ended(self) -> bool:
        """True once no more events will be emitted."""
        return self.status in (JobStatus.DONE, JobStatus.CANCELLED)

    @property
    def usage(self) -> dict[str, Any]:
        """Token usage so far."""
        return make_usage(self.prompt_tokens, self.emitted, self.cached_tokens)


@dataclass(slots=True)
class JobTables:
    """All jobs of an engine."""

    cache: PrefixCache
    jobs: dict[str, Job] = field(default_factory=dict)
    """Latest run of each request id, kept for ``keep`` seconds after it ends."""
    queue: list[tuple[int, int, Job]] = field(default_factory=list)
    """Heap ordered by priority, then arrival."""
    running: list[Job] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    """Number of runs started, by request id."""
    arrivals: int = 0


def make_job(
    request: str,
    version: str,
    prompt: str,
    *,
    max_tokens: int = 0,
    min_tokens: int = 0,
    priority: str = "",
) -> Job:
    """Create a job without queueing it."""
    tokens = generate_tokens(version, prompt, max_tokens, min_tokens=min_tokens)
    truncated = 0 < max_tokens == len(tokens)
    return Job(
        request=request,
        version=version,
        prompt=prompt,
        tokens=tokens,
        truncated=truncated,
        prompt_tokens=count_tokens(prompt),
        priority=priority,
    )


def queue_job(tables: JobTables, job: Job) -> None:
    """Queue a job; jobs get free slots by priority, then arrival."""
    tables.arrivals += 1
    tables.jobs[job.request] = job
    rank = PRIORITY_RANKS.get(job.priority, DEFAULT_RANK)
    heapq.heappush(tables.queue, (rank, tables.arrivals, job))


def step_jobs(tables: JobTables, settings: EngineSettings, now: float) -> None:
    """Start queued jobs, emit the tokens that are due and notify the watchers."""
    progress = True
    while progress:
        start_jobs(tables, settings, now)
        for job in tables.running:
            emit_tokens(job, settings, now)

        unfinished = [job for job in tables.running if not job.ended]
        progress = len(unfinished) < len(tables.running) and bool(tables.queue)
        tables.running = unfinished


def start_jobs(tables: JobTables, settings: EngineSettings, now: float) -> None:
    """Start queued jobs while slots are free."""
    while tables.queue and len(tables.running) < settings.slots:
        job = heapq.heappop(tables.queue)[2]
        if job.ended:
            continue

        job.status = JobStatus.RUNNING
        job.cached_tokens = count_cached_tokens(tables.cache, job.version, job.prompt)
        store_prefixes(tables.cache, job.version, job.prompt)
        prefill = 0.0
        if settings.prefill_rate > 0:
            prefill = (job.prompt_tokens - job.cached_tokens) / settings.prefill_rate

        job.first_token_at = now + prefill + settings.token_interval
        tables.runs[job.request] = tables.runs.get(job.request, 0) + 1
        tables.running.append(job)


def emit_tokens(job: Job, settings: EngineSettings, now: float) -> None:
    """Emit the tokens of one job that are due."""
    if job.ended or now < job.first_token_at:
        return

    due = len(job.tokens)
    if settings.token_interval > 0:
        due = min(due, 1 + int((now - job.first_token_at) / settings.token_interval))

    if due <= job.emitted:
        return

    for index in range(job.emitted, due):
        token = job.tokens[index]
        add_event(job, encode_token(job.request, job.version, token, first=index == 0))

    job.emitted = due
    if due == len(job.tokens):
        finish_job(job, now)

    notify_watchers(job)


def finish_job(job: Job, now: float) -> None:
    """Add the final events: finish reason, usage and ``[DONE]``."""
    reason = "length" if job.truncated else "stop"
    add_event(job, encode_finish(job.request, job.version, reason))
    add_event(job, encode_chunk(job.request, job.version, choices=(), usage=job.usage))
    add_event(job, DONE)
    job.status = JobStatus.DONE
    job.ended_at = now


def cancel_job(tables: JobTables, job: Job, now: float) -> None:
    """Cancel a job that has not ended and free its slot."""
    if job.ended:
        return

    job.status = JobStatus.CANCELLED
    job.ended_at = now
    tables.running = [other for other in tables.running if other is not job]
    notify_watchers(job)


def add_event(job: Job, data: bytes) -> None:
    """Append an event with the next number."""
    job.events.append(encode_event(job.request, len(job.events) + 1, data))


def notify_watchers(job: Job) -> None:
    """Call every watcher of a job; a watcher may remove itself during the call."""
    for watcher in list(job.watchers):
        watcher()


def drop_expired_jobs(tables: JobTables, settings: EngineSettings, now: float) -> None:
    """Drop ended jobs that can no longer be resumed."""
    cutoff = now - settings.keep
    expired = [
        key for key, job in tables.jobs.items() if job.ended and job.ended_at < cutoff
    ]
    for key in expired:
        del tables.jobs[key]
