"""The waiting queue: order, fairness and bounded wait."""

from __future__ import annotations

import unittest
from collections import Counter
from dataclasses import dataclass
from typing import TYPE_CHECKING

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from waxwingwell.decisions.admission import Admitted
from waxwingwell.decisions.admission import admit
from waxwingwell.decisions.admission import release
from waxwingwell.decisions.queue import dequeue_next
from waxwingwell.decisions.queue import enqueue
from waxwingwell.decisions.queue import shed_expired
from waxwingwell.decisions.upstreams import UpstreamChoice
from waxwingwell.decisions.upstreams import record_dispatch
from waxwingwell.decisions.upstreams import record_finish
from waxwingwell.records import Limits
from waxwingwell.records import Priority
from waxwingwell.records import UpstreamId
from waxwingwell.records import WorkspaceId

from .factories import VERSION
from .factories import make_config
from .factories import make_row
from .factories import make_tables
from .factories import make_work


if TYPE_CHECKING:
    from waxwingwell.decisions.tables import Tables
    from waxwingwell.decisions.tables import Work


A = UpstreamId("a")
FLOODING, QUIET = WorkspaceId("flooding"), WorkspaceId("quiet")
LIMITS = Limits(requests_per_second=1000.0, max_in_flight=500, max_wait=5.0)


def make_two_workspaces() -> Tables:
    return make_tables(
        make_row("a", capacity=4, load=None),
        configs=(make_config(FLOODING, LIMITS), make_config(QUIET, LIMITS)),
    )


def dispatch_all(tables: Tables, now: float) -> list[Work]:
    """Dispatch all requests for which there is capacity; return them in order."""
    taken = []
    while (dequeued := dequeue_next(tables, now, 0.5)) is not None:
        assert isinstance(dequeued.result, UpstreamChoice)
        work = dequeued.waiting.work
        record_dispatch(tables, dequeued.result.upstream, work, now=now)
        taken.append(work)

    return taken


@dataclass(frozen=True, slots=True)
class Flood:
    """Load of the flooding workspace; its requests cycle through ``priorities``."""

    priorities: list[Priority]
    per_tick: int
    ticks: int

    service: float
    """Service time of one request in seconds."""
    tick: float = 0.05
    """Length of one tick in seconds."""


def run_flood(flood: Flood) -> tuple[Counter[WorkspaceId], Counter[WorkspaceId]]:
    """Run the flood beside one question per second of a quiet workspace.

    Return the numbers of served and of refused requests by workspace.
    """
    tables = make_two_workspaces()
    running: list[tuple[float, Work]] = []
    served: Counter[WorkspaceId] = Counter()
    refused: Counter[WorkspaceId] = Counter()
    for tick in range(flood.ticks):
        now = 1.0 + tick * flood.tick
        offered = []
        for number in range(tick * flood.per_tick, (tick + 1) * flood.per_tick):
            priority = flood.priorities[number % len(flood.priorities)]
            offered.append(
                make_work(f"l{number}", workspace=FLOODING, priority=priority)
            )

        if tick % round(1.0 / flood.tick) == 0:
            offered.append(make_work(f"q{tick}", workspace=QUIET))

        for work in offered:
            if isinstance(admit(tables, work, now), Admitted):
                enqueue(tables, work, VERSION, now)
            else:
                refused[work.workspace] += 1

        for ends_at, work in [pair for pair in running if pair[0] <= now]:
            running.remove((ends_at, work))
            record_finish(tables, A, failed=False, now=now)
            release(tables, work, now)
            served[work.workspace] += 1

        for taken in shed_expired(tables, now):
            release(tables, taken.waiting.work, now)
            refused[taken.waiting.work.workspace] += 1

        running += [(now + flood.service, work) for work in dispatch_all(tables, now)]

    return served, refused


class TestQueue(unittest.TestCase):
    def test_serves_higher_priorities_first(self) -> None:
        tables = make_tables(make_row("a", capacity=40, load=None))
        for priority in (
            Priority.REPORT,
            Priority.TAG,
            Priority.QUESTION,
            Priority.ORDER,
        ):
            enqueue(tables, make_work(priority, priority=priority), VERSION, 1.0)

        order = [work.priority for work in dispatch_all(tables, 1.0)]
        self.assertEqual(order, list(Priority))

    def test_reserves_capacity_for_orders(self) -> None:
        tables = make_two_workspaces()
        for number in range(20):
            work = make_work(f"r{number}", workspace=FLOODING, priority=Priority.REPORT)
            enqueue(tables, work, VERSION, 1.0)

        self.assertEqual(len(dispatch_all(tables, 1.0)), 3)
        order = make_work("o", workspace=FLOODING, priority=Priority.ORDER)
        enqueue(tables, order, VERSION, 1.0)
        self.assertEqual(dispatch_all(tables, 1.0), [order])

    def test_chosen_slot_stays_reserved_until_the_dispatch(self) -> None:
        """Orders wait for their ledger rows between the choice and the dispatch.

        The rest of the queue is drained meanwhile. If a chosen slot looked free until
        the dispatch, all queued orders would be sent to the same few slots.
        """
        tables = make_two_workspaces()
        works = [
            make_work(f"o{n}", workspace=FLOODING, priority=Priority.ORDER)
            for n in range(9)
        ]
        for work in works:
            admit(tables, work, 1.0)
            enqueue(tables, work, VERSION, 1.0)

        taken = []
        while (one := dequeue_next(tables, 1.0, 0.5)) is not None:
            taken.append(one.waiting.work)

        self.assertEqual(len(taken), 5)
        release(tables, taken[0], 1.0)
        self.assertIsNotNone(dequeue_next(tables, 1.0, 0.5))
        for work in taken[1:]:
            record_dispatch(tables, A, work, now=1.0)

        self.assertEqual(tables.upstreams[A].in_flight, 4)
        self.assertEqual(tables.upstreams[A].claimed, 1)
        self.assertIsNone(dequeue_next(tables, 1.0, 0.5))

    def test_flood_does_not_starve_another_workspace(self) -> None:
        """One workspace sends orders at twenty times the engine's capacity.

        Another sends one question per second. In order of arrival, or by priority
        alone, its questions would wait behind the flood indefinitely.
        """
        flood = Flood([Priority.ORDER], per_tick=5, ticks=400, service=0.8)
        served, refused = run_flood(flood)
        self.assertGreaterEqual(served[QUIET], 18)
        self.assertEqual(refused[QUIET], 0)
        self.assertGreater(refused[FLOODING], 1000)
        self.assertGreater(served[FLOODING], 50)

    def test_flood_does_not_shed_another_workspace(self) -> None:
        """One workspace floods questions and orders; another sends a question a second.

        The flood's orders precede that question in the queue. If each of them counted,
        its turn would seem too late and it would be refused, although fair sharing
        serves it long before most of them.
        """
        mixed = [Priority.QUESTION, Priority.ORDER]
        flood = Flood(mixed, per_tick=1, ticks=600, service=1.5, tick=0.01)
        served, refused = run_flood(flood)
        self.assertEqual(refused[QUIET], 0)
        self.assertGreaterEqual(served[QUIET], 3)

    @settings(max_examples=25)
    @given(
        priorities=st.lists(
            st.sampled_from(list(Priority)), min_size=1, max_size=6, unique=False
        ),
        per_tick=st.integers(2, 6),
        service=st.floats(0.2, 1.5),
    )
    def test_no_mix_of_priorities_starves_another_workspace(
        self, priorities: list[Priority], per_tick: int, service: float
    ) -> None:
        flood = Flood(priorities, per_tick, ticks=200, service=service)
        served, refused = run_flood(flood)
        self.assertEqual(refused[QUIET], 0)
        self.assertGreaterEqual(served[QUIET], 3)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from([FLOODING, QUIET]),
                st.sampled_from(list(Priority)),
                st.floats(0.0, 0.3),
                st.booleans(),
            ),
            max_size=120,
        )
    )
    def test_queue_is_bounded_by_the_wait(
        self, events: list[tuple[WorkspaceId, Priority, float, bool]]
    ) -> None:
        tables = make_two_workspaces()
        running: list[Work] = []
        now = 1.0
        gone: set[str] = set()
        for number, (workspace, priority, pause, finishes) in enumerate(events):
            now += pause
            work = make_work(f"r{number}", workspace=workspace, priority=priority)
            if isinstance(admit(tables, work, now), Admitted):
                enqueue(tables, work, VERSION, now)

            if finishes and running:
                record_finish(tables, A, failed=False, now=now)
                release(tables, running.pop(), now)

            shed = shed_expired(tables, now)
            running += dispatch_all(tables, now)
            for taken in shed:
                release(tables, taken.waiting.work, now)
                self.assertNotIn(taken.waiting.work.request, gone)
                gone.add(taken.waiting.work.request)

            for waiting in tables.waiting.values():
                self.assertGreater(waiting.expires_at, now)
                self.assertLessEqual(now - waiting.arrived_at, LIMITS.max_wait)

            held = sum(demand.in_flight for demand in tables.demand.values())
            self.assertEqual(held, len(running) + len(tables.waiting))
