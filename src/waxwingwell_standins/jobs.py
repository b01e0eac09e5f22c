"""The engine's tables of jobs and watchers, and the step that runs over them."""

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
from .prefixes import count_cached
from .prefixes import keep_prefixes
from .text import count_tokens
from .text import make_answer


if TYPE_CHECKING:
    from typing import Any

    from .settings import EngineSettings


PRIORITY_RANKS = {"order": 0, "question": 1, "tag": 2, "report": 3}
DEFAULT_RANK = 1


class JobStatus(StrEnum):
    """Where a job stands."""

    QUEUED = "queued"
    RUNNING = "running"
    DONE = "done"
    CANCELLED = "cancelled"


@dataclass(slots=True)
class Job:
    """One run of one request, and every event it has made."""

    request: str
    version: str
    prompt: str
    tokens: list[str]
    cut: bool
    """The caller's ``max_tokens`` ended the answer."""
    prompt_tokens: int
    priority: str
    status: JobStatus = JobStatus.QUEUED
    cached: int = 0
    first_at: float = 0.0
    """When the first token is due."""
    made: int = 0
    """Tokens made so far."""
    events: list[bytes] = field(default_factory=list)
    ended_at: float = 0.0
    watchers: list[Callable[[], None]] = field(default_factory=list)
    """Called after new events and at the end."""

    @property
    def ended(self) -> bool:
        """True once no more events come."""
        return self.status in (JobStatus.DONE, JobStatus.CANCELLED)

    @property
    def usage(self) -> dict[str, Any]:
        """Usage up to now."""
        return make_usage(self.prompt_tokens, self.made, self.cached)


@dataclass(slots=True)
class JobTables:
    """All jobs of one engine."""

    cache: PrefixCache
    jobs: dict[str, Job] = field(default_factory=dict)
    """The newest run of each request id, kept for a time after its end."""
    queue: list[tuple[int, int, Job]] = field(default_factory=list)
    """Heap by priority and arrival."""
    running: list[Job] = field(default_factory=list)
    runs: dict[str, int] = field(default_factory=dict)
    """Runs begun, by request id."""
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
    """Return a job that has not been queued yet."""
    tokens = make_answer(version, prompt, max_tokens, min_tokens=min_tokens)
    cut = 0 < max_tokens == len(tokens)
    return Job(
        request=request,
        version=version,
        prompt=prompt,
        tokens=tokens,
        cut=cut,
        prompt_tokens=count_tokens(prompt),
        priority=priority,
    )


def queue_job(tables: JobTables, job: Job) -> None:
    """Take a job in; it runs when a slot is free, by priority and arrival."""
    tables.arrivals += 1
    tables.jobs[job.request] = job
    rank = PRIORITY_RANKS.get(job.priority, DEFAULT_RANK)
    heapq.heappush(tables.queue, (rank, tables.arrivals, job))


def step_jobs(tables: JobTables, settings: EngineSettings, now: float) -> None:
    """Start what fits, make the tokens that are due, tell the watchers."""
    progress = True
    while progress:
        start_jobs(tables, settings, now)
        for job in tables.running:
            make_tokens(job, settings, now)

        still = [job for job in tables.running if not job.ended]
        progress = len(still) < len(tables.running) and bool(tables.queue)
        tables.running = still


def start_jobs(tables: JobTables, settings: EngineSettings, now: float) -> None:
    """Give free slots to waiting jobs."""
    while tables.queue and len(tables.running) < settings.slots:
        job = heapq.heappop(tables.queue)[2]
        if job.ended:
            continue

        job.status = JobStatus.RUNNING
        job.cached = count_cached(tables.cache, job.version, job.prompt)
        keep_prefixes(tables.cache, job.version, job.prompt)
        prefill = 0.0
        if settings.prefill_rate > 0:
            prefill = (job.prompt_tokens - job.cached) / settings.prefill_rate

        job.first_at = now + prefill + settings.token_interval
        tables.runs[job.request] = tables.runs.get(job.request, 0) + 1
        tables.running.append(job)


def make_tokens(job: Job, settings: EngineSettings, now: float) -> None:
    """Make the tokens of one job that are due by now."""
    if job.ended or now < job.first_at:
        return

    due = len(job.tokens)
    if settings.token_interval > 0:
        due = min(due, 1 + int((now - job.first_at) / settings.token_interval))

    if due <= job.made:
        return

    for index in range(job.made, due):
        token = job.tokens[index]
        add_event(job, encode_token(job.request, job.version, token, first=index == 0))

    job.made = due
    if due == len(job.tokens):
        finish_job(job, now)

    notify_watchers(job)


def finish_job(job: Job, now: float) -> None:
    """Add the closing events: finish reason, usage, end mark."""
    reason = "length" if job.cut else "stop"
    add_event(job, encode_finish(job.request, job.version, reason))
    add_event(job, encode_chunk(job.request, job.version, choices=(), usage=job.usage))
    add_event(job, DONE)
    job.status = JobStatus.DONE
    job.ended_at = now


def cancel_job(tables: JobTables, job: Job, now: float) -> None:
    """End a job where it stands and free its slot."""
    if job.ended:
        return

    job.status = JobStatus.CANCELLED
    job.ended_at = now
    tables.running = [other for other in tables.running if other is not job]
    notify_watchers(job)


def add_event(job: Job, data: bytes) -> None:
    """Append one event under the next number."""
    job.events.append(encode_event(job.request, len(job.events) + 1, data))


def notify_watchers(job: Job) -> None:
    """Call every watcher of a job; a watcher may take itself off."""
    for watcher in list(job.watchers):
        watcher()


def forget_jobs(tables: JobTables, settings: EngineSettings, now: float) -> None:
    """Drop the jobs whose time to be resumed is over."""
    over = now - settings.keep
    old = [key for key, job in tables.jobs.items() if job.ended and job.ended_at < over]
    for key in old:
        del tables.jobs[key]
