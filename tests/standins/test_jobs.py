"""Tests of job scheduling: priorities, slots and token rates."""

from __future__ import annotations

import unittest

from waxwingwell_standins.jobs import JobTables
from waxwingwell_standins.jobs import make_job
from waxwingwell_standins.jobs import queue_job
from waxwingwell_standins.jobs import step_jobs
from waxwingwell_standins.prefixes import PrefixCache
from waxwingwell_standins.settings import EngineSettings


class JobTest(unittest.TestCase):
    """The time is passed as an argument, so that no test has to wait."""

    def setUp(self) -> None:
        self.tables = JobTables(PrefixCache(8))

    def test_jobs_start_by_priority(self) -> None:
        settings = EngineSettings(slots=1, token_interval=1.0)
        for name in ("first", "report", "tag", "order", "question"):
            job = make_job(name, "v@1", "p", max_tokens=1, priority=name)
            queue_job(self.tables, job)
            step_jobs(self.tables, settings, 0.0)

        for now in range(1, 6):
            step_jobs(self.tables, settings, float(now))

        self.assertEqual(
            list(self.tables.runs), ["first", "order", "question", "tag", "report"]
        )

    def test_tokens_emitted_at_interval(self) -> None:
        settings = EngineSettings(token_interval=0.5, prefill_rate=10.0)
        job = make_job("r", "v@1", "x" * 40, min_tokens=50)
        queue_job(self.tables, job)
        emitted = []
        for now in (0.0, 1.4, 1.5, 1.9, 2.0, 100.0):
            step_jobs(self.tables, settings, now)
            emitted.append(job.emitted)

        self.assertEqual(emitted, [0, 0, 1, 1, 2, 50])
        self.assertTrue(job.ended)

    def test_cached_prefix_needs_no_prefill(self) -> None:
        settings = EngineSettings(prefill_rate=64.0)
        jobs = [make_job(name, "v@1", "x" * 512, max_tokens=1) for name in "ab"]
        for job in jobs:
            queue_job(self.tables, job)
            step_jobs(self.tables, settings, 0.0)

        self.assertEqual([job.first_token_at for job in jobs], [2.0, 0.0])
        self.assertEqual([job.cached_tokens for job in jobs], [0, 128])
