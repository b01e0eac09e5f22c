"""The waiting queue: order, fairness and bound."""

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
from waxwingwell.decisions.queue import enqueue
from waxwingwell.decisions.queue import shed_expired
from waxwingwell.decisions.queue import take_next
from waxwingwell.decisions.upstreams import UpstreamChoice
from waxwingwell.decisions.upstreams import note_dispatch
from waxwingwell.decisions.upstreams import note_finish
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
LOUD, QUIET = WorkspaceId("loud"), WorkspaceId("quiet")
LIMITS = Limits(requests_per_second=1000.0, max_in_flight=500, max_wait=5.0)


def make_two() -> Tables:
    return make_tables(
        make_row("a", capacity=4, load=None),
        configs=(make_config(LOUD, LIMITS), make_config(QUIET, LIMITS)),
    )


def take_all(tables: Tables, now: float) -> list[Work]:
    """Dispatch all that has room, and return it in order."""
    taken = []
    while (next_one := take_next(tables, now, 0.5)) is not None:
        assert isinstance(next_one.result, UpstreamChoice)
        work = next_one.waiting.work
        note_dispatch(tables, next_one.result.upstream, work, now=now)
        taken.append(work)

    return taken


@dataclass(frozen=True, slots=True)
class Flood:
    """Requests of the loud workspace: priorities in turn, and their number."""

    priorities: list[Priority]
    per_tick: int
    ticks: int

    service: float
    """Seconds that one request takes."""
    tick: float = 0.05
    """Seconds of one tick."""


def run_flood(flood: Flood) -> tuple[Counter[WorkspaceId], Counter[WorkspaceId]]:
    """Run it beside one question a second; return who was served and refused."""
    tables = make_two()
    running: list[tuple[float, Work]] = []
    served: Counter[WorkspaceId] = Counter()
    refused: Counter[WorkspaceId] = Counter()
    for tick in range(flood.ticks):
        now = 1.0 + tick * flood.tick
        offered = []
        for number in range(tick * flood.per_tick, (tick + 1) * flood.per_tick):
            priority = flood.priorities[number % len(flood.priorities)]
            offered.append(make_work(f"l{number}", workspace=LOUD, priority=priority))

        if tick % round(1.0 / flood.tick) == 0:
            offered.append(make_work(f"q{tick}", workspace=QUIET))

        for work in offered:
            if isinstance(admit(tables, work, now), Admitted):
                enqueue(tables, work, VERSION, now)
            else:
                refused[work.workspace] += 1

        for ends_at, work in [pair for pair in running if pair[0] <= now]:
            running.remove((ends_at, work))
            note_finish(tables, A, failed=False, now=now)
            release(tables, work, now)
            served[work.workspace] += 1

        for taken in shed_expired(tables, now):
            release(tables, taken.waiting.work, now)
            refused[taken.waiting.work.workspace] += 1

        running += [(now + flood.service, work) for work in take_all(tables, now)]

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

        order = [work.priority for work in take_all(tables, 1.0)]
        self.assertEqual(order, list(Priority))

    def test_keeps_room_for_orders(self) -> None:
        tables = make_two()
        for number in range(20):
            work = make_work(f"r{number}", workspace=LOUD, priority=Priority.REPORT)
            enqueue(tables, work, VERSION, 1.0)

        self.assertEqual(len(take_all(tables, 1.0)), 3)
        order = make_work("o", workspace=LOUD, priority=Priority.ORDER)
        enqueue(tables, order, VERSION, 1.0)
        self.assertEqual(take_all(tables, 1.0), [order])

    def test_chosen_place_stays_taken_until_the_dispatch(self) -> None:
        """Orders wait for their ledger rows between the choice and the dispatch.

        All that wait are handed out meanwhile. Did a chosen place look free until the
        dispatch, all of them would be sent to the same few places.
        """
        tables = make_two()
        works = [
            make_work(f"o{n}", workspace=LOUD, priority=Priority.ORDER)
            for n in range(9)
        ]
        for work in works:
            admit(tables, work, 1.0)
            enqueue(tables, work, VERSION, 1.0)

        taken = []
        while (one := take_next(tables, 1.0, 0.5)) is not None:
            taken.append(one.waiting.work)

        self.assertEqual(len(taken), 5)
        release(tables, taken[0], 1.0)
        self.assertIsNotNone(take_next(tables, 1.0, 0.5))
        for work in taken[1:]:
            note_dispatch(tables, A, work, now=1.0)

        self.assertEqual(tables.upstreams[A].in_flight, 4)
        self.assertEqual(tables.upstreams[A].claimed, 1)
        self.assertIsNone(take_next(tables, 1.0, 0.5))

    def test_flood_does_not_starve_another_workspace(self) -> None:
        """One workspace sends twenty times as much as the engine bears, also orders.

        Another sends one question a second. In order of arrival, or by priority
        alone, its questions would stand behind the flood for good.
        """
        flood = Flood([Priority.ORDER], per_tick=5, ticks=400, service=0.8)
        served, refused = run_flood(flood)
        self.assertGreaterEqual(served[QUIET], 18)
        self.assertEqual(refused[QUIET], 0)
        self.assertGreater(refused[LOUD], 1000)
        self.assertGreater(served[LOUD], 50)

    def test_flood_sheds_no_other_workspace(self) -> None:
        """A workspace floods questions and orders; another sends a question a second.

        The flood's orders stand before that question in the queue. Counted one by one
        they make its turn look too late, and it was refused, although fair shares
        serve it long before most of them.
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
    def test_no_mix_of_one_workspace_starves_another(
        self, priorities: list[Priority], per_tick: int, service: float
    ) -> None:
        flood = Flood(priorities, per_tick, ticks=200, service=service)
        served, refused = run_flood(flood)
        self.assertEqual(refused[QUIET], 0)
        self.assertGreaterEqual(served[QUIET], 3)

    @given(
        st.lists(
            st.tuples(
                st.sampled_from([LOUD, QUIET]),
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
        tables = make_two()
        running: list[Work] = []
        now = 1.0
        gone: set[str] = set()
        for number, (workspace, priority, pause, finishes) in enumerate(events):
            now += pause
            work = make_work(f"r{number}", workspace=workspace, priority=priority)
            if isinstance(admit(tables, work, now), Admitted):
                enqueue(tables, work, VERSION, now)

            if finishes and running:
                note_finish(tables, A, failed=False, now=now)
                release(tables, running.pop(), now)

            shed = shed_expired(tables, now)
            running += take_all(tables, now)
            for taken in shed:
                release(tables, taken.waiting.work, now)
                self.assertNotIn(taken.waiting.work.request, gone)
                gone.add(taken.waiting.work.request)

            for waiting in tables.waiting.values():
                self.assertGreater(waiting.expires_at, now)
                self.assertLessEqual(now - waiting.arrived_at, LIMITS.max_wait)

            held = sum(demand.in_flight for demand in tables.demand.values())
            self.assertEqual(held, len(running) + len(tables.waiting))
