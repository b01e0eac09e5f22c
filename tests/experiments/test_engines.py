"""The simulated engine: batching, prefix cache, priorities and cancellation."""

from __future__ import annotations

import unittest

from waxwingwell.decisions.tables import Work
from waxwingwell.experiments.engines import Engine
from waxwingwell.experiments.engines import Job
from waxwingwell.experiments.engines import cancel_job
from waxwingwell.experiments.engines import report_load
from waxwingwell.experiments.engines import submit_job
from waxwingwell.experiments.events import Clock
from waxwingwell.experiments.events import run_until
from waxwingwell.experiments.fleet_traffic import Request
from waxwingwell.records import Priority
from waxwingwell.records import WorkKind
from waxwingwell.records import WorkspaceId


def make_engine(cache_tokens: int = 10_000) -> Engine:
    return Engine("e", "bole", 4, 100.0, 1000.0, cache_tokens, Clock())


def make_request(
    name: str, priority: Priority = Priority.QUESTION, prompt: int = 1000
) -> Request:
    work = Work(
        request=name,
        workspace=WorkspaceId("w"),
        kind=WorkKind("k", priority, 0.8),
        priority=priority,
        prompt_tokens=prompt,
        prefixes=(name,),
        prefix_tokens=(prompt,),
    )
    return Request(0.0, work, 0, output_tokens=100)


def run_jobs(
    engine: Engine, requests: list[Request]
) -> tuple[dict[str, float], list[Job]]:
    """Submit the requests at once; return their first-token times and the jobs."""
    first_token_at: dict[str, float] = {}
    jobs = []
    for number, request in enumerate(requests):
        name = request.work.request

        def record_first_token(name: str = name) -> None:
            first_token_at[name] = engine.clock.now

        jobs.append(Job(request, number, record_first_token, lambda complete: None))
        submit_job(engine, jobs[-1])

    return first_token_at, jobs


class TestEngine(unittest.TestCase):
    def test_skips_the_prefill_of_a_cached_prompt(self) -> None:
        engine = make_engine()
        first, _ = run_jobs(engine, [make_request("a")])
        run_until(engine.clock, 10.0)
        again, _ = run_jobs(engine, [make_request("a")])
        run_until(engine.clock, 20.0)
        self.assertGreater(first["a"], 1.0)
        self.assertLess(again["a"] - 10.0, 0.1)

    def test_evicts_the_least_recently_used_prefix(self) -> None:
        engine = make_engine(cache_tokens=2000)
        for name in ("a", "b", "c"):
            run_jobs(engine, [make_request(name)])
            run_until(engine.clock, engine.clock.now + 10.0)

        self.assertEqual(list(engine.cache), ["b", "c"])
        self.assertEqual(engine.evicted, ["a"])

    def test_prefills_higher_priorities_first(self) -> None:
        engine = make_engine()
        requests = [make_request(f"r{n}", Priority.REPORT, 3000) for n in range(3)]
        order = make_request("o", Priority.ORDER, 200)
        first_token_at, _ = run_jobs(engine, [*requests, order])
        run_until(engine.clock, 60.0)
        self.assertEqual(
            min(first_token_at, key=lambda name: first_token_at[name]), "o"
        )

    def test_all_slots_are_free_after_the_last_request(self) -> None:
        engine = make_engine()
        _, jobs = run_jobs(engine, [make_request(f"r{n}") for n in range(12)])
        self.assertEqual(report_load(engine).running, 6)
        self.assertEqual(report_load(engine).queued, 6)
        run_until(engine.clock, 2.5)
        for job in jobs[::2]:
            cancel_job(engine, job)

        run_until(engine.clock, 100.0)
        self.assertEqual((engine.used_slots, len(engine.waiting)), (0, 0))
